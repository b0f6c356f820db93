//! Where the log's members may and should be placed: a pure measure of a set of voters.
//!
//! A place is a zone and a region. Residency says where a member may stand, declared losses and
//! the commit region where it should. A member of unknown region is inside no bound regions.

use super::plan::Candidate;
use brasspond_consensus::{Member, MemberId};
use brasspond_fleet::Regions;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How many may be lost at one time without the group losing its quorum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// Machines with a disk.
    pub machines: usize,
    /// Zones, with all their machines.
    pub zones: usize,
    /// Regions, with all their machines.
    pub regions: usize,
}

impl Losses {
    /// Fewest voters of which a majority is left after them.
    pub fn voters(self) -> usize {
        2 * self.machines.max(self.zones).max(self.regions) + 1
    }
}

/// What is wanted of the places.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// Losses to be borne.
    pub losses: Losses,
    /// Regions that all bound jobs share.
    pub regions: Regions,
    /// The log holds bodies of bound jobs.
    pub holds_bound: bool,
}

/// How far a set of voters is from the one wanted; the least is the best. Fields are compared in
/// order: residency comes before bearing losses, and that before committing inside one region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Strain {
    /// Voters outside the regions that bind.
    pub outside: usize,
    /// Voters that are lost with the fullest regions, as many as are to be borne, beyond those that a
    /// majority can spare.
    pub regions: usize,
    /// The same of zones.
    pub zones: usize,
    /// Voters outside the region in which entries commit.
    pub away: usize,
}

/// Where members may and should stand.
#[derive(Clone, Debug)]
pub struct Places {
    losses: Losses,
    /// No member may be outside these.
    bound: Regions,
    /// The commit region: a quorum should be inside it, so that entries commit without a round trip
    /// between regions. None: no region has enough machines, or the loss of one is to be borne.
    region: Option<Arc<str>>,
}

impl Places {
    /// The places for a group of these voters and candidates, led by `own`.
    ///
    /// Members are bound to the regions that bound jobs share once enough machines are there, and
    /// as long as the log holds bound bodies.
    pub fn new(
        wanted: &Wanted,
        own: MemberId,
        voters: &[Member],
        candidates: &[Candidate],
        retiring: &BTreeSet<String>,
    ) -> Self {
        let known = candidates.iter().map(|candidate| &candidate.member);
        let known: Vec<&Member> = known
            .chain(voters)
            .filter(|member| !retiring.contains(&member.machine))
            .collect();
        let target = wanted.losses.voters();
        let inside = known
            .iter()
            .filter(|member| wanted.regions.allows(member.region.as_deref()));
        let inside: BTreeSet<&str> = inside.map(|member| member.machine.as_str()).collect();
        let is_bound = wanted.holds_bound || inside.len() >= target;
        let bound = if is_bound {
            wanted.regions.clone()
        } else {
            Regions::Any
        };
        let region = (wanted.losses.regions == 0)
            .then(|| commit_region(&bound, target, own, voters, &known))
            .flatten();
        Self {
            losses: wanted.losses,
            bound,
            region,
        }
    }

    /// Whether a member may be where this one is.
    pub fn allow(&self, member: &Member) -> bool {
        self.bound.allows(member.region.as_deref())
    }

    /// Whether a member is where the leader should be.
    pub fn is_in_place(&self, member: &Member) -> bool {
        self.allow(member) && !self.is_away(member)
    }

    /// Whether members are bound to regions.
    pub fn are_bound(&self) -> bool {
        self.bound.is_bound()
    }

    /// The region in which entries commit, if there is one.
    pub fn region(&self) -> Option<&str> {
        self.region.as_deref()
    }

    /// How far a set of voters is from the one wanted.
    pub fn strain<'a>(&self, voters: impl Iterator<Item = &'a Member>) -> Strain {
        let voters: Vec<&Member> = voters.collect();
        let spare = voters.len().saturating_sub(1) / 2;
        let zones = voters.iter().map(|voter| voter.zone.as_str());
        let regions = voters.iter().map(|voter| voter.region.as_deref());
        Strain {
            outside: voters.iter().filter(|voter| !self.allow(voter)).count(),
            regions: fullest(regions, self.losses.regions).saturating_sub(spare),
            zones: fullest(zones, self.losses.zones).saturating_sub(spare),
            away: voters.iter().filter(|voter| self.is_away(voter)).count(),
        }
    }

    fn is_away(&self, member: &Member) -> bool {
        let region = self.region.as_deref();
        region.is_some_and(|region| member.region.as_deref() != Some(region))
    }
}

/// How many members are at the `count` fullest places.
fn fullest<T: Ord>(places: impl Iterator<Item = T>, count: usize) -> usize {
    let mut members: BTreeMap<T, usize> = BTreeMap::new();
    for place in places {
        *members.entry(place).or_default() += 1;
    }
    let mut counts: Vec<usize> = members.into_values().collect();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    counts.into_iter().take(count).sum()
}

/// The commit region: of the regions with enough machines the one with most voters, so that the
/// group does not move without need; of equal ones the leader's, then the first by name. A region
/// with a quorum of the voters counts as large enough while some of its machines are lost.
fn commit_region(
    bound: &Regions,
    target: usize,
    own: MemberId,
    voters: &[Member],
    known: &[&Member],
) -> Option<Arc<str>> {
    let mut machines: BTreeMap<&Arc<str>, BTreeSet<&str>> = BTreeMap::new();
    for member in known {
        if let Some(region) = &member.region
            && bound.allows(Some(region))
        {
            let machines = machines.entry(region).or_default();
            machines.insert(&member.machine);
        }
    }
    let voters_in = |region: &Arc<str>| {
        let there = voters
            .iter()
            .filter(|one| one.region.as_ref() == Some(region));
        there.count()
    };
    let quorum = target / 2 + 1;
    let large = machines
        .into_iter()
        .filter(|(region, one)| one.len() >= target || voters_in(region) >= quorum);
    let best = large.max_by_key(|(region, _)| {
        let own = voters.iter().find(|voter| voter.id == own);
        let leads = own.is_some_and(|own| own.region.as_ref() == Some(region));
        let by_name = std::cmp::Reverse((*region).clone());
        (voters_in(region), leads, by_name)
    });
    best.map(|(region, _)| Arc::clone(region))
}
