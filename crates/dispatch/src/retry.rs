//! Decides what follows a run's end: whether its item is retried or given up, and whether its
//! replica is paused.
//!
//! Pure functions without state. Ends of replicas are never held against an item: it belongs to an
//! accepted job and is retried until it is overdue. Module `scoring` retries scoring calls.

use brasspond_cluster_protocol::RunEnd;
use brasspond_units::Millis;

/// Pause of a replica after its first fault, in ms. Each further fault doubles it.
const INITIAL_FAULT_PAUSE_MS: Millis = 150;
/// Maximum pause after a fault, in ms.
const MAX_FAULT_PAUSE_MS: Millis = 2_000;
/// Number of doublings after which the pause reaches [`MAX_FAULT_PAUSE_MS`].
const MAX_FAULT_DOUBLINGS: u32 = 4;

/// The next step for an item whose run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// The text is complete and its edge scores it.
    Score,
    /// The text is complete and the item is listed.
    Finish,
    /// The item is listed as terminated.
    GiveUp,
    /// The item waits for another run, which continues after the last event of the ended one.
    Continue,
    /// The item waits for another run, which starts from the first event.
    Restart,
}

/// Decides what follows a run's end. `failures` is the number of the item's failed runs, including
/// this one; `max_attempts` is the limit of its route, or 1 without a route. `is_scored` states
/// that the item needs a score. An item is given up after `max_attempts` failures or if no replica
/// can run it. All other items are retried until they are overdue ([`is_overdue`]).
pub(crate) fn after_run(
    end: RunEnd,
    failures: u32,
    max_attempts: u32,
    is_scored: bool,
) -> NextStep {
    match end {
        RunEnd::Whole if is_scored => NextStep::Score,
        RunEnd::Whole => NextStep::Finish,
        RunEnd::Impossible => NextStep::GiveUp,
        _ if failures >= max_attempts => NextStep::GiveUp,
        RunEnd::Mixed => NextStep::Restart,
        _ => NextStep::Continue,
    }
}

/// Whether a job's unfinished items without an active run are given up, as at least `max_queue_ms`
/// have passed since `since`, when the job was accepted or this process became leader. A
/// `max_queue_ms` of 0 stands for no limit.
pub(crate) fn is_overdue(since: Millis, max_queue_ms: Millis, now: Millis) -> bool {
    max_queue_ms != 0 && now >= since + max_queue_ms
}

/// Whether a run's end counts as a fault of its replica, which is then paused for [`fault_pause`].
/// Ends that the request or the edge caused do not count.
pub(crate) fn is_replica_fault(end: RunEnd) -> bool {
    match end {
        RunEnd::Broken | RunEnd::Unreachable | RunEnd::NotRun { .. } | RunEnd::TooOld => true,
        RunEnd::Whole
        | RunEnd::Failed
        | RunEnd::Impossible
        | RunEnd::Mixed
        | RunEnd::Unsent
        | RunEnd::Cancelled => false,
    }
}

/// Whether a run's end proves that no request reached the replica, so that its grant can be
/// refunded.
pub(crate) fn never_reached_replica(end: RunEnd) -> bool {
    matches!(
        end,
        RunEnd::Unsent
            | RunEnd::Unreachable
            | RunEnd::NotRun {
                other_replica: true
            }
    )
}

/// Pause of a replica after a fault, in ms. `earlier_faults` is the number of its earlier faults
/// since the last recorded pace.
pub(crate) fn fault_pause(earlier_faults: u32) -> Millis {
    let pause = INITIAL_FAULT_PAUSE_MS << earlier_faults.min(MAX_FAULT_DOUBLINGS);
    pause.min(MAX_FAULT_PAUSE_MS)
}

#[cfg(test)]
#[path = "../tests/unit/retry.rs"]
mod tests;
