//! What links count.

use super::{Traffic, distance_name};
use brasspond_cluster_protocol::Kind;
use brasspond_distance::Distance;
use rstest::rstest;

#[rstest]
fn bytes_are_counted_by_kind_and_distance() {
    let traffic = Traffic::default();
    traffic.record(Kind::Log, Some(Distance::OtherRegion), 700);
    traffic.record(Kind::Log, Some(Distance::OtherRegion), 300);
    traffic.record(Kind::Events, Some(Distance::SameZone), 40);
    traffic.record(Kind::Other, None, 60);
    assert_eq!(traffic.sent(Kind::Log, Some(Distance::OtherRegion)), 1_000);
    assert_eq!(traffic.sent(Kind::Log, Some(Distance::SameZone)), 0);
    let all: Vec<_> = traffic.all().collect();
    let expected = [
        (Kind::Events, Some(Distance::SameZone), 40),
        (Kind::Log, Some(Distance::OtherRegion), 1_000),
        (Kind::Other, None, 60),
    ];
    assert_eq!(all, expected);
    assert_eq!(traffic.line(Distance::OtherRegion), " log=1000");
    assert_eq!(traffic.line(Distance::SameRegion), "");
    assert_eq!(distance_name(None), "unknown");
}

#[rstest]
fn every_kind_has_a_place_of_its_own() {
    let traffic = Traffic::default();
    for (number, kind) in Kind::ALL.into_iter().enumerate() {
        assert_eq!(kind as usize, number);
        traffic.record(kind, Some(Distance::SameRegion), number + 1);
    }
    let sent = traffic.all().map(|(_, _, bytes)| bytes);
    assert!(sent.eq(1..=Kind::COUNT as u64));
}
