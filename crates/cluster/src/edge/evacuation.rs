//! Logs evacuated zones, updates their metrics and reports them to the leader.

use super::process::Edge;
use brasspond_cluster_protocol::Message;
use brasspond_eligibility::Clearance;
use brasspond_fleet::FleetView;

impl Edge {
    /// Logs changes of evacuated zones and updates the metrics.
    pub(super) fn observe_evacuations(&self, view: &FleetView) {
        let now = self.clock.now();
        let mut evacuations = self.fleet.evacuations.borrow_mut();
        for change in evacuations.update(view, now) {
            log::info!("{change} role=edge revision={}", view.evacuated_revision);
        }
        let is_known = view.evacuated_revision > 0;
        let replicas = view.replicas.values();
        let evacuated = replicas.filter(|replica| view.is_evacuated(&replica.zone));
        let metrics = &self.metrics;
        metrics.evacuated(is_known, evacuations.zones(), evacuated.count());
    }

    /// Reports the evacuated zones from the view's source to a leader that has not announced them.
    /// They are urgent and small; [`Edge::update_stale_leader`] sends the other parts of the view
    /// later.
    pub(super) fn report_source_evacuations(&self) {
        let view = self.fleet.view.borrow();
        let leader_view = self.fleet.leader_view.borrow();
        let is_announced = leader_view.as_ref().is_some_and(|leader_view| {
            leader_view.evacuated_revision >= view.evacuated_revision
                || view.has_same_evacuations(leader_view)
        });
        if !is_announced {
            self.send_evacuated(&view);
        }
    }

    /// Reports the evacuated zones to a new leader, which discarded those reported before its term.
    pub(super) fn report_evacuations(&self) {
        self.send_evacuated(&self.fleet.view.borrow());
    }

    fn send_evacuated(&self, view: &FleetView) {
        if view.evacuated_revision == 0 {
            return;
        }
        if let Some(leader) = self.storage.borrow().contact.leader() {
            log::info!(
                "event=evacuations_told zones={} revision={} term={}",
                view.evacuated.len(),
                view.evacuated_revision,
                leader.term
            );
            leader.writer.send(&Message::View(view.evacuations_only()));
        }
    }

    /// Whether a replica's zone is known not to be evacuated. Callers check it again after the wait
    /// for a connection. A replica that this edge does not know was authorized by the leader.
    pub(super) fn is_zone_in_service(&self, clearance: &Clearance) -> bool {
        let balancer = self.balancer.borrow();
        let endpoint = balancer.endpoint(clearance.replica());
        endpoint.is_none_or(|endpoint| !endpoint.is_evacuated && !endpoint.is_evacuation_unknown)
    }
}
