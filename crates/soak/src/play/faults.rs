//! Injects and clears faults.

use super::machines::MachineId;
use super::{RESTART_DELAY, Run};
use crate::proxy::Proxy;
use crate::schedule::{Fault, FaultKind, ProxiedLink};
use brasspond_platform_standin::Replica;
use brasspond_platform_standin::restarting::RestartingReplica;
use nix::sys::signal::Signal;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Usual duration of work, in percent.
const USUAL_PERCENT: u64 = 100;

impl Run {
    /// Injects a fault.
    pub(super) fn inject(&mut self, fault: &Fault) {
        let lasting = Duration::from_millis(fault.lasting);
        match fault.kind {
            FaultKind::Freeze(process) => {
                let id = self.machine_id(process);
                self.suspend(id, lasting);
            }
            FaultKind::Kill(process) => {
                let id = self.machine_id(process);
                self.kill(id, lasting);
            }
            FaultKind::Terminate(process) => {
                let id = self.machine_id(process);
                self.terminate(id);
            }
            FaultKind::HangUp(process) => {
                let id = self.machine_id(process);
                self.signal(id, Signal::SIGHUP);
            }
            FaultKind::Roll => self.schedule_rolling_restart(),
            FaultKind::KillAll => {
                for id in self.machine_ids() {
                    self.kill(id, RESTART_DELAY);
                }
            }
            FaultKind::PowerLoss(lost_disks) => self.cut_power(lost_disks),
            FaultKind::KillLeaders => self.leader_kills_until = fault.end(),
            FaultKind::Wipe(number) => {
                let id = MachineId::Storage(number);
                self.kill(id, RESTART_DELAY);
                self.machine(id).wipe();
            }
            FaultKind::CutRegion(region) => {
                for id in self.machine_ids() {
                    if self.machine(id).region == region.name() {
                        self.suspend(id, lasting);
                    }
                }
            }
            FaultKind::Configuration => self.write_configuration(),
            other => self.inject_external(other, lasting),
        }
    }

    /// Injects a fault into connections, the store or replicas.
    fn inject_external(&self, kind: FaultKind, lasting: Duration) {
        let store = &self.cluster.store;
        match kind {
            FaultKind::Harm(link, link_fault) => {
                if let Some(proxy) = self.proxy(link) {
                    proxy.inject(link_fault);
                }
            }
            FaultKind::StoreDown => store.down.store(true, Ordering::Relaxed),
            FaultKind::StoreSilent => store.silent.store(true, Ordering::Relaxed),
            FaultKind::StoreRefuses => store.refuses_storage.store(true, Ordering::Relaxed),
            FaultKind::StoreLoses(count) => store.lost_answers.store(count, Ordering::Relaxed),
            FaultKind::StoreSlow(ms) => store.slow_ms.store(ms, Ordering::Relaxed),
            FaultKind::EndPlain(number) => self.plain[number].end(),
            FaultKind::EndEngine(number) => self.engines[number].end(),
            FaultKind::RebirthPlain(number) => self.plain[number].end_and_keep_id(),
            FaultKind::RebirthEngine(number) => self.engines[number].end_and_keep_id(),
            FaultKind::MutePlain(number) => {
                self.current_process(number)
                    .silent
                    .store(true, Ordering::Relaxed);
            }
            FaultKind::BreakPlain(number) => {
                self.current_process(number)
                    .breaks_answers
                    .store(true, Ordering::Relaxed);
            }
            FaultKind::FailPlain(number) => self
                .current_process(number)
                .fails
                .store(true, Ordering::Relaxed),
            FaultKind::SlowPlain(number, ms) => {
                let pause = Duration::from_millis(ms);
                *self
                    .current_process(number)
                    .answer_delay
                    .lock()
                    .expect("lock") = pause;
            }
            FaultKind::PacePlain(number, percent) => set_pace(&self.plain[number], percent),
            FaultKind::PaceEngine(number, percent) => set_pace(&self.engines[number], percent),
            FaultKind::Submissions(count) => self.callers.start_submissions(count, lasting),
            FaultKind::SlowReader(edge) => self.callers.start_slow_reader(edge),
            FaultKind::Burst(edge, count) => self.callers.start_burst(edge, count),
            // `inject` handles these kinds itself.
            FaultKind::Freeze(_)
            | FaultKind::Kill(_)
            | FaultKind::Terminate(_)
            | FaultKind::HangUp(_)
            | FaultKind::Roll
            | FaultKind::KillAll
            | FaultKind::PowerLoss(_)
            | FaultKind::KillLeaders
            | FaultKind::Wipe(_)
            | FaultKind::CutRegion(_)
            | FaultKind::Configuration => {}
        }
    }

    /// Clears a fault that would persist otherwise. Suspended processes resume, and stopped ones
    /// restart, without this call.
    pub(super) fn clear(&self, fault: &Fault) {
        let store = &self.cluster.store;
        match fault.kind {
            FaultKind::Harm(link, _) => {
                if let Some(proxy) = self.proxy(link) {
                    proxy.clear();
                }
            }
            FaultKind::StoreDown => store.down.store(false, Ordering::Relaxed),
            FaultKind::StoreSilent => store.silent.store(false, Ordering::Relaxed),
            FaultKind::StoreRefuses => store.refuses_storage.store(false, Ordering::Relaxed),
            FaultKind::StoreSlow(_) => store.slow_ms.store(0, Ordering::Relaxed),
            FaultKind::MutePlain(number)
            | FaultKind::BreakPlain(number)
            | FaultKind::FailPlain(number)
            | FaultKind::SlowPlain(number, _) => {
                let replica = self.current_process(number);
                replica.silent.store(false, Ordering::Relaxed);
                replica.breaks_answers.store(false, Ordering::Relaxed);
                replica.fails.store(false, Ordering::Relaxed);
                *replica.answer_delay.lock().expect("lock") = Duration::ZERO;
            }
            FaultKind::PacePlain(number, _) => set_pace(&self.plain[number], USUAL_PERCENT),
            FaultKind::PaceEngine(number, _) => set_pace(&self.engines[number], USUAL_PERCENT),
            _ => {}
        }
    }

    /// Returns the current process of a plain replica.
    fn current_process(&self, plain: usize) -> Arc<Replica> {
        let processes = self.plain[plain].lives();
        Arc::clone(processes.last().expect("a first process"))
    }

    /// Returns the proxy of a link, or `None` if a schedule file names a replica without a proxy.
    fn proxy(&self, link: ProxiedLink) -> Option<&Proxy> {
        match link {
            ProxiedLink::Edge(number) => self.edge_proxies.get(number),
            ProxiedLink::StoreOfEdges => Some(&self.store_proxies.edges),
            ProxiedLink::StoreOfStorage => Some(&self.store_proxies.storage),
            ProxiedLink::Plain(number) => self.plain_proxies.get(&number),
            ProxiedLink::Engine(number) => self.engine_proxies.get(&number),
        }
    }
}

/// Sets the duration of work of a replica's current process, in percent of the usual.
fn set_pace(replica: &RestartingReplica, percent: u64) {
    let processes = replica.lives();
    let current = processes.last().expect("a first process");
    current.speed_percent.store(percent, Ordering::Relaxed);
}
