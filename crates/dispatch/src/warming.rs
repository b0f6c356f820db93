//! Rate-limits requests to replicas that warm up: the leader grants each request of any process.
//!
//! Owns the set of replicas with budgets and the counts of grants; the budgets are in `Replica`.
//! Items that are placed on a replica consume its budget, and edges ask for permits for all other
//! requests. A request must be sent within [`PERMIT_MS`] of its grant by the sender's clock. Its
//! grant counts against the budget for that time and the period of the rate limit, so that the
//! limit holds whenever the request arrives. Only a confirmed leader makes grants, and at most one
//! leader is confirmed at a time. A new leader does not know the grants of the earlier one, so it
//! starts with used-up budgets.

use crate::dispatcher::Dispatcher;
use crate::replicas::{Replica, Replicas};
use crate::retry;
use brasspond_cluster_protocol::{AttemptId, RunEnd};
use brasspond_eligibility::Requirements;
use brasspond_fleet::{FleetView, Regions};
use brasspond_units::Millis;
use brasspond_warmup::{Budget, LEADER_OVERLAP_MS, PERMIT_MS, Permit, Rate};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Time for which a budget still applies after its replica is warm, in ms. Covers the interval
/// between two views (100 ms) and the delivery of a view to all edges; until then, edges may still
/// ask for permits.
const PROPAGATION_TIME_MS: Millis = 500;

/// An edge's request for a permit to send one request to a replica that warms up.
#[derive(Clone, Copy, Debug)]
pub struct PermitRequest<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Regions in which it may be served.
    pub regions: &'a Regions,
    /// Replicas to which the request was sent before; other replicas are preferred.
    pub tried: &'a [String],
    /// Time of the edge's request for the permit by the edge's clock, in ms.
    pub asked_at: Millis,
}

/// Grants since this process became leader, for metrics and logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantCounts {
    /// Items placed on replicas that warm up.
    pub items: u64,
    /// Permits granted to edges, including those for replicas that are already warm in this
    /// process's view.
    pub requests: u64,
    /// Permits refused to edges.
    pub refused: u64,
    /// Grants returned because their requests did not reach the replica.
    pub returned: u64,
}

/// Replicas with budgets and the counts of grants.
#[derive(Debug, Default)]
pub(crate) struct Warming {
    /// Ids of the replicas whose budget applies, or stopped applying since they were last
    /// collected.
    ids: BTreeSet<String>,
    /// Whether this process is the confirmed leader.
    is_confirmed: bool,
    /// When this process was first confirmed as leader. Earlier grants are not known to it.
    confirmed_since: Option<Millis>,
    /// Time up to which budgets that opened have been handled. A budget opens when it allows
    /// another request after it was used up.
    handled_until: Millis,
    counts: GrantCounts,
}

impl Warming {
    /// Whether requests to replicas that warm up may be granted.
    pub fn may_grant(&self) -> bool {
        self.is_confirmed
    }
}

impl Replica {
    /// Whether the replica's budget applies.
    pub fn has_budget(&self, now: Millis) -> bool {
        self.budget.is_some() && now < self.budget_until
    }

    /// Number of requests that the budget allows now, regardless of free slots; `usize::MAX` if no
    /// budget applies.
    pub fn budget_left(&self, now: Millis) -> usize {
        match &self.budget {
            Some(budget) if self.has_budget(now) => budget.remaining(now),
            _ => usize::MAX,
        }
    }

    /// Applies the warm-up settings of a newer view. Requests that other processes sent before
    /// `unknown_until` are not known to this one, so the budget counts as used up until then.
    pub fn update_budget(&mut self, view: &FleetView, unknown_until: Millis, now: Millis) {
        let Some(warm_up) = view.warm_up_of(&self.endpoint.service) else {
            self.budget = None;
            return;
        };
        if !self.endpoint.warming.is_active(now) {
            return;
        }
        let rate = Rate::of(&warm_up);
        let was_bounded = self.has_budget(now);
        let budget_until = self.endpoint.warming.ends_at() + PROPAGATION_TIME_MS;
        let has_changed = budget_until != self.budget_until;
        self.budget_until = budget_until;
        self.pace_valid_from = self.pace_valid_from.max(self.endpoint.warming.ends_at());
        match &mut self.budget {
            Some(budget) if was_bounded => budget.set_rate(rate, now.max(unknown_until)),
            // The replica was considered warm and may have been sent any number of requests.
            _ if self.was_listed => {
                self.budget = Some(Budget::exhausted(rate, now.max(unknown_until)))
            }
            // This leader lists the replica for the first time, but an earlier leader may have made
            // grants.
            _ => self.budget = Some(Budget::exhausted(rate, unknown_until)),
        }
        self.update_available_at();
        if has_changed {
            self.log_warming(rate, was_bounded, view.replicas_revision, now);
        }
    }

    fn log_warming(&self, rate: Rate, was_bounded: bool, replicas_revision: u64, now: Millis) {
        log::info!(
            "event=replica_warming replica={} service={} zone={} left_ms={} most={} span_ms={} opens_in_ms={} was_bounded={was_bounded} known_before={} replicas_revision={}",
            self.endpoint.id,
            self.endpoint.service,
            self.endpoint.zone,
            self.endpoint.warming.ends_at().saturating_sub(now),
            rate.max_grants,
            rate.span_ms,
            self.endpoint.available_at.saturating_sub(now),
            self.was_listed,
            replicas_revision
        );
    }

    /// Counts a request against the budget. Returns the time of the grant; `None` if no budget
    /// applies or the budget is used up.
    pub fn spend(&mut self, now: Millis) -> Option<Millis> {
        if !self.has_budget(now) {
            return None;
        }
        let was_open = self.budget.as_mut()?.try_grant(now);
        self.update_available_at();
        was_open.then_some(now)
    }

    /// Refunds the grant made at `granted_at`, as its request did not reach the replica.
    fn refund(&mut self, granted_at: Millis) {
        if let Some(budget) = &mut self.budget {
            budget.refund(granted_at);
            self.update_available_at();
        }
    }

    /// Whether any grant still counts against the budget. The replica is then kept even without an
    /// entry in the view, as the entry may come back.
    pub fn has_counted_grants(&self, now: Millis) -> bool {
        let budget = self.budget.as_ref();
        budget.is_some_and(|budget| budget.has_counted_grants(now))
    }

    fn update_available_at(&mut self) {
        let available_at = self.budget.as_ref().map(Budget::available_at);
        // `Millis::MAX` stands for a replica without a budget.
        self.endpoint.available_at = available_at.unwrap_or(Millis::MAX);
    }
}

impl Replicas {
    /// Returns the replicas whose budget opened or stopped applying since the last call.
    fn take_reopened(&mut self, now: Millis) -> Vec<String> {
        let before = std::mem::replace(&mut self.warming.handled_until, now);
        let by_id = &self.by_id;
        let is_new = |at: Millis| before < at && at <= now;
        let reopened = self.warming.ids.iter().filter(|id| {
            let replica = by_id.get(*id);
            replica.is_some_and(|replica| {
                is_new(replica.endpoint.available_at) || is_new(replica.budget_until)
            })
        });
        let reopened: Vec<String> = reopened.cloned().collect();
        self.warming
            .ids
            .retain(|id| by_id.get(id).is_some_and(|replica| replica.has_budget(now)));
        reopened
    }

    /// Rebuilds the set of replicas with budgets.
    pub fn index_budgets(&mut self, now: Millis) {
        let bounded = self
            .by_id
            .iter()
            .filter(|(_, replica)| replica.has_budget(now));
        self.warming.ids = bounded.map(|(id, _)| id.clone()).collect();
    }

    /// Counts all budgets as used up at `now`.
    fn exhaust_all(&mut self, now: Millis) {
        for replica in self.by_id.values_mut() {
            if let Some(budget) = &mut replica.budget {
                budget.exhaust(now);
                replica.update_available_at();
            }
        }
    }

    /// Time until which other processes may send requests that are not known to this one, in ms.
    pub fn unknown_until(&self, now: Millis) -> Millis {
        // Until this process is confirmed, the earlier leader may still make grants.
        self.warming.confirmed_since.unwrap_or(now) + LEADER_OVERLAP_MS
    }
}

impl Dispatcher {
    /// Sets whether this process is the confirmed leader; called before each event.
    pub fn set_confirmed_leader(&mut self, is_confirmed: bool, now: Millis) {
        let warming = &mut self.replicas.warming;
        warming.is_confirmed = is_confirmed;
        if is_confirmed && warming.confirmed_since.is_none() {
            warming.confirmed_since = Some(now);
            self.replicas.exhaust_all(now + LEADER_OVERLAP_MS);
        }
    }

    /// Whether items wait and a budget has opened that was not handled yet, so that
    /// [`Event::BudgetOpened`](crate::Event::BudgetOpened) is due.
    pub fn is_opening_due(&self, now: Millis) -> bool {
        self.next_opening().is_some_and(|at| at <= now)
    }

    /// When the next budget opens; `None` if no item waits or no budget will open.
    pub fn next_opening(&self) -> Option<Millis> {
        let warming = &self.replicas.warming;
        if warming.ids.is_empty() || self.jobs.waiting() == 0 {
            return None;
        }
        let opening = warming.ids.iter().filter_map(|id| {
            let available_at = self.replicas.by_id.get(id)?.endpoint.available_at;
            (available_at > warming.handled_until).then_some(available_at)
        });
        opening.min()
    }

    /// Marks replicas whose budget opened or stopped applying, so that placement considers them
    /// again.
    pub(crate) fn requeue_reopened(&mut self, now: Millis) {
        for replica in self.replicas.take_reopened(now) {
            self.placement.mark_changed(&replica);
        }
    }

    /// Grants a permit for a replica that warms up, or for a warm one if no replica that warms up
    /// is available. Returns `None` if neither is.
    pub fn grant(&mut self, request: &PermitRequest<'_>, now: Millis) -> Option<Permit> {
        let requirements = Requirements {
            service: request.service,
            regions: request.regions,
            weights: None,
            is_quarantined: false,
            now,
            permit: None,
        };
        let warming = self.choose_warming_replica(&requirements, request.tried);
        let Some(id) =
            warming.or_else(|| self.choose_warm_replica(&requirements, request.asked_at))
        else {
            self.replicas.warming.counts.refused += 1;
            return None;
        };
        // `None` for a warm replica, which has no budget.
        let granted_at = self.replicas.by_id.get_mut(&id)?.spend(now);
        self.replicas.warming.counts.requests += 1;
        Some(Permit {
            replica: Arc::from(id),
            send_by: granted_at.map_or(Permit::UNLIMITED, |_| request.asked_at + PERMIT_MS),
        })
    }

    /// Chooses the replica that warms up, accepts the request and has the most budget left. Prefers
    /// replicas that are not in `tried`. Returns `None` if there is no such replica or this process
    /// is not the confirmed leader.
    fn choose_warming_replica(
        &self,
        requirements: &Requirements<'_>,
        tried: &[String],
    ) -> Option<String> {
        let warming = &self.replicas.warming;
        if !warming.may_grant() {
            return None;
        }
        let candidates = warming.ids.iter().filter_map(|id| {
            let replica = self.replicas.by_id.get(id)?;
            let accepts = replica.has_budget(requirements.now)
                && replica.budget_left(requirements.now) > 0
                && !replica.is_paused(requirements.now)
                && replica.endpoint.check(requirements).is_ok();
            accepts.then_some((id, replica))
        });
        let best = candidates.min_by_key(|(id, replica)| {
            let was_tried = tried.contains(id);
            (was_tried, Reverse(replica.budget_left(requirements.now)))
        });
        best.map(|(id, _)| id.clone())
    }

    /// Chooses a warm replica for an edge that still considers it as warming up: an edge that has
    /// just started counts the warm-up time from its own start. `draw` spreads such requests over
    /// the replicas. Returns `None` without a configuration, as no replica is known to be warm
    /// then.
    fn choose_warm_replica(&self, requirements: &Requirements<'_>, draw: u64) -> Option<String> {
        self.view.configuration.as_ref()?;
        let by_id = &self.replicas.by_id;
        let first = draw as usize % by_id.len().max(1);
        let rotated = by_id.iter().skip(first).chain(by_id.iter().take(first));
        let mut warm = rotated.filter(|(_, replica)| {
            let is_warm =
                !replica.has_budget(requirements.now) && !replica.is_paused(requirements.now);
            is_warm && replica.endpoint.check(requirements).is_ok()
        });
        warm.next().map(|(id, _)| id.clone())
    }

    /// Counts an item that is placed on a replica against the replica's budget. Returns the time of
    /// the grant; `None` if no budget applies.
    pub(crate) fn spend_for_item(&mut self, replica: &str, now: Millis) -> Option<Millis> {
        let granted = self.replicas.by_id.get_mut(replica)?.spend(now);
        self.replicas.warming.counts.items += u64::from(granted.is_some());
        granted
    }

    /// Refunds the grant of a run if no request reached the replica
    /// ([`retry::never_reached_replica`]).
    pub(crate) fn return_grant(
        &mut self,
        attempt: AttemptId,
        replica: &str,
        granted: Option<Millis>,
        end: RunEnd,
    ) {
        let Some(granted) = granted.filter(|_| retry::never_reached_replica(end)) else {
            return;
        };
        let Some(known) = self.replicas.by_id.get_mut(replica) else {
            return;
        };
        known.refund(granted);
        log::info!(
            "event=grant_returned attempt={attempt} replica={replica} end={}",
            end.name()
        );
        self.replicas.warming.counts.returned += 1;
        self.placement.mark_changed(replica);
    }

    /// Number of replicas with budgets, and the counts of grants so far.
    pub fn warming(&self) -> (usize, GrantCounts) {
        let warming = &self.replicas.warming;
        (warming.ids.len(), warming.counts)
    }
}
