//! Step of a simulated member: it ticks, persists, sends and applies, and the leader changes the
//! voters.

use super::{Disk, Packet, TARGET_VOTERS, World, decode, encode, stored_entries};
use brasspond_cluster::storage::placement::Placement;
use brasspond_cluster::storage::plan::{Candidate, MembershipState, Step, next_step, successors};
use brasspond_consensus::{Consensus, Entry, Member, MemberId, Message, Payload, Ready};
use rand::Rng;
use std::collections::BTreeMap;

/// Bytes of commands that a member keeps in memory: only a few entries, so that earlier ones are
/// read from disk.
const LOG_MEMORY_BYTES: usize = 400;

/// Bytes of commands that a member keeps in memory until they are applied: fewer entries than are
/// proposed at once.
const UNAPPLIED_BYTES: usize = 200;

impl World {
    pub(super) fn step(&mut self, number: usize) {
        let now = self.now;
        if self.machines[number].paused_until > now || self.machines[number].process.is_none() {
            return;
        }
        let machine_now = self.clock(number);
        if let Some(process) = &mut self.machines[number].process {
            process.tick(machine_now);
        }
        self.check_one_leader_per_term(number);
        self.reconcile_members(number);
        for _ in 0..8 {
            if !self.advance(number) {
                break;
            }
        }
    }

    fn check_one_leader_per_term(&mut self, number: usize) {
        let process = self.machines[number].process.as_ref().expect("running");
        if process.is_leader() {
            let previous = self.leaders.insert(process.term(), process.id());
            assert!(
                previous.is_none_or(|previous| previous == process.id()),
                "two leaders in term {}",
                process.term()
            );
        }
    }

    /// Persists, sends and applies. Returns whether anything was done.
    fn advance(&mut self, number: usize) -> bool {
        let now = self.clock(number);
        let process = self.machines[number].process.as_mut().expect("running");
        process.replicate(now);
        let ready = process.take_ready();
        self.add_to_digest(&ready);
        let machine = &mut self.machines[number];
        machine.disk.persist(&ready);
        if let Some(snapshot) = &ready.snapshot {
            machine.applied = decode(&snapshot.state);
        }
        let process = machine.process.as_mut().expect("running");
        process.persisted(process.last_index());
        let committed = take_committed(process, &machine.disk);
        for entry in &committed {
            if let Payload::Command(command) = &entry.payload {
                machine.applied.insert(entry.index, command.clone());
            }
        }
        let state = encode(&machine.applied);
        for (member, next) in &ready.entries_from_disk {
            match stored_entries(&machine.disk, *next, process.applied_index()) {
                Some((term, entries)) => process.send_stored(*member, term, entries, now),
                None => {
                    let snapshot = process.snapshot(state.clone());
                    process.send_snapshot(*member, snapshot, now);
                }
            }
        }
        process.compact(LOG_MEMORY_BYTES);
        process.unload(UNAPPLIED_BYTES);
        let id = machine.member.id;
        let has_worked = ready.must_sync()
            || !ready.messages.is_empty()
            || !committed.is_empty()
            || !ready.entries_from_disk.is_empty();
        for entry in committed {
            self.check_applied(&entry);
            self.acknowledge(id, &entry);
        }
        self.send(id, ready.messages);
        has_worked
    }

    fn add_to_digest(&mut self, ready: &Ready) {
        if ready.must_sync() || !ready.messages.is_empty() {
            let persisted = (&ready.hard_state, &ready.snapshot, &ready.entries);
            let decided = (persisted, ready.truncate_from, &ready.messages);
            let bytes = rmp_serde::to_vec(&decided).expect("encoded");
            self.digest.add_bytes(0, &bytes);
        }
    }

    fn send(&mut self, from: MemberId, messages: Vec<(MemberId, Message)>) {
        for (to, message) in messages {
            let delay = self.random.random_range(1..8);
            self.packets.push(Packet {
                at: self.now + delay,
                from,
                to,
                message,
            });
        }
    }

    fn check_applied(&mut self, entry: &Entry) {
        if let Payload::Command(command) = &entry.payload {
            let expected = self
                .reference
                .entry(entry.index)
                .or_insert_with(|| command.clone());
            assert_eq!(
                expected, command,
                "index {} applied differently",
                entry.index
            );
        }
    }

    fn acknowledge(&mut self, id: MemberId, entry: &Entry) {
        let Payload::Command(command) = &entry.payload else {
            return;
        };
        let waited = self
            .awaiting
            .iter()
            .position(|(by, proposed, own)| *by == id && *proposed == entry.id() && own == command);
        let process = self.machines.iter().find(|one| one.member.id == id);
        let has_quorum = process
            .and_then(|one| one.process.as_ref())
            .is_some_and(|one| one.quorum() > 1);
        if let Some(waited) = waited {
            self.awaiting.remove(waited);
            if has_quorum {
                self.acknowledged.insert(entry.index, command.clone());
            }
        }
    }

    /// Manages the members as a leader's process does: lost disks, learners and the next change of
    /// voters.
    fn reconcile_members(&mut self, number: usize) {
        let now = self.clock(number);
        let reachable = self
            .machines
            .iter()
            .filter(|one| one.process.is_some() && one.cut_until <= self.now);
        let peers: Vec<Member> = reachable.map(|one| one.member.clone()).collect();
        let process = self.machines[number].process.as_mut().expect("running");
        record_lost_disks(process, &peers);
        if !process.is_leader() {
            return;
        }
        for peer in &peers {
            let votes = process.members().iter().any(|one| one.id == peer.id);
            if !votes && peer.id != process.id() {
                process.add_learner(peer.clone(), now);
            }
        }
        if process.check_membership_change().is_err() {
            return;
        }
        let candidates = candidates(process, peers, now);
        let voters = process.members();
        let retiring = &self.retiring;
        let placement = Placement::new(
            &self.requirements,
            process.id(),
            voters,
            &candidates,
            retiring,
        );
        let state = MembershipState {
            own: process.id(),
            voters,
            candidates: &candidates,
            retiring,
            target: TARGET_VOTERS,
            placement: &placement,
        };
        let next = successors(&state);
        match next_step(&state) {
            Step::Unchanged => {}
            Step::Change(members) => {
                // A refused change is decided again in the next step.
                let _ = process.propose_members(members, now);
            }
            Step::TransferLeadership if self.requirements.regions.is_bound() => {
                process.transfer_leadership_to(&next);
            }
            Step::TransferLeadership => {
                process.transfer_leadership();
            }
        }
    }
}

/// Takes all committed entries, those from the disk first.
fn take_committed(process: &mut Consensus, disk: &Disk) -> Vec<Entry> {
    let mut committed = Vec::new();
    while let Some(indices) = process.next_stored() {
        let taken = process.take_stored(disk.read(indices));
        assert!(
            !taken.is_empty(),
            "entries on the disk are those of the log"
        );
        committed.extend(taken);
    }
    committed.extend(process.take_committed(usize::MAX));
    committed
}

fn record_lost_disks(process: &mut Consensus, peers: &[Member]) {
    for voter in process.members().to_vec() {
        let is_returned = peers
            .iter()
            .any(|one| one.machine == voter.machine && one.id != voter.id);
        if is_returned {
            process.record_lost_disk(voter.id);
        }
    }
}

fn candidates(process: &Consensus, peers: Vec<Member>, now: u64) -> Vec<Candidate> {
    let mut members: BTreeMap<MemberId, Member> = BTreeMap::new();
    for member in peers.into_iter().chain(process.members().to_vec()) {
        members.insert(member.id, member);
    }
    let candidates = members.into_values().map(|member| Candidate {
        lag: process.replication_lag(member.id),
        silent_ms: process
            .progress_of(member.id)
            .map(|peer| now - peer.last_contact),
        member,
    });
    candidates.collect()
}
