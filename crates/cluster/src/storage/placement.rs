//! Where the voters of the log may and should be placed, as a pure cost function of a set of
//! voters.
//!
//! A location is a zone and a region. Residency rules decide where a member may be; the losses
//! to tolerate and the commit region decide where it should be. If members are restricted to
//! regions, a member whose region is unknown counts as outside them.

use super::plan::Candidate;
use brasspond_consensus::{Member, MemberId};
use brasspond_fleet::Regions;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Losses that the group must tolerate without losing its quorum. Only losses of one kind occur at
/// a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Number of machines, with their disks.
    pub machines: usize,
    /// Number of zones, with all their machines.
    pub zones: usize,
    /// Number of regions, with all their machines.
    pub regions: usize,
}

impl FaultTolerance {
    /// Smallest number of voters that keeps a majority after these losses.
    pub fn required_voters(self) -> usize {
        2 * self.machines.max(self.zones).max(self.regions) + 1
    }
}

/// Requirements on the placement.
#[derive(Clone, Debug)]
pub struct PlacementRequirements {
    /// Losses to tolerate.
    pub tolerance: FaultTolerance,
    /// Regions that are allowed for all data restricted to regions.
    pub regions: Regions,
    /// The log stores bodies of jobs that are restricted to regions.
    pub stores_restricted_bodies: bool,
}

/// Distance of a set of voters from the preferred placement; lower is better. Fields are compared
/// in order: residency first, then tolerated losses, then the commit region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlacementCost {
    /// Number of voters outside the allowed regions.
    pub outside_allowed: usize,
    /// Number of voters lost in the worst loss of regions that must be tolerated, in excess of the
    /// number that the group can lose and keep its majority.
    pub excess_in_regions: usize,
    /// The same excess for the worst loss of zones that must be tolerated.
    pub excess_in_zones: usize,
    /// Number of voters outside the commit region.
    pub outside_commit_region: usize,
}

/// Where members may and should be.
#[derive(Clone, Debug)]
pub struct Placement {
    tolerance: FaultTolerance,
    /// Members must be inside these regions.
    member_regions: Regions,
    /// Region that should hold a quorum, so that entries commit without a round trip between
    /// regions. `None` if no region has enough machines, or if the loss of a region must be
    /// tolerated.
    commit_region: Option<Arc<str>>,
}

impl Placement {
    /// Computes the placement for a group of these voters and candidates, led by `leader`.
    ///
    /// Members are restricted to `requirements.regions` if the log stores bodies of jobs that are
    /// restricted to regions, or if these regions have enough machines.
    pub fn new(
        requirements: &PlacementRequirements,
        leader: MemberId,
        voters: &[Member],
        candidates: &[Candidate],
        retiring: &BTreeSet<String>,
    ) -> Self {
        let known = candidates.iter().map(|candidate| &candidate.member);
        let known: Vec<&Member> = known
            .chain(voters)
            .filter(|member| !retiring.contains(&member.machine))
            .collect();
        let target = requirements.tolerance.required_voters();
        let inside = known
            .iter()
            .filter(|member| requirements.regions.allows(member.region.as_deref()));
        let inside: BTreeSet<&str> = inside.map(|member| member.machine.as_str()).collect();
        let is_restricted = requirements.stores_restricted_bodies || inside.len() >= target;
        let member_regions = if is_restricted {
            requirements.regions.clone()
        } else {
            Regions::Any
        };
        let commit_region = (requirements.tolerance.regions == 0)
            .then(|| choose_commit_region(&member_regions, target, leader, voters, &known))
            .flatten();
        Self {
            tolerance: requirements.tolerance,
            member_regions,
            commit_region,
        }
    }

    /// Whether the residency rules allow a member at its location.
    pub fn allows(&self, member: &Member) -> bool {
        self.member_regions.allows(member.region.as_deref())
    }

    /// Whether a member's location is allowed and inside the commit region.
    pub fn is_preferred(&self, member: &Member) -> bool {
        self.allows(member) && !self.is_outside_commit_region(member)
    }

    /// Whether members are restricted to certain regions.
    pub fn is_restricted(&self) -> bool {
        self.member_regions.is_bound()
    }

    /// Returns the commit region, if there is one.
    pub fn commit_region(&self) -> Option<&str> {
        self.commit_region.as_deref()
    }

    /// Returns the cost of a set of voters.
    pub fn cost<'a>(&self, voters: impl Iterator<Item = &'a Member>) -> PlacementCost {
        let voters: Vec<&Member> = voters.collect();
        let max_losses = voters.len().saturating_sub(1) / 2;
        let zones = voters.iter().map(|voter| voter.zone.as_str());
        let regions = voters.iter().map(|voter| voter.region.as_deref());
        PlacementCost {
            outside_allowed: voters.iter().filter(|voter| !self.allows(voter)).count(),
            excess_in_regions: members_at_fullest(regions, self.tolerance.regions)
                .saturating_sub(max_losses),
            excess_in_zones: members_at_fullest(zones, self.tolerance.zones)
                .saturating_sub(max_losses),
            outside_commit_region: voters
                .iter()
                .filter(|voter| self.is_outside_commit_region(voter))
                .count(),
        }
    }

    fn is_outside_commit_region(&self, member: &Member) -> bool {
        let region = self.commit_region.as_deref();
        region.is_some_and(|region| member.region.as_deref() != Some(region))
    }
}

/// Returns the number of members at the `count` locations with most members.
fn members_at_fullest<T: Ord>(locations: impl Iterator<Item = T>, count: usize) -> usize {
    let mut members: BTreeMap<T, usize> = BTreeMap::new();
    for location in locations {
        *members.entry(location).or_default() += 1;
    }
    let mut counts: Vec<usize> = members.into_values().collect();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    counts.into_iter().take(count).sum()
}

/// Chooses the commit region among the regions with enough machines: the one with most voters, so
/// that the group does not move needlessly, then the leader's region, then the first by name. A
/// region with a quorum of the voters counts as large enough, even if fewer than `target` of its
/// machines are known.
fn choose_commit_region(
    member_regions: &Regions,
    target: usize,
    leader: MemberId,
    voters: &[Member],
    known: &[&Member],
) -> Option<Arc<str>> {
    let mut machines: BTreeMap<&Arc<str>, BTreeSet<&str>> = BTreeMap::new();
    for member in known {
        if let Some(region) = &member.region
            && member_regions.allows(Some(region))
        {
            let machines = machines.entry(region).or_default();
            machines.insert(&member.machine);
        }
    }
    let voters_in = |region: &Arc<str>| {
        let in_region = voters
            .iter()
            .filter(|one| one.region.as_ref() == Some(region));
        in_region.count()
    };
    let quorum = target / 2 + 1;
    let large = machines
        .into_iter()
        .filter(|(region, machines)| machines.len() >= target || voters_in(region) >= quorum);
    let best = large.max_by_key(|(region, _)| {
        let leader_member = voters.iter().find(|voter| voter.id == leader);
        let is_leaders_region =
            leader_member.is_some_and(|member| member.region.as_ref() == Some(region));
        let by_name = std::cmp::Reverse((*region).clone());
        (voters_in(region), is_leaders_region, by_name)
    });
    best.map(|(region, _)| Arc::clone(region))
}
