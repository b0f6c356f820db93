//! Links between storage processes: dials the known processes, tracks which are connected, and
//! announces the leader to them.
//!
//! Owns [`Group`]. [`super::membership`] decides which processes vote or receive the log;
//! [`super::record`] lets a process outside the group find the group.

use super::process::Storage;
use super::record::Record;
use super::search::HEARTBEAT_INTERVAL;
use crate::link::{LinkId, dial};
use brasspond_cluster_protocol::{Message, Peer, Watch};
use brasspond_consensus::{Member, MemberId};
use brasspond_units::Millis;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::AbortHandle;

/// Links to the other storage processes, voters or not, and the state with which this process finds
/// and manages the group of voters.
pub(super) struct Group {
    /// A link to each connected process: the newest one, or any other after the newest broke.
    link_by_member: HashMap<MemberId, LinkId>,
    /// Connected processes that introduced themselves, voters or not.
    pub peers: HashMap<MemberId, Member>,
    /// Tasks that dial each address and keep a link to it open.
    dialers: HashMap<SocketAddr, AbortHandle>,
    /// The group's record at the registry.
    pub record: Record,
    /// When this leader last sent heartbeats to processes that do not receive the log, or 0 if
    /// never.
    heartbeat_sent_at: Millis,
    /// When this process last transferred its leadership.
    pub transferred_at: Option<Millis>,
    /// The placement as last logged.
    pub logged_placement: Option<LoggedPlacement>,
}

/// Placement as reported in log lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LoggedPlacement {
    /// Whether members are restricted to certain regions.
    pub is_restricted: bool,
    /// The region that should hold a quorum of the voters, if there is one.
    pub region: Option<String>,
    /// Number of voters outside the allowed regions.
    pub outside: usize,
}

impl Group {
    /// Creates the state of a process that knows no other storage processes yet.
    pub fn new(record: Record) -> Self {
        Self {
            link_by_member: HashMap::new(),
            peers: HashMap::new(),
            dialers: HashMap::new(),
            record,
            heartbeat_sent_at: 0,
            transferred_at: None,
            logged_placement: None,
        }
    }

    /// Returns the link used for messages to a process, if it is connected.
    pub fn link_of(&self, member: MemberId) -> Option<LinkId> {
        self.link_by_member.get(&member).copied()
    }

    /// Removes the peers without a link and returns their ids.
    pub fn drop_unlinked(&mut self) -> Vec<MemberId> {
        let links = &self.link_by_member;
        let removed = self.peers.keys().filter(|id| !links.contains_key(id));
        let removed: Vec<MemberId> = removed.copied().collect();
        for id in &removed {
            self.peers.remove(id);
        }
        removed
    }
}

impl Storage {
    /// Handles the introduction of the process at the other end of a link.
    pub(super) fn on_hello(&mut self, link: LinkId, peer: Peer) {
        if let Peer::Storage(member) = &peer
            && member.id != self.own.id
        {
            self.group.link_by_member.insert(member.id, link);
            self.group.peers.insert(member.id, member.clone());
            self.dial_address(member.address);
            self.record_lost_disks(member);
        }
        self.links.edges_lack_view |= matches!(peer, Peer::Edge { .. });
        if let Some(state) = self.links.get_mut(link) {
            state.peer = Some(peer);
        }
    }

    /// Records that a machine lost its disk if it returns under another member id.
    fn record_lost_disks(&mut self, returned: &Member) {
        let voters = self.consensus.members().iter();
        let previous =
            voters.filter(|one| one.machine == returned.machine && one.id != returned.id);
        let lost: Vec<MemberId> = previous.map(|one| one.id).collect();
        for id in lost {
            log::info!(
                "event=disk_lost machine={} member={id:016x} now={:016x}",
                returned.machine,
                returned.id
            );
            self.consensus.record_lost_disk(id);
        }
    }

    /// Handles a broken link.
    pub(super) fn on_link_down(&mut self, link: LinkId, now: Millis) {
        let Some(state) = self.links.remove(link) else {
            return;
        };
        self.group.link_by_member.retain(|_, other| *other != link);
        match state.peer {
            Some(Peer::Storage(member)) => {
                // Another link to the same member may still be up.
                if let Some(other) = self.links.link_to_member(member.id) {
                    self.group.link_by_member.insert(member.id, other);
                }
            }
            Some(Peer::Edge { machine, .. }) => self.edge_link_down(link, machine, now),
            None => {}
        }
    }

    /// Handles a refused connection. If the address belongs to the leader, its process has ended
    /// and an election may start at once.
    pub(super) fn on_connection_refused(&mut self, address: SocketAddr, now: Millis) {
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

    /// Connects to the voters of the current configuration.
    pub(super) fn dial_members(&mut self) {
        let members = self.consensus.members().to_vec();
        self.connect_to_members(&members);
    }

    /// Connects to members named by the log, the group's record or a leader.
    pub(super) fn connect_to_members(&mut self, members: &[Member]) {
        for member in members {
            if member.id != self.own.id && member.address != self.own.address {
                self.dial_address(member.address);
            }
        }
    }

    fn dial_address(&mut self, address: SocketAddr) {
        if self.group.dialers.contains_key(&address) {
            return;
        }
        let hello = Peer::Storage(self.own.clone());
        let events = self.links.events.clone();
        let dialing = dial(address, hello, Rc::clone(&self.links.context), events);
        let task = tokio::task::spawn_local(dialing);
        self.group.dialers.insert(address, task.abort_handle());
    }

    /// Sends a consensus message to a member. Without a link the message is dropped, and consensus
    /// retries.
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

    /// Announces this leader and the members on each link to a storage process, once per term and
    /// again after the members change. Processes that do not receive the log are also sent
    /// heartbeats, so that they do not search for the group.
    pub(super) fn announce_to_storage(&mut self, term: u64, now: Millis) {
        let is_due = now >= self.group.heartbeat_sent_at + HEARTBEAT_INTERVAL;
        if is_due {
            self.group.heartbeat_sent_at = now;
        }
        let announcement = Message::Leading {
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
                state.writer.send(&announcement);
            } else if is_due && !is_sent_log {
                let wall = self.clock.wall();
                let uptime = self.clock.now();
                state.writer.send(&Message::Beat { wall, uptime });
            }
        }
    }

    /// Handles a committed change of voters. Connects to the new voters. On the leader, also makes
    /// announcements of the voters to edges and storage processes due.
    pub(super) fn members_applied(&mut self, members: &[Member]) {
        for link in self.group.link_by_member.values() {
            if let Some(state) = self.links.get_mut(*link) {
                state.announced_term = 0;
            }
        }
        log::info!("event=members_changed members={}", machine_names(members));
        if let Some(leader_state) = &mut self.leader_state {
            // Makes an announcement to edges due now. An edge that loses its leader before it is
            // sent the new members would not know where to find the next leader.
            leader_state.announcements.leader_sent_at = 0;
        }
        self.connect_to_members(members);
    }
}

/// Joins machine names for log lines.
pub(super) fn machine_names(members: &[Member]) -> String {
    let names: Vec<&str> = members.iter().map(|one| one.machine.as_str()).collect();
    names.join(",")
}
