//! Logs of stopped storage machines that are given the jobs of a whole day, without the traffic.

use brasspond_consensus::{Entry, Payload, Ready, Snapshot};
use brasspond_durable::{OpenedLog, RecordLog};
use brasspond_jobs::{Command, Draft, Item, JobTable, Submission};
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};
use std::path::{Path, PathBuf};

/// Items of a job.
const ITEMS: u32 = 140;
/// Size of a text, in bytes.
const TEXT_BYTES: usize = 4_500;
/// Texts that one entry of the log finishes.
const TEXTS_PER_ENTRY: usize = 20;
/// Seed of the texts.
const SEED: u64 = 1;

/// Ended jobs with texts that cannot be compressed.
#[derive(Clone, Copy, Debug)]
pub struct Jobs {
    pub count: u32,
}

impl Jobs {
    /// The least number of jobs that have texts of this size together.
    pub fn with_text_mb(text_mb: u32) -> Self {
        let job_bytes = ITEMS * TEXT_BYTES as u32;
        Self {
            count: (text_mb * 1_000_000).div_ceil(job_bytes),
        }
    }

    pub fn id(number: u32) -> String {
        format!("job-{number:04}")
    }

    /// Number of results of each job.
    pub fn results() -> usize {
        ITEMS as usize
    }

    /// Id of the last job in the log.
    pub fn last_id(self) -> String {
        Self::id(self.count - 1)
    }
}

fn submission(number: u32) -> Submission {
    let job = Jobs::id(number);
    let item = |index: u32| Item {
        id: format!("{job}-{index}"),
        path: "/generate".to_string(),
        headers: Vec::new(),
        body: "{}".into(),
        tokens: 1_000,
        expected_tokens: 0,
        group: format!("group-{}", index / 4),
        model: String::new(),
        scoring: None,
    };
    Submission {
        id: job.clone(),
        host: "host.example".to_string(),
        path: "/jobs/x".to_string(),
        model: String::new(),
        step: u64::from(number),
        min_version: 0,
        desired: 0,
        items: (0..ITEMS).map(item).collect(),
        tenant: None,
    }
}

fn draft(job: &str, item: u32, random: &mut StdRng) -> Draft {
    let mut text = vec![0; TEXT_BYTES];
    random.fill_bytes(&mut text);
    Draft {
        job: job.to_string(),
        item,
        after: 0,
        text: text.into(),
        versions: vec![1],
    }
}

/// The commands of a job, from its acceptance to its end.
fn commands(number: u32, random: &mut StdRng) -> Vec<Command> {
    let job = Jobs::id(number);
    let drafts: Vec<Draft> = (0..ITEMS).map(|item| draft(&job, item, random)).collect();
    let mut commands = vec![Command::Accept(submission(number))];
    let batches = drafts.chunks(TEXTS_PER_ENTRY);
    commands.extend(batches.map(|batch| Command::Finish(batch.to_vec())));
    commands.push(Command::End { job });
    commands
}

/// All entries of a log.
fn entries(opened: &OpenedLog) -> Vec<Entry> {
    let indices = 1..=opened.persisted.entries.last_index();
    let read = opened.log.entries_in(indices, usize::MAX);
    read.expect("all entries are in the file")
}

fn append(opened: &mut OpenedLog, entries: Vec<Entry>, truncate_from: Option<u64>) {
    let ready = Ready {
        truncate_from,
        entries,
        ..Ready::default()
    };
    let state = opened.persisted.hard_state;
    opened.log.persist(&ready, state).expect("written");
}

/// Makes a log equal to a longer one.
fn catch_up(opened: &mut OpenedLog, longest: &[Entry]) {
    let own = entries(opened);
    let pairs = own.iter().zip(longest);
    let equal = pairs.take_while(|(own, other)| own == other).count();
    let surplus = own.get(equal).map(|entry| entry.index);
    append(opened, longest[equal..].to_vec(), surplus);
}

/// Appends `jobs` to the logs in `folders`, whose processes are stopped. The logs are equal then.
pub fn append_jobs(folders: &[PathBuf], jobs: Jobs) {
    let open = |folder: &PathBuf| RecordLog::open(folder, 0).expect("a log");
    let mut logs: Vec<OpenedLog> = folders.iter().map(open).collect();
    let all = logs.iter().map(entries);
    let longest = all.max_by_key(|entries| entries.last().map(|last| (last.term, last.index)));
    let longest = longest.expect("a log");
    let end = longest.last().expect("an entry");
    let (term, mut index) = (end.term, end.index);
    for opened in &mut logs {
        catch_up(opened, &longest);
    }
    let mut random = StdRng::seed_from_u64(SEED);
    for number in 0..jobs.count {
        let mut entries = Vec::new();
        for command in commands(number, &mut random) {
            index += 1;
            let payload = Payload::Command(command.encode().expect("encoded"));
            entries.push(Entry {
                term,
                index,
                payload,
            });
        }
        for opened in &mut logs {
            append(opened, entries.clone(), None);
        }
    }
}

/// Replaces the log in `folder`, whose process is stopped, by a snapshot of all its entries.
pub fn rewrite(folder: &Path) {
    let opened = RecordLog::open(folder, 0).expect("a log");
    let entries = entries(&opened);
    let OpenedLog {
        mut log, persisted, ..
    } = opened;
    let last = entries.last().expect("an entry");
    let (term, index) = (last.term, last.index);
    let mut table = JobTable::default();
    let mut members = Vec::new();
    for entry in entries {
        match entry.payload {
            Payload::Nothing => {}
            Payload::Members(voters) => members = voters,
            Payload::Command(bytes) => {
                table.apply(Command::decode(&bytes).expect("a command"));
            }
        }
    }
    let snapshot = Snapshot {
        index,
        term,
        members,
        state: table.encode().expect("a table"),
    };
    let rewritten = log.rewrite(persisted.hard_state, snapshot, &[]);
    rewritten.expect("rewritten");
}
