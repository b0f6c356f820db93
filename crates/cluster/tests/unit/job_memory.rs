//! Guards against accepted jobs that exceed the memory of storage processes, and against refusing
//! small jobs.

use super::JobSize;
use brasspond_jobs::{Item, Submission};
use bytes::Bytes;
use rstest::rstest;

const MB: u64 = 1_000_000;
const LIMIT: u64 = 320 * MB;

fn submission(items: usize, body_bytes: usize) -> Submission {
    let item = |number: usize| Item {
        id: format!("{number:016x}"),
        path: "/jobs/1/91c4".to_string(),
        headers: vec![("X-Brasspond-Model".to_string(), "model".to_string())],
        body: Bytes::from(vec![b'x'; body_bytes]),
        tokens: 940,
        expected_tokens: 0,
        group: format!("g{}", number / 4),
        model: "model".to_string(),
        scoring: None,
    };
    Submission {
        id: "job".to_string(),
        host: "host.example".to_string(),
        path: "/jobs/step".to_string(),
        model: "model".to_string(),
        step: 1,
        min_version: 1,
        desired: 1,
        items: (0..items).map(item).collect(),
        tenant: None,
    }
}

fn is_accepted(held: u64, submission: &Submission, limit: u64) -> bool {
    JobSize::of(&submission.items).fits(held, limit)
}

#[rstest]
#[case::many_small_items(submission(130_000, 30))]
#[case::large_bodies(submission(24, 1_000_000))]
fn the_largest_job_is_accepted_by_an_idle_process(#[case] submission: Submission) {
    assert!(is_accepted(0, &submission, LIMIT));
}

#[rstest]
fn large_jobs_are_accepted_until_the_memory_is_used() {
    let submission = submission(130_000, 30);
    let mut held = 0;
    let mut accepted = 0;
    while is_accepted(held, &submission, LIMIT) {
        held += JobSize::of(&submission.items).held_bytes();
        accepted += 1;
        assert!(held < LIMIT, "more than the memory");
    }
    assert!(accepted >= 1);
}

#[rstest]
fn a_small_job_is_always_accepted() {
    assert!(is_accepted(LIMIT, &submission(200, 1_000), LIMIT));
}
