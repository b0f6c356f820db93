//! Guards against a storage process that exceeds its memory limit when it writes or reads a snapshot.
//!
//! The test measures the peak of the whole test process, so this file has only one test.

use brasspond_consensus::{HardState, Snapshot};
use brasspond_durable::{RecordLog, SnapshotState, TextFiles};
use brasspond_jobs::{Command, Draft, Item, Job, JobTable, Submission};
use bytes::Bytes;
use rstest::rstest;
use std::io::{self, Write};
use std::path::Path;

const JOBS: usize = 64;
const ITEMS: u32 = 8;
/// Size of each text: the texts of a job take 1 MB.
const TEXT_BYTES: usize = 128 * 1024;
/// Maximum growth of the peak, against 64 MB of texts, in kB.
const MAX_GROWTH_KB: u64 = 16 * 1024;

/// Peak of this process's memory in kB.
fn peak_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("status");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.expect("peak").parse().expect("a number")
}

fn submission(id: &str) -> Submission {
    let items = (0..ITEMS).map(|number| Item {
        id: format!("{id}-{number}"),
        path: "/jobs/run".to_string(),
        headers: Vec::new(),
        body: Bytes::new(),
        tokens: 10,
        expected_tokens: 5,
        group: format!("{id}-group"),
        model: "model".to_string(),
        scoring: None,
    });
    Submission {
        id: id.to_string(),
        host: "host.example".to_string(),
        path: "/jobs/x".to_string(),
        model: "model".to_string(),
        step: 1,
        min_version: 0,
        desired: 1,
        items: items.collect(),
        tenant: None,
    }
}

/// Runs a job and moves its texts to a file.
fn run_job(table: &mut JobTable, files: &mut TextFiles, number: usize) {
    let id = format!("job-{number:03}");
    table.apply(Command::Accept(submission(&id)));
    let drafts = (0..ITEMS).map(|item| Draft {
        job: id.clone(),
        item,
        after: 0,
        text: Bytes::from(vec![b'a' + (number % 26) as u8; TEXT_BYTES]),
        versions: vec![1],
    });
    table.apply(Command::Finish(drafts.collect()));
    table.apply(Command::End { job: id.clone() });
    let texts = table.texts_for_file(&id);
    let file = files.write(texts.iter().map(|(_, text)| text));
    table.move_to_file(&id, file.expect("written"), &texts);
}

/// The table with the texts of its files.
struct State<'a> {
    table: &'a JobTable,
    files: &'a TextFiles,
}

impl SnapshotState for State<'_> {
    fn encoded_bytes(&self) -> io::Result<u64> {
        self.table.encoded_bytes()
    }

    fn write_to<W: Write>(&self, writer: &mut W) -> io::Result<()> {
        let read_texts = |file, length| self.files.read(file, 0, length);
        self.table.write_to(writer, read_texts)
    }
}

/// Rewrites the log in `folder` with a snapshot of 64 MB of texts, and returns the peak's growth.
fn write_snapshot(folder: &Path) -> u64 {
    let mut files = TextFiles::open(folder).expect("texts");
    let mut table = JobTable::default();
    (0..JOBS).for_each(|number| run_job(&mut table, &mut files, number));
    let mut log = RecordLog::open(folder, 1).expect("opens").log;
    let before = peak_kb();
    let snapshot = Snapshot {
        index: 5,
        term: 1,
        members: Vec::new(),
        state: State {
            table: &table,
            files: &files,
        },
    };
    log.rewrite(HardState::default(), snapshot, &[])
        .expect("rewritten");
    assert!(log.bytes() > (JOBS * ITEMS as usize * TEXT_BYTES) as u64);
    peak_kb() - before
}

fn move_texts(job: &mut Job, files: &mut TextFiles) {
    let texts = job.texts_for_file();
    let file = files.write(texts.iter().map(|(_, text)| text));
    job.move_to_file(file.expect("written"), &texts);
}

/// Opens the log in `folder` and returns the peak's growth.
fn read_snapshot(folder: &Path) -> u64 {
    let mut files = TextFiles::open(folder).expect("texts");
    let before = peak_kb();
    let opened = RecordLog::open_with(folder, 1, |reader| {
        JobTable::read_from(reader, |_, job| move_texts(job, &mut files))
    });
    let snapshot = opened.expect("opens").persisted.snapshot;
    assert_eq!(snapshot.expect("a snapshot").state.jobs().count(), JOBS);
    peak_kb() - before
}

#[rstest]
fn a_snapshot_of_many_texts_takes_little_memory() {
    let folder = tempfile::tempdir().expect("folder");
    let written = write_snapshot(folder.path());
    let read = read_snapshot(folder.path());
    println!("growth of the peak in kB: {written} when written, {read} when read");
    assert!(written < MAX_GROWTH_KB, "{written} kB");
    assert!(read < MAX_GROWTH_KB, "{read} kB");
}
