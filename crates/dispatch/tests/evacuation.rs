//! Guards against runs and loads that start in evacuated zones, and against items that wait
//! although a replica in another zone can run them.

mod fixture;
mod support;

use brasspond_cluster_protocol::RunEnd;
use brasspond_dispatch::{Action, Event, OrderLeases};
use brasspond_fleet::FleetView;
use fixture::{Fixture, runs};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use support::{submission, view};

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

/// Returns a view with replicas in [`ZONES`] in turn, in which no zone is evacuated.
fn view_with_zones(replicas: usize, slots: u32) -> FleetView {
    let mut fleet = view(replicas, slots);
    for number in 0..replicas {
        let id = format!("replica-{number}");
        let replica = fleet.replica_mut(&id).expect("a replica");
        replica.zone = ZONES[number % ZONES.len()].into();
    }
    fleet.evacuated_revision = 1;
    fleet.must_know_evacuations = true;
    fleet
}

fn with_evacuated(mut fleet: FleetView, zones: &[&str], revision: u64) -> FleetView {
    fleet.evacuated = Arc::new(zones.iter().map(|zone| Arc::from(*zone)).collect());
    fleet.evacuated_revision = revision;
    fleet
}

/// Returns the zone of a replica of [`view_with_zones`].
fn zone_of(replica: &str) -> &'static str {
    let number: usize = replica
        .rsplit('-')
        .next()
        .expect("a number")
        .parse()
        .expect("a number");
    ZONES[number % ZONES.len()]
}

fn zones_of(actions: &[Action]) -> BTreeSet<&'static str> {
    let runs = runs(actions);
    runs.iter().map(|run| zone_of(&run.replica)).collect()
}

/// Returns the zones of replicas that are asked for their state, which precedes an order.
fn requested_zones(actions: &[Action]) -> Vec<&'static str> {
    let requests = actions.iter().filter_map(|action| match action {
        Action::RequestReport { replica, .. } => Some(zone_of(replica)),
        _ => None,
    });
    requests.collect()
}

fn has_cancelled(actions: &[Action]) -> bool {
    let mut actions = actions.iter();
    actions.any(|action| matches!(action, Action::Cancel { .. }))
}

#[rstest]
#[case::one(&["a"], 6)]
#[case::two(&["a", "c"], 4)]
#[case::all(&ZONES, 0)]
fn items_go_to_replicas_outside_evacuated_zones(
    #[case] zones: &[&str],
    #[case] expected_runs: usize,
) {
    let fleet = with_evacuated(view_with_zones(8, 1), zones, 2);
    let mut fixture = Fixture::new(fleet, OrderLeases::default());
    fixture.register_edge("edge-1");
    let actions = fixture.accept(submission("job", &[5; 8], 0));
    assert_eq!(runs(&actions).len(), expected_runs, "the others wait");
    assert!(zones_of(&actions).is_disjoint(&zones.iter().copied().collect()));
}

/// Guards against items that keep waiting after the evacuation ended.
#[rstest]
fn a_zone_receives_items_again_after_its_evacuation() {
    let fleet = view_with_zones(8, 1);
    let evacuated_view = with_evacuated(fleet.clone(), &["a"], 2);
    let mut fixture = Fixture::new(evacuated_view, OrderLeases::default());
    fixture.register_edge("edge-1");
    fixture.accept(submission("job", &[5; 8], 0));
    let actions = fixture.handle(Event::View(with_evacuated(fleet, &[], 3)));
    assert_eq!(zones_of(&actions), BTreeSet::from(["a"]));
    assert_eq!(runs(&actions).len(), 2);
}

#[rstest]
fn nothing_is_started_or_ordered_before_evacuations_are_known() {
    let fleet = view_with_zones(8, 1);
    let mut unknown = fleet.clone();
    unknown.evacuated_revision = 0;
    unknown.versions = Arc::new(BTreeMap::from([("model".to_string(), 2)]));
    unknown.versions_revision = 1;
    let mut fixture = Fixture::new(unknown, OrderLeases::default());
    fixture.register_edge("edge-1");
    fixture.advance(100);
    // Without waiting items, loads are due.
    let mut actions = fixture.handle(Event::Tick);
    actions.extend(fixture.accept(submission("job", &[5; 8], 0)));
    fixture.advance(100);
    actions.extend(fixture.handle(Event::Tick));
    assert_eq!(actions, Vec::new());
    let actions = fixture.handle(Event::View(fleet.evacuations_only()));
    assert_eq!(runs(&actions).len(), 8, "at once");
}

/// Guards against moving active runs for an evacuation, and against resuming broken ones in the
/// zone.
#[rstest]
fn runs_in_an_evacuated_zone_end_there_or_resume_in_another() {
    let fleet = view_with_zones(8, 2);
    let mut fixture = Fixture::new(fleet.clone(), OrderLeases::default());
    fixture.register_edge("edge-1");
    let started = runs(&fixture.accept(submission("job", &[5; 8], 0)));
    let run = started.iter().find(|run| zone_of(&run.replica) == "a");
    let attempt = run.expect("a run in zone a").attempt;
    fixture.handle(Event::View(with_evacuated(fleet, &["a"], 2)));
    fixture.advance(100);
    let actions = fixture.handle(Event::Tick);
    assert!(!has_cancelled(&actions), "{actions:?}");
    let actions = fixture.handle(Event::RunEnded {
        machine: "edge-1".to_string(),
        attempt,
        events: Vec::new(),
        end: RunEnd::Broken,
    });
    assert_eq!(runs(&actions).len(), 1);
    assert!(!zones_of(&actions).contains("a"));
}

/// Guards against delaying an item that an edge refused because it knew of the evacuation first.
#[rstest]
fn a_refused_item_runs_in_another_zone() {
    let fleet = view_with_zones(8, 2);
    let mut fixture = Fixture::new(fleet.clone(), OrderLeases::default());
    fixture.register_edge("edge-1");
    let started = runs(&fixture.accept(submission("job", &[5; 1], 0)));
    let zone = zone_of(&started[0].replica);
    fixture.handle(Event::View(with_evacuated(fleet, &[zone], 2)));
    let actions = fixture.handle(Event::RunEnded {
        machine: "edge-1".to_string(),
        attempt: started[0].attempt,
        events: Vec::new(),
        end: RunEnd::NotRun {
            other_replica: false,
        },
    });
    assert_eq!(runs(&actions).len(), 1);
    assert_ne!(zone_of(&runs(&actions)[0].replica), zone);
}

/// Guards against loads in evacuated zones and against loads in progress in such zones that use up
/// the limit.
#[rstest]
fn loads_go_to_replicas_outside_evacuated_zones() {
    let mut fixture = Fixture::new(view_with_zones(40, 2), OrderLeases::default());
    let loading = requested_reports(&fixture.publish_version_in(&view_with_zones(40, 2), 2));
    assert_eq!(loading.len(), 8, "a fifth of forty");
    // The same fleet, with all replicas that load first in one zone.
    let mut fleet = view_with_zones(40, 2);
    for replica in fleet.replicas_mut() {
        let is_loading = loading.iter().any(|id| **id == *replica.id);
        let zone = if is_loading { "a" } else { "b" };
        replica.zone = zone.into();
    }
    let mut fixture = Fixture::new(fleet.clone(), OrderLeases::default());
    assert_eq!(
        requested_reports(&fixture.publish_version_in(&fleet, 2)),
        loading
    );
    let mut evacuated_view = with_evacuated(fleet, &["a"], 2);
    evacuated_view.versions = Arc::new(BTreeMap::from([("model".to_string(), 2)]));
    evacuated_view.versions_revision = 2;
    fixture.advance(100);
    let mut actions = fixture.handle(Event::View(evacuated_view));
    fixture.advance(100);
    actions.extend(fixture.handle(Event::Tick));
    let outside = requested_reports(&actions);
    assert_eq!(outside.len(), 6, "a fifth of the other replicas");
    assert!(outside.is_disjoint(&loading), "{outside:?}");
}

fn requested_reports(actions: &[Action]) -> BTreeSet<String> {
    let requests = actions.iter().filter_map(|action| match action {
        Action::RequestReport { replica, .. } => Some(replica.clone()),
        _ => None,
    });
    requests.collect()
}

/// Guards against dividing evacuated replicas among models.
#[rstest]
fn models_share_the_replicas_outside_evacuated_zones() {
    let mut fleet = view_with_zones(16, 1);
    let mut configuration = (**fleet.configuration.as_ref().expect("a configuration")).clone();
    configuration.services[0].models = vec!["model".to_string(), "other".to_string()];
    fleet.configuration = Some(Arc::new(configuration));
    for replica in fleet.replicas_mut() {
        // Replicas that serve the other model first are only in the zones to be evacuated.
        let is_other = ["a", "b"].contains(&&*replica.zone);
        replica.models.set("model", if is_other { 0 } else { 1 });
    }
    let mut fixture = Fixture::new(fleet.clone(), OrderLeases::default());
    fixture.register_edge("edge-1");
    let mut evacuated_view = with_evacuated(fleet, &["a", "b"], 2);
    evacuated_view.versions = Arc::new(BTreeMap::from([("other".to_string(), 1)]));
    evacuated_view.versions_revision = 2;
    fixture.advance(100);
    let mut actions = fixture.handle(Event::View(evacuated_view));
    for _ in 0..3 {
        fixture.advance(100);
        actions.extend(fixture.handle(Event::Tick));
    }
    let loading = requested_zones(&actions);
    assert!(!loading.is_empty(), "the other model is loaded outside");
    assert!(
        !loading.contains(&"a") && !loading.contains(&"b"),
        "{loading:?}"
    );
}
