//! Monitoring of a storage process: metrics, slow turns, load and link traffic.
//!
//! Owns [`Monitor`].

use super::load::LoopLoad;
use super::process::Storage;
use crate::link::TRAFFIC_LOG_INTERVAL_MS;
use crate::memory::ResidentMemory;
use brasspond_telemetry::{LogRing, StorageState};
use brasspond_units::Millis;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Interval between counts of all jobs for metrics. Counting visits every job.
const JOB_COUNT_INTERVAL: Millis = 500;
/// Duration from which a turn of the loop is logged as slow. The process sends nothing during a
/// turn, and if a leader is silent for 600 ms (the minimum election timeout), others start an
/// election.
const SLOW_TURN: Duration = Duration::from_millis(200);

/// Interval between checks of this process's memory.
const MEMORY_CHECK_INTERVAL: Millis = 50;
/// Growth of the peak of this process's memory after which it is logged again, in kB.
const MEMORY_LOG_STEP_KB: u64 = 4 * 1_024;

/// State of the monitoring of this process.
#[derive(Default)]
pub(super) struct Monitor {
    /// Share of time that the event loop spends working.
    pub load: LoopLoad,
    /// Snapshot for the metrics endpoint, updated in each turn of the loop.
    state: Rc<Cell<StorageState>>,
    /// When the jobs were last counted, or 0 if never.
    counted_at: Millis,
    /// When link traffic was last logged, or 0 if never.
    traffic_logged_at: Millis,
    /// When this process's memory was last checked, or 0 if never.
    memory_checked_at: Millis,
    /// Peak of this process's memory as last logged, in kB.
    logged_peak_kb: u64,
    /// Term as last logged.
    logged_term: u64,
}

impl Storage {
    /// Records the duration of a turn of the loop. A busy process stops compressing messages.
    pub(super) fn observe_turn(&mut self, took: Duration) {
        let now = self.clock.now();
        let disk_time = self.disk.take_turn_time();
        if took >= SLOW_TURN {
            log::warn!(
                "event=turn_slow took_ms={} disk_ms={} leads={}",
                took.as_millis(),
                disk_time.as_millis(),
                self.leader_state.is_some()
            );
        }
        let load = &mut self.monitor.load;
        if load.record(took.as_micros() as u64, now) {
            let is_busy = load.is_busy();
            log::info!(
                "event=load_changed busy={is_busy} leads={}",
                self.leader_state.is_some()
            );
            brasspond_compression::set_packing_paused(is_busy);
        }
    }

    /// Logs link traffic periodically.
    pub(super) fn log_traffic(&mut self, now: Millis) {
        if now >= self.monitor.traffic_logged_at + TRAFFIC_LOG_INTERVAL_MS {
            self.monitor.traffic_logged_at = now;
            self.links.context.log_traffic();
        }
    }

    /// Logs changes of the term and growth of this process's memory. A process that is killed cannot
    /// log why, so both are logged as they happen.
    pub(super) fn log_changes(&mut self, now: Millis) {
        self.log_term();
        if now >= self.monitor.memory_checked_at + MEMORY_CHECK_INTERVAL {
            self.monitor.memory_checked_at = now;
            self.log_memory();
        }
    }

    fn log_term(&mut self) {
        let term = self.consensus.term();
        if std::mem::replace(&mut self.monitor.logged_term, term) != term {
            log::info!(
                "event=term_changed term={term} is_leader={} last_index={} commit_index={} applied_index={}",
                self.consensus.is_leader(),
                self.consensus.last_index(),
                self.consensus.commit_index(),
                self.consensus.applied_index()
            );
        }
    }

    fn log_memory(&mut self) {
        let Some(memory) = ResidentMemory::read() else {
            return;
        };
        if memory.peak_kb < self.monitor.logged_peak_kb + MEMORY_LOG_STEP_KB {
            return;
        }
        self.monitor.logged_peak_kb = memory.peak_kb;
        let limit = self.settings.process.memory_limit;
        log::info!(
            "event=memory_grown peak_kb={} current_kb={} limit_kb={} log_kb={} queued_kb={} polls={} backlog={} leads={}",
            memory.peak_kb,
            memory.current_kb,
            limit.map_or(0, |limit| limit / 1_024),
            self.consensus.log_bytes() / 1_024,
            self.links.all_queued_bytes() / 1_024,
            self.questions.poll_count(),
            self.consensus.commit_index() - self.consensus.applied_index(),
            self.leader_state.is_some()
        );
    }

    /// Serves metrics if an address is configured.
    pub(super) fn serve_metrics(&self, log_ring: Option<LogRing>) {
        let Some(address) = self.settings.process.metrics_address else {
            return;
        };
        let metrics = Rc::clone(&self.metrics);
        let state = Rc::clone(&self.monitor.state);
        let context = Rc::clone(&self.links.context);
        let observed = self.platform.observed.clone();
        let text = move || {
            let mut state = state.get();
            // Without a log ring no lines are dropped.
            state.log_lines_dropped = log_ring.as_ref().map_or(0, LogRing::dropped);
            context.update_metrics(&*metrics);
            observed.borrow().update_metrics(&*metrics);
            metrics.text(&state)
        };
        tokio::task::spawn_local(crate::metrics_server::serve(address, Rc::new(text)));
    }

    /// Updates the metrics snapshot if metrics are served.
    pub(super) fn update_state(&mut self, now: Millis) {
        if self.settings.process.metrics_address.is_none() {
            return;
        }
        let mut state = self.monitor.state.get();
        if now >= self.monitor.counted_at + JOB_COUNT_INTERVAL {
            self.monitor.counted_at = now;
            state.jobs = self.table.jobs().count();
            (state.running, state.waiting) = self.item_counts();
        }
        self.monitor.state.set(StorageState {
            term: self.consensus.term(),
            committed: self.consensus.commit_index(),
            file_bytes: self.disk.bytes(),
            voters: self.consensus.members().len(),
            leads: self.leader_state.is_some(),
            quarantined_contents: self.table.quarantine().quarantined(),
            ..state
        });
    }
}
