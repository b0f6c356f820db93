//! Rendezvous hashing: assignment of engines, steps and shards to nodes.
//!
//! Source: Thaler and Ravishankar, *Using Name-Based Mappings to Increase Hit
//! Rates*, 1998. When a node leaves, the order of the other nodes does not change.

use brasspond_membership::Member;
use brasspond_types::{NodeName, ZoneName, stable_hash};
use std::collections::{BTreeMap, BTreeSet};

fn score(key: &str, node: &NodeName) -> u64 {
    stable_hash(&[key.as_bytes(), node.as_str().as_bytes()])
}

/// The `count` highest-ranked nodes for `key`, best first. Nodes in `zone`, if given, rank first.
pub fn rank<'a>(
    key: &str,
    zone: Option<&ZoneName>,
    members: &[&'a Member],
    count: usize,
) -> Vec<&'a Member> {
    let mut scored: Vec<(bool, u64, &Member)> = members
        .iter()
        .map(|member| {
            let in_zone = zone.is_some_and(|zone| *zone == member.locality.zone);
            (in_zone, score(key, &member.name), *member)
        })
        .collect();
    let order = |left: &(bool, u64, &Member), right: &(bool, u64, &Member)| {
        (right.0, right.1, &right.2.name).cmp(&(left.0, left.1, &left.2.name))
    };
    if count == 1 {
        let best = scored.into_iter().min_by(order);
        return best.into_iter().map(|(_, _, member)| member).collect();
    }
    scored.sort_by(order);
    let best = scored.into_iter().take(count);
    best.map(|(_, _, member)| member).collect()
}

/// Up to `count` nodes for `key`: the highest-ranked node of each zone, best first. If there are
/// too few zones, the highest-ranked other nodes follow.
pub fn rank_distinct_zones<'a>(key: &str, members: &[&'a Member], count: usize) -> Vec<&'a Member> {
    let ranked = rank(key, None, members, members.len());
    let mut zones = BTreeSet::new();
    let mut chosen: Vec<&Member> = Vec::new();
    let mut others = Vec::new();
    for member in ranked {
        if chosen.len() < count && zones.insert(&member.locality.zone) {
            chosen.push(member);
        } else {
            others.push(member);
        }
    }
    let missing = count.saturating_sub(chosen.len());
    chosen.extend(others.into_iter().take(missing));
    chosen
}

/// Assigns `keys` to `members` so that the number of keys per member differs by
/// at most one: rendezvous hashing with bounded loads (after Mirrokni, Thorup
/// and Zadimoghaddam, *Consistent Hashing with Bounded Loads*, 2018). The result
/// depends only on the keys and members.
///
/// Computes `keys * members` hashes, so callers should assign each zone's keys separately.
pub fn assign_evenly(keys: &[&str], members: &[&Member]) -> BTreeMap<String, NodeName> {
    let mut assigned = BTreeMap::new();
    if members.is_empty() {
        return assigned;
    }
    let base_load = keys.len() / members.len();
    let mut order: Vec<(u64, &str)> = keys
        .iter()
        .map(|key| (stable_hash(&[key.as_bytes()]), *key))
        .collect();
    order.sort_unstable();
    let mut loads = vec![0usize; members.len()];
    for (position, (_, key)) in order.into_iter().enumerate() {
        let is_remainder = position >= base_load * members.len();
        let bound = base_load + usize::from(is_remainder);
        let available = (0..members.len()).filter(|index| loads[*index] < bound);
        let best = available.max_by_key(|index| (score(key, &members[*index].name), *index));
        if let Some(best) = best {
            loads[best] += 1;
            assigned.insert(key.to_owned(), members[best].name.clone());
        }
    }
    assigned
}
