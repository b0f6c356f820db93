//! State of an active job and its items.

use crate::job_route::{JobRoute, find_route};
use crate::waiting::{PlacementClass, WaitingItems};
use brasspond_cluster_protocol::{AttemptId, StreamEvent};
use brasspond_fleet::FleetView;
use brasspond_jobs::{Item, Job};
use brasspond_units::Millis;

/// Expected tokens of an item without an estimate. It is the minimum, so that items known to be
/// long start first.
const DEFAULT_TOKENS: u64 = 1;

/// State of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// The item waits for a replica.
    Waiting,
    /// The attempt generates the text.
    Running(AttemptId),
    /// The text needs a score. Contains the id of the scoring in progress; `None` while the text
    /// waits for a scoring order.
    Scoring(Option<AttemptId>),
    /// The result is being appended to the log. Contains the attempt that produced the result and
    /// the machine of its edge, if an edge reported the result.
    Ending(Option<(AttemptId, String)>),
    /// The result is in the log.
    Listed,
}

/// State of an item of an active job.
#[derive(Clone, Debug)]
pub(crate) struct ItemRun {
    pub id: String,
    pub state: State,
    pub expected_tokens: u64,
    /// Events that ended runs of the item reported; the next run continues after them.
    pub events: Vec<StreamEvent>,
    /// Number of these events that are in the log.
    pub persisted: usize,
    /// Number of runs that ended as [`RunEnd::Failed`](brasspond_cluster_protocol::RunEnd::Failed).
    pub failures: u32,
    /// Whether the text is scored before the item is listed.
    pub is_scored: bool,
    /// Number of scoring calls that timed out.
    pub timed_out_calls: u32,
}

/// State of an active job.
#[derive(Clone, Debug)]
pub(crate) struct JobRun {
    pub host: String,
    pub model: String,
    pub min_version: u64,
    /// When the job was accepted, or when this process became leader if that was later.
    pub since: Millis,
    /// Services and regions of the job; `None` while the configuration has no route for it.
    pub route: Option<JobRoute>,
    pub items: Vec<ItemRun>,
    /// Waiting items, those with the most expected tokens first.
    pub waiting: WaitingItems,
}

impl ItemRun {
    pub fn new(item: &Item) -> Self {
        Self {
            id: item.id.clone(),
            state: State::Waiting,
            expected_tokens: item.expected_tokens.max(DEFAULT_TOKENS),
            events: Vec::new(),
            persisted: 0,
            failures: 0,
            is_scored: item.scoring.is_some(),
            timed_out_calls: 0,
        }
    }
}

impl JobRun {
    pub fn new(job: &Job, view: &FleetView, now: Millis) -> Self {
        Self {
            host: job.host.clone(),
            model: job.model.clone(),
            min_version: job.min_version,
            since: now,
            route: find_route(view, job),
            items: Vec::with_capacity(job.items.len()),
            waiting: WaitingItems::default(),
        }
    }

    /// Whether a single version must generate the complete text of an item.
    pub fn is_single_version(&self) -> bool {
        self.route
            .as_ref()
            .is_some_and(|route| route.single_version)
    }

    /// The version that must continue a text, if a single version must generate all of it.
    pub fn exact_version(&self, events: &[StreamEvent]) -> Option<u64> {
        let first = events.first()?;
        self.is_single_version().then_some(first.version)
    }

    /// The class of an item by the job's route and the events of the item. Without a route all
    /// items are in one class.
    fn class_of(&self, item: u32) -> PlacementClass {
        let events = &self.items[item as usize].events;
        let route = self.route.as_ref();
        PlacementClass {
            target: route.map_or(0, |route| route.target(item)),
            exact_version: self.exact_version(events),
        }
    }

    /// Adds an item to the waiting ones.
    pub fn enqueue(&mut self, item: u32) {
        let class = self.class_of(item);
        let expected_tokens = self.items[item as usize].expected_tokens;
        self.waiting.insert(class, expected_tokens, item);
    }

    /// Removes an item from the waiting ones.
    pub fn dequeue(&mut self, item: u32) {
        let expected_tokens = self.items[item as usize].expected_tokens;
        self.waiting.remove(expected_tokens, item);
    }

    /// Replaces the route and sorts the waiting items into its classes.
    pub fn set_route(&mut self, route: Option<JobRoute>) {
        self.route = route;
        let waiting = std::mem::take(&mut self.waiting);
        for item in waiting.items() {
            self.enqueue(item);
        }
    }

    /// Whether several versions generated a text that must be of a single version.
    pub fn is_mixed(&self, events: &[StreamEvent]) -> bool {
        let exact = self.exact_version(events);
        exact.is_some_and(|exact| events.iter().any(|event| event.version != exact))
    }

    /// Items that wait or need a score, which are given up when the job is overdue.
    pub fn unfinished_items(&self) -> impl Iterator<Item = u32> {
        let waiting = self.waiting.items();
        let items = (0..).zip(&self.items);
        let scored = items.filter(|(_, item)| matches!(item.state, State::Scoring(_)));
        let scored = scored.map(|(number, _)| number);
        waiting.chain(scored)
    }
}
