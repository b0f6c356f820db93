//! The most work at one time lately, and whether it was watched for long enough.

use crate::waves::Waves;
use brasspond_units::Millis;
use std::collections::VecDeque;

/// Time over which the most is remembered, in ms: several steps of a trainer, whose work
/// comes in waves.
const MEMORY: Millis = 30_000;
/// Length of the spans of which the most is kept, in ms.
const SPAN: Millis = 2_000;

/// The most of a value over the last [`MEMORY`].
#[derive(Clone, Debug, Default)]
pub struct Peak {
    /// Begin of a span, and the most in it.
    spans: VecDeque<(Millis, usize)>,
    waves: Waves,
    /// Since when there has been work.
    since: Option<Millis>,
}

impl Peak {
    /// The value at present.
    pub fn note(&mut self, value: usize, now: Millis) {
        self.waves.note(value);
        if value > 0 {
            self.since.get_or_insert(now);
        } else if self.most() == 0 {
            // What was watched before a long rest tells nothing of what comes after it.
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

    /// Whether the most tells what work is to come: it was watched over several waves of
    /// work that filled a replica's places (`slots`), or, of work that has none, as long as it
    /// is remembered. The first requests of a wave tell nothing of its crest, single requests
    /// nothing of work.
    pub fn is_known(&self, slots: u32, now: Millis) -> bool {
        let is_old = self.since.is_some_and(|since| since + MEMORY <= now);
        is_old || self.waves.are_known(slots as usize)
    }

    /// The most; 0 before anything was noted.
    pub fn most(&self) -> usize {
        let most = self.spans.iter().map(|(_, most)| *most);
        most.max().unwrap_or(0)
    }
}
