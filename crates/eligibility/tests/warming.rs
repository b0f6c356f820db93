//! Tests that a replica that is warming up gets only requests that its budget or a permit allows.

use brasspond_eligibility::{Endpoint, Ineligible, Requirements};
use brasspond_fleet::{Configuration, FleetView, Regions, ReplicaInfo, Service, WarmUp};
use brasspond_warmup::Permit;
use rstest::rstest;
use std::sync::Arc;

fn replica(warming_ms: u64) -> ReplicaInfo {
    ReplicaInfo {
        id: "replica".into(),
        service: "engines".into(),
        address: "10.0.0.1:80".parse().expect("address"),
        zone: "north-a".into(),
        slots: 4,
        draining: false,
        models: Vec::new().into(),
        revision: 1,
        is_spot: false,
        notice_ms: None,
        region: None,
        warming_ms,
        life: brasspond_fleet::Life::UNKNOWN,
    }
}

fn view(warm_up: Option<WarmUp>) -> FleetView {
    let service = Service {
        name: "engines".to_string(),
        max_connections: 10,
        engine_slots: 0,
        models: Vec::new(),
        scaling: None,
        warm_up,
    };
    FleetView {
        configuration: Some(Arc::new(Configuration {
            services: vec![service],
            ..Configuration::default()
        })),
        ..FleetView::default()
    }
}

const LIMITED: Option<WarmUp> = Some(WarmUp {
    time_ms: 3_000,
    per_second: 12.0,
});

fn required(now: u64, permit: Option<&Permit>) -> Requirements<'_> {
    Requirements {
        service: "engines",
        regions: &Regions::Any,
        weights: None,
        is_quarantined: false,
        now,
        permit,
    }
}

fn permit(replica: &str, send_by: u64) -> Permit {
    Permit {
        replica: replica.into(),
        send_by,
    }
}

#[rstest]
fn a_replica_that_warms_up_takes_nothing_without_a_permit() {
    let endpoint = Endpoint::new(&replica(3_000), &view(LIMITED), 1_000);
    assert_eq!(
        endpoint.check(&required(1_000, None)),
        Err(Ineligible::WarmingUp)
    );
    assert_eq!(
        endpoint.check(&required(3_999, None)),
        Err(Ineligible::WarmingUp)
    );
    assert_eq!(endpoint.check(&required(4_000, None)), Ok(()));
    // The replica still accepts work of its service, because it is not draining.
    assert!(endpoint.takes_work());
}

#[rstest]
#[case("replica", 1_500, true)]
#[case("replica", 1_499, false)]
#[case("another", 1_500, false)]
fn a_permit_is_for_one_replica_and_a_limited_time(
    #[case] id: &str,
    #[case] send_by: u64,
    #[case] is_allowed: bool,
) {
    let endpoint = Endpoint::new(&replica(3_000), &view(LIMITED), 1_000);
    let permit = permit(id, send_by);
    let authorized = endpoint.authorize(&required(1_499, Some(&permit)));
    assert_eq!(authorized.is_ok(), is_allowed);
    if let Ok(clearance) = authorized {
        assert!(clearance.is_in_time(1_499));
        assert!(!clearance.is_in_time(1_500), "it would be sent too late");
    }
}

#[rstest]
fn a_permit_limits_the_send_time_even_if_the_replica_is_known_as_warm() {
    let endpoint = Endpoint::new(&replica(0), &view(LIMITED), 1_000);
    let permit = permit("replica", 1_500);
    let clearance = endpoint.authorize(&required(1_000, Some(&permit)));
    let clearance = clearance.expect("authorized");
    assert!(clearance.is_in_time(1_499) && !clearance.is_in_time(1_500));
    let other = endpoint
        .authorize(&required(1_000, None))
        .expect("authorized");
    assert!(other.is_in_time(u64::MAX));
}

#[rstest]
fn the_owner_of_the_budget_sets_when_the_next_request_may_go() {
    let mut endpoint = Endpoint::new(&replica(3_000), &view(LIMITED), 1_000);
    endpoint.available_at = 2_000;
    assert_eq!(
        endpoint.check(&required(1_999, None)),
        Err(Ineligible::WarmingUp)
    );
    assert_eq!(endpoint.check(&required(2_000, None)), Ok(()));
}

#[rstest]
fn a_service_without_a_warm_up_limit_takes_everything() {
    let endpoint = Endpoint::new(&replica(3_000), &view(None), 1_000);
    assert_eq!(endpoint.check(&required(1_000, None)), Ok(()));
}

#[rstest]
fn a_warm_replica_may_warm_up_again() {
    let mut endpoint = Endpoint::new(&replica(0), &view(LIMITED), 0);
    assert_eq!(endpoint.check(&required(5_000, None)), Ok(()));
    endpoint.update(&replica(3_000), &view(LIMITED), 5_000);
    assert_eq!(
        endpoint.check(&required(5_000, None)),
        Err(Ineligible::WarmingUp)
    );
    // Another view with the same entry does not restart the warm-up.
    endpoint.update(&replica(3_000), &view(LIMITED), 7_000);
    assert_eq!(endpoint.check(&required(8_000, None)), Ok(()));
}

/// Guards against treating a view without the entry or the limit as aware of the warm-up.
#[rstest]
#[case(Some(3_000), LIMITED, true)]
#[case(Some(0), LIMITED, false)]
#[case(Some(3_000), None, false)]
#[case(None, LIMITED, false)]
fn views_agree_on_a_warm_up_if_both_have_the_entry_and_the_limit(
    #[case] entry_ms: Option<u64>,
    #[case] warm_up: Option<WarmUp>,
    #[case] expected: bool,
) {
    let with = |ms: Option<u64>, warm_up| {
        let mut view = view(warm_up);
        if let Some(ms) = ms {
            view.insert_replica(replica(ms));
        }
        view
    };
    let own = with(Some(3_000), LIMITED);
    assert_eq!(
        own.has_same_warm_up(&with(entry_ms, warm_up), "replica"),
        expected
    );
}
