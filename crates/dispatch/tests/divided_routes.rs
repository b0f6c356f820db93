//! Guards against items of one service that keep the other items of their job waiting, and against
//! items that wait for a service without replicas while another service of their route has room.

mod fixture;
mod support;

use brasspond_cluster_protocol::{RunEnd, RunSpec};
use brasspond_dispatch::{Event, OrderLeases};
use brasspond_fleet::{Configuration, FleetView, Regions, ReplicaInfo, Service, Target};
use fixture::warming::{leader, warming_replica};
use fixture::{Fixture, run_ticks, runs};
use rstest::rstest;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Items of a job; the tenth part goes to the canary by weight.
const ITEMS: usize = 40;
/// Replicas 0 to 2 are of the main service, with room for all items.
const MAIN_REPLICAS: usize = 3;
const MAIN_SLOTS: u32 = 16;
const CANARY: &str = "replica-3";

fn configuration(view: &mut FleetView) -> &mut Configuration {
    view.configuration_revision += 1;
    Arc::make_mut(view.configuration.as_mut().expect("a configuration"))
}

/// Returns a view whose route sends a tenth of its items to a second service with one replica.
fn divided_view(canary_slots: u32) -> FleetView {
    let mut view = support::view(MAIN_REPLICAS, MAIN_SLOTS);
    let configuration = configuration(&mut view);
    let canary = Service {
        name: "canary".to_string(),
        ..configuration.services[0].clone()
    };
    configuration.services.push(canary);
    configuration.routes[0].targets[0].weight = 9;
    configuration.routes[0].targets.push(Target {
        service: "canary".to_string(),
        weight: 1,
    });
    view.insert_replica(canary_replica(canary_slots));
    view
}

fn canary_replica(slots: u32) -> ReplicaInfo {
    ReplicaInfo {
        service: "canary".into(),
        ..support::replica(3, slots)
    }
}

fn leader_of(view: FleetView) -> Fixture {
    let mut fixture = Fixture::new(view, OrderLeases::default());
    fixture.register_edge("edge-1");
    fixture
}

fn accept(fixture: &mut Fixture) -> Vec<RunSpec> {
    runs(&fixture.accept(support::submission("job", &[9; ITEMS], 1)))
}

fn on_canary(runs: &[RunSpec]) -> usize {
    runs.iter().filter(|run| run.replica == CANARY).count()
}

#[rstest]
fn a_full_service_keeps_back_only_its_own_items() {
    let mut fixture = leader_of(divided_view(1));
    let started = accept(&mut fixture);
    assert_eq!(on_canary(&started), 1, "the slots of the canary");
    let main = started.len() - 1;
    assert_eq!(fixture.dispatcher().counts(), (main + 1, ITEMS - main - 1));
    assert!(main >= ITEMS * 8 / 10, "{main} items of the main service");
}

/// Each waiting item is counted for its own service, whichever item is the first of its job.
#[rstest]
fn waiting_items_are_counted_by_their_services() {
    let mut view = divided_view(1);
    view.replica_mut("replica-0").expect("a replica").slots = 1;
    let mut fixture = leader_of(view);
    accept(&mut fixture);
    let requests = fixture.dispatcher().requests_by_service();
    assert_eq!(requests["engines"] + requests["canary"], ITEMS);
    assert!((2..=6).contains(&requests["canary"]), "{requests:?}");
}

#[rstest]
#[case::removed(|fixture: &mut Fixture| drop(fixture.remove_replica(CANARY)))]
#[case::draining(|fixture: &mut Fixture| {
    drop(fixture.set_replica(ReplicaInfo { draining: true, ..canary_replica(8) }));
})]
fn items_of_a_service_without_replicas_run_on_another_of_the_route(#[case] stop: fn(&mut Fixture)) {
    let mut fixture = leader_of(divided_view(8));
    stop(&mut fixture);
    let started = accept(&mut fixture);
    assert_eq!((started.len(), on_canary(&started)), (ITEMS, 0));
}

/// Items that wait when the last replica of their service goes are started by the same change.
#[rstest]
fn waiting_items_start_elsewhere_when_their_service_loses_its_last_replica() {
    let mut fixture = leader_of(divided_view(1));
    let before = accept(&mut fixture);
    let after = runs(&fixture.remove_replica(CANARY));
    assert_eq!(before.len() + after.len(), ITEMS);
    assert_eq!(on_canary(&after), 0);
}

#[rstest]
fn a_service_gets_its_share_again_when_its_replica_is_back() {
    let mut fixture = leader_of(divided_view(8));
    fixture.remove_replica(CANARY);
    fixture.set_replica(canary_replica(8));
    let started = accept(&mut fixture);
    assert_eq!(started.len(), ITEMS);
    assert!((2..=6).contains(&on_canary(&started)));
}

#[rstest]
fn a_target_with_weight_0_gets_no_items_of_a_lost_service() {
    let mut view = divided_view(8);
    configuration(&mut view).routes[0].targets[0].weight = 0;
    let mut fixture = leader_of(view);
    fixture.remove_replica(CANARY);
    assert_eq!(accept(&mut fixture).len(), 0);
    assert_eq!(runs(&fixture.set_replica(canary_replica(64))).len(), ITEMS);
}

/// A replica outside the regions of the route does not keep its service usable.
#[rstest]
fn items_leave_a_service_whose_replicas_are_outside_their_regions() {
    let mut view = divided_view(8);
    for replica in view.replicas_mut() {
        let is_canary = &*replica.id == CANARY;
        replica.region = Some(if is_canary { "south" } else { "north" }.into());
    }
    configuration(&mut view).routes[0].regions = Regions::only(["north"]);
    let mut fixture = Fixture::new(view, OrderLeases::default());
    fixture.handle(Event::EdgeUp {
        machine: "edge-1".to_string(),
        zone: "zone".to_string(),
        region: Some("north".into()),
        runs: Vec::new(),
    });
    assert_eq!(accept(&mut fixture).len(), ITEMS);
}

/// A replica that is listed but cannot be reached keeps its items for a few faults only. It is
/// tried again after each pause.
#[rstest]
fn items_leave_a_service_whose_only_replica_cannot_be_reached() {
    let mut fixture = leader_of(divided_view(8));
    let mut unreachable = accept(&mut fixture);
    unreachable.retain(|run| run.replica == CANARY);
    let owed: BTreeSet<u32> = unreachable.iter().map(|run| run.item).collect();
    assert!(!owed.is_empty());
    let mut elsewhere = BTreeSet::new();
    for _ in 0..50 {
        let mut actions = Vec::new();
        for run in std::mem::take(&mut unreachable) {
            actions.extend(fixture.end_run("edge-1", &run, RunEnd::Unreachable));
        }
        actions.extend(run_ticks(&mut fixture, 100, true));
        for run in runs(&actions) {
            if run.replica == CANARY {
                unreachable.push(run);
            } else if owed.contains(&run.item) {
                elsewhere.insert(run.item);
            }
        }
    }
    assert_eq!(elsewhere, owed, "all started elsewhere within 5 s");
}

/// A replica that warms up needs an edge whose clock is known. Without one, items go to replicas
/// that are warm, though the other one costs less.
#[rstest]
fn a_replica_that_no_edge_can_use_does_not_keep_items_waiting() {
    let mut fixture = leader();
    fixture.handle(Event::EdgeDown("edge".to_string()));
    fixture.set_replica(warming_replica(0, 20_000));
    fixture.set_replica(support::replica(1, 8));
    fixture.advance(5_000);
    fixture.handle(Event::Tick);
    fixture.register_edge("edge-without-clock");
    let started = runs(&fixture.accept(support::submission("job", &[9; 6], 1)));
    let replicas: BTreeSet<_> = started.iter().map(|run| run.replica.as_str()).collect();
    assert_eq!(started.len(), 6);
    assert_eq!(replicas, BTreeSet::from(["replica-1"]));
}
