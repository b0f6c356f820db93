//! The cluster's processes: signals to them, and their restarts.

use super::{RESTART_PAUSE, Run};
use crate::schedule::{Process, ROLL_PAUSE};
use brasspond_platform_standin::processes::Machine;
use nix::sys::signal::Signal;
use std::time::Duration;

/// Time from SIGTERM until a process is killed: `bounds.grace_s` of the stand-in's settings.
const GRACE: Duration = Duration::from_secs(8);

/// A machine of the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Place {
    Edge(usize),
    Storage(usize),
}

impl Run {
    /// The machine at a place.
    pub(super) fn machine(&mut self, place: Place) -> &mut Machine {
        match place {
            Place::Edge(number) => &mut self.cluster.edges[number],
            Place::Storage(number) => &mut self.cluster.storage[number],
        }
    }

    /// The place of a process at this moment.
    pub(super) fn place(&mut self, process: Process) -> Place {
        match process {
            Process::Edge(number) => Place::Edge(number),
            Process::Storage(number) => Place::Storage(number),
            Process::Leader => Place::Storage(self.leader()),
        }
    }

    /// The storage process that leads; while none does, the one that led last.
    fn leader(&mut self) -> usize {
        if let Some((_, leader)) = self.cluster.leaderships().last() {
            self.last_leader = *leader;
        }
        self.last_leader
    }

    /// Whether a machine is to start again at a time that is planned.
    fn is_away(&self, place: Place) -> bool {
        self.away.iter().any(|(other, _)| *other == place)
    }

    /// All machines.
    pub(super) fn places(&self) -> Vec<Place> {
        let edges = (0..self.cluster.edges.len()).map(Place::Edge);
        let storage = (0..self.cluster.storage.len()).map(Place::Storage);
        edges.chain(storage).collect()
    }

    /// Signals a process, also one that is about to stop.
    pub(super) fn signal(&mut self, place: Place, signal: Signal) {
        if !self.machine(place).has_ended() {
            self.machine(place).signal(signal);
        }
    }

    /// Stops a process with SIGSTOP for a time.
    pub(super) fn freeze(&mut self, place: Place, lasting: Duration) {
        if self.machine(place).has_ended() {
            return;
        }
        self.signal(place, Signal::SIGSTOP);
        let Some(pid) = self.machine(place).pid() else {
            return;
        };
        tokio::spawn(async move {
            tokio::time::sleep(lasting).await;
            // It may have been killed meanwhile, which is no error; its process id is not given to
            // another process so soon.
            let pid = nix::unistd::Pid::from_raw(pid as i32);
            let _ = nix::sys::signal::kill(pid, Signal::SIGCONT);
        });
    }

    /// Kills a process, which starts again after a time.
    pub(super) fn kill(&mut self, place: Place, lasting: Duration) {
        self.machine(place).kill();
        self.restart_after(place, lasting);
    }

    /// Sends SIGTERM. The process starts again once it has stopped; after its grace it is killed.
    pub(super) fn terminate(&mut self, place: Place) {
        self.signal(place, Signal::SIGTERM);
        if !self.is_away(place) {
            self.restart_after(place, GRACE);
        }
    }

    /// Has a machine start again after a time, whatever was planned for it before.
    fn restart_after(&mut self, place: Place, after: Duration) {
        let at = tokio::time::Instant::now() + after;
        self.away.retain(|(other, _)| *other != place);
        self.away.push((place, at));
    }

    /// Plans to terminate all edges, one after the other.
    pub(super) fn begin_roll(&mut self) {
        let mut at = self.now();
        for number in 0..self.cluster.edges.len() {
            self.rolling.push((at, Place::Edge(number)));
            at += ROLL_PAUSE;
        }
    }

    /// Terminates the edges whose turn it is.
    pub(super) fn roll(&mut self) {
        let now = self.now();
        let rolling = std::mem::take(&mut self.rolling);
        let (due, later) = rolling.into_iter().partition(|(at, _)| *at <= now);
        self.rolling = later;
        let due: Vec<(u64, Place)> = due;
        for (_, place) in due {
            self.terminate(place);
        }
    }

    /// Starts processes again whose time has come, or that stopped after SIGTERM.
    pub(super) fn restart_those_due(&mut self) {
        let now = tokio::time::Instant::now();
        let away = std::mem::take(&mut self.away);
        for (place, at) in away {
            let is_killed = self.machine(place).pid().is_none();
            let has_stopped = !is_killed && self.machine(place).has_ended();
            if now < at && !has_stopped {
                self.away.push((place, at));
                continue;
            }
            self.machine(place).kill();
            self.machine(place).start();
        }
    }

    /// Records processes that ended though no fault ended them, and starts them again.
    pub(super) fn restart_ended(&mut self) {
        for place in self.places() {
            if !self.is_away(place) && self.machine(place).has_ended() {
                let name = self.machine(place).name.clone();
                self.ended_alone.push(name);
                self.restart_after(place, RESTART_PAUSE);
            }
        }
    }

    /// Records the peak of processes and memory.
    pub(super) fn measure(&mut self) {
        let machines = self.cluster.edges.iter().chain(&self.cluster.storage);
        let pids: Vec<u32> = machines.filter_map(Machine::pid).collect();
        let memory = pids.iter().filter_map(|pid| memory_kb(*pid)).sum();
        self.peak.processes = self.peak.processes.max(pids.len());
        self.peak.memory_kb = self.peak.memory_kb.max(memory);
    }
}

/// Memory of a process, in KB; none where it has ended.
fn memory_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_ascii_whitespace().nth(1)?.parse().ok()
}
