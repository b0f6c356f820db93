//! What goes wrong in a run, and when: drawn from one seed.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Calm time at the begin of a run, in ms.
const FIRST_AT: u64 = 3_000;
/// Calm time at the end, in which everything must recover, in ms.
pub const LAST_CALM: u64 = 14_000;
/// Longest pause between the beginnings of two faults, in ms.
const LONGEST_PAUSE: u64 = 2_200;
/// Pause between two edges that are told to stop in turn, in ms.
pub const ROLL_PAUSE: u64 = 700;
/// Time in which an edge that is told to stop has stopped and started again, in ms.
const STOP_TIME: u64 = 4_000;
/// Time before and after the loss of a disk in which no other storage process is troubled, in
/// ms: another copy may only be lost once the one before is replaced.
const DISK_QUIET: u64 = 9_000;

/// Part of the schedules in which two regions lose one another once.
const CUT_SHARE: f64 = 0.5;
/// Time for which they do, in ms: from one that a leader's silence hides to one in which the
/// other side elects, replaces voters and goes on.
const CUT_TIME: std::ops::Range<u64> = 1_000..7_000;
/// Sets the draw of cuts apart from all others, whose schedules stay what they were.
const CUT_STREAM: u64 = 1;

/// Sets the draw of harm to replicas' connections apart in the same way.
const REPLICA_STREAM: u64 = 3;
/// Pause between the beginnings of two such, in ms.
const REPLICA_PAUSE: std::ops::Range<u64> = 1_500..9_000;

/// Sets the draw of series of faults apart in the same way.
const SERIES_STREAM: u64 = 4;
/// Pause between the beginnings of two series, in ms.
const SERIES_PAUSE: std::ops::Range<u64> = 4_000..10_000;
/// Faults of a series.
const SERIES_FAULTS: std::ops::RangeInclusive<usize> = 3..=6;
/// Pause between two faults of a series, in ms: less than any of them takes.
const SERIES_STEP: std::ops::Range<u64> = 30..500;
/// Time for which several edges stand still together, in ms: round the one after which a
/// leader gives an edge up (1.6 s).
const STANDSTILL: std::ops::Range<u64> = 1_300..2_600;
/// Sets the draw of rebirths apart in the same way.
const REBIRTH_STREAM: u64 = 5;
/// Time from a replica's end until it serves again, in ms.
const REBIRTH_TIME: u64 = 1_000;
/// Time for which a process is away that is killed in a series, in ms.
const RESTART_TIME: u64 = 500;
/// Pause between two rebirths, in ms.
const REBIRTH_PAUSE: std::ops::Range<u64> = 2_000..9_000;

/// A machine for callers or one with a disk, by its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Process {
    /// For callers.
    Edge(usize),
    /// With a disk.
    Storage(usize),
    /// Whichever storage process leads at that moment.
    Leader,
}

/// A party that callers or processes reach through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    /// From callers to an edge.
    Edge(usize),
    /// From edges to the store.
    StoreOfEdges,
    /// From storage processes to the store.
    StoreOfStorage,
    /// From edges and storage processes to a plain replica, one that [`is_behind_proxy`].
    Plain(usize),
    /// The same to an engine.
    Engine(usize),
}

/// Whether a replica is reached through a proxy: each second one, so that the others' ends are
/// seen without one.
pub fn is_behind_proxy(replica: usize) -> bool {
    !replica.is_multiple_of(2)
}

/// A region of the stand-in's layout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Region {
    /// Two zones of three.
    South,
    /// The other one.
    North,
}

impl Region {
    /// Its name in the layout.
    pub fn name(self) -> &'static str {
        match self {
            Self::South => "south",
            Self::North => "north",
        }
    }
}

/// What a proxy does to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Harm {
    /// Bytes come later, by up to so many ms.
    Delay(u64),
    /// Open connections are reset; new ones work.
    Reset,
    /// Open connections go silent for good; new ones work.
    Silence,
    /// Nothing passes from the far side for a while.
    CutBack,
    /// Nothing passes to the far side for a while, and is lost.
    CutThere,
    /// Bytes come in small pieces with pauses.
    Trickle,
    /// Each connection ends after so many bytes from the far side.
    CutAfter(u64),
}

/// One kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Trouble {
    /// The process stands still.
    Freeze(Process),
    /// It is killed, and started again.
    Kill(Process),
    /// It is told to stop, and started again.
    Terminate(Process),
    /// It is told that its settings changed.
    HangUp(Process),
    /// All edges are told to stop, one after the other.
    Roll,
    /// All processes are killed at once, and started again.
    KillAll,
    /// A storage process loses its disk.
    Wipe(usize),
    /// Nothing is heard of a region: its processes stand still, their connections stay open.
    CutRegion(Region),
    /// Connections are harmed.
    Harm(Way, Harm),
    /// The store answers 503.
    StoreDown,
    /// It answers nothing.
    StoreSilent,
    /// It refuses storage processes.
    StoreRefuses,
    /// It loses answers of so many writes.
    StoreLoses(u32),
    /// It takes so many ms more for each call.
    StoreSlow(u64),
    /// A plain replica ends, and is back as another.
    EndPlain(usize),
    /// An engine ends, and is back as another.
    EndEngine(usize),
    /// A plain replica ends, and starts again under the identity that it had.
    RebirthPlain(usize),
    /// An engine does.
    RebirthEngine(usize),
    /// A configuration is written beside those that come in turn.
    Configuration,
    /// A plain replica takes requests and answers none.
    MutePlain(usize),
    /// A plain replica breaks its answers off.
    BreakPlain(usize),
    /// A plain replica answers 500.
    FailPlain(usize),
    /// A plain replica takes so many ms more.
    SlowPlain(usize, u64),
}

/// A trouble at its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// When it begins, in ms from the begin of the run.
    pub at: u64,
    /// How long it lasts, in ms.
    pub lasting: u64,
    /// What it is.
    pub trouble: Trouble,
}

impl Fault {
    /// When it is over, in ms from the begin of the run.
    pub fn end(&self) -> u64 {
        self.at + self.lasting
    }
}

/// All of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// What it was drawn from.
    pub seed: u64,
    /// Length of the run, in ms.
    pub length: u64,
    /// Machines for callers.
    pub edges: u8,
    /// Machines with a disk.
    pub storage: u8,
    /// Replicas of each service.
    pub replicas: usize,
    /// Faults by their beginning.
    pub faults: Vec<Fault>,
}

/// How large a run is.
#[derive(Clone, Copy, Debug)]
pub struct Extent {
    /// Length, in ms.
    pub length: u64,
    /// Machines for callers.
    pub edges: u8,
    /// Machines with a disk.
    pub storage: u8,
    /// Replicas also start again under the identities that they had.
    pub rebirths: bool,
}

impl Schedule {
    /// Draws a schedule.
    pub fn draw(seed: u64, extent: Extent) -> Self {
        const REPLICAS: usize = 4;
        let mut schedule = Self {
            seed,
            length: extent.length,
            edges: extent.edges,
            storage: extent.storage,
            replicas: REPLICAS,
            faults: Vec::new(),
        };
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let end = extent.length.saturating_sub(LAST_CALM);
        let mut at = FIRST_AT;
        while at < end {
            let trouble = schedule.draw_trouble(&mut random);
            let drawn = random.random_range(200..3_500).min(end - at);
            let lasting = match trouble {
                Trouble::Roll => ROLL_PAUSE * u64::from(extent.edges) + STOP_TIME,
                _ => drawn,
            };
            let fault = Fault {
                at,
                lasting,
                trouble,
            };
            if fault.end() <= end && schedule.is_borne(&fault) {
                schedule.faults.push(fault);
            }
            at += random.random_range(200..LONGEST_PAUSE);
        }
        schedule.draw_cut(end);
        schedule.draw_harm_to_replicas(end);
        schedule.draw_series(end);
        if extent.rebirths {
            schedule.draw_rebirths(end);
        }
        schedule
    }

    /// Adds harm to connections of replicas.
    fn draw_harm_to_replicas(&mut self, end: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(REPLICA_STREAM);
        let behind: Vec<usize> = (0..self.replicas)
            .filter(|one| is_behind_proxy(*one))
            .collect();
        if behind.is_empty() {
            return;
        }
        let mut at = FIRST_AT;
        loop {
            at += random.random_range(REPLICA_PAUSE);
            let lasting = random.random_range(200..3_500);
            let replica = behind[random.random_range(0..behind.len())];
            let way = match random.random_range(0..2) {
                0 => Way::Plain(replica),
                _ => Way::Engine(replica),
            };
            let harm = match random.random_range(0..5) {
                0 => Harm::Delay(random.random_range(5..200)),
                1 => Harm::Reset,
                2 => Harm::Silence,
                3 => Harm::CutBack,
                _ => Harm::CutThere,
            };
            if at + lasting > end {
                return;
            }
            self.add(Fault {
                at,
                lasting,
                trouble: Trouble::Harm(way, harm),
            });
        }
    }

    /// Adds faults that come in series and overlap.
    fn draw_series(&mut self, end: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(SERIES_STREAM);
        let mut at = FIRST_AT;
        while at < end {
            let faults = match random.random_range(0..2) {
                0 => self.draw_standstill(&mut random, at),
                _ => self.draw_signals(&mut random, at),
            };
            for fault in faults.into_iter().filter(|fault| fault.end() <= end) {
                self.add(fault);
            }
            at += random.random_range(SERIES_PAUSE);
        }
    }

    /// Several edges stand still together, and perhaps their leader is lost meanwhile.
    fn draw_standstill(&self, random: &mut ChaCha8Rng, at: u64) -> Vec<Fault> {
        let edges = usize::from(self.edges);
        let (first, count) = (
            random.random_range(0..edges),
            random.random_range(1..=edges),
        );
        let lasting = random.random_range(STANDSTILL);
        let frozen = (first..first + count).map(|edge| Fault {
            at,
            lasting,
            trouble: Trouble::Freeze(Process::Edge(edge % edges)),
        });
        let mut faults: Vec<Fault> = frozen.collect();
        let loses_leader = random.random_bool(0.5);
        let after = random.random_range(0..lasting);
        if loses_leader {
            faults.push(Fault {
                at: at + after,
                lasting: RESTART_TIME,
                trouble: Trouble::Kill(Process::Leader),
            });
        }
        faults
    }

    /// Signals and configurations, each before the one before has done its work.
    fn draw_signals(&self, random: &mut ChaCha8Rng, mut at: u64) -> Vec<Fault> {
        let mut faults = Vec::new();
        for _ in 0..random.random_range(SERIES_FAULTS) {
            let process = match random.random_range(0..5) {
                0..=2 => Process::Edge(random.random_range(0..usize::from(self.edges))),
                3 => Process::Storage(random.random_range(0..usize::from(self.storage))),
                _ => Process::Leader,
            };
            let trouble = match random.random_range(0..8) {
                0..=2 => Trouble::Terminate(process),
                3 => Trouble::HangUp(process),
                4 => Trouble::Freeze(process),
                5 => Trouble::Kill(process),
                _ => Trouble::Configuration,
            };
            faults.push(Fault {
                at,
                lasting: random.random_range(200..1_500),
                trouble,
            });
            at += random.random_range(SERIES_STEP);
        }
        faults
    }

    /// Adds replicas that start again under the identities that they had.
    fn draw_rebirths(&mut self, end: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(REBIRTH_STREAM);
        let mut at = FIRST_AT;
        loop {
            at += random.random_range(REBIRTH_PAUSE);
            let replica = random.random_range(0..self.replicas);
            let trouble = match random.random_range(0..3) {
                0 => Trouble::RebirthPlain(replica),
                _ => Trouble::RebirthEngine(replica),
            };
            let fault = Fault {
                at,
                lasting: REBIRTH_TIME,
                trouble,
            };
            if fault.end() > end {
                return;
            }
            self.add(fault);
        }
    }

    /// Adds a fault at its place if it is borne.
    fn add(&mut self, fault: Fault) {
        if self.is_borne(&fault) {
            let place = self.faults.partition_point(|one| one.at <= fault.at);
            self.faults.insert(place, fault);
        }
    }

    /// Adds a cut between the regions to some schedules.
    fn draw_cut(&mut self, end: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(CUT_STREAM);
        let lasting = random.random_range(CUT_TIME);
        if !random.random_bool(CUT_SHARE) || end <= FIRST_AT + lasting {
            return;
        }
        let region = match random.random_range(0..2) {
            0 => Region::South,
            _ => Region::North,
        };
        let fault = Fault {
            at: random.random_range(FIRST_AT..end - lasting),
            lasting,
            trouble: Trouble::CutRegion(region),
        };
        self.add(fault);
    }

    fn draw_trouble(&self, random: &mut ChaCha8Rng) -> Trouble {
        let edge = random.random_range(0..usize::from(self.edges));
        let storage = random.random_range(0..usize::from(self.storage));
        let replica = random.random_range(0..self.replicas);
        let process = match random.random_range(0..5) {
            0 | 1 => Process::Edge(edge),
            2 | 3 => Process::Storage(storage),
            _ => Process::Leader,
        };
        let way = match random.random_range(0..4) {
            0 | 1 => Way::Edge(edge),
            2 => Way::StoreOfEdges,
            _ => Way::StoreOfStorage,
        };
        let harm = match random.random_range(0..6) {
            0 => Harm::Delay(random.random_range(5..200)),
            1 => Harm::Reset,
            2 => Harm::Silence,
            3 => Harm::CutBack,
            4 => Harm::Trickle,
            _ => Harm::CutAfter(random.random_range(20..2_000)),
        };
        match random.random_range(0..24) {
            0 | 1 => Trouble::Freeze(process),
            2..=4 => Trouble::Kill(process),
            5 | 6 => Trouble::Terminate(process),
            7 => Trouble::HangUp(process),
            8 => Trouble::Roll,
            9 => Trouble::KillAll,
            10 => Trouble::Wipe(storage),
            11..=13 => Trouble::Harm(way, harm),
            14 => Trouble::StoreDown,
            15 => Trouble::StoreSilent,
            16 => Trouble::StoreRefuses,
            17 => Trouble::StoreLoses(random.random_range(1..6)),
            18 => Trouble::StoreSlow(random.random_range(20..400)),
            19 => Trouble::EndPlain(replica),
            20 => Trouble::EndEngine(replica),
            21 => Trouble::MutePlain(replica),
            22 => match random.random_range(0..2) {
                0 => Trouble::BreakPlain(replica),
                _ => Trouble::FailPlain(replica),
            },
            _ => Trouble::SlowPlain(replica, random.random_range(50..1_500)),
        }
    }

    /// Whether all promises are to hold with a fault added: no two disks are lost at once,
    /// nor one while another storage process is away.
    fn is_borne(&self, fault: &Fault) -> bool {
        let touches_storage = |one: &Fault| match one.trouble {
            Trouble::Freeze(process) | Trouble::Kill(process) | Trouble::Terminate(process) => {
                !matches!(process, Process::Edge(_))
            }
            Trouble::KillAll | Trouble::Wipe(_) | Trouble::CutRegion(_) => true,
            _ => false,
        };
        let is_wipe = |one: &Fault| matches!(one.trouble, Trouble::Wipe(_));
        let is_near =
            |one: &Fault| one.at <= fault.end() + DISK_QUIET && fault.at <= one.end() + DISK_QUIET;
        let mut near = self.faults.iter().filter(|one| is_near(one));
        if is_wipe(fault) {
            !near.any(touches_storage) && fault.at >= DISK_QUIET
        } else if touches_storage(fault) {
            !near.any(is_wipe)
        } else {
            true
        }
    }

    /// The same without some of its faults.
    pub fn without(&self, dropped: std::ops::Range<usize>) -> Self {
        let mut schedule = self.clone();
        schedule.faults.drain(dropped);
        schedule
    }
}
