//! The failure detector. It performs no I/O: each timer tick and each received message returns the
//! outputs that the caller must carry out.

mod probes;
mod updates;

use crate::broadcast::BroadcastQueue;
use crate::member::{Member, MemberState, Message, Update};
use brasspond_types::{NodeName, Timestamp};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Timing and fan-out of the protocol.
#[derive(Clone, Debug)]
pub struct Parameters {
    /// Time between two probes.
    pub probe_period: Duration,
    /// Time without an acknowledgement after which other members are asked to probe the target.
    pub direct_timeout: Duration,
    /// Number of members that are asked to probe the target indirectly.
    pub indirect_probes: usize,
    /// Time after which a suspect that did not refute the suspicion is declared dead.
    pub suspicion_timeout: Duration,
    /// Mean time between two push-pull synchronisations with a random member.
    pub sync_period: Duration,
    /// Time between two probes of a random dead member. They detect that a network partition ended.
    pub dead_probe_period: Duration,
    /// Time after which a dead member is removed.
    pub dead_retention: Duration,
    /// Maximum number of queued updates in a probe or an acknowledgement. If the recipient is
    /// suspect or dead, its own state is added to them.
    pub updates_per_message: usize,
    /// Factor by which the binary logarithm of the number of members is multiplied to obtain the
    /// number of times that an update is sent. The logarithm is rounded down to at least 1.
    pub retransmit_factor: u32,
}

impl Default for Parameters {
    /// `direct_timeout` covers several round trips between regions of 40 ms each.
    fn default() -> Self {
        Self {
            probe_period: Duration::from_millis(500),
            direct_timeout: Duration::from_millis(200),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_millis(4_000),
            sync_period: Duration::from_secs(60),
            dead_probe_period: Duration::from_secs(5),
            dead_retention: Duration::from_secs(3_600),
            updates_per_message: 6,
            retransmit_factor: 3,
        }
    }
}

/// An effect that the caller of [`Membership`] must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a member at an address.
    Send(NodeName, SocketAddr, Message),
    /// A member's state, process or address changed, or the member is new.
    Changed(NodeName),
}

/// The current probe, until it is acknowledged or fails.
#[derive(Debug)]
struct Probe {
    sequence: u64,
    target: NodeName,
    sent_at: Timestamp,
    indirect_sent: bool,
}

/// A probe that this node sent on behalf of another member.
#[derive(Debug)]
struct ForwardedProbe {
    requester: NodeName,
    requester_sequence: u64,
    expires: Timestamp,
}

/// One node's view of all nodes.
#[derive(Debug)]
pub struct Membership {
    local: Member,
    parameters: Parameters,
    members: BTreeMap<NodeName, Member>,
    /// Time of the last change of each member's state, process or address. Preloaded members have
    /// no entry until the first change.
    state_since: BTreeMap<NodeName, Timestamp>,
    seeds: Vec<SocketAddr>,
    /// Members that the current round has still to probe, the next one last.
    probe_order: Vec<NodeName>,
    probe: Option<Probe>,
    next_probe: Timestamp,
    next_sync: Timestamp,
    next_dead_probe: Timestamp,
    /// Probes sent on behalf of other members, by sequence number.
    forwarded: BTreeMap<u64, ForwardedProbe>,
    broadcasts: BroadcastQueue,
    sequence: u64,
    /// Whether a full list of members has been received from a peer or preloaded.
    synchronised: bool,
    random: ChaCha8Rng,
}

impl Membership {
    /// Creates a view with only the local member and the addresses of seeds.
    pub fn new(local: Member, seeds: Vec<SocketAddr>, parameters: Parameters) -> Self {
        let random = ChaCha8Rng::seed_from_u64(local.instance.0);
        let seeds = seeds
            .into_iter()
            .filter(|seed| *seed != local.address)
            .collect();
        Self {
            local,
            parameters,
            members: BTreeMap::new(),
            state_since: BTreeMap::new(),
            seeds,
            probe_order: Vec::new(),
            probe: None,
            next_probe: Timestamp::ZERO,
            next_sync: Timestamp::ZERO,
            next_dead_probe: Timestamp::ZERO,
            forwarded: BTreeMap::new(),
            broadcasts: BroadcastQueue::default(),
            sequence: 0,
            synchronised: false,
            random,
        }
    }

    /// The local member as it is announced to peers.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// A member by name, the local one included.
    pub fn get(&self, name: &NodeName) -> Option<&Member> {
        if *name == self.local.name {
            return Some(&self.local);
        }
        self.members.get(name)
    }

    /// Members that accept new work, the local one included while it is alive.
    pub fn working_members(&self) -> Vec<&Member> {
        let local = std::iter::once(&self.local);
        let all = local.chain(self.members.values());
        all.filter(|member| member.accepts_work()).collect()
    }

    /// Whether a full list of members has been received from a peer or preloaded, or there are no
    /// seeds.
    pub fn is_synced(&self) -> bool {
        self.synchronised || self.seeds.is_empty()
    }

    /// Whether every seed is known as a member.
    pub fn knows_all_seeds(&self) -> bool {
        let is_known =
            |seed: &SocketAddr| self.members.values().any(|member| member.address == *seed);
        self.seeds.iter().all(is_known)
    }

    /// Adds the members of a full list without a synchronisation. [`Self::is_synced`] is `true`
    /// afterwards.
    pub fn preload(&mut self, members: impl IntoIterator<Item = Member>) {
        for member in members {
            if member.name != self.local.name {
                self.members.insert(member.name.clone(), member);
            }
        }
        self.synchronised = true;
    }

    /// Begins to announce that this node drains and accepts no new work.
    pub fn leave(&mut self) {
        self.local.state = MemberState::Leaving;
        self.local.incarnation += 1;
        self.broadcasts.push(self.local.clone());
    }

    /// Runs all timers that are due at `now`.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.check_probe(now, &mut outputs);
        self.expire_members(now, &mut outputs);
        self.forwarded
            .retain(|_, forwarded| forwarded.expires > now);
        if now >= self.next_probe {
            self.next_probe = now + self.parameters.probe_period;
            self.start_probe(now, &mut outputs);
        }
        if now >= self.next_dead_probe {
            self.next_dead_probe = now + self.parameters.dead_probe_period;
            self.probe_dead(&mut outputs);
        }
        if now >= self.next_sync {
            self.start_sync(now, &mut outputs);
        }
        outputs
    }

    /// Handles a message from the member `from` at `address`.
    pub fn handle(
        &mut self,
        from: &NodeName,
        address: SocketAddr,
        message: Message,
        now: Timestamp,
    ) -> Vec<Output> {
        let mut outputs = Vec::new();
        match message {
            Message::Ping { sequence, updates } => {
                self.merge_all(updates, now, &mut outputs);
                let mut updates = self.take_updates();
                self.append_recipient_state(from, &mut updates);
                let ack = Message::Ack { sequence, updates };
                outputs.push(Output::Send(from.clone(), address, ack));
            }
            Message::Ack { sequence, updates } => {
                self.merge_all(updates, now, &mut outputs);
                self.acknowledge(sequence, &mut outputs);
            }
            Message::PingRequest { sequence, target } => {
                self.forward_probe(from, sequence, &target, now, &mut outputs);
            }
            Message::SyncRequest { members } => {
                self.merge_all(members, now, &mut outputs);
                let members = self.full_list();
                let response = Message::SyncResponse { members };
                outputs.push(Output::Send(from.clone(), address, response));
            }
            Message::SyncResponse { members } => {
                self.merge_all(members, now, &mut outputs);
                self.synchronised = true;
            }
        }
        outputs
    }

    fn full_list(&self) -> Vec<Update> {
        let local = std::iter::once(self.local.clone());
        local.chain(self.members.values().cloned()).collect()
    }

    /// Takes the updates to piggyback on the next message.
    fn take_updates(&mut self) -> Vec<Update> {
        let members = self.members.len() as u32 + 2;
        let limit = self.parameters.retransmit_factor * members.ilog2().max(1);
        let count = self.parameters.updates_per_message;
        self.broadcasts.take(count, limit)
    }

    /// Appends the state of the message's recipient to its updates if the recipient is suspect or
    /// dead, so that it can refute that state.
    fn append_recipient_state(&self, recipient: &NodeName, updates: &mut Vec<Update>) {
        let refutable = self
            .members
            .get(recipient)
            .filter(|member| member.state >= MemberState::Suspect);
        if let Some(member) = refutable {
            updates.push(member.clone());
        }
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Names of the members that are not dead.
    fn probeable_names(&self) -> Vec<NodeName> {
        let probeable = self
            .members
            .values()
            .filter(|member| member.state != MemberState::Dead);
        probeable.map(|member| member.name.clone()).collect()
    }
}
