//! The load that a replica reports with each answer.

/// Bounds of the reported duration of work, in percent of the usual. They limit the effect of a
/// false report on the response times that are divided by it.
const DURATION_PERCENT_RANGE: (u32, u32) = (25, 1_000);

/// Load of a replica, from the header `running,waiting,slots[,duration]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LoadReport {
    /// Requests that run, including those of this edge.
    pub running: u32,
    /// Requests that wait for a slot, including those of this edge.
    pub waiting: u32,
    /// Current duration of work in percent of the usual; `None` if the replica does not report it.
    pub duration_percent: Option<u32>,
}

impl LoadReport {
    /// Parses a header. The slots are not used, since the fleet view has them. Returns `None` if
    /// running or waiting requests are missing or malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|part| part.trim().parse::<u32>().ok());
        let running = numbers.next()??;
        let waiting = numbers.next()??;
        let duration_percent = numbers.nth(1).flatten().filter(|percent| *percent > 0);
        Some(Self {
            running,
            waiting,
            duration_percent,
        })
    }

    /// Number of requests at the replica.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// Current duration of work relative to the usual.
    pub fn slowdown(&self) -> Option<f64> {
        let (lowest, highest) = DURATION_PERCENT_RANGE;
        let percent = self.duration_percent?.clamp(lowest, highest);
        Some(f64::from(percent) / 100.0)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/load_report.rs"]
mod tests;
