//! Makes an attempt and, while it is unanswered, a hedge at a second replica.
//!
//! Both run in the task of the request, so that both are cancelled if the request is dropped. The
//! first complete answer wins; dropping the other attempt closes its connection, which the replica
//! takes as the end of the request. [`super::hedging`] decides whether a hedge is sent.

use super::attempt::ReplicaResponse;
use super::attempt_error::AttemptError;
use super::forward::ForwardedRequest;
use super::hedging::{HedgeClass, HedgeDecision, HedgePlan, hedge_delay, may_hedge};
use super::usage::UsageGuard;
use crate::clock::Moment;
use brasspond_eligibility::Clearance;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// A complete answer and its replica.
type Answer = (ReplicaResponse, String);

/// An attempt that failed.
pub(super) struct FailedAttempt {
    pub replica: String,
    pub error: AttemptError,
}

/// Outcome of an attempt and, if there was one, its hedge.
pub(super) struct HedgedOutcome {
    /// The first complete answer; `None` if all attempts failed.
    pub answer: Option<Answer>,
    /// Failed attempts, in the order in which they failed.
    pub failed: Vec<FailedAttempt>,
    /// Replica of the attempt that was cancelled because the other one was answered.
    pub cancelled: Option<String>,
}

/// An attempt in progress, for its records.
#[derive(Clone, Copy)]
struct Begun<'a> {
    replica: &'a str,
    started: Moment,
}

impl<'a> Begun<'a> {
    fn now(clearance: &'a Clearance) -> Self {
        Self {
            replica: clearance.replica(),
            started: Moment::now(),
        }
    }
}

impl HedgedOutcome {
    fn of(result: Result<Answer, FailedAttempt>) -> Self {
        match result {
            Ok(answer) => Self {
                answer: Some(answer),
                failed: Vec::new(),
                cancelled: None,
            },
            Err(failed) => Self {
                answer: None,
                failed: vec![failed],
                cancelled: None,
            },
        }
    }

    /// Whether two attempts were made.
    pub fn was_hedged(&self) -> bool {
        let failed = self.failed.len();
        failed + usize::from(self.answer.is_some()) + usize::from(self.cancelled.is_some()) > 1
    }
}

impl ForwardedRequest {
    /// Counts the request towards the budget of hedges of its service, if it may be hedged.
    pub(super) fn count_for_hedges(&self) {
        let route = &self.route;
        if may_hedge(route.kind, 0, route.max_attempts, self.objective()) {
            let mut budgets = self.edge.hedge_budgets.borrow_mut();
            budgets.count_request(self.service());
        }
    }

    /// Plans the hedge of the next attempt; `None` if the attempt must not be hedged. `delivered`
    /// earlier attempts reached a replica, `timeout` is that of the hedge.
    pub(super) fn plan_hedge(
        &self,
        delivered: u32,
        timeout: Duration,
        class: HedgeClass,
    ) -> Option<HedgePlan> {
        let route = &self.route;
        if !may_hedge(route.kind, delivered, route.max_attempts, self.objective()) {
            return None;
        }
        let balancer = self.edge.balancer.borrow();
        let typical_ms = balancer.typical_response_ms(&self.requirements());
        Some(HedgePlan {
            delay: hedge_delay(typical_ms, self.objective()),
            timeout,
            class,
        })
    }

    /// Makes an attempt, and a hedge as planned. `tried` are the replicas of earlier attempts.
    /// Records the faults of failed attempts.
    pub(super) async fn attempt_hedged(
        &self,
        clearance: &Clearance,
        timeout: Duration,
        tried: &[String],
        plan: Option<HedgePlan>,
    ) -> HedgedOutcome {
        let begun = Begun::now(clearance);
        let mut first = pin!(self.observed_attempt(clearance, begun, timeout));
        let Some(plan) = plan else {
            return HedgedOutcome::of(first.await);
        };
        if let Ok(result) = tokio::time::timeout(plan.delay, first.as_mut()).await {
            return HedgedOutcome::of(result);
        }
        let Some(hedge) = self.choose_hedge(begun, tried, plan) else {
            return HedgedOutcome::of(first.await);
        };
        let hedge_begun = Begun::now(&hedge);
        // Boxed because few requests are hedged and the future is large.
        let mut second = Box::pin(self.observed_attempt(&hedge, hedge_begun, plan.timeout));
        let (outcome, winner) = tokio::select! {
            biased;
            result = first.as_mut() => match result {
                Ok(answer) => (self.cancel(answer, hedge_begun), "first"),
                Err(failed) => self.await_other(failed, second, "second").await,
            },
            result = second.as_mut() => match result {
                Ok(answer) => (self.cancel(answer, begun), "second"),
                Err(failed) => self.await_other(failed, first, "first").await,
            },
        };
        self.report_hedge(winner, hedge_begun);
        outcome
    }

    /// Makes one attempt and records a fault of its replica.
    async fn observed_attempt(
        &self,
        clearance: &Clearance,
        begun: Begun<'_>,
        timeout: Duration,
    ) -> Result<Answer, FailedAttempt> {
        let replica = begun.replica.to_string();
        match self.attempt(clearance, None, timeout).await {
            Ok(response) => Ok((response, replica)),
            Err(error) => {
                self.observe_failure(&replica, begun.started, &error);
                Err(FailedAttempt { replica, error })
            }
        }
    }

    /// Chooses the replica of a hedge; `None` if no hedge is sent. A replica that is warming up is
    /// never chosen, because it would need a permit.
    fn choose_hedge(
        &self,
        first: Begun<'_>,
        tried: &[String],
        plan: HedgePlan,
    ) -> Option<Clearance> {
        let mut excluded = tried.to_vec();
        excluded.push(first.replica.to_string());
        let balancer = self.edge.balancer.borrow();
        let chosen = balancer.choose_free(&self.requirements(), &excluded, Moment::now());
        drop(balancer);
        let mut budgets = self.edge.hedge_budgets.borrow_mut();
        let outcome = match budgets.decide(self.service(), plan.class, chosen.is_some()) {
            HedgeDecision::Send => {
                log::info!(
                    "event=request_hedged request={} route={} first={} second={} delay_ms={} left_ms={}",
                    self.id,
                    self.route.name,
                    first.replica,
                    chosen.as_ref().map_or("", |chosen| chosen.replica()),
                    plan.delay.as_millis(),
                    self.left().as_millis()
                );
                return chosen;
            }
            HedgeDecision::NoBudget => "no_budget",
            HedgeDecision::NoReplica => "no_replica",
        };
        self.edge.metrics.hedge(outcome);
        None
    }

    /// Records that an attempt is cancelled because the other one was answered.
    fn cancel(&self, answer: Answer, cancelled: Begun<'_>) -> HedgedOutcome {
        let elapsed = cancelled.started.elapsed();
        let mut balancer = self.edge.balancer.borrow_mut();
        balancer.record_unanswered(cancelled.replica, cancelled.started, elapsed);
        let metrics = &self.edge.metrics;
        metrics.attempt("cancelled", elapsed.as_secs_f64());
        HedgedOutcome {
            answer: Some(answer),
            failed: Vec::new(),
            cancelled: Some(cancelled.replica.to_string()),
        }
    }

    /// Waits for the remaining attempt after the other one has failed. Returns the outcome and the
    /// winner, which is `other_name` or `none`.
    async fn await_other(
        &self,
        failed: FailedAttempt,
        other: impl Future<Output = Result<Answer, FailedAttempt>>,
        other_name: &'static str,
    ) -> (HedgedOutcome, &'static str) {
        // The failed attempt may have discarded the count of usage that both share.
        let guard = UsageGuard::begin(self);
        let result = other.await;
        let may_have_run = match &result {
            Ok(_) => true,
            Err(other_failed) => failed.error.may_have_run() || other_failed.error.may_have_run(),
        };
        match guard {
            Some(guard) if !may_have_run => guard.discard(self),
            Some(_) => {}
            None if may_have_run => drop(UsageGuard::begin(self)),
            None => {}
        }
        let mut outcome = HedgedOutcome::of(result);
        outcome.failed.insert(0, failed);
        let winner = match outcome.answer {
            Some(_) => other_name,
            None => "none",
        };
        (outcome, winner)
    }

    fn report_hedge(&self, winner: &str, hedge: Begun<'_>) {
        let outcome = if winner == "second" { "won" } else { "lost" };
        self.edge.metrics.hedge(outcome);
        log::info!(
            "event=hedge_ended request={} winner={winner} second={} hedge_ms={} left_ms={}",
            self.id,
            hedge.replica,
            hedge.started.elapsed().as_millis(),
            self.left().as_millis()
        );
    }
}
