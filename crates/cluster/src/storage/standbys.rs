//! Which members that do not vote are sent the log: a pure decision.

use super::places::{Places, Strain};
use brasspond_consensus::Member;
use std::collections::BTreeSet;

/// Members that are sent the log without a vote, at the least: one to take a lost voter's
/// place at once, and others for the losses that follow while the next catches up. Not measured.
const LEAST_STANDBYS: usize = 3;

/// A member that does not vote.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Who it is.
    pub member: Member,
    /// Its machine votes under another identity: it lost its disk.
    pub is_returned: bool,
    /// Its machine is to be emptied.
    pub is_retiring: bool,
    /// It is sent the log already.
    pub is_learner: bool,
}

/// Those of `waiting` that are sent the log, in this order:
///
/// 1. Those whose machines lost their disks.
/// 2. One to replace a voter that is lost or out of place.
/// 3. One in each region without a member at which results may be read, where one waits in a
///    zone with edges (`edge_zones`). One a region, not one a zone: a copy of the log costs more
///    bytes between zones than the results that a zone's edges read from the next zone.
/// 4. More, up to [`LEAST_STANDBYS`] beside the first kind.
///
/// None stands outside the regions that bind, except for a machine that returned without its
/// disk: its old identity votes, and a group that cannot replace it loses a vote for good.
pub fn standbys(
    waiting: Vec<Waiting>,
    voters: &[Member],
    edge_zones: &BTreeSet<String>,
    places: &Places,
) -> Vec<Member> {
    let mut left = waiting;
    left.retain(|one| one.is_returned || places.allow(&one.member));
    let strain = places.strain(voters.iter());
    left.sort_by_cached_key(|one| {
        let strain = strain_with(&one.member, voters, strain, places);
        let voters = voters.iter();
        let in_zone = voters.filter(|voter| voter.zone == one.member.zone);
        (
            one.is_retiring,
            strain,
            !places.is_in_place(&one.member),
            in_zone.count(),
            !one.is_learner,
            one.member.id,
        )
    });
    let (returned, left): (Vec<_>, Vec<_>) = left.into_iter().partition(|one| one.is_returned);
    let mut chosen: Vec<Member> = returned.into_iter().map(|one| one.member).collect();
    let returned = chosen.len();
    let mut left: Vec<Member> = left.into_iter().map(|one| one.member).collect();
    chosen.extend((!left.is_empty()).then(|| left.remove(0)));
    for zone in edge_zones {
        let Some(there) = left.iter().position(|member| member.zone == *zone) else {
            continue;
        };
        let mut holders = voters.iter().chain(&chosen);
        if !holders.any(|member| is_near(member, &left[there])) {
            chosen.push(left.remove(there));
        }
    }
    let missing = (returned + LEAST_STANDBYS).saturating_sub(chosen.len());
    chosen.extend(left.into_iter().take(missing));
    chosen
}

/// Whether edges beside one may read at the other: in one region, or in one zone where regions
/// are unknown.
fn is_near(member: &Member, other: &Member) -> bool {
    match (&member.region, &other.region) {
        (Some(region), Some(other)) => region == other,
        _ => member.zone == other.zone,
    }
}

/// The least strain of the voters with this member in the place of one of them. `strain` is
/// theirs now; where it is none, no swap is tried.
fn strain_with(member: &Member, voters: &[Member], strain: Strain, places: &Places) -> Strain {
    if strain == Strain::default() {
        return strain;
    }
    let swaps = voters.iter().map(|gone| {
        let rest = voters.iter().filter(|voter| voter.id != gone.id);
        places.strain(rest.chain([member]))
    });
    swaps.min().unwrap_or(strain)
}
