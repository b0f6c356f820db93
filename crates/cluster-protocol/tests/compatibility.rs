//! Guards against a hello that builds with other fields cannot decode, which would close the link.

use brasspond_cluster_protocol::{FEATURE_REPLICA_LOADS, FrameBuffer, Message, Peer, encode};
use brasspond_consensus::Member;
use bytes::Bytes;
use rstest::rstest;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Length and compression marker of a frame, in bytes.
const FRAME_HEAD_BYTES: usize = 5;

/// Copy of the hello of builds that announce no features.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum OldPeer {
    Edge {
        machine: String,
        zone: String,
        incarnation: u64,
        region: Option<Arc<str>>,
    },
    Storage(Member),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum OldMessage {
    Hello(OldPeer),
}

fn old_edge(region: Option<&str>) -> OldMessage {
    OldMessage::Hello(OldPeer::Edge {
        machine: "edge-1".to_string(),
        zone: "n1".to_string(),
        incarnation: u64::MAX,
        region: region.map(Arc::from),
    })
}

fn edge(region: Option<&str>, features: u32) -> Message {
    Message::Hello(Peer::Edge {
        machine: "edge-1".to_string(),
        zone: "n1".to_string(),
        incarnation: u64::MAX,
        region: region.map(Arc::from),
        features,
    })
}

fn member() -> Member {
    Member {
        id: 7,
        machine: "storage-1".to_string(),
        address: "127.0.0.1:1".parse().expect("address"),
        zone: "n1".to_string(),
        region: None,
    }
}

/// The content of a frame that is not compressed.
fn content(frame: &Bytes) -> &[u8] {
    &frame[FRAME_HEAD_BYTES..]
}

/// A frame as builds without features encode it, with fields by position.
fn old_frame(message: &OldMessage) -> Vec<u8> {
    let content = rmp_serde::to_vec(message).expect("the message can be encoded");
    let plain = encode(&Message::NeedView)[FRAME_HEAD_BYTES - 1];
    let length = u32::try_from(content.len() + 1).expect("a short frame");
    let mut frame = length.to_be_bytes().to_vec();
    frame.push(plain);
    frame.extend_from_slice(&content);
    frame
}

fn decode(frame: &[u8]) -> Message {
    let mut buffer = FrameBuffer::default();
    buffer.bytes.extend_from_slice(frame);
    let message = buffer.next_message().expect("the frame is valid");
    message.expect("the frame is complete")
}

#[rstest]
#[case(None)]
#[case(Some("n"))]
fn an_old_build_reads_the_hello_of_an_edge(#[case] region: Option<&str>) {
    let frame = encode(&edge(region, FEATURE_REPLICA_LOADS));
    let message: OldMessage = rmp_serde::from_slice(content(&frame)).expect("it can be decoded");
    assert_eq!(message, old_edge(region));
}

#[rstest]
#[case(None)]
#[case(Some("n"))]
fn the_hello_of_an_old_edge_has_no_features(#[case] region: Option<&str>) {
    let message = decode(&old_frame(&old_edge(region)));
    assert_eq!(format!("{message:?}"), format!("{:?}", edge(region, 0)));
}

#[rstest]
fn features_are_read() {
    let sent = edge(Some("n"), FEATURE_REPLICA_LOADS);
    let message = decode(&encode(&sent));
    assert_eq!(format!("{message:?}"), format!("{sent:?}"));
}

/// Storage processes announce no features, so the bytes of their hello must not change.
#[rstest]
fn the_hello_of_a_storage_process_is_unchanged() {
    let frame = encode(&Message::Hello(Peer::Storage(member())));
    let old = old_frame(&OldMessage::Hello(OldPeer::Storage(member())));
    assert_eq!(&frame[..], &old[..]);
}
