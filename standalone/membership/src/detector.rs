//! The failure detector: `(state, event, now) -> outputs`.

use crate::broadcast::BroadcastQueue;
use crate::member::{Member, MemberState, Message, Update};
use brasspond_types::{NodeName, Timestamp};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Timing and fan-out of the protocol.
#[derive(Clone, Debug)]
pub struct Parameters {
    /// Time between two probes.
    pub probe_period: Duration,
    /// Time to wait for a direct acknowledgement before asking others.
    pub direct_timeout: Duration,
    /// Members asked to probe indirectly.
    pub indirect_probes: usize,
    /// Time a suspect has to refute before it is declared dead.
    pub suspicion_timeout: Duration,
    /// Time between two push-pull synchronisations with a random member.
    pub sync_period: Duration,
    /// Time between two probes of a member believed dead, so that a healed
    /// partition is noticed.
    pub dead_probe_period: Duration,
    /// Time after which a dead member is forgotten.
    pub forget_after: Duration,
    /// Most updates on one message.
    pub updates_per_message: usize,
    /// An update is sent this many times `log2(members)`.
    pub retransmit_factor: u32,
}

impl Default for Parameters {
    /// Values chosen in `docs/design/0003-membership.md`.
    fn default() -> Self {
        Self {
            probe_period: Duration::from_millis(500),
            direct_timeout: Duration::from_millis(200),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_millis(4_000),
            sync_period: Duration::from_secs(60),
            dead_probe_period: Duration::from_secs(5),
            forget_after: Duration::from_secs(3_600),
            updates_per_message: 6,
            retransmit_factor: 3,
        }
    }
}

/// What the caller of the detector has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a member at an address.
    Send(NodeName, SocketAddr, Message),
    /// The view of a member changed.
    Changed(NodeName),
}

#[derive(Debug)]
struct Probe {
    sequence: u64,
    target: NodeName,
    sent: Timestamp,
    indirect_sent: bool,
}

#[derive(Debug)]
struct Forwarded {
    requester: NodeName,
    requester_sequence: u64,
    expires: Timestamp,
}

/// One node's view of all nodes.
#[derive(Debug)]
pub struct Membership {
    myself: Member,
    parameters: Parameters,
    members: BTreeMap<NodeName, Member>,
    state_since: BTreeMap<NodeName, Timestamp>,
    seeds: Vec<SocketAddr>,
    probe_order: Vec<NodeName>,
    probe: Option<Probe>,
    next_probe: Timestamp,
    next_sync: Timestamp,
    next_dead_probe: Timestamp,
    forwarded: BTreeMap<u64, Forwarded>,
    broadcasts: BroadcastQueue,
    sequence: u64,
    synchronised: bool,
    random: ChaCha8Rng,
}

impl Membership {
    /// Creates a view that knows only itself and the addresses of some seeds.
    pub fn new(myself: Member, seeds: Vec<SocketAddr>, parameters: Parameters) -> Self {
        let random = ChaCha8Rng::seed_from_u64(myself.instance.0);
        let seeds = seeds
            .into_iter()
            .filter(|seed| *seed != myself.address)
            .collect();
        Self {
            myself,
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

    /// This node as its peers should know it.
    pub fn myself(&self) -> &Member {
        &self.myself
    }

    /// A member by name, this node included.
    pub fn get(&self, name: &NodeName) -> Option<&Member> {
        if *name == self.myself.name {
            return Some(&self.myself);
        }
        self.members.get(name)
    }

    /// Members that may be given new work, this node included while it is alive.
    pub fn working(&self) -> Vec<&Member> {
        let myself = std::iter::once(&self.myself);
        let all = myself.chain(self.members.values());
        all.filter(|member| member.takes_work()).collect()
    }

    /// Whether a full list has been exchanged with a peer, or there is none to ask.
    pub fn is_synchronised(&self) -> bool {
        self.synchronised || self.seeds.is_empty()
    }

    /// Whether every seed is known as a member.
    pub fn knows_all_seeds(&self) -> bool {
        let is_known =
            |seed: &SocketAddr| self.members.values().any(|member| member.address == *seed);
        self.seeds.iter().all(is_known)
    }

    /// Enters a whole list at once, as a fleet already running would know it.
    pub fn preload(&mut self, members: impl IntoIterator<Item = Member>) {
        for member in members {
            if member.name != self.myself.name {
                self.members.insert(member.name.clone(), member);
            }
        }
        self.synchronised = true;
    }

    /// Announces that this node is draining and takes no new work.
    pub fn leave(&mut self) {
        self.myself.state = MemberState::Leaving;
        self.myself.incarnation += 1;
        self.broadcasts.push(self.myself.clone());
    }

    /// Runs all timers that are due at `now`.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.drive_probe(now, &mut outputs);
        self.expire_suspects(now, &mut outputs);
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

    /// Handles a message that `from` sent from `address`.
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
                self.add_doubt_about(from, &mut updates);
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
                let members = self.everyone();
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

    fn everyone(&self) -> Vec<Update> {
        let myself = std::iter::once(self.myself.clone());
        myself.chain(self.members.values().cloned()).collect()
    }

    fn take_updates(&mut self) -> Vec<Update> {
        let members = self.members.len() as u32 + 2;
        let limit = self.parameters.retransmit_factor * members.ilog2().max(1);
        let count = self.parameters.updates_per_message;
        self.broadcasts.take(count, limit)
    }

    /// Tells a member that is believed suspect or dead so, to let it refute.
    fn add_doubt_about(&self, name: &NodeName, updates: &mut Vec<Update>) {
        let doubted = self
            .members
            .get(name)
            .filter(|member| member.state >= MemberState::Suspect);
        if let Some(member) = doubted {
            updates.push(member.clone());
        }
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    fn start_probe(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        let Some(target) = self.next_target() else {
            return;
        };
        let Some(member) = self.members.get(&target) else {
            return;
        };
        let address = member.address;
        let sequence = self.next_sequence();
        let mut updates = self.take_updates();
        self.add_doubt_about(&target, &mut updates);
        let ping = Message::Ping { sequence, updates };
        outputs.push(Output::Send(target.clone(), address, ping));
        self.probe = Some(Probe {
            sequence,
            target,
            sent: now,
            indirect_sent: false,
        });
    }

    /// The next member in a shuffled round over all that are not dead.
    fn next_target(&mut self) -> Option<NodeName> {
        loop {
            if self.probe_order.is_empty() {
                self.probe_order = self.names_not_dead();
                self.probe_order.shuffle(&mut self.random);
            }
            let name = self.probe_order.pop()?;
            let member = self.members.get(&name);
            if member.is_some_and(|member| member.state != MemberState::Dead) {
                return Some(name);
            }
        }
    }

    fn names_not_dead(&self) -> Vec<NodeName> {
        let not_dead = self
            .members
            .values()
            .filter(|member| member.state != MemberState::Dead);
        not_dead.map(|member| member.name.clone()).collect()
    }

    fn drive_probe(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        let waited = now.since(probe.sent);
        if waited >= self.parameters.probe_period {
            let target = probe.target.clone();
            self.probe = None;
            self.suspect(&target, now, outputs);
            return;
        }
        if waited < self.parameters.direct_timeout || probe.indirect_sent {
            return;
        }
        probe.indirect_sent = true;
        let sequence = probe.sequence;
        let target = probe.target.clone();
        self.ask_others(sequence, &target, outputs);
    }

    fn ask_others(&mut self, sequence: u64, target: &NodeName, outputs: &mut Vec<Output>) {
        let helpers: Vec<&Member> = self
            .members
            .values()
            .filter(|member| member.takes_work() && member.name != *target)
            .collect();
        let chosen = helpers.choose_multiple(&mut self.random, self.parameters.indirect_probes);
        for helper in chosen {
            let target = target.clone();
            let request = Message::PingRequest { sequence, target };
            outputs.push(Output::Send(helper.name.clone(), helper.address, request));
        }
    }

    fn forward_probe(
        &mut self,
        requester: &NodeName,
        requester_sequence: u64,
        target: &NodeName,
        now: Timestamp,
        outputs: &mut Vec<Output>,
    ) {
        let Some(address) = self.members.get(target).map(|member| member.address) else {
            return;
        };
        let sequence = self.next_sequence();
        let forwarded = Forwarded {
            requester: requester.clone(),
            requester_sequence,
            expires: now + self.parameters.probe_period,
        };
        self.forwarded.insert(sequence, forwarded);
        let updates = Vec::new();
        let ping = Message::Ping { sequence, updates };
        outputs.push(Output::Send(target.clone(), address, ping));
    }

    fn acknowledge(&mut self, sequence: u64, outputs: &mut Vec<Output>) {
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.sequence == sequence)
        {
            self.probe = None;
        }
        let Some(forwarded) = self.forwarded.remove(&sequence) else {
            return;
        };
        let Some(requester) = self.members.get(&forwarded.requester) else {
            return;
        };
        let ack = Message::Ack {
            sequence: forwarded.requester_sequence,
            updates: Vec::new(),
        };
        outputs.push(Output::Send(requester.name.clone(), requester.address, ack));
    }

    fn suspect(&mut self, name: &NodeName, now: Timestamp, outputs: &mut Vec<Output>) {
        let Some(member) = self.members.get(name) else {
            return;
        };
        let mut suspected = member.clone();
        suspected.state = MemberState::Suspect;
        let address = suspected.address;
        self.merge(suspected, now, outputs);
        // Told at once, a member that is alive has the whole time to refute.
        let mut updates = Vec::new();
        self.add_doubt_about(name, &mut updates);
        let sequence = self.next_sequence();
        let ping = Message::Ping { sequence, updates };
        outputs.push(Output::Send(name.clone(), address, ping));
    }

    fn expire_suspects(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        let mut died = Vec::new();
        let mut forgotten = BTreeSet::new();
        for member in self.members.values() {
            let since = self.state_since.get(&member.name).copied();
            let age = now.since(since.unwrap_or(now));
            if member.state == MemberState::Suspect && age >= self.parameters.suspicion_timeout {
                let mut dead = member.clone();
                dead.state = MemberState::Dead;
                died.push(dead);
            }
            if member.state == MemberState::Dead && age >= self.parameters.forget_after {
                forgotten.insert(member.name.clone());
            }
        }
        for dead in died {
            self.merge(dead, now, outputs);
        }
        for name in forgotten {
            self.members.remove(&name);
            self.state_since.remove(&name);
        }
    }

    fn probe_dead(&mut self, outputs: &mut Vec<Output>) {
        let dead: Vec<&Member> = self
            .members
            .values()
            .filter(|member| member.state == MemberState::Dead)
            .collect();
        let Some(member) = dead.choose(&mut self.random).copied().cloned() else {
            return;
        };
        let sequence = self.next_sequence();
        let updates = vec![member.clone()];
        let ping = Message::Ping { sequence, updates };
        outputs.push(Output::Send(member.name, member.address, ping));
    }

    /// Exchanges whole lists with a random member, or with all seeds while
    /// none is known.
    fn start_sync(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        let members = self.everyone();
        let live: Vec<&Member> = self
            .members
            .values()
            .filter(|member| member.state <= MemberState::Leaving)
            .collect();
        if let Some(peer) = live.choose(&mut self.random).filter(|_| self.synchronised) {
            let jitter = self.random.random_range(0.75..1.25);
            self.next_sync = now + self.parameters.sync_period.mul_f64(jitter);
            let request = Message::SyncRequest { members };
            outputs.push(Output::Send(peer.name.clone(), peer.address, request));
            return;
        }
        self.next_sync = now + self.parameters.probe_period;
        for seed in &self.seeds {
            let members = members.clone();
            let request = Message::SyncRequest { members };
            let name = NodeName::new(seed.to_string());
            outputs.push(Output::Send(name, *seed, request));
        }
    }

    fn merge_all(&mut self, updates: Vec<Update>, now: Timestamp, outputs: &mut Vec<Output>) {
        for update in updates {
            self.merge(update, now, outputs);
        }
    }

    /// Takes in news of one member if it is newer than what is known.
    fn merge(&mut self, update: Update, now: Timestamp, outputs: &mut Vec<Output>) {
        if update.name == self.myself.name {
            self.refute(&update);
            return;
        }
        match self.members.get(&update.name) {
            Some(known) if !known.is_superseded_by(&update) => return,
            None if update.state == MemberState::Dead => return,
            _ => {}
        }
        let name = update.name.clone();
        let changed = self.members.get(&name).is_none_or(|known| {
            known.state != update.state
                || known.instance != update.instance
                || known.address != update.address
        });
        self.members.insert(name.clone(), update.clone());
        self.broadcasts.push(update);
        if changed {
            self.state_since.insert(name.clone(), now);
            outputs.push(Output::Changed(name));
        }
    }

    /// Raises this node's incarnation above news that it is not what it is.
    fn refute(&mut self, update: &Update) {
        let same = update.state == self.myself.state && update.instance == self.myself.instance;
        if update.incarnation < self.myself.incarnation {
            return;
        }
        if same && update.incarnation == self.myself.incarnation {
            return;
        }
        self.myself.incarnation = update.incarnation + 1;
        self.broadcasts.push(self.myself.clone());
    }
}
