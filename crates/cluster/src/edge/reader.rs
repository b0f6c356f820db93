//! Chooses the storage process at which an edge reads results.
//!
//! Reads go to the nearest process, so that texts cross zones and regions only with replication
//! of the log. Edges with several equally near processes are spread over them. If the chosen
//! process cannot answer, the edge asks the leader.

use crate::link::LinkContext;
use brasspond_cluster_protocol::Peer;
use brasspond_consensus::Member;
use brasspond_distance::Distance;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Chooses a member or standby. Returns `None` if there is none in this region; the leader is then
/// asked.
pub(super) fn choose<'a>(
    links: &LinkContext,
    own: &Peer,
    members: &'a [Member],
    standbys: &'a [Member],
) -> Option<&'a Member> {
    let all = members.iter().chain(standbys);
    let candidates = all.map(|member| {
        let distance = links.distance_to(&member.zone, member.region.as_deref());
        (distance, affinity(own, member), member)
    });
    let near = candidates.filter(|(distance, ..)| *distance < Distance::OtherRegion);
    let nearest = near.min_by_key(|(distance, affinity, member)| (*distance, *affinity, member.id));
    nearest.map(|(_, _, member)| member)
}

/// Hash of an edge and a member. It is the same on each call, and spreads edges over equally near
/// members.
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
