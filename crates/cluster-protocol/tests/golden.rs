//! Bytes of the messages between processes of a cluster, as an earlier build wrote them.

use brasspond_cluster_protocol::{
    Answer, FrameBuffer, Message, Peer, Question, RunEnd, ScoringEnd, Watch, encode,
};
use brasspond_consensus::Payload;
use brasspond_fleet::KeyDigest;
use brasspond_golden::{Variants, check_lines, check_values, to_hex};
use brasspond_jobs::BodyError;
use brasspond_quarantine::{Content, Fingerprint};
use rstest::rstest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::Path;

fn variants() -> Variants {
    Variants::default()
        .with(&KeyDigest::of(b"key"))
        .with(&Fingerprint::of(&Content {
            method: "POST",
            host: "host",
            path: "/",
            tenant: None,
            body: b"body",
        }))
}

#[rstest]
fn messages() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/messages.txt");
    check_values(file.as_ref(), &variants().of::<Message>());
}

/// Frames as they go over a connection, with their length and what tells packed ones.
#[rstest]
fn frames() {
    let messages = variants().of::<Message>();
    let frames: Vec<String> = messages.iter().map(|one| to_hex(&encode(one))).collect();
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/frames.txt");
    check_lines(file.as_ref(), &frames);
    for message in &messages {
        let mut buffer = FrameBuffer::default();
        buffer.bytes.extend_from_slice(&encode(message));
        assert!(matches!(buffer.next_message(), Ok(Some(_))), "{message:?}");
    }
}

/// Checks a value of each variant of a type against the type's file.
fn check<T: Serialize + DeserializeOwned>(name: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    check_values(&folder.join(format!("{name}.txt")), &variants().of::<T>());
}

/// Types within messages: only the outermost has all its variants met above.
#[rstest]
fn parts_of_messages() {
    check::<Question>("question");
    check::<Answer>("answer");
    check::<Peer>("peer");
    check::<Watch>("watch");
    check::<RunEnd>("run_end");
    check::<ScoringEnd>("scoring_end");
    check::<brasspond_consensus::Message>("consensus");
    check::<Payload>("payload");
    check::<BodyError>("body_error");
}
