//! Measures the event rate of a run between two reports.

use crate::clock::Moment;
use brasspond_cluster_protocol::Pace;

/// Counts events over a time span.
#[derive(Debug, Default)]
pub(super) struct PaceMeter {
    /// Time of the event that begins the span. This event is not counted.
    since: Option<Moment>,
    /// Time of the newest event.
    newest: Option<Moment>,
    /// Number of events after the first of the span.
    events: u32,
}

impl PaceMeter {
    /// Records an event that arrived at `now`.
    pub fn record_event(&mut self, now: Moment) {
        match self.since {
            Some(_) => self.events += 1,
            None => self.since = Some(now),
        }
        self.newest = Some(now);
    }

    /// Returns the pace since the last call that returned one, and starts the next span at the
    /// newest event.
    ///
    /// Returns `None` if fewer than [`Pace::MIN_EVENTS`] events were counted. The span then
    /// continues, so that slow replicas are measured over several reports.
    pub fn take(&mut self) -> Option<Pace> {
        let span = self.newest?.saturating_duration_since(self.since?);
        if self.events < Pace::MIN_EVENTS {
            return None;
        }
        let events = std::mem::take(&mut self.events);
        self.since = self.newest;
        let span_ms = u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        Some(Pace { events, span_ms })
    }
}

#[cfg(test)]
#[path = "../../tests/unit/pace.rs"]
mod tests;
