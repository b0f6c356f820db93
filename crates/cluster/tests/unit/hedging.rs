//! Delay, eligibility and budget of hedges.

use super::{HedgeBudgets, HedgeClass, HedgeDecision, hedge_delay, may_hedge};
use brasspond_fleet::RouteKind;
use rstest::rstest;
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against hedges that come too late to meet the objective, such as one for a replica that
/// is silent from the start, and against hedges of requests that are answered as usual.
#[rstest]
#[case::nothing_known(None, 150, 75)]
#[case::twice_the_usual(Some(30.0), 150, 60)]
#[case::minimum(Some(1.0), 150, 20)]
#[case::maximum(Some(400.0), 150, 75)]
#[case::no_finite_time(Some(f64::INFINITY), 150, 75)]
#[case::short_objective(Some(1.0), 20, 10)]
fn the_delay_is_twice_the_usual_time_within_half_the_objective(
    #[case] typical_ms: Option<f64>,
    #[case] objective_ms: u64,
    #[case] delay_ms: u64,
) {
    assert_eq!(hedge_delay(typical_ms, ms(objective_ms)), ms(delay_ms));
}

/// Guards against a request that runs twice although it may not, and against one that is on more
/// replicas than its route allows.
#[rstest]
#[case::allowed(RouteKind::Idempotent, 0, 2, 150, true)]
#[case::one_attempt(RouteKind::Idempotent, 0, 1, 150, false)]
#[case::last_attempt(RouteKind::Idempotent, 1, 2, 150, false)]
#[case::second_of_three(RouteKind::Idempotent, 1, 3, 150, true)]
#[case::not_repeatable(RouteKind::NonIdempotent, 0, 4, 150, false)]
#[case::stream(RouteKind::Streaming, 0, 4, 150, false)]
#[case::no_objective(RouteKind::Idempotent, 0, 4, 0, false)]
fn only_repeatable_requests_with_attempts_left_are_hedged(
    #[case] kind: RouteKind,
    #[case] delivered: u32,
    #[case] max_attempts: u32,
    #[case] objective_ms: u64,
    #[case] may: bool,
) {
    let objective = ms(objective_ms);
    assert_eq!(may_hedge(kind, delivered, max_attempts, objective), may);
}

/// Hedges sent of `requests` requests, all of which wait long.
fn sent(budgets: &mut HedgeBudgets, class: HedgeClass, requests: usize) -> usize {
    let decisions = (0..requests).map(|_| {
        budgets.count_request("plain");
        budgets.decide("plain", class, true)
    });
    decisions.filter(|one| *one == HedgeDecision::Send).count()
}

/// Guards against a burst at slow replicas that doubles its own load.
#[rstest]
fn a_burst_is_hedged_for_half_of_its_requests_and_the_saved_ones() {
    let mut budgets = HedgeBudgets::default();
    let hedges = sent(&mut budgets, HedgeClass::Caller, 200);
    assert!((108..=110).contains(&hedges), "{hedges}");
    let last = budgets.decide("plain", HedgeClass::Caller, true);
    assert_eq!(last, HedgeDecision::NoBudget);
    let other_service = budgets.decide("other", HedgeClass::Caller, true);
    assert_eq!(other_service, HedgeDecision::Send);
}

/// Guards against a budget that grows without bound in quiet time and is then spent at once.
#[rstest]
fn quiet_time_saves_a_bounded_number_of_hedges() {
    let mut budgets = HedgeBudgets::default();
    for _ in 0..1_000 {
        budgets.count_request("plain");
    }
    let decisions = (0..100).map(|_| budgets.decide("plain", HedgeClass::Caller, true));
    let hedges = decisions.filter(|one| *one == HedgeDecision::Send).count();
    assert_eq!(hedges, 10);
}

/// Guards against hedges that are paid for although no replica can take them.
#[rstest]
fn nothing_is_spent_while_all_slots_are_in_use() {
    let mut budgets = HedgeBudgets::default();
    for _ in 0..100 {
        let decision = budgets.decide("plain", HedgeClass::Caller, false);
        assert_eq!(decision, HedgeDecision::NoReplica);
    }
    let first = budgets.decide("plain", HedgeClass::Caller, true);
    assert_eq!(first, HedgeDecision::Send);
}

/// Guards against scoring calls that use up the hedges of callers.
#[rstest]
fn scoring_calls_leave_hedges_to_callers() {
    let mut budgets = HedgeBudgets::default();
    sent(&mut budgets, HedgeClass::ScoringCall, 200);
    let decisions = (0..100).map(|_| budgets.decide("plain", HedgeClass::Caller, true));
    let hedges = decisions.filter(|one| *one == HedgeDecision::Send).count();
    assert!(hedges >= 5, "{hedges}");
}
