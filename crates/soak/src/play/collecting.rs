//! The end of a run: reads the jobs again, stops the processes, and collects logs and observations.

use super::{Run, RunOutput};
use crate::callers::{CALLER_TIMEOUT, Job};
use crate::checks::{Observed, ObservedReplica, REREAD_DUE_MS};
use crate::history::{CallKind, History, Reread};
use brasspond_platform_standin::caller::JobItem;
use brasspond_platform_standin::restarting::RestartingReplica;
use brasspond_platform_standin::{EVENTS, padded_event_data};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time limit for the final reads of all jobs.
const FINAL_READ_TIMEOUT: Duration = Duration::from_secs(10);

impl Run {
    /// Starts tasks that read the results of all jobs again, each from several edges.
    pub(super) fn start_rereads(&mut self) {
        let due = self.schedule.last_fault_end() + REREAD_DUE_MS;
        let jobs = self.callers.jobs.lock().expect("lock").clone();
        let accepted = jobs.values().filter(|job| job.is_accepted());
        for (number, job) in accepted.enumerate() {
            for to in self.callers.reread_edges(number) {
                let callers = Arc::clone(&self.callers);
                let job = Arc::clone(job);
                let reread = async move { callers.reread_job(&job, to, due).await };
                self.rereads.push(tokio::spawn(reread));
            }
        }
    }

    /// Reads the results of all jobs that no caller has ended, again from the start. Then stops the
    /// callers and kills all processes. Returns the rereads.
    pub(super) async fn finish(&mut self) -> Vec<Reread> {
        let jobs = self.callers.jobs.lock().expect("lock").clone();
        let reads = jobs.values().map(|job| self.callers.read_job(job));
        let all = futures::future::join_all(reads);
        // A timeout is ignored here, as the checks report jobs that could not be read.
        let _ = tokio::time::timeout(FINAL_READ_TIMEOUT, all).await;
        let rereads = futures::future::join_all(std::mem::take(&mut self.rereads)).await;
        self.callers.is_stopped.store(true, Ordering::Relaxed);
        // Calls in progress finish before the processes are killed.
        tokio::time::sleep(CALLER_TIMEOUT).await;
        // The last reads may have raised the peak memory of processes.
        self.update_peak();
        for id in self.machine_ids() {
            self.machine(id).kill();
        }
        rereads.into_iter().flatten().collect()
    }

    /// Copies the logs of all processes into a folder.
    pub(super) fn copy_logs(&self, folder: &Path) -> std::io::Result<()> {
        let logs = folder.join("logs");
        std::fs::create_dir_all(&logs)?;
        for entry in std::fs::read_dir(self.cluster.folder())? {
            let machine = entry?.path();
            let name = machine.file_name().unwrap_or_default().to_os_string();
            for file in std::fs::read_dir(&machine)? {
                let file = file?.path();
                if file.extension().is_some_and(|kind| kind == "log") {
                    let number = file.file_stem().unwrap_or_default().to_string_lossy();
                    let log_name = format!("{}-{number}.log", name.to_string_lossy());
                    std::fs::copy(&file, logs.join(log_name))?;
                }
            }
        }
        Ok(())
    }

    /// Collects all observations for the checks.
    pub(super) fn collect(self, rereads: Vec<Reread>) -> RunOutput {
        let jobs = self.callers.jobs.lock().expect("lock").clone();
        let items = || jobs.values().flat_map(|job| &job.plan.items);
        let expected_texts = items().map(|item| (item.id.clone(), expected_text(item)));
        let score_calls = items().map(|item| (item.id.clone(), item.score.clone()));
        let oldest_versions = jobs
            .iter()
            .map(|(id, job)| (id.clone(), job.oldest_version));
        let item_ids = jobs.iter().map(|(id, job)| (id.clone(), item_ids(job)));
        let history = &self.callers.history;
        let observed = Observed {
            crashes: self.crashes(),
            calls: history.calls(),
            pages: history.pages(),
            end_calls: history.ends(),
            score_calls: score_calls.collect(),
            oldest_versions: oldest_versions.collect(),
            newest_version: self.callers.newest_version.load(Ordering::Relaxed),
            jobs: item_ids.collect(),
            expected_texts: expected_texts.collect(),
            replicas: self.observed_replicas(),
            new_routes: self.new_routes.lock().expect("lock").clone(),
            config_writes: self.config_writes,
            unexpected_exits: self.unexpected_exits,
            memory: self.memory,
            rereads,
        };
        RunOutput {
            observed,
            peak: self.peak,
        }
    }

    /// Returns the number of runs of requests that make their replica exit.
    fn crashes(&self) -> usize {
        let calls = self.callers.history.calls();
        let ending = calls.iter().filter(|call| call.kind == CallKind::Ending);
        let runs = ending.flat_map(|call| self.plain.iter().map(|one| one.runs_of(&call.id)));
        runs.sum::<u32>() as usize
    }

    /// Returns the observations of each replica, by its name.
    fn observed_replicas(&self) -> BTreeMap<String, ObservedReplica> {
        let plain = self.plain.iter().enumerate();
        let plain = plain.map(|(number, one)| (format!("plain-{number}"), one));
        let engines = self.engines.iter().enumerate();
        let engines = engines.map(|(number, one)| (format!("engine-{number}"), one));
        let all = plain.chain(engines);
        all.map(|(name, one)| (name, observe_replica(one, &self.callers.history)))
            .collect()
    }
}

/// Returns the ids of a job's items.
fn item_ids(job: &Job) -> Vec<String> {
    let items = job.plan.items.iter();
    items.map(|item| item.id.clone()).collect()
}

/// Collects the observations of a replica over all its successive processes.
fn observe_replica(replica: &RestartingReplica, history: &History) -> ObservedReplica {
    let mut observed = ObservedReplica::default();
    for process in replica.lives() {
        for (id, runs) in &*process.runs.lock().expect("lock") {
            *observed.runs.entry(id.clone()).or_default() += runs;
        }
        observed
            .orders
            .push(process.orders.lock().expect("lock").clone());
        let arrivals = process.named_arrivals().into_iter();
        let arrivals = arrivals.map(|one| (one.id, history.time_of(one.at)));
        observed.arrivals.extend(arrivals);
        for (id, at) in &*process.completed_at.lock().expect("lock") {
            let at = history.time_of(*at);
            let first = observed.completed_at.entry(id.clone()).or_insert(at);
            *first = at.min(*first);
        }
    }
    observed
}

/// Returns the text that an item must have when it is completed.
fn expected_text(item: &JobItem) -> String {
    let event = |number| padded_event_data(&item.id, number, item.event_bytes);
    let events: Vec<String> = (1..=EVENTS).map(event).collect();
    events.join("\n")
}
