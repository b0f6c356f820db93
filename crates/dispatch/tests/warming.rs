//! Guards against granting more requests to a replica that warms up than its limit allows, also
//! after the leader changes, and against items that wait although the limit allows them.

mod fixture;
mod support;

use brasspond_cluster_protocol::{Pace, RunEnd, RunSpec};
use brasspond_dispatch::{Event, OrderLeases};
use brasspond_fleet::{ReplicaInfo, WarmUp};
use brasspond_warmup::{LEADER_OVERLAP_MS, PERMIT_MS};
use fixture::warming::{
    BUDGET_WINDOW_MS, CLOCK_OFFSET_MS, LIMIT_PER_SECOND, PROPAGATION_TIME_MS, SLOTS, leader,
    view_with_warm_up, warming_replica,
};
use fixture::{Fixture, event, runs};
use rstest::rstest;
use std::sync::Arc;
use support::{replica, submission};

/// Advances time in steps of 5 ms; returns the started runs with their start times.
fn run_budget_events(fixture: &mut Fixture, ms: u64) -> Vec<(u64, RunSpec)> {
    let mut started = Vec::new();
    for _ in 0..ms / 5 {
        fixture.advance(5);
        let now = fixture.now();
        let new = runs(&fixture.handle(Event::BudgetOpened));
        started.extend(new.into_iter().map(|run| (now, run)));
    }
    started
}

fn max_per_second(at: &[u64]) -> usize {
    let counts = at.iter().enumerate().map(|(first, at_first)| {
        let within = at[first..]
            .iter()
            .take_while(|later| **later < at_first + 1_000);
        within.count()
    });
    counts.max().unwrap_or(0)
}

#[rstest]
fn a_new_replica_receives_requests_up_to_its_limit() {
    let mut fixture = leader();
    fixture.set_replica(warming_replica(0, 3_000));
    let first = runs(&fixture.accept(submission("job", &[10; 90], 1)));
    assert_eq!(first.len(), LIMIT_PER_SECOND);
    let mut started: Vec<(u64, RunSpec)> = first.into_iter().map(|run| (5_000, run)).collect();
    started.extend(run_budget_events(&mut fixture, 2_999));
    let at: Vec<u64> = started.iter().map(|(at, _)| *at).collect();
    assert!(max_per_second(&at) <= LIMIT_PER_SECOND);
    // Nine tenths of the limit over three seconds, as items are always waiting.
    assert!(
        started.len() * 10 >= 3 * LIMIT_PER_SECOND * 9,
        "{}",
        started.len()
    );
    let limits = started
        .iter()
        .map(|(at, run)| (run.send_by, at + CLOCK_OFFSET_MS + PERMIT_MS));
    assert!(
        limits
            .into_iter()
            .all(|(limit, expected)| limit == Some(expected))
    );
}

#[rstest]
fn a_budget_applies_until_all_edges_know_that_the_replica_is_warm() {
    let mut fixture = leader();
    fixture.set_replica(warming_replica(0, 1_000));
    fixture.accept(submission("job", &[10; 90], 1));
    run_budget_events(&mut fixture, 1_000 + PROPAGATION_TIME_MS - 5);
    assert_eq!(
        fixture.dispatcher().workload().running,
        2 * LIMIT_PER_SECOND
    );
    run_budget_events(&mut fixture, 5);
    assert_eq!(fixture.dispatcher().workload().running, 90);
}

#[rstest]
fn a_new_leader_counts_all_budgets_as_spent() {
    let mut view = view_with_warm_up(1);
    view.insert_replica(warming_replica(0, 5_000));
    let mut fixture = Fixture::new(view, OrderLeases::default());
    fixture.register_edge("edge");
    fixture.report_clock("edge", CLOCK_OFFSET_MS);
    fixture.accept(submission("job", &[10; 90], 1));
    assert!(run_budget_events(&mut fixture, LEADER_OVERLAP_MS + BUDGET_WINDOW_MS - 5).is_empty());
    assert_eq!(run_budget_events(&mut fixture, 10).len(), LIMIT_PER_SECOND);
}

#[rstest]
fn a_leader_counts_budgets_as_spent_until_it_is_confirmed() {
    let mut fixture = Fixture::new(view_with_warm_up(0), OrderLeases::default());
    fixture.set_confirmed_leader(false);
    fixture.register_edge("edge");
    fixture.report_clock("edge", CLOCK_OFFSET_MS);
    fixture.accept(submission("job", &[10; 90], 1));
    fixture.set_replica(warming_replica(0, 9_000));
    assert!(
        run_budget_events(&mut fixture, 3_000).is_empty(),
        "it may not be the leader"
    );
    fixture.set_confirmed_leader(true);
    let unknown = LEADER_OVERLAP_MS + BUDGET_WINDOW_MS;
    assert!(
        run_budget_events(&mut fixture, unknown).is_empty(),
        "another leader may have granted requests"
    );
    assert_eq!(run_budget_events(&mut fixture, 10).len(), LIMIT_PER_SECOND);
    fixture.set_confirmed_leader(false);
    assert!(
        run_budget_events(&mut fixture, 2_000).is_empty(),
        "it may no longer be the leader"
    );
}

#[rstest]
fn the_budget_of_a_replica_that_warms_up_again_counts_as_spent() {
    let mut fixture = leader();
    fixture.set_replica(replica(0, SLOTS));
    let first = fixture.accept(submission("job", &[10; 20], 1));
    assert_eq!(runs(&first).len(), 20, "the replica is warm");
    fixture.set_replica(warming_replica(0, 3_000));
    assert!(runs(&fixture.accept(submission("more", &[10; 50], 1))).is_empty());
    assert!(run_budget_events(&mut fixture, BUDGET_WINDOW_MS - 5).is_empty());
    assert_eq!(run_budget_events(&mut fixture, 10).len(), LIMIT_PER_SECOND);
}

#[rstest]
fn a_budget_is_kept_while_its_entry_is_missing() {
    let mut fixture = leader();
    fixture.set_replica(warming_replica(0, 3_000));
    let started = runs(&fixture.accept(submission("job", &[10; 90], 1)));
    assert_eq!(started.len(), LIMIT_PER_SECOND);
    for run in &started {
        fixture.end_run("edge", run, RunEnd::Cancelled);
    }
    fixture.remove_replica("replica-0");
    run_budget_events(&mut fixture, 300);
    assert!(runs(&fixture.set_replica(warming_replica(0, 3_000))).is_empty());
    assert!(run_budget_events(&mut fixture, BUDGET_WINDOW_MS - 305).is_empty());
    assert_eq!(run_budget_events(&mut fixture, 5).len(), LIMIT_PER_SECOND);
}

#[rstest]
#[case(RunEnd::Unsent, true)]
#[case(RunEnd::NotRun { other_replica: true }, true)]
#[case(RunEnd::Unreachable, true)]
#[case(RunEnd::Broken, false)]
#[case(RunEnd::Failed, false)]
#[case(RunEnd::Cancelled, false)]
#[case(RunEnd::NotRun { other_replica: false }, false)]
fn only_grants_of_requests_that_never_reached_the_replica_are_refunded(
    #[case] end: RunEnd,
    #[case] is_refunded: bool,
) {
    let mut fixture = leader();
    fixture.set_replica(warming_replica(0, 5_000));
    let started = runs(&fixture.accept(submission("job", &[10; 90], 1)));
    assert_eq!(started.len(), LIMIT_PER_SECOND);
    let mut again = runs(&fixture.end_run("edge", &started[0], end)).len();
    // A replica at fault for the end of the run receives no item during its pause.
    again += run_budget_events(&mut fixture, 500).len();
    assert_eq!(again, usize::from(is_refunded));
}

#[rstest]
fn a_run_goes_only_to_an_edge_whose_clock_is_known() {
    let mut fixture = Fixture::new(view_with_warm_up(0), OrderLeases::default());
    fixture.register_edge("edge");
    fixture.advance(5_000);
    fixture.set_replica(warming_replica(0, 3_000));
    assert!(runs(&fixture.accept(submission("job", &[10; 90], 1))).is_empty());
    assert!(run_budget_events(&mut fixture, 500).is_empty());
    fixture.report_clock("edge", CLOCK_OFFSET_MS);
    assert_eq!(run_budget_events(&mut fixture, 10).len(), LIMIT_PER_SECOND);
}

#[rstest]
fn an_unsent_item_is_ordered_again_after_a_pause() {
    let mut fixture = leader();
    fixture.set_replica(replica(0, SLOTS));
    let started = runs(&fixture.accept(submission("job", &[10], 1)));
    assert_eq!(started[0].send_by, None);
    assert!(runs(&fixture.end_run("edge", &started[0], RunEnd::Unsent)).is_empty());
    assert_eq!(run_budget_events(&mut fixture, 300).len(), 1);
}

#[rstest]
fn the_next_opening_is_known_while_items_wait() {
    let mut fixture = leader();
    fixture.set_replica(warming_replica(0, 5_000));
    assert_eq!(fixture.dispatcher().next_opening(), None, "nothing waits");
    fixture.accept(submission("job", &[10; 90], 1));
    let now = fixture.now();
    assert_eq!(
        fixture.dispatcher().next_opening(),
        Some(now + BUDGET_WINDOW_MS)
    );
    assert!(
        !fixture
            .dispatcher()
            .is_opening_due(now + BUDGET_WINDOW_MS - 1)
    );
    assert!(fixture.dispatcher().is_opening_due(now + BUDGET_WINDOW_MS));
    fixture.advance(BUDGET_WINDOW_MS);
    let started = runs(&fixture.handle(Event::BudgetOpened));
    assert_eq!(started.len(), LIMIT_PER_SECOND);
}

/// Guards against waking the process repeatedly for one opened budget when no edge can run the
/// items.
#[rstest]
fn an_opening_wakes_the_process_once() {
    let mut fixture = leader().next_leader();
    fixture.accept(submission("job", &[10; 90], 1));
    fixture.set_replica(warming_replica(0, 9_000));
    let opens_at = LEADER_OVERLAP_MS + BUDGET_WINDOW_MS;
    fixture.advance(opens_at);
    assert!(fixture.dispatcher().is_opening_due(opens_at));
    fixture.handle(Event::BudgetOpened);
    assert!(!fixture.dispatcher().is_opening_due(opens_at));
}

/// Runs one item, reports its pace and ends its job.
fn run_at_pace(fixture: &mut Fixture, job: &str, replica: &str, event_ms: u32) {
    let started = runs(&fixture.accept(submission(job, &[10], 1)));
    assert_eq!(started[0].replica, replica);
    let events = (1..=4).map(|id| event(id, "text", 1)).collect();
    fixture.handle(Event::Progress {
        machine: "edge-1".to_string(),
        attempt: started[0].attempt,
        events,
        pace: Some(Pace {
            events: 4,
            span_ms: 4 * event_ms,
        }),
    });
    fixture.end_job(job);
    fixture.end_run("edge", &started[0], RunEnd::Cancelled);
}

/// Guards against treating a replica as slow because of its paces during the warm-up.
#[rstest]
#[case(3_000, true)]
#[case(0, false)]
fn paces_of_a_replica_that_warms_up_do_not_count(
    #[case] warming_ms: u64,
    #[case] expects_shared: bool,
) {
    let mut fixture = leader();
    fixture.set_replica(warming_replica(0, warming_ms));
    run_at_pace(&mut fixture, "slow", "replica-0", 500);
    fixture.set_replica(ReplicaInfo {
        draining: true,
        ..warming_replica(0, warming_ms)
    });
    fixture.set_replica(replica(1, SLOTS));
    run_at_pace(&mut fixture, "fast", "replica-1", 20);
    fixture.handle(Event::Tick);
    run_budget_events(&mut fixture, 4_000);
    fixture.set_replica(warming_replica(0, warming_ms));
    let started = runs(&fixture.accept(submission("both", &[10; 20], 1)));
    let is_shared = started.iter().any(|run| run.replica == "replica-0");
    assert_eq!(is_shared, expects_shared);
}

/// Guards against a new leader that ignores grants of the earlier one because it considered the
/// replica as warm.
#[rstest]
fn the_budget_of_a_replica_that_was_warm_starts_as_spent() {
    let mut fixture = Fixture::new(view_with_warm_up(1), OrderLeases::default());
    fixture.register_edge("edge");
    fixture.report_clock("edge", CLOCK_OFFSET_MS);
    fixture.advance(10);
    fixture.set_replica(warming_replica(0, 5_000));
    fixture.accept(submission("job", &[10; 90], 1));
    assert!(run_budget_events(&mut fixture, LEADER_OVERLAP_MS + BUDGET_WINDOW_MS - 15).is_empty());
    assert_eq!(run_budget_events(&mut fixture, 15).len(), LIMIT_PER_SECOND);
}

#[rstest]
fn a_budget_counts_as_spent_after_its_limit_rises() {
    let mut view = view_with_warm_up(1);
    view.insert_replica(warming_replica(0, 5_000));
    let mut fixture = Fixture::new(view.clone(), OrderLeases::default());
    fixture.register_edge("edge");
    fixture.report_clock("edge", CLOCK_OFFSET_MS);
    fixture.accept(submission("job", &[10; 90], 1));
    fixture.advance(10);
    let configuration = Arc::make_mut(view.configuration.as_mut().expect("a configuration"));
    configuration.services[0].warm_up = Some(WarmUp {
        time_ms: 3_000,
        per_second: LIMIT_PER_SECOND as f64 + 1.0,
    });
    view.configuration_revision = 1_000;
    fixture.handle(Event::View(view));
    assert!(run_budget_events(&mut fixture, LEADER_OVERLAP_MS + BUDGET_WINDOW_MS - 15).is_empty());
    assert_eq!(
        run_budget_events(&mut fixture, 15).len(),
        LIMIT_PER_SECOND + 1
    );
}
