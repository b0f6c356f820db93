//! Tests that a view catches up with another one exactly, or not at all.

mod support;

use brasspond_fleet::{CatchUp, FleetView};
use proptest::prelude::*;
use rstest::rstest;
use std::sync::Arc;
use support::{history, replica};

proptest! {
    /// Guards against an edge that takes a view for its leader's which contains a replica that is
    /// gone, or lacks one.
    #[test]
    fn the_current_view_is_reached_or_nothing(
        changes in proptest::collection::vec((0_u64..5, any::<bool>()), 1..20),
        points in (0_usize..20, 0_usize..20, 0_usize..20),
    ) {
        let views = history(&changes);
        let [older, own, current] = [points.0, points.1, points.2].map(|point| point % views.len());
        let (older, current) = (older.min(current), older.max(current));
        let catch_up = CatchUp::new(&views[older], &views[current]);
        if let Ok(view) = views[own].catch_up(&catch_up) {
            prop_assert_eq!(view, views[current].clone());
        } else {
            prop_assert!(own != older && own != current);
        }
    }
}

/// Guards against views whose size grows with the fleet for each edge of a new leader.
#[rstest]
fn the_size_follows_the_changes_and_not_the_fleet() {
    let changes: Vec<(u64, bool)> = (0..10_000).map(|number| (number, false)).collect();
    let older = history(&changes).pop().expect("a view");
    let mut current = older.clone();
    for number in 0..20 {
        current.insert_replica(replica(number, 10_001 + number));
        current.remove_replica(&format!("replica-{}", 5_000 + number));
    }
    current.replicas_revision = 10_040;
    let catch_up = CatchUp::new(&older, &current);
    assert_eq!(catch_up.delta.changed.len(), 20);
    assert_eq!(catch_up.delta.gone.len(), 20);
    let mut between = older.clone();
    between.insert_replica(replica(3, 10_004));
    between.replicas_revision = 10_004;
    assert_eq!(between.catch_up(&catch_up), Ok(current));
}

/// Guards against a leader that does not learn which zones an edge considers evacuated, because the
/// leader's own view has a higher revision.
#[rstest]
#[case::some(&["zone"], 3)]
#[case::none(&[], 3)]
#[case::unknown(&[], 0)]
fn the_evacuated_zones_are_reported(#[case] zones: &[&str], #[case] revision: u64) {
    let mut current = history(&[(1, false), (2, false)]).pop().expect("a view");
    current.evacuated = Arc::new(zones.iter().map(|zone| Arc::from(*zone)).collect());
    current.evacuated_revision = revision;
    let sent = FleetView {
        evacuated_revision: 7,
        ..current.clone()
    };
    let reported = CatchUp::new(&sent, &current).evacuations_only();
    assert_eq!(reported, current.evacuations_only());
}
