//! Memory that opening a log takes.

use brasspond_consensus::{Entry, HardState, Payload, Ready};
use brasspond_durable::RecordLog;
use bytes::Bytes;
use rstest::rstest;

const ENTRY_BYTES: usize = 16 * 1024;
/// Number of entries in the file, of 64 MB in total.
const ENTRY_COUNT: u64 = 4_096;
/// Bound for an open log: the largest record, its offsets and buffers, well below the file.
const MAX_OPEN_KB: u64 = 4 * 1024;

/// Peak resident memory of this process in KB.
fn peak_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("status");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|kb| kb.parse().ok()).expect("a number")
}

/// Guards against a member that holds its whole log in memory from its start on.
#[rstest]
fn an_opened_log_stays_on_disk() {
    let folder = tempfile::tempdir().expect("folder");
    let mut log = RecordLog::open(folder.path(), 7).expect("opens").log;
    for index in 1..=ENTRY_COUNT {
        let payload = Payload::Command(Bytes::from(vec![index as u8; ENTRY_BYTES]));
        let entry = Entry {
            term: 1,
            index,
            payload,
        };
        let ready = Ready {
            entries: vec![entry],
            ..Ready::default()
        };
        log.persist(&ready, HardState::default())
            .expect("persisted");
    }
    drop(log);
    let before = peak_kb();
    let opened = RecordLog::open(folder.path(), 7).expect("opens");
    let grown = peak_kb() - before;
    assert!(opened.log.bytes() > ENTRY_COUNT * ENTRY_BYTES as u64);
    assert!(grown <= MAX_OPEN_KB, "{grown} KB");
}
