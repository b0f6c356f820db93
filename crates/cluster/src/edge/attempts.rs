//! The rules of attempts: how long one may take, whether another follows, after which pause.
//!
//! A request of a caller, a broken stream, a scoring call and an item's run each ask here.
//! Every rule is a function of counts and times; the module owns no state and reads no clock.
//!
//! | what is tried | longest attempt | another attempt | pause before it |
//! |---|---|---|---|
//! | caller's request | [`attempt_timeout`], the last one all the time left | [`may_offer_again`] | none |
//! | broken stream | [`attempt_timeout`]; silence: [`stream_stall_timeout`] | [`may_resume_stream`] | none |
//! | scoring call | [`attempt_timeout`], longer after silence | [`scoring_has_failed`] says when not | [`SCORING_BACKOFF`] |
//! | item's run | [`ITEM_HEAD_TIMEOUT`] until its answer begins | the leader decides | |
//! | permit of a replica that warms up | | while [`ends_before`] holds | `permits::PERMIT_RETRY_PAUSE` |

use crate::clock::Moment;
use std::time::Duration;

/// Shortest timeout of an attempt while others are left: a floor under
/// [`ATTEMPT_OBJECTIVES`] for routes with a short objective. Not measured.
const LEAST_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of an attempt while others are left, in objectives of its route. Not measured.
const ATTEMPT_OBJECTIVES: u32 = 3;
/// An attempt's timeout is doubled at most this many times. The request's deadline limits the
/// attempt as well. Not measured.
const MOST_DOUBLINGS: u32 = 8;
/// Connections that may fail without counting as an attempt of the route: as many replicas as
/// end together on an ordinary day. Each costs a refused connect, 1 ms.
const MOST_UNSENT: u32 = 4;
/// A caller's request is not sent to a replica with less time left than this: no answer would be
/// expected in time. Not measured.
pub(super) const LEAST_TIME_TO_SEND: Duration = Duration::from_millis(5);
/// A broken stream is not resumed with less time left than this: the shortest deadline that a
/// replica can be sent, in whole milliseconds.
pub(super) const LEAST_TIME_TO_RESUME: Duration = Duration::from_millis(1);
/// Shortest silence after which a stream that may be resumed counts as stalled. A route's
/// objective lengthens it from 450 ms on, see [`STALL_OBJECTIVES`]. Not measured.
const LEAST_STREAM_STALL: Duration = Duration::from_millis(900);
/// Silence after which a stream counts as stalled, in objectives of its route. Not measured.
const STALL_OBJECTIVES: u32 = 2;
/// Longest time until a replica begins its answer to an item's run. A bound of last resort: the
/// leader cancels a run whose events stop much earlier (`STALLED_AFTER` of package dispatch).
pub(super) const ITEM_HEAD_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Pause of a replica under whose requests faults were observed: it gets no request that
/// another replica may take. Not measured.
pub(super) const REPLICA_FAULT_BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(200),
    longest: Duration::from_millis(3_000),
};
/// Pause between two attempts of a scoring call. Not measured.
pub(super) const SCORING_BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(10),
    longest: Duration::from_millis(160),
};

/// A pause that doubles with each failure.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    first: Duration,
    longest: Duration,
}

impl Backoff {
    /// Pause after a failure that `earlier` failures in a row preceded.
    pub fn pause(&self, earlier: u32) -> Duration {
        /// Doubled so often the first pause is longer than any longest one.
        const ENOUGH: u32 = 16;
        let factor = 1 << earlier.min(ENOUGH);
        self.first.saturating_mul(factor).min(self.longest)
    }
}

/// Timeout of an attempt while others are left. `objective` is the time within which the route's
/// answers are worth most; `silent` counts earlier attempts that ended without an answer.
///
/// It doubles with each silent attempt: work that takes longer than the first timeout would be
/// begun again for ever. A caller's own request passes 0: its last attempt has all the time that
/// is left, and longer ones before it would take that away.
pub(super) fn attempt_timeout(objective: Duration, silent: u32) -> Duration {
    let first = (objective * ATTEMPT_OBJECTIVES).max(LEAST_ATTEMPT_TIMEOUT);
    first * (1 << silent.min(MOST_DOUBLINGS))
}

/// Whether a caller's request may go to another replica: `offers` of its attempts reached one,
/// the route allows `most_offers`, and `attempts` were made in all.
///
/// A replica that took no connection was sent nothing. That costs none of the route's attempts,
/// or a request would be refused because several replicas ended together.
pub(super) fn may_offer_again(offers: u32, attempts: u32, most_offers: u32) -> bool {
    offers < most_offers && attempts < most_offers + MOST_UNSENT
}

/// Whether a broken stream may be resumed: its events may be made again, and the route allows
/// more than the `attempts` that were made.
pub(super) fn may_resume_stream(is_repeatable: bool, attempts: u32, most_attempts: u32) -> bool {
    is_repeatable && attempts < most_attempts
}

/// Silence after which a stream that may be resumed counts as stalled.
pub(super) fn stream_stall_timeout(objective: Duration) -> Duration {
    LEAST_STREAM_STALL.max(STALL_OBJECTIVES * objective)
}

/// Whether a scoring call has failed for good: replicas answered it with `failures` errors of
/// their own, and the route allows `most_attempts`. Other failures are tried again until the
/// call's time is up.
pub(super) fn scoring_has_failed(failures: u32, most_attempts: u32) -> bool {
    failures >= most_attempts
}

/// Silent attempts that a scoring call's timeout goes by: its own, and two for each earlier call
/// for the same text that was given all its time. Two or three such calls later an attempt has
/// all the time; before that a silent replica leaves time for another one.
pub(super) fn scoring_silence(silent: u32, ran_out: u32) -> u32 {
    silent.saturating_add(2 * ran_out)
}

/// Whether a pause that begins now ends before a deadline: else there is no further attempt.
pub(super) fn ends_before(now: Moment, pause: Duration, deadline: Moment) -> bool {
    now + pause < deadline
}

#[cfg(test)]
#[path = "../../tests/unit/attempts.rs"]
mod tests;
