//! Waves of work: a rise of the load to a crest, and its fall to half of that.

/// Number of similar waves after which the next are expected to be like them. A replica that is
/// given back too early must boot again (docs/design/0023-time-of-calls-and-peaks.md).
const SIMILAR_WAVES: u32 = 3;

/// Stage of a wave.
#[derive(Clone, Copy, Debug)]
enum Stage {
    /// The load rose to this crest and has not fallen to half of it since.
    Rising(usize),
    /// The load fell to half of a crest; this is the least since.
    Falling(usize),
}

/// Counts waves of a load, which is recorded at each tick. It uses no times: steps of trainers
/// take seconds or half an hour.
#[derive(Clone, Debug)]
pub(crate) struct Waves {
    stage: Stage,
    /// The highest crest.
    highest: usize,
    /// Waves whose crest was at least half of the highest.
    seen: u32,
}

impl Default for Waves {
    fn default() -> Self {
        Self {
            stage: Stage::Falling(0),
            highest: 0,
            seen: 0,
        }
    }
}

impl Waves {
    /// Records the load at a tick.
    pub fn record(&mut self, load: usize) {
        self.stage = match self.stage {
            Stage::Rising(crest) if 2 * load <= crest.max(load) => {
                self.end_wave(crest);
                Stage::Falling(load)
            }
            Stage::Rising(crest) => Stage::Rising(crest.max(load)),
            Stage::Falling(least) if load > 2 * least => Stage::Rising(load),
            Stage::Falling(least) => Stage::Falling(least.min(load)),
        };
    }

    /// Whether enough waves were similar, with a highest crest of at least `least`, and the present
    /// one is not more than twice as high.
    pub fn are_known(&self, least: usize) -> bool {
        let is_higher = match self.stage {
            Stage::Rising(crest) => crest > 2 * self.highest,
            Stage::Falling(_) => false,
        };
        self.seen >= SIMILAR_WAVES && self.highest >= least && !is_higher
    }

    /// Counts a wave that ended, by its crest.
    fn end_wave(&mut self, crest: usize) {
        if crest > 2 * self.highest {
            // Waves so much smaller say nothing about this one.
            self.seen = 0;
        }
        if 2 * crest >= self.highest {
            self.seen += 1;
        }
        self.highest = self.highest.max(crest);
    }
}
