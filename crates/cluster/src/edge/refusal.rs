//! The response to a caller whose request no replica completed.
//!
//! The response contains `Retry-After` only if no replica can have run the request.

use super::attempt_error::{AttemptError, FullResponse};
use super::forward::ForwardedRequest;
use super::responses::{Body, forwarded_response, full_body, unknown_outcome};
use super::retry_after::Missing;
use brasspond_eligibility::Ineligible;
use hyper::{Response, StatusCode};

/// Failed attempts of a request.
#[derive(Default)]
pub(super) struct AttemptHistory {
    /// Replicas of the attempts, in order.
    pub tried: Vec<String>,
    pub attempts: u32,
    /// Number of attempts that may have reached a replica.
    pub delivered: u32,
    pub may_have_run: bool,
    /// Why no replica was eligible; `None` if a replica was eligible or no replica is known.
    pub reason: Option<Ineligible>,
    /// Newest error response of a replica.
    last_response: Option<Box<FullResponse>>,
}

impl AttemptHistory {
    /// Records a failed attempt.
    pub fn record(&mut self, replica: String, error: AttemptError) {
        self.delivered += u32::from(error.reached_replica());
        self.may_have_run |= error.may_have_run();
        if let AttemptError::ErrorResponse(response) = error {
            self.last_response = Some(response);
        }
        self.tried.push(replica);
    }

    /// Records an attempt that was cancelled after it may have reached its replica.
    pub fn record_cancelled(&mut self, replica: String) {
        self.delivered += 1;
        self.may_have_run = true;
        self.tried.push(replica);
    }

    /// Name of the outcome for metrics.
    fn outcome(&self) -> &'static str {
        if self.may_have_run {
            return "failed";
        }
        match self.reason {
            Some(Ineligible::Quarantined) => "quarantined",
            Some(
                reason @ (Ineligible::Evacuated
                | Ineligible::EvacuationsUnknown
                | Ineligible::OutsideRegions),
            ) => reason.name(),
            _ => "refused",
        }
    }
}

impl ForwardedRequest {
    /// Builds the response to a request whose attempts all failed.
    pub(super) fn refuse(&self, mut history: AttemptHistory) -> Response<Body> {
        self.log_refusal(&history);
        let elapsed = self.elapsed().as_secs_f64();
        let metrics = &self.edge.metrics;
        metrics.request(&self.route.name, history.outcome(), elapsed);
        if history.delivered == 0 {
            metrics.unoffered(self.elapsed().as_secs_f64());
        }
        if let Some(response) = history.last_response.take() {
            let (status, headers, body) = *response;
            return forwarded_response(status, &headers, full_body(body));
        }
        if history.may_have_run && self.left().is_zero() {
            return unknown_outcome(StatusCode::GATEWAY_TIMEOUT);
        }
        if history.may_have_run {
            return unknown_outcome(StatusCode::BAD_GATEWAY);
        }
        let missing = match history.reason {
            Some(Ineligible::Quarantined) => Missing::Release,
            Some(Ineligible::Evacuated) => Missing::Zone,
            Some(Ineligible::EvacuationsUnknown) => Missing::Configuration,
            Some(Ineligible::OutsideRegions) => Missing::Regions,
            _ => Missing::Replica(self.requirements()),
        };
        self.edge.reject(missing, self.priority())
    }

    fn log_refusal(&self, history: &AttemptHistory) {
        let view = self.edge.fleet.view.borrow();
        let ready = view.replicas_taking_work(self.service()).count();
        log::info!(
            "event=request_failed request={} route={} service={} content={} attempts={} offers={} quarantined={} unfit={} may_have_run={} late={} ready_replicas={ready} elapsed_ms={} configuration={} replicas_revision={}",
            self.id,
            self.route.name,
            self.service(),
            self.fingerprint(),
            history.attempts,
            history.delivered,
            history.reason == Some(Ineligible::Quarantined),
            history.reason.map_or("", Ineligible::name),
            history.may_have_run,
            self.left().is_zero(),
            self.elapsed().as_millis(),
            view.configuration_revision,
            view.replicas_revision
        );
    }
}
