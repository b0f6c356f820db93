//! Which change of the log's members comes next.

use brasspond_cluster::storage::places::{Losses, Places, Wanted};
use brasspond_cluster::storage::plan::{Candidate, Situation, Step, is_hand_over_due, next_step};
use brasspond_consensus::{Member, MemberId};
use brasspond_fleet::Regions;
use rstest::rstest;
use std::collections::BTreeSet;

fn member(id: MemberId, machine: &str, zone: &str) -> Member {
    Member {
        id,
        machine: machine.to_string(),
        address: format!("10.0.0.{id}:1").parse().expect("address"),
        zone: zone.to_string(),
        region: None,
    }
}

fn candidate(member: &Member, lag: u64, silent_ms: u64) -> Candidate {
    Candidate {
        member: member.clone(),
        lag: Some(lag),
        silent_ms: Some(silent_ms),
    }
}

fn ids(step: &Step) -> Vec<MemberId> {
    match step {
        Step::Change(members) => members.iter().map(|member| member.id).collect(),
        Step::Stay | Step::HandOver => Vec::new(),
    }
}

struct Case {
    voters: Vec<Member>,
    candidates: Vec<Candidate>,
    retiring: BTreeSet<String>,
}

impl Case {
    /// Three voters, all alive, led by the first.
    fn calm() -> Self {
        let voters = vec![
            member(1, "a", "x"),
            member(2, "b", "y"),
            member(3, "c", "z"),
        ];
        let candidates = voters
            .iter()
            .map(|voter| candidate(voter, 0, 100))
            .collect();
        Self {
            voters,
            candidates,
            retiring: BTreeSet::new(),
        }
    }

    fn with(mut self, other: Candidate) -> Self {
        self.candidates
            .retain(|one| one.member.id != other.member.id);
        self.candidates.push(other);
        self
    }

    fn retiring(mut self, machine: &str) -> Self {
        self.retiring.insert(machine.to_string());
        self
    }

    fn next(&self) -> Step {
        let wanted = Wanted {
            losses: Losses {
                machines: 1,
                ..Losses::default()
            },
            regions: Regions::Any,
            holds_bound: false,
        };
        let candidates = &self.candidates;
        let places = Places::new(&wanted, 1, &self.voters, candidates, &self.retiring);
        next_step(&Situation {
            own: 1,
            voters: &self.voters,
            candidates: &self.candidates,
            retiring: &self.retiring,
            target: 3,
            places: &places,
        })
    }
}

#[rstest]
fn a_healthy_group_is_not_changed() {
    assert_eq!(Case::calm().next(), Step::Stay);
    let standby = candidate(&member(4, "d", "x"), 0, 10);
    assert_eq!(Case::calm().with(standby).next(), Step::Stay);
}

#[rstest]
fn a_machine_that_lost_its_disk_is_replaced_by_its_new_identity_in_two_steps() {
    let returned = candidate(&member(9, "c", "z"), 500, 10);
    let mut case = Case::calm()
        .with(candidate(&member(3, "c", "z"), 90, 2_000))
        .with(returned);
    assert_eq!(ids(&case.next()), [1, 2]);
    case.voters.retain(|voter| voter.id != 3);
    assert_eq!(case.next(), Step::Stay, "not before it has caught up");
    let case = case.with(candidate(&member(9, "c", "z"), 3, 10));
    assert_eq!(ids(&case.next()), [1, 2, 9]);
}

#[rstest]
fn a_dead_voter_is_replaced_where_another_machine_can() {
    let case = Case::calm().with(candidate(&member(3, "c", "z"), 90, 2_000));
    assert_eq!(case.next(), Step::Stay);
    let mut case = case.with(candidate(&member(4, "d", "z"), 0, 10));
    assert_eq!(ids(&case.next()), [1, 2, 3, 4]);
    case.voters.push(member(4, "d", "z"));
    assert_eq!(ids(&case.next()), [1, 2, 4]);
}

#[rstest]
fn a_retiring_voter_is_replaced_before_it_is_removed() {
    let mut case = Case::calm()
        .retiring("c")
        .with(candidate(&member(4, "d", "z"), 0, 10));
    assert_eq!(ids(&case.next()), [1, 2, 3, 4]);
    case.voters.push(member(4, "d", "z"));
    assert_eq!(ids(&case.next()), [1, 2, 4]);
}

/// Two voters are stuck for good once one is gone and another machine comes in
/// its place.
#[rstest]
fn without_another_machine_a_retiring_voter_stays() {
    let mut case = Case::calm().retiring("c");
    assert_eq!(case.next(), Step::Stay);
    case.voters.retain(|voter| voter.id != 3);
    case.candidates.retain(|one| one.member.id != 3);
    assert_eq!(case.retiring("b").next(), Step::Stay);
}

#[rstest]
fn a_retiring_leader_hands_over_first() {
    let mut case = Case::calm()
        .retiring("a")
        .with(candidate(&member(4, "d", "x"), 0, 10));
    case.voters.push(member(4, "d", "x"));
    assert_eq!(case.next(), Step::HandOver);
}

#[rstest]
fn no_change_leaves_fewer_live_voters_than_a_quorum() {
    let mut case = Case::calm()
        .retiring("c")
        .with(candidate(&member(2, "b", "y"), 90, 2_000))
        .with(candidate(&member(4, "d", "z"), 0, 2_000));
    case.voters.push(member(4, "d", "z"));
    // Two of four are alive: without a dead one they are a quorum of three.
    assert_eq!(ids(&case.next()), [1, 3, 4]);
    case.voters.retain(|voter| voter.id != 2);
    assert_eq!(case.next(), Step::Stay, "the retiring one is needed");
    let mut case = case.with(candidate(&member(3, "c", "z"), 90, 2_000));
    case.voters.push(member(2, "b", "y"));
    assert_eq!(case.next(), Step::Stay, "one of four is no quorum of three");
}

/// A machine to be emptied was let go while one of the three others was gone for
/// good: two copies were left, and the next lost disk was the end of the group.
#[rstest]
fn a_dead_voter_takes_no_retiring_machines_place() {
    let mut case = Case::calm()
        .retiring("b")
        .with(candidate(&member(3, "c", "z"), 90, 2_000))
        .with(candidate(&member(4, "d", "z"), 0, 10));
    case.voters.push(member(4, "d", "z"));
    assert_eq!(ids(&case.next()), [1, 2, 4], "the dead one goes first");
    case.voters.retain(|voter| voter.id != 3);
    assert_eq!(case.next(), Step::Stay, "only two others are left");
    let mut case = case.with(candidate(&member(5, "e", "y"), 0, 10));
    assert_eq!(ids(&case.next()), [1, 2, 4, 5]);
    case.voters.push(member(5, "e", "y"));
    assert_eq!(ids(&case.next()), [1, 4, 5]);
}

#[rstest]
#[case::the_first(None, false, 1_000, true)]
#[case::too_soon_for_its_place(Some(1_000), false, 5_999, false)]
#[case::later_for_its_place(Some(1_000), false, 6_000, true)]
#[case::at_once_for_a_retirement(Some(1_000), true, 1_001, true)]
fn a_hand_over_for_the_leaders_place_is_not_repeated_at_once(
    #[case] last: Option<u64>,
    #[case] is_retiring: bool,
    #[case] now: u64,
    #[case] is_due: bool,
) {
    assert_eq!(is_hand_over_due(last, is_retiring, now), is_due);
}
