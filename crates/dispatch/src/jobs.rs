//! Active jobs and the states of their items.
//!
//! Owns the active jobs by id and the queues of their waiting items. The job table is the state
//! that results from the log; `earlier_texts` finds texts that earlier jobs generated.

use crate::action::Action;
use crate::earlier_texts::{EarlierTexts, events_of};
use crate::job_route::{JobRoute, find_route};
use crate::job_run::{ItemRun, JobRun, State};
use crate::replicas::RunConstraints;
use crate::retry;
use crate::service_capacity::UsableServices;
use crate::waiting::PlacementClass;
use brasspond_cluster_protocol::StreamEvent;
use brasspond_fleet::FleetView;
use brasspond_jobs::{Job, JobTable};
use brasspond_units::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// All active jobs.
#[derive(Debug, Default)]
pub(crate) struct JobRuns {
    jobs: BTreeMap<String, JobRun>,
    /// Ids of the active jobs in the order in which their items are started. Jobs that were in the
    /// log when this process became leader come first, by id; later jobs follow as they arrive.
    order: Vec<String>,
    /// Items whose texts wait for a scoring order, with the earliest time of the order.
    unscored: BTreeMap<(String, u32), Millis>,
    /// Texts of earlier jobs.
    pub texts: EarlierTexts,
}

impl JobRuns {
    /// Returns an active job.
    pub fn get(&self, id: &str) -> Option<&JobRun> {
        self.jobs.get(id)
    }

    /// Returns an active job for modification.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut JobRun> {
        self.jobs.get_mut(id)
    }

    /// Whether a job is active.
    pub fn contains(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
    }

    /// The route of a job; `None` if it has no target or the job is not active.
    pub fn route(&self, id: &str) -> Option<&JobRoute> {
        self.jobs.get(id)?.route.as_ref()
    }

    /// Returns an item of an active job.
    pub fn item(&self, id: &str, item: u32) -> Option<&ItemRun> {
        self.jobs.get(id)?.items.get(item as usize)
    }

    /// Returns an item of an active job for modification.
    pub fn item_mut(&mut self, id: &str, item: u32) -> Option<&mut ItemRun> {
        self.jobs.get_mut(id)?.items.get_mut(item as usize)
    }

    /// Adds a job to the active jobs, unless it is finished or already active. Returns the actions
    /// for items whose text an earlier job already generated.
    pub fn open(
        &mut self,
        id: &str,
        job: &Job,
        table: &JobTable,
        view: &FleetView,
        now: Millis,
    ) -> Vec<Action> {
        self.texts.index(id, job);
        if job.is_finished() || self.jobs.contains_key(id) {
            return Vec::new();
        }
        let mut run = JobRun::new(job, view, now);
        let mut actions = Vec::new();
        for item_index in 0..job.items.len() as u32 {
            let (item_run, action) = self.open_item(id, item_index, job, &run, table);
            let state = item_run.state.clone();
            actions.extend(action);
            run.items.push(item_run);
            match state {
                State::Waiting => run.enqueue(item_index),
                State::Scoring(_) => {
                    self.unscored.insert((id.to_string(), item_index), now);
                }
                _ => {}
            }
        }
        self.jobs.insert(id.to_string(), run);
        self.order.push(id.to_string());
        actions
    }

    /// Returns the initial state of an item, and the action that writes the text to the log if an
    /// earlier job generated it. An item without a complete text waits, and continues after the
    /// events in the log or those of an earlier job.
    fn open_item(
        &mut self,
        id: &str,
        item_index: u32,
        job: &Job,
        run: &JobRun,
        table: &JobTable,
    ) -> (ItemRun, Option<Action>) {
        let single = run.is_single_version();
        let item = &job.items[item_index as usize];
        let mut item_run = ItemRun::new(item);
        if job.listed[item_index as usize] {
            item_run.state = State::Listed;
        } else if job.drafts.contains_key(&item_index) {
            item_run.state = State::Scoring(None);
        } else if let Some(draft) = self.texts.reuse(id, item_index, job, single, table) {
            if item_run.is_scored {
                item_run.state = State::Scoring(None);
                return (item_run, Some(Action::Keep(draft)));
            }
            item_run.state = State::Ending(None);
            return (item_run, Some(Action::Finish(draft)));
        } else if let Some(parts) = job.parts.get(&item_index) {
            item_run.events = events_of(parts);
            item_run.persisted = parts.len();
        } else {
            item_run.events = self.texts.partial(&item.id, job.min_version, table);
        }
        (item_run, None)
    }

    /// The constraints on the replica that continues an item after these events; `None` while its
    /// job has no route.
    pub fn constraints(
        &self,
        id: &str,
        item: u32,
        events: &[StreamEvent],
        usable: &UsableServices,
    ) -> Option<RunConstraints<'_>> {
        let job = self.jobs.get(id)?;
        let route = job.route.as_ref()?;
        Some(RunConstraints {
            service: route.service(route.target(item), usable),
            regions: &route.regions,
            model: &job.model,
            min_version: job.min_version,
            exact_version: job.exact_version(events),
        })
    }

    /// Unfinished items of overdue jobs, which are given up.
    pub fn overdue(&self, now: Millis) -> Vec<(String, u32)> {
        let mut overdue = Vec::new();
        for (id, job) in &self.jobs {
            let max_queue_ms = job.route.as_ref().map(|route| route.max_queue_ms);
            if max_queue_ms.is_some_and(|max| retry::is_overdue(job.since, max, now)) {
                let items = job.unfinished_items();
                overdue.extend(items.map(|item| (id.clone(), item)));
            }
        }
        overdue
    }

    /// Queues a text for a scoring order that is sent at `from` or later.
    pub fn requeue_scoring(&mut self, job: &str, item: u32, from: Millis) {
        if let Some(item_run) = self.item_mut(job, item) {
            item_run.state = State::Scoring(None);
            self.unscored.insert((job.to_string(), item), from);
        }
    }

    /// Removes and returns the texts whose scoring order is due.
    pub fn take_unscored(&mut self, now: Millis) -> Vec<(String, u32)> {
        if self.unscored.is_empty() {
            return Vec::new();
        }
        let due = self.unscored.iter().filter(|(_, from)| **from <= now);
        let due: Vec<_> = due.map(|(key, _)| key.clone()).collect();
        for key in &due {
            self.unscored.remove(key);
        }
        due
    }

    /// Removes a text from those that wait for a scoring order.
    pub fn remove_unscored(&mut self, job: &str, item: u32) {
        self.unscored.remove(&(job.to_string(), item));
    }

    /// Looks up every job's route in the newest configuration.
    pub fn resolve_routes(&mut self, view: &FleetView, table: &JobTable) {
        for (id, run) in &mut self.jobs {
            if let Some(job) = table.job(id) {
                run.set_route(find_route(view, job));
            }
        }
    }

    /// Adds an item to the waiting items of its job.
    pub fn requeue(&mut self, job: &str, item: u32) {
        let Some(run) = self.jobs.get_mut(job) else {
            return;
        };
        run.items[item as usize].state = State::Waiting;
        run.enqueue(item);
    }

    /// The waiting item of a job that is started next, outside the classes in `refused`; `None` if
    /// the job has no route.
    pub fn next_waiting(
        &self,
        id: &str,
        refused: &BTreeSet<PlacementClass>,
    ) -> Option<(PlacementClass, u32)> {
        let job = self.jobs.get(id)?;
        job.route.as_ref()?;
        job.waiting.first_outside(refused)
    }

    /// Removes an item from the waiting items of its job.
    pub fn remove_waiting(&mut self, job: &str, item: u32) {
        if let Some(run) = self.jobs.get_mut(job) {
            run.dequeue(item);
        }
    }

    /// Whether any item of a model waits.
    pub fn has_waiting(&self, model: &str) -> bool {
        let mut jobs = self.jobs.values();
        jobs.any(|job| job.model == model && !job.waiting.is_empty())
    }

    /// Ids of jobs with waiting items, oldest first.
    pub fn jobs_with_waiting(&self) -> Vec<String> {
        let has_waiting = |id: &&String| {
            let job = self.jobs.get(*id);
            job.is_some_and(|job| !job.waiting.is_empty())
        };
        self.order.iter().filter(has_waiting).cloned().collect()
    }

    /// Number of waiting items of a model.
    pub fn waiting_for_model(&self, model: &str) -> usize {
        let of_model = self.jobs.values().filter(|job| job.model == model);
        of_model.map(|job| job.waiting.len()).sum()
    }

    /// Number of items of a model that wait or run.
    pub fn open_items(&self, model: &str) -> usize {
        let of_model = self.jobs.values().filter(|job| job.model == model);
        let items = of_model.flat_map(|job| &job.items);
        let is_open = |item: &&ItemRun| matches!(item.state, State::Waiting | State::Running(_));
        items.filter(is_open).count()
    }

    /// Number of waiting items by service.
    pub fn waiting_by_service(&self, usable: &UsableServices) -> BTreeMap<String, usize> {
        let mut waiting = BTreeMap::new();
        for job in self.jobs.values() {
            let Some(route) = &job.route else {
                continue;
            };
            for (class, items) in job.waiting.counts() {
                let service = route.service(class.target, usable).to_string();
                *waiting.entry(service).or_default() += items;
            }
        }
        waiting
    }

    /// The highest minimum version of the jobs of a model.
    pub fn highest_min_version(&self, model: &str) -> u64 {
        let of_model = self.jobs.values().filter(|job| job.model == model);
        // Without active jobs, any version is allowed.
        of_model.map(|job| job.min_version).max().unwrap_or(0)
    }

    /// Number of waiting items.
    pub fn waiting(&self) -> usize {
        self.jobs.values().map(|job| job.waiting.len()).sum()
    }

    /// Marks an item as listed, which means that its result is in the log; returns the earlier
    /// state. Removes the job from the active jobs once all its items are listed.
    pub fn mark_listed(&mut self, id: &str, item: u32, table: &JobTable) -> Option<State> {
        if let Some(job) = table.job(id)
            && job.text(item).is_some()
        {
            self.texts.record(id, item, &job.items[item as usize].id);
        }
        self.unscored.remove(&(id.to_string(), item));
        let run = self.jobs.get_mut(id)?;
        let item_run = run.items.get_mut(item as usize)?;
        let before = std::mem::replace(&mut item_run.state, State::Listed);
        item_run.events = Vec::new();
        run.dequeue(item);
        let is_done = run.items.iter().all(|item| item.state == State::Listed);
        if is_done {
            self.close(id);
        }
        Some(before)
    }

    /// Removes a job from the active jobs.
    pub fn close(&mut self, id: &str) -> Option<JobRun> {
        self.order.retain(|other| other != id);
        self.unscored.retain(|(job, _), _| job != id);
        self.jobs.remove(id)
    }

    /// Removes a job from the active jobs, and its texts from those that later jobs can reuse.
    pub fn forget(&mut self, id: &str) {
        self.close(id);
        self.texts.forget(id);
    }
}
