//! Which edges are sent lists of deviating replicas.

use super::LinkState;
use crate::link::Writer;
use brasspond_cluster_protocol::{FEATURE_REPLICA_LOADS, Peer};
use rstest::rstest;

/// Guards against a list sent to an edge that cannot decode it, which would close its link.
#[rstest]
#[case::not_introduced(None, false)]
#[case::old_edge(Some(0), false)]
#[case::another_feature(Some(FEATURE_REPLICA_LOADS << 1), false)]
#[case::edge(Some(FEATURE_REPLICA_LOADS), true)]
#[case::newer_edge(Some(u32::MAX), true)]
fn only_edges_with_the_feature_read_lists(#[case] features: Option<u32>, #[case] expected: bool) {
    let mut state = LinkState::new(Writer::detached(), 0);
    state.peer = features.map(|features| Peer::Edge {
        machine: "edge-1".to_string(),
        zone: "zone".to_string(),
        incarnation: 1,
        region: None,
        features,
    });
    assert_eq!(state.reads_replica_loads(), expected);
}
