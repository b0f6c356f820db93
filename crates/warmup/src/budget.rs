//! Grants in a sliding span.

use crate::rate::Rate;
use brasspond_units::Millis;
use std::collections::VecDeque;

/// Time after its own beginning up to which a new leader takes the one before to have granted
/// all that there was, in ms. No two surely lead at one moment; this is for a clock or a view
/// of it that is wrong by less. It delays the first grant after a change of leader by as much.
pub const LEADERS_OVERLAP: Millis = 500;

/// What a replica may be granted: at most [`Rate::most`] in any span of [`Rate::span_ms`].
#[derive(Clone, Debug)]
pub struct Budget {
    rate: Rate,
    /// When each grant was made, the oldest first; at most [`Rate::most`].
    granted: VecDeque<Millis>,
}

impl Budget {
    /// A budget of which nothing is left at `at`, which may lie ahead: what goes to the
    /// replica until then is not known, and counts as all that it bears.
    pub fn spent(rate: Rate, at: Millis) -> Self {
        let granted = std::iter::repeat_n(at, rate.most as usize);
        Self {
            rate,
            granted: granted.collect(),
        }
    }

    /// Nothing is left at `at`: others may have sent all that it bears.
    pub fn spend_all(&mut self, at: Millis) {
        *self = Self::spent(self.rate, at);
    }

    /// The same replica bears more or less from now on. What it bears more is not known to
    /// be unspent: nothing is left at `at`, as in [`Budget::spent`].
    pub fn set_rate(&mut self, rate: Rate, at: Millis) {
        if rate != self.rate {
            *self = Self::spent(rate, at);
        }
    }

    /// From when on the next request may be granted, in ms.
    pub fn opens_at(&self) -> Millis {
        let is_full = self.granted.len() >= self.rate.most as usize;
        let oldest = self.granted.front().filter(|_| is_full);
        oldest.map_or(0, |at| at + self.rate.span_ms)
    }

    /// Requests that may be granted at once.
    pub fn left(&self, now: Millis) -> usize {
        (self.rate.most as usize).saturating_sub(self.counted(now))
    }

    /// Whether any grant still counts.
    pub fn counts(&self, now: Millis) -> bool {
        self.counted(now) > 0
    }

    fn counted(&self, now: Millis) -> usize {
        let counted = self.granted.iter();
        let counted = counted.filter(|at| now < *at + self.rate.span_ms);
        counted.count()
    }

    /// Grants a request; says whether there was one left.
    pub fn take(&mut self, now: Millis) -> bool {
        if now < self.opens_at() {
            return false;
        }
        if self.granted.len() >= self.rate.most as usize {
            self.granted.pop_front();
        }
        self.granted.push_back(now);
        true
    }

    /// A request that was granted at `at` was certainly not sent, and will not be.
    pub fn give_back(&mut self, at: Millis) {
        let place = self.granted.iter().rposition(|granted| *granted == at);
        if let Some(place) = place {
            self.granted.remove(place);
        }
    }
}
