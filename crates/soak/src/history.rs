//! What callers saw, in the order in which it ended.

use serde::Serialize;
use std::sync::Mutex;
use std::time::Instant;

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A request that may run twice.
    Read,
    /// One that may not.
    Write,
    /// One whose body ends the replica that runs it.
    Ending,
    /// A job handed in.
    Submit,
    /// One by a route that a newer configuration brought.
    NewRoute,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// An answer came whole.
    Answered {
        /// Its status.
        status: u16,
        /// Whether it is the answer to this call, by its id and its body.
        is_own: bool,
    },
    /// The connection ended before a whole answer.
    Broken,
    /// No answer came in time.
    Late,
    /// No connection.
    Unreached,
}

/// A call.
#[derive(Clone, Debug, Serialize)]
pub struct CallRecord {
    /// Its id.
    pub id: String,
    /// What it asks for.
    pub kind: Kind,
    /// The edge that was asked.
    pub edge: usize,
    /// Whether it went through a proxy.
    pub is_proxied: bool,
    /// When its last byte was sent, in ms from the begin of the run.
    pub sent_at: u64,
    /// When it ended.
    pub ended_at: u64,
    /// How.
    pub outcome: Outcome,
}

/// A page of a job's results, as a trainer read it.
#[derive(Clone, Debug, Serialize)]
pub struct PageRecord {
    /// The job.
    pub job: String,
    /// Position of the first result.
    pub since: usize,
    /// The results, from that position on.
    pub results: Vec<ResultRecord>,
    /// When it was read, in ms from the begin of the run.
    pub at: u64,
}

/// A result of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ResultRecord {
    /// Id of the item.
    pub id: String,
    /// Whether its text is whole.
    pub is_completed: bool,
    /// Its text.
    pub text: String,
    /// Versions that made it.
    pub versions: Vec<u64>,
    /// Its score.
    pub score: Option<String>,
}

/// A call that ends a job.
#[derive(Clone, Debug, Serialize)]
pub struct EndRecord {
    /// The job.
    pub job: String,
    /// The edge that was asked.
    pub edge: usize,
    /// When it was sent, in ms from the begin of the run.
    pub sent_at: u64,
    /// When its answer was read.
    pub ended_at: u64,
    /// Status of its answer; 0 where none came.
    pub status: u16,
}

/// Everything that was seen.
#[derive(Debug)]
pub struct History {
    begun: Instant,
    calls: Mutex<Vec<CallRecord>>,
    pages: Mutex<Vec<PageRecord>>,
    ends: Mutex<Vec<EndRecord>>,
}

impl Default for History {
    fn default() -> Self {
        Self {
            begun: Instant::now(),
            calls: Mutex::default(),
            pages: Mutex::default(),
            ends: Mutex::default(),
        }
    }
}

impl History {
    /// Time since the begin of the run, in ms.
    pub fn now(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// A moment as time since the begin of the run, in ms.
    pub fn time_of(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.begun).as_millis() as u64
    }

    /// Records a call that ends a job.
    pub fn record_end(&self, end: EndRecord) {
        self.ends.lock().expect("lock").push(end);
    }

    /// All calls so far that end jobs.
    pub fn ends(&self) -> Vec<EndRecord> {
        self.ends.lock().expect("lock").clone()
    }

    /// Records a call.
    pub fn record_call(&self, call: CallRecord) {
        self.calls.lock().expect("lock").push(call);
    }

    /// Records a page.
    pub fn record_page(&self, page: PageRecord) {
        self.pages.lock().expect("lock").push(page);
    }

    /// All calls so far.
    pub fn calls(&self) -> Vec<CallRecord> {
        self.calls.lock().expect("lock").clone()
    }

    /// All pages so far.
    pub fn pages(&self) -> Vec<PageRecord> {
        self.pages.lock().expect("lock").clone()
    }
}
