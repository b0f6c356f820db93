//! Which callers' connections are closed because of answers that their callers do not read.

use super::{BlockedWrite, CutReason, SlowReaders, connections_to_cut};
use rstest::rstest;

fn blocked(connection: u64, last_progress_ms: u64, held_bytes: u64) -> BlockedWrite {
    BlockedWrite {
        connection,
        last_progress_ms,
        held_bytes,
    }
}

/// Guards against a caller that is cut early, or never.
#[rstest]
#[case::before_the_timeout(4_999, vec![])]
#[case::at_the_timeout(5_000, vec![(1, CutReason::ReadsSlowly)])]
fn a_stalled_write_is_cut_after_the_timeout(
    #[case] now_ms: u64,
    #[case] expected: Vec<(u64, CutReason)>,
) {
    let writes = [blocked(1, 0, 1_000), blocked(2, 4_000, 1_000)];
    assert_eq!(connections_to_cut(&writes, now_ms, None), expected);
}

/// Guards against answers without a bound for the whole process, and against cutting more
/// connections than the bound requires.
#[rstest]
#[case::within_the_bound(300, vec![])]
#[case::one_must_go(250, vec![2])]
#[case::two_must_go(150, vec![2, 1])]
#[case::the_last_one_stays(10, vec![2, 1])]
fn the_longest_without_progress_is_cut_for_memory(
    #[case] max_held_bytes: u64,
    #[case] expected: Vec<u64>,
) {
    let writes = [
        blocked(1, 200, 100),
        blocked(2, 100, 100),
        blocked(3, 300, 100),
    ];
    let cuts = connections_to_cut(&writes, 400, Some(max_held_bytes));
    let expected: Vec<(u64, CutReason)> = expected
        .into_iter()
        .map(|connection| (connection, CutReason::Memory))
        .collect();
    assert_eq!(cuts, expected);
}

/// Guards against a second cut for memory that the cut of a stalled connection already releases.
#[rstest]
fn a_stalled_connection_releases_its_memory_first() {
    let writes = [
        blocked(1, 0, 200),
        blocked(2, 4_000, 50),
        blocked(3, 4_000, 50),
    ];
    let cuts = connections_to_cut(&writes, 6_000, Some(100));
    assert_eq!(cuts, [(1, CutReason::ReadsSlowly)]);
}

/// Guards against a steady reader that is cut because its whole answer takes longer than the
/// timeout.
#[rstest]
fn a_steady_reader_is_never_cut() {
    let readers = SlowReaders::new(None);
    let writes = readers.connect(None);
    let mut left = 1_000_000;
    for second in 1..60 {
        readers.record_write(&writes, left, 1_000);
        left -= 1_000;
        readers.record_write(&writes, left, 0);
        readers.sweep(second * 500);
        assert_eq!(writes.cut(), None);
    }
    assert_eq!(readers.held_bytes(), 1_000_000);
    readers.record_write(&writes, left, left);
    assert_eq!(readers.held_bytes(), 0);
}

/// Guards against a reader that is cut because of the time in which this process was suspended.
#[rstest]
fn a_suspension_does_not_count_as_the_callers_time() {
    let readers = SlowReaders::new(None);
    let writes = readers.connect(None);
    readers.record_write(&writes, 1_000, 0);
    readers.sweep(250);
    readers.sweep(60_000);
    assert_eq!(writes.cut(), None);
    for tick in 1..=20 {
        readers.sweep(60_000 + tick * 250);
    }
    assert_eq!(writes.cut(), Some(CutReason::ReadsSlowly));
    assert_eq!(readers.held_bytes(), 0);
}

/// Guards against a bound that is checked only at the next sweep, by which more answers arrive.
#[rstest]
fn the_bound_holds_as_soon_as_an_answer_is_held() {
    let readers = SlowReaders::new(Some(4_000));
    let first = readers.connect(None);
    let second = readers.connect(None);
    readers.record_write(&first, 600, 0);
    readers.sweep(250);
    readers.record_write(&second, 600, 0);
    assert_eq!(first.cut(), Some(CutReason::Memory));
    assert_eq!(second.cut(), None);
    assert_eq!(readers.held_bytes(), 600);
}

/// Guards against a connection that stays listed after its end.
#[rstest]
fn an_ended_connection_holds_nothing() {
    let readers = SlowReaders::new(None);
    let writes = readers.connect(None);
    readers.record_write(&writes, 600, 100);
    assert_eq!(readers.held_bytes(), 600);
    readers.unblock(&writes);
    readers.unblock(&writes);
    assert_eq!(readers.held_bytes(), 0);
}
