//! Requests to replicas that warm up: granted here, one by one, for all processes.
//!
//! Items spend as they are placed. Edges ask for other requests. A grant is good for
//! [`PERMIT_MS`] by the sender's clock, and counts that long and a second more, so that no
//! sliding second has more requests than a replica bears. Grants are made while this
//! process surely leads, which two processes never do at one moment; what the leader before
//! granted is not known and counts as all that there was.

use crate::dispatcher::{Dispatcher, Edge};
use crate::replicas::{Replica, Replicas};
use brasspond_cluster_protocol::{AttemptId, RunEnd};
use brasspond_eligibility::Work;
use brasspond_fleet::{FleetView, Regions};
use brasspond_units::Millis;
use brasspond_warmup::{Budget, LEADERS_OVERLAP, PERMIT_MS, Permit, Rate};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Time for which budgets are kept to after a replica is warm, in ms: edges see a view later
/// than the leader, by the pause between two that are sent and the way there, and send
/// nothing without a permit to a replica that warms up by theirs.
const KNOWN_EVERYWHERE: Millis = 500;

/// What an edge asks for: leave to send one request.
#[derive(Clone, Copy, Debug)]
pub struct PermitAsk<'a> {
    /// Service that answers the request.
    pub service: &'a str,
    /// Where it may be served.
    pub regions: &'a Regions,
    /// Replicas that were sent it before; others go first.
    pub tried: &'a [String],
    /// When the edge asked, by its clock, in ms.
    pub asked_at: Millis,
}

/// Grants since this process leads, for metrics and logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantCounts {
    /// Items placed on replicas that warm up.
    pub items: u64,
    /// Requests that edges asked for and were granted, those to replicas that are warm here
    /// among them.
    pub requests: u64,
    /// Questions of edges that were granted nothing.
    pub refused: u64,
    /// Grants of which a request certainly did not make use.
    pub returned: u64,
}

/// Replicas with budgets.
#[derive(Debug, Default)]
pub(crate) struct Warming {
    /// By id, those that warm up or did just now.
    ids: BTreeSet<String>,
    /// Whether this process surely leads, as it was told last.
    is_sure: bool,
    /// Since when it has surely led for the first time; what went before is not known.
    sure_since: Option<Millis>,
    /// When budgets were last looked at.
    looked_at: Millis,
    counts: GrantCounts,
}

impl Warming {
    /// Whether requests to replicas that warm up may be granted.
    pub fn may_grant(&self) -> bool {
        self.is_sure
    }
}

impl Replica {
    /// Whether its budget is kept to.
    pub fn has_budget(&self, now: Millis) -> bool {
        self.budget.is_some() && now < self.bounded_until
    }

    /// Requests that its budget allows now, whatever its places allow; without a budget any
    /// number.
    pub fn budget_left(&self, now: Millis) -> usize {
        match &self.budget {
            Some(budget) if self.has_budget(now) => budget.left(now),
            _ => usize::MAX,
        }
    }

    /// Takes what a newer view says of its warming up. `unknown_until`: what other
    /// processes sent before is not known.
    pub fn renew_budget(&mut self, view: &FleetView, unknown_until: Millis, now: Millis) {
        let Some(warm_up) = view.warm_up_of(&self.standing.service) else {
            self.budget = None;
            return;
        };
        if !self.standing.warming.is_on(now) {
            return;
        }
        let rate = Rate::of(&warm_up);
        let was_bounded = self.has_budget(now);
        let bounded_until = self.standing.warming.until() + KNOWN_EVERYWHERE;
        let is_news = bounded_until != self.bounded_until;
        self.bounded_until = bounded_until;
        self.paced_from = self.paced_from.max(self.standing.warming.until());
        match &mut self.budget {
            Some(budget) if was_bounded => budget.set_rate(rate, now.max(unknown_until)),
            // It was warm until now, and was sent whatever came.
            _ if self.is_old => self.budget = Some(Budget::spent(rate, now.max(unknown_until))),
            // Nobody knew it before, but the leader before this one may have.
            _ => self.budget = Some(Budget::spent(rate, unknown_until)),
        }
        self.renew_opening();
        if is_news {
            log::info!(
                "event=replica_warming replica={} service={} zone={} left_ms={} most={} span_ms={} opens_in_ms={} was_bounded={was_bounded} known_before={} replicas_revision={}",
                self.standing.id,
                self.standing.service,
                self.standing.zone,
                self.standing.warming.until().saturating_sub(now),
                rate.most,
                rate.span_ms,
                self.standing.opens_at.saturating_sub(now),
                self.is_old,
                view.replicas_revision
            );
        }
    }

    /// Counts a request that is sent there. Returns when it was granted; none: no budget is kept
    /// to, or nothing was left of it.
    pub fn spend(&mut self, now: Millis) -> Option<Millis> {
        if !self.has_budget(now) {
            return None;
        }
        let was_open = self.budget.as_mut()?.take(now);
        self.renew_opening();
        was_open.then_some(now)
    }

    /// A request that was granted at `at` certainly did not reach it.
    fn give_back(&mut self, at: Millis) {
        if let Some(budget) = &mut self.budget {
            budget.give_back(at);
            self.renew_opening();
        }
    }

    /// Whether requests count that it was granted of late: they are to be remembered while
    /// its entry is gone, which may come back.
    pub fn has_counted_grants(&self, now: Millis) -> bool {
        let budget = self.budget.as_ref();
        budget.is_some_and(|budget| budget.counts(now))
    }

    fn renew_opening(&mut self) {
        let opens_at = self.budget.as_ref().map(Budget::opens_at);
        self.standing.opens_at = opens_at.unwrap_or(Millis::MAX);
    }
}

impl Replicas {
    /// Replicas whose budget opened, or that are bounded no more, since the last look.
    fn reopened(&mut self, now: Millis) -> Vec<String> {
        let before = std::mem::replace(&mut self.warming.looked_at, now);
        let by_id = &self.by_id;
        let is_new = |at: Millis| before < at && at <= now;
        let reopened = self.warming.ids.iter().filter(|id| {
            let replica = by_id.get(*id);
            replica.is_some_and(|one| is_new(one.standing.opens_at) || is_new(one.bounded_until))
        });
        let reopened: Vec<String> = reopened.cloned().collect();
        self.warming
            .ids
            .retain(|id| by_id.get(id).is_some_and(|one| one.has_budget(now)));
        reopened
    }

    /// Notes which replicas have budgets, after a newer view.
    pub fn note_budgets(&mut self, now: Millis) {
        let bounded = self.by_id.iter().filter(|(_, one)| one.has_budget(now));
        self.warming.ids = bounded.map(|(id, _)| id.clone()).collect();
    }

    /// All budgets count as spent.
    fn spend_all(&mut self, now: Millis) {
        for replica in self.by_id.values_mut() {
            if let Some(budget) = &mut replica.budget {
                budget.spend_all(now);
                replica.renew_opening();
            }
        }
    }

    /// Runs that a replica may be given now.
    pub fn room_of(&self, replica: &Replica, now: Millis) -> usize {
        let places = replica.slots.saturating_sub(replica.running);
        if replica.has_budget(now) && !self.warming.may_grant() {
            return 0;
        }
        places.min(replica.budget_left(now))
    }

    /// What other processes sent until this moment is not known.
    pub fn unknown_until(&self, now: Millis) -> Millis {
        self.warming.sure_since.unwrap_or(now) + LEADERS_OVERLAP
    }
}

impl Edge {
    /// Until when a run that is ordered now may leave there, by its clock; none: its clock
    /// is not known.
    pub fn send_by(&self, now: Millis) -> Option<Millis> {
        let shown = self.clock.at_least(now)?;
        Some(shown + PERMIT_MS)
    }
}

impl Dispatcher {
    /// What an edge's clock shows at the least, in ms from its start; none: unknown.
    pub fn edge_clock(&self, machine: &str, now: Millis) -> Option<Millis> {
        self.edges.get(machine)?.clock.at_least(now)
    }

    /// Whether this process surely leads at present: to be told before each event.
    pub fn set_confirmed_leader(&mut self, is_sure: bool, now: Millis) {
        let warming = &mut self.replicas.warming;
        warming.is_sure = is_sure;
        if is_sure && warming.sure_since.is_none() {
            warming.sure_since = Some(now);
            self.replicas.spend_all(now + LEADERS_OVERLAP);
        }
    }

    /// An edge told what its clock showed, in ms.
    pub fn edge_told_clock(&mut self, machine: &str, theirs: Millis, now: Millis) {
        if let Some(edge) = self.edges.get_mut(machine) {
            edge.clock.note(theirs, now);
        }
    }

    /// Whether items wait and a budget has opened: they are to be placed now.
    pub fn is_opening_due(&self, now: Millis) -> bool {
        self.next_opening().is_some_and(|at| at <= now)
    }

    /// When the next budget opens while items wait; none: none does, or none waits.
    pub fn next_opening(&self) -> Option<Millis> {
        let warming = &self.replicas.warming;
        if warming.ids.is_empty() || self.jobs.waiting() == 0 {
            return None;
        }
        let opening = warming.ids.iter().filter_map(|id| {
            let opens_at = self.replicas.by_id.get(id)?.standing.opens_at;
            (opens_at > warming.looked_at).then_some(opens_at)
        });
        opening.min()
    }

    /// Has the queues of items look at replicas whose budget opened.
    pub(crate) fn note_reopened(&mut self, now: Millis) {
        for replica in self.replicas.reopened(now) {
            self.placement.freed(&replica);
        }
    }

    /// Grants a request that an edge asks for; none: nothing is left at any replica that may
    /// take it.
    pub fn grant(&mut self, ask: &PermitAsk<'_>, now: Millis) -> Option<Permit> {
        let work = Work {
            service: ask.service,
            regions: ask.regions,
            weights: None,
            is_quarantined: false,
            now,
            permit: None,
        };
        let replicas = &self.replicas;
        let open = replicas.warming.ids.iter().filter_map(|id| {
            let replica = replicas.by_id.get(id)?;
            let takes = replica.has_budget(now)
                && replica.budget_left(now) > 0
                && replica.paused_until <= now
                && replica.standing.takes(&work).is_ok();
            takes.then_some((id, replica))
        });
        let best = open.min_by_key(|(id, replica)| {
            let was_tried = ask.tried.contains(id);
            (was_tried, std::cmp::Reverse(replica.budget_left(now)))
        });
        let best = best.filter(|_| replicas.warming.is_sure);
        let best = best.map(|(id, _)| id.clone());
        let Some(id) = best.or_else(|| self.warm_one(&work, ask.asked_at)) else {
            self.replicas.warming.counts.refused += 1;
            return None;
        };
        // One that is warm here counts nothing.
        let counted = self.replicas.by_id.get_mut(&id)?.spend(now);
        self.replicas.warming.counts.requests += 1;
        Some(Permit {
            replica: Arc::from(id),
            send_by: counted.map_or(Permit::FOR_GOOD, |_| ask.asked_at + PERMIT_MS),
        })
    }

    /// A replica that is warm, for an edge that takes it for one that warms up: it has just
    /// started, and counts the time that the entry tells from then. `draw` spreads them.
    /// Without a configuration none is known to be warm.
    fn warm_one(&self, work: &Work<'_>, draw: u64) -> Option<String> {
        self.view.configuration.as_ref()?;
        let by_id = &self.replicas.by_id;
        let first = draw as usize % by_id.len().max(1);
        let turned = by_id.iter().skip(first).chain(by_id.iter().take(first));
        let mut warm = turned.filter(|(_, replica)| {
            let is_warm = !replica.has_budget(work.now) && replica.paused_until <= work.now;
            is_warm && replica.standing.takes(work).is_ok()
        });
        warm.next().map(|(id, _)| id.clone())
    }

    /// An item is placed on a replica; when it was granted, if the replica is bounded.
    pub(crate) fn spend_for_item(&mut self, replica: &str, now: Millis) -> Option<Millis> {
        let granted = self.replicas.by_id.get_mut(replica)?.spend(now);
        self.replicas.warming.counts.items += u64::from(granted.is_some());
        granted
    }

    /// Takes a grant back of which a run made no use: it never left, or the replica answered
    /// that it is another.
    pub(crate) fn take_back(
        &mut self,
        attempt: AttemptId,
        replica: &str,
        granted: Option<Millis>,
        end: RunEnd,
    ) {
        let was_unused = matches!(
            end,
            RunEnd::Unsent
                | RunEnd::Unreachable
                | RunEnd::NotRun {
                    other_replica: true
                }
        );
        let Some(granted) = granted.filter(|_| was_unused) else {
            return;
        };
        let Some(known) = self.replicas.by_id.get_mut(replica) else {
            return;
        };
        known.give_back(granted);
        log::info!(
            "event=grant_returned attempt={attempt} replica={replica} end={}",
            end.name()
        );
        self.replicas.warming.counts.returned += 1;
        self.placement.freed(replica);
    }

    /// Replicas that are bounded, and grants so far.
    pub fn warming(&self) -> (usize, GrantCounts) {
        let warming = &self.replicas.warming;
        (warming.ids.len(), warming.counts)
    }
}
