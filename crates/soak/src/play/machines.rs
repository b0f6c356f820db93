//! Signals to the cluster's processes, and restarts of these processes.

use super::{RESTART_DELAY, Run};
use crate::checks::{MemoryPeak, UnexpectedExit};
use crate::schedule::{Process, ROLL_INTERVAL_MS};
use brasspond_platform_standin::processes::Machine;
use nix::sys::signal::Signal;
use std::time::Duration;

/// Time from SIGTERM until a process is killed. Matches `bounds.grace_s` in the settings file that
/// the stand-in writes.
const STOP_GRACE: Duration = Duration::from_secs(8);

/// Number of log lines that a report of an unexpected exit contains.
const LAST_LINES: usize = 6;

/// Role of a machine of the cluster, and its index among the machines of that role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MachineId {
    Edge(usize),
    Storage(usize),
}

impl Run {
    /// Returns the machine with this id.
    pub(super) fn machine(&mut self, id: MachineId) -> &mut Machine {
        match id {
            MachineId::Edge(number) => &mut self.cluster.edges[number],
            MachineId::Storage(number) => &mut self.cluster.storage[number],
        }
    }

    /// Returns the machine on which the target of a fault runs now.
    pub(super) fn machine_id(&mut self, process: Process) -> MachineId {
        match process {
            Process::Edge(number) => MachineId::Edge(number),
            Process::Storage(number) => MachineId::Storage(number),
            Process::Leader => MachineId::Storage(self.leader()),
        }
    }

    /// Returns the index of the storage process that leads, or that led last if there is no leader.
    fn leader(&mut self) -> usize {
        if let Some((_, leader)) = self.cluster.leaderships().last() {
            self.last_leader = *leader;
        }
        self.last_leader
    }

    /// Returns whether a restart of the machine is scheduled.
    fn is_restarting(&self, id: MachineId) -> bool {
        self.pending_restarts.iter().any(|(other, _)| *other == id)
    }

    /// Returns the ids of all machines.
    pub(super) fn machine_ids(&self) -> Vec<MachineId> {
        let edges = (0..self.cluster.edges.len()).map(MachineId::Edge);
        let storage = (0..self.cluster.storage.len()).map(MachineId::Storage);
        edges.chain(storage).collect()
    }

    /// Sends a signal to a process unless it has exited.
    pub(super) fn signal(&mut self, id: MachineId, signal: Signal) {
        if !self.machine(id).has_ended() {
            self.machine(id).signal(signal);
        }
    }

    /// Suspends a process with SIGSTOP, and resumes it after `lasting`. Does nothing if it has
    /// exited.
    pub(super) fn suspend(&mut self, id: MachineId, lasting: Duration) {
        if self.machine(id).has_ended() {
            return;
        }
        self.signal(id, Signal::SIGSTOP);
        let Some(pid) = self.machine(id).pid() else {
            return;
        };
        tokio::spawn(async move {
            tokio::time::sleep(lasting).await;
            // The signal fails if the process has been killed meanwhile, which is no error. A
            // process id is not reused within so short a time.
            let pid = nix::unistd::Pid::from_raw(pid as i32);
            let _ = nix::sys::signal::kill(pid, Signal::SIGCONT);
        });
    }

    /// Kills a process and schedules its restart after `lasting`.
    pub(super) fn kill(&mut self, id: MachineId, lasting: Duration) {
        self.machine(id).kill();
        self.restart_after(id, lasting);
    }

    /// Kills all processes before any restarts, and wipes the disks of the leader and of the
    /// storage machines that follow it, `lost_disks` in total.
    pub(super) fn cut_power(&mut self, lost_disks: usize) {
        let leader = self.leader();
        for id in self.machine_ids() {
            self.kill(id, RESTART_DELAY);
        }
        let storage = self.cluster.storage.len();
        for number in leader..leader + lost_disks.min(storage) {
            self.machine(MachineId::Storage(number % storage)).wipe();
        }
    }

    /// Kills the process that won the newest term, once for each term, while a fault demands it.
    pub(super) fn kill_new_leader(&mut self) {
        if self.now() >= self.leader_kills_until {
            return;
        }
        let newest = self.cluster.leaderships().last().copied();
        if let Some((term, leader)) = newest.filter(|(term, _)| *term > self.last_killed_term) {
            self.last_killed_term = term;
            self.kill(MachineId::Storage(leader), RESTART_DELAY);
        }
    }

    /// Sends SIGTERM to a process. The process is restarted once it has exited, and killed and
    /// restarted if it has not exited after [`STOP_GRACE`].
    pub(super) fn terminate(&mut self, id: MachineId) {
        self.signal(id, Signal::SIGTERM);
        if !self.is_restarting(id) {
            self.restart_after(id, STOP_GRACE);
        }
    }

    /// Schedules the restart of a machine, in place of a restart scheduled before.
    fn restart_after(&mut self, id: MachineId, after: Duration) {
        let at = tokio::time::Instant::now() + after;
        self.pending_restarts.retain(|(other, _)| *other != id);
        self.pending_restarts.push((id, at));
    }

    /// Schedules a rolling restart of all edges, beginning now.
    pub(super) fn schedule_rolling_restart(&mut self) {
        let mut at = self.now();
        for number in 0..self.cluster.edges.len() {
            self.pending_stops.push((at, MachineId::Edge(number)));
            at += ROLL_INTERVAL_MS;
        }
    }

    /// Terminates edges whose turn in a rolling restart has come.
    pub(super) fn terminate_due(&mut self) {
        let now = self.now();
        let pending_stops = std::mem::take(&mut self.pending_stops);
        let (due, later) = pending_stops.into_iter().partition(|(at, _)| *at <= now);
        self.pending_stops = later;
        let due: Vec<(u64, MachineId)> = due;
        for (_, id) in due {
            self.terminate(id);
        }
    }

    /// Restarts processes whose restart is due or that have exited after SIGTERM.
    pub(super) fn restart_due(&mut self) {
        let now = tokio::time::Instant::now();
        let pending_restarts = std::mem::take(&mut self.pending_restarts);
        for (id, at) in pending_restarts {
            let is_killed = self.machine(id).pid().is_none();
            let has_stopped = !is_killed && self.machine(id).has_ended();
            if now < at && !has_stopped {
                self.pending_restarts.push((id, at));
                continue;
            }
            self.machine(id).kill();
            self.machine(id).start();
        }
    }

    /// Records processes that have exited without a fault, and schedules their restart.
    pub(super) fn restart_exited(&mut self) {
        for id in self.machine_ids() {
            if !self.is_restarting(id) && self.machine(id).has_ended() {
                let exit = UnexpectedExit {
                    name: self.machine(id).name.clone(),
                    at: self.now(),
                    last_lines: last_lines(&self.machine(id).log()),
                };
                self.unexpected_exits.push(exit);
                self.restart_after(id, RESTART_DELAY);
            }
        }
    }

    /// Updates the peak numbers of processes and memory.
    pub(super) fn update_peak(&mut self) {
        let machines = self.cluster.edges.iter().chain(&self.cluster.storage);
        let running = machines.filter_map(|machine| Some((machine, machine.pid()?)));
        let now = self.now();
        let mut processes = 0;
        let mut memory = 0;
        for (machine, pid) in running {
            processes += 1;
            let Some(usage) = memory_kb(pid) else {
                continue;
            };
            memory += usage.resident;
            let process = format!("{} (start {})", machine.name, machine.starts());
            let known = self.memory.entry(process).or_default();
            if usage.peak > known.kb {
                *known = MemoryPeak {
                    kb: usage.peak,
                    at: now,
                };
            }
        }
        self.peak.processes = self.peak.processes.max(processes);
        self.peak.memory_kb = self.peak.memory_kb.max(memory);
    }
}

/// Memory of a process, in KB.
struct MemoryUsage {
    /// Resident memory.
    resident: u64,
    /// Largest resident memory since the start of the process.
    peak: u64,
}

/// Returns the memory of a process, or `None` if it has exited.
fn memory_kb(pid: u32) -> Option<MemoryUsage> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let value = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_ascii_whitespace().nth(1)?.parse().ok()
    };
    Some(MemoryUsage {
        resident: value("VmRSS:")?,
        peak: value("VmHWM:")?,
    })
}

/// Returns the last lines of a log.
fn last_lines(log: &str) -> Vec<String> {
    let lines: Vec<&str> = log.lines().collect();
    let first = lines.len().saturating_sub(LAST_LINES);
    lines[first..].iter().map(|line| line.to_string()).collect()
}
