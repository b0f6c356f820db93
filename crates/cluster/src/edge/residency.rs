//! Data residency: rejects requests whose data would leave its allowed regions, before their bodies
//! are read.

use super::front::request_id;
use super::process::Edge;
use super::responses::Body;
use super::retry_after::Missing;
use brasspond_cluster_protocol::EncodedSubmission;
use brasspond_dispatch::residency::scored_regions;
use brasspond_fleet::{Regions, Route};
use hyper::Response;
use hyper::http::request::Parts;

/// Why a request is rejected because of the regions of its data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RegionRefusal {
    /// Route and tenant have no region in common.
    NoRegionShared,
    /// Members of the log are in other regions.
    Members,
    /// The members of the log are not known yet.
    MembersUnknown,
}

impl RegionRefusal {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRegionShared => "no_region_shared",
            Self::Members => "members_outside_regions",
            Self::MembersUnknown => "members_unknown",
        }
    }

    /// The resource that the request needs, which determines `Retry-After`.
    fn missing(self) -> Missing<'static> {
        match self {
            Self::NoRegionShared => Missing::Regions,
            Self::Members => Missing::Members,
            Self::MembersUnknown => Missing::Leader,
        }
    }
}

/// Checks the regions allowed for a request's data. `may_store` is the result of
/// `StorageLinks::may_store` for a job, else `Some(true)`.
///
/// # Errors
/// Why the request is rejected.
pub(super) fn check(regions: &Regions, may_store: Option<bool>) -> Result<(), RegionRefusal> {
    if regions.is_empty() {
        return Err(RegionRefusal::NoRegionShared);
    }
    match may_store {
        Some(true) => Ok(()),
        Some(false) => Err(RegionRefusal::Members),
        None => Err(RegionRefusal::MembersUnknown),
    }
}

impl Edge {
    /// Checks the regions of a request before its body is read.
    ///
    /// # Errors
    /// The response that rejects the request.
    pub(super) fn check_regions(
        &self,
        head: &Parts,
        route: &Route,
        regions: &Regions,
    ) -> Result<(), Box<Response<Body>>> {
        let may_store = if route.kind.is_job() {
            self.storage.borrow().may_store(regions)
        } else {
            Some(true)
        };
        check(regions, may_store).map_err(|refusal| {
            let id = request_id(self, head);
            Box::new(self.refuse_for_regions(&id, route, refusal))
        })
    }

    /// Checks the regions of a job and of the scoring calls in it against the current members.
    ///
    /// # Errors
    /// Why the job is rejected.
    pub(super) fn check_submission(
        &self,
        route: &Route,
        submission: &EncodedSubmission,
    ) -> Result<(), RegionRefusal> {
        let Some(configuration) = self.fleet.view.borrow().configuration.clone() else {
            return Ok(());
        };
        let tenant = submission.tenant();
        let endpoints = submission.scoring_endpoints();
        let regions = scored_regions(&configuration, route, tenant, endpoints);
        let may_store = self.storage.borrow().may_store(&regions);
        check(&regions, may_store)
    }

    /// Logs the refusal and builds the response.
    pub(super) fn refuse_for_regions(
        &self,
        id: &str,
        route: &Route,
        refusal: RegionRefusal,
    ) -> Response<Body> {
        let configuration = self.fleet.view.borrow().configuration_revision;
        log::info!(
            "event=request_refused request={id} route={} reason={} configuration={configuration}",
            route.name,
            refusal.name()
        );
        self.metrics.request(&route.name, refusal.name(), 0.0);
        self.reject(refusal.missing(), route.priority)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/residency.rs"]
mod tests;
