//! Which change of the log's voters comes next, and when a leader hands over: pure decisions.
//!
//! Times are in ms. A candidate whose log or last sign of life is not known counts as neither
//! caught up nor alive: it is not made a voter, and nobody is replaced by it.

use super::places::{Places, Strain};
use brasspond_consensus::{Member, MemberId};
use brasspond_units::Millis;
use std::collections::BTreeSet;

/// A member as the leader knows it.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Who it is.
    pub member: Member,
    /// Entries it lacks; none: not known.
    pub lag: Option<u64>,
    /// Time since it answered the leader, in ms; none: it is not sent the log.
    pub silent_ms: Option<Millis>,
}

/// What the leader knows.
#[derive(Clone, Debug)]
pub struct Situation<'a> {
    /// The leader itself.
    pub own: MemberId,
    /// Voters.
    pub voters: &'a [Member],
    /// Voters and all other connected storage processes.
    pub candidates: &'a [Candidate],
    /// Machines to be emptied.
    pub retiring: &'a BTreeSet<String>,
    /// Voters wanted.
    pub target: usize,
    /// Where voters may and should stand.
    pub places: &'a Places,
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

/// Silence after which a voter is replaced where another machine can take its place: ten
/// heartbeats (150 ms each), and as long as a link without acknowledgements lasts
/// (docs/OPERATIONS.md). Not measured.
const DEAD_SILENCE: Millis = 1_500;
/// Silence up to which a member counts as alive: four heartbeats (150 ms each) and the way. Not
/// measured.
const ALIVE_SILENCE: Millis = 700;
/// Entries a member may lack and still be made a voter: it catches up within a message. Not
/// measured.
const SMALL_LAG: u64 = 64;
/// Pause between two hand-overs for the leader's place: several elections, and short beside the
/// time for which a group stays at its place. Each attempt costs a term. Not measured.
const PLACE_HAND_OVER_PAUSE: Millis = 5_000;

/// Whether a leader that is to hand over does so now: at once where its machine is to be
/// emptied; for its place alone, not again within [`PLACE_HAND_OVER_PAUSE`] of `last`, when it
/// last handed over (none: never).
pub fn is_hand_over_due(last: Option<Millis>, is_retiring: bool, now: Millis) -> bool {
    let is_early = last.is_some_and(|last| now < last + PLACE_HAND_OVER_PAUSE);
    is_retiring || !is_early
}

/// The next step towards `target` live voters on machines that stay, at the places wanted.
///
/// Invariants:
///
/// - One member changes at a time.
/// - A voter is never removed while that would leave fewer live voters than a quorum of the
///   rest.
/// - A member becomes a voter only once it has nearly all of the log.
/// - A machine that is to be emptied keeps its vote until another live one has taken its place:
///   fewer live voters than the target do not bear the losses that were declared.
/// - No member is added outside the regions that bind, except for a machine that lost its disk
///   and votes there.
/// - A voter is replaced for its place alone only by one that makes the set better, so that
///   changes come to an end.
pub fn next_step(situation: &Situation<'_>) -> Step {
    if let Some(step) = drop_lost_disk(situation) {
        return step;
    }
    if let Some(step) = add_voter(situation) {
        return step;
    }
    match remove_voter(situation) {
        Step::Stay => move_voter(situation).unwrap_or_else(|| move_leader(situation)),
        step => step,
    }
}

/// Who may lead next: live, caught up voters on machines that stay; only those in place where
/// there are any.
pub fn successors(situation: &Situation<'_>) -> Vec<MemberId> {
    let others = situation.voters.iter().filter(|voter| {
        let known = find(situation, voter.id);
        voter.id != situation.own
            && !situation.retiring.contains(&voter.machine)
            && known.is_some_and(|one| is_alive(one) && is_caught_up(one))
    });
    let others: Vec<&Member> = others.collect();
    let in_place = others
        .iter()
        .filter(|one| situation.places.is_in_place(one));
    let in_place: Vec<MemberId> = in_place.map(|voter| voter.id).collect();
    if in_place.is_empty() {
        others.into_iter().map(|voter| voter.id).collect()
    } else {
        in_place
    }
}

/// A machine that came back under another identity lost its disk: its old
/// identity will never answer again and is removed. Where the machine stands outside the regions
/// that bind, its new identity votes first: only the place of the old one is open to it.
fn drop_lost_disk(situation: &Situation<'_>) -> Option<Step> {
    let lost = situation.voters.iter().find(|voter| {
        let successor = situation.candidates.iter().any(|candidate| {
            candidate.member.machine == voter.machine
                && candidate.member.id != voter.id
                && is_alive(candidate)
                && (situation.places.allow(&candidate.member) || votes(situation, candidate))
        });
        successor && voter.id != situation.own && !is_heard(situation, voter.id)
    })?;
    without(situation, lost.id)
}

fn votes(situation: &Situation<'_>, candidate: &Candidate) -> bool {
    let mut voters = situation.voters.iter();
    voters.any(|voter| voter.id == candidate.member.id)
}

fn add_voter(situation: &Situation<'_>) -> Option<Step> {
    let staying = || {
        situation.voters.iter().filter(|voter| {
            !situation.retiring.contains(&voter.machine) && !is_dead(situation, voter.id)
        })
    };
    if staying().count() >= situation.target {
        return None;
    }
    let newcomer = newcomers(situation).min_by_key(|candidate| {
        let member = &candidate.member;
        let strain = situation.places.strain(staying().chain([member]));
        (strain, is_zone_held(situation, candidate), member.id)
    })?;
    Some(with(situation, &newcomer.member))
}

/// Live members without a vote that may have one.
fn newcomers<'a>(situation: &'a Situation<'_>) -> impl Iterator<Item = &'a Candidate> {
    situation.candidates.iter().filter(|candidate| {
        !votes(situation, candidate)
            && is_alive(candidate)
            && is_caught_up(candidate)
            && !situation.retiring.contains(&candidate.member.machine)
            && (situation.places.allow(&candidate.member) || is_returned(situation, candidate))
    })
}

/// Whether a candidate's machine votes under an identity that its lost disk had.
fn is_returned(situation: &Situation<'_>, candidate: &Candidate) -> bool {
    let mut voters = situation.voters.iter();
    voters.any(|voter| voter.machine == candidate.member.machine)
}

/// A full group adds a voter where the set is better with it in another's place; that one is
/// removed next.
fn move_voter(situation: &Situation<'_>) -> Option<Step> {
    let voters = situation.voters;
    if voters.len() != situation.target {
        return None;
    }
    let strain = situation.places.strain(voters.iter());
    let swaps = newcomers(situation).flat_map(|newcomer| {
        let rests = voters
            .iter()
            .map(|voter| strain_without(situation, voter, Some(newcomer)));
        rests.map(move |strain| (strain, newcomer.member.id, newcomer))
    });
    let (best, _, newcomer) = swaps.min_by_key(|(strain, id, _)| (*strain, *id))?;
    (best < strain).then(|| with(situation, &newcomer.member))
}

/// A leader out of place hands over to a voter in place.
fn move_leader(situation: &Situation<'_>) -> Step {
    let places = situation.places;
    let voters = situation.voters;
    let own = voters.iter().find(|voter| voter.id == situation.own);
    let is_out = own.is_some_and(|own| !places.is_in_place(own));
    let next = successors(situation);
    let mut next = voters.iter().filter(|voter| next.contains(&voter.id));
    if is_out && next.any(|voter| places.is_in_place(voter)) {
        return Step::HandOver;
    }
    Step::Stay
}

/// The strain of the voters without one of them, and with a newcomer.
fn strain_without(
    situation: &Situation<'_>,
    gone: &Member,
    newcomer: Option<&Candidate>,
) -> Strain {
    let rest = situation.voters.iter().filter(|voter| voter.id != gone.id);
    let newcomer = newcomer.map(|one| &one.member);
    situation.places.strain(rest.chain(newcomer))
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
        return remove_spare(situation);
    }
    Step::Stay
}

/// Of more voters than wanted, removes the one without which the set is best; the leader only
/// where the set is better without it than without any other.
fn remove_spare(situation: &Situation<'_>) -> Step {
    let voters = situation.voters.iter().rev();
    let others = voters.filter(|voter| voter.id != situation.own);
    let costed = others.map(|voter| (strain_without(situation, voter, None), voter));
    let Some((strain, spare)) = costed.min_by_key(|(strain, _)| *strain) else {
        return Step::Stay;
    };
    let mut voters = situation.voters.iter();
    let own = voters.find(|voter| voter.id == situation.own);
    let is_own_worse = own.is_some_and(|own| strain_without(situation, own, None) < strain);
    if is_own_worse && !successors(situation).is_empty() {
        return Step::HandOver;
    }
    without(situation, spare.id).unwrap_or(Step::Stay)
}

fn with(situation: &Situation<'_>, newcomer: &Member) -> Step {
    let mut voters = situation.voters.to_vec();
    voters.push(newcomer.clone());
    Step::Change(voters)
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
    candidate
        .silent_ms
        .is_some_and(|silent| silent <= ALIVE_SILENCE)
}

fn is_caught_up(candidate: &Candidate) -> bool {
    candidate.lag.is_some_and(|lag| lag <= SMALL_LAG)
}

fn is_heard(situation: &Situation<'_>, id: MemberId) -> bool {
    id == situation.own || find(situation, id).is_some_and(is_alive)
}

fn is_dead(situation: &Situation<'_>, id: MemberId) -> bool {
    let silent = find(situation, id).and_then(|candidate| candidate.silent_ms);
    id != situation.own && silent.is_none_or(|silent| silent >= DEAD_SILENCE)
}

fn is_zone_held(situation: &Situation<'_>, candidate: &Candidate) -> bool {
    let zone = &candidate.member.zone;
    situation.voters.iter().any(|voter| voter.zone == *zone)
}
