//! Items that wait, run and are done, by job.

use crate::dispatcher::Action;
use crate::residency::regions_of_bodies;
use brasspond_cluster_protocol::{AttemptId, StreamEvent};
use brasspond_fleet::{Configuration, FleetView, Regions, Route, Target, choose_target};
use brasspond_jobs::{Draft, Item, Job, JobTable, Part};
use brasspond_units::Millis;
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Most items whose partial text is kept for a later job.
const MOST_KEPT: usize = 2_000;
/// Items assumed to be written where the caller expects nothing.
const UNKNOWN_LENGTH: u64 = 1;

/// Where an item stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum State {
    Waiting,
    /// Its content ends replicas: it does not wait for one.
    Withheld,
    Running(AttemptId),
    /// Its text is kept; this run or order scores it, if one does.
    Scoring(Option<AttemptId>),
    /// Its end is proposed to the log by this run of that machine, if by one.
    Ending(Option<(AttemptId, String)>),
    Listed,
}

/// An item under way.
#[derive(Clone, Debug)]
pub(crate) struct ItemRun {
    pub id: String,
    pub state: State,
    pub expected_tokens: u64,
    /// Events that ended runs made and told.
    pub events: Vec<StreamEvent>,
    /// How many of them the log keeps.
    pub kept: usize,
    /// Runs that the replica failed.
    pub failures: u32,
    /// Its text is listed only with a score.
    pub is_scored: bool,
    /// Calls for its score that were given all their time and not answered.
    pub ran_out: u32,
    /// It is to be started once although its content is held.
    pub is_retry: bool,
}

/// Where a job's items may go.
#[derive(Clone, Debug)]
pub(crate) struct JobRoute {
    /// Services that may run the items, by weight; never empty.
    targets: Vec<Target>,
    pub max_attempts: u32,
    pub max_queue_ms: u64,
    pub single_version: bool,
    /// Where items may run: what the route and the job's tenant both allow.
    pub regions: Regions,
    /// Where bodies of items and of their scoring calls may be: edges inside these run them.
    pub bodies: Regions,
}

/// A job under way.
#[derive(Clone, Debug)]
pub(crate) struct JobRun {
    pub host: String,
    pub model: String,
    pub min_version: u64,
    pub since: Millis,
    /// None: no route leads anywhere at present.
    pub route: Option<JobRoute>,
    pub items: Vec<ItemRun>,
    /// Waiting items, the longest expected first.
    pub waiting: BTreeSet<(std::cmp::Reverse<u64>, u32)>,
    /// Items whose content ends replicas, with when one may be run again.
    pub withheld: BTreeMap<u32, Millis>,
}

/// Text of an item that a later job may use.
#[derive(Clone, Debug)]
struct Kept {
    events: Vec<StreamEvent>,
}

impl JobRoute {
    /// The service that runs an item: the same for all its runs.
    pub fn service(&self, item: u32) -> &str {
        let target = choose_target(&self.targets, u64::from(item));
        target.map_or("", |target| target.service.as_str())
    }
}

impl ItemRun {
    fn new(item: &Item) -> Self {
        Self {
            id: item.id.clone(),
            state: State::Waiting,
            expected_tokens: item.expected_tokens.max(UNKNOWN_LENGTH),
            events: Vec::new(),
            kept: 0,
            failures: 0,
            is_scored: item.scoring.is_some(),
            ran_out: 0,
            is_retry: false,
        }
    }
}

impl JobRun {
    /// Whether one version must make the whole text of an item.
    pub fn is_single_version(&self) -> bool {
        self.route
            .as_ref()
            .is_some_and(|route| route.single_version)
    }
}

/// All jobs under way.
#[derive(Debug, Default)]
pub(crate) struct JobRuns {
    pub jobs: BTreeMap<String, JobRun>,
    /// Jobs by age, so that the oldest is served first.
    pub order: Vec<String>,
    kept: HashMap<String, Kept>,
    /// Where an item's whole text stands: job and index.
    completed: HashMap<String, (String, u32)>,
    /// Where a text that was being made stands in the table: job and index.
    begun: HashMap<String, (String, u32)>,
    /// Items whose texts wait for an order to score them, and from when it may be
    /// given.
    unscored: BTreeMap<(String, u32), Millis>,
}

impl JobRuns {
    /// Opens a job; returns what is to be kept of items whose text an earlier job
    /// brought.
    pub fn open(
        &mut self,
        id: &str,
        job: &Job,
        table: &JobTable,
        view: &FleetView,
        now: Millis,
    ) -> Vec<Action> {
        self.index_completed(id, job);
        if job.is_finished() || self.jobs.contains_key(id) {
            return Vec::new();
        }
        let mut run = JobRun {
            host: job.host.clone(),
            model: job.model.clone(),
            min_version: job.min_version,
            since: now,
            route: find_route(view, job),
            items: Vec::with_capacity(job.items.len()),
            waiting: BTreeSet::new(),
            withheld: BTreeMap::new(),
        };
        let mut kept = Vec::new();
        for (index, item) in job.items.iter().enumerate() {
            let number = index as u32;
            let mut item_run = ItemRun::new(item);
            if job.listed[index] {
                item_run.state = State::Listed;
            } else if job.drafts.contains_key(&number) {
                item_run.state = State::Scoring(None);
                self.unscored.insert((id.to_string(), number), now);
            } else if let Some(draft) = self.reuse(id, number, job, &run, table) {
                if item_run.is_scored {
                    item_run.state = State::Scoring(None);
                    self.unscored.insert((id.to_string(), number), now);
                    kept.push(Action::Keep(draft));
                } else {
                    item_run.state = State::Ending(None);
                    kept.push(Action::Finish(draft));
                }
            } else {
                match job.parts.get(&number) {
                    Some(parts) => {
                        item_run.events = events_of(parts);
                        item_run.kept = parts.len();
                    }
                    None => item_run.events = self.partial(&item.id, job.min_version, table),
                }
                run.waiting
                    .insert((std::cmp::Reverse(item_run.expected_tokens), number));
            }
            run.items.push(item_run);
        }
        self.jobs.insert(id.to_string(), run);
        self.order.push(id.to_string());
        kept
    }

    /// A whole text of an item is kept, or about to be.
    pub fn note_text(&mut self, job: &str, item: u32, item_id: &str) {
        let place = (job.to_string(), item);
        self.completed.insert(item_id.to_string(), place);
    }

    /// A text waits for an order to score it, given at `from` or later.
    pub fn wait_for_score(&mut self, job: &str, item: u32, from: Millis) {
        let run = self.jobs.get_mut(job);
        if let Some(item_run) = run.and_then(|run| run.items.get_mut(item as usize)) {
            item_run.state = State::Scoring(None);
            self.unscored.insert((job.to_string(), item), from);
        }
    }

    /// Takes the texts that may be ordered to be scored by now.
    pub fn take_unscored(&mut self, now: Millis) -> Vec<(String, u32)> {
        if self.unscored.is_empty() {
            return Vec::new();
        }
        let due = self.unscored.iter().filter(|(_, from)| **from <= now);
        let due: Vec<_> = due.map(|(place, _)| place.clone()).collect();
        for place in &due {
            self.unscored.remove(place);
        }
        due
    }

    /// Looks up every job's route in the newest configuration.
    pub fn resolve_routes(&mut self, view: &FleetView, table: &JobTable) {
        for (id, run) in &mut self.jobs {
            if let Some(job) = table.job(id) {
                run.route = find_route(view, job);
            }
        }
    }

    /// Puts an item back among those that wait.
    pub fn wait(&mut self, job: &str, item: u32) {
        let Some(run) = self.jobs.get_mut(job) else {
            return;
        };
        let item_run = &mut run.items[item as usize];
        item_run.state = State::Waiting;
        let key = std::cmp::Reverse(item_run.expected_tokens);
        run.waiting.insert((key, item));
    }

    /// The item of a job that is to be started next, if its route leads anywhere.
    pub fn next_waiting(&self, id: &str) -> Option<u32> {
        let job = self.jobs.get(id)?;
        job.route.as_ref()?;
        job.waiting.first().map(|(_, item)| *item)
    }

    /// Takes an item out of those that wait.
    pub fn take_waiting(&mut self, job: &str, item: u32) {
        if let Some(run) = self.jobs.get_mut(job) {
            let tokens = run.items[item as usize].expected_tokens;
            run.waiting.remove(&(std::cmp::Reverse(tokens), item));
        }
    }

    /// Keeps what a run of an ended job made, for the job that brings the item
    /// again.
    pub fn keep(&mut self, item_id: String, events: Vec<StreamEvent>) {
        if events.is_empty() {
            return;
        }
        if self.kept.len() >= MOST_KEPT {
            self.kept.clear();
        }
        self.kept.insert(item_id, Kept { events });
    }

    /// Whether an item of a model waits.
    pub fn has_waiting(&self, model: &str) -> bool {
        let mut jobs = self.jobs.values();
        jobs.any(|job| job.model == model && !job.waiting.is_empty())
    }

    /// Jobs of which items wait, the oldest first.
    pub fn with_waiting(&self) -> Vec<String> {
        let has_waiting = |id: &&String| {
            let job = self.jobs.get(*id);
            job.is_some_and(|job| !job.waiting.is_empty())
        };
        self.order.iter().filter(has_waiting).cloned().collect()
    }

    /// Items of a model that wait.
    pub fn waiting_of(&self, model: &str) -> usize {
        let of_model = self.jobs.values().filter(|job| job.model == model);
        of_model.map(|job| job.waiting.len()).sum()
    }

    /// Items that wait, by the service that runs them.
    pub fn waiting_by_service(&self) -> BTreeMap<String, usize> {
        let mut waiting = BTreeMap::new();
        for job in self.jobs.values() {
            let (Some(route), Some((_, item))) = (&job.route, job.waiting.first()) else {
                continue;
            };
            let service = route.service(*item).to_string();
            *waiting.entry(service).or_default() += job.waiting.len();
        }
        waiting
    }

    /// The newest of the oldest versions that jobs of a model allow.
    pub fn newest_asked(&self, model: &str) -> u64 {
        let of_model = self.jobs.values().filter(|job| job.model == model);
        of_model.map(|job| job.min_version).max().unwrap_or(0)
    }

    /// Items that wait.
    pub fn waiting(&self) -> usize {
        self.jobs.values().map(|job| job.waiting.len()).sum()
    }

    /// Notes that an item is listed.
    pub fn listed(&mut self, id: &str, item: u32, table: &JobTable) -> Option<State> {
        if let Some(job) = table.job(id)
            && job.text(item).is_some()
        {
            self.note_text(id, item, &job.items[item as usize].id);
        }
        self.unscored.remove(&(id.to_string(), item));
        let run = self.jobs.get_mut(id)?;
        let item_run = run.items.get_mut(item as usize)?;
        let before = std::mem::replace(&mut item_run.state, State::Listed);
        item_run.events = Vec::new();
        run.withheld.remove(&item);
        run.waiting
            .remove(&(std::cmp::Reverse(item_run.expected_tokens), item));
        let is_done = run.items.iter().all(|item| item.state == State::Listed);
        if is_done {
            self.close(id);
        }
        Some(before)
    }

    /// Drops a finished job from those under way.
    pub fn close(&mut self, id: &str) -> Option<JobRun> {
        self.order.retain(|other| other != id);
        self.unscored.retain(|(job, _), _| job != id);
        self.jobs.remove(id)
    }

    /// Drops all that is known of a job.
    pub fn forget(&mut self, id: &str) {
        self.close(id);
        self.completed.retain(|_, (job, _)| job != id);
        self.begun.retain(|_, (job, _)| job != id);
    }

    fn index_completed(&mut self, id: &str, job: &Job) {
        let listed = job.results.iter().map(|(item, _)| *item);
        for item in listed.chain(job.drafts.keys().copied()) {
            if job.text(item).is_some() {
                self.note_text(id, item, &job.items[item as usize].id);
            }
        }
        for item in job.parts.keys() {
            let place = (id.to_string(), *item);
            let item_id = job.items[*item as usize].id.clone();
            self.begun.insert(item_id, place);
        }
    }

    /// The whole text of an item out of an earlier job, if its versions fit. Its
    /// score stays behind: the call that scores it is made anew.
    fn reuse(
        &self,
        id: &str,
        item: u32,
        job: &Job,
        run: &JobRun,
        table: &JobTable,
    ) -> Option<Draft> {
        let (earlier, index) = self.completed.get(&job.items[item as usize].id)?;
        let earlier = table.job(earlier)?;
        let (text, versions) = earlier.text(*index)?;
        let fits = versions.iter().all(|version| *version >= job.min_version);
        let fits = fits && !(run.is_single_version() && versions.len() > 1);
        (fits && earlier.model == job.model).then(|| Draft {
            job: id.to_string(),
            item,
            after: 0,
            text: text.clone(),
            versions: versions.to_vec(),
        })
    }

    /// What an ended job made of an item, if its versions fit: out of memory, or
    /// out of the table where an earlier leader saw it made.
    fn partial(&mut self, item_id: &str, min_version: u64, table: &JobTable) -> Vec<StreamEvent> {
        let events = match self.kept.remove(item_id) {
            Some(kept) => kept.events,
            None => self.begun_events(item_id, table).unwrap_or_default(),
        };
        let fits = events.iter().all(|event| event.version >= min_version);
        if fits { events } else { Vec::new() }
    }

    fn begun_events(&self, item_id: &str, table: &JobTable) -> Option<Vec<StreamEvent>> {
        let (job, item) = self.begun.get(item_id)?;
        let parts = table.job(job)?.parts.get(item)?;
        Some(events_of(parts))
    }
}

fn find_route(view: &FleetView, job: &Job) -> Option<JobRoute> {
    let configuration = view.configuration.as_ref()?;
    let route = configuration.route(&job.host, &job.path)?;
    job_route(configuration, route, job)
}

fn job_route(configuration: &Configuration, route: &Route, job: &Job) -> Option<JobRoute> {
    if !route.kind.is_job() {
        return None;
    }
    if route.targets.is_empty() {
        return None;
    }
    let tenant = job.tenant.as_deref();
    Some(JobRoute {
        targets: route.targets.clone(),
        max_attempts: route.max_attempts.max(1),
        max_queue_ms: route.max_queue_ms,
        single_version: route.single_version,
        regions: configuration.regions_of(route, tenant),
        bodies: regions_of_bodies(configuration, route, tenant, &job.items),
    })
}

/// The events that parts of a text were.
fn events_of(parts: &[Part]) -> Vec<StreamEvent> {
    let numbered = (1..).zip(parts);
    let events = numbered.map(|(id, part)| StreamEvent {
        id,
        data: part.data.clone(),
        version: part.version,
    });
    events.collect()
}

/// The end of a whole stream of which `kept` events are kept: its text, and the
/// versions that made it.
pub(crate) fn draft_of(job: &str, item: u32, events: &[StreamEvent], kept: usize) -> Draft {
    let mut text = BytesMut::new();
    let mut versions = BTreeSet::new();
    // The last event is always among the rest, which is never empty then.
    let kept = kept.min(events.len().saturating_sub(1));
    for (number, event) in events[kept..].iter().enumerate() {
        if number > 0 {
            text.extend_from_slice(b"\n");
        }
        text.extend_from_slice(&event.data);
        versions.insert(event.version);
    }
    Draft {
        job: job.to_string(),
        item,
        after: kept as u64,
        text: Bytes::from(text),
        versions: versions.into_iter().collect(),
    }
}
