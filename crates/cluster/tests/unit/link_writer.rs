//! Tests of frames that are sent on many links.

use super::{Writer, shared_frame};
use crate::test_replicas::replica;
use brasspond_cluster_protocol::{FrameBuffer, Message, encode};
use brasspond_consensus::{Message as LogMessage, Snapshot};
use brasspond_fleet::{FleetView, replicas_by_id};
use bytes::Bytes;
use rstest::rstest;

const REPLICAS: u64 = 3_000;

fn full_view() -> Message {
    Message::View(FleetView {
        replicas: replicas_by_id((0..REPLICAS).map(|number| replica(number, number))),
        replicas_revision: REPLICAS,
        ..FleetView::default()
    })
}

/// Guards against a busy new leader that sends its full view uncompressed to hundreds of edges,
/// which delays its heartbeats to the other members.
#[rstest]
fn a_busy_leader_compresses_frames_for_all_edges() {
    const EDGES: usize = 250;
    /// Bandwidth of a link of 600 Mbit/s.
    const BYTES_PER_MS: usize = 75_000;
    const MAX_MS: usize = 600;
    let view = full_view();
    brasspond_compression::set_packing_paused(true);
    let frame = shared_frame(&view);
    let plain = encode(&view);
    brasspond_compression::set_packing_paused(false);
    let total_ms = frame.len() * EDGES / BYTES_PER_MS;
    assert!(total_ms < MAX_MS, "{total_ms} ms");
    assert!(plain.len() > 3 * frame.len(), "{} bytes", plain.len());
    let mut buffer = FrameBuffer::default();
    buffer.bytes.extend_from_slice(&frame);
    let read = buffer.next_message().expect("a frame").expect("complete");
    let (Message::View(read), Message::View(sent)) = (read, view) else {
        panic!("another kind of message");
    };
    assert_eq!(read, sent);
}

fn snapshot() -> Message {
    Message::Consensus {
        from: 1,
        to: 2,
        message: LogMessage::Install {
            term: 3,
            snapshot: Snapshot {
                index: 400,
                term: 2,
                members: Vec::new(),
                state: Bytes::from(vec![7; 300]),
            },
            sent_at: 5,
        },
    }
}

/// Guards against a link that carries only the first parts of a frame, which its peer cannot decode.
#[rstest]
fn a_snapshot_that_does_not_fit_into_the_queue_is_dropped_whole() {
    let (writer, mut queue) = Writer::detached_with_queue();
    assert!(!writer.send(&snapshot()));
    assert_eq!(writer.queued_bytes(), 0);
    assert!(queue.try_recv().is_err());
}
