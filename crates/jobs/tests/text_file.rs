//! Tests that texts of ended jobs can be moved to a file and read back unchanged.

use brasspond_jobs::{Command, Draft, Item, JobTable, Page, Submission};
use bytes::Bytes;
use rstest::rstest;

const GROUP_SIZE: usize = 4;
const TEXT_BYTES: usize = 5_000;

fn submission(id: &str, items: usize) -> Submission {
    let items = (0..items).map(|number| Item {
        id: format!("{id}-{number}"),
        path: "/jobs/run".to_string(),
        headers: Vec::new(),
        body: Bytes::from_static(b"body"),
        tokens: 10,
        expected_tokens: 5,
        group: format!("{id}-group-{}", number / GROUP_SIZE),
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

/// Accepts a job, lists its first `listed` items and ends it.
fn run_job(table: &mut JobTable, id: &str, items: usize, listed: u32) {
    list_items(table, id, items, listed);
    table.apply(Command::End {
        job: id.to_string(),
    });
}

/// Accepts a job and lists its first `listed` items.
fn list_items(table: &mut JobTable, id: &str, items: usize, listed: u32) {
    table.apply(Command::Accept(submission(id, items)));
    let drafts = (0..listed).map(|item| Draft {
        job: id.to_string(),
        item,
        after: 0,
        text: Bytes::from(format!("{item}").repeat(TEXT_BYTES)),
        versions: vec![1],
    });
    table.apply(Command::Finish(drafts.collect()));
}

/// Moves a job's texts to a file and returns the file's content.
fn move_to_file(table: &mut JobTable, id: &str) -> Bytes {
    let texts = table.texts_for_file(id);
    table.move_to_file(id, 7, &texts);
    let content: Vec<u8> = texts.iter().flat_map(|(_, text)| text.to_vec()).collect();
    content.into()
}

/// Returns a page whose missing texts were read from the file.
fn read_page(table: &JobTable, file: &Bytes, since: u64, limit: usize) -> Page {
    let mut page = table.page("job", since, limit).expect("job");
    let text_file = table.job("job").and_then(|job| job.text_file.as_ref());
    let text_file = text_file.expect("some texts are in the file");
    if let Some(span) = page.span(since, text_file) {
        let begin = span.offset as usize;
        let bytes = file.slice(begin..begin + span.length);
        page.fill(since, text_file, span, &bytes);
    }
    page
}

#[rstest]
#[case::from_the_first(0, usize::MAX)]
#[case::a_small_page(0, 1)]
#[case::from_the_middle(5, 12_000)]
#[case::texts_in_the_table(9, usize::MAX)]
#[case::past_the_end(40, 100)]
fn pages_are_equal_before_and_after_the_move(#[case] since: u64, #[case] limit: usize) {
    let mut table = JobTable::default();
    run_job(&mut table, "job", 12, 10);
    let before = table.page("job", since, limit).expect("job");
    let file = move_to_file(&mut table, "job");
    assert_eq!(read_page(&table, &file, since, limit), before);
}

/// Guards against moving texts that a later job reuses, because it contains items of the same
/// incomplete group.
#[rstest]
fn texts_of_incomplete_groups_stay_in_the_table() {
    let mut table = JobTable::default();
    run_job(&mut table, "job", 12, 10);
    move_to_file(&mut table, "job");
    let job = table.job("job").expect("job");
    assert_eq!(job.text(7), None, "its group is complete");
    assert!(job.text(8).is_some_and(|(text, _)| !text.is_empty()));
    assert!(job.text(9).is_some_and(|(text, _)| !text.is_empty()));
    assert!(table.texts_for_file("job").is_empty(), "moved only once");
}

#[rstest]
fn texts_of_running_jobs_stay_in_the_table() {
    let mut table = JobTable::default();
    table.apply(Command::Accept(submission("job", 4)));
    assert!(table.texts_for_file("job").is_empty());
}

#[rstest]
fn a_table_with_all_texts_restored_equals_the_original() {
    let mut table = JobTable::default();
    run_job(&mut table, "job", 12, 10);
    let before = table.encode().expect("encodes");
    let file = move_to_file(&mut table, "job");
    let text_file = table.job("job").and_then(|job| job.text_file.clone());
    for (position, span) in text_file.expect("texts in a file").spans {
        let begin = span.offset as usize;
        let text = file.slice(begin..begin + span.length);
        table.restore_text("job", position, text);
    }
    assert_eq!(table.encode().expect("encodes"), before);
}

/// Guards against a storage process that runs out of memory because it retains texts of finished
/// jobs.
#[rstest]
#[case::ended(run_job)]
#[case::all_items_listed(list_items)]
fn finished_jobs_take_little_memory(#[case] run: fn(&mut JobTable, &str, usize, u32)) {
    const JOBS: usize = 40;
    const ITEMS: usize = 24;
    let mut table = JobTable::default();
    for number in 0..JOBS {
        let id = format!("job-{number}");
        run(&mut table, &id, ITEMS, ITEMS as u32);
        move_to_file(&mut table, &id);
    }
    let bytes = table.encode().expect("encodes").len();
    let texts = JOBS * ITEMS * TEXT_BYTES;
    assert!(bytes < texts / 20, "{bytes} of {texts}");
}
