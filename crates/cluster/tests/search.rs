//! How often the processes of a fleet read the group's record.

use brasspond_cluster::storage::search::{RecordSearch, SIGN_PAUSE, making_pause};
use rstest::rstest;

/// Pause between two ticks of a process, in ms.
const TICK: u64 = 100;

/// Reads of each tick from `from` to `to`, in ms.
fn reads(searches: &mut [RecordSearch], from: u64, to: u64, is_led: bool) -> Vec<usize> {
    let mut reads = Vec::new();
    for now in (from..to).step_by(TICK as usize) {
        if is_led && now % SIGN_PAUSE == 0 {
            searches.iter_mut().for_each(|search| search.led(now));
        }
        let due = searches.iter_mut().filter(|search| search.is_due(now));
        let due = due.map(|search| search.searched(now));
        reads.push(due.count());
    }
    reads
}

fn fleet(size: usize, may_bootstrap: bool) -> Vec<RecordSearch> {
    let place = |number: usize| number as f64 / size as f64;
    let processes = (0..size).map(|number| RecordSearch::new(may_bootstrap, place(number), 0));
    processes.collect()
}

/// 45 processes once read the record every 400 ms for as long as the system ran: 2,017 of its
/// first 2,630 calls to the store.
#[rstest]
#[case::small(3)]
#[case::today(45)]
#[case::far_larger(400)]
fn nobody_reads_while_the_group_is_led(#[case] size: usize) {
    let mut searches = fleet(size, true);
    let at_start: usize = reads(&mut searches, 0, 1_000, false).iter().sum();
    assert!((size..=3 * size).contains(&at_start), "{at_start}");
    let later: usize = reads(&mut searches, 1_000, 60_000, true).iter().sum();
    assert_eq!(later, 0);
}

#[rstest]
fn processes_without_a_leader_read_soon_and_not_all_at_once() {
    let mut searches = fleet(45, false);
    reads(&mut searches, 0, 10_000, true);
    let silent = reads(&mut searches, 10_000, 70_000, false);
    let first = silent.iter().position(|reads| *reads > 0);
    assert!(
        first.is_some_and(|tick| tick <= 40),
        "within 4 s: {first:?}"
    );
    assert!(silent.iter().all(|reads| *reads <= 6), "{silent:?}");
    let last_minute: usize = silent[300..].iter().sum();
    assert!(last_minute <= 30 * 6, "six calls a second: {last_minute}");
}

/// A machine back with an empty disk is to hold the log again within seconds.
#[rstest]
#[case(0.0)]
#[case(1.0)]
fn a_process_that_starts_again_reads_at_once(#[case] place: f64) {
    let mut search = [RecordSearch::new(false, place, 0)];
    let reads = reads(&mut search, 0, 300, false);
    assert!(reads.iter().sum::<usize>() >= 1);
}

/// Times to read the record, and the draws of when, in ms: whatever is drawn, a process near the
/// store makes it before one that is a region away.
#[rstest]
#[case::near_the_last_drawn_far_the_first(7, 600, 21, 0)]
#[case::slow_and_a_region_apart(17, 600, 44, 0)]
#[case::alike(7, 0, 7, 600)]
fn the_nearest_process_makes_the_record(
    #[case] near_ms: u64,
    #[case] near_drawn: u64,
    #[case] far_ms: u64,
    #[case] far_drawn: u64,
) {
    let near = near_drawn + near_ms + making_pause(near_ms);
    let far = far_drawn + far_ms + making_pause(far_ms);
    assert!(near < far, "{near} ms, {far} ms");
}

#[rstest]
fn a_slow_store_does_not_delay_the_first_start() {
    assert_eq!(making_pause(0), 0);
    assert_eq!(making_pause(5_000), 1_400);
}
