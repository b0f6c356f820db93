//! When the file of the log is rewritten.

use super::{Disk, MIN_REWRITE_BYTES, REWRITE_SPREAD, fits, rewrite_threshold};
use brasspond_consensus::{HardState, Ready, Snapshot};
use brasspond_durable::RecordLog;
use bytes::Bytes;
use rstest::rstest;

/// Bytes that a rewritten file of 80 MB may grow before a member has finished its own rewrite.
const ENTRIES_OF_A_REWRITE: u64 = 4 * 1024 * 1024;

/// Guards against members that rewrite their files at the same moment: with evenly spread factors,
/// five members reach their thresholds one after the other.
#[rstest]
fn members_with_files_of_one_size_rewrite_them_one_after_the_other() {
    let factors = (0..5).map(|member| 1.0 + REWRITE_SPREAD * f64::from(member) / 4.0);
    let thresholds: Vec<u64> = factors.map(|factor| rewrite_threshold(0, factor)).collect();
    assert_eq!(thresholds[0], MIN_REWRITE_BYTES);
    for pair in thresholds.windows(2) {
        assert!(pair[1] - pair[0] > ENTRIES_OF_A_REWRITE, "{pair:?}");
    }
}

/// Guards against a file that is rewritten after every few entries.
#[rstest]
#[case::small(1)]
#[case::large(MIN_REWRITE_BYTES)]
fn a_file_doubles_at_least_between_two_rewrites(#[case] rewritten: u64) {
    let threshold = rewrite_threshold(rewritten, 1.0);
    assert!(threshold >= 2 * rewritten && threshold >= MIN_REWRITE_BYTES);
}

/// Guards against a process that ends, or retries in each turn, because a rewrite fails.
#[rstest]
fn a_failed_rewrite_is_tried_again_once_the_file_has_grown() {
    let folder = tempfile::tempdir().expect("folder");
    let log = RecordLog::open(folder.path(), 7).expect("opens").log;
    let mut disk = Disk::new(log, 0.0);
    disk.rewrite_threshold = 0;
    assert!(disk.needs_rewrite());
    // A folder of this name cannot be opened as the new file.
    std::fs::create_dir(folder.path().join("log.new")).expect("created");
    let snapshot = Snapshot {
        index: 0,
        term: 0,
        members: Vec::new(),
        state: Bytes::new(),
    };
    disk.rewrite(HardState::default(), snapshot)
        .expect("the old file stays in use");
    assert!(!disk.needs_rewrite());
    let ready = Ready {
        hard_state: Some(HardState::default()),
        ..Ready::default()
    };
    disk.persist(&ready, HardState::default())
        .expect("persisted");
    assert!(disk.needs_rewrite(), "the file has grown by a tenth");
}

/// Guards against a leader that ends at its memory limit by the snapshot that it sends, as the next
/// one does.
#[rstest]
#[case::fits(Some(130), Some(40), 80, true)]
#[case::just_fits(Some(128), Some(40), 80, true)]
#[case::no_share_left(Some(128), Some(40), 81, false)]
#[case::more_than_all(Some(130), Some(40), 200, false)]
#[case::no_limit(None, Some(40), 200, true)]
#[case::no_figures(Some(130), None, 200, true)]
fn a_snapshot_is_sent_only_if_the_process_has_memory_for_it(
    #[case] limit: Option<u64>,
    #[case] used: Option<u64>,
    #[case] bytes: u64,
    #[case] expected: bool,
) {
    assert_eq!(fits(limit, used, bytes), expected);
}
