//! Evacuated zones at the leader: what it believes first, and what it spreads at once.

use super::process::Storage;
use brasspond_fleet::{FleetView, ReplicaInfo};
use brasspond_jobs::Submission;

impl Storage {
    /// A new leader believes nothing of evacuated zones that it did not hear in its own time:
    /// the operator may have changed them since it last led. What its watch of the source
    /// holds at present was heard just now; a watch that ended holds nothing.
    pub(super) fn renew_evacuated(&mut self) {
        let had = self.view.forget_evacuated();
        let watched = self.platform.observed.borrow().view.evacuated_part();
        self.view.merge(&watched);
        if self.settings.process.evacuates {
            log::info!(
                "event=evacuations_renewed forgot={had} known={} revision={}",
                self.view.knows_evacuated(),
                self.view.evacuated_revision
            );
        }
    }

    /// Notes in the log what changed, and whether edges must hear of it out of turn.
    pub(super) fn note_evacuated(&mut self, now: u64) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        for change in leading.evacuations.take(&self.view, now) {
            log::info!(
                "{change} role=storage revision={} source_answers={}",
                self.view.evacuated_revision,
                self.source_answers
            );
        }
        leading.spreads_at_once |= !self.view.evacuates_like(&leading.sent_view);
    }

    /// An edge says of evacuated zones what this leader does not: all are told the newest,
    /// though it may be what they were told last. At the next turn, since all edges speak at
    /// once to a new leader.
    pub(super) fn compare_evacuated(&mut self, told: &FleetView) {
        let differs = told.evacuated_revision > 0 && !told.evacuates_like(&self.view);
        if let Some(leading) = &mut self.leading
            && differs
        {
            leading.tells_again = true;
            leading.view_is_new = true;
        }
    }

    /// Whether a new job is certainly not to be served now: its services have replicas, and
    /// all of them are in evacuated zones. Not while anything proposed is not applied yet,
    /// which may be the same job.
    pub(super) fn is_evacuated_job(&self, submission: &Submission) -> bool {
        if self.asks.has_proposed() || self.consensus.has_backlog() {
            return false;
        }
        let configuration = self.view.configuration.as_ref();
        let route = configuration.and_then(|one| one.route(&submission.host, &submission.path));
        let Some(route) = route else {
            return false;
        };
        let services = route.targets.iter().map(|target| &target.service);
        let mut replicas = services.flat_map(|service| self.view.ready_replicas(service));
        let is_out = |replica: &ReplicaInfo| self.view.is_evacuated(&replica.zone);
        replicas.next().is_some_and(is_out) && replicas.all(is_out)
    }
}
