//! Timeouts of runs, hand-overs and edges, and detection of a suspension of this process.
//!
//! Pure functions without state. Times are in ms of the leader's clock.

use brasspond_cluster_protocol::{EDGE_HEARTBEAT_INTERVAL, EDGE_REPORT_INTERVAL};
use brasspond_units::Millis;

/// Time without a report on a run after which the run is moved to another replica, in ms. It is two
/// report intervals, so that one report may be late. It does not depend on the run's pace, so a run
/// whose events take longer than this is moved again and again.
const STALLED_AFTER: Millis = 2 * EDGE_REPORT_INTERVAL;
/// Factor on [`STALLED_AFTER`] while the run's replica loads weights, as a load pauses runs for
/// about 0.9 s.
const LOADING_FACTOR: Millis = 4;
/// Factor on [`STALLED_AFTER`] while the run's edge sends no reports at all or is unknown. The
/// replica may be healthy then, and the failure of an edge is handled separately.
const SILENT_EDGE_FACTOR: Millis = 2;
/// Time after a run's last message from which another message of its edge belongs to a later
/// report, in ms.
const REPORT_WINDOW_MS: Millis = 50;
/// Maximum wait for the last events of a run that is handed over, in ms. Must exceed
/// [`EDGE_REPORT_INTERVAL`]. An answer takes 1 to 7 ms; the rest allows for a busy edge.
const HAND_OVER_TIMEOUT_MS: Millis = 300;
/// Time without a message after which an edge misses heartbeats, in ms. It is two heartbeat
/// intervals, so that one heartbeat may be late.
const HEARTBEATS_MISSED_AFTER_MS: Millis = 2 * EDGE_HEARTBEAT_INTERVAL;
/// Time without a tick after which this process counts as suspended, in ms. It exceeds three tick
/// intervals of 100 ms. Must be less than [`STALLED_AFTER`].
const SUSPENDED_AFTER_MS: Millis = 350;

/// Whether an edge has sent a later report than the one with the last message on a run. The run is
/// then delayed by its replica and not by its edge.
pub(crate) fn edge_reported_since(edge_last_seen: Millis, run_last_seen: Millis) -> bool {
    edge_last_seen > run_last_seen + REPORT_WINDOW_MS
}

/// Whether a run is stalled. `is_loading` states that its replica loads weights or is about to.
/// `edge_reported` is the result of [`edge_reported_since`], or false if the edge is unknown.
pub(crate) fn is_stalled(
    run_last_seen: Millis,
    is_loading: bool,
    edge_reported: bool,
    now: Millis,
) -> bool {
    let limit = match (is_loading, edge_reported) {
        (true, _) => LOADING_FACTOR * STALLED_AFTER,
        (false, true) => STALLED_AFTER,
        (false, false) => SILENT_EDGE_FACTOR * STALLED_AFTER,
    };
    now >= run_last_seen + limit
}

/// Whether a hand-over that began at `since` no longer waits for the run's last events. The item
/// then continues after the events that are known to the leader.
pub(crate) fn is_hand_over_late(since: Millis, now: Millis) -> bool {
    now >= since + HAND_OVER_TIMEOUT_MS
}

/// Whether an edge misses heartbeats. Such an edge is sent work only if all edges that may handle
/// the work miss heartbeats. Its runs continue until the leader declares it failed.
pub(crate) fn misses_heartbeats(last_seen: Millis, now: Millis) -> bool {
    now >= last_seen + HEARTBEATS_MISSED_AFTER_MS
}

/// Time since the previous tick, in ms, if it is at least [`SUSPENDED_AFTER_MS`]; `None` otherwise.
/// Messages that arrived during a suspension are still unread, so this time does not count towards
/// the timeouts of edges and runs.
pub(crate) fn suspended_for(previous_tick: Millis, now: Millis) -> Option<Millis> {
    let gap = now.saturating_sub(previous_tick);
    (gap >= SUSPENDED_AFTER_MS).then_some(gap)
}

#[cfg(test)]
#[path = "../tests/unit/timeouts.rs"]
mod tests;
