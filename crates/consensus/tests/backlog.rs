//! Applying a long log after a restart, in slices of limited size that are read from the disk.

use brasspond_consensus::{
    Consensus, Entry, Member, Message, Payload, Persisted, Ready, Snapshot, StoredEntries, Timing,
};
use bytes::Bytes;
use rstest::rstest;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// Number of commands in the log.
const ENTRY_COUNT: u64 = 1_000;
const ENTRY_BYTES: usize = 1_024;

fn member(id: u64) -> Member {
    Member {
        id,
        machine: format!("storage-{id}"),
        address: "10.0.0.1:7000".parse().expect("address"),
        zone: "zone".to_string(),
        region: None,
    }
}

fn command(index: u64, term: u64) -> Entry {
    Entry {
        term,
        index,
        payload: Payload::Command(Bytes::from(vec![(index + term) as u8; ENTRY_BYTES])),
    }
}

/// The entries on the disk of a member after its snapshot at index 1.
struct Disk(BTreeMap<u64, Entry>);

impl Disk {
    fn new() -> Self {
        let entries = (2..=ENTRY_COUNT + 1).map(|index| (index, command(index, 1)));
        Self(entries.collect())
    }

    /// Restarts a member of a group with these voters from this disk.
    fn restart(&self, id: u64, voters: &[u64]) -> Consensus {
        let mut entries = StoredEntries::after(1);
        for entry in self.0.values() {
            entries.push(entry);
        }
        let persisted = Persisted {
            snapshot: Some(Snapshot {
                index: 1,
                term: 1,
                members: voters.iter().map(|id| member(*id)).collect(),
                state: Bytes::new(),
            }),
            entries,
            ..Persisted::default()
        };
        Consensus::new(id, persisted, Timing::default(), 7, 0)
    }

    /// Reads entries up to `limit` bytes, but at least one.
    fn read(&self, indices: RangeInclusive<u64>, limit: usize) -> Vec<Entry> {
        let count = (limit / ENTRY_BYTES).max(1);
        let entries = self.0.range(indices).take(count);
        entries.map(|(_, entry)| entry.clone()).collect()
    }

    /// Writes what the member decided to write. Returns the work, of which messages and requests for
    /// entries remain to be done.
    fn persist(&mut self, process: &mut Consensus) -> Ready {
        let ready = process.take_ready();
        if let Some(first) = ready.truncate_from {
            self.0.split_off(&first);
        }
        for entry in &ready.entries {
            self.0.insert(entry.index, entry.clone());
        }
        process.persisted(process.last_index());
        ready
    }

    /// Takes the next committed entries, from the disk if they lie there.
    fn take(&self, process: &mut Consensus, limit: usize) -> Vec<Entry> {
        match process.next_stored() {
            Some(indices) => process.take_stored(self.read(indices, limit)),
            None => process.take_committed(limit),
        }
    }

    /// Takes all committed entries and checks that they are those of the disk, in order.
    fn check_applied(&self, process: &mut Consensus, mut next: u64) {
        while process.has_backlog() {
            let slice = self.take(process, 4 * ENTRY_BYTES);
            assert!(!slice.is_empty(), "every slice makes progress");
            for entry in slice {
                assert_eq!(Some(&entry), self.0.get(&next));
                next += 1;
            }
        }
        assert_eq!(next, process.commit_index() + 1, "all entries are taken");
    }
}

/// The only member of a group, restarted and elected, and its disk.
fn restarted_leader() -> (Consensus, Disk) {
    let mut disk = Disk::new();
    let mut member = disk.restart(1, &[1]);
    assert_eq!(member.log_bytes(), 0, "commands stay on the disk");
    let mut now = 0;
    while !member.is_leader() {
        now += 50;
        member.tick(now);
    }
    let last = member.last_index();
    disk.persist(&mut member);
    assert_eq!(last, ENTRY_COUNT + 2, "the term's first entry");
    assert!(disk.0.contains_key(&last), "it is written");
    member.tick(now + 200);
    (member, disk)
}

/// Guards against a new leader that applies its whole log at once and sends no heartbeats for
/// longer than an election timeout.
#[rstest]
#[case::a_few(4 * ENTRY_BYTES)]
#[case::one_at_a_time(1)]
#[case::all(usize::MAX)]
fn committed_entries_are_taken_in_slices(#[case] limit: usize) {
    let (mut member, disk) = restarted_leader();
    let mut next = 2;
    while member.has_backlog() {
        let slice = disk.take(&mut member, limit);
        assert!(!slice.is_empty(), "every slice makes progress");
        let bytes = slice.len().saturating_sub(1).saturating_mul(ENTRY_BYTES);
        assert!(bytes <= limit, "{bytes} bytes of {limit}");
        for entry in slice {
            assert_eq!(entry.index, next, "in order, each once");
            next += 1;
        }
    }
    assert_eq!(next, member.last_index() + 1, "all entries are taken");
    assert!(next > ENTRY_COUNT + 1, "all persisted entries are taken");
}

/// An append of a leader in term 2 with all entries before `first` matching.
fn append(first: u64, entries: Vec<Entry>, commit: u64) -> Message {
    Message::Append {
        term: 2,
        previous_index: first - 1,
        previous_term: 1,
        entries,
        commit,
        read_index: None,
        sent_at: 0,
    }
}

/// Guards against a member that applies an entry of its disk in place of the one that replaced it.
#[rstest]
#[case::in_the_stored_part(ENTRY_COUNT / 2)]
#[case::all_but_the_snapshot(2)]
#[case::nothing(ENTRY_COUNT + 2)]
fn a_conflict_replaces_stored_entries(#[case] first: u64) {
    const LEADER: u64 = 2;
    let mut disk = Disk::new();
    let mut follower = disk.restart(1, &[1, LEADER]);
    let applied = first.min(ENTRY_COUNT / 4).saturating_sub(1).max(1);
    follower.receive(LEADER, append(first, Vec::new(), applied), 10);
    disk.persist(&mut follower);
    disk.check_applied(&mut follower, 2);
    let entries: Vec<Entry> = (first..first + 300)
        .map(|index| command(index, 2))
        .collect();
    let last = first + 299;
    follower.receive(LEADER, append(first, entries, last), 20);
    assert_eq!(follower.last_index(), last);
    disk.persist(&mut follower);
    follower.unload(10 * ENTRY_BYTES);
    assert!(follower.log_bytes() <= 10 * ENTRY_BYTES);
    disk.check_applied(&mut follower, applied + 1);
    follower.compact(0);
    assert_eq!(follower.log_bytes(), 0);
}

/// Guards against entries of the disk that are applied although they are not those of the log.
#[rstest]
fn entries_that_differ_from_the_log_are_not_taken() {
    let (mut member, disk) = restarted_leader();
    let mut read = disk.read(2..=4, usize::MAX);
    read[1].term = 9;
    assert_eq!(member.take_stored(read).len(), 1);
    let skipping = disk.read(4..=6, usize::MAX);
    assert!(member.take_stored(skipping).is_empty());
    assert_eq!(member.applied_index(), 2);
    disk.check_applied(&mut member, 3);
}

/// Guards against a member that holds the history that it receives faster than it is committed.
#[rstest]
fn received_entries_are_dropped_from_memory_once_they_are_synced() {
    const LEADER: u64 = 2;
    const KEPT_BYTES: usize = 8 * ENTRY_BYTES;
    let mut disk = Disk::new();
    let mut follower = disk.restart(1, &[1, LEADER]);
    let mut first = ENTRY_COUNT + 2;
    for now in 1..100 {
        let entries = (first..first + 20).map(|index| command(index, 1)).collect();
        follower.receive(LEADER, append(first, entries, 1), now);
        first += 20;
        follower.unload(KEPT_BYTES);
        assert!(follower.log_bytes() <= KEPT_BYTES + 20 * ENTRY_BYTES);
        disk.persist(&mut follower);
        follower.unload(KEPT_BYTES);
        assert!(follower.log_bytes() <= KEPT_BYTES);
    }
    follower.receive(LEADER, append(first, Vec::new(), first - 1), 200);
    disk.persist(&mut follower);
    disk.check_applied(&mut follower, 2);
    assert_eq!(follower.applied_index(), first - 1);
}

/// Guards against a new leader that cannot send entries which it has not applied itself.
#[rstest]
fn a_new_leader_sends_stored_entries_to_an_empty_follower() {
    const LEADER: u64 = 1;
    const FOLLOWER: u64 = 2;
    let mut disks = [Disk::new(), Disk(BTreeMap::new())];
    let mut processes = [disks[0].restart(LEADER, &[LEADER, FOLLOWER]), {
        disks[1].restart(FOLLOWER, &[LEADER, FOLLOWER])
    }];
    let mut requests = 0;
    for now in (0..20_000).step_by(10) {
        processes[0].tick(now);
        processes[0].replicate(now);
        for from in [0, 1] {
            let ready = disks[from].persist(&mut processes[from]);
            for (to, message) in ready.messages {
                processes[to as usize - 1].receive(from as u64 + 1, message, now);
            }
            for (to, next) in ready.entries_from_disk {
                requests += 1;
                let entries = disks[from].read(next..=u64::MAX, 50 * ENTRY_BYTES);
                let previous = disks[from].0.get(&(next - 1));
                let previous_term = previous.map_or(1, |entry| entry.term);
                processes[from].send_stored(to, previous_term, entries, now);
            }
        }
    }
    assert!(processes[0].is_leader() && requests > 0, "{requests}");
    let last = ENTRY_COUNT + 2;
    for (process, disk) in processes.iter_mut().zip(&disks) {
        assert_eq!(process.commit_index(), last);
        disk.check_applied(process, 2);
    }
    assert_eq!(disks[0].0, disks[1].0);
}
