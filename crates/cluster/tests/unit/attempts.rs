//! Timeouts, retry limits and backoff of attempts.

use super::{
    REPLICA_FAULT_BACKOFF, SCORING_BACKOFF, attempt_timeout, full_replica_pause, may_resume_stream,
    may_retry, pause_fits, scoring_has_failed, stream_stall_timeout, weighted_timeouts,
};
use crate::clock::Moment;
use rstest::rstest;
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[rstest]
#[case::first(0, 200, 10)]
#[case::second(1, 400, 20)]
#[case::fourth(3, 1_600, 80)]
#[case::fifth(4, 3_000, 160)]
#[case::many(u32::MAX, 3_000, 160)]
fn backoff_doubles_up_to_the_maximum(
    #[case] earlier: u32,
    #[case] fault_ms: u64,
    #[case] scoring_ms: u64,
) {
    assert_eq!(REPLICA_FAULT_BACKOFF.pause(earlier), ms(fault_ms));
    assert_eq!(SCORING_BACKOFF.pause(earlier), ms(scoring_ms));
}

#[rstest]
#[case::floor(100, 0, 400)]
#[case::objectives(500, 0, 1_500)]
#[case::after_timeouts(100, 2, 1_600)]
#[case::maximum_doublings(100, 20, 102_400)]
fn attempt_timeout_depends_on_objective_and_timeouts(
    #[case] objective_ms: u64,
    #[case] timed_out: u32,
    #[case] timeout_ms: u64,
) {
    assert_eq!(attempt_timeout(ms(objective_ms), timed_out), ms(timeout_ms));
}

#[rstest]
#[case::first(0, 0, 2, true)]
#[case::all_attempts_used(2, 2, 2, false)]
#[case::unsent_attempts_are_free(1, 5, 2, true)]
#[case::unsent_attempts_are_limited(1, 6, 2, false)]
fn a_request_is_retried_as_often_as_its_route_allows(
    #[case] delivered: u32,
    #[case] attempts: u32,
    #[case] max_attempts: u32,
    #[case] may: bool,
) {
    assert_eq!(may_retry(delivered, attempts, max_attempts), may);
}

#[rstest]
#[case::allowed(true, 1, 2, true)]
#[case::attempts_used(true, 2, 2, false)]
#[case::not_repeatable(false, 1, 2, false)]
fn only_a_repeatable_stream_is_resumed(
    #[case] is_repeatable: bool,
    #[case] attempts: u32,
    #[case] max_attempts: u32,
    #[case] may: bool,
) {
    assert_eq!(
        may_resume_stream(is_repeatable, attempts, max_attempts),
        may
    );
}

#[rstest]
#[case::floor(100, 900)]
#[case::floor_reached(450, 900)]
#[case::objectives(1_000, 2_000)]
fn a_stream_stalls_after_two_objectives_or_the_minimum(
    #[case] objective_ms: u64,
    #[case] stall_ms: u64,
) {
    assert_eq!(stream_stall_timeout(ms(objective_ms)), ms(stall_ms));
}

#[rstest]
fn a_scoring_call_fails_after_the_attempts_of_its_route() {
    assert!(!scoring_has_failed(1, 2));
    assert!(scoring_has_failed(2, 2));
    assert_eq!(weighted_timeouts(1, 3), 7);
}

#[rstest]
fn a_pause_that_ends_at_the_deadline_does_not_fit() {
    let now = Moment::now();
    assert!(pause_fits(now, ms(20), now + ms(21)));
    assert!(!pause_fits(now, ms(20), now + ms(20)));
}

/// Guards against scoring calls that return to full replicas at once, or all at the same time.
#[rstest]
#[case::earliest(0.0, 40)]
#[case::latest(1.0, 80)]
fn a_call_that_full_replicas_rejected_waits_for_a_slot(#[case] random: f64, #[case] pause_ms: u64) {
    assert_eq!(full_replica_pause(ms(80), random), ms(pause_ms));
}
