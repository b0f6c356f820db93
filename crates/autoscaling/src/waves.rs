//! Detection of waves of load. A wave is a rise of the load to more than twice its minimum, up to a
//! peak, followed by a fall to half of the peak or less.

/// Number of similar waves after which the next wave is expected to be similar as well.
const MIN_SIMILAR_WAVES: u32 = 3;

/// Stage of a wave.
#[derive(Clone, Copy, Debug)]
enum Stage {
    /// A wave is in progress. The value is its peak so far.
    Rising(usize),
    /// The last wave has ended. The value is the minimum load since its peak.
    Falling(usize),
}

/// Counts the waves of a load that is recorded at regular intervals. The duration of a wave does
/// not matter, because training steps take from seconds to half an hour.
#[derive(Clone, Debug)]
pub(crate) struct Waves {
    stage: Stage,
    /// Highest peak of all completed waves.
    highest: usize,
    /// Number of completed waves whose peak was at least half of the highest peak before them.
    /// Counting starts again with every wave that is more than twice as high as all before.
    similar_waves: u32,
}

impl Default for Waves {
    fn default() -> Self {
        Self {
            stage: Stage::Falling(0),
            highest: 0,
            similar_waves: 0,
        }
    }
}

impl Waves {
    /// Records the current load.
    pub fn record(&mut self, load: usize) {
        self.stage = match self.stage {
            Stage::Rising(peak) if 2 * load <= peak.max(load) => {
                self.end_wave(peak);
                Stage::Falling(load)
            }
            Stage::Rising(peak) => Stage::Rising(peak.max(load)),
            Stage::Falling(min) if load > 2 * min => Stage::Rising(load),
            Stage::Falling(min) => Stage::Falling(min.min(load)),
        };
    }

    /// Whether the next waves are predictable: enough completed waves were similar, their highest
    /// peak was at least `min_peak`, and the current wave is at most twice as high.
    pub fn are_predictable(&self, min_peak: usize) -> bool {
        let is_higher = match self.stage {
            Stage::Rising(peak) => peak > 2 * self.highest,
            Stage::Falling(_) => false,
        };
        self.similar_waves >= MIN_SIMILAR_WAVES && self.highest >= min_peak && !is_higher
    }

    /// Counts a completed wave by its peak.
    fn end_wave(&mut self, peak: usize) {
        if peak > 2 * self.highest {
            // Waves of less than half the height do not predict waves like this one.
            self.similar_waves = 0;
        }
        if 2 * peak >= self.highest {
            self.similar_waves += 1;
        }
        self.highest = self.highest.max(peak);
    }
}
