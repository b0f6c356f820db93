//! Simulation of members with their disks and network, in simulated time.

mod faults;
mod members;

pub use faults::{Fault, Mutation};

use brasspond_cluster::storage::placement::{FaultTolerance, PlacementRequirements};
use brasspond_consensus::{
    Consensus, Entry, EntryId, HardState, Member, MemberId, Message, Persisted, READ_LEASE, Ready,
    StoredEntries, Timing,
};
use brasspond_fleet::Regions;
use brasspond_golden::Digest;
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::sync::Arc;

#[derive(Clone, Debug, Default)]
struct Disk {
    hard_state: HardState,
    snapshot: Option<brasspond_consensus::Snapshot>,
    entries: BTreeMap<u64, Entry>,
}

impl Disk {
    fn persist(&mut self, ready: &Ready) {
        if let Some(state) = ready.hard_state {
            self.hard_state = state;
        }
        if let Some(snapshot) = &ready.snapshot {
            self.entries.clear();
            self.snapshot = Some(snapshot.clone());
        }
        if let Some(first) = ready.truncate_from {
            self.entries.split_off(&first);
        }
        for entry in &ready.entries {
            self.entries.insert(entry.index, entry.clone());
        }
    }

    /// Returns what a restarted process restores of the entries.
    fn restored_entries(&self) -> StoredEntries {
        let snapshot_index = self.snapshot.as_ref().map_or(0, |one| one.index);
        let mut restored = StoredEntries::after(snapshot_index);
        for entry in self.entries.values() {
            restored.push(entry);
        }
        restored
    }

    /// Term of an entry on the disk, or of the last one in the snapshot.
    fn term_at(&self, index: u64) -> Option<u64> {
        let snapshot = self.snapshot.as_ref().filter(|one| one.index == index);
        let entry = self.entries.get(&index).map(|entry| entry.term);
        entry.or_else(|| snapshot.map(|one| one.term))
    }

    /// Reads entries to apply, a few at a time. Each must be on the disk.
    fn read(&self, indices: RangeInclusive<u64>) -> Vec<Entry> {
        const READ_ENTRIES: usize = 2;
        let read = indices.take(READ_ENTRIES);
        read.map(|index| self.entries[&index].clone()).collect()
    }
}

struct Machine {
    name: String,
    member: Member,
    disk: Disk,
    process: Option<Consensus>,
    /// Applied commands by index.
    applied: BTreeMap<u64, Bytes>,
    /// End of the time in which the process does not run.
    down_until: u64,
    /// End of the time in which the process is suspended.
    paused_until: u64,
    /// End of the time in which messages to and from the machine are dropped.
    cut_until: u64,
    /// End of the time in which messages from the machine are dropped.
    mute_until: u64,
    /// Time by which the machine's clock lags behind the simulation, in ms.
    clock_lag: u64,
    is_removed: bool,
}

struct Packet {
    /// Time of the delivery.
    at: u64,
    from: MemberId,
    to: MemberId,
    message: Message,
}

/// Simulation of a group: its machines, the messages between them and the state of the checks.
pub struct World {
    now: u64,
    random: ChaCha8Rng,
    machines: Vec<Machine>,
    packets: Vec<Packet>,
    retiring: BTreeSet<String>,
    /// Commands by index, as applied by the first member that applied the index.
    reference: BTreeMap<u64, Bytes>,
    /// Acknowledged commands by index.
    acknowledged: BTreeMap<u64, Bytes>,
    /// Proposals that are not committed yet: the proposer, the entry and the command.
    awaiting: Vec<(MemberId, EntryId, Bytes)>,
    /// Leaders by term.
    leaders: BTreeMap<u64, MemberId>,
    proposals: u64,
    mutation: Option<Mutation>,
    requirements: PlacementRequirements,
    /// Digest of everything that members decided to persist and send.
    digest: Digest,
}

const TARGET_VOTERS: usize = 3;
const STEP_MS: u64 = 5;

/// Requirements that allow members anywhere.
fn unrestricted() -> PlacementRequirements {
    PlacementRequirements {
        tolerance: FaultTolerance {
            machines: TARGET_VOTERS / 2,
            ..FaultTolerance::default()
        },
        regions: Regions::Any,
        stores_restricted_bodies: false,
    }
}

impl World {
    pub fn new(seed: u64, machines: usize) -> Self {
        Self::with_requirements(seed, machines, unrestricted())
    }

    fn with_requirements(seed: u64, machines: usize, requirements: PlacementRequirements) -> Self {
        let mut world = Self {
            now: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            machines: Vec::new(),
            packets: Vec::new(),
            retiring: BTreeSet::new(),
            reference: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            awaiting: Vec::new(),
            leaders: BTreeMap::new(),
            proposals: 0,
            mutation: None,
            requirements,
            digest: Digest::default(),
        };
        for _ in 0..machines {
            world.add_machine();
        }
        let member = world.machines[0].member.clone();
        let process = world.machines[0].process.as_mut().expect("started");
        process.bootstrap(member, 0);
        world
    }

    /// Returns the count and digest of everything that members decided to persist and send.
    pub fn digest(&self) -> String {
        self.digest.line()
    }

    /// Builds a defect into the members.
    pub fn mutate(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    fn add_machine(&mut self) {
        let number = self.machines.len();
        let name = format!("machine-{number}");
        let member = self.new_member(&name, number);
        self.machines.push(Machine {
            name,
            member,
            disk: Disk::default(),
            process: None,
            applied: BTreeMap::new(),
            down_until: 0,
            paused_until: 0,
            cut_until: 0,
            mute_until: 0,
            clock_lag: 0,
            is_removed: false,
        });
        self.start(number);
    }

    fn new_member(&mut self, name: &str, number: usize) -> Member {
        Member {
            id: self.random.random(),
            machine: name.to_string(),
            address: format!("10.0.0.{}:1", number + 1).parse().expect("address"),
            zone: format!("zone-{}", number % 3),
            region: self.region_of(number),
        }
    }

    /// Returns the region of a machine, alternately north and south, or `None` if members are not
    /// restricted to regions.
    fn region_of(&self, number: usize) -> Option<Arc<str>> {
        let region = if number.is_multiple_of(2) {
            "north"
        } else {
            "south"
        };
        self.requirements.regions.is_bound().then(|| region.into())
    }

    /// Creates a group that is restricted to the south. The first machine is in the north.
    pub fn restricted(seed: u64, machines: usize) -> Self {
        let requirements = PlacementRequirements {
            regions: Regions::only(["south"]),
            stores_restricted_bodies: true,
            ..unrestricted()
        };
        Self::with_requirements(seed, machines, requirements)
    }

    /// Checks that all voters, including the leader, are in the south.
    pub fn check_regions(&self) {
        let leader = self.leader().expect("a healed group has a leader");
        let process = self.machines[leader].process.as_ref().expect("runs");
        let voters = process.members().iter();
        let regions: Vec<_> = voters.map(|voter| voter.region.as_deref()).collect();
        assert!(regions.len() >= TARGET_VOTERS, "{regions:?}");
        assert!(
            regions.iter().all(|region| *region == Some("south")),
            "voters are in {regions:?}"
        );
        let leader_region = self.machines[leader].member.region.as_deref();
        assert_eq!(leader_region, Some("south"));
    }

    fn start(&mut self, number: usize) {
        let seed = self.random.random();
        let machine = &mut self.machines[number];
        let persisted = Persisted {
            hard_state: machine.disk.hard_state,
            snapshot: machine.disk.snapshot.clone(),
            entries: machine.disk.restored_entries(),
        };
        machine.applied.clear();
        if let Some(snapshot) = &persisted.snapshot {
            machine.applied = decode(&snapshot.state);
        }
        // A new process has its own clock and leases.
        machine.clock_lag = 0;
        let process = Consensus::new(
            machine.member.id,
            persisted,
            Timing::default(),
            seed,
            self.now,
        );
        machine.process = Some(process);
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.restart_due_machines();
            self.deliver();
            for number in 0..self.machines.len() {
                self.step(number);
            }
            self.check_one_confirmed_leader();
        }
    }

    /// Time by a machine's own clock.
    fn clock(&self, number: usize) -> u64 {
        self.now - self.machines[number].clock_lag
    }

    /// Checks that at most one process is a confirmed leader, since a confirmed leader may send
    /// orders.
    fn check_one_confirmed_leader(&self) {
        let leaders = (0..self.machines.len()).filter(|number| {
            let machine = &self.machines[*number];
            let process = machine.process.as_ref();
            let is_awake = machine.paused_until <= self.now;
            let is_confirmed_leader = process.is_some_and(|one| {
                one.is_leader() && one.has_quorum_contact(READ_LEASE, self.clock(*number))
            });
            is_awake && is_confirmed_leader && !machine.is_removed
        });
        let leaders: Vec<&str> = leaders
            .map(|number| self.machines[number].name.as_str())
            .collect();
        assert!(leaders.len() <= 1, "{leaders:?} lead at the same time");
    }

    fn restart_due_machines(&mut self) {
        for number in 0..self.machines.len() {
            let machine = &self.machines[number];
            if machine.process.is_none() && !machine.is_removed && machine.down_until <= self.now {
                self.start(number);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.packets)
            .into_iter()
            .partition(|packet| packet.at <= now);
        self.packets = later;
        for packet in due {
            if !self.passes(packet.from, packet.to) {
                continue;
            }
            let to = self
                .machines
                .iter_mut()
                .find(|one| one.member.id == packet.to);
            let Some(machine) = to else {
                continue;
            };
            if machine.paused_until > now {
                // Messages that arrived during the pause are read some time after it, so the member
                // may act first.
                let read_after = self.random.random_range(0..30);
                self.packets.push(Packet {
                    at: machine.paused_until + read_after,
                    ..packet
                });
                continue;
            }
            let machine_now = now - machine.clock_lag;
            if let Some(process) = &mut machine.process {
                process.receive(packet.from, packet.message, machine_now);
            }
        }
    }

    fn passes(&self, from: MemberId, to: MemberId) -> bool {
        let find = |id| self.machines.iter().find(|one| one.member.id == id);
        let (Some(from), Some(to)) = (find(from), find(to)) else {
            return false;
        };
        from.cut_until <= self.now && to.cut_until <= self.now && from.mute_until <= self.now
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |one: &Machine| {
            one.process.as_ref().is_some_and(Consensus::is_established)
                && one.paused_until <= self.now
        };
        let established = self
            .machines
            .iter()
            .enumerate()
            .filter(|(_, one)| leads(one));
        established
            .max_by_key(|(_, one)| one.process.as_ref().map(Consensus::term))
            .map(|(number, _)| number)
    }

    pub fn propose_entries(&mut self) {
        let Some(number) = self.leader() else {
            return;
        };
        for _ in 0..5 {
            self.proposals += 1;
            let command = Bytes::from(format!("command {:0>80}", self.proposals));
            let process = self.machines[number].process.as_mut().expect("leads");
            if let Some(entry) = process.propose(command.clone()) {
                self.awaiting.push((process.id(), entry, command));
            }
        }
    }

    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    /// Checks that the leader has applied all acknowledged entries.
    pub fn check_acknowledged(&self) {
        let leader = self.leader().expect("a healed group has a leader");
        let applied = &self.machines[leader].applied;
        for (index, command) in &self.acknowledged {
            assert_eq!(applied.get(index), Some(command), "index {index} is lost");
        }
    }
}

/// Returns entries from a disk that keeps only the newest ones and those that are not applied, like a
/// rewritten file.
fn stored_entries(disk: &Disk, next: u64, applied: u64) -> Option<(u64, Vec<Entry>)> {
    const RETAINED_ENTRIES: usize = 12;
    let oldest = disk
        .entries
        .keys()
        .rev()
        .nth(RETAINED_ENTRIES)
        .copied()
        .unwrap_or(0);
    let term = match next - 1 {
        0 => 0,
        previous => disk.term_at(previous)?,
    };
    let entries = disk.entries.range(next..).map(|(_, entry)| entry.clone());
    let entries: Vec<Entry> = entries.take(3).collect();
    ((next >= oldest || next > applied) && !entries.is_empty()).then_some((term, entries))
}

fn encode(applied: &BTreeMap<u64, Bytes>) -> Bytes {
    let mut text = String::new();
    for (index, command) in applied {
        text.push_str(&format!("{index}={}\n", String::from_utf8_lossy(command)));
    }
    text.into()
}

fn decode(state: &Bytes) -> BTreeMap<u64, Bytes> {
    let text = String::from_utf8_lossy(state);
    let lines = text.lines().filter_map(|line| line.split_once('='));
    lines
        .map(|(index, command)| {
            (
                index.parse().expect("index"),
                Bytes::from(command.to_string()),
            )
        })
        .collect()
}
