//! Guards against loads for replicas that the work does not need while others that it needs wait.

use super::*;
use rstest::rstest;

#[rstest]
#[case::fewer_than_there_are(192, 1_600, 9_600, 64)]
#[case::small_fleet(192, 20, 120, 20)]
#[case::rounded_up(5, 100, 600, 2)]
#[case::no_slots(5, 100, 0, 10)]
#[case::no_replicas(5, 0, 0, 0)]
fn replicas_are_required_for_twice_the_peak(
    #[case] items: usize,
    #[case] replicas: usize,
    #[case] slots: usize,
    #[case] required: usize,
) {
    let mut peaks = PeakItems::default();
    peaks.observe("model", items, 0);
    assert_eq!(peaks.required_replicas("model", replicas, slots), required);
}

#[rstest]
fn all_replicas_are_required_before_the_first_job() {
    let mut peaks = PeakItems::default();
    peaks.observe("model", 0, 0);
    assert_eq!(peaks.required_replicas("model", 100, 600), 100);
}

/// Guards against a pause between two jobs that makes replicas load an old version.
#[rstest]
fn a_peak_outlasts_the_pause_between_two_jobs() {
    let mut peaks = PeakItems::default();
    peaks.observe("model", 300, 0);
    peaks.observe("model", 0, 4_000);
    assert!(peaks.required_replicas("model", 1_000, 6_000) > 90);
    for step in 1..200 {
        peaks.observe("model", 30, 4_000 + step * 1_000);
    }
    assert!(peaks.required_replicas("model", 1_000, 6_000) < 20);
}
