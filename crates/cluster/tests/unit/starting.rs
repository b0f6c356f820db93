//! For how long requests wait for an edge's first configuration.

use super::{is_enough, longest_queued};
use brasspond_fleet::{Configuration, FleetView, Limits};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

#[rstest]
#[case::just_started(0, Some(900), 225)]
#[case::no_deadline(100, None, 500)]
#[case::much_time(1_999, Some(60_000), 500)]
#[case::little_time(10, Some(60), 15)]
#[case::cut_off(2_000, Some(1_000), 0)]
fn requests_are_queued_for_a_part_of_their_time_while_the_edge_starts(
    #[case] up_ms: u64,
    #[case] deadline: Option<u64>,
    #[case] held: u64,
) {
    let deadline = deadline.map(Duration::from_millis);
    assert_eq!(longest_queued(up_ms, deadline), Duration::from_millis(held));
}

/// A configuration alone leads nowhere: a request would be turned away just before the replicas
/// are known.
#[rstest]
#[case::nothing(false, 0, 0, false, false)]
#[case::configuration_alone(true, 0, 0, false, false)]
#[case::replicas_alone(false, 7, 0, false, false)]
#[case::both(true, 7, 0, false, true)]
#[case::evacuations_unknown(true, 7, 0, true, false)]
#[case::all(true, 7, 9, true, true)]
fn requests_wait_for_all_that_decides_where_they_go(
    #[case] configured: bool,
    #[case] replicas_revision: u64,
    #[case] evacuated_revision: u64,
    #[case] evacuates: bool,
    #[case] enough: bool,
) {
    let configuration = Configuration {
        version: 1,
        routes: Vec::new(),
        services: Vec::new(),
        limits: Limits::default(),
        tenants: Vec::new(),
    };
    let view = FleetView {
        configuration: configured.then(|| Arc::new(configuration)),
        replicas_revision,
        evacuated_revision,
        ..FleetView::default()
    };
    assert_eq!(is_enough(&view, evacuates), enough);
}
