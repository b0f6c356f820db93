//! When the file of the log is rewritten.

use super::{MIN_REWRITE_BYTES, REWRITE_SPREAD, rewrite_threshold};
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
