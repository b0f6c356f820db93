//! Links among storage processes: who the others are, who is connected, who hears that the group
//! is led.
//!
//! Owns [`Group`]. Which of the others vote or are sent the log is decided in
//! [`super::membership`]; how a process outside finds the group, in [`super::record`].

use super::process::Storage;
use super::record::Record;
use super::search::SIGN_PAUSE;
use crate::link::{LinkId, dial};
use brasspond_cluster_protocol::{Message, Peer, Watch};
use brasspond_consensus::{Member, MemberId};
use brasspond_units::Millis;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::AbortHandle;

/// What is known of other storage processes.
pub(super) struct Group {
    /// The newest link to each member.
    link_by_member: HashMap<MemberId, LinkId>,
    /// Processes that said who they are and are connected, voters or not.
    pub peers: HashMap<MemberId, Member>,
    /// Tasks that keep a connection to each address.
    dialers: HashMap<SocketAddr, AbortHandle>,
    /// The group's record at the registry.
    pub record: Record,
    /// When the leader last gave signs of life to processes outside; 0: never.
    signed_at: Millis,
    /// When this process last handed the lead over.
    pub handed_over_at: Option<Millis>,
    /// What was last logged of the places wanted.
    pub logged_places: Option<LoggedPlaces>,
}

/// What a log line says of the places wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LoggedPlaces {
    /// Whether members are bound to regions.
    pub bound: bool,
    /// The region in which entries commit.
    pub region: Option<String>,
    /// Voters outside the regions that bind.
    pub outside: usize,
}

impl Group {
    /// Of a process that knows no others yet.
    pub fn new(record: Record) -> Self {
        Self {
            link_by_member: HashMap::new(),
            peers: HashMap::new(),
            dialers: HashMap::new(),
            record,
            signed_at: 0,
            handed_over_at: None,
            logged_places: None,
        }
    }

    /// The newest link to a member.
    pub fn link_of(&self, member: MemberId) -> Option<LinkId> {
        self.link_by_member.get(&member).copied()
    }

    /// Forgets processes without a link; gives who they were.
    pub fn drop_unlinked(&mut self) -> Vec<MemberId> {
        let links = &self.link_by_member;
        let gone = self.peers.keys().filter(|id| !links.contains_key(id));
        let gone: Vec<MemberId> = gone.copied().collect();
        for id in &gone {
            self.peers.remove(id);
        }
        gone
    }
}

impl Storage {
    /// The process behind a link said who it is.
    pub(super) fn on_hello(&mut self, link: LinkId, peer: Peer) {
        if let Peer::Storage(member) = &peer
            && member.id != self.own.id
        {
            self.group.link_by_member.insert(member.id, link);
            self.group.peers.insert(member.id, member.clone());
            self.dial_to(member.address);
            self.record_lost_disks(member);
        }
        self.links.edges_lack_view |= matches!(peer, Peer::Edge { .. });
        if let Some(state) = self.links.get_mut(link) {
            state.peer = Some(peer);
        }
    }

    /// A machine that comes back under another identity lost its disk.
    fn record_lost_disks(&mut self, came: &Member) {
        let voters = self.consensus.members().iter();
        let before = voters.filter(|one| one.machine == came.machine && one.id != came.id);
        let lost: Vec<MemberId> = before.map(|one| one.id).collect();
        for id in lost {
            log::info!(
                "event=disk_lost machine={} member={id:016x} now={:016x}",
                came.machine,
                came.id
            );
            self.consensus.record_lost_disk(id);
        }
    }

    /// A link is no more.
    pub(super) fn on_link_down(&mut self, link: LinkId, now: Millis) {
        let Some(state) = self.links.remove(link) else {
            return;
        };
        self.group.link_by_member.retain(|_, other| *other != link);
        match state.peer {
            Some(Peer::Storage(member)) => {
                // Another link to the same member may still be up.
                if let Some(other) = self.links.to_member(member.id) {
                    self.group.link_by_member.insert(member.id, other);
                }
            }
            Some(Peer::Edge { machine, .. }) => self.edge_link_down(link, machine, now),
            None => {}
        }
    }

    /// Nothing listens at an address: a leader there has ended, and another may be elected at
    /// once.
    pub(super) fn on_refused(&mut self, address: SocketAddr, now: Millis) {
        let mut members = self.consensus.members().iter();
        let refused = members.find(|member| member.address == address);
        let Some(id) = refused.map(|member| member.id) else {
            return;
        };
        if self.consensus.leader() == Some(id) {
            log::info!("event=leader_ended member={id:016x} address={address}");
            self.consensus.leader_ended(id, now);
        }
    }

    /// Connects to every member named in the log.
    pub(super) fn dial_members(&mut self) {
        let members = self.consensus.members().to_vec();
        self.learn_members(&members);
    }

    /// Connects to members that the log, the record or a leader names.
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
        let events = self.links.events.clone();
        let dialing = dial(address, hello, Rc::clone(&self.links.context), events);
        let task = tokio::task::spawn_local(dialing);
        self.group.dialers.insert(address, task.abort_handle());
    }

    /// Sends a message between members of the log; without a link it is lost, and consensus
    /// sends it again.
    pub(super) fn send_to_member(&mut self, to: MemberId, message: brasspond_consensus::Message) {
        let message = Message::Consensus {
            from: self.own.id,
            to,
            message,
        };
        let link = self.group.link_of(to);
        if let Some(state) = link.and_then(|link| self.links.get(link)) {
            state.writer.send(&message);
        }
    }

    /// Sends processes outside the group that it is led: at once who its members are, to each
    /// that comes and to all when they change, then signs of life. They do not search for the
    /// group meanwhile.
    pub(super) fn announce_to_outsiders(&mut self, term: u64, now: Millis) {
        let is_due = now >= self.group.signed_at + SIGN_PAUSE;
        if is_due {
            self.group.signed_at = now;
        }
        let leading = Message::Leading {
            term,
            members: self.consensus.members().to_vec(),
            standbys: Vec::new(),
            watch: Watch::Nothing,
            time: None,
            is_busy: false,
            closed_window: None,
        };
        for (id, link) in &self.group.link_by_member {
            let is_sent_log = self.consensus.progress_of(*id).is_some();
            let Some(state) = self.links.get_mut(*link) else {
                continue;
            };
            if state.announced_term != term {
                state.announced_term = term;
                state.writer.send(&leading);
            } else if is_due && !is_sent_log {
                let wall = self.clock.wall();
                let uptime = self.clock.now();
                state.writer.send(&Message::Beat { wall, uptime });
            }
        }
    }

    /// A change of voters is committed: all are sent the new ones.
    pub(super) fn members_applied(&mut self, members: &[Member]) {
        for link in self.group.link_by_member.values() {
            if let Some(state) = self.links.get_mut(*link) {
                state.announced_term = 0;
            }
        }
        log::info!("event=members_changed members={}", machines(members));
        if let Some(leading) = &mut self.leading {
            // Edges are sent them with the next turn: one that lost its leader before the next
            // regular announcement would not know where the next one is.
            leading.announcements.leader_sent_at = 0;
        }
        self.learn_members(members);
    }
}

/// Machines of members, for log lines.
pub(super) fn machines(members: &[Member]) -> String {
    let names: Vec<&str> = members.iter().map(|one| one.machine.as_str()).collect();
    names.join(",")
}
