//! How many replicas load weights at a time: learned from how long loads take.
//!
//! All loads read from one store of weights. Up to some number at a time each takes
//! the least time there is; beyond it all take longer, so that more at a time are no
//! more in a second and only keep replicas from serving. The number is told nowhere
//! and is another on each deployment, so it is found as a congestion window is: it
//! grows while loads take about the least time seen, and shrinks by a part once
//! they take longer.

use brasspond_units::Millis;

/// A load takes long when it takes this many times the least, and [`GRAIN`].
const SLOWED: f64 = 1.25;
/// How exactly the time of a load is known, in ms: the pause between two questions
/// after it.
const GRAIN: f64 = 120.0;
/// Part of the limit that is left once loads take long.
const BACK_OFF: f64 = 0.75;
/// Time after that in which the limit does not grow, in ms: several changes of
/// version, or every other load would be one that tries too much.
const GROWTH_PAUSE: Millis = 10_000;
/// Time of a load assumed before one was seen, in ms: less than any was, so that
/// the first is not seen late.
const FIRST_TIME: f64 = 500.0;
/// Part of the least time after which a load is asked for the first time: a little
/// earlier, to notice that loads have become faster.
const ASK_EARLY: f64 = 0.95;

/// The limit, and what it is learned from.
#[derive(Debug)]
pub(crate) struct LoadLimit {
    /// Loads at a time; none before anything was learned.
    limit: Option<f64>,
    /// Loads at a time until then: of the fleet as it is known by now.
    first: usize,
    /// The least time a load took, in ms.
    least_ms: Option<f64>,
    /// Whether the last load took long: one alone says little.
    was_slow: bool,
    /// Whether loads have ever taken long: until then the limit doubles with each
    /// round of loads.
    has_backed_off: bool,
    /// No growth before this time.
    grows_from: Millis,
}

impl LoadLimit {
    /// Nothing is known.
    pub fn new() -> Self {
        Self {
            limit: None,
            first: 0,
            least_ms: None,
            was_slow: false,
            has_backed_off: false,
            grows_from: 0,
        }
    }

    /// How many may load at a time; `first` before anything is known.
    pub fn limit(&mut self, first: usize) -> usize {
        self.first = first;
        self.limit.map_or(first, |limit| limit as usize)
    }

    /// Time after the order at which a replica is asked whether it has loaded, in ms.
    pub fn ask_after(&self) -> Millis {
        let least = self.least_ms.unwrap_or(FIRST_TIME);
        (least * ASK_EARLY) as Millis
    }

    /// A load took `took` ms while `under_way` loads, itself included, were under
    /// way; never fewer than `least` load at a time.
    pub fn finished(&mut self, took: Millis, under_way: usize, least: usize, now: Millis) {
        let took = took as f64;
        let known = self.least_ms.map_or(took, |known| known.min(took));
        self.least_ms = Some(known);
        let is_slow = took > known * SLOWED + GRAIN;
        let limit = self.limit.get_or_insert(self.first as f64);
        let is_full = under_way as f64 >= limit.floor();
        if is_slow && self.was_slow && now >= self.grows_from {
            *limit = (*limit * BACK_OFF).max(least as f64);
            self.has_backed_off = true;
            self.grows_from = now + GROWTH_PAUSE;
            log::info!("event=load_limit limit={limit:.1} took_ms={took:.0} least_ms={known:.0}");
        } else if !is_slow && is_full && now >= self.grows_from {
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
