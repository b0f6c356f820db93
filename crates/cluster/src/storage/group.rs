//! The group that keeps the log: finding it, joining it, changing it.

use super::places::Places;
use super::plan::{Candidate, Situation, Step, next_step, successors};
use super::process::{Local, Storage};
use super::search::{RecordSearch, SIGN_PAUSE, making_pause};
use super::standbys::{Waiting, standbys};
use crate::clock::Moment;
use crate::link::{LinkId, dial};
use crate::platform::{GroupRecord, Registry, RegistryError};
use brasspond_cluster_protocol::{Message, Peer, Watch};
use brasspond_consensus::{Member, MemberId};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;

/// Pause between two calls to the registry, in ms.
const REGISTRY_PAUSE: u64 = 400;
/// Pause between two tries to hand the lead over for the leader's place, in ms: several
/// elections, and short beside the time for which a group stands where it stands.
const PLACE_PAUSE: u64 = 5_000;
/// Pause after a failed call to the registry, in ms.
const REGISTRY_RETRY: u64 = 700;

/// What is known of other storage processes.
pub(super) struct Group {
    /// The newest link to each member.
    link_by_member: HashMap<MemberId, LinkId>,
    /// Members that said who they are, voters or not.
    peers: HashMap<MemberId, Member>,
    heard_at: HashMap<MemberId, u64>,
    dialers: HashMap<SocketAddr, AbortHandle>,
    /// When a process outside the group looks for it.
    search: RecordSearch,
    /// When the leader last gave signs of life to processes outside.
    signed_at: u64,
    registry_at: u64,
    registry_busy: bool,
    /// Members as the record names them, as far as known.
    recorded: Option<Vec<Member>>,
    reported: HashMap<String, bool>,
    /// When this process last handed the lead over.
    handed_over_at: Option<u64>,
    /// What was last logged of the places wanted: whether regions bind, the region in which
    /// entries commit, voters outside.
    places: Option<(bool, Option<String>, usize)>,
}

impl Group {
    pub fn new(search: RecordSearch) -> Self {
        Self {
            link_by_member: HashMap::new(),
            peers: HashMap::new(),
            heard_at: HashMap::new(),
            dialers: HashMap::new(),
            search,
            signed_at: 0,
            registry_at: 0,
            registry_busy: false,
            recorded: None,
            reported: HashMap::new(),
            handed_over_at: None,
            places: None,
        }
    }

    /// The leader told that the group is led.
    pub fn led(&mut self, now: u64) {
        self.search.led(now);
    }

    pub fn link_of(&self, member: MemberId) -> Option<LinkId> {
        self.link_by_member.get(&member).copied()
    }

    pub fn heard(&mut self, member: MemberId, now: u64) {
        self.heard_at.insert(member, now);
    }
}

impl Storage {
    pub(super) fn on_hello(&mut self, link: LinkId, peer: Peer) {
        let now = self.clock.now();
        if let Peer::Storage(member) = &peer
            && member.id != self.own.id
        {
            self.group.link_by_member.insert(member.id, link);
            self.group.heard(member.id, now);
            self.group.peers.insert(member.id, member.clone());
            self.dial_to(member.address);
            self.note_lost_disks(member);
        }
        self.edges_lack_view |= matches!(peer, Peer::Edge { .. });
        if let Some(state) = self.links.get_mut(&link) {
            state.peer = Some(peer);
        }
    }

    /// A machine that comes back under another identity lost its disk.
    fn note_lost_disks(&mut self, came: &Member) {
        let voters = self.consensus.members().iter();
        let before = voters.filter(|one| one.machine == came.machine && one.id != came.id);
        let lost: Vec<MemberId> = before.map(|one| one.id).collect();
        for id in lost {
            log::info!(
                "event=disk_lost machine={} member={id:016x} now={:016x}",
                came.machine,
                came.id
            );
            self.consensus.note_lost(id);
        }
    }

    pub(super) fn on_link_down(&mut self, link: LinkId, now: u64) {
        let Some(state) = self.links.remove(&link) else {
            return;
        };
        self.group.link_by_member.retain(|_, other| *other != link);
        match state.peer {
            Some(Peer::Storage(member)) => {
                // Another link to the same member may still be up.
                let other = self.links.iter().find(|(_, other)| {
                    matches!(&other.peer, Some(Peer::Storage(known)) if known.id == member.id)
                });
                if let Some((other, _)) = other {
                    self.group.link_by_member.insert(member.id, *other);
                }
            }
            Some(Peer::Edge { machine, .. }) => self.edge_link_down(link, machine, now),
            None => {}
        }
    }

    /// Connects to every member named in the log or in the record.
    pub(super) fn dial_members(&mut self) {
        let members = self.consensus.members().to_vec();
        self.learn_members(&members);
    }

    pub(super) fn learn_members(&mut self, members: &[Member]) {
        for member in members {
            if member.id != self.own.id && member.address != self.own.address {
                self.dial_to(member.address);
            }
        }
    }

    fn dial_to(&mut self, address: SocketAddr) {
        if self.group.dialers.contains_key(&address) {
            return;
        }
        let hello = Peer::Storage(self.own.clone());
        let events = self.events.clone();
        let dialing = dial(address, hello, Rc::clone(&self.context), events);
        let task = tokio::task::spawn_local(dialing);
        self.group.dialers.insert(address, task.abort_handle());
    }

    /// Tells processes outside the group that it is led: at once who its members
    /// are, to each that comes and to all when they change, then signs of life. They
    /// need not look for the group meanwhile.
    pub(super) fn announce_to_outsiders(&mut self, term: u64, now: u64) {
        let is_due = now >= self.group.signed_at + SIGN_PAUSE;
        if is_due {
            self.group.signed_at = now;
        }
        let members = self.consensus.members();
        let leading = Message::Leading {
            term,
            members: members.to_vec(),
            standbys: Vec::new(),
            watch: Watch::Nothing,
            time: None,
            is_busy: false,
            closed_window: None,
        };
        for (id, link) in &self.group.link_by_member {
            let hears_log = self.consensus.progress_of(*id).is_some();
            let Some(state) = self.links.get_mut(link) else {
                continue;
            };
            if state.announced_term != term {
                state.announced_term = term;
                state.writer.send(&leading);
            } else if is_due && !hears_log {
                let wall = self.clock.wall();
                let uptime = self.clock.now();
                state.writer.send(&Message::Beat { wall, uptime });
            }
        }
    }

    pub(super) fn members_applied(&mut self, members: &[Member]) {
        for link in self.group.link_by_member.values() {
            if let Some(state) = self.links.get_mut(link) {
                state.announced_term = 0;
            }
        }
        let names: Vec<&str> = members.iter().map(|one| one.machine.as_str()).collect();
        log::info!("event=members_changed members={}", names.join(","));
        if let Some(leading) = &mut self.leading {
            // Edges are told with the next tick: one that lost its leader before the next
            // regular sign of life would not know where the next one is.
            leading.announcements.leader_sent_at = 0;
        }
        self.learn_members(members);
    }

    /// A process outside the group looks for it; the very first makes it.
    pub(super) fn search_group(&mut self, now: u64) {
        let is_outside = !self.consensus.is_voter();
        if !is_outside || self.group.registry_busy || now < self.group.registry_at {
            return;
        }
        if self.consensus.leader().is_some() {
            self.group.led(now);
        }
        if !self.group.search.is_due(now) {
            return;
        }
        self.group.search.searched(now);
        self.group.registry_busy = true;
        let registry = Rc::clone(&self.platform.registry);
        let local = self.local.clone();
        tokio::task::spawn_local(async move {
            let begun = Moment::now();
            let event = match registry.read().await {
                Ok(record) => Local::Record(record, begun.elapsed()),
                Err(_) => Local::RegistryFailed,
            };
            local.send(event).await;
        });
    }

    pub(super) fn on_local(&mut self, event: Local) {
        let now = self.clock.now();
        match event {
            Local::Dispatch(term, event) => {
                if self.consensus.term() == term {
                    self.dispatch(event);
                }
            }
            Local::UsageSent(term, window, answer) => {
                self.metrics.usage_report(answer.name());
                if self.consensus.term() == term {
                    self.usage_sent(window, answer, now);
                }
            }
            Local::ReplicasOrdered(term, order, answer) => {
                self.metrics.replica_order(answer.name());
                if self.consensus.term() == term {
                    self.replicas_ordered(&order, answer);
                }
            }
            Local::Record(record, took) => {
                self.registry_done(now + REGISTRY_PAUSE);
                self.on_record(record, took, now);
            }
            Local::RecordMade => {
                self.registry_done(now + REGISTRY_PAUSE);
                self.make_group(now);
            }
            Local::RecordWritten(members) => {
                self.registry_done(now + REGISTRY_PAUSE);
                self.group.recorded = Some(members);
            }
            Local::RetirementReported(machine, completed) => {
                self.registry_done(now);
                self.group.reported.insert(machine, completed);
            }
            Local::RegistryFailed => self.registry_done(now + REGISTRY_RETRY),
        }
    }

    fn registry_done(&mut self, next: u64) {
        self.group.registry_busy = false;
        self.group.registry_at = next;
    }

    fn on_record(&mut self, record: Option<GroupRecord>, took: Duration, now: u64) {
        match record {
            Some(record) => {
                let is_own = record.members.len() == 1 && record.members[0].id == self.own.id;
                if is_own && self.consensus.last_index() == 0 {
                    self.make_group(now);
                } else {
                    self.learn_members(&record.members);
                }
            }
            None if self.settings.process.may_bootstrap && self.consensus.last_index() == 0 => {
                self.create_record(took);
            }
            None => {}
        }
    }

    /// Makes the record; where machines stand in several regions, the sooner the nearer this
    /// process is to the store.
    fn create_record(&mut self, took: Duration) {
        let read_ms = took.as_millis() as u64;
        let has_regions = self.settings.process.regions > 1;
        let pause_ms = if has_regions {
            making_pause(read_ms)
        } else {
            0
        };
        log::info!("event=record_missing read_ms={read_ms} pause_ms={pause_ms}");
        self.group.registry_busy = true;
        let registry = Rc::clone(&self.platform.registry);
        let local = self.local.clone();
        let own = self.own.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let event = match registry.create(vec![own]).await {
                Ok(()) => Local::RecordMade,
                Err(_) => Local::RegistryFailed,
            };
            local.send(event).await;
        });
    }

    fn make_group(&mut self, now: u64) {
        if self.consensus.last_index() == 0 {
            log::info!("event=group_made member={:016x}", self.own.id);
            self.consensus.bootstrap(self.own.clone(), now);
        }
    }

    /// The leader keeps enough live members that stay, where they should stand, one change
    /// at a time.
    pub(super) fn reconcile_members(&mut self, now: u64) {
        self.drop_unlinked_peers();
        let candidates = self.candidates(now);
        let retiring = self.retiring();
        let places = self.places(&candidates, &retiring);
        self.add_learners(&places, &retiring, now);
        self.note_places(&places);
        if self.consensus.may_change_members().is_err() {
            return;
        }
        let situation = Situation {
            own: self.own.id,
            voters: self.consensus.members(),
            candidates: &candidates,
            retiring: &retiring,
            target: self.losses().voters(),
            places: &places,
        };
        match next_step(&situation) {
            Step::Stay => {}
            Step::Change(members) => {
                let names: Vec<&str> = members.iter().map(|one| one.machine.as_str()).collect();
                log::info!("event=members_proposed members={}", names.join(","));
                let _ = self.consensus.propose_members(members, now);
            }
            Step::HandOver => {
                let successors = successors(&situation);
                let is_retiring = retiring.contains(&self.own.machine);
                self.hand_over(&successors, is_retiring, now);
            }
        }
    }

    /// Lets one of these lead. Where that is for the leader's place alone, a try that failed is
    /// not repeated at once: each costs a term.
    fn hand_over(&mut self, successors: &[MemberId], is_retiring: bool, now: u64) {
        let reason = if is_retiring { "retirement" } else { "place" };
        let last = self.group.handed_over_at;
        let is_early = last.is_some_and(|at| now < at + PLACE_PAUSE);
        if is_early && !is_retiring {
            return;
        }
        if self.consensus.transfer_leadership_to(successors) {
            log::info!("event=leadership_handed_over reason={reason}");
            self.group.handed_over_at = Some(now);
        }
    }

    /// A line when the places of members change, and why.
    fn note_places(&mut self, places: &Places) {
        let voters = self.consensus.members();
        let outside = voters.iter().filter(|voter| !places.allow(voter)).count();
        let told = (
            places.are_bound(),
            places.region().map(str::to_string),
            outside,
        );
        if self.group.places != Some(told.clone()) {
            log::info!(
                "event=places_wanted bound={} region={} voters={} outside={outside}",
                told.0,
                places.region().unwrap_or(""),
                voters.len()
            );
            self.group.places = Some(told);
        }
    }

    /// Sends the log to a few members that do not vote yet. On large fleets the others wait
    /// until one of these is needed.
    fn add_learners(&mut self, places: &Places, retiring: &BTreeSet<String>, now: u64) {
        let voters = self.consensus.members();
        let peers = self.group.peers.values();
        let others = peers.filter(|peer| !voters.iter().any(|voter| voter.id == peer.id));
        let waiting = others.map(|peer| Waiting {
            is_returned: voters.iter().any(|voter| voter.machine == peer.machine),
            is_retiring: retiring.contains(&peer.machine),
            is_learner: self.consensus.progress_of(peer.id).is_some(),
            member: peer.clone(),
        });
        let waiting: Vec<Waiting> = waiting.collect();
        let others: Vec<MemberId> = waiting.iter().map(|one| one.member.id).collect();
        let chosen = standbys(waiting, voters, &self.edge_zones(), places);
        let left = others
            .iter()
            .filter(|id| !chosen.iter().any(|one| one.id == **id));
        for id in left {
            self.consensus.remove_learner(*id);
        }
        for member in chosen {
            self.consensus.add_learner(member, now);
        }
    }

    /// Zones of the edges that are connected: they read results.
    fn edge_zones(&self) -> BTreeSet<String> {
        let peers = self.links.values().filter_map(|state| state.peer.as_ref());
        let zones = peers.filter_map(|peer| match peer {
            Peer::Edge { zone, .. } => Some(zone.clone()),
            Peer::Storage(_) => None,
        });
        zones.collect()
    }

    fn drop_unlinked_peers(&mut self) {
        let links = &self.group.link_by_member;
        let gone = self.group.peers.keys().filter(|id| !links.contains_key(id));
        let gone: Vec<MemberId> = gone.copied().collect();
        for id in gone {
            self.group.peers.remove(&id);
            self.consensus.remove_learner(id);
        }
    }

    fn candidates(&self, now: u64) -> Vec<Candidate> {
        let mut known: HashMap<MemberId, Member> = self.group.peers.clone();
        for member in self.consensus.members() {
            known.insert(member.id, member.clone());
        }
        let candidates = known.into_values().map(|member| {
            let progress = self.consensus.progress_of(member.id);
            let silent_ms = progress.map(|peer| now.saturating_sub(peer.heard_at));
            Candidate {
                lag: self.consensus.lag_of(member.id),
                silent_ms,
                member,
            }
        });
        candidates.collect()
    }

    fn retiring(&self) -> BTreeSet<String> {
        let retirements = self.view.retirements.values();
        retirements.map(|one| one.machine.clone()).collect()
    }

    /// The leader writes down who keeps the log, and which machines are empty.
    pub(super) fn reconcile_records(&mut self, now: u64) {
        if self.group.registry_busy || now < self.group.registry_at {
            return;
        }
        if let Some((machine, completed)) = self.retirement_to_report() {
            self.report_retirement(machine, completed);
            return;
        }
        let members = self.consensus.members().to_vec();
        if self.group.recorded.as_ref() != Some(&members)
            && self.consensus.may_change_members().is_ok()
        {
            self.write_record(members);
        }
    }

    fn retirement_to_report(&self) -> Option<(String, bool)> {
        let is_settled = self.consensus.may_change_members().is_ok();
        for retirement in self.view.retirements.values() {
            let machine = &retirement.machine;
            let votes = self
                .consensus
                .members()
                .iter()
                .any(|one| one.machine == *machine);
            let known = self.group.reported.get(machine).copied();
            let known = known.or(retirement.completed.then_some(true));
            let known = known.or(retirement.begun.then_some(false));
            if !votes && is_settled && known != Some(true) {
                return Some((machine.clone(), true));
            }
            if votes && known.is_none() {
                return Some((machine.clone(), false));
            }
        }
        None
    }

    fn report_retirement(&mut self, machine: String, completed: bool) {
        log::info!("event=retirement_reported machine={machine} completed={completed}");
        self.group.registry_busy = true;
        let registry = Rc::clone(&self.platform.registry);
        let local = self.local.clone();
        tokio::task::spawn_local(async move {
            let reported = registry.report_retirement(machine.clone(), completed).await;
            let event = match reported {
                Ok(()) => Local::RetirementReported(machine, completed),
                Err(_) => Local::RegistryFailed,
            };
            local.send(event).await;
        });
    }

    fn write_record(&mut self, members: Vec<Member>) {
        self.group.registry_busy = true;
        let registry = Rc::clone(&self.platform.registry);
        let local = self.local.clone();
        tokio::task::spawn_local(async move {
            let event = match replace_record(&*registry, &members).await {
                Ok(()) => Local::RecordWritten(members),
                Err(_) => Local::RegistryFailed,
            };
            local.send(event).await;
        });
    }
}

async fn replace_record(registry: &dyn Registry, members: &[Member]) -> Result<(), RegistryError> {
    let revision = match registry.read().await {
        Ok(None) => return registry.create(members.to_vec()).await,
        Ok(Some(record)) if record.members == members => return Ok(()),
        Ok(Some(record)) => record.revision,
        // Whoever leads knows the members; others find the group by the record alone.
        Err(RegistryError::Unreadable(revision)) => revision,
        Err(error) => return Err(error),
    };
    let record = GroupRecord {
        members: members.to_vec(),
        revision,
    };
    registry.replace(record).await
}

#[cfg(test)]
#[path = "../../tests/unit/record.rs"]
mod tests;
