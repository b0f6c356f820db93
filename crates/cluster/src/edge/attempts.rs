//! Retry policy: timeouts of attempts, retry limits and backoff.
//!
//! Used by callers' requests, broken streams, scoring calls and runs of items. Every rule is a
//! pure function of counts and times; the module keeps no state and reads no clock.
//!
//! | operation | attempt timeout | retried while | backoff |
//! |---|---|---|---|
//! | caller's request | [`attempt_timeout`]; all the time left for the last attempt or if the request must not run twice | [`may_retry`] | none |
//! | broken stream | [`attempt_timeout`]; stall: [`stream_stall_timeout`] | [`may_resume_stream`] | none |
//! | scoring call | [`attempt_timeout`], doubled after each timeout | not [`scoring_has_failed`], and the pause ends before the deadline ([`pause_fits`]) | [`SCORING_BACKOFF`]; at least [`full_replica_pause`] after a full replica |
//! | run of an item | [`ITEM_HEAD_TIMEOUT`] until the response head arrives | the leader decides | none |
//! | permit for a replica that is warming up | none | [`pause_fits`] | `permits::PERMIT_RETRY_PAUSE` |

use crate::clock::Moment;
use std::time::Duration;

/// Minimum timeout of an attempt that may be retried, for routes with a short objective.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of an attempt that may be retried, as a multiple of the route's latency objective.
const ATTEMPT_TIMEOUT_OBJECTIVES: u32 = 3;
/// Maximum number of times an attempt's timeout is doubled. The request's deadline still applies.
const MAX_TIMEOUT_DOUBLINGS: u32 = 8;
/// Maximum number of unsent attempts, such as failed connects, in addition to the attempts that the
/// route allows. It covers several replicas that stop at the same time.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// Minimum time left to send a caller's request to a replica.
pub(super) const MIN_TIME_TO_SEND: Duration = Duration::from_millis(5);
/// Minimum time left to resume a broken stream: the shortest deadline that the protocol can
/// express.
pub(super) const MIN_TIME_TO_RESUME: Duration = Duration::from_millis(1);
/// Minimum time without data after which a resumable stream counts as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Stall timeout of a stream, as a multiple of the route's latency objective.
const STALL_TIMEOUT_OBJECTIVES: u32 = 2;
/// Timeout for the response head of an item's run. The leader usually cancels a stalled run
/// earlier (`STALLED_AFTER` in the dispatch crate).
pub(super) const ITEM_HEAD_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Pause of a replica after a fault. A paused replica is chosen only if every other eligible
/// replica is paused as well or was already tried for the request.
pub(super) const REPLICA_FAULT_BACKOFF: Backoff = Backoff {
    initial: Duration::from_millis(200),
    max_pause: Duration::from_millis(3_000),
};
/// Pause between two attempts of a scoring call.
pub(super) const SCORING_BACKOFF: Backoff = Backoff {
    initial: Duration::from_millis(10),
    max_pause: Duration::from_millis(160),
};

/// Exponential backoff: the pause doubles with each consecutive failure.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    initial: Duration,
    max_pause: Duration,
}

impl Backoff {
    /// Pause after a failure that was preceded by `earlier_failures` consecutive failures.
    pub fn pause(&self, earlier_failures: u32) -> Duration {
        /// Prevents overflow of the shift; the pause has reached its maximum long before.
        const MAX_SHIFT: u32 = 16;
        let factor = 1 << earlier_failures.min(MAX_SHIFT);
        self.initial.saturating_mul(factor).min(self.max_pause)
    }
}

/// Timeout of an attempt that may be retried. `objective` is the route's latency objective,
/// `timeouts` the number of earlier attempts that timed out.
///
/// The timeout doubles after each timeout, so that work longer than the initial timeout can
/// finish. Callers' requests pass 0, because their last attempt gets all the time left. Resumed
/// streams also pass 0.
pub(super) fn attempt_timeout(objective: Duration, timeouts: u32) -> Duration {
    let initial = (objective * ATTEMPT_TIMEOUT_OBJECTIVES).max(MIN_ATTEMPT_TIMEOUT);
    initial * (1 << timeouts.min(MAX_TIMEOUT_DOUBLINGS))
}

/// Whether a caller's request may be sent to another replica. `delivered` of its `attempts`
/// reached a replica, and the route allows `max_attempts`.
///
/// Attempts that did not reach a replica, such as failed connects, do not count towards
/// `max_attempts`, so that a request survives if several replicas stop at the same time.
pub(super) fn may_retry(delivered: u32, attempts: u32, max_attempts: u32) -> bool {
    delivered < max_attempts && attempts < max_attempts + MAX_UNSENT_ATTEMPTS
}

/// Whether a broken stream may be resumed after `attempts` attempts.
pub(super) fn may_resume_stream(is_repeatable: bool, attempts: u32, max_attempts: u32) -> bool {
    is_repeatable && attempts < max_attempts
}

/// Time without data after which a resumable stream counts as stalled.
pub(super) fn stream_stall_timeout(objective: Duration) -> Duration {
    MIN_STALL_TIMEOUT.max(STALL_TIMEOUT_OBJECTIVES * objective)
}

/// Whether a scoring call has failed permanently. `server_errors` is the number of responses with
/// status 500. Other failures are retried until the call's deadline.
pub(super) fn scoring_has_failed(server_errors: u32, max_attempts: u32) -> bool {
    server_errors >= max_attempts
}

/// Number of timeouts from which the attempt timeout of a scoring call is computed: `timeouts` of
/// this call, plus two for each earlier call for the same text that reached its deadline
/// (`earlier_timeouts`).
pub(super) fn weighted_timeouts(timeouts: u32, earlier_timeouts: u32) -> u32 {
    timeouts.saturating_add(2 * earlier_timeouts)
}

/// Pause of a scoring call after a full replica rejected it. `typical` is the usual response time
/// of the service; a slot in use becomes free after half of it on average. `random`, from 0 to 1,
/// spreads the calls that were rejected together.
pub(super) fn full_replica_pause(typical: Duration, random: f64) -> Duration {
    typical.mul_f64(f64::midpoint(1.0, random))
}

/// Whether a pause that starts now ends before the deadline.
pub(super) fn pause_fits(now: Moment, pause: Duration, deadline: Moment) -> bool {
    now + pause < deadline
}

#[cfg(test)]
#[path = "../../tests/unit/attempts.rs"]
mod tests;
