//! Frames of snapshots, whose state is neither copied to be sent nor to be received.

use brasspond_cluster_protocol::{FrameBuffer, Message, encode, encode_parts};
use brasspond_consensus::{Message as LogMessage, Snapshot};
use bytes::Bytes;
use rstest::rstest;

fn install(state: Bytes, sent_at: u64) -> Message {
    Message::Consensus {
        from: 1,
        to: 2,
        message: LogMessage::Install {
            term: 3,
            snapshot: Snapshot {
                index: 400,
                term: 2,
                members: Vec::new(),
                state,
            },
            sent_at,
        },
    }
}

/// Guards against frames that other builds cannot read: each header of a `bin` and each size of the
/// time that follows.
#[rstest]
fn the_parts_of_a_snapshot_are_its_frame(
    #[values(0, 1, 255, 256, 65_535, 65_536, 1_000_000)] length: usize,
    #[values(0, 127, 128, 70_000, u64::MAX)] sent_at: u64,
) {
    let state = Bytes::from(vec![7; length]);
    let message = install(state.clone(), sent_at);
    let parts = encode_parts(&message);
    assert_eq!(parts.concat(), encode(&message));
    assert_eq!(parts[1].as_ptr(), state.as_ptr(), "the state was copied");
}

/// Guards against a receiver that decodes another snapshot than was sent, or loses the message after
/// it. The longest frame shares its memory with the state.
#[rstest]
fn a_snapshot_is_decoded_as_it_was_sent(
    #[values(0, 255, 65_000, 65_536, 1_000_000)] length: usize,
    #[values(0, u64::MAX)] sent_at: u64,
) {
    let sent = install(Bytes::from(vec![7; length]), sent_at);
    let mut buffer = FrameBuffer::default();
    buffer.bytes.extend_from_slice(&encode(&sent));
    let next = encode(&install(Bytes::new(), 1));
    buffer.bytes.extend_from_slice(&next);
    let message = buffer.next_message().expect("valid").expect("complete");
    assert_eq!(encode(&message), encode(&sent));
    let message = buffer.next_message().expect("valid").expect("complete");
    assert_eq!(encode(&message), next);
}

/// Guards against a receiver that holds the state twice, or its memory after the state is dropped.
#[rstest]
fn a_large_state_is_part_of_its_frame() {
    let mut buffer = FrameBuffer::default();
    let frame = encode(&install(Bytes::from(vec![7; 1_000_000]), 5));
    buffer.bytes.extend_from_slice(&frame);
    let received = buffer.bytes.as_ptr_range();
    let message = buffer.next_message().expect("valid").expect("complete");
    let Message::Consensus {
        message: LogMessage::Install { snapshot, .. },
        ..
    } = message
    else {
        panic!("{message:?}");
    };
    assert!(
        received.contains(&snapshot.state.as_ptr()),
        "the state was copied"
    );
    assert!(snapshot.state.is_unique(), "the buffer keeps the frame");
}
