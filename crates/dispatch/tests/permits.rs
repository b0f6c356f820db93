//! Guards against permits that exceed the request limit of a replica that warms up or ignore the
//! regions of a request, and against refused permits for warm replicas.

mod fixture;
mod support;

use brasspond_dispatch::{Event, OrderLeases, PermitRequest};
use brasspond_fleet::Regions;
use brasspond_warmup::PERMIT_MS;
use fixture::Fixture;
use fixture::warming::{
    BUDGET_WINDOW_MS, LIMIT_PER_SECOND, PROPAGATION_TIME_MS, leader, view_with_warm_up,
    warming_replica,
};
use rstest::rstest;
use support::submission;

#[rstest]
fn items_and_requests_of_edges_share_a_budget() {
    let mut fixture = leader();
    fixture.set_replica(warming_replica(0, 5_000));
    fixture.accept(submission("job", &[10; 5], 1));
    let now = fixture.now();
    let request = PermitRequest {
        service: "engines",
        regions: &Regions::Any,
        tried: &[],
        asked_at: 77_000,
    };
    let mut granted = 0;
    while let Some(permit) = fixture.dispatcher().grant(&request, now) {
        assert_eq!(&*permit.replica, "replica-0");
        assert_eq!(permit.send_by, 77_000 + PERMIT_MS);
        granted += 1;
    }
    assert_eq!(granted, LIMIT_PER_SECOND - 5);
    assert!(
        fixture
            .dispatcher()
            .grant(&request, now + BUDGET_WINDOW_MS - 1)
            .is_none()
    );
    assert!(
        fixture
            .dispatcher()
            .grant(&request, now + BUDGET_WINDOW_MS)
            .is_some()
    );
    let (replicas, counts) = fixture.dispatcher().warming();
    assert_eq!((replicas, counts.items, counts.requests), (1, 5, 8));
}

#[rstest]
#[case("other", Regions::Any)]
#[case("engines", Regions::only(["south"]))]
fn no_permit_is_granted_for_another_service_or_region(
    #[case] service: &str,
    #[case] regions: Regions,
) {
    let mut fixture = leader();
    fixture.set_replica(warming_replica(0, 5_000));
    let now = fixture.now();
    let request = PermitRequest {
        service,
        regions: &regions,
        tried: &[],
        asked_at: 0,
    };
    assert_eq!(fixture.dispatcher().grant(&request, now), None);
}

/// Guards against refusing an edge that has just started and still considers the replica warming
/// up.
#[rstest]
fn a_warm_replica_needs_no_budget() {
    let mut fixture = leader();
    fixture.set_replica(warming_replica(0, 1_000));
    fixture.advance(1_000 + PROPAGATION_TIME_MS);
    let now = fixture.now();
    let request = PermitRequest {
        service: "engines",
        regions: &Regions::Any,
        tried: &[],
        asked_at: 0,
    };
    for _ in 0..5 * LIMIT_PER_SECOND {
        assert!(fixture.dispatcher().grant(&request, now).is_some());
    }
}

#[rstest]
fn a_replica_that_was_tried_before_is_granted_last() {
    let mut fixture = leader();
    fixture.set_replica(warming_replica(0, 5_000));
    fixture.set_replica(warming_replica(1, 5_000));
    let now = fixture.now();
    let tried = ["replica-0".to_string()];
    let request = PermitRequest {
        service: "engines",
        regions: &Regions::Any,
        tried: &tried,
        asked_at: 0,
    };
    for _ in 0..LIMIT_PER_SECOND {
        let permit = fixture.dispatcher().grant(&request, now).expect("granted");
        assert_eq!(&*permit.replica, "replica-1");
    }
    let permit = fixture.dispatcher().grant(&request, now).expect("granted");
    assert_eq!(&*permit.replica, "replica-0");
}

/// Guards against unlimited permits from a leader that does not know which services have a limit.
#[rstest]
fn a_leader_without_a_configuration_grants_nothing() {
    let mut view = view_with_warm_up(1);
    view.configuration = None;
    view.insert_replica(warming_replica(0, 5_000));
    let mut fixture = Fixture::new(view, OrderLeases::default());
    fixture.advance(5_000);
    fixture.handle(Event::Tick);
    let now = fixture.now();
    let request = PermitRequest {
        service: "engines",
        regions: &Regions::Any,
        tried: &[],
        asked_at: 77_000,
    };
    assert_eq!(fixture.dispatcher().grant(&request, now), None);
}

/// Guards against permits for warm replicas that expire, although their requests need no budget.
#[rstest]
#[case(5_000, false)]
#[case(0, true)]
fn only_permits_for_warm_replicas_do_not_expire(#[case] warming_ms: u64, #[case] is_warm: bool) {
    let mut fixture = leader();
    fixture.set_replica(warming_replica(0, warming_ms));
    let now = fixture.now();
    let request = PermitRequest {
        service: "engines",
        regions: &Regions::Any,
        tried: &[],
        asked_at: 77_000,
    };
    let permit = fixture.dispatcher().grant(&request, now).expect("granted");
    assert_eq!(permit.send_by == u64::MAX, is_warm);
}
