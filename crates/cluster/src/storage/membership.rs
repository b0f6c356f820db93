//! Membership of the log at the leader: which processes vote, and which only receive the log
//! (learners). Gathers the input of the pure decisions in [`super::plan`], [`super::placement`] and
//! [`super::standbys`], and applies their results.
//!
//! Owns no state.

use super::group::{LoggedPlacement, machine_names};
use super::placement::{FaultTolerance, Placement, PlacementRequirements};
use super::plan::{Candidate, MembershipState, Step, is_transfer_due, next_step, successors};
use super::process::Storage;
use super::standbys::{StandbyCandidate, choose_standbys};
use brasspond_consensus::{Member, MemberId};
use brasspond_dispatch::residency::{has_bound_bodies, shared_regions};
use brasspond_fleet::Regions;
use brasspond_units::Millis;
use std::collections::{BTreeSet, HashMap};

impl Storage {
    /// Maintains the target number of voters at the preferred placement, on machines that are not
    /// being retired. Proposes one change at a time.
    pub(super) fn reconcile_members(&mut self, now: Millis) {
        for removed in self.group.drop_unlinked() {
            self.consensus.remove_learner(removed);
        }
        let candidates = self.candidates(now);
        let retiring = self.retiring();
        let placement = self.placement(&candidates, &retiring);
        self.choose_learners(&placement, &retiring, now);
        self.log_placement(&placement);
        if self.consensus.check_membership_change().is_err() {
            // A change is in progress, or this leader has not committed an entry of its term yet.
            return;
        }
        let state = MembershipState {
            own: self.own.id,
            voters: self.consensus.members(),
            candidates: &candidates,
            retiring: &retiring,
            target: self.tolerance().required_voters(),
            placement: &placement,
        };
        match next_step(&state) {
            Step::Unchanged => {}
            Step::Change(members) => self.propose_members(members, now),
            Step::TransferLeadership => {
                let successors = successors(&state);
                let is_retiring = retiring.contains(&self.own.machine);
                self.transfer_leadership(&successors, is_retiring, now);
            }
        }
    }

    fn propose_members(&mut self, members: Vec<Member>, now: Millis) {
        log::info!("event=members_proposed members={}", machine_names(&members));
        if let Err(reason) = self.consensus.propose_members(members, now) {
            // The next tick retries.
            log::warn!("event=members_not_proposed reason={reason:?}");
        }
    }

    /// Transfers leadership to one of the successors.
    fn transfer_leadership(&mut self, successors: &[MemberId], is_retiring: bool, now: Millis) {
        if !is_transfer_due(self.group.transferred_at, is_retiring, now) {
            return;
        }
        let reason = if is_retiring { "retirement" } else { "place" };
        if self.consensus.transfer_leadership_to(successors) {
            log::info!("event=leadership_handed_over reason={reason}");
            self.group.transferred_at = Some(now);
        }
    }

    /// Logs the placement when it changes.
    fn log_placement(&mut self, placement: &Placement) {
        let voters = self.consensus.members();
        let outside = voters
            .iter()
            .filter(|voter| !placement.allows(voter))
            .count();
        let logged = LoggedPlacement {
            is_restricted: placement.is_restricted(),
            region: placement.commit_region().map(str::to_string),
            outside,
        };
        if self.group.logged_placement.as_ref() != Some(&logged) {
            log::info!(
                "event=places_wanted bound={} region={} voters={} outside={outside}",
                logged.is_restricted,
                placement.commit_region().unwrap_or(""),
                voters.len()
            );
            self.group.logged_placement = Some(logged);
        }
    }

    /// Replicates the log to a few processes that do not vote. On large fleets, the other processes
    /// do not receive the log until they are chosen.
    fn choose_learners(&mut self, placement: &Placement, retiring: &BTreeSet<String>, now: Millis) {
        let voters = self.consensus.members();
        let peers = self.group.peers.values();
        let others = peers.filter(|peer| !voters.iter().any(|voter| voter.id == peer.id));
        let waiting = others.map(|peer| StandbyCandidate {
            is_returned: voters.iter().any(|voter| voter.machine == peer.machine),
            is_retiring: retiring.contains(&peer.machine),
            is_learner: self.consensus.progress_of(peer.id).is_some(),
            member: peer.clone(),
        });
        let waiting: Vec<StandbyCandidate> = waiting.collect();
        let others: Vec<MemberId> = waiting.iter().map(|one| one.member.id).collect();
        let chosen = choose_standbys(waiting, voters, &self.links.edge_zones(), placement);
        let unchosen = others
            .iter()
            .filter(|id| !chosen.iter().any(|one| one.id == **id));
        for id in unchosen {
            self.consensus.remove_learner(*id);
        }
        for member in chosen {
            self.consensus.add_learner(member, now);
        }
    }

    /// Returns the voters and all other connected storage processes, with their replication
    /// progress.
    fn candidates(&self, now: Millis) -> Vec<Candidate> {
        let mut members: HashMap<MemberId, Member> = self.group.peers.clone();
        for member in self.consensus.members() {
            members.insert(member.id, member.clone());
        }
        let candidates = members.into_values().map(|member| {
            let progress = self.consensus.progress_of(member.id);
            let silent_ms = progress.map(|peer| now.saturating_sub(peer.last_contact));
            Candidate {
                lag: self.consensus.replication_lag(member.id),
                silent_ms,
                member,
            }
        });
        candidates.collect()
    }

    /// Returns the machines that are being retired.
    fn retiring(&self) -> BTreeSet<String> {
        let retirements = self.view.retirements.values();
        retirements.map(|one| one.machine.clone()).collect()
    }

    /// Computes where members may and should be.
    fn placement(&self, candidates: &[Candidate], retiring: &BTreeSet<String>) -> Placement {
        let configuration = self.view.configuration.as_deref();
        let requirements = PlacementRequirements {
            tolerance: self.tolerance(),
            // Without a configuration all regions are allowed, but restricted jobs in the log still
            // restrict the members.
            regions: configuration.map_or(Regions::Any, shared_regions),
            stores_restricted_bodies: has_bound_bodies(&self.view, &self.table),
        };
        let voters = self.consensus.members();
        Placement::new(&requirements, self.own.id, voters, candidates, retiring)
    }

    /// Returns the losses that the group must tolerate.
    fn tolerance(&self) -> FaultTolerance {
        let process = &self.settings.process;
        FaultTolerance {
            machines: process.tolerated_losses,
            zones: process.tolerated_zones,
            regions: process.tolerated_regions,
        }
    }
}
