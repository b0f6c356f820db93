//! How long attempts take, whether another follows, after which pause.

use super::{
    REPLICA_FAULT_BACKOFF, SCORING_BACKOFF, attempt_timeout, ends_before, may_offer_again,
    may_resume_stream, scoring_has_failed, scoring_silence, stream_stall_timeout,
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
fn pauses_double_up_to_the_longest(
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
#[case::after_silence(100, 2, 1_600)]
#[case::doubled_no_more(100, 20, 102_400)]
fn an_attempt_is_limited_by_objective_and_silence(
    #[case] objective_ms: u64,
    #[case] silent: u32,
    #[case] timeout_ms: u64,
) {
    assert_eq!(attempt_timeout(ms(objective_ms), silent), ms(timeout_ms));
}

#[rstest]
#[case::first(0, 0, 2, true)]
#[case::all_offers_used(2, 2, 2, false)]
#[case::unsent_attempts_are_free(1, 5, 2, true)]
#[case::unsent_attempts_are_limited(1, 6, 2, false)]
fn a_request_is_offered_as_often_as_its_route_allows(
    #[case] offers: u32,
    #[case] attempts: u32,
    #[case] most_offers: u32,
    #[case] may: bool,
) {
    assert_eq!(may_offer_again(offers, attempts, most_offers), may);
}

#[rstest]
#[case::allowed(true, 1, 2, true)]
#[case::attempts_used(true, 2, 2, false)]
#[case::not_repeatable(false, 1, 2, false)]
fn a_stream_is_resumed_only_where_its_events_may_be_made_again(
    #[case] is_repeatable: bool,
    #[case] attempts: u32,
    #[case] most_attempts: u32,
    #[case] may: bool,
) {
    assert_eq!(
        may_resume_stream(is_repeatable, attempts, most_attempts),
        may
    );
}

#[rstest]
#[case::floor(100, 900)]
#[case::floor_reached(450, 900)]
#[case::objectives(1_000, 2_000)]
fn a_stream_stalls_after_two_objectives_or_the_floor(
    #[case] objective_ms: u64,
    #[case] stall_ms: u64,
) {
    assert_eq!(stream_stall_timeout(ms(objective_ms)), ms(stall_ms));
}

#[rstest]
fn a_scoring_call_fails_after_the_errors_that_its_route_allows() {
    assert!(!scoring_has_failed(1, 2));
    assert!(scoring_has_failed(2, 2));
    assert_eq!(scoring_silence(1, 3), 7);
}

#[rstest]
fn no_attempt_follows_a_pause_that_ends_at_the_deadline() {
    let now = Moment::now();
    assert!(ends_before(now, ms(20), now + ms(21)));
    assert!(!ends_before(now, ms(20), now + ms(20)));
}
