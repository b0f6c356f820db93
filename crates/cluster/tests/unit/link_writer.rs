//! Tests of frames that are sent on many links.

use super::shared_frame;
use brasspond_cluster_protocol::{FrameBuffer, Message, encode};
use brasspond_fleet::{FleetView, Life, ReplicaInfo, replicas_by_id};
use rstest::rstest;

const REPLICAS: usize = 3_000;

fn full_view() -> Message {
    let replica = |number: usize| ReplicaInfo {
        life: Life::UNKNOWN,
        id: format!("i-{:010x}", number * 2_654_435_761).into(),
        service: "generation".into(),
        address: ([10, 3, (number >> 8) as u8, number as u8], 8_000).into(),
        zone: "zone-a".into(),
        slots: 8,
        draining: false,
        models: Vec::new().into(),
        revision: number as u64,
        is_spot: false,
        notice_ms: None,
        region: None,
        warming_ms: 0,
    };
    Message::View(FleetView {
        replicas: replicas_by_id((0..REPLICAS).map(replica)),
        replicas_revision: REPLICAS as u64,
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
