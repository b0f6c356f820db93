//! Guards against changes to the formats of the log and of text files, which a later build must
//! still read.

use brasspond_consensus::{Entry, HardState, Member, Payload, Ready, Snapshot};
use brasspond_durable::{OpenedLog, RecordLog, TextFiles};
use brasspond_golden::check_bytes;
use bytes::Bytes;
use rstest::rstest;
use std::path::{Path, PathBuf};

const STATE: HardState = HardState {
    term: 3,
    voted_for: Some(9),
};

fn member() -> Member {
    Member {
        id: 7,
        machine: "machine-a".to_string(),
        address: "10.0.0.1:7720".parse().expect("address"),
        zone: "zone-a".to_string(),
        region: Some("region-a".into()),
    }
}

fn entry(index: u64, payload: Payload) -> Entry {
    Entry {
        term: 3,
        index,
        payload,
    }
}

/// Writes a record of each kind except snapshots.
fn write_log(folder: &Path) {
    let mut log = RecordLog::open(folder, 7).expect("opens").log;
    let first = Ready {
        hard_state: Some(STATE),
        entries: vec![
            entry(1, Payload::Members(vec![member()])),
            entry(2, Payload::Nothing),
            entry(3, Payload::Command(Bytes::from_static(b"void"))),
        ],
        ..Ready::default()
    };
    log.persist(&first, STATE).expect("persisted");
    let second = Ready {
        truncate_from: Some(3),
        entries: vec![entry(3, Payload::Command(Bytes::from_static(b"command")))],
        ..Ready::default()
    };
    log.persist(&second, STATE).expect("persisted");
}

fn snapshot() -> Snapshot {
    Snapshot {
        index: 5,
        term: 3,
        members: vec![member()],
        state: Bytes::from_static(b"state"),
    }
}

fn write_snapshot(folder: &Path) {
    let mut log = RecordLog::open(folder, 7).expect("opens").log;
    let ready = Ready {
        hard_state: Some(STATE),
        snapshot: Some(snapshot()),
        entries: vec![entry(6, Payload::Nothing)],
        ..Ready::default()
    };
    log.persist(&ready, STATE).expect("persisted");
}

fn golden(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    folder.join(name)
}

#[rstest]
fn logs() {
    let folder = tempfile::tempdir().expect("folder");
    write_log(folder.path());
    let bytes = std::fs::read(folder.path().join("log")).expect("written");
    check_bytes(&golden("log.txt"), &bytes);
    let OpenedLog { log, persisted, .. } = RecordLog::open(folder.path(), 8).expect("opens");
    assert_eq!(persisted.hard_state, STATE);
    assert_eq!(persisted.entries.last_index(), 3);
    let entries = log.entries_in(1..=3, usize::MAX).expect("reads");
    assert_eq!(entries.len(), 3);
    let command = Payload::Command(Bytes::from_static(b"command"));
    assert_eq!(entries[2].payload, command);
}

#[rstest]
fn logs_after_a_snapshot() {
    let folder = tempfile::tempdir().expect("folder");
    write_snapshot(folder.path());
    let bytes = std::fs::read(folder.path().join("log")).expect("written");
    check_bytes(&golden("snapshot.txt"), &bytes);
    let persisted = RecordLog::open(folder.path(), 8).expect("opens").persisted;
    assert_eq!(persisted.snapshot, Some(snapshot()));
}

#[rstest]
fn texts() {
    let folder = tempfile::tempdir().expect("folder");
    let mut files = TextFiles::open(folder.path()).expect("opens");
    let texts = [Bytes::from_static(b"one"), Bytes::from_static(b"two")];
    let number = files.write(texts.iter()).expect("written");
    let path = folder.path().join("texts").join(number.to_string());
    check_bytes(&golden("texts.txt"), &std::fs::read(path).expect("read"));
}
