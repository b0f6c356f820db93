//! The group's record in the platform's registry, which lists the members of the log. The first
//! process creates it, the leader updates it, and processes outside the group find the group by it.
//! The leader also reports retirements to the registry.
//!
//! Owns [`Record`]. There is one call to the registry at a time; a failed call is retried after
//! [`REGISTRY_RETRY_DELAY`] if it is still due. [`super::search`] decides when to read the record,
//! and [`super::retirements`] which retirement to report.

use super::local::LocalEvent;
use super::process::Storage;
use super::retirements::{RetirementReport, next_report};
use super::search::{RecordSearch, creation_delay};
use crate::clock::Moment;
use crate::platform::{GroupRecord, Registry, RegistryError};
use brasspond_consensus::Member;
use brasspond_units::Millis;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Minimum interval between calls to the registry, except after the report of a retirement. The
/// registry is shared with other systems and charges for calls.
const REGISTRY_CALL_INTERVAL: Millis = 400;
/// Delay after a failed call to the registry.
const REGISTRY_RETRY_DELAY: Millis = 700;

/// State of the group's record.
pub(super) struct Record {
    /// Schedule of reads by a process outside the group.
    search: RecordSearch,
    /// Whether a call to the registry is in progress.
    call_in_flight: bool,
    /// Earliest time of the next call.
    next_call_at: Millis,
    /// Members that this process last wrote to the record, or `None` if it never wrote the record.
    written: Option<Vec<Member>>,
    /// Retirements that this process reported, by machine. The value is true if the retirement was
    /// reported as completed, and false if it was reported as begun.
    reported: HashMap<String, bool>,
}

/// Result of a call to the registry.
pub(super) enum RegistryEvent {
    /// The record was read, with the record, or `None` if it does not exist, and the duration of
    /// the read.
    Read(Option<GroupRecord>, Duration),
    /// The record was created with this process as the only member.
    Created,
    /// The record was updated to these members.
    Written(Vec<Member>),
    /// A retirement was reported.
    RetirementReported(RetirementReport),
    /// The call failed.
    Failed,
}

impl Record {
    /// Creates the state of a starting process.
    pub fn new(search: RecordSearch) -> Self {
        Self {
            search,
            call_in_flight: false,
            next_call_at: 0,
            written: None,
            reported: HashMap::new(),
        }
    }

    /// Records a sign that the group has a leader.
    pub fn leader_seen(&mut self, now: Millis) {
        self.search.leader_seen(now);
    }

    fn may_call(&self, now: Millis) -> bool {
        !self.call_in_flight && now >= self.next_call_at
    }

    fn call_ended(&mut self, next_call_at: Millis) {
        self.call_in_flight = false;
        self.next_call_at = next_call_at;
    }
}

impl Storage {
    /// Reads the record if this process does not vote and a read is due.
    pub(super) fn search_group(&mut self, now: Millis) {
        if self.consensus.is_voter() || !self.group.record.may_call(now) {
            return;
        }
        if self.consensus.leader().is_some() {
            self.group.record.leader_seen(now);
        }
        let search = &mut self.group.record.search;
        if !search.is_due(now) {
            return;
        }
        search.read_started(now);
        self.call_registry(async |registry| {
            let started = Moment::now();
            let record = registry.read().await?;
            Ok(RegistryEvent::Read(record, started.elapsed()))
        });
    }

    /// Calls the registry in a task, which reports the result.
    fn call_registry<F>(&mut self, call: F)
    where
        F: AsyncFnOnce(Rc<dyn Registry>) -> Result<RegistryEvent, RegistryError> + 'static,
    {
        self.group.record.call_in_flight = true;
        let registry = Rc::clone(&self.platform.registry);
        let local = self.local.clone();
        tokio::task::spawn_local(async move {
            let event = call(registry).await.unwrap_or_else(|error| {
                // Not logged as a warning: if several processes create the record at once, all but
                // one fail.
                log::info!("event=registry_call_failed error=\"{error}\"");
                RegistryEvent::Failed
            });
            local.send(LocalEvent::Registry(event)).await;
        });
    }

    /// Handles the result of a call to the registry.
    pub(super) fn on_registry(&mut self, event: RegistryEvent, now: Millis) {
        let record = &mut self.group.record;
        match event {
            RegistryEvent::Read(found, took) => {
                record.call_ended(now + REGISTRY_CALL_INTERVAL);
                self.on_record_read(found, took, now);
            }
            RegistryEvent::Created => {
                record.call_ended(now + REGISTRY_CALL_INTERVAL);
                self.bootstrap_group(now);
            }
            RegistryEvent::Written(members) => {
                record.call_ended(now + REGISTRY_CALL_INTERVAL);
                record.written = Some(members);
            }
            RegistryEvent::RetirementReported(report) => {
                record.call_ended(now);
                record.reported.insert(report.machine, report.completed);
            }
            RegistryEvent::Failed => record.call_ended(now + REGISTRY_RETRY_DELAY),
        }
    }

    fn on_record_read(&mut self, record: Option<GroupRecord>, took: Duration, now: Millis) {
        let is_empty = self.consensus.last_index() == 0;
        match record {
            Some(record) => {
                let is_own = record.members.len() == 1 && record.members[0].id == self.own.id;
                if is_own && is_empty {
                    // An earlier run of this process created the record and ended before it
                    // bootstrapped the group.
                    self.bootstrap_group(now);
                } else {
                    self.connect_to_members(&record.members);
                }
            }
            None if self.settings.process.may_bootstrap && is_empty => self.create_record(took),
            None => {}
        }
    }

    /// Creates the record. If there are several regions, the call is delayed by a multiple of the
    /// time that the read took, so that a process near the registry creates the record first.
    fn create_record(&mut self, took: Duration) {
        let read_ms = took.as_millis() as Millis;
        let has_regions = self.settings.process.regions > 1;
        let pause_ms = if has_regions {
            creation_delay(read_ms)
        } else {
            0
        };
        log::info!("event=record_missing read_ms={read_ms} pause_ms={pause_ms}");
        let own = self.own.clone();
        self.call_registry(async move |registry| {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            registry.create(vec![own]).await?;
            Ok(RegistryEvent::Created)
        });
    }

    fn bootstrap_group(&mut self, now: Millis) {
        if self.consensus.last_index() == 0 {
            log::info!("event=group_made member={:016x}", self.own.id);
            self.consensus.bootstrap(self.own.clone(), now);
        }
    }

    /// Reports retirements and updates the record to the current voters.
    pub(super) fn reconcile_record(&mut self, now: Millis) {
        if !self.group.record.may_call(now) {
            return;
        }
        let retirements = self.view.retirements.values();
        let voters = self.consensus.members();
        let is_settled = self.consensus.check_membership_change().is_ok();
        let reported = &self.group.record.reported;
        if let Some(report) = next_report(retirements, voters, is_settled, reported) {
            self.report_retirement(report);
        } else if is_settled && self.group.record.written.as_deref() != Some(voters) {
            let members = voters.to_vec();
            self.call_registry(async move |registry| {
                replace_record(&*registry, &members).await?;
                Ok(RegistryEvent::Written(members))
            });
        }
    }

    fn report_retirement(&mut self, report: RetirementReport) {
        log::info!(
            "event=retirement_reported machine={} completed={}",
            report.machine,
            report.completed
        );
        self.call_registry(async move |registry| {
            let machine = report.machine.clone();
            registry
                .report_retirement(machine, report.completed)
                .await?;
            Ok(RegistryEvent::RetirementReported(report))
        });
    }
}

/// Sets the record to these members. Creates a missing record and overwrites an unreadable one.
async fn replace_record(registry: &dyn Registry, members: &[Member]) -> Result<(), RegistryError> {
    let revision = match registry.read().await {
        Ok(None) => return registry.create(members.to_vec()).await,
        Ok(Some(record)) if record.members == members => return Ok(()),
        Ok(Some(record)) => record.revision,
        // An unreadable record is overwritten, since the leader knows the members and other
        // processes find the group only by the record.
        Err(RegistryError::Unreadable(revision)) => revision,
        Err(error) => return Err(error),
    };
    let record = GroupRecord {
        members: members.to_vec(),
        revision,
    };
    registry.replace(record).await
}

#[cfg(test)]
#[path = "../../tests/unit/record.rs"]
mod tests;
