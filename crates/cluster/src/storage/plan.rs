//! Decides the next change of the log's voters, and when a leader transfers its leadership. The
//! decisions are pure.
//!
//! Times are in ms. A process is alive up to `ALIVE_TIMEOUT` after its last response and dead from
//! `DEAD_TIMEOUT` on. In between it is neither: it counts towards the target number of voters, but
//! not towards the quorum that a removal requires. A process with an unknown time of its last
//! response is not alive, and is dead if it is a voter. A process with an unknown lag is not caught
//! up.
//!
//! Invariants of the steps:
//!
//! - One voter is added or removed at a time.
//! - A voter is removed only if the live voters among the rest are a quorum of the rest.
//! - A process becomes a voter only once it has nearly all of the log.
//! - A retiring voter that is not dead and did not lose its disk is removed only if the other
//!   voters that are not dead reach the target. With fewer voters, the group might not survive the
//!   losses of machines, zones or regions that it is configured to tolerate.
//! - No voter is added outside the allowed regions, unless its machine lost its disk and still has
//!   a vote under its previous member id.
//! - A voter is replaced for placement alone only if that lowers the cost, so that changes
//!   terminate.

use super::placement::{Placement, PlacementCost};
use brasspond_consensus::{Member, MemberId};
use brasspond_units::Millis;
use std::collections::BTreeSet;

/// A voter or another connected storage process, as known to the leader.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Id, address and location of the process.
    pub member: Member,
    /// Number of log entries that the process lacks, or `None` if unknown.
    pub lag: Option<u64>,
    /// Time since the last response to the leader in ms, or `None` if the log is not replicated to
    /// the process.
    pub silent_ms: Option<Millis>,
}

/// Input of [`next_step`].
#[derive(Clone, Debug)]
pub struct MembershipState<'a> {
    /// The leader.
    pub own: MemberId,
    /// Current voters.
    pub voters: &'a [Member],
    /// Voters and all other connected storage processes.
    pub candidates: &'a [Candidate],
    /// Machines that are being retired.
    pub retiring: &'a BTreeSet<String>,
    /// Target number of voters.
    pub target: usize,
    /// Where voters may and should be.
    pub placement: &'a Placement,
}

/// The next membership step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// No change is needed, or none is allowed at present.
    Unchanged,
    /// The new set of voters, which differs in one member.
    Change(Vec<Member>),
    /// Leadership must be transferred to another voter.
    TransferLeadership,
}

/// Silence from which a voter counts as dead and is replaced if another machine is available: ten
/// heartbeats (150 ms each), the same as the timeout for unacknowledged data on a link.
const DEAD_TIMEOUT: Millis = 1_500;
/// Silence up to which a process counts as alive: four heartbeats (150 ms each) and network delay.
const ALIVE_TIMEOUT: Millis = 700;
/// Maximum number of entries that a new voter may lack: few enough for one message.
const MAX_VOTER_LAG: u64 = 64;
/// Minimum interval between leadership transfers for placement alone. Each attempt costs a term.
const PLACEMENT_TRANSFER_INTERVAL: Millis = 5_000;

/// Whether a due leadership transfer may start now. It may start at once if the leader's machine is
/// being retired; for placement alone, not within [`PLACEMENT_TRANSFER_INTERVAL`] of `last`, the
/// time of the last transfer.
pub fn is_transfer_due(last: Option<Millis>, is_retiring: bool, now: Millis) -> bool {
    let is_early = last.is_some_and(|last| now < last + PLACEMENT_TRANSFER_INTERVAL);
    is_retiring || !is_early
}

/// Returns the next step towards `target` voters at the preferred placement that are not dead, on
/// machines that are not being retired. See the module documentation for its invariants.
pub fn next_step(state: &MembershipState<'_>) -> Step {
    if let Some(step) = remove_lost_disk(state) {
        return step;
    }
    if let Some(step) = add_voter(state) {
        return step;
    }
    match remove_voter(state) {
        Step::Unchanged => replace_voter(state).unwrap_or_else(|| move_leader(state)),
        step => step,
    }
}

/// Returns the possible next leaders: live, caught-up voters on machines that are not being
/// retired. If any of them are at a preferred location, only these are returned.
pub fn successors(state: &MembershipState<'_>) -> Vec<MemberId> {
    let others = state.voters.iter().filter(|voter| {
        let candidate = find_candidate(state, voter.id);
        voter.id != state.own
            && !state.retiring.contains(&voter.machine)
            && candidate.is_some_and(|one| is_alive(one) && is_caught_up(one))
    });
    let others: Vec<&Member> = others.collect();
    let preferred = others
        .iter()
        .filter(|one| state.placement.is_preferred(one));
    let preferred: Vec<MemberId> = preferred.map(|voter| voter.id).collect();
    if preferred.is_empty() {
        others.into_iter().map(|voter| voter.id).collect()
    } else {
        preferred
    }
}

/// Removes the previous member id of a machine that lost its disk and returned under a new one.
/// Outside the allowed regions, the new id must already be a voter: it cannot be added after the
/// previous id is removed.
fn remove_lost_disk(state: &MembershipState<'_>) -> Option<Step> {
    let lost = state.voters.iter().find(|voter| {
        let successor = state.candidates.iter().any(|candidate| {
            candidate.member.machine == voter.machine
                && candidate.member.id != voter.id
                && is_alive(candidate)
                && (state.placement.allows(&candidate.member) || votes(state, candidate))
        });
        successor && voter.id != state.own && !is_responsive(state, voter.id)
    })?;
    remove_member(state, lost.id)
}

fn votes(state: &MembershipState<'_>, candidate: &Candidate) -> bool {
    let mut voters = state.voters.iter();
    voters.any(|voter| voter.id == candidate.member.id)
}

fn add_voter(state: &MembershipState<'_>) -> Option<Step> {
    let staying = || {
        state
            .voters
            .iter()
            .filter(|voter| !state.retiring.contains(&voter.machine) && !is_dead(state, voter.id))
    };
    if staying().count() >= state.target {
        return None;
    }
    let newcomer = newcomers(state).min_by_key(|candidate| {
        let member = &candidate.member;
        let cost = state.placement.cost(staying().chain([member]));
        (cost, has_voter_in_zone(state, candidate), member.id)
    })?;
    Some(add_member(state, &newcomer.member))
}

/// Live processes without a vote that may become voters.
fn newcomers<'a>(state: &'a MembershipState<'_>) -> impl Iterator<Item = &'a Candidate> {
    state.candidates.iter().filter(|candidate| {
        !votes(state, candidate)
            && is_alive(candidate)
            && is_caught_up(candidate)
            && !state.retiring.contains(&candidate.member.machine)
            && (state.placement.allows(&candidate.member) || machine_has_vote(state, candidate))
    })
}

/// Whether any voter is on a candidate's machine. If the candidate itself does not vote, this is
/// the previous member id of a machine that lost its disk.
fn machine_has_vote(state: &MembershipState<'_>, candidate: &Candidate) -> bool {
    let mut voters = state.voters.iter();
    voters.any(|voter| voter.machine == candidate.member.machine)
}

/// Adds a voter to a full group if swapping it with another voter lowers the cost. The other voter
/// is removed in the next step.
fn replace_voter(state: &MembershipState<'_>) -> Option<Step> {
    let voters = state.voters;
    if voters.len() != state.target {
        return None;
    }
    let cost = state.placement.cost(voters.iter());
    let swaps = newcomers(state).flat_map(|newcomer| {
        let costs = voters
            .iter()
            .map(|voter| cost_without(state, voter, Some(newcomer)));
        costs.map(move |cost| (cost, newcomer.member.id, newcomer))
    });
    let (best, _, newcomer) = swaps.min_by_key(|(cost, id, _)| (*cost, *id))?;
    (best < cost).then(|| add_member(state, &newcomer.member))
}

/// Transfers leadership from a leader outside the preferred placement to a voter inside it.
fn move_leader(state: &MembershipState<'_>) -> Step {
    let placement = state.placement;
    let voters = state.voters;
    let own = voters.iter().find(|voter| voter.id == state.own);
    let is_misplaced = own.is_some_and(|own| !placement.is_preferred(own));
    let next = successors(state);
    let mut next = voters.iter().filter(|voter| next.contains(&voter.id));
    if is_misplaced && next.any(|voter| placement.is_preferred(voter)) {
        return Step::TransferLeadership;
    }
    Step::Unchanged
}

/// Cost of the voters without one of them and with an optional newcomer.
fn cost_without(
    state: &MembershipState<'_>,
    removed: &Member,
    newcomer: Option<&Candidate>,
) -> PlacementCost {
    let rest = state.voters.iter().filter(|voter| voter.id != removed.id);
    let newcomer = newcomer.map(|one| &one.member);
    state.placement.cost(rest.chain(newcomer))
}

/// Removes a dead voter if the group is larger than its target. Otherwise removes a retiring voter
/// if the other voters that are not dead reach the target, or a surplus voter if no machine with a
/// vote is retiring. A retiring leader transfers its leadership first.
fn remove_voter(state: &MembershipState<'_>) -> Step {
    let dead = state.voters.iter().find(|voter| is_dead(state, voter.id));
    if state.voters.len() > state.target
        && let Some(dead) = dead
    {
        return remove_member(state, dead.id).unwrap_or(Step::Unchanged);
    }
    let retiring = state
        .voters
        .iter()
        .find(|voter| state.retiring.contains(&voter.machine));
    if let Some(retiring) = retiring {
        // Dead voters do not count, since without the retiring voter the group might not survive
        // another loss.
        let others = state
            .voters
            .iter()
            .filter(|voter| voter.id != retiring.id && !is_dead(state, voter.id));
        let others = others.count();
        if others >= state.target {
            if retiring.id == state.own && others > 0 {
                return Step::TransferLeadership;
            }
            return remove_member(state, retiring.id).unwrap_or(Step::Unchanged);
        }
        return Step::Unchanged;
    }
    if state.voters.len() > state.target {
        return remove_surplus(state);
    }
    Step::Unchanged
}

/// Removes the voter whose removal leaves the lowest cost, other than the leader. If removing the
/// leader leaves a strictly lower cost, it transfers its leadership first.
fn remove_surplus(state: &MembershipState<'_>) -> Step {
    let voters = state.voters.iter().rev();
    let others = voters.filter(|voter| voter.id != state.own);
    let by_cost = others.map(|voter| (cost_without(state, voter, None), voter));
    let Some((cost, spare)) = by_cost.min_by_key(|(cost, _)| *cost) else {
        return Step::Unchanged;
    };
    let mut voters = state.voters.iter();
    let own = voters.find(|voter| voter.id == state.own);
    let is_own_worse = own.is_some_and(|own| cost_without(state, own, None) < cost);
    if is_own_worse && !successors(state).is_empty() {
        return Step::TransferLeadership;
    }
    remove_member(state, spare.id).unwrap_or(Step::Unchanged)
}

fn add_member(state: &MembershipState<'_>, newcomer: &Member) -> Step {
    let mut voters = state.voters.to_vec();
    voters.push(newcomer.clone());
    Step::Change(voters)
}

fn remove_member(state: &MembershipState<'_>, id: MemberId) -> Option<Step> {
    let rest = state.voters.iter().filter(|voter| voter.id != id);
    let rest: Vec<Member> = rest.cloned().collect();
    let responsive = rest
        .iter()
        .filter(|voter| voter.id == state.own || is_responsive(state, voter.id));
    let quorum = rest.len() / 2 + 1;
    (!rest.is_empty() && responsive.count() >= quorum).then_some(Step::Change(rest))
}

fn find_candidate<'a>(state: &'a MembershipState<'_>, id: MemberId) -> Option<&'a Candidate> {
    let mut candidates = state.candidates.iter();
    candidates.find(|candidate| candidate.member.id == id)
}

fn is_alive(candidate: &Candidate) -> bool {
    candidate
        .silent_ms
        .is_some_and(|silent| silent <= ALIVE_TIMEOUT)
}

fn is_caught_up(candidate: &Candidate) -> bool {
    candidate.lag.is_some_and(|lag| lag <= MAX_VOTER_LAG)
}

fn is_responsive(state: &MembershipState<'_>, id: MemberId) -> bool {
    id == state.own || find_candidate(state, id).is_some_and(is_alive)
}

fn is_dead(state: &MembershipState<'_>, id: MemberId) -> bool {
    let silent = find_candidate(state, id).and_then(|candidate| candidate.silent_ms);
    id != state.own && silent.is_none_or(|silent| silent >= DEAD_TIMEOUT)
}

/// Whether any voter, also a dead or retiring one, is in a candidate's zone.
fn has_voter_in_zone(state: &MembershipState<'_>, candidate: &Candidate) -> bool {
    let zone = &candidate.member.zone;
    state.voters.iter().any(|voter| voter.zone == *zone)
}
