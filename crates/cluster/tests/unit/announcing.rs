//! Guards against a new leader that sends each edge its complete view: to 835 edges before 10,000
//! replicas these took its link for longer than an election timeout.

use super::*;
use crate::link::Writer;
use crate::test_replicas::replica;
use brasspond_cluster_protocol::{FEATURE_VIEW_CATCH_UP, Peer};
use rstest::rstest;

const REPLICAS: u64 = 10_000;
const EDGES: usize = 1_000;

/// The view of an earlier leader.
fn earlier_view() -> FleetView {
    let replicas = (0..REPLICAS).map(|number| replica(number, 1 + number));
    FleetView {
        replicas: brasspond_fleet::replicas_by_id(replicas),
        replicas_revision: REPLICAS,
        ..FleetView::default()
    }
}

fn edge(features: u32) -> LinkState {
    let mut state = LinkState::new(Writer::detached(), 0);
    state.peer = Some(Peer::Edge {
        machine: "edge".to_string(),
        zone: "zone-a".to_string(),
        incarnation: 1,
        region: None,
        features,
    });
    state
}

/// Announcements of a new leader that has listed the replicas, of which some changed.
fn announcements() -> Announcements {
    let initial = earlier_view();
    let mut listed = initial.clone();
    for number in 0..300 {
        listed.insert_replica(replica(number, REPLICAS + 1 + number));
    }
    listed.replicas_revision = REPLICAS + 300;
    let mut announcements = Announcements::new(initial);
    let change = announcements.take_change(&listed, 1_500);
    assert!(matches!(change, Some(ViewChange::FirstReplicas)));
    announcements
}

#[rstest]
fn a_new_leader_sends_edges_what_changed() {
    let mut announcements = announcements();
    let current = edge(FEATURE_VIEW_CATCH_UP);
    let bytes: usize = (0..EDGES)
        .map(|_| announcements.first_frame(&current).1.len())
        .sum();
    let full = announcements.full_frame().len();
    // A link of 600 Mbit/s carries this in a quarter of the shortest election timeout.
    assert!(bytes <= 11_000_000, "{bytes} bytes for {EDGES} edges");
    assert!(full * EDGES > 10 * bytes, "a full view has {full} bytes");
}

#[rstest]
#[case::earlier_build(0, false)]
#[case::asked_for_it(FEATURE_VIEW_CATCH_UP, true)]
fn an_edge_that_cannot_catch_up_is_sent_the_full_view(
    #[case] features: u32,
    #[case] needs_full_view: bool,
) {
    let mut edge = edge(features);
    edge.needs_full_view = needs_full_view;
    let (kind, _) = announcements().first_frame(&edge);
    assert_eq!(kind, MessageKind::View);
}
