//! When a leader's view is copied into the log.

use brasspond_cluster::storage::copying::{ViewCopies, revision};
use brasspond_fleet::{Configuration, FleetView};
use rstest::rstest;
use std::sync::Arc;

/// A view with a configuration; revisions of its replicas and versions.
fn view(replicas: u64, versions: u64) -> FleetView {
    FleetView {
        configuration: Some(Arc::new(Configuration::default())),
        configuration_revision: 1,
        replicas_revision: replicas,
        versions_revision: versions,
        ..FleetView::default()
    }
}

/// A new leader hears of versions first: a copy of that moment would pass off the old replicas
/// as new, and the next one is due much later.
#[rstest]
#[case::versions_alone(view(10, 50), 100, false)]
#[case::replicas_too(view(50, 50), 100, true)]
#[case::the_source_is_silent(view(10, 50), 5_000, true)]
#[case::nothing_new(view(10, 10), 5_000, false)]
fn a_new_leader_copies_what_its_source_told(
    #[case] known: FleetView,
    #[case] after: u64,
    #[case] is_due: bool,
) {
    let began = 1_000;
    let copies = ViewCopies::new(&view(10, 10), began);
    assert_eq!(copies.is_due(&known, 10, began + after), is_due);
}

/// Copies are no more than 30 bytes a ms: the log goes to five machines.
#[rstest]
#[case::small(1_000, 1_000)]
#[case::thousands_of_replicas(75_000, 2_500)]
fn copies_of_the_view_are_limited_in_bytes_a_ms(#[case] bytes: usize, #[case] pause: u64) {
    let mut copies = ViewCopies::new(&view(10, 10), 0);
    copies.copied(bytes, 100);
    let next = view(60, 60);
    assert!(!copies.is_due(&next, 50, 100 + pause - 1));
    assert!(copies.is_due(&next, 50, 100 + pause));
}

#[rstest]
fn a_view_is_as_new_as_its_newest_part() {
    assert_eq!(revision(&view(3, 5)), 5);
    assert_eq!(revision(&view(7, 5)), 7);
}
