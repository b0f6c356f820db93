//! Guards against the loss of synced records, for example when later writes are torn.

use brasspond_consensus::{Entry, HardState, Payload, Ready, Snapshot};
use brasspond_durable::{OpenedLog, RecordLog, RecordLogError};
use bytes::Bytes;
use proptest::prelude::*;
use rstest::rstest;
use std::fs::OpenOptions;
use std::io::{Seek, SeekFrom, Write};
use std::path::Path;

fn entry(index: u64) -> Entry {
    Entry {
        term: 1,
        index,
        payload: Payload::Command(Bytes::from(format!("command {index}"))),
    }
}

fn ready(entries: impl IntoIterator<Item = u64>) -> Ready {
    Ready {
        entries: entries.into_iter().map(entry).collect(),
        ..Ready::default()
    }
}

/// Indices of the entries from `first` on that are restored; each is also read from the file.
fn indices(opened: &OpenedLog, first: u64) -> Vec<u64> {
    let restored = &opened.persisted.entries;
    let last = restored.last_index();
    let read = opened.log.entries_in(first..=last, usize::MAX);
    let read = read.expect("all restored entries are in the file");
    assert_eq!(read.len() as u64, last + 1 - first);
    for entry in &read {
        assert_eq!(restored.term_at(entry.index), Some(entry.term));
    }
    assert!(opened.log.entry(last + 1).expect("reads").is_none());
    read.iter().map(|entry| entry.index).collect()
}

#[rstest]
fn persisted_state_is_read_after_reopening() {
    let folder = tempfile::tempdir().expect("folder");
    let state = HardState {
        term: 3,
        voted_for: Some(9),
    };
    let opened = RecordLog::open(folder.path(), 7).expect("opens");
    let mut log = opened.log;
    let first = Ready {
        hard_state: Some(state),
        ..ready(1..=5)
    };
    log.persist(&first, state).expect("persisted");
    let truncation = Ready {
        truncate_from: Some(4),
        entries: vec![entry(4)],
        ..Ready::default()
    };
    log.persist(&truncation, state).expect("persisted");
    drop(log);
    let reopened = RecordLog::open(folder.path(), 8).expect("opens");
    assert_eq!(reopened.id, 7, "the id on disk is used");
    assert_eq!(reopened.persisted.hard_state, state);
    assert_eq!(indices(&reopened, 1), [1, 2, 3, 4]);
}

#[rstest]
fn a_snapshot_replaces_the_entries_before_it() {
    let folder = tempfile::tempdir().expect("folder");
    let state = HardState::default();
    let mut log = RecordLog::open(folder.path(), 7).expect("opens").log;
    log.persist(&ready(1..=5), state).expect("persisted");
    let snapshot = Snapshot {
        index: 5,
        term: 1,
        members: Vec::new(),
        state: Bytes::from_static(b"state"),
    };
    log.rewrite(state, snapshot.clone(), &[entry(6)])
        .expect("rewritten");
    log.persist(&ready([7]), state).expect("persisted");
    drop(log);
    let reopened = RecordLog::open(folder.path(), 8).expect("opens");
    assert_eq!(reopened.id, 7);
    assert_eq!(reopened.persisted.snapshot, Some(snapshot));
    assert_eq!(indices(&reopened, 6), [6, 7]);
}

proptest! {
    /// Torn writes after a power failure must affect neither synced records nor later ones.
    #[test]
    fn torn_writes_after_the_last_sync_lose_no_synced_records(
        synced in 1_u64..20,
        unsynced in 0_usize..400,
        noise in proptest::collection::vec(any::<u8>(), 0..400),
    ) {
        let folder = tempfile::tempdir().expect("folder");
        let state = HardState::default();
        let mut log = RecordLog::open(folder.path(), 7).expect("opens").log;
        log.persist(&ready(1..=synced), state).expect("persisted");
        let synced_bytes = log.bytes();
        log.persist(&ready(synced + 1..=synced + 5), state).expect("persisted");
        drop(log);
        let path = folder.path().join("log");
        let mut file = OpenOptions::new().write(true).open(&path).expect("file");
        let length = file.metadata().expect("metadata").len();
        let torn_length = (synced_bytes + unsynced as u64).min(length);
        file.set_len(torn_length).expect("cut");
        file.seek(SeekFrom::Start(torn_length)).expect("seek");
        file.write_all(&noise).expect("noise");
        drop(file);
        let reopened = RecordLog::open(folder.path(), 8).expect("opens");
        prop_assert!(indices(&reopened, 1).len() as u64 >= synced);
        let last = reopened.persisted.entries.last_index();
        let mut log = reopened.log;
        log.persist(&ready([last + 1]), state).expect("persisted");
        drop(log);
        let third = RecordLog::open(folder.path(), 8).expect("opens");
        prop_assert_eq!(indices(&third, 1).last().copied(), Some(last + 1));
    }
}

#[rstest]
fn entries_are_read_by_index() {
    let folder = tempfile::tempdir().expect("folder");
    let state = HardState::default();
    let mut log = RecordLog::open(folder.path(), 7).expect("opens").log;
    log.persist(&ready(1..=9), state).expect("persisted");
    let truncation = Ready {
        truncate_from: Some(8),
        entries: vec![entry(8)],
        ..Ready::default()
    };
    log.persist(&truncation, state).expect("persisted");
    for log in [log, RecordLog::open(folder.path(), 7).expect("opens").log] {
        let (term, entries) = log
            .entries_from(1, u64::MAX)
            .expect("reads")
            .expect("there");
        assert_eq!((term, entries.len()), (0, 8));
        let (term, entries) = log.entries_from(4, 1).expect("reads").expect("there");
        assert_eq!((term, entries[0].index, entries.len()), (1, 4, 1));
        assert!(log.entries_from(9, 1).expect("reads").is_none());
    }
}

#[rstest]
fn a_rewritten_file_has_no_older_entries() {
    let folder = tempfile::tempdir().expect("folder");
    let state = HardState::default();
    let mut log = RecordLog::open(folder.path(), 7).expect("opens").log;
    log.persist(&ready(1..=5), state).expect("persisted");
    let snapshot = Snapshot {
        index: 5,
        term: 1,
        members: Vec::new(),
        state: Bytes::new(),
    };
    log.rewrite(state, snapshot, &[entry(6)])
        .expect("rewritten");
    log.persist(&ready([7, 8]), state).expect("persisted");
    assert!(log.entries_from(5, 100).expect("reads").is_none());
    assert!(log.entries_from(3, 100).expect("reads").is_none());
    let (_, entries) = log
        .entries_from(7, u64::MAX)
        .expect("reads")
        .expect("there");
    assert_eq!(entries.len(), 2);
}

/// An entry with a command of 1,000 bytes.
fn large_entry(index: u64, term: u64) -> Entry {
    Entry {
        term,
        index,
        payload: Payload::Command(Bytes::from(vec![index as u8; 1_000])),
    }
}

/// A log of `entries` in a file whose last half was replaced by entries of term 2.
fn truncated_log(folder: &Path, entries: u64) -> RecordLog {
    let state = HardState::default();
    let mut log = RecordLog::open(folder, 7).expect("opens").log;
    let first = Ready {
        entries: (1..=entries).map(|index| large_entry(index, 1)).collect(),
        ..Ready::default()
    };
    log.persist(&first, state).expect("persisted");
    let replaced = entries / 2 + 1;
    let second = Ready {
        hard_state: Some(state),
        truncate_from: Some(replaced),
        entries: (replaced..=entries)
            .map(|index| large_entry(index, 2))
            .collect(),
        ..Ready::default()
    };
    log.persist(&second, state).expect("persisted");
    log
}

/// Guards against slices that exceed their limit, skip an entry or return a truncated one.
#[rstest]
#[case::a_few(2_500)]
#[case::less_than_one(1)]
#[case::all(usize::MAX)]
fn entries_are_read_in_slices(#[case] limit: usize) {
    const ENTRIES: u64 = 20;
    let folder = tempfile::tempdir().expect("folder");
    let written = truncated_log(folder.path(), ENTRIES);
    for log in [
        written,
        RecordLog::open(folder.path(), 7).expect("opens").log,
    ] {
        let mut next = 1;
        while next <= ENTRIES {
            let slice = log.entries_in(next..=ENTRIES, limit).expect("reads");
            assert!(slice.len() <= 1 || slice.len() * 1_000 < limit);
            for entry in slice {
                let term = if next <= ENTRIES / 2 { 1 } else { 2 };
                assert_eq!(entry, large_entry(next, term));
                next += 1;
            }
        }
        assert_eq!(log.entries_in(3..=4, limit).expect("reads")[0].index, 3);
        assert!(log.entries_in(3..=4, limit).expect("reads").len() <= 2);
        let missing = log.entries_in(next..=next, limit);
        assert!(matches!(missing, Err(RecordLogError::Missing(_))));
    }
}

/// Guards against a corrupt command that is applied because only opening a file checks it.
#[rstest]
#[case::in_a_slice(usize::MAX)]
#[case::alone(1)]
fn corrupt_entries_are_not_read(#[case] limit: usize) {
    let folder = tempfile::tempdir().expect("folder");
    let log = truncated_log(folder.path(), 4);
    let path = folder.path().join("log");
    let mut bytes = std::fs::read(&path).expect("read");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    std::fs::write(&path, bytes).expect("written");
    let read = log.entries_in(4..=4, limit);
    assert!(matches!(read, Err(RecordLogError::Missing(4))));
    assert!(log.entry(4).expect("reads").is_none());
}

/// Guards against a compacted file that differs from one written with the same entries from memory.
#[rstest]
#[case::none(40)]
#[case::some(33)]
#[case::all(0)]
fn compaction_copies_the_entries_after_the_snapshot(#[case] index: u64) {
    const ENTRIES: u64 = 40;
    let state = HardState {
        term: 5,
        voted_for: None,
    };
    let snapshot = Snapshot {
        index,
        term: 1,
        members: Vec::new(),
        state: Bytes::from_static(b"state"),
    };
    let folders = [(); 2].map(|()| tempfile::tempdir().expect("folder"));
    let [mut copied, mut given] = [0, 1].map(|one| truncated_log(folders[one].path(), ENTRIES));
    copied.compact(state, snapshot.clone()).expect("compacted");
    let term = |index| if index <= ENTRIES / 2 { 1 } else { 2 };
    let tail = (index + 1..=ENTRIES).map(|index| large_entry(index, term(index)));
    let tail: Vec<Entry> = tail.collect();
    given.rewrite(state, snapshot, &tail).expect("rewritten");
    for log in [&mut copied, &mut given] {
        let next = Ready {
            entries: vec![large_entry(ENTRIES + 1, 5)],
            ..Ready::default()
        };
        log.persist(&next, state).expect("persisted");
        let all = log.entries_in(index + 1..=ENTRIES + 1, usize::MAX);
        assert_eq!(all.expect("reads").len(), tail.len() + 1);
    }
    assert_eq!(copied.bytes(), given.bytes());
    let files = folders.map(|folder| std::fs::read(folder.path().join("log")).expect("read"));
    assert_eq!(files[0], files[1], "the same bytes");
}

/// Guards against entries whose indices are shifted because the file holds earlier ones twice.
#[rstest]
fn repeated_entries_are_restored_once() {
    let folder = tempfile::tempdir().expect("folder");
    let state = HardState::default();
    let mut log = RecordLog::open(folder.path(), 7).expect("opens").log;
    log.persist(&ready(1..=5), state).expect("persisted");
    log.persist(&ready(4..=6), state).expect("persisted");
    drop(log);
    let reopened = RecordLog::open(folder.path(), 7).expect("opens");
    assert_eq!(indices(&reopened, 1), [1, 2, 3, 4, 5, 6]);
}

/// Guards against a member that can send the first entry after its snapshot to nobody: a snapshot
/// in its place would not include that entry either.
#[rstest]
fn the_first_entry_after_a_snapshot_is_read_with_the_snapshots_term() {
    let folder = tempfile::tempdir().expect("folder");
    let state = HardState::default();
    let mut log = truncated_log(folder.path(), 10);
    let snapshot = Snapshot {
        index: 7,
        term: 2,
        members: Vec::new(),
        state: Bytes::new(),
    };
    log.compact(state, snapshot).expect("compacted");
    for log in [log, RecordLog::open(folder.path(), 7).expect("opens").log] {
        let read = log.entries_from(8, u64::MAX).expect("reads");
        let (previous_term, entries) = read.expect("there");
        assert_eq!((previous_term, entries.len()), (2, 3));
        assert!(log.entries_from(7, u64::MAX).expect("reads").is_none());
    }
}
