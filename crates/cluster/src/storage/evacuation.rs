//! Evacuated zones at the leader: replaces the known ones when leadership starts, and has changes
//! sent to edges without delay.
//!
//! Owns no state. The evacuations last logged are in [`super::leader::LeaderState`], those last
//! sent in [`super::announcing::Announcements`].

use super::process::Storage;
use brasspond_fleet::{FleetView, ReplicaInfo};
use brasspond_jobs::Submission;
use brasspond_units::Millis;

impl Storage {
    /// Called when this process becomes leader. Replaces the known evacuations, which may be
    /// outdated, by those that this process last received from the source. If it did not watch
    /// evacuations, none are known until the source or an edge reports them.
    pub(super) fn refresh_evacuations(&mut self) {
        let were_known = self.view.forget_evacuations();
        let observed = self.platform.observed.borrow().view.evacuations_only();
        self.view.merge(&observed);
        if self.settings.process.supports_evacuation {
            log::info!(
                "event=evacuations_renewed forgot={were_known} known={} revision={}",
                self.view.knows_evacuations(),
                self.view.evacuated_revision
            );
        }
    }

    /// Logs changed evacuations, and records whether edges must be sent them without delay.
    pub(super) fn handle_evacuation_changes(&mut self, now: Millis) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        for change in leader_state.evacuations.update(&self.view, now) {
            log::info!(
                "{change} role=storage revision={} source_answers={}",
                self.view.evacuated_revision,
                self.source_answers
            );
        }
        let announcements = &mut leader_state.announcements;
        announcements.state.is_urgent |= !self.view.has_same_evacuations(&announcements.sent_view);
    }

    /// Schedules sending the evacuations to all edges again if an edge reported different ones. The
    /// usual interval between two sends applies: all edges send their views to a new leader at the
    /// same time, and each could otherwise cause a message to every edge.
    pub(super) fn check_reported_evacuations(&mut self, reported: &FleetView) {
        let differs = reported.evacuated_revision > 0 && !reported.has_same_evacuations(&self.view);
        if let Some(leader_state) = &mut self.leader_state
            && differs
        {
            leader_state.announcements.state.must_resend = true;
            leader_state.announcements.state.is_changed = true;
        }
    }

    /// Whether a new job is refused because all replicas of its services, apart from draining ones,
    /// are in evacuated zones. Returns false if there are no such replicas or the route is unknown.
    pub(super) fn has_only_evacuated_replicas(&self, submission: &Submission) -> bool {
        let configuration = self.view.configuration.as_ref();
        let route = configuration.and_then(|one| one.route(&submission.host, &submission.path));
        let Some(route) = route else {
            return false;
        };
        let services = route.targets.iter().map(|target| &target.service);
        let mut replicas = services.flat_map(|service| self.view.undrained_replicas(service));
        let is_evacuated = |replica: &ReplicaInfo| self.view.is_evacuated(&replica.zone);
        replicas.next().is_some_and(is_evacuated) && replicas.all(is_evacuated)
    }
}
