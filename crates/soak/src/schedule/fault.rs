//! Faults of a schedule: their kinds, targets and times.
//!
//! Schedule files contain the serialized names of these variants and fields, so they must not
//! change.

use serde::{Deserialize, Serialize};

/// Process that a fault affects. The numbers are indices of machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Process {
    /// An edge process.
    Edge(usize),
    /// A storage process.
    Storage(usize),
    /// The storage process that is the leader when the fault begins.
    Leader,
}

/// A network link that passes through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProxiedLink {
    /// Link from callers to an edge.
    Edge(usize),
    /// Link from edges to the store.
    StoreOfEdges,
    /// Link from storage processes to the store.
    StoreOfStorage,
    /// Link from the cluster to a plain replica for which [`is_behind_proxy`] holds.
    Plain(usize),
    /// Link from the cluster to an engine for which [`is_behind_proxy`] holds.
    Engine(usize),
}

/// Returns whether a replica is reached through a proxy. Replicas with an odd index are; the others
/// are reached directly, so that the cluster sees their exit without a proxy's delay.
pub fn is_behind_proxy(replica: usize) -> bool {
    !replica.is_multiple_of(2)
}

/// A region of the stand-in's layout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Region {
    /// The region that holds two of every three machines.
    South,
    /// The region that holds the other machines.
    North,
}

impl Region {
    /// Returns the name of the region in the stand-in's layout.
    pub fn name(self) -> &'static str {
        match self {
            Self::South => "south",
            Self::North => "north",
        }
    }
}

/// What a proxy does to the connections of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkFault {
    /// Each chunk is delayed by this many ms.
    Delay(u64),
    /// Open connections are reset; new ones work.
    Reset,
    /// Open connections pass no more bytes; new ones work.
    Silence,
    /// No bytes pass from the target until the fault ends.
    CutBack,
    /// No bytes pass to the target until the fault ends. A connection that sent bytes meanwhile
    /// loses them and is closed.
    CutThere,
    /// Bytes pass in small chunks with pauses between them.
    Trickle,
    /// A connection is closed once the target has sent more than this many bytes on it.
    CutAfter(u64),
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The process is suspended.
    Freeze(Process),
    /// The process is killed and restarted.
    Kill(Process),
    /// The process gets SIGTERM and is restarted.
    Terminate(Process),
    /// The process gets SIGHUP, on which it only logs an event.
    HangUp(Process),
    /// All edges get SIGTERM, one after the other.
    Roll,
    /// All processes of the cluster are killed at once and restarted.
    KillAll,
    /// All processes of the cluster are killed at once and restarted, this many storage processes
    /// with empty disks.
    PowerLoss(usize),
    /// Whichever storage process leads is killed and restarted, again and again until the fault
    /// ends.
    KillLeaders,
    /// A storage process is killed and restarted with an empty disk.
    Wipe(usize),
    /// All processes of a region are suspended; their connections stay open.
    CutRegion(Region),
    /// The proxy of a link disturbs its connections.
    Harm(ProxiedLink, LinkFault),
    /// The store answers 503.
    StoreDown,
    /// The store accepts calls but does not answer them.
    StoreSilent,
    /// The store refuses storage processes.
    StoreRefuses,
    /// The store applies the next writes, as many as given, without answering them.
    StoreLoses(u32),
    /// The store takes this many ms longer for each call.
    StoreSlow(u64),
    /// A plain replica exits and restarts under a new id.
    EndPlain(usize),
    /// An engine exits and restarts under a new id.
    EndEngine(usize),
    /// A plain replica exits and restarts under the same id.
    RebirthPlain(usize),
    /// An engine exits and restarts under the same id.
    RebirthEngine(usize),
    /// A configuration is written in addition to the periodic ones.
    Configuration,
    /// A plain replica accepts requests but does not answer them.
    MutePlain(usize),
    /// A plain replica closes the connection after the head of each answer.
    BreakPlain(usize),
    /// A plain replica answers 500.
    FailPlain(usize),
    /// A plain replica takes this many ms longer for each answer.
    SlowPlain(usize, u64),
    /// The work of a plain replica takes this many percent of the usual time, as its load header
    /// reports.
    PacePlain(usize, u64),
    /// The work of an engine takes this many percent of the usual time, as its load header reports.
    PaceEngine(usize, u64),
    /// A caller of the edge reads a large answer slowly.
    SlowReader(usize),
    /// This many callers send one request each to the edge at once.
    Burst(usize, usize),
    /// This many callers submit small jobs for a moment, and one more is submitted now and then until
    /// the fault ends. Each id is sent once.
    Submissions(usize),
}

/// A fault with its start time and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// When it begins, in ms from the start of the run.
    pub at: u64,
    /// Duration, in ms.
    pub lasting: u64,
    /// Kind and target.
    #[serde(rename = "trouble")]
    pub kind: FaultKind,
}

impl Fault {
    /// Returns when the fault ends, in ms from the start of the run.
    pub fn end(&self) -> u64 {
        self.at + self.lasting
    }
}
