//! Guards against sending items, scoring calls or the log outside the regions to which jobs are
//! bound.

mod fixture;
mod support;

use brasspond_cluster_protocol::{RunEnd, RunSpec, ScoringEnd};
use brasspond_dispatch::residency::{has_bound_bodies, job_regions, shared_regions};
use brasspond_dispatch::{Action, Event, OrderLeases};
use brasspond_fleet::{Configuration, FleetView, Regions, RouteKind, Tenant};
use brasspond_jobs::{Command, JobTable, ScoringCall, Submission};
use bytes::Bytes;
use fixture::{Fixture, event, runs};
use rstest::rstest;
use std::sync::Arc;

/// Returns a view with replicas in the north and the south in turn.
fn view_of_two_regions(replicas: usize) -> FleetView {
    let mut view = support::view(replicas, 4);
    for (number, replica) in view.replicas_mut().enumerate() {
        let region = if number % 2 == 0 { "north" } else { "south" };
        replica.region = Some(region.into());
    }
    view
}

/// Binds the route of jobs to regions.
fn bind_route(view: &mut FleetView, regions: &[&str]) {
    let configuration = Arc::make_mut(view.configuration.as_mut().expect("a configuration"));
    configuration.routes[0].regions = Regions::only(regions.iter().copied());
    view.configuration_revision += 1;
}

/// Registers an edge in a region.
fn register_edge_in(fixture: &mut Fixture, machine: &str, region: &str) -> Vec<Action> {
    fixture.handle(Event::EdgeUp {
        machine: machine.to_string(),
        zone: "zone".to_string(),
        region: Some(region.into()),
        runs: Vec::new(),
    })
}

/// Returns the started runs with their edges.
fn started_runs(actions: &[Action]) -> Vec<(String, RunSpec)> {
    let orders = actions.iter().filter_map(|action| match action {
        Action::Run { machine, spec } => Some((machine.clone(), (**spec).clone())),
        _ => None,
    });
    orders.collect()
}

fn cancelled_runs(actions: &[Action]) -> usize {
    let cancels = actions.iter();
    let cancels = cancels.filter(|action| matches!(action, Action::Cancel { .. }));
    cancels.count()
}

/// Returns a leader with an edge in each region.
fn fixture(view: FleetView) -> Fixture {
    let mut fixture = Fixture::new(view, OrderLeases::default());
    register_edge_in(&mut fixture, "edge-north", "north");
    register_edge_in(&mut fixture, "edge-south", "south");
    fixture
}

#[rstest]
fn items_go_only_to_replicas_and_edges_inside() {
    let mut view = view_of_two_regions(4);
    bind_route(&mut view, &["north"]);
    let mut fixture = fixture(view);
    let actions = fixture.accept(support::submission("job", &[9; 20], 1));
    let orders = started_runs(&actions);
    assert_eq!(orders.len(), 8, "the slots of two replicas");
    for (machine, spec) in orders {
        assert_eq!(machine, "edge-north");
        assert!(["replica-0", "replica-2"].contains(&spec.replica.as_str()));
    }
}

#[rstest]
fn nothing_runs_without_an_edge_inside() {
    let mut view = view_of_two_regions(4);
    bind_route(&mut view, &["north"]);
    let mut fixture = Fixture::new(view, OrderLeases::default());
    register_edge_in(&mut fixture, "edge-south", "south");
    let actions = fixture.accept(support::submission("job", &[9; 4], 1));
    assert_eq!(runs(&actions).len(), 0);
    assert_eq!(
        runs(&register_edge_in(&mut fixture, "edge-north", "north")).len(),
        4
    );
}

/// Guards against runs that stay outside after a configuration narrows the regions, and against
/// losing their events.
#[rstest]
fn runs_outside_resume_inside_when_regions_narrow() {
    let mut view = view_of_two_regions(2);
    let mut fixture = fixture(view.clone());
    let actions = fixture.accept(support::submission("job", &[9; 4], 1));
    let before = started_runs(&actions);
    let is_outside =
        |machine: &str, spec: &RunSpec| machine == "edge-south" || spec.replica == "replica-1";
    let outside = before
        .iter()
        .filter(|(machine, spec)| is_outside(machine, spec));
    let outside: Vec<_> = outside.cloned().collect();
    assert!(!outside.is_empty());
    for (_, spec) in &before {
        fixture.handle(Event::Progress {
            machine: "edge-1".to_string(),
            attempt: spec.attempt,
            events: vec![event(1, "made", 1)],
            pace: None,
        });
    }
    bind_route(&mut view, &["north"]);
    let actions = fixture.handle(Event::View(view));
    assert_eq!(cancelled_runs(&actions), outside.len());
    let after = started_runs(&actions);
    let inside = before.len() - outside.len();
    assert_eq!(
        after.len(),
        outside.len().min(4 - inside),
        "as many as slots are free"
    );
    for (machine, spec) in &after {
        assert!(!is_outside(machine, spec), "{machine} {}", spec.replica);
        assert_eq!(spec.events.len(), 1, "its events are kept");
    }
}

/// Guards against sending the body of a scoring call, which is stored with its item, outside the
/// regions of its own route.
#[rstest]
fn the_route_of_a_scoring_call_restricts_edges_and_the_log() {
    let mut view = view_of_two_regions(2);
    let configuration = Arc::make_mut(view.configuration.as_mut().expect("a configuration"));
    let mut scoring = configuration.routes[0].clone();
    scoring.prefix = "/score/".to_string();
    scoring.kind = RouteKind::Idempotent;
    scoring.regions = Regions::only(["south"]);
    configuration.routes.push(scoring);
    let mut fixture = fixture(view.clone());
    let actions = fixture.accept(scored_submission("job"));
    let orders = started_runs(&actions);
    assert_eq!(orders.len(), 2);
    assert!(orders.iter().all(|(machine, _)| machine == "edge-south"));
    let replicas = orders.iter().map(|(_, spec)| spec.replica.as_str());
    let mut replicas: Vec<&str> = replicas.collect();
    replicas.sort_unstable();
    assert_eq!(
        replicas,
        ["replica-0", "replica-1"],
        "items themselves are not bound"
    );
    assert!(has_bound_bodies(&view, &fixture.table));
    let configuration = view.configuration.as_ref().expect("a configuration");
    let job = fixture.table.job("job").expect("an accepted job");
    assert_eq!(job_regions(configuration, job), Regions::only(["south"]));
    // A repeated call is bound to the same regions.
    let (machine, spec) = &orders[0];
    let ended = fixture.handle(Event::RunEnded {
        machine: machine.clone(),
        attempt: spec.attempt,
        events: vec![event(1, "text", 1)],
        end: RunEnd::Whole,
    });
    for action in &ended {
        if let Action::Keep(draft) = action {
            fixture.table.apply(Command::Draft(vec![draft.clone()]));
        }
    }
    fixture.handle(Event::Scored {
        machine: machine.clone(),
        attempt: spec.attempt,
        end: ScoringEnd::Unanswered,
    });
    fixture.advance(200);
    let actions = fixture.handle(Event::Tick);
    let scorers = actions.iter().filter_map(|action| match action {
        Action::Score { machine, .. } => Some(machine.as_str()),
        _ => None,
    });
    assert_eq!(scorers.collect::<Vec<_>>(), ["edge-south"]);
}

fn scored_submission(id: &str) -> Submission {
    let mut submission = support::submission(id, &[9, 9], 1);
    for item in &mut submission.items {
        item.scoring = Some(ScoringCall {
            id: format!("score-{}", item.id),
            host: "host.example".to_string(),
            path: "/score/x".to_string(),
            body: Bytes::from_static(b"grade this"),
        });
    }
    submission
}

/// Guards against a log placed outside the regions of bound jobs. Routes of jobs restrict it first,
/// in their order, then tenants.
#[rstest]
#[case::nothing_bound(&[None, None], &[], None)]
#[case::one_bound(&[None, Some(&["north"][..])], &[], Some(&["north"][..]))]
#[case::two_overlap(
    &[Some(&["north", "west"][..]), Some(&["south", "west"][..])], &[], Some(&["west"][..]))]
#[case::two_disjoint_the_first_counts(
    &[Some(&["north"][..]), Some(&["south"][..])], &[], Some(&["north"][..]))]
#[case::a_tenant_binds(&[None], &[Some(&["south"][..])], Some(&["south"][..]))]
#[case::routes_go_before_tenants(
    &[Some(&["north"][..])], &[Some(&["south"][..])], Some(&["north"][..]))]
fn regions_that_bound_jobs_share(
    #[case] routes: &[Option<&[&str]>],
    #[case] tenants: &[Option<&[&str]>],
    #[case] expected: Option<&[&str]>,
) {
    let regions = |bound: &Option<&[&str]>| match bound {
        Some(bound) => Regions::only(bound.iter().copied()),
        None => Regions::Any,
    };
    let view = support::view(0, 1);
    let first = view.configuration.as_ref().expect("a configuration").routes[0].clone();
    let routes = routes.iter().map(|bound| {
        let mut route = first.clone();
        route.regions = regions(bound);
        route
    });
    let tenants = tenants.iter().enumerate().map(|(number, bound)| {
        Arc::new(Tenant {
            name: format!("tenant-{number}").into(),
            regions: regions(bound),
            keys: Vec::new(),
            priority: None,
        })
    });
    let configuration = Configuration {
        routes: routes.collect(),
        tenants: tenants.collect(),
        ..Configuration::default()
    };
    assert_eq!(shared_regions(&configuration), regions(&expected));
    assert!(!has_bound_bodies(&view, &JobTable::default()));
}

/// Guards against a log placed outside the regions of routes of scoring calls, which apply after
/// those of jobs and tenants.
#[rstest]
#[case::alone(None, &["south"], &["south"])]
#[case::disjoint_from_those_of_jobs(Some(&["north"][..]), &["south"], &["north"])]
fn routes_of_scoring_calls_restrict_the_log_last(
    #[case] route_regions: Option<&[&str]>,
    #[case] scoring_regions: &[&str],
    #[case] expected: &[&str],
) {
    let view = support::view(0, 1);
    let mut configuration =
        Configuration::clone(view.configuration.as_ref().expect("a configuration"));
    let mut scoring = configuration.routes[0].clone();
    scoring.kind = RouteKind::Idempotent;
    scoring.regions = Regions::only(scoring_regions.iter().copied());
    let regions = route_regions.map(|regions| Regions::only(regions.iter().copied()));
    configuration.routes[0].regions = regions.unwrap_or_default();
    configuration.routes.insert(0, scoring);
    let expected = Regions::only(expected.iter().copied());
    assert_eq!(shared_regions(&configuration), expected);
}
