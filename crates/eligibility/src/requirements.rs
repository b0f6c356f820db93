//! What a request requires of a replica, and the reasons why a replica is ineligible.

use brasspond_fleet::Regions;
use brasspond_units::Millis;
use brasspond_warmup::Permit;

/// What a request requires of the replica that serves it.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Name of the service that the request is for.
    pub service: &'a str,
    /// Regions where the request may be served, which both its route and its tenant allow.
    pub regions: &'a Regions,
    /// Weights that may serve the request; `None` if all weights may.
    pub weights: Option<VersionConstraint<'a>>,
    /// Whether the content of the request is quarantined.
    pub is_quarantined: bool,
    /// Current time in ms, by the clock of the process that makes the check.
    pub now: Millis,
    /// Permit from the leader for one replica that is warming up, if the request has one.
    pub permit: Option<&'a Permit>,
}

/// Versions of the weights that may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionConstraint<'a> {
    /// Name of the model; empty if every model may serve the request.
    pub model: &'a str,
    /// Oldest version allowed.
    pub min: u64,
    /// The only version allowed, if the request continues a text that this version began; `None`
    /// if there is no such restriction.
    pub exact: Option<u64>,
}

impl VersionConstraint<'_> {
    /// Whether the constraint excludes no replica. A constraint without a model excludes none, and
    /// neither does one without a version, even for replicas that do not serve the model.
    pub(crate) fn allows_any(&self) -> bool {
        self.model.is_empty() || (self.min == 0 && self.exact.is_none())
    }

    /// Whether a version of the model satisfies the constraint.
    pub(crate) fn allows(&self, version: u64) -> bool {
        version >= self.min && self.exact.is_none_or(|exact| version == exact)
    }
}

/// Reason why a replica is ineligible for a request. The variants are in the order of the checks,
/// so a replica that fails with a later variant is closer to being eligible.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ineligible {
    /// The content of the request is quarantined.
    Quarantined,
    /// The replica belongs to another service, or its service is not configured.
    OtherService,
    /// The request may not be served in the region of the replica.
    OutsideRegions,
    /// The replica is draining or gone.
    Draining,
    /// This process does not know the evacuated zones yet.
    EvacuationsUnknown,
    /// The zone of the replica is evacuated.
    Evacuated,
    /// The replica does not serve weights that the request allows.
    OtherWeights,
    /// The replica is warming up, and neither its budget nor a permit allows the request.
    WarmingUp,
}

impl Ineligible {
    /// Returns the name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Quarantined => "held",
            Self::OtherService => "other_service",
            Self::Draining => "draining",
            Self::EvacuationsUnknown => "zone_unknown",
            Self::Evacuated => "evacuated",
            Self::OutsideRegions => "outside_regions",
            Self::OtherWeights => "other_weights",
            Self::WarmingUp => "warming_up",
        }
    }
}
