//! Statistics of one replica, as this edge observes them.

use super::attempts::REPLICA_FAULT_BACKOFF;
use super::load_report::LoadReport;
use super::response_time::ResponseTime;
use crate::clock::Moment;
use crate::link::LinkContext;
use brasspond_distance::Distance;
use brasspond_eligibility::Endpoint;
use brasspond_fleet::{FleetView, ReplicaInfo};
use std::time::Duration;

/// Response time assumed for a replica of which nothing is known, in ms.
pub(super) const DEFAULT_RESPONSE_MS: f64 = 20.0;
/// Utilization of a replica's slots, from 0 to 1, from which scoring calls wait, so that callers'
/// requests find free slots.
const MAX_SCORING_UTILIZATION: f64 = 0.67;
/// Age at which a reported load is considered stale.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(500);

/// What the last load report of a replica says.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    /// Requests of other edges.
    other_requests: u32,
    /// Current duration of work relative to the usual; `None` if the replica does not report it.
    slowdown: Option<f64>,
    reported_at: Moment,
}

/// Age at which what the leader shared about a replica is considered stale. The leader sends it
/// every second, so one message may be lost.
const SHARED_LOAD_TTL: Duration = Duration::from_secs(2);

/// What the leader shared about a replica that deviates from its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct SharedLoad {
    /// Mean response time in ms at all edges; `None` without answers.
    pub mean_ms: Option<f64>,
    /// Whether the replica fails at several edges.
    pub is_failing: bool,
    pub received_at: Moment,
}

/// Statistics of a replica. Response times, faults and pauses are those of its current life; the
/// numbers of requests may include requests of an earlier life.
#[derive(Clone, Debug)]
pub(super) struct ReplicaState {
    pub endpoint: Endpoint,
    pub distance: Distance,
    pub slots: u32,
    /// Requests that this edge has sent and that have not ended.
    pub in_flight: u32,
    /// Response times, normalised by the reported slowdowns.
    pub response: ResponseTime,
    /// Consecutive faults.
    faults: u32,
    paused_until: Option<Moment>,
    reported: ReportedLoad,
    /// What the leader shared last.
    pub shared: Option<SharedLoad>,
    /// When the replica's current life became known. Results of attempts that began earlier are
    /// ignored.
    pub known_since: Moment,
}

impl ReplicaState {
    pub fn new(info: &ReplicaInfo, view: &FleetView, links: &LinkContext, now: u64) -> Self {
        let known_since = Moment::now();
        Self {
            endpoint: Endpoint::new(info, view, now),
            distance: links.distance_to(&info.zone, info.region.as_deref()),
            slots: info.slots,
            in_flight: 0,
            response: ResponseTime::default(),
            faults: 0,
            paused_until: None,
            reported: ReportedLoad {
                other_requests: 0,
                slowdown: None,
                reported_at: known_since,
            },
            shared: None,
            known_since,
        }
    }

    /// Resets the statistics after a restart. Requests sent to the previous life are still counted
    /// in flight until they end.
    pub fn reset(&mut self, info: &ReplicaInfo, view: &FleetView, links: &LinkContext, now: u64) {
        let in_flight = self.in_flight;
        *self = Self::new(info, view, links, now);
        self.in_flight = in_flight;
    }

    /// The last load report, unless it is stale.
    fn current_report(&self, now: Moment) -> Option<&ReportedLoad> {
        let age = now.saturating_duration_since(self.reported.reported_at);
        (age < REPORTED_LOAD_TTL).then_some(&self.reported)
    }

    /// Number of requests at the replica: those of this edge, and those of other edges unless the
    /// load report is stale.
    pub fn requests(&self, now: Moment) -> u32 {
        let report = self.current_report(now);
        self.in_flight + report.map_or(0, |report| report.other_requests)
    }

    /// Current duration of work relative to the usual; 1 if the replica does not report it or the
    /// report is stale.
    pub fn slowdown(&self, now: Moment) -> f64 {
        let report = self.current_report(now);
        report.and_then(|report| report.slowdown).unwrap_or(1.0)
    }

    /// What the leader shared about the replica, unless it is stale.
    pub fn current_shared(&self, now: Moment) -> Option<&SharedLoad> {
        self.shared
            .as_ref()
            .filter(|shared| now.saturating_duration_since(shared.received_at) < SHARED_LOAD_TTL)
    }

    /// Whether the speed of the replica is known from its reports or from the leader.
    pub fn has_known_speed(&self, now: Moment) -> bool {
        self.reported.slowdown.is_some() || self.current_shared(now).is_some()
    }

    /// Whether the leader shared that the replica fails.
    pub fn is_failing(&self, now: Moment) -> bool {
        let shared = self.current_shared(now);
        shared.is_some_and(|shared| shared.is_failing)
    }

    /// Expected response time in ms of the idle replica. `typical_ms` is that of its service.
    /// `has_known_speeds` tells whether the speed of any replica of the service is known; if not,
    /// a replica that has not answered yet counts as fast, so that it is tried.
    pub fn idle_response_ms(
        &self,
        typical_ms: Option<f64>,
        has_known_speeds: bool,
        now: Moment,
    ) -> f64 {
        let shared_ms = self.current_shared(now).and_then(|shared| shared.mean_ms);
        let reference_ms = shared_ms.or(typical_ms);
        let response_ms = if has_known_speeds || self.response.mean_ms().is_some() {
            self.response.expected_ms(reference_ms, now)
        } else {
            None
        };
        response_ms.unwrap_or(DEFAULT_RESPONSE_MS) * self.slowdown(now)
    }

    pub fn is_paused(&self, now: Moment) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }

    /// Whether a scoring call may use a slot. `service_utilization` is that of the service's
    /// replicas; it counts while the replica's own report is stale.
    pub fn has_spare_capacity(&self, service_utilization: Option<f64>, now: Moment) -> bool {
        let slots = f64::from(self.slots.max(1));
        let mut requests = f64::from(self.requests(now));
        if self.current_report(now).is_none() {
            requests = requests.max(service_utilization.unwrap_or(0.0) * slots);
        }
        !self.is_paused(now) && requests < slots * MAX_SCORING_UTILIZATION
    }

    /// Estimated wait for a slot: the remaining pause or the average response time, whichever is
    /// longer. Assumes that all slots are in use.
    pub fn time_to_free_slot(&self, now: Moment) -> Duration {
        let pause = self
            .paused_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let response_ms = self.response.mean_ms().unwrap_or(DEFAULT_RESPONSE_MS);
        pause.max(Duration::from_secs_f64(response_ms / 1_000.0))
    }

    /// Records the response time of an attempt that began at `started`, divided by the slowdown
    /// that was reported since. Returns the recorded time in ms.
    pub fn record_response(&mut self, id: &str, started: Moment, time: Duration) -> f64 {
        let reported = &self.reported;
        let slowdown = reported
            .slowdown
            .filter(|_| reported.reported_at >= started)
            .unwrap_or(1.0);
        let time_ms = time.as_secs_f64() * 1_000.0 / slowdown;
        self.response.record(time_ms, Moment::now());
        if self.faults > 0 {
            log::info!(
                "event=replica_recovered replica={id} faults={}",
                self.faults
            );
        }
        self.faults = 0;
        self.paused_until = None;
        time_ms
    }

    pub fn record_fault(&mut self, id: &str, now: Moment) {
        let pause = REPLICA_FAULT_BACKOFF.pause(self.faults);
        self.faults += 1;
        self.paused_until = Some(now + pause);
        log::info!(
            "event=replica_paused replica={id} faults={} pause_ms={}",
            self.faults,
            pause.as_millis()
        );
    }

    pub fn record_load(&mut self, report: &LoadReport, now: Moment) {
        self.reported = ReportedLoad {
            other_requests: report.requests().saturating_sub(self.in_flight),
            slowdown: report.slowdown(),
            reported_at: now,
        };
    }
}

/// Expected response time of a replica in ms. `response_ms` is that of an idle replica, `requests`
/// the number of its requests, `slots` its concurrency, and `network_ms` the network cost.
///
/// Formula: `response_ms * (1 + requests / slots) + network_ms`. The response time already contains
/// a round trip; the network cost is added on top to prefer near replicas.
pub(super) fn expected_response_ms(
    response_ms: f64,
    requests: u32,
    slots: u32,
    network_ms: f64,
) -> f64 {
    let rounds = 1.0 + f64::from(requests) / f64::from(slots.max(1));
    response_ms * rounds + network_ms
}
