//! What may go wrong: kinds of trouble, whom they strike, and when.
//!
//! These types are written to schedule files by the names of variants and fields.

use serde::{Deserialize, Serialize};

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
    /// The process is suspended.
    Freeze(Process),
    /// It is killed, and started again.
    Kill(Process),
    /// It gets SIGTERM, and is started again.
    Terminate(Process),
    /// It gets SIGHUP: its settings changed.
    HangUp(Process),
    /// All edges get SIGTERM, one after the other.
    Roll,
    /// All processes are killed at once, and started again.
    KillAll,
    /// A storage process loses its disk.
    Wipe(usize),
    /// A region is silent: its processes are suspended, their connections stay open.
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
    /// A plain replica ends, and starts again under another id.
    EndPlain(usize),
    /// An engine ends, and starts again under another id.
    EndEngine(usize),
    /// A plain replica ends, and starts again under its id.
    RebirthPlain(usize),
    /// An engine does.
    RebirthEngine(usize),
    /// A configuration is written, beside those written regularly.
    Configuration,
    /// A plain replica accepts requests and answers none.
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
