//! Which change of the log's members comes next: a pure decision.

use brasspond_consensus::{Member, MemberId};
use std::collections::BTreeSet;

/// A member as the leader sees it.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Who it is.
    pub member: Member,
    /// Entries it lacks; none: not known.
    pub lag: Option<u64>,
    /// Milliseconds since it was last heard; none: never.
    pub silent_ms: Option<u64>,
}

/// What the leader knows.
#[derive(Clone, Debug)]
pub struct Situation<'a> {
    /// The leader itself.
    pub own: MemberId,
    /// Voters.
    pub voters: &'a [Member],
    /// All members heard of, voters or not.
    pub candidates: &'a [Candidate],
    /// Machines to be emptied.
    pub retiring: &'a BTreeSet<String>,
    /// Voters wanted.
    pub target: usize,
}

/// The next step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing to change.
    Stay,
    /// These are to vote from now on; one differs.
    Change(Vec<Member>),
    /// Another must lead first.
    HandOver,
}

/// A voter this long silent is replaced where another machine can take its
/// place, in ms.
const DEAD_MS: u64 = 1_500;
/// A member heard within this time is alive, in ms.
const ALIVE_MS: u64 = 700;
/// Entries a member may lack and still be made a voter.
const SMALL_LAG: u64 = 64;

/// The next step towards `target` live voters on machines that stay.
///
/// Invariants: one member changes at a time; a voter is never taken out while
/// that would leave fewer live voters than a quorum of the rest; a member
/// becomes a voter only once it has nearly all of the log; a machine that is to
/// be emptied keeps its vote until another live one has taken its place, since
/// fewer live voters than the target do not bear the losses that were declared.
pub fn next_step(situation: &Situation<'_>) -> Step {
    if let Some(step) = drop_lost_disk(situation) {
        return step;
    }
    if let Some(step) = add_voter(situation) {
        return step;
    }
    remove_voter(situation)
}

/// A machine that came back under another identity lost its disk: its old
/// identity will never answer again.
fn drop_lost_disk(situation: &Situation<'_>) -> Option<Step> {
    let lost = situation.voters.iter().find(|voter| {
        let successor = situation.candidates.iter().any(|candidate| {
            candidate.member.machine == voter.machine
                && candidate.member.id != voter.id
                && is_alive(candidate)
        });
        successor && voter.id != situation.own && !is_heard(situation, voter.id)
    })?;
    without(situation, lost.id)
}

fn add_voter(situation: &Situation<'_>) -> Option<Step> {
    let staying = situation.voters.iter().filter(|voter| {
        !situation.retiring.contains(&voter.machine) && !is_dead(situation, voter.id)
    });
    if staying.count() >= situation.target {
        return None;
    }
    let mut newcomers: Vec<&Candidate> = situation
        .candidates
        .iter()
        .filter(|candidate| {
            let votes = situation
                .voters
                .iter()
                .any(|voter| voter.id == candidate.member.id);
            !votes
                && is_alive(candidate)
                && candidate.lag.is_some_and(|lag| lag <= SMALL_LAG)
                && !situation.retiring.contains(&candidate.member.machine)
        })
        .collect();
    newcomers.sort_by_key(|candidate| (is_zone_held(situation, candidate), candidate.member.id));
    let newcomer = newcomers.first()?;
    let mut voters = situation.voters.to_vec();
    voters.push(newcomer.member.clone());
    Some(Step::Change(voters))
}

fn remove_voter(situation: &Situation<'_>) -> Step {
    let dead = situation
        .voters
        .iter()
        .find(|voter| is_dead(situation, voter.id));
    if situation.voters.len() > situation.target
        && let Some(dead) = dead
    {
        return without(situation, dead.id).unwrap_or(Step::Stay);
    }
    let retiring = situation
        .voters
        .iter()
        .find(|voter| situation.retiring.contains(&voter.machine));
    if let Some(retiring) = retiring {
        // A dead voter is no copy: without it the losses that were declared
        // could already be used up.
        let others = situation
            .voters
            .iter()
            .filter(|voter| voter.id != retiring.id && !is_dead(situation, voter.id));
        let others = others.count();
        if others >= situation.target {
            if retiring.id == situation.own && others > 0 {
                return Step::HandOver;
            }
            return without(situation, retiring.id).unwrap_or(Step::Stay);
        }
        return Step::Stay;
    }
    if situation.voters.len() > situation.target {
        let last = situation
            .voters
            .iter()
            .rev()
            .find(|voter| voter.id != situation.own);
        if let Some(voter) = last {
            return without(situation, voter.id).unwrap_or(Step::Stay);
        }
    }
    Step::Stay
}

fn without(situation: &Situation<'_>, id: MemberId) -> Option<Step> {
    let rest = situation.voters.iter().filter(|voter| voter.id != id);
    let rest: Vec<Member> = rest.cloned().collect();
    let heard = rest
        .iter()
        .filter(|voter| voter.id == situation.own || is_heard(situation, voter.id));
    let quorum = rest.len() / 2 + 1;
    (!rest.is_empty() && heard.count() >= quorum).then_some(Step::Change(rest))
}

fn find<'a>(situation: &'a Situation<'_>, id: MemberId) -> Option<&'a Candidate> {
    let mut candidates = situation.candidates.iter();
    candidates.find(|candidate| candidate.member.id == id)
}

fn is_alive(candidate: &Candidate) -> bool {
    candidate.silent_ms.is_some_and(|silent| silent <= ALIVE_MS)
}

fn is_heard(situation: &Situation<'_>, id: MemberId) -> bool {
    id == situation.own || find(situation, id).is_some_and(is_alive)
}

fn is_dead(situation: &Situation<'_>, id: MemberId) -> bool {
    let silent = find(situation, id).and_then(|candidate| candidate.silent_ms);
    id != situation.own && silent.is_none_or(|silent| silent >= DEAD_MS)
}

fn is_zone_held(situation: &Situation<'_>, candidate: &Candidate) -> bool {
    let zone = &candidate.member.zone;
    situation.voters.iter().any(|voter| voter.zone == *zone)
}
