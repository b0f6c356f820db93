//! Quarantine at the leader: adds ends of replicas to the log, and sends the resulting cases to
//! edges.
//!
//! Requests with the same method, host, path, tenant and body have the same content. An end is the
//! loss of a replica while it runs a request.
//! The quarantine controller (`crates/quarantine`) decides which ends count; its ledger of cases is
//! part of the job table.

use super::process::Storage;
use brasspond_cluster_protocol::{Message, MessageKind, encode};
use brasspond_jobs::Command;
use brasspond_quarantine::{
    Case, CaseChange, CasesUpdate, EndReport, Fingerprint, QuarantineLedger,
};
use brasspond_units::Millis;

impl Storage {
    /// Handles an edge's report of ended replicas.
    pub(super) fn on_replicas_ended(&mut self, machine: &str, reports: Vec<EndReport>) {
        let now = self.clock.now();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let reported = reports.len();
        let ledger = self.table.quarantine();
        let changes = leader_state
            .quarantine_controller
            .reported(reports, ledger, now);
        log::info!(
            "event=ends_reported edge={machine} ends={reported} counted={}",
            changes.len()
        );
        self.change_quarantine(changes);
    }

    /// Handles an edge's report that a replica answered a content under which others had ended.
    pub(super) fn on_content_answered(&mut self, machine: &str, content: Fingerprint) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let change = leader_state
            .quarantine_controller
            .answered(content, self.table.quarantine());
        log::info!(
            "event=content_answered edge={machine} content={content} was_known={}",
            change.is_some()
        );
        self.change_quarantine(change.into_iter().collect());
    }

    /// Releases contents whose quarantine has expired.
    pub(super) fn tick_quarantine(&mut self, now: Millis) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let changes = leader_state
            .quarantine_controller
            .tick(self.table.quarantine(), now);
        self.change_quarantine(changes);
    }

    fn change_quarantine(&mut self, changes: Vec<CaseChange>) {
        if !changes.is_empty() {
            self.propose(&Command::Quarantine(changes));
        }
    }

    /// Handles applied changes to the cases of these contents.
    pub(super) fn quarantine_changed(&mut self, contents: Vec<Fingerprint>) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        for content in contents {
            let case = self.table.quarantine().case(content);
            log::info!(
                "event=content_known content={content} ends={} held={}",
                case.map_or(0, Case::end_count),
                case.is_some_and(Case::is_quarantined)
            );
            leader_state.unsent_contents.insert(content);
        }
    }

    /// Sends edges the changed cases, or all cases to those that have none yet. Called in the turn
    /// in which the changes are applied, since each further run of such a content may end a
    /// replica.
    pub(super) fn send_quarantine(&mut self) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if leader_state.unsent_contents.is_empty() && !self.links.edges_lack_quarantine {
            return;
        }
        let ledger = self.table.quarantine();
        let changed = std::mem::take(&mut leader_state.unsent_contents);
        let changed = changed_cases(changed, ledger);
        let has_changes = !changed.is_empty();
        let changed = encode(&Message::Quarantine(CasesUpdate {
            is_whole: false,
            cases: changed,
        }));
        let full = encode(&Message::Quarantine(all_cases(ledger)));
        let mut any_missing = false;
        for state in self.links.announced_edges(leader_state.term) {
            if !state.has_quarantine {
                state.has_quarantine = state.writer.send_frame(MessageKind::Other, full.clone());
            } else if has_changes {
                state.has_quarantine = state.writer.send_frame(MessageKind::Other, changed.clone());
            }
            any_missing |= !state.has_quarantine;
        }
        self.links.edges_lack_quarantine = any_missing;
    }
}

/// Returns the changed cases that edges act on, and `None` for each removed case.
fn changed_cases(
    contents: impl IntoIterator<Item = Fingerprint>,
    ledger: &QuarantineLedger,
) -> Vec<(Fingerprint, Option<Case>)> {
    let cases = contents.into_iter().map(|content| {
        let case = ledger.case(content).cloned();
        (content, case)
    });
    cases
        .filter(|(_, case)| case.as_ref().is_none_or(Case::is_sent_to_edges))
        .collect()
}

/// Returns all cases that edges act on.
fn all_cases(ledger: &QuarantineLedger) -> CasesUpdate {
    let watched = ledger.cases().filter(|(_, case)| case.is_sent_to_edges());
    CasesUpdate {
        is_whole: true,
        cases: watched
            .map(|(content, case)| (content, Some(case.clone())))
            .collect(),
    }
}
