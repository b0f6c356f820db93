//! Permits: the leader's permission to send a request to a replica that is warming up.
//!
//! Callers' requests and scoring calls ask for a permit when no warm replica is eligible or the
//! chosen one is full. A run of an item receives its permit with the order. Only one question per
//! service is in flight, so that the requests of an edge do not compete for the few permits.

use super::attempts::pause_fits;
use super::forward::ForwardedRequest;
use super::process::Edge;
use crate::clock::{Moment, within};
use brasspond_cluster_protocol::{Answer, Message, Question, RunSpec};
use brasspond_eligibility::{Clearance, Ineligible};
use brasspond_warmup::Permit;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;

/// Maximum wait for a permit, as a fraction of the route's latency objective. It is short, since a
/// caller that is told early when to retry is served better than one whose request is queued.
const PERMIT_WAIT_OBJECTIVES: f64 = 0.25;
/// Lower bound of the maximum wait for a permit: one round trip to the leader on a busy edge.
const MIN_PERMIT_WAIT: Duration = Duration::from_millis(50);
/// Maximum wait for a permit if a full warm replica can take the request instead.
const FULL_REPLICA_PERMIT_WAIT: Duration = Duration::from_millis(20);
/// Pause between two questions while no permit is available. Exhausted budgets free one request at
/// a time.
const PERMIT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Time without a leader after which a question for a permit fails, in ms.
const PERMIT_LEADERLESS_LIMIT_MS: u64 = 100;

/// Locks that limit the questions for permits to one at a time per service.
#[derive(Default)]
pub(super) struct PermitLocks {
    by_service: HashMap<String, Rc<Mutex<()>>>,
}

impl PermitLocks {
    fn service_lock(&mut self, service: &str) -> Rc<Mutex<()>> {
        match self.by_service.get(service) {
            Some(service_lock) => Rc::clone(service_lock),
            None => Rc::clone(self.by_service.entry(service.to_string()).or_default()),
        }
    }

    /// Drops the locks of services that have no question in flight.
    pub fn forget_idle(&mut self) {
        self.by_service
            .retain(|_, service_lock| Rc::strong_count(service_lock) > 1);
    }
}

impl ForwardedRequest {
    /// Chooses the replica for the next attempt. If only replicas that are warming up remain, waits
    /// for a permit of the leader.
    ///
    /// # Errors
    /// Why no replica is eligible; `None` if no replica is known.
    pub(super) async fn choose(&self, tried: &[String]) -> Result<Clearance, Option<Ineligible>> {
        match self.choose_local(tried, None) {
            Err(Some(Ineligible::WarmingUp)) => self.choose_with_permit(tried).await,
            Ok(chosen) => Ok(self.choose_instead_of_full(tried, chosen).await),
            chosen => chosen,
        }
    }

    /// If the chosen warm replica is full, asks for a permit and chooses again with it. Returns the
    /// chosen replica if it is not full or there is no permit. Asks only once, and only if no other
    /// question of the service is in flight.
    async fn choose_instead_of_full(&self, tried: &[String], chosen: Clearance) -> Clearance {
        let is_needed = {
            let balancer = self.edge.balancer.borrow();
            balancer.is_full(chosen.replica(), Moment::now())
                && balancer.has_warming_replica(&self.requirements())
        };
        if !is_needed {
            return chosen;
        }
        let service_lock = self
            .edge
            .permit_locks
            .borrow_mut()
            .service_lock(self.service());
        let Ok(_guard) = service_lock.try_lock() else {
            return chosen;
        };
        let until = Moment::now() + FULL_REPLICA_PERMIT_WAIT.min(self.left());
        // After a timeout the warm replica takes the request.
        let asked = within(FULL_REPLICA_PERMIT_WAIT, self.request_permit(tried, until)).await;
        let permit = asked.ok().flatten();
        let granted = permit.and_then(|permit| self.choose_local(tried, Some(&permit)).ok());
        let outcome = if granted.is_some() {
            "granted"
        } else {
            "beside"
        };
        self.edge.metrics.permit(outcome);
        granted.unwrap_or(chosen)
    }

    /// Waits for a permit until the maximum wait has passed or a warm replica becomes eligible.
    ///
    /// # Errors
    /// See [`ForwardedRequest::choose`].
    async fn choose_with_permit(&self, tried: &[String]) -> Result<Clearance, Option<Ineligible>> {
        let wait = self
            .objective()
            .mul_f64(PERMIT_WAIT_OBJECTIVES)
            .max(MIN_PERMIT_WAIT);
        let until = Moment::now() + wait.min(self.left());
        let service_lock = self
            .edge
            .permit_locks
            .borrow_mut()
            .service_lock(self.service());
        let asked = within(wait, async {
            // The lock is fair: waiters acquire it in order of arrival.
            let _guard = service_lock.lock().await;
            self.request_permit_until(tried, until).await
        });
        let chosen = asked.await.unwrap_or(Err(Some(Ineligible::WarmingUp)));
        let outcome = if chosen.is_ok() { "granted" } else { "refused" };
        self.edge.metrics.permit(outcome);
        log::info!(
            "event=permit_asked request={} service={} outcome={outcome} replica={}",
            self.id,
            self.service(),
            chosen.as_ref().map_or("", |chosen| chosen.replica())
        );
        chosen
    }

    async fn request_permit_until(
        &self,
        tried: &[String],
        until: Moment,
    ) -> Result<Clearance, Option<Ineligible>> {
        loop {
            if let Some(permit) = self.request_permit(tried, until).await
                && let Ok(clearance) = self.choose_local(tried, Some(&permit))
            {
                return Ok(clearance);
            }
            if !pause_fits(Moment::now(), PERMIT_RETRY_PAUSE, until) {
                return Err(Some(Ineligible::WarmingUp));
            }
            tokio::time::sleep(PERMIT_RETRY_PAUSE).await;
            // A replica may have finished warming up.
            match self.choose_local(tried, None) {
                Err(Some(Ineligible::WarmingUp)) => {}
                chosen => return chosen,
            }
        }
    }

    /// Asks the leader once for a permit.
    async fn request_permit(&self, tried: &[String], until: Moment) -> Option<Permit> {
        let question = Question::Permit {
            service: self.service().to_string(),
            regions: self.regions().clone(),
            tried: tried.to_vec(),
            asked_at: self.edge.clock.now(),
        };
        let asked = self
            .edge
            .ask(&question, Duration::ZERO, until, PERMIT_LEADERLESS_LIMIT_MS);
        match asked.await {
            // An unlimited permit means that the leader considers the replica warm. It is valid
            // only if the leader and this edge agree on the replica's warm-up.
            Ok(Answer::Permit(permit)) => permit.filter(|permit| {
                !permit.is_unlimited() || self.edge.leader_agrees_on_warm_up(&permit.replica)
            }),
            // No leader answered in time. The calling function decides whether to ask again.
            Ok(_) | Err(_) => None,
        }
    }
}

impl Edge {
    /// Sends the times of this edge's clock to the leader, which computes from them when the
    /// permits of runs expire.
    pub(super) fn send_clock(&self) {
        if let Some(leader) = self.storage.borrow().contact.leader() {
            leader.writer.send(&Message::Beat {
                wall: self.clock.wall(),
                uptime: self.clock.now(),
            });
        }
    }

    /// Returns the permit in a run's order. Without `send_by` the leader considers the replica
    /// warm. The permit is then unlimited if the leader's view and this edge's view agree on the
    /// replica's warm-up; otherwise the result is `None`.
    pub(super) fn permit_of(&self, spec: &RunSpec) -> Option<Permit> {
        let send_by = match spec.send_by {
            Some(send_by) => send_by,
            None if self.leader_agrees_on_warm_up(&spec.replica) => Permit::UNLIMITED,
            None => return None,
        };
        Some(Permit {
            replica: spec.replica.as_str().into(),
            send_by,
        })
    }

    /// Whether the leader's view and this edge's view agree on a replica's warm-up; false if the
    /// leader's view is not known.
    fn leader_agrees_on_warm_up(&self, replica: &str) -> bool {
        let view = self.fleet.view.borrow();
        let leader_view = self.fleet.leader_view.borrow();
        let leader_view = leader_view.as_ref();
        leader_view.is_some_and(|leader_view| view.has_same_warm_up(leader_view, replica))
    }
}
