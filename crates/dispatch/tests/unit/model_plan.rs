//! Guards against replicas that keep a version too long, or all load the newest one at once.

use super::{NewestCount, oldest_allowed};
use rstest::rstest;

#[rstest]
#[case::the_version_before_the_newest(7, 0, 6)]
#[case::a_job_that_allows_older_ones(7, 3, 6)]
#[case::a_job_that_allows_only_the_newest(7, 7, 7)]
#[case::a_job_that_asks_for_one_not_yet_known(7, 9, 7)]
#[case::the_first_version(1, 0, 0)]
fn the_oldest_version_that_serves_every_job_is(
    #[case] newest: u64,
    #[case] highest_min_version: u64,
    #[case] expected: u64,
) {
    assert_eq!(oldest_allowed(newest, highest_min_version), expected);
}

#[rstest]
#[case::none_has_it(8, 0, 4)]
#[case::some_have_it(8, 3, 1)]
#[case::half_have_it(8, 4, 0)]
#[case::more_have_it(8, 6, 0)]
#[case::an_odd_number(9, 0, 5)]
#[case::no_replica(0, 0, 0)]
fn half_of_the_replicas_are_to_have_the_newest(
    #[case] replicas: usize,
    #[case] with_newest: usize,
    #[case] missing: usize,
) {
    assert_eq!(
        NewestCount {
            replicas,
            with_newest
        }
        .missing(),
        missing
    );
}
