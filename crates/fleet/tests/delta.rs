//! Tests that applying a delta yields the newer view or fails without a change.

mod support;

use brasspond_fleet::{BaseMismatch, Configuration, FleetView, ServedModel, replicas_by_id};
use proptest::prelude::*;
use rstest::rstest;
use std::sync::Arc;
use support::{history, replica};

proptest! {
    #[test]
    fn the_newer_view_is_reached_or_nothing_changes(
        changes in proptest::collection::vec((0_u64..5, any::<bool>()), 1..20),
        points in (0_usize..20, 0_usize..20, 0_usize..20),
    ) {
        let views = history(&changes);
        let mut points = [points.0, points.1, points.2].map(|point| point % views.len());
        points.sort_unstable();
        let [base, own, newest] = points;
        let delta = views[newest].delta_from(&views[base]);
        let mut view = views[own].clone();
        match view.apply(&delta) {
            Ok(_) => prop_assert_eq!(&view, &views[newest]),
            // The view may contain a replica that was added and removed since the base.
            Err(BaseMismatch) => {
                prop_assert!(own != base && own != newest);
                prop_assert_eq!(&view, &views[own]);
            }
        }
    }
}

#[rstest]
fn a_delta_with_another_base_is_refused() {
    let views = history(&[(1, false), (2, false), (3, false)]);
    let delta = views[3].delta_from(&views[2]);
    let mut view = views[1].clone();
    assert_eq!(view.apply(&delta), Err(BaseMismatch));
    assert_eq!(view, views[1]);
}

/// Returns the view of an edge after a new leader sent an old copy of its view and then a delta to
/// its newest view. The edge's own view starts between the two.
fn after_a_new_leader(views: &[FleetView], copy: usize, own: usize, newest: usize) -> FleetView {
    let mut sent = views[copy].clone();
    let mut view = views[own].clone();
    view.merge(&sent);
    let delta = views[newest].delta_from(&views[copy]);
    sent.apply(&delta).expect("same base");
    let applied = view.apply_or_merge(&delta, Some(&sent));
    assert!(applied.is_ok(), "a complete view is needed");
    view
}

proptest! {
    #[test]
    fn an_edge_ahead_of_a_new_leader_needs_no_whole_view(
        changes in proptest::collection::vec((0_u64..5, any::<bool>()), 1..20),
        points in (0_usize..20, 0_usize..20, 0_usize..20),
    ) {
        let views = history(&changes);
        let mut points = [points.0, points.1, points.2].map(|point| point % views.len());
        points.sort_unstable();
        let [copy, own, newest] = points;
        prop_assert_eq!(&after_a_new_leader(&views, copy, own, newest), &views[newest]);
        // An edge keeps a view that is newer than the leader's.
        let view = after_a_new_leader(&views, copy, newest, own);
        prop_assert_eq!(&view, &views[newest]);
    }
}

#[rstest]
fn a_known_view_without_the_delta_is_not_merged() {
    let views = history(&[(1, false), (2, false), (3, false)]);
    let delta = views[3].delta_from(&views[2]);
    let mut view = views[1].clone();
    assert_eq!(
        view.apply_or_merge(&delta, Some(&views[1].clone())),
        Err(BaseMismatch)
    );
    assert_eq!(view.apply_or_merge(&delta, None), Err(BaseMismatch));
    assert_eq!(view, views[1]);
}

#[rstest]
fn an_older_configuration_is_ignored() {
    let configuration = |version| {
        Arc::new(Configuration {
            version,
            ..Configuration::default()
        })
    };
    let older = FleetView::default();
    let middle = FleetView {
        configuration: Some(configuration(1)),
        configuration_revision: 1,
        ..FleetView::default()
    };
    let mut newest = FleetView {
        configuration: Some(configuration(2)),
        configuration_revision: 2,
        ..FleetView::default()
    };
    let delta = middle.delta_from(&older);
    assert_eq!(newest.apply(&delta), Ok(false));
    assert_eq!(newest.configuration_revision, 2);
}

/// Guards against sending a part whose revision has risen without a change.
#[rstest]
#[case::same_but_newer(1, 5, 4, false)]
#[case::changed_and_newer(2, 5, 4, true)]
#[case::changed_but_older(2, 4, 5, false)]
fn only_parts_that_are_newer_and_differ_count(
    #[case] number: u64,
    #[case] own: u64,
    #[case] others: u64,
    #[case] is_newer: bool,
) {
    let view = |number: u64, revision: u64| {
        let one = replica(number, 1);
        FleetView {
            replicas: replicas_by_id([one]),
            replicas_revision: revision,
            ..FleetView::default()
        }
    };
    assert_eq!(view(number, own).is_newer_than(&view(1, others)), is_newer);
}

/// Guards against notifying edges of every load of weights.
#[rstest]
#[case::other_weights(2, false, true)]
#[case::draining(1, true, false)]
fn edges_act_on_drains_and_not_on_loaded_weights(
    #[case] version: u64,
    #[case] draining: bool,
    #[case] is_same: bool,
) {
    let view = |version: u64, draining: bool, revision: u64| {
        let mut one = replica(1, revision);
        one.draining = draining;
        one.models = vec![ServedModel {
            name: "model".into(),
            version,
        }]
        .into();
        FleetView {
            replicas: replicas_by_id([one]),
            replicas_revision: revision,
            ..FleetView::default()
        }
    };
    let (older, newer) = (view(1, false, 4), view(version, draining, 5));
    assert_eq!(newer.is_same_for_edges(&older), is_same);
    assert_eq!(newer.is_newer_than(&older), !is_same);
}

fn evacuated(zones: &[&str], revision: u64) -> FleetView {
    FleetView {
        evacuated: Arc::new(zones.iter().map(|zone| Arc::from(*zone)).collect()),
        evacuated_revision: revision,
        ..FleetView::default()
    }
}

/// Guards against omitting evacuations from a delta, even if the first known set is empty.
#[rstest]
#[case::begun(&[], 3, &["a"], 4)]
#[case::ended(&["a"], 3, &[], 4)]
#[case::first_known_set_is_empty(&[], 0, &[], 4)]
fn a_delta_contains_evacuations(
    #[case] before: &[&str],
    #[case] known: u64,
    #[case] after: &[&str],
    #[case] revision: u64,
) {
    let (mut older, newer) = (evacuated(before, known), evacuated(after, revision));
    assert!(newer.is_newer_than(&older));
    assert!(!newer.is_same_for_edges(&older));
    let delta = newer.delta_from(&older);
    assert_eq!(older.apply(&delta), Ok(true));
    assert_eq!(older, newer);
}

/// Guards against a late delta that undoes a newer evacuation.
#[rstest]
fn an_older_evacuation_is_ignored() {
    let mut newest = evacuated(&["a"], 9);
    let delta = evacuated(&[], 8).delta_from(&evacuated(&["a"], 7));
    assert_eq!(newest.apply(&delta), Ok(false));
    assert!(newest.is_evacuated("a"));
}

/// Guards against a stale view after an evacuation began, ended and began again, if the delta omits
/// zones that equal those sent before.
#[rstest]
fn a_delta_restores_an_evacuation_undone_in_between() {
    let sent = evacuated(&["a"], 4);
    let mut view_between = evacuated(&[], 5);
    let delta = evacuated(&["a"], 6).delta_from(&sent);
    assert_eq!(view_between.apply(&delta), Ok(true));
    assert!(view_between.is_evacuated("a"));
}

/// Guards against overwriting the setting of a process with that of another process.
#[rstest]
fn must_know_evacuations_is_not_exchanged() {
    let mut requiring = FleetView::unknown(true);
    assert!(!requiring.knows_evacuations());
    assert!(requiring.merge(&evacuated(&["a"], 4)));
    assert!(requiring.knows_evacuations());
    assert!(FleetView::unknown(false).knows_evacuations());
    assert!(requiring.forget_evacuations());
    assert!(!requiring.knows_evacuations());
    assert!(!requiring.is_evacuated("a"));
}

/// Guards against merging evacuations in a way that changes other parts of the view.
#[rstest]
fn evacuations_only_changes_no_other_part() {
    let mut known = FleetView {
        versions_revision: 3,
        replicas_revision: 7,
        ..FleetView::default()
    };
    let mut newer = evacuated(&["a"], 9);
    newer.replicas_revision = 8;
    assert!(known.merge(&newer.evacuations_only()));
    assert_eq!((known.replicas_revision, known.versions_revision), (7, 3));
    assert!(known.is_evacuated("a"));
}
