//! Tests each reason for ineligibility alone and in combination with others.

use brasspond_eligibility::{Endpoint, Ineligible, Requirements, VersionConstraint};
use brasspond_fleet::{
    Configuration, FleetView, Limits, Regions, ReplicaInfo, ServedModel, Service,
};
use rstest::rstest;
use std::sync::Arc;

fn replica() -> ReplicaInfo {
    ReplicaInfo {
        id: "replica".into(),
        service: "engines".into(),
        address: "10.0.0.1:80".parse().expect("address"),
        zone: "north-a".into(),
        slots: 4,
        draining: false,
        models: vec![ServedModel {
            name: "model".into(),
            version: 3,
        }]
        .into(),
        revision: 1,
        is_spot: false,
        notice_ms: None,
        region: Some("north".into()),
        warming_ms: 0,
        life: brasspond_fleet::Life::UNKNOWN,
    }
}

fn required(regions: &Regions) -> Requirements<'_> {
    Requirements {
        service: "engines",
        regions,
        weights: None,
        is_quarantined: false,
        now: 0,
        permit: None,
    }
}

fn evacuated(zones: &[&str]) -> FleetView {
    FleetView {
        evacuated: Arc::new(zones.iter().map(|zone| Arc::from(*zone)).collect()),
        evacuated_revision: 1,
        ..FleetView::default()
    }
}

#[rstest]
fn an_unrestricted_request_is_authorized() {
    let endpoint = Endpoint::new(&replica(), &FleetView::default(), 0);
    let clearance = endpoint
        .authorize(&required(&Regions::Any))
        .expect("authorized");
    assert_eq!(&**clearance.replica(), "replica");
    assert_eq!(clearance.address().to_string(), "10.0.0.1:80");
}

#[rstest]
fn an_evacuated_zone_is_ineligible_until_the_evacuation_ends() {
    let info = replica();
    let mut endpoint = Endpoint::new(&info, &evacuated(&["north-a"]), 0);
    let regions = Regions::Any;
    assert_eq!(
        endpoint.check(&required(&regions)),
        Err(Ineligible::Evacuated)
    );
    assert!(!endpoint.takes_work());
    endpoint.update(&info, &evacuated(&["north-b"]), 0);
    assert_eq!(endpoint.check(&required(&regions)), Ok(()));
}

#[rstest]
#[case(Regions::Any, Some("north"), true)]
#[case(Regions::Any, None, true)]
#[case(Regions::only(["north", "south"]), Some("north"), true)]
#[case(Regions::only(["south"]), Some("north"), false)]
#[case(Regions::only(["north"]), None, false)]
#[case(Regions::only([]), Some("north"), false)]
fn requests_stay_in_their_regions(
    #[case] regions: Regions,
    #[case] region: Option<&str>,
    #[case] is_eligible: bool,
) {
    let info = ReplicaInfo {
        region: region.map(Arc::from),
        ..replica()
    };
    let endpoint = Endpoint::new(&info, &FleetView::default(), 0);
    let expected = if is_eligible {
        Ok(())
    } else {
        Err(Ineligible::OutsideRegions)
    };
    assert_eq!(endpoint.check(&required(&regions)), expected);
}

#[rstest]
#[case("model", 3, None, true)]
#[case("model", 4, None, false)]
#[case("model", 2, Some(2), false)]
#[case("model", 0, Some(3), true)]
#[case("model", 0, None, true)]
#[case("other", 1, None, false)]
#[case("", 9, None, true)]
fn a_replica_takes_requests_for_weights_that_it_serves(
    #[case] model: &str,
    #[case] min: u64,
    #[case] exact: Option<u64>,
    #[case] is_eligible: bool,
) {
    let endpoint = Endpoint::new(&replica(), &FleetView::default(), 0);
    let regions = Regions::Any;
    let weights = VersionConstraint { model, min, exact };
    let constrained = Requirements {
        weights: Some(weights),
        ..required(&regions)
    };
    assert_eq!(endpoint.check(&constrained).is_ok(), is_eligible);
}

#[rstest]
fn the_first_reason_is_returned() {
    let info = ReplicaInfo {
        draining: true,
        ..replica()
    };
    let endpoint = Endpoint::new(&info, &evacuated(&["north-a"]), 0);
    let regions = Regions::only(["south"]);
    let quarantined = Requirements {
        is_quarantined: true,
        ..required(&regions)
    };
    assert_eq!(endpoint.check(&quarantined), Err(Ineligible::Quarantined));
    assert_eq!(
        endpoint.check(&required(&regions)),
        Err(Ineligible::OutsideRegions)
    );
    let inside = Regions::only(["north"]);
    assert_eq!(
        endpoint.check(&required(&inside)),
        Err(Ineligible::Draining)
    );
    let other = Requirements {
        service: "lookup",
        ..required(&regions)
    };
    assert_eq!(endpoint.check(&other), Err(Ineligible::OtherService));
}

/// Guards against requests to an evacuated zone before this process knows the evacuated zones.
#[rstest]
#[case::must_know_evacuations(true, Err(Ineligible::EvacuationsUnknown))]
#[case::need_not_know_evacuations(false, Ok(()))]
fn nothing_is_sent_before_evacuations_are_known(
    #[case] must_know_evacuations: bool,
    #[case] expected: Result<(), Ineligible>,
) {
    let info = replica();
    let mut view = FleetView::unknown(must_know_evacuations);
    let mut endpoint = Endpoint::new(&info, &view, 0);
    let regions = Regions::Any;
    assert_eq!(endpoint.check(&required(&regions)), expected);
    assert_eq!(endpoint.takes_work(), expected.is_ok());
    view.merge(&evacuated(&[]));
    endpoint.update(&info, &view, 0);
    assert_eq!(endpoint.check(&required(&regions)), Ok(()));
    assert!(endpoint.takes_work());
}

/// Guards against an outdated address or outdated weights after a replica restarts elsewhere under
/// the same id.
#[rstest]
fn a_restarted_replica_has_the_location_in_its_entry() {
    let mut endpoint = Endpoint::new(&replica(), &FleetView::default(), 0);
    endpoint.versions.set("model", 9);
    endpoint.reset();
    let moved = ReplicaInfo {
        service: "others".into(),
        address: "127.0.0.1:9".parse().expect("address"),
        zone: "elsewhere".into(),
        region: Some("south".into()),
        models: Vec::new().into(),
        ..replica()
    };
    endpoint.update(&moved, &FleetView::default(), 0);
    let location = (
        &*endpoint.service,
        &*endpoint.zone,
        endpoint.region.as_deref(),
    );
    assert_eq!(location, ("others", "elsewhere", Some("south")));
    assert_eq!(endpoint.address, moved.address);
    assert!(endpoint.versions.is_empty());
}

/// Guards against requests to replicas of a service that the configuration does not define. While
/// no configuration is known, all services count as defined.
#[rstest]
#[case::no_configuration(None, Ok(()))]
#[case::defined(Some(vec!["engines", "plain"]), Ok(()))]
#[case::undefined(Some(vec!["plain"]), Err(Ineligible::OtherService))]
fn replicas_of_an_undefined_service_are_ineligible(
    #[case] services: Option<Vec<&str>>,
    #[case] expected: Result<(), Ineligible>,
) {
    let info = replica();
    let mut endpoint = Endpoint::new(&info, &FleetView::default(), 0);
    let view = view_with(services);
    endpoint.update(&info, &view, 0);
    let regions = Regions::Any;
    assert_eq!(endpoint.check(&required(&regions)), expected);
    assert_eq!(endpoint.takes_work(), expected.is_ok());
    assert_eq!(view.takes_work(&info), expected.is_ok());
    endpoint.update(&info, &view_with(Some(vec!["engines"])), 0);
    assert_eq!(endpoint.check(&required(&regions)), Ok(()));
}

fn view_with(services: Option<Vec<&str>>) -> FleetView {
    let service = |name: &str| Service {
        name: name.to_string(),
        max_connections: 10,
        engine_slots: 0,
        models: Vec::new(),
        scaling: None,
        warm_up: None,
    };
    let configuration = services.map(|names| Configuration {
        version: 1,
        routes: Vec::new(),
        services: names.into_iter().map(service).collect(),
        limits: Limits::default(),
        tenants: Vec::new(),
    });
    FleetView {
        configuration: configuration.map(Arc::new),
        configuration_revision: 1,
        ..FleetView::default()
    }
}
