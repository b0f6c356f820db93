//! Kinds of faults, and random generation of fault schedules.

use displaydoc::Display;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Kind of a fault. Its text is the name that [`FaultKind::find`] accepts.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// node-crash
    NodeCrash,
    /// node-pause
    NodePause,
    /// node-drain
    NodeDrain,
    /// engine-crash
    EngineCrash,
    /// engine-leave
    EngineLeave,
    /// failed-swaps
    FailedSwaps,
    /// store-down
    StoreDown,
    /// store-slow
    StoreSlow,
    /// lost-answers
    LostAnswers,
    /// zone-cut
    ZoneCut,
    /// zone-lost
    ZoneLost,
    /// regions-parted
    RegionsParted,
    /// packet-loss
    PacketLoss,
    /// operator-race
    OperatorRace,
}

impl FaultKind {
    /// All kinds of faults.
    pub const ALL: [Self; 14] = [
        Self::NodeCrash,
        Self::NodePause,
        Self::NodeDrain,
        Self::EngineCrash,
        Self::EngineLeave,
        Self::FailedSwaps,
        Self::StoreDown,
        Self::StoreSlow,
        Self::LostAnswers,
        Self::ZoneCut,
        Self::ZoneLost,
        Self::RegionsParted,
        Self::PacketLoss,
        Self::OperatorRace,
    ];

    /// Finds a kind by its name.
    pub fn find(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.to_string() == name)
    }
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Time from the start of the run until the fault begins.
    pub at: Duration,
    /// Duration of the fault. Drains, leaving engines and operator races ignore it.
    pub lasts: Duration,
    /// Index of the affected node, engine or zone, taken modulo their number.
    pub target: usize,
}

/// Draws `pairs` pairs of faults. Both faults of a pair begin within 1.5 s after a random time in
/// the first `span`.
pub(crate) fn draw_faults(
    random: &mut ChaCha8Rng,
    pairs: usize,
    span: Duration,
    allowed: &[FaultKind],
) -> Vec<Fault> {
    /// Earliest time at which a fault begins, in seconds.
    const FIRST: f64 = 2.0;
    let mut faults = Vec::new();
    for _ in 0..pairs {
        let begin = random.random_range(FIRST..span.as_secs_f64().max(FIRST + 1.0));
        for _ in 0..2 {
            let Some(kind) = allowed.choose(random) else {
                continue;
            };
            faults.push(Fault {
                kind: *kind,
                at: Duration::from_secs_f64(begin + random.random_range(0.0..1.5)),
                lasts: Duration::from_secs_f64(random.random_range(0.3..6.0)),
                target: random.random_range(0..64),
            });
        }
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}
