//! The most requests at one time of late, and whether they were watched for long enough.

use crate::waves::Waves;
use brasspond_units::Millis;
use std::collections::VecDeque;

/// Time for which the most is remembered, in ms: several steps of a trainer have to fit, whose work
/// comes in waves (docs/design/0023-time-of-calls-and-peaks.md).
const MEMORY: Millis = 30_000;
/// Length of the spans of which the most is kept, in ms: shorter than a step of a trainer
/// (docs/design/0023-time-of-calls-and-peaks.md).
const SPAN: Millis = 2_000;

/// The most of a value over the last [`MEMORY`].
#[derive(Clone, Debug, Default)]
pub(crate) struct Peak {
    /// Start of each span, and the most in it.
    spans: VecDeque<(Millis, usize)>,
    /// Waves since `since`.
    waves: Waves,
    /// Since when there has been work.
    since: Option<Millis>,
}

impl Peak {
    /// Records the value at `now`.
    pub fn record(&mut self, value: usize, now: Millis) {
        self.waves.record(value);
        if value > 0 {
            self.since.get_or_insert(now);
        } else if self.most() == 0 {
            // After a rest of `MEMORY` earlier work says nothing about work to come.
            self.since = None;
            self.waves = Waves::default();
        }
        while self
            .spans
            .front()
            .is_some_and(|(begin, _)| begin + MEMORY < now)
        {
            self.spans.pop_front();
        }
        match self.spans.back_mut() {
            Some((begin, most)) if now < *begin + SPAN => *most = (*most).max(value),
            _ => self.spans.push_back((now, value)),
        }
    }

    /// Whether the most says how much work is to come: work was watched over several waves, whose
    /// crests filled the places of a replica (`slots`), or, for work without waves, for `MEMORY`.
    /// The first requests of a wave say nothing about its crest.
    pub fn is_known(&self, slots: u32, now: Millis) -> bool {
        let is_old = self.since.is_some_and(|since| since + MEMORY <= now);
        is_old || self.waves.are_known(slots as usize)
    }

    /// The most; 0 before anything was recorded.
    pub fn most(&self) -> usize {
        let most = self.spans.iter().map(|(_, most)| *most);
        most.max().unwrap_or(0)
    }
}
