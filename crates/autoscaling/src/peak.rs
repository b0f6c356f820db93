//! The most work at one time lately.

use crate::Millis;
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
}

impl Peak {
    /// The value at present.
    pub fn note(&mut self, value: usize, now: Millis) {
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

    /// The most; 0 before anything was noted.
    pub fn most(&self) -> usize {
        let most = self.spans.iter().map(|(_, most)| *most);
        most.max().unwrap_or(0)
    }
}
