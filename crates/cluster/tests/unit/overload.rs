//! Rejection of requests that would be too late, and the backlog of a service.

use super::super::tests::{balancer, plain_requirements, report};
use crate::clock::Moment;
use rstest::rstest;
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against requests that wait for an answer that comes after their deadline, and against
/// rejecting requests while a slot is free.
#[rstest]
fn a_request_is_too_late_only_if_every_replica_is_full_and_slow() {
    let (mut balancer, _) = balancer(&[("a", "n1"), ("b", "n1")]);
    let started = Moment::now();
    let requirements = plain_requirements();
    for id in ["a", "b"] {
        balancer.record_response(id, started, ms(600));
        balancer.record_load(id, &report(6, 11, None));
    }
    // Each replica has 6 slots and 17 requests: two rounds are ahead, the third has the request.
    let now = Moment::now();
    assert!(balancer.is_overloaded(&requirements, ms(1_700), now));
    assert!(!balancer.is_overloaded(&requirements, ms(1_900), now));
    let stale = now + ms(600);
    assert!(!balancer.is_overloaded(&requirements, ms(1_700), stale));
    balancer.record_load("b", &report(5, 0, None));
    assert!(!balancer.is_overloaded(&requirements, ms(100), Moment::now()));
}

/// Guards against rejecting requests by a response time that was never measured.
#[rstest]
fn a_replica_that_has_not_responded_is_never_too_late() {
    let (mut balancer, _) = balancer(&[("a", "n1")]);
    balancer.record_load("a", &report(6, 60, None));
    assert!(!balancer.is_overloaded(&plain_requirements(), ms(1), Moment::now()));
}

/// Guards against rejecting requests of a service without replicas as overload.
#[rstest]
fn a_service_without_replicas_is_not_overloaded() {
    let (balancer, _) = balancer(&[]);
    assert!(!balancer.is_overloaded(&plain_requirements(), ms(1), Moment::now()));
}

/// Guards against callers that come back before the backlog is worked off.
#[rstest]
fn the_backlog_takes_its_requests_times_the_response_time_per_slot() {
    let (mut balancer, _) = balancer(&[("a", "n1"), ("b", "n1")]);
    let started = Moment::now();
    for id in ["a", "b"] {
        balancer.record_response(id, started, ms(120));
        balancer.record_load(id, &report(6, 12, None));
    }
    let requirements = plain_requirements();
    assert_eq!(balancer.backlog_time(&requirements, Moment::now()), ms(240));
    balancer.record_load("a", &report(0, 0, None));
    balancer.record_load("b", &report(6, 0, None));
    assert_eq!(balancer.backlog_time(&requirements, Moment::now()), ms(0));
}
