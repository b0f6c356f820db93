//! An edge of the model: its runs and its link to the leader.

use brasspond_cluster_protocol::{
    AttemptId, Pace, RunEnd, RunReport, RunSpec, ScoringEnd, ScoringSpec, StreamEvent,
};
use brasspond_jobs::ScoringCall;
use std::collections::{BTreeMap, VecDeque};

/// A run on an edge.
#[derive(Clone, Debug)]
pub struct EdgeRun {
    pub spec: RunSpec,
    pub events: Vec<StreamEvent>,
    pub reported: usize,
    pub end: Option<RunEnd>,
    pub scoring: Option<ScoringEnd>,
    /// When the event came from which a pace is counted, and the newest.
    pub paced: Option<(u64, u64)>,
    /// Last instant at which a silent replica is waited for.
    pub head_until: u64,
}

impl EdgeRun {
    pub fn event_came(&mut self, now: u64) {
        let since = self.paced.map_or(now, |(since, _)| since);
        self.paced = Some((since, now));
    }

    fn pace(&mut self, events: usize) -> Option<Pace> {
        let (since, newest) = self.paced?;
        self.paced = Some((newest, newest));
        Some(Pace {
            events: u32::try_from(events).expect("few"),
            span_ms: u32::try_from(newest - since).expect("short"),
        })
    }

    /// The report on this run.
    pub fn progress(&mut self, attempt: AttemptId) -> ToLeader {
        let events = self.unreported();
        let pace = self.pace(events.len());
        ToLeader::Progress(attempt, events, pace)
    }

    pub fn unreported(&mut self) -> Vec<StreamEvent> {
        let events = self.events[self.reported..].to_vec();
        self.reported = self.events.len();
        events
    }
}

/// A scoring call on its way.
#[derive(Clone, Debug)]
pub struct ScoringRun {
    pub attempt: AttemptId,
    pub job: String,
    pub item_id: String,
    pub call: ScoringCall,
    /// Time that it takes, in ms.
    pub takes: u64,
    /// None: it waits for a work lease.
    pub ends_at: Option<u64>,
}

/// From an edge to the leader.
#[derive(Clone, Debug)]
pub enum ToLeader {
    /// The number of this registration, and all runs.
    Runs(u64, Vec<RunReport>),
    Progress(AttemptId, Vec<StreamEvent>, Option<Pace>),
    Ended(AttemptId, Vec<StreamEvent>, RunEnd),
    Scored(AttemptId, ScoringEnd),
    Draining,
    /// What its clock shows.
    Clock(u64),
}

/// From the leader to an edge.
#[derive(Clone, Debug)]
pub enum ToEdge {
    /// The registration by which the leader knows the runs, and an order.
    Run(u64, Box<RunSpec>),
    Score(u64, Box<ScoringSpec>),
    Cancel(u64, AttemptId),
    Recorded(AttemptId),
    /// The work lease lasts until then.
    WorkLease(u64),
}

#[derive(Debug, Default)]
pub struct Edge {
    pub machine: String,
    pub runs: BTreeMap<AttemptId, EdgeRun>,
    pub calls: Vec<ScoringRun>,
    pub newest_term: u64,
    pub draining: bool,
    /// Whether its link works; else when it comes back.
    pub linked: bool,
    /// Whether it registered its runs on this link: nothing is sent to it before.
    pub has_registered: bool,
    pub back_at: u64,
    /// Its newest registration, and the one by which the leader knows its runs.
    pub registration: u64,
    pub known_registration: u64,
    /// Until when calls may begin.
    pub lease_until: u64,
    /// Since when and until when it is suspended; none: it is not.
    pub suspended: Option<(u64, u64)>,
    /// How many of the messages that waited it reads before it learns that it was given up.
    pub reads_first: usize,
    /// When the leader gives it up, if it does not come back before.
    pub given_up_at: Option<u64>,
    /// Messages of the leader to it take so many ms more.
    pub lag_ms: u64,
    /// Its clock less the world's time, in ms.
    pub ahead: u64,
    pub to_leader: VecDeque<(u64, ToLeader)>,
    pub to_edge: VecDeque<(u64, ToEdge)>,
}

impl Edge {
    pub fn new(number: usize) -> Self {
        Self {
            machine: format!("edge-{number}"),
            ahead: 70_000 * number as u64,
            ..Self::default()
        }
    }

    pub fn reports(&mut self) -> Vec<RunReport> {
        let runs = self.runs.iter_mut();
        let reports = runs.map(|(attempt, run)| {
            run.reported = run.events.len();
            RunReport {
                attempt: *attempt,
                job: run.spec.job.clone(),
                item: run.spec.item,
                replica: run.spec.replica.clone(),
                events: run.events.clone(),
                end: run.end,
                scoring: run.scoring.clone(),
            }
        });
        reports.collect()
    }
}
