//! Adaptive limit on concurrent loads, learned from how long loads take.
//!
//! All loads read weights from the same store. Up to some concurrency each load takes the minimum
//! time. Beyond it, the store is saturated: more concurrent loads take longer and keep more
//! replicas out of service without loading more weights per second. This concurrency depends on the
//! deployment and is not configured, so the limit adapts like a congestion window: it grows while
//! loads take about the minimum observed time and is multiplied by a factor below 1 once they take
//! longer.

use crate::orders::POLL_INTERVAL_MS;
use brasspond_units::Millis;

/// Lower bound of the limit, so that a load can proceed while the load of a failed replica has not
/// timed out yet.
const MIN_LOADS: usize = 2;
/// Upper bound of the limit in a small fleet, and of the loads that the current work does not need.
/// It bounds the leader's calls to replicas, of which a load takes about four.
pub(crate) const MAX_LOADS: usize = 64;
/// Upper bound of the limit in a large fleet, as a share of the replicas. A job of a large fleet
/// occupies more replicas, and all of them must load a new version before the next job.
const MAX_LOAD_SHARE: f64 = 1.0 / 64.0;
/// Share of the replicas that may load concurrently before the duration of a load is known. Two
/// concurrent loads were too few with 16 replicas per model.
const INITIAL_LOAD_SHARE: f64 = 0.2;
/// A load is slow if it takes longer than this multiple of the minimum duration, plus one
/// [`POLL_INTERVAL_MS`], which is the resolution of measured durations.
const SLOW_LOAD_FACTOR: f64 = 1.25;
/// Factor applied to the limit when loads are slow.
const BACKOFF_FACTOR: f64 = 0.75;
/// Time after a decrease in which the limit does not change, in ms. It covers several changes of
/// the version that replicas load. Otherwise the limit would grow back at the next change and make
/// loads slow again at the one after it.
const DECREASE_COOLDOWN_MS: Millis = 10_000;
/// Assumed duration of a load before any duration is known, in ms. The value is low, so that the
/// first poll is rarely later than the end of the first load.
const INITIAL_LOAD_MS: f64 = 500.0;
/// Share of the minimum duration after which a replica is first polled. Below 1, so that shorter
/// loads are observed and lower the minimum.
const FIRST_POLL_FACTOR: f64 = 0.95;

/// Whether a load is slow compared with the minimum duration.
fn is_slow(duration_ms: f64, min_ms: f64) -> bool {
    duration_ms > min_ms * SLOW_LOAD_FACTOR + POLL_INTERVAL_MS as f64
}

/// Upper bound of the limit in a fleet of this size.
fn max_loads(replicas: usize) -> usize {
    MAX_LOADS.max((replicas as f64 * MAX_LOAD_SHARE) as usize)
}

/// Limit on concurrent loads and the observations from which it is derived.
#[derive(Debug)]
pub(crate) struct LoadLimit {
    /// Adapted limit; `None` before the duration of a load is known.
    limit: Option<f64>,
    /// Limit while `limit` is `None`: a share of the known replicas.
    initial: usize,
    /// Minimum observed duration of a load, in ms.
    min_ms: Option<f64>,
    /// Whether the last load was slow. A single slow load does not lower the limit, as it may have
    /// another cause.
    was_slow: bool,
    /// Whether the limit was ever lowered. Before that, each load that raises the limit adds 1, so
    /// that the limit has doubled after as many loads as it allows. Afterwards each adds 1 / limit,
    /// so that the limit has grown by about 1 after as many loads.
    has_backed_off: bool,
    /// The limit does not change before this time.
    unchanged_until: Millis,
}

impl LoadLimit {
    /// Creates a limit without observations.
    pub fn new() -> Self {
        Self {
            limit: None,
            initial: 0,
            min_ms: None,
            was_slow: false,
            has_backed_off: false,
            unchanged_until: 0,
        }
    }

    /// Returns how many of `replicas` may load concurrently: [`INITIAL_LOAD_SHARE`] of them before
    /// the duration of a load is known, then the adapted limit; within [`MIN_LOADS`] and
    /// [`max_loads`]. Also stores the initial limit for this number of replicas, from which the
    /// first call of [`Self::record_load`] starts.
    pub fn update_max_loads(&mut self, replicas: usize) -> usize {
        let share = (replicas as f64 * INITIAL_LOAD_SHARE) as usize;
        let max = max_loads(replicas);
        self.initial = share.clamp(MIN_LOADS, max);
        let limit = self.limit.map_or(self.initial, |limit| limit as usize);
        limit.clamp(MIN_LOADS, max)
    }

    /// Time from the acceptance of an order to the first poll of the replica, in ms.
    pub fn poll_delay(&self) -> Millis {
        let expected = self.min_ms.unwrap_or(INITIAL_LOAD_MS);
        (expected * FIRST_POLL_FACTOR) as Millis
    }

    /// Records that a load took `duration` ms while `in_progress` loads, including itself, were in
    /// progress. The second of two slow loads in a row lowers the limit. A load that is not slow
    /// raises it if as many loads were in progress as the limit allows. The limit does not change
    /// for [`DECREASE_COOLDOWN_MS`] after a decrease.
    pub fn record_load(&mut self, duration: Millis, in_progress: usize, now: Millis) {
        let duration = duration as f64;
        let shortest = self
            .min_ms
            .map_or(duration, |shortest| shortest.min(duration));
        self.min_ms = Some(shortest);
        let is_slow = is_slow(duration, shortest);
        let limit = self.limit.get_or_insert(self.initial as f64);
        let is_full = in_progress as f64 >= limit.floor();
        if is_slow && self.was_slow && now >= self.unchanged_until {
            *limit = (*limit * BACKOFF_FACTOR).max(MIN_LOADS as f64);
            self.has_backed_off = true;
            self.unchanged_until = now + DECREASE_COOLDOWN_MS;
            log::info!(
                "event=load_limit limit={limit:.1} took_ms={duration:.0} least_ms={shortest:.0}"
            );
        } else if !is_slow && is_full && now >= self.unchanged_until {
            let growth = if self.has_backed_off {
                1.0 / *limit
            } else {
                1.0
            };
            *limit += growth;
        }
        self.was_slow = is_slow;
    }
}

#[cfg(test)]
#[path = "../tests/unit/loads.rs"]
mod tests;
