//! Tests that a table is encoded and decoded job by job with the same result as at once.

use brasspond_jobs::{
    Command, Draft, Item, Job, JobTable, Listing, Outcome, Part, Piece, Submission,
};
use bytes::Bytes;
use proptest::prelude::*;
use rstest::rstest;
use std::io;

/// A job of a random table.
#[derive(Clone, Debug)]
struct JobCase {
    items: u32,
    group_size: u32,
    texts: Vec<Option<Vec<u8>>>,
    is_ended: bool,
    is_moved: bool,
}

fn job_case() -> impl Strategy<Value = JobCase> {
    let length = prop_oneof![0..40_usize, 200..300_usize, 65_400..65_700_usize];
    let text = length.prop_flat_map(|length| any::<u8>().prop_map(move |byte| vec![byte; length]));
    let texts = proptest::collection::vec(proptest::option::of(text), 0..8);
    (0..12_u32, 1..4_u32, texts, any::<bool>(), any::<bool>()).prop_map(
        |(items, group_size, texts, is_ended, is_moved)| JobCase {
            items,
            group_size,
            texts,
            is_ended,
            is_moved,
        },
    )
}

fn submission(id: &str, case: &JobCase) -> Submission {
    let items = (0..case.items).map(|number| Item {
        id: format!("{id}-{number}"),
        path: "/jobs/run".to_string(),
        headers: vec![("name".to_string(), "value".to_string())],
        body: Bytes::from_static(b"body"),
        tokens: 10,
        expected_tokens: 5,
        group: format!("{id}-group-{}", number / case.group_size),
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
        tenant: Some("tenant".into()),
    }
}

/// Applies the commands of a job: a text is finished, a missing one terminated, and the item after
/// the last has a part of its text.
fn run_job(table: &mut JobTable, id: &str, case: &JobCase) {
    let job = id.to_string();
    table.apply(Command::Accept(submission(id, case)));
    for (item, text) in (0..).zip(&case.texts) {
        table.apply(match text {
            Some(text) => Command::Finish(vec![Draft {
                job: job.clone(),
                item,
                after: 0,
                text: Bytes::from(text.clone()),
                versions: vec![1, 300],
            }]),
            None => Command::List(vec![Listing {
                job: job.clone(),
                item,
                outcome: Outcome::Terminated,
            }]),
        });
    }
    table.apply(Command::Extend(vec![Piece {
        job: job.clone(),
        item: case.texts.len() as u32,
        after: 0,
        parts: vec![Part {
            data: Bytes::from_static(b"part"),
            version: 1,
        }],
    }]));
    if case.is_ended {
        table.apply(Command::End { job });
    }
}

fn table(cases: &[JobCase]) -> JobTable {
    let mut table = JobTable::default();
    for (number, case) in cases.iter().enumerate() {
        run_job(&mut table, &format!("job-{number}"), case);
    }
    table.apply(Command::Remember {
        revision: 7,
        view: Bytes::from_static(b"view"),
    });
    table
}

/// Files of texts, in memory.
#[derive(Default)]
struct Files(Vec<Bytes>);

impl Files {
    fn move_texts(&mut self, job: &mut Job) {
        let texts = job.texts_for_file();
        if texts.is_empty() {
            return;
        }
        let content: Vec<u8> = texts.iter().flat_map(|(_, text)| text.to_vec()).collect();
        self.0.push(content.into());
        job.move_to_file(self.0.len() as u64, &texts);
    }

    fn read(&self, file: u64, length: usize) -> io::Result<Bytes> {
        Ok(self.0[file as usize - 1].slice(..length))
    }
}

/// Returns the table as it is after a start, with the texts of the chosen jobs in files.
fn move_texts(encoded: &[u8], cases: &[JobCase], files: &mut Files) -> JobTable {
    let read = JobTable::read_from(encoded, |id, job| {
        let number: usize = id[4..].parse().expect("a number");
        if cases[number].is_moved {
            files.move_texts(job);
        }
    });
    read.expect("decodes")
}

proptest! {
    /// Guards against snapshots that other members or earlier builds cannot read.
    #[test]
    fn a_table_written_job_by_job_has_the_bytes_of_the_whole_table(
        cases in proptest::collection::vec(job_case(), 0..6),
    ) {
        let whole = table(&cases);
        let encoded = whole.encode().expect("encodes");
        let mut files = Files::default();
        let moved = move_texts(&encoded, &cases, &mut files);
        let mut written = Vec::new();
        moved.write_to(&mut written, |file, length| files.read(file, length)).expect("writes");
        prop_assert!(written == encoded, "the bytes differ");
        prop_assert_eq!(moved.encoded_bytes().expect("counts"), encoded.len() as u64);
    }

    #[test]
    fn a_table_read_job_by_job_equals_the_whole_table(
        cases in proptest::collection::vec(job_case(), 0..6),
    ) {
        let whole = table(&cases);
        let encoded = whole.encode().expect("encodes");
        let read = JobTable::read_from(&encoded[..], |_, _| {}).expect("decodes");
        prop_assert!(read == whole, "the tables differ");
        let cut = &encoded[..encoded.len() - 1];
        let is_read = JobTable::read_from(cut, |_, _| {}).is_ok();
        prop_assert!(!is_read, "a torn table was read");
    }
}

/// Guards against a snapshot without the texts that could not be read.
#[rstest]
fn a_text_that_cannot_be_read_fails_the_write() {
    let case = JobCase {
        items: 1,
        group_size: 1,
        texts: vec![Some(vec![1; 10])],
        is_ended: true,
        is_moved: true,
    };
    let cases = [case];
    let encoded = table(&cases).encode().expect("encodes");
    let moved = move_texts(&encoded, &cases, &mut Files::default());
    let error = moved.write_to(&mut Vec::new(), |_, _| Err(io::Error::other("unreadable")));
    assert_eq!(error.expect_err("fails").to_string(), "unreadable");
}

/// Guards against older snapshots, which end after the copy of the view.
#[rstest]
fn a_table_without_later_fields_is_read() {
    // An empty map of jobs and no copy of the view.
    let encoded = [0x92, 0x80, 0xc0];
    let read = JobTable::read_from(&encoded[..], |_, _| {}).expect("decodes");
    assert_eq!(read, JobTable::default());
}
