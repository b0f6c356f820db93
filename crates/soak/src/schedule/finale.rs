//! Large jobs, and faults at the end of the disturbed part of a run, added to a schedule on request.

use super::{COOLDOWN_MS, Fault, FaultKind, Schedule, interrupts_storage, is_near};

/// Time from a power loss to the end of the disturbed part, in ms.
const POWER_LOSS_LEAD_MS: u64 = 6_000;
/// Duration of a power loss, in ms: the time until the processes restart.
const POWER_LOSS_MS: u64 = 300;
/// Duration of the kills of leaders at the end of the disturbed part, in ms.
const LEADER_KILLS_MS: u64 = 5_000;
/// Number of disks that the stand-in's deployment may lose at once.
const TOLERATED_DISK_LOSSES: usize = 1;

/// Number of replicas of each service in a run with large jobs, which the usual replicas would not
/// finish in time.
const LARGE_JOB_REPLICAS: usize = 10;

impl Schedule {
    /// Adds large jobs with texts of this many MB in total, and replicas for them.
    pub fn add_large_jobs(&mut self, job_mb: u64) {
        if job_mb > 0 {
            self.job_mb = job_mb;
            self.replicas = LARGE_JOB_REPLICAS;
        }
    }

    /// Adds a power loss with lost disks. Removes the faults that interrupt storage processes so
    /// near to it that more disks may be lost than the deployment tolerates.
    pub fn add_power_loss(&mut self) {
        let fault = Fault {
            at: self.disturbed_until().saturating_sub(POWER_LOSS_LEAD_MS),
            lasting: POWER_LOSS_MS,
            kind: FaultKind::PowerLoss(TOLERATED_DISK_LOSSES),
        };
        self.faults
            .retain(|other| !(interrupts_storage(other) && is_near(other, &fault)));
        self.insert(fault);
    }

    /// Adds kills of whichever process leads, which end with the disturbed part. They lose no disk
    /// and so may follow a power loss at once.
    pub fn add_leader_kills(&mut self) {
        self.insert(Fault {
            at: self.disturbed_until().saturating_sub(LEADER_KILLS_MS),
            lasting: LEADER_KILLS_MS,
            kind: FaultKind::KillLeaders,
        });
    }

    /// Returns when the cooldown begins, in ms from the start of the run.
    fn disturbed_until(&self) -> u64 {
        self.length.saturating_sub(COOLDOWN_MS)
    }

    fn insert(&mut self, fault: Fault) {
        let index = self.faults.partition_point(|other| other.at <= fault.at);
        self.faults.insert(index, fault);
    }
}
