//! Members, their disks and the network between them, by simulated time.

mod faults;
mod members;

pub use faults::{Fault, Mutation};

use brasspond_cluster::storage::places::{Losses, Wanted};
use brasspond_consensus::{
    Consensus, Entry, HardState, Member, MemberId, Message, Persisted, READ_LEASE, Ready, Timing,
};
use brasspond_fleet::Regions;
use brasspond_golden::Digest;
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

#[derive(Clone, Debug, Default)]
struct Disk {
    hard_state: HardState,
    snapshot: Option<brasspond_consensus::Snapshot>,
    entries: BTreeMap<u64, Entry>,
}

impl Disk {
    fn keep(&mut self, ready: &Ready) {
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
}

struct Machine {
    name: String,
    member: Member,
    disk: Disk,
    process: Option<Consensus>,
    /// Applied commands by index.
    applied: BTreeMap<u64, Bytes>,
    down_until: u64,
    paused_until: u64,
    cut_until: u64,
    mute_until: u64,
    /// How far its clock is behind that of the others, in ms.
    clock_lag: u64,
    gone: bool,
}

struct Parcel {
    at: u64,
    from: MemberId,
    to: MemberId,
    message: Message,
}

/// All machines of a group, the messages between them, and what the checks know.
pub struct World {
    now: u64,
    random: ChaCha8Rng,
    machines: Vec<Machine>,
    parcels: Vec<Parcel>,
    retiring: BTreeSet<String>,
    /// Commands by index, as the first member that applied them did.
    truth: BTreeMap<u64, Bytes>,
    acknowledged: BTreeMap<u64, Bytes>,
    awaiting: Vec<(MemberId, u64, Bytes)>,
    leaders: BTreeMap<u64, MemberId>,
    proposals: u64,
    mutation: Option<Mutation>,
    /// Where members should stand.
    wanted: Wanted,
    /// All that members decided to keep and to send.
    digest: Digest,
}

const TARGET: usize = 3;
const STEP: u64 = 5;

/// Members may stand anywhere.
fn unbound() -> Wanted {
    Wanted {
        losses: Losses {
            machines: TARGET / 2,
            ..Losses::default()
        },
        regions: Regions::Any,
        holds_bound: false,
    }
}

impl World {
    pub fn new(seed: u64, machines: usize) -> Self {
        Self::with_wanted(seed, machines, unbound())
    }

    fn with_wanted(seed: u64, machines: usize, wanted: Wanted) -> Self {
        let mut world = Self {
            now: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            machines: Vec::new(),
            parcels: Vec::new(),
            retiring: BTreeSet::new(),
            truth: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            awaiting: Vec::new(),
            leaders: BTreeMap::new(),
            proposals: 0,
            mutation: None,
            wanted,
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

    /// Number and digest of all that members decided to keep and to send.
    pub fn digest(&self) -> String {
        self.digest.line()
    }

    /// The same with a fault built in.
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
            gone: false,
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

    /// Machines stand in the north and the south by turns where places matter.
    fn region_of(&self, number: usize) -> Option<Arc<str>> {
        let region = if number.is_multiple_of(2) {
            "north"
        } else {
            "south"
        };
        self.wanted.regions.is_bound().then(|| region.into())
    }

    /// Binds the members to the south; the first stands in the north.
    pub fn bound(seed: u64, machines: usize) -> Self {
        let wanted = Wanted {
            regions: Regions::only(["south"]),
            holds_bound: true,
            ..unbound()
        };
        Self::with_wanted(seed, machines, wanted)
    }

    /// Every voter of the leader's group stands in the south, the leader among them.
    pub fn check_places(&self) {
        let leader = self.leader().expect("a healed group has a leader");
        let process = self.machines[leader].process.as_ref().expect("runs");
        let voters = process.members().iter();
        let regions: Vec<_> = voters.map(|voter| voter.region.as_deref()).collect();
        assert!(regions.len() >= TARGET, "{regions:?}");
        assert!(
            regions.iter().all(|region| *region == Some("south")),
            "voters stand in {regions:?}"
        );
        let leads = self.machines[leader].member.region.as_deref();
        assert_eq!(leads, Some("south"));
    }

    fn start(&mut self, number: usize) {
        let seed = self.random.random();
        let machine = &mut self.machines[number];
        let kept = Persisted {
            hard_state: machine.disk.hard_state,
            snapshot: machine.disk.snapshot.clone(),
            entries: machine.disk.entries.values().cloned().collect(),
        };
        machine.applied.clear();
        if let Some(snapshot) = &kept.snapshot {
            machine.applied = decode(&snapshot.state);
        }
        // A process that starts has a clock of its own; its leases begin with it.
        machine.clock_lag = 0;
        let process = Consensus::new(machine.member.id, kept, Timing::default(), seed, self.now);
        machine.process = Some(process);
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP;
            self.restart_those_due();
            self.deliver();
            for number in 0..self.machines.len() {
                self.step(number);
            }
            self.check_one_holder();
        }
    }

    /// Time by a machine's own clock.
    fn clock(&self, number: usize) -> u64 {
        self.now - self.machines[number].clock_lag
    }

    /// At no moment are two processes confirmed leaders: each may give orders then.
    fn check_one_holder(&self) {
        let holders = (0..self.machines.len()).filter(|number| {
            let machine = &self.machines[*number];
            let process = machine.process.as_ref();
            let is_awake = machine.paused_until <= self.now;
            let is_confirmed_leader = process.is_some_and(|one| {
                one.is_leader() && one.has_quorum_contact(READ_LEASE, self.clock(*number))
            });
            is_awake && is_confirmed_leader && !machine.gone
        });
        let holders: Vec<&str> = holders
            .map(|number| self.machines[number].name.as_str())
            .collect();
        assert!(holders.len() <= 1, "{holders:?} lead at once");
    }

    fn restart_those_due(&mut self) {
        for number in 0..self.machines.len() {
            let machine = &self.machines[number];
            if machine.process.is_none() && !machine.gone && machine.down_until <= self.now {
                self.start(number);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.parcels)
            .into_iter()
            .partition(|parcel| parcel.at <= now);
        self.parcels = later;
        for parcel in due {
            if !self.passes(parcel.from, parcel.to) {
                continue;
            }
            let to = self
                .machines
                .iter_mut()
                .find(|one| one.member.id == parcel.to);
            let Some(machine) = to else {
                continue;
            };
            if machine.paused_until > now {
                // What came meanwhile is read after it woke; it may act before.
                let read_after = self.random.random_range(0..30);
                self.parcels.push(Parcel {
                    at: machine.paused_until + read_after,
                    ..parcel
                });
                continue;
            }
            let own_now = now - machine.clock_lag;
            if let Some(process) = &mut machine.process {
                process.receive(parcel.from, parcel.message, own_now);
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
        let leading = self
            .machines
            .iter()
            .enumerate()
            .filter(|(_, one)| leads(one));
        leading
            .max_by_key(|(_, one)| one.process.as_ref().map(Consensus::term))
            .map(|(number, _)| number)
    }

    pub fn propose_some(&mut self) {
        let Some(number) = self.leader() else {
            return;
        };
        for _ in 0..5 {
            self.proposals += 1;
            let command = Bytes::from(format!("command {:0>80}", self.proposals));
            let process = self.machines[number].process.as_mut().expect("leads");
            if let Some(index) = process.propose(command.clone()) {
                self.awaiting.push((process.id(), index, command));
            }
        }
    }

    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    /// Every live member that caught up holds all that was acknowledged.
    pub fn check_acknowledged(&self) {
        let leader = self.leader().expect("a healed group has a leader");
        let applied = &self.machines[leader].applied;
        for (index, command) in &self.acknowledged {
            assert_eq!(applied.get(index), Some(command), "index {index} is lost");
        }
    }
}

/// Entries out of a disk that keeps only the newest, as one that was rewritten does.
fn stored_entries(disk: &Disk, next: u64) -> Option<(u64, Vec<Entry>)> {
    const KEPT: usize = 12;
    let oldest = disk.entries.keys().rev().nth(KEPT).copied().unwrap_or(0);
    let term = match next - 1 {
        0 => 0,
        previous => disk.entries.get(&previous)?.term,
    };
    let entries = disk.entries.range(next..).map(|(_, entry)| entry.clone());
    let entries: Vec<Entry> = entries.take(3).collect();
    (next >= oldest && !entries.is_empty()).then_some((term, entries))
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
