//! Guards against snapshots that other builds cannot read, and against damaged ones.

use brasspond_consensus::{Entry, HardState, Member, Payload, Ready, Snapshot};
use brasspond_durable::{OpenedLog, RecordLog, RecordLogError, SnapshotState};
use bytes::Bytes;
use proptest::prelude::*;
use rstest::rstest;
use serde::Serialize;
use std::io::{self, Write};
use std::path::Path;
use xxhash_rust::xxh3::xxh3_64;

const STATE: HardState = HardState {
    term: 3,
    voted_for: Some(9),
};

/// The record as it is encoded at once.
#[derive(Serialize)]
enum Record {
    Snapshot(Snapshot),
}

fn snapshot(state: Vec<u8>, members: u64) -> Snapshot {
    let member = |id| Member {
        id,
        machine: format!("machine-{id}"),
        address: "10.0.0.1:7720".parse().expect("address"),
        zone: "zone-a".to_string(),
        region: None,
    };
    Snapshot {
        index: 500,
        term: 3,
        members: (0..members).map(member).collect(),
        state: state.into(),
    }
}

fn entry(index: u64) -> Entry {
    Entry {
        term: 3,
        index,
        payload: Payload::Command(Bytes::from_static(b"command")),
    }
}

/// Writes a log without a snapshot and returns its size.
fn write_head(folder: &Path) -> usize {
    let mut log = RecordLog::open(folder, 7).expect("opens").log;
    let ready = Ready {
        hard_state: Some(STATE),
        ..Ready::default()
    };
    log.persist(&ready, STATE).expect("persisted");
    log.bytes() as usize
}

/// Rewrites the log with a snapshot and one entry.
fn write_snapshot(folder: &Path, snapshot: &Snapshot) {
    let mut log = RecordLog::open(folder, 7).expect("opens").log;
    let entries = [entry(501)];
    log.rewrite(STATE, snapshot.clone(), &entries)
        .expect("rewritten");
}

/// The restored entries from `first` on, as the file has them.
fn stored_entries(opened: &OpenedLog, first: u64) -> Vec<Entry> {
    let last = opened.persisted.entries.last_index();
    let read = opened.log.entries_in(first..=last, usize::MAX);
    read.expect("all restored entries are in the file")
}

fn encode(snapshot: &Snapshot) -> Vec<u8> {
    let body = rmp_serde::to_vec(&Record::Snapshot(snapshot.clone())).expect("encodes");
    let length = u32::try_from(body.len()).expect("short").to_be_bytes();
    let checksum = xxh3_64(&body).to_be_bytes();
    [&length[..], &checksum[..], &body[..]].concat()
}

#[rstest]
fn a_record_written_as_a_stream_has_the_bytes_of_the_whole_record(
    #[values(0, 1, 255, 256, 65_535, 65_536, 300_000)] length: usize,
    #[values(0, 1, 20)] members: u64,
) {
    let folder = tempfile::tempdir().expect("folder");
    let head = write_head(folder.path());
    let snapshot = snapshot(vec![7; length], members);
    write_snapshot(folder.path(), &snapshot);
    let expected = encode(&snapshot);
    let file = std::fs::read(folder.path().join("log")).expect("reads");
    assert!(file[head..].starts_with(&expected), "the bytes differ");
    let opened = RecordLog::open(folder.path(), 8).expect("opens");
    assert_eq!(stored_entries(&opened, 501), [entry(501)]);
    assert_eq!(opened.persisted.snapshot, Some(snapshot));
}

/// Asserts that the log ends before its snapshot and can be continued.
fn assert_ends_before_snapshot(folder: &Path, head: usize) {
    let opened = RecordLog::open(folder, 8).expect("opens");
    let OpenedLog { log, id, persisted } = opened;
    assert_eq!((id, persisted.hard_state), (7, STATE));
    let last_index = persisted.entries.last_index();
    assert_eq!((persisted.snapshot, last_index), (None, 0));
    assert_eq!(log.bytes() as usize, head);
    let length = std::fs::metadata(folder.join("log")).expect("file").len();
    assert_eq!(length as usize, head);
}

proptest! {
    #[test]
    fn a_torn_or_corrupt_snapshot_ends_the_log(
        length in prop_oneof![0..400_usize, 65_000..140_000_usize],
        position in any::<prop::sample::Index>(),
        is_torn in any::<bool>(),
    ) {
        let folder = tempfile::tempdir().expect("folder");
        let head = write_head(folder.path());
        let snapshot = snapshot(vec![7; length], 2);
        write_snapshot(folder.path(), &snapshot);
        let path = folder.path().join("log");
        let mut file = std::fs::read(&path).expect("reads");
        let position = head + position.index(encode(&snapshot).len());
        if is_torn {
            file.truncate(position);
        } else {
            file[position] ^= 0x10;
        }
        std::fs::write(&path, &file).expect("writes");
        assert_ends_before_snapshot(folder.path(), head);
    }
}

/// Guards against a snapshot whose checksum is right but whose content another build wrote.
#[rstest]
fn an_undecodable_snapshot_ends_the_log(#[values(11, 12, 20)] kept: usize) {
    let folder = tempfile::tempdir().expect("folder");
    let head = write_head(folder.path());
    let body = encode(&snapshot(vec![7; 100], 2))[12..12 + kept].to_vec();
    let header = [
        &(kept as u32).to_be_bytes()[..],
        &xxh3_64(&body).to_be_bytes(),
    ];
    let path = folder.path().join("log");
    let mut file = std::fs::read(&path).expect("reads");
    file.extend(header.concat());
    file.extend(body);
    std::fs::write(&path, &file).expect("writes");
    assert_ends_before_snapshot(folder.path(), head);
}

/// Guards against the loss of a log whose state this build cannot read.
#[rstest]
fn a_state_that_cannot_be_read_leaves_the_file_unchanged() {
    let folder = tempfile::tempdir().expect("folder");
    write_head(folder.path());
    write_snapshot(folder.path(), &snapshot(vec![7; 100], 2));
    let path = folder.path().join("log");
    let before = std::fs::read(&path).expect("reads");
    let opened = RecordLog::open_with(folder.path(), 8, |_| {
        Err::<(), _>(std::io::Error::other("unreadable"))
    });
    assert!(opened.is_err());
    assert_eq!(std::fs::read(&path).expect("reads"), before);
}

/// A state whose write ends after some bytes because the disk is full.
struct FullDisk;

impl SnapshotState for FullDisk {
    fn encoded_bytes(&self) -> io::Result<u64> {
        Ok(1_000_000)
    }

    fn write_to<W: Write>(&self, writer: &mut W) -> io::Result<()> {
        writer.write_all(&[7; 500_000])?;
        Err(io::ErrorKind::StorageFull.into())
    }
}

/// Guards against a process that ends, or a disk that stays full, when a rewrite finds no space.
#[rstest]
fn a_failed_rewrite_leaves_the_old_file_in_use() {
    let folder = tempfile::tempdir().expect("folder");
    write_head(folder.path());
    let mut log = RecordLog::open(folder.path(), 7).expect("opens").log;
    persist_entry(&mut log, 1);
    let before = log.bytes();
    let snapshot = Snapshot {
        index: 1,
        term: 3,
        members: Vec::new(),
        state: FullDisk,
    };
    let error = log.rewrite(STATE, snapshot, &[]).expect_err("fails");
    assert!(matches!(error, RecordLogError::Rewrite(_)), "{error}");
    assert!(!folder.path().join("log.new").exists());
    assert_eq!(log.bytes(), before);
    persist_entry(&mut log, 2);
    drop(log);
    let opened = RecordLog::open(folder.path(), 8).expect("opens");
    assert_eq!(stored_entries(&opened, 1), [entry(1), entry(2)]);
    assert_eq!(opened.persisted.snapshot, None);
}

fn persist_entry(log: &mut RecordLog, index: u64) {
    let ready = Ready {
        entries: vec![entry(index)],
        ..Ready::default()
    };
    log.persist(&ready, STATE).expect("persisted");
}
