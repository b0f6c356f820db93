//! Guards against submissions that the leader reads otherwise than the edge wrote them.

use brasspond_cluster_protocol::{FrameBuffer, Message, Question, SubmissionWriter};
use brasspond_jobs::{Item, ScoringCall, Submission};
use bytes::Bytes;
use rstest::rstest;
use std::sync::Arc;

fn item(number: usize, body_bytes: usize) -> Item {
    Item {
        id: format!("item-{number}"),
        path: format!("/jobs/run/{number}"),
        headers: vec![("X-Model".to_string(), "model".to_string())],
        body: Bytes::from(vec![b'x'; body_bytes]),
        tokens: 100,
        expected_tokens: number as u64,
        group: format!("group-{}", number / 4),
        model: "model".to_string(),
        scoring: number.is_multiple_of(3).then(|| ScoringCall {
            id: format!("call-{number}"),
            host: "scores.example".to_string(),
            path: "/score/".to_string(),
            body: Bytes::from_static(b"call"),
        }),
    }
}

fn submission(items: usize, body_bytes: usize, model: &str, tenant: Option<&str>) -> Submission {
    Submission {
        id: "job".to_string(),
        host: "host.example".to_string(),
        path: "/jobs/step".to_string(),
        model: model.to_string(),
        step: 3,
        min_version: 7,
        desired: 2,
        items: (0..items).map(|number| item(number, body_bytes)).collect(),
        tenant: tenant.map(Arc::from),
    }
}

/// Decodes the frame as the leader does.
fn decode(parts: &[Bytes]) -> (u64, Submission) {
    let mut buffer = FrameBuffer::default();
    for part in parts {
        buffer.bytes.extend_from_slice(part);
    }
    let message = buffer.next_message().expect("readable").expect("complete");
    assert!(buffer.bytes.is_empty(), "one frame");
    match message {
        Message::Ask {
            number,
            question: Question::Submit(submission),
        } => (number, submission),
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::empty(submission(0, 0, "model", None))]
#[case::one_item(submission(1, 10, "model", None))]
#[case::with_a_tenant(submission(20, 100, "model", Some("tenant")))]
#[case::many_items(submission(70_000, 0, "", None))]
#[case::large_bodies(submission(5, 300_000, "model", None))]
#[case::a_head_of_several_blocks(submission(2, 10, &"m".repeat(150_000), Some("tenant")))]
fn a_submission_written_by_items_is_read_as_it_was(
    #[case] submission: Submission,
    #[values(false, true)] is_packing_paused: bool,
) {
    brasspond_compression::set_packing_paused(is_packing_paused);
    let mut writer = SubmissionWriter::default();
    for item in &submission.items {
        writer.push(item).expect("encoded");
    }
    let head = Submission {
        items: Vec::new(),
        ..submission.clone()
    };
    let encoded = writer.finish(head).expect("encoded");
    assert_eq!(encoded.tenant(), submission.tenant.as_deref());
    let has_calls = !submission.items.is_empty();
    let endpoints: Vec<_> = encoded.scoring_endpoints().collect();
    let expected = [("scores.example", "/score/")];
    assert_eq!(endpoints, expected[..usize::from(has_calls)]);
    // A question may be asked again with another number.
    for number in [1, u64::MAX] {
        let parts = encoded.question_parts(number).expect("encoded");
        assert_eq!(decode(&parts), (number, submission.clone()));
    }
}
