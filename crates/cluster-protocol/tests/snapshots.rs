//! Frames of snapshots, whose state is neither copied to be sent nor to be received.

use brasspond_cluster_protocol::{Message, encode, encode_parts};
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
