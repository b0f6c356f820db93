//! Guards against a copy of each name for each replica: an edge before 10,000 replicas held 43 to
//! 54 MB, most of it names.

use brasspond_cluster_protocol::{FrameBuffer, Message, encode};
use brasspond_fleet::{FleetView, Life, ReplicaInfo, ServedModel, replicas_by_id};
use rstest::rstest;
use std::sync::Arc;

fn replica(number: usize) -> ReplicaInfo {
    ReplicaInfo {
        id: format!("replica-{number}").into(),
        service: "generation".into(),
        address: "10.0.0.1:80".parse().expect("address"),
        zone: "zone-a".into(),
        slots: 6,
        draining: false,
        models: vec![ServedModel {
            name: "model".into(),
            version: 1,
        }]
        .into(),
        revision: number as u64,
        is_spot: false,
        notice_ms: None,
        region: Some("region".into()),
        warming_ms: 0,
        life: Life::UNKNOWN,
    }
}

fn received(message: &Message) -> Message {
    let mut buffer = FrameBuffer::default();
    buffer.bytes.extend_from_slice(&encode(message));
    let message = buffer.next_message().expect("valid");
    message.expect("complete")
}

#[rstest]
fn a_received_view_holds_each_name_once() {
    let sent = FleetView {
        replicas: replicas_by_id((0..1_000).map(replica)),
        replicas_revision: 1_000,
        ..FleetView::default()
    };
    let Message::View(view) = received(&Message::View(sent.clone())) else {
        panic!("another message");
    };
    assert_eq!(view, sent);
    let mut replicas = view.replicas.iter();
    let (_, first) = replicas.next().expect("replicas");
    for (id, replica) in replicas {
        assert!(Arc::ptr_eq(id, &replica.id));
        assert!(Arc::ptr_eq(&replica.service, &first.service));
        assert!(Arc::ptr_eq(&replica.zone, &first.zone));
        assert!(std::ptr::eq(&*replica.models, &*first.models));
    }
}

/// Guards against entries that stand once in the view and once more in the leader's view.
#[rstest]
fn views_that_apply_the_same_difference_share_its_entries() {
    let older = FleetView::default();
    let mut newer = older.clone();
    newer.insert_replica(replica(1));
    newer.replicas_revision = 5;
    let Message::ViewChanged(delta) = received(&Message::ViewChanged(newer.delta_from(&older)))
    else {
        panic!("another message");
    };
    let (mut one, mut other) = (older.clone(), older);
    one.apply(&delta).expect("the base");
    other.apply(&delta).expect("the base");
    assert!(Arc::ptr_eq(
        &one.replicas["replica-1"],
        &other.replicas["replica-1"]
    ));
}
