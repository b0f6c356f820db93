//! Which storage process an edge reads results at: a pure choice.
//!
//! The nearest one, so that texts pass between zones and regions with the log, once a
//! member, and not once a reader. Edges that have several equally near are spread over
//! them. The chosen one says itself whether it may answer; else the leader is asked.

use crate::link::LinkContext;
use brasspond_cluster_protocol::Peer;
use brasspond_consensus::Member;
use brasspond_distance::Distance;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The member or standby to read at; none: none in this region is known, and the leader is
/// as near as any other.
pub(super) fn choose<'a>(
    links: &LinkContext,
    own: &Peer,
    members: &'a [Member],
    standbys: &'a [Member],
) -> Option<&'a Member> {
    let all = members.iter().chain(standbys);
    let placed = all.map(|member| {
        let distance = links.distance_to(&member.zone, member.region.as_deref());
        (distance, affinity(own, member), member)
    });
    let near = placed.filter(|(distance, ..)| *distance < Distance::OtherRegion);
    let nearest = near.min_by_key(|(distance, affinity, member)| (*distance, *affinity, member.id));
    nearest.map(|(_, _, member)| member)
}

/// A number by which edges differ in whom they take of equals, the same each time.
fn affinity(own: &Peer, member: &Member) -> u64 {
    let mut hasher = DefaultHasher::new();
    if let Peer::Edge { machine, .. } = own {
        machine.hash(&mut hasher);
    }
    member.machine.hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
#[path = "../../tests/unit/reader.rs"]
mod tests;
