//! Utilization of a service.

use super::ServiceLoad;
use crate::clock::Moment;
use rstest::rstest;
use std::time::Duration;

/// Guards against a full service that looks idle to an edge that hears of each replica rarely.
#[rstest]
fn reports_of_different_replicas_add_up_to_the_load_of_their_service() {
    let mut load = ServiceLoad::default();
    let start = Moment::now();
    assert_eq!(load.utilization(start), None);
    for (number, utilization) in [1.0, 0.5, 1.5].into_iter().enumerate() {
        let now = start + Duration::from_millis(100) * u32::try_from(number).unwrap();
        load.record(utilization, now);
    }
    let known = load.utilization(start + Duration::from_millis(200));
    assert!(
        known.is_some_and(|known| (0.9..1.2).contains(&known)),
        "{known:?}"
    );
}

/// Guards against calls that yield to a peak that is over.
#[rstest]
fn old_reports_are_no_estimate() {
    let mut load = ServiceLoad::default();
    let start = Moment::now();
    load.record(1.0, start);
    assert_eq!(
        load.utilization(start + Duration::from_millis(999)),
        Some(1.0)
    );
    assert_eq!(load.utilization(start + Duration::from_millis(1_001)), None);
}
