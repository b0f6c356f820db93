//! Guards against loads that are missing or unnecessary after a new version.

use super::is_load_due;
use rstest::rstest;

#[rstest]
#[case::too_old_for_a_job(5, 0, true)]
#[case::serves_no_version(0, 0, true)]
#[case::serves_every_job(6, 0, false)]
#[case::serves_every_job_but_more_are_wanted(6, 1, true)]
#[case::has_the_newest(7, 1, false)]
fn a_load_of_version_7_is_due(
    #[case] version: u64,
    #[case] missing_newest: usize,
    #[case] expected: bool,
) {
    assert_eq!(is_load_due(version, 7, 6, missing_newest), expected);
}
