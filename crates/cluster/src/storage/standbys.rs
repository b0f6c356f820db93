//! Decides which non-voting processes receive the log (standbys). The decision is pure.
//!
//! Standbys are chosen in this order:
//!
//! 1. All processes whose machines lost their disks.
//! 2. One that can replace a voter that is lost or misplaced.
//! 3. One in each region that has edges but no member to read results from, if a process is waiting
//!    in a zone with edges. One per region is enough: a copy of the log in each zone would cost more
//!    traffic between zones than reading results from another zone.
//! 4. Further ones, up to [`MIN_STANDBYS`] besides those of the first kind.
//!
//! No standby is outside the allowed regions, except for a machine that returned without its disk:
//! its old member id still votes, and a group that cannot replace it loses a vote permanently.

use super::placement::{Placement, PlacementCost};
use brasspond_consensus::Member;
use std::collections::BTreeSet;

/// Minimum number of standbys: one to replace a lost voter at once, and others for further losses
/// while the next standby catches up.
const MIN_STANDBYS: usize = 3;

/// A process that does not vote and may become a standby.
#[derive(Clone, Debug)]
pub struct StandbyCandidate {
    /// Id, address and location of the process.
    pub member: Member,
    /// Whether its machine lost its disk and still votes under an earlier member id.
    pub is_returned: bool,
    /// Whether its machine is being retired.
    pub is_retiring: bool,
    /// Whether it already receives the log.
    pub is_learner: bool,
}

/// Chooses the standbys among `waiting`, in the order given in the module documentation.
/// `edge_zones` are the zones with connected edges.
pub fn choose_standbys(
    waiting: Vec<StandbyCandidate>,
    voters: &[Member],
    edge_zones: &BTreeSet<String>,
    placement: &Placement,
) -> Vec<Member> {
    let mut remaining = waiting;
    remaining.retain(|one| one.is_returned || placement.allows(&one.member));
    let cost = placement.cost(voters.iter());
    remaining.sort_by_cached_key(|one| {
        let cost = min_swap_cost(&one.member, voters, cost, placement);
        let voters = voters.iter();
        let in_zone = voters.filter(|voter| voter.zone == one.member.zone);
        (
            one.is_retiring,
            cost,
            !placement.is_preferred(&one.member),
            in_zone.count(),
            !one.is_learner,
            one.member.id,
        )
    });
    let (returned, remaining): (Vec<_>, Vec<_>) =
        remaining.into_iter().partition(|one| one.is_returned);
    let mut chosen: Vec<Member> = returned.into_iter().map(|one| one.member).collect();
    let returned = chosen.len();
    let mut remaining: Vec<Member> = remaining.into_iter().map(|one| one.member).collect();
    chosen.extend((!remaining.is_empty()).then(|| remaining.remove(0)));
    for zone in edge_zones {
        let Some(index) = remaining.iter().position(|member| member.zone == *zone) else {
            continue;
        };
        let mut holders = voters.iter().chain(&chosen);
        if !holders.any(|member| is_near(member, &remaining[index])) {
            chosen.push(remaining.remove(index));
        }
    }
    let missing = (returned + MIN_STANDBYS).saturating_sub(chosen.len());
    chosen.extend(remaining.into_iter().take(missing));
    chosen
}

/// Whether edges near one member may read from the other: the regions are the same, or the zones if
/// a region is unknown.
fn is_near(member: &Member, other: &Member) -> bool {
    match (&member.region, &other.region) {
        (Some(region), Some(other)) => region == other,
        _ => member.zone == other.zone,
    }
}

/// Lowest cost of the voters with one of them replaced by this member. `cost` is their current
/// cost; if it is zero, no swap is tried.
fn min_swap_cost(
    member: &Member,
    voters: &[Member],
    cost: PlacementCost,
    placement: &Placement,
) -> PlacementCost {
    if cost == PlacementCost::default() {
        return cost;
    }
    let swaps = voters.iter().map(|removed| {
        let rest = voters.iter().filter(|voter| voter.id != removed.id);
        placement.cost(rest.chain([member]))
    });
    swaps.min().unwrap_or(cost)
}
