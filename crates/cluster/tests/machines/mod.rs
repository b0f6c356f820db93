//! Machines of a group as the decisions on places know them: no log, no time.

use brasspond_cluster::storage::places::{Losses, Places, Strain, Wanted};
use brasspond_cluster::storage::plan::{Candidate, Situation, Step, next_step, successors};
use brasspond_cluster::storage::standbys::{Waiting, standbys};
use brasspond_consensus::{Member, MemberId};
use brasspond_fleet::Regions;
use std::collections::BTreeSet;

/// A machine, and whether it runs.
#[derive(Clone, Debug)]
pub struct Machine {
    pub member: Member,
    pub is_up: bool,
}

/// Machines, their voters and who leads.
pub struct World {
    pub wanted: Wanted,
    pub machines: Vec<Machine>,
    pub voters: Vec<Member>,
    pub leader: MemberId,
    /// Changes of voters and leaders so far.
    pub changes: usize,
}

impl World {
    /// Machines of `(zone, region)`, numbered from 1; the first makes the group.
    pub fn new(losses: Losses, places: &[(&str, &str)]) -> Self {
        let numbered = (1..).zip(places);
        let machines = numbered.map(|(id, (zone, region))| Machine {
            member: Member {
                id,
                machine: format!("m{id}"),
                address: format!("10.0.0.{id}:1").parse().expect("address"),
                zone: (*zone).to_string(),
                region: Some((*region).into()),
            },
            is_up: true,
        });
        let machines: Vec<Machine> = machines.collect();
        let first = machines[0].member.clone();
        Self {
            wanted: Wanted {
                losses,
                regions: Regions::Any,
                holds_bound: false,
            },
            machines,
            leader: first.id,
            voters: vec![first],
            changes: 0,
        }
    }

    pub fn is_up(&self, id: MemberId) -> bool {
        let mut machines = self.machines.iter();
        machines.any(|machine| machine.member.id == id && machine.is_up)
    }

    /// What the leader sees: all that are linked to it, and voters that are gone.
    pub fn candidates(&self) -> Vec<Candidate> {
        let seen = self.machines.iter().filter(|machine| {
            machine.is_up
                || self
                    .voters
                    .iter()
                    .any(|voter| voter.id == machine.member.id)
        });
        let seen = seen.map(|machine| Candidate {
            member: machine.member.clone(),
            lag: Some(0),
            silent_ms: Some(if machine.is_up { 10 } else { 5_000 }),
        });
        seen.collect()
    }

    /// The same with the log known of voters and standbys alone: no others are sent it. No
    /// edge is connected.
    pub fn informed(&self, places: &Places) -> Vec<Candidate> {
        let up = self.machines.iter().filter(|one| one.is_up);
        let others = up.filter(|one| !self.voters.contains(&one.member));
        let machines: BTreeSet<&str> = self.voters.iter().map(|one| &*one.machine).collect();
        let waiting = others.map(|one| Waiting {
            member: one.member.clone(),
            is_returned: machines.contains(&*one.member.machine),
            is_retiring: false,
            is_learner: false,
        });
        let chosen = standbys(waiting.collect(), &self.voters, &BTreeSet::new(), places);
        let mut candidates = self.candidates();
        for one in &mut candidates {
            if !self.voters.contains(&one.member) && !chosen.contains(&one.member) {
                one.lag = None;
                one.silent_ms = None;
            }
        }
        candidates
    }

    pub fn places(&self) -> Places {
        let retiring = BTreeSet::new();
        let candidates = self.candidates();
        Places::new(
            &self.wanted,
            self.leader,
            &self.voters,
            &candidates,
            &retiring,
        )
    }

    /// One step of the leader; says whether anything changed.
    pub fn step(&mut self) -> bool {
        if !self.has_quorum() {
            return false;
        }
        if !self.is_up(self.leader) {
            let up = self.voters.iter().find(|voter| self.is_up(voter.id));
            self.leader = up.expect("a quorum").id;
        }
        let places = self.places();
        let candidates = self.informed(&places);
        let retiring = BTreeSet::new();
        let situation = Situation {
            own: self.leader,
            voters: &self.voters,
            candidates: &candidates,
            retiring: &retiring,
            target: self.wanted.losses.voters(),
            places: &places,
        };
        match next_step(&situation) {
            Step::Stay => return false,
            Step::HandOver => self.leader = successors(&situation)[0],
            Step::Change(members) => {
                let added = |one: &&Member| !self.voters.contains(one);
                let added: Vec<&Member> = members.iter().filter(added).collect();
                let gone = self.voters.iter().filter(|one| !members.contains(one));
                assert_eq!(added.len() + gone.count(), 1, "one change at a time");
                for member in added {
                    // Its own place, which its lost disk's identity still holds.
                    let mut voters = self.voters.iter();
                    let is_back = voters.any(|voter| voter.machine == member.machine);
                    let may_stand = places.allow(member) || is_back;
                    assert!(may_stand, "{member:?} stands outside");
                }
                self.voters = members;
                assert!(self.has_quorum(), "a change costs no quorum");
            }
        }
        self.changes += 1;
        true
    }

    /// Steps until nothing changes.
    pub fn run_until_stable(&mut self) {
        const MOST: usize = 60;
        let is_stable = (0..MOST).any(|_| !self.step());
        assert!(is_stable, "changes never end: {:?}", self.voters);
    }

    pub fn has_quorum(&self) -> bool {
        let up = self.voters.iter().filter(|voter| self.is_up(voter.id));
        up.count() > self.voters.len() / 2
    }

    pub fn strain(&self) -> Strain {
        self.places().strain(self.voters.iter())
    }

    pub fn voters_in(&self, region: &str) -> usize {
        let there = |voter: &&Member| voter.region.as_deref() == Some(region);
        self.voters.iter().filter(there).count()
    }

    pub fn leader_region(&self) -> Option<&str> {
        let leader = self.voters.iter().find(|voter| voter.id == self.leader)?;
        leader.region.as_deref()
    }

    pub fn bind(&mut self, region: &str, holds_bound: bool) {
        self.wanted.regions = Regions::only([region]);
        self.wanted.holds_bound = holds_bound;
    }
}
