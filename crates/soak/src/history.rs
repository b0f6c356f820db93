//! Records of the calls of a run, in the order in which the calls ended.

use serde::Serialize;
use std::sync::Mutex;
use std::time::Instant;

/// Purpose of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// A request that may run more than once.
    Read,
    /// A request that must run at most once.
    Write,
    /// A request whose body makes the replica that runs it exit.
    Ending,
    /// The submission of a job, repeated until it is accepted.
    Submit,
    /// The submission of a job that is sent once.
    SubmitOnce,
    /// A request on a route that a configuration written during the run added.
    NewRoute,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A complete answer arrived.
    Answered {
        /// HTTP status.
        status: u16,
        /// Whether the id and the body of the answer match the call.
        is_own: bool,
    },
    /// The connection ended before the answer was complete.
    Broken,
    /// No answer arrived in time.
    Late,
    /// No connection could be opened.
    Unreached,
}

/// A finished call.
#[derive(Clone, Debug, Serialize)]
pub struct CallRecord {
    /// Id of the request, or of the job that it submits.
    pub id: String,
    /// Purpose of the call.
    pub kind: CallKind,
    /// Index of the edge to which the call was sent.
    pub edge: usize,
    /// Whether the call was sent through a proxy.
    pub is_proxied: bool,
    /// When sending started, in ms from the start of the run.
    pub sent_at: u64,
    /// When the call ended, in ms from the start of the run.
    pub ended_at: u64,
    /// How the call ended.
    pub outcome: Outcome,
}

/// A page of results that a trainer read.
#[derive(Clone, Debug, Serialize)]
pub struct PageRecord {
    /// Id of the job.
    pub job: String,
    /// Position of the first result on the page.
    pub since: usize,
    /// Results on the page, by position.
    pub results: Vec<ResultRecord>,
    /// When the page was read, in ms from the start of the run.
    pub at: u64,
}

/// A result of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ResultRecord {
    /// Id of the item.
    pub id: String,
    /// Whether the item is in the state `completed`.
    pub is_completed: bool,
    /// Generated text.
    pub text: String,
    /// Versions of the weights that generated the text.
    pub versions: Vec<u64>,
    /// Score of the text, if there is one.
    pub score: Option<String>,
}

/// The results of a job as read again from one edge after the last fault.
#[derive(Clone, Debug, Serialize)]
pub struct Reread {
    /// Id of the job.
    pub job: String,
    /// Index of the edge.
    pub edge: usize,
    /// When reading began, in ms from the start of the run.
    pub started_at: u64,
    /// Whether the edge answered with a page in time.
    pub is_answered: bool,
    /// Results that were read in time, by position.
    pub results: Vec<ResultRecord>,
}

/// A call that ends a job.
#[derive(Clone, Debug, Serialize)]
pub struct EndRecord {
    /// Id of the job.
    pub job: String,
    /// Index of the edge to which the call was sent.
    pub edge: usize,
    /// When the call was sent, in ms from the start of the run.
    pub sent_at: u64,
    /// When the call ended, in ms from the start of the run.
    pub ended_at: u64,
    /// HTTP status of the answer, or 0 if no answer arrived.
    pub status: u16,
}

/// Thread-safe collection of all records of a run.
#[derive(Debug)]
pub struct History {
    started_at: Instant,
    calls: Mutex<Vec<CallRecord>>,
    pages: Mutex<Vec<PageRecord>>,
    ends: Mutex<Vec<EndRecord>>,
}

impl Default for History {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            calls: Mutex::default(),
            pages: Mutex::default(),
            ends: Mutex::default(),
        }
    }
}

impl History {
    /// Returns the time since the start of the run, in ms.
    pub fn now(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Converts an instant to ms since the start of the run.
    pub fn time_of(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.started_at).as_millis() as u64
    }

    /// Records a call that ends a job.
    pub fn record_end(&self, end: EndRecord) {
        self.ends.lock().expect("lock").push(end);
    }

    /// Returns all recorded calls that end jobs.
    pub fn ends(&self) -> Vec<EndRecord> {
        self.ends.lock().expect("lock").clone()
    }

    /// Records a call.
    pub fn record_call(&self, call: CallRecord) {
        self.calls.lock().expect("lock").push(call);
    }

    /// Records a page of results.
    pub fn record_page(&self, page: PageRecord) {
        self.pages.lock().expect("lock").push(page);
    }

    /// Returns all recorded calls, except those that end or read jobs.
    pub fn calls(&self) -> Vec<CallRecord> {
        self.calls.lock().expect("lock").clone()
    }

    /// Returns all recorded pages.
    pub fn pages(&self) -> Vec<PageRecord> {
        self.pages.lock().expect("lock").clone()
    }
}
