//! Choice of the storage process for reads.

use super::choose;
use crate::link::LinkContext;
use brasspond_cluster_protocol::Peer;
use brasspond_consensus::Member;
use brasspond_distance::Place;
use rstest::rstest;
use std::collections::BTreeSet;

/// The first letter of a zone names its region: zones `n1` and `n2` are in region `n`.
fn member(number: u8, zone: &str) -> Member {
    Member {
        id: number.into(),
        machine: format!("storage-{number}"),
        address: format!("127.0.0.{number}:1").parse().expect("address"),
        zone: zone.to_string(),
        region: Some(zone[..1].into()),
    }
}

fn chosen(edge: &str, members: &[Member], standbys: &[Member]) -> Option<u64> {
    let links = LinkContext::new(Place::new("n1", Some("n".into())));
    let own = Peer::Edge {
        machine: edge.to_string(),
        zone: "n1".to_string(),
        incarnation: 1,
        region: Some("n".into()),
        features: 0,
    };
    choose(&links, &own, members, standbys).map(|member| member.id)
}

#[rstest]
#[case(&["s1", "n2", "n1"], &[], Some(3))]
#[case(&["s1", "n2"], &["n1"], Some(3))]
#[case(&["s1", "s2"], &["n2"], Some(3))]
// No process in this region receives the log, so the leader is asked.
#[case(&["s1", "s2"], &["s3"], None)]
fn the_nearest_process_is_chosen(
    #[case] members: &[&str],
    #[case] standbys: &[&str],
    #[case] expected: Option<u64>,
) {
    let mut numbers = 1..;
    let mut placed = |zones: &[&str]| -> Vec<Member> {
        let numbered = zones.iter().zip(&mut numbers);
        numbered
            .map(|(zone, number)| member(number, zone))
            .collect()
    };
    let members = placed(members);
    let standbys = placed(standbys);
    assert_eq!(chosen("edge-1", &members, &standbys), expected);
}

/// Guards against all edges of a region reading at the same process.
#[rstest]
fn edges_are_spread_deterministically_over_equally_near_processes() {
    let members = [member(1, "s1"), member(2, "n2"), member(3, "n3")];
    let edges = (0..40).map(|number| format!("edge-{number}"));
    let of_each = |edge: &String| chosen(edge, &members, &[]);
    let edges: Vec<String> = edges.collect();
    let used: BTreeSet<_> = edges.iter().map(of_each).collect();
    assert_eq!(used, BTreeSet::from([Some(2), Some(3)]));
    assert!(edges.iter().all(|edge| of_each(edge) == of_each(edge)));
}
