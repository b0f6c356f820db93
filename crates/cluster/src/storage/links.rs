//! Links of a storage process: the state of each link, and the handling of its events.
//!
//! Owns [`Links`]. The links themselves are tasks of [`crate::link`].

use super::process::Storage;
use crate::link::{LinkContext, LinkEvent, LinkId, Writer};
use brasspond_cluster_protocol::{
    FEATURE_NO_MEMORY, FEATURE_REPLICA_LOADS, FEATURE_VIEW_CATCH_UP, Message, Peer,
};
use brasspond_consensus::MemberId;
use brasspond_units::Millis;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use tokio::sync::mpsc;

/// State of a link.
pub(super) struct LinkState {
    pub writer: Writer,
    /// The process at the other end, or `None` until it introduces itself.
    pub peer: Option<Peer>,
    /// When its last message arrived, or when it was established.
    pub heard_at: Millis,
    /// Newest term in which this process announced its leadership on the link. It is 0 if the
    /// process never did or, on links to storage processes, if the members changed since.
    pub announced_term: u64,
    /// Whether the edge at the other end was sent the newest view that was sent to all edges.
    pub has_view: bool,
    /// Whether the edge at the other end asked for a full view, since it cannot catch up.
    pub needs_full_view: bool,
    /// Whether the edge at the other end was sent all quarantine cases that concern edges.
    pub has_quarantine: bool,
    /// Whether the edge at the other end was sent the list of deviating replicas in this term, so
    /// that it may report its observations.
    pub has_replica_loads: bool,
}

impl LinkState {
    pub fn new(writer: Writer, now: Millis) -> Self {
        Self {
            writer,
            peer: None,
            heard_at: now,
            announced_term: 0,
            has_view: false,
            needs_full_view: false,
            has_quarantine: false,
            has_replica_loads: false,
        }
    }

    /// Whether the process at the other end is an edge.
    pub fn is_edge(&self) -> bool {
        matches!(self.peer, Some(Peer::Edge { .. }))
    }

    /// Whether the process at the other end is an edge that reads lists of deviating replicas.
    pub fn reads_replica_loads(&self) -> bool {
        self.has_feature(FEATURE_REPLICA_LOADS)
    }

    /// Whether the process at the other end is an edge that may catch up with the view from an
    /// earlier one.
    pub fn may_catch_up(&self) -> bool {
        !self.needs_full_view && self.has_feature(FEATURE_VIEW_CATCH_UP)
    }

    /// Whether the edge reads [`Answer::NoMemory`](brasspond_cluster_protocol::Answer::NoMemory).
    pub fn reads_no_memory(&self) -> bool {
        self.has_feature(FEATURE_NO_MEMORY)
    }

    fn has_feature(&self, feature: u32) -> bool {
        let Some(Peer::Edge { features, .. }) = &self.peer else {
            return false;
        };
        features & feature != 0
    }

    fn is_to_member(&self, id: MemberId) -> bool {
        matches!(&self.peer, Some(Peer::Storage(member)) if member.id == id)
    }
}

/// All links of a process.
pub(super) struct Links {
    states: HashMap<LinkId, LinkState>,
    /// Whether some edge was not sent the leader announcement or the full view.
    pub edges_lack_view: bool,
    /// Whether some edge was not sent all quarantine cases that concern edges.
    pub edges_lack_quarantine: bool,
    /// Queue to which links report their events.
    pub events: mpsc::Sender<LinkEvent>,
    /// Context shared by all links: distances and byte counts.
    pub context: Rc<LinkContext>,
}

impl Links {
    /// Creates an empty set whose links report to `events`.
    pub fn new(context: Rc<LinkContext>, events: mpsc::Sender<LinkEvent>) -> Self {
        Self {
            states: HashMap::new(),
            edges_lack_view: false,
            edges_lack_quarantine: false,
            events,
            context,
        }
    }

    /// Returns a link, or `None` if it is down.
    pub fn get(&self, link: LinkId) -> Option<&LinkState> {
        self.states.get(&link)
    }

    /// Bytes queued on a link and not yet written; 0 if the link is down.
    pub fn queued_bytes(&self, link: LinkId) -> usize {
        self.get(link)
            .map_or(0, |state| state.writer.queued_bytes())
    }

    /// Bytes queued on all links to edges and not yet written.
    pub fn bytes_queued_for_edges(&self) -> usize {
        let edges = self.iter().filter(|state| state.is_edge());
        edges.map(|state| state.writer.queued_bytes()).sum()
    }

    /// Bytes queued on all links and not yet written.
    pub fn all_queued_bytes(&self) -> usize {
        self.iter().map(|state| state.writer.queued_bytes()).sum()
    }

    /// Returns the states of all links.
    pub fn iter(&self) -> impl Iterator<Item = &LinkState> {
        self.states.values()
    }

    /// Returns a mutable link, or `None` if it is down.
    pub fn get_mut(&mut self, link: LinkId) -> Option<&mut LinkState> {
        self.states.get_mut(&link)
    }

    /// Removes a link that is down.
    pub fn remove(&mut self, link: LinkId) -> Option<LinkState> {
        self.states.remove(&link)
    }

    /// Returns the links to edges on which this process announced its leadership in `term`.
    pub fn announced_edges(&mut self, term: u64) -> impl Iterator<Item = &mut LinkState> {
        let states = self.states.values_mut();
        states.filter(move |state| state.is_edge() && state.announced_term == term)
    }

    /// Returns the links to edges, oldest first.
    pub fn edges(&self) -> Vec<LinkId> {
        let edges = self.states.iter().filter(|(_, state)| state.is_edge());
        let mut links: Vec<LinkId> = edges.map(|(link, _)| *link).collect();
        links.sort_unstable();
        links
    }

    /// Returns the zones of the connected edges.
    pub fn edge_zones(&self) -> BTreeSet<String> {
        let peers = self.states.values().filter_map(|state| state.peer.as_ref());
        let zones = peers.filter_map(|peer| match peer {
            Peer::Edge { zone, .. } => Some(zone.clone()),
            Peer::Storage(_) => None,
        });
        zones.collect()
    }

    /// Returns any link to a member.
    pub fn link_to_member(&self, id: MemberId) -> Option<LinkId> {
        let mut links = self.states.iter();
        let link = links.find(|(_, state)| state.is_to_member(id));
        link.map(|(link, _)| *link)
    }

    fn is_to_storage(&self, link: LinkId) -> bool {
        let state = self.get(link);
        state.is_some_and(|state| matches!(state.peer, Some(Peer::Storage(_))))
    }
}

impl Storage {
    /// Handles an event of a link.
    pub(super) fn on_link(&mut self, event: LinkEvent) {
        let now = self.clock.now();
        match event {
            LinkEvent::Up {
                link, writer, peer, ..
            } => self.on_link_up(link, writer, peer, now),
            LinkEvent::Message { link, message } => self.on_message(link, message, now),
            LinkEvent::Down { link, .. } => self.on_link_down(link, now),
            LinkEvent::Refused { address } => self.on_connection_refused(address, now),
        }
    }

    /// Adds a new link. `peer` is set if the other end opened it.
    fn on_link_up(&mut self, link: LinkId, writer: Writer, peer: Option<Peer>, now: Millis) {
        if peer.is_some() {
            writer.send(&Message::Hello(Peer::Storage(self.own.clone())));
        }
        let state = LinkState::new(writer, now);
        self.links.states.insert(link, state);
        if let Some(peer) = peer {
            self.on_hello(link, peer);
        }
    }

    fn on_message(&mut self, link: LinkId, message: Message, now: Millis) {
        if let Some(state) = self.links.get_mut(link) {
            state.heard_at = now;
        }
        match message {
            Message::Hello(peer) => self.on_hello(link, peer),
            // The message is for an earlier member id of this machine, which lost its disk since.
            Message::Consensus { to, .. } if to != self.own.id => {}
            Message::Consensus { from, message, .. } => {
                self.consensus.receive(from, message, now);
            }
            Message::NeedView => {
                if let Some(state) = self.links.get_mut(link) {
                    state.has_view = false;
                    state.needs_full_view = true;
                    self.links.edges_lack_view = true;
                }
            }
            Message::Ask { number, question } => self.on_question(link, number, question),
            Message::Leading { members, .. } => {
                self.group.record.leader_seen(now);
                self.connect_to_members(&members);
            }
            Message::Beat { .. } if self.links.is_to_storage(link) => {
                self.group.record.leader_seen(now);
            }
            other => self.on_edge_message(link, other),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/replica_loads.rs"]
mod tests;
