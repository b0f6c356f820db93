//! Computes the `Retry-After` of rejected requests.
//!
//! The pause is the expected time until the missing resource is available, for example a leader, a
//! configuration or a free slot of a replica. Jitter of up to half the pause spreads the retries,
//! and requests of high priority get less of it.

use super::process::Edge;
use super::responses::{Body, unavailable};
use crate::clock::Moment;
use brasspond_eligibility::Requirements;
use brasspond_quarantine::FIRST_QUARANTINE_MS;
use hyper::Response;
use std::time::Duration;

/// Expected time until an edge without a current configuration receives one from the leader.
const CONFIGURATION_TIME: Duration = Duration::from_millis(300);
/// Expected time from the loss of a leader until the next one is announced: the election timeout
/// of 0.6 to 0.8 s, the election and the announcement to edges.
const ELECTION_TIME: Duration = Duration::from_millis(1_200);
/// Pause before a caller tries another edge, in case this one is isolated from the log's members.
const OTHER_EDGE_TIME: Duration = Duration::from_millis(200);
/// Expected time until the view shows an eligible replica for a request that has none.
const NO_REPLICA_TIME: Duration = Duration::from_millis(500);
/// Pause for quarantined content: the duration of its first quarantine.
const QUARANTINE_TIME: Duration = Duration::from_millis(FIRST_QUARANTINE_MS);
/// Pause while all zones of a service are evacuated. Every edge learns of the end of an evacuation
/// within this time.
const EVACUATED_TIME: Duration = Duration::from_millis(1_000);
/// Expected time until the log's members are in the regions to which a job's data is restricted.
/// Each member is replaced within a few tenths of a second once its successor has the log.
const MEMBERS_TIME: Duration = Duration::from_millis(2_000);
/// Pause while the allowed regions have no replica, or route and tenant share no region. This
/// takes a new machine or a new configuration to resolve.
const REGIONS_TIME: Duration = Duration::from_millis(5_000);
/// Expected time until the bodies of other requests leave room for another one.
const BODY_ROOM_TIME: Duration = Duration::from_millis(500);
/// Pause while the jobs in progress leave no memory for a large one. Jobs end every few seconds.
const JOB_MEMORY_TIME: Duration = Duration::from_millis(2_000);
/// Minimum pause.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Maximum jitter as a fraction of the pause.
const MAX_JITTER: f64 = 0.5;
/// Lowest priority that is distinguished; lower ones get the same jitter. 0 is the highest.
const LOWEST_PRIORITY: u32 = 9;

/// The resource that a rejected request needs.
#[derive(Clone, Copy, Debug)]
pub(super) enum Missing<'a> {
    /// A current configuration, or the list of evacuated zones, which arrives with it.
    Configuration,
    /// A leader.
    Leader,
    /// An answer from the log's members, which another edge may be able to reach.
    Answer,
    /// An eligible replica.
    Replica(Requirements<'a>),
    /// A replica in a zone that is not evacuated.
    Zone,
    /// A replica in an allowed region.
    Regions,
    /// Members of the log that may store the job's data.
    Members,
    /// Memory for the request's body.
    Memory,
    /// Memory for a job at the storage processes.
    JobMemory,
    /// The release of the request's content from quarantine.
    Release,
}

impl Edge {
    /// Rejects a request that has not run or may safely be sent again, with a `Retry-After` header.
    pub(super) fn reject(&self, missing: Missing<'_>, priority: u32) -> Response<Body> {
        let expected = match missing {
            Missing::Configuration => CONFIGURATION_TIME,
            Missing::Leader => {
                let leaderless_ms = self
                    .storage
                    .borrow_mut()
                    .contact
                    .measure_leaderless(self.clock.now());
                ELECTION_TIME.saturating_sub(Duration::from_millis(leaderless_ms))
            }
            Missing::Answer => OTHER_EDGE_TIME,
            Missing::Zone => EVACUATED_TIME,
            Missing::Regions => REGIONS_TIME,
            Missing::Members => MEMBERS_TIME,
            Missing::Memory => BODY_ROOM_TIME,
            Missing::JobMemory => JOB_MEMORY_TIME,
            Missing::Release => QUARANTINE_TIME,
            Missing::Replica(requirements) => {
                let now = Moment::now();
                let balancer = self.balancer.borrow();
                let free_in = balancer.time_to_free_slot(&requirements, now);
                let backlog_time = balancer.backlog_time(&requirements, now);
                free_in.map_or(NO_REPLICA_TIME, |free_in| free_in.max(backlog_time))
            }
        };
        unavailable(with_jitter(
            expected.max(MIN_RETRY_AFTER),
            priority,
            rand::random(),
        ))
    }
}

/// Lengthens a pause by up to [`MAX_JITTER`]. Half of the jitter depends on the priority (0 is the
/// highest), the other half on `random`, a number from 0 to 1.
fn with_jitter(expected: Duration, priority: u32, random: f64) -> Duration {
    let priority = f64::from(priority.min(LOWEST_PRIORITY)) / f64::from(LOWEST_PRIORITY);
    expected.mul_f64(1.0 + MAX_JITTER * (priority + random) / 2.0)
}

#[cfg(test)]
#[path = "../../tests/unit/retry_after.rs"]
mod tests;
