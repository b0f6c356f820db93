//! Choice of the replica for a request.

use super::{ChangedReplicas, LoadBalancer, LoadReport, expected_response_ms};
use crate::clock::Moment;
use crate::link::LinkContext;
use brasspond_distance::{Distance, Place};
use brasspond_eligibility::Requirements;
use brasspond_fleet::{
    Configuration, FleetView, Life, Regions, ReplicaInfo, Service, WarmUp, replicas_by_id,
};
use brasspond_replica_load::ReplicaLoad;
use rstest::rstest;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// The first letter of a zone names its region: zones `n1` and `n2` are in region `n`.
fn view(replicas: &[(&str, &str)]) -> FleetView {
    let mut view = FleetView::default();
    let infos = replicas.iter().map(|(id, zone)| ReplicaInfo {
        id: (*id).into(),
        service: "plain".into(),
        address: "127.0.0.1:1".parse().expect("address"),
        zone: (*zone).into(),
        region: Some(Arc::from(&zone[..1])),
        slots: 6,
        draining: false,
        models: Vec::new().into(),
        revision: 1,
        is_spot: false,
        notice_ms: None,
        warming_ms: 0,
        life: brasspond_fleet::Life::UNKNOWN,
    });
    view.replicas = replicas_by_id(infos);
    view
}

pub(super) fn balancer(replicas: &[(&str, &str)]) -> (LoadBalancer, Rc<LinkContext>) {
    let place = Place::new("n1", Some("n".into()));
    let links = Rc::new(LinkContext::new(place));
    let mut balancer = LoadBalancer::new(Rc::clone(&links));
    balancer.apply_view(&view(replicas), ChangedReplicas::All, 0);
    (balancer, links)
}

pub(super) fn report(running: u32, waiting: u32, duration_percent: Option<u32>) -> LoadReport {
    LoadReport {
        running,
        waiting,
        duration_percent,
    }
}

fn chosen(balancer: &LoadBalancer) -> String {
    chosen_at(balancer, Duration::ZERO)
}

/// The choice after some time.
fn chosen_at(balancer: &LoadBalancer, after: Duration) -> String {
    let requirements = Requirements {
        service: "plain",
        regions: &Regions::Any,
        weights: None,
        is_quarantined: false,
        now: 0,
        permit: None,
    };
    let clearance = balancer.choose(&requirements, &[], Moment::now() + after);
    clearance.expect("a replica").replica().to_string()
}

#[rstest]
#[case(&[("a", "s1"), ("b", "n2"), ("c", "n1")], "c")]
#[case(&[("a", "s1"), ("b", "n2")], "b")]
#[case(&[("a", "s1")], "a")]
fn the_nearest_of_equal_replicas_is_chosen(
    #[case] replicas: &[(&str, &str)],
    #[case] expected: &str,
) {
    assert_eq!(chosen(&balancer(replicas).0), expected);
}

/// Guards against an optimistic default response time that attracts requests to far replicas.
#[rstest]
fn an_unmeasured_replica_of_another_region_is_not_preferred() {
    let (mut balancer, _) = balancer(&[("far", "s1"), ("near", "n1")]);
    balancer.record_response("near", Moment::now(), Duration::from_millis(30));
    assert_eq!(chosen(&balancer), "near");
}

#[rstest]
fn requests_go_to_another_region_if_near_replicas_are_full() {
    let (mut balancer, _) = balancer(&[("far", "s1"), ("near", "n1")]);
    balancer.record_response("near", Moment::now(), Duration::from_millis(30));
    for _ in 0..6 {
        balancer.begin_request("near");
    }
    assert_eq!(chosen(&balancer), "far");
}

/// Guards against using the assumed round-trip time after it was measured.
#[rstest]
fn measured_round_trips_replace_assumed_ones() {
    let (mut balancer, links) = balancer(&[("far", "s1"), ("near", "n1")]);
    balancer.record_response("near", Moment::now(), Duration::from_millis(30));
    for _ in 0..3 {
        links.record_round_trip(Distance::SameRegion, Duration::from_micros(600));
        links.record_round_trip(Distance::OtherRegion, Duration::from_millis(1));
    }
    assert_eq!(chosen(&balancer), "far");
}

/// Guards against sending requests to another zone because its round trips are very short.
#[rstest]
fn crossing_zones_has_a_cost_even_with_short_round_trips() {
    let (balancer, links) = balancer(&[("a", "s1"), ("b", "n2"), ("c", "n1")]);
    for distance in Distance::ALL {
        for _ in 0..3 {
            links.record_round_trip(distance, Duration::from_micros(80));
        }
    }
    assert_eq!(chosen(&balancer), "c");
}

/// A view in which replica `reborn` has the given life, revision and address.
fn view_of_life(started_at: u64, revision: u64, address: &str) -> FleetView {
    let mut view = view(&[("reborn", "n1"), ("other", "n1")]);
    let info = view.replica_mut("reborn").expect("in the view");
    info.life = Life::reported(started_at);
    info.revision = revision;
    info.address = address.parse().expect("address");
    view
}

fn address_of(balancer: &LoadBalancer) -> String {
    let endpoint = balancer.endpoint("reborn").expect("the replica is known");
    endpoint.address.to_string()
}

/// Guards against rating a restarted replica by the faults and load of its previous life.
#[rstest]
fn observations_of_an_earlier_life_are_dropped() {
    let (mut balancer, _) = balancer(&[]);
    balancer.apply_view(&view_of_life(1, 1, "127.0.0.1:1"), ChangedReplicas::All, 0);
    balancer.record_response("other", Moment::now(), Duration::from_millis(25));
    balancer.record_response("reborn", Moment::now(), Duration::from_secs(4));
    balancer.record_load("reborn", &report(50, 50, None));
    balancer.record_fault("reborn", Moment::now());
    assert_eq!(chosen(&balancer), "other");
    balancer.apply_view(&view_of_life(2, 2, "127.0.0.1:1"), ChangedReplicas::All, 0);
    assert_eq!(chosen(&balancer), "reborn");
}

/// Guards against a late entry of the previous life that overwrites the current address.
#[rstest]
fn an_entry_of_an_earlier_life_changes_nothing() {
    let (mut balancer, _) = balancer(&[]);
    balancer.apply_view(&view_of_life(2, 5, "127.0.0.1:2"), ChangedReplicas::All, 0);
    balancer.apply_view(&view_of_life(1, 4, "127.0.0.1:1"), ChangedReplicas::All, 0);
    assert_eq!(address_of(&balancer), "127.0.0.1:2");
}

/// Guards against using the address of the previous life.
#[rstest]
fn a_new_life_is_reached_at_its_own_address() {
    let (mut balancer, _) = balancer(&[]);
    balancer.apply_view(&view_of_life(1, 1, "127.0.0.1:1"), ChangedReplicas::All, 0);
    balancer.apply_view(&view_of_life(2, 2, "127.0.0.1:2"), ChangedReplicas::All, 0);
    assert_eq!(address_of(&balancer), "127.0.0.1:2");
}

/// Guards against attributing the results of requests that were sent to the previous life to the
/// current one.
#[rstest]
fn results_of_requests_sent_before_a_restart_are_ignored() {
    let (mut balancer, _) = balancer(&[]);
    balancer.apply_view(&view_of_life(1, 1, "127.0.0.1:1"), ChangedReplicas::All, 0);
    balancer.record_response("other", Moment::now(), Duration::from_millis(25));
    let started = Moment::now();
    std::thread::sleep(Duration::from_millis(2));
    balancer.apply_view(&view_of_life(2, 2, "127.0.0.1:1"), ChangedReplicas::All, 0);
    balancer.record_fault("reborn", started);
    balancer.record_response("reborn", started, Duration::from_secs(4));
    assert_eq!(chosen(&balancer), "reborn");
    balancer.record_fault("reborn", Moment::now());
    assert_eq!(chosen(&balancer), "other");
}

/// Guards against leaving connections to the previous life open.
#[rstest]
fn a_restart_is_reported_once() {
    let (mut balancer, _) = balancer(&[]);
    balancer.apply_view(&view_of_life(1, 1, "127.0.0.1:1"), ChangedReplicas::All, 0);
    let view = view_of_life(2, 2, "127.0.0.1:2");
    let change = balancer.apply_view(&view, ChangedReplicas::All, 10);
    let restarted: Vec<_> = change
        .restarted
        .iter()
        .map(|(_, at)| at.to_string())
        .collect();
    assert_eq!(restarted, ["127.0.0.1:1"]);
    assert!(
        balancer
            .apply_view(&view, ChangedReplicas::All, 20)
            .restarted
            .is_empty()
    );
}

#[rstest]
#[case::idle(30.0, 0, 0.0, 30.0)]
#[case::half_full(30.0, 3, 0.0, 45.0)]
#[case::full(30.0, 6, 5.0, 65.0)]
fn expected_time_includes_queueing_and_network(
    #[case] response_ms: f64,
    #[case] requests: u32,
    #[case] network_ms: f64,
    #[case] expected_ms: f64,
) {
    let ms = expected_response_ms(response_ms, requests, 6, network_ms);
    assert!((ms - expected_ms).abs() < 1e-9, "{ms}");
}

/// Guards against a transient slowdown that is attributed to the replica itself.
#[rstest]
fn response_times_are_normalised_by_the_reported_slowdown() {
    let (mut balancer, _) = balancer(&[("a", "n1"), ("b", "n1")]);
    for (id, percent, time_ms) in [("a", Some(250), 100), ("b", None, 60)] {
        let started = Moment::now();
        balancer.record_load(id, &report(0, 0, percent));
        balancer.record_response(id, started, Duration::from_millis(time_ms));
    }
    balancer.record_load("a", &report(0, 0, Some(100)));
    assert_eq!(chosen(&balancer), "a");
}

/// Guards against ignoring that a replica reports that it is slow at present.
#[rstest]
fn a_replica_that_reports_a_slowdown_is_avoided_until_the_report_is_stale() {
    let (mut balancer, _) = balancer(&[("a", "n1"), ("b", "n1")]);
    balancer.record_response("a", Moment::now(), Duration::from_millis(40));
    balancer.record_response("b", Moment::now(), Duration::from_millis(60));
    balancer.record_load("a", &report(0, 0, Some(250)));
    assert_eq!(chosen(&balancer), "b");
    assert_eq!(chosen_at(&balancer, Duration::from_millis(500)), "a");
}

/// Guards against one slow answer that keeps a replica behind the others for good.
#[rstest]
fn a_replica_is_tried_again_some_time_after_a_slow_answer() {
    let (mut balancer, _) = balancer(&[("a", "n1"), ("b", "n1"), ("c", "n1")]);
    balancer.record_response("a", Moment::now(), Duration::from_secs(4));
    balancer.record_response("b", Moment::now(), Duration::from_millis(40));
    balancer.record_response("c", Moment::now(), Duration::from_millis(42));
    balancer.update_typical_times(Moment::now());
    balancer.begin_request("b");
    balancer.begin_request("c");
    assert_eq!(chosen(&balancer), "b");
    assert_eq!(chosen_at(&balancer, Duration::from_secs(60)), "a");
}

/// Number of requests in the tests of random choices. The probability that a replica with a share
/// of 1/16 or more is never drawn is below one in ten million.
const DRAWS: usize = 400;

/// How often each replica is chosen.
fn draws(balancer: &LoadBalancer, after: Duration) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..DRAWS {
        *counts.entry(chosen_at(balancer, after)).or_default() += 1;
    }
    counts
}

fn names(counts: &BTreeMap<String, usize>) -> Vec<&str> {
    counts.keys().map(String::as_str).collect()
}

fn shared(id: &str, mean_ms: Option<u32>, is_failing: bool) -> ReplicaLoad {
    ReplicaLoad {
        replica: id.into(),
        mean_ms,
        is_failing,
    }
}

/// Replicas `a`, `b` and `c` that answer after 40, 44 and 60 ms.
fn measured() -> LoadBalancer {
    let (mut balancer, _) = balancer(&[("a", "n1"), ("b", "n1"), ("c", "n1")]);
    for (id, time_ms) in [("a", 40), ("b", 44), ("c", 60)] {
        balancer.record_response(id, Moment::now(), Duration::from_millis(time_ms));
    }
    balancer
}

/// Guards against edges that all send their requests to the same replica, and against random
/// choices in deployments whose replicas report no speed.
#[rstest]
#[case::unknown_speeds(None, &["a"])]
#[case::known_speeds(Some(100), &["a", "b"])]
fn near_equal_replicas_share_requests_if_speeds_are_known(
    #[case] duration_percent: Option<u32>,
    #[case] expected: &[&str],
) {
    let mut balancer = measured();
    balancer.record_load("c", &report(0, 0, duration_percent));
    assert_eq!(names(&draws(&balancer, Duration::ZERO)), expected);
}

/// Guards against an edge that finds out each slow replica by itself: without own answers, the
/// shared time counts, and for the other replicas the typical one.
#[rstest]
fn a_replica_shared_as_slow_is_avoided_until_the_list_is_stale() {
    let (mut balancer, _) = balancer(&[("a", "n1"), ("b", "n1"), ("c", "n1")]);
    balancer.record_response("b", Moment::now(), Duration::from_millis(40));
    balancer.update_typical_times(Moment::now());
    balancer.apply_shared_loads(&[shared("a", Some(400), false)], Moment::now());
    assert_eq!(names(&draws(&balancer, Duration::ZERO)), ["b", "c"]);
    let stale = Duration::from_millis(2_100);
    assert_eq!(balancer.shared_loads(Moment::now() + stale), 0);
    assert_eq!(chosen_at(&balancer, stale), "a");
}

/// Guards against a replica that recovered, or started again, and is still avoided.
#[rstest]
#[case::left_the_list(false)]
#[case::restarted(true)]
fn a_recovered_replica_is_used_again(#[case] restarts: bool) {
    let (mut balancer, _) = balancer(&[]);
    balancer.apply_view(&view_of_life(1, 1, "127.0.0.1:1"), ChangedReplicas::All, 0);
    let list = [shared("reborn", Some(400), true)];
    balancer.apply_shared_loads(&list, Moment::now());
    assert_eq!(balancer.shared_loads(Moment::now()), 1);
    if restarts {
        balancer.apply_view(&view_of_life(2, 2, "127.0.0.1:2"), ChangedReplicas::All, 0);
    } else {
        balancer.apply_shared_loads(&[], Moment::now());
    }
    assert_eq!(balancer.shared_loads(Moment::now()), 0);
    // The choice is by id again.
    assert_eq!(chosen(&balancer), "other");
    balancer.begin_request("other");
    assert_eq!(chosen(&balancer), "reborn");
}

/// Guards against requests that go to a replica that fails at other edges, and against one that is
/// never tried again: one request in eight treats it like the others.
#[rstest]
fn a_replica_shared_as_failing_is_tried_by_few_requests() {
    let mut balancer = measured();
    let list = [shared("a", Some(40), true)];
    balancer.apply_shared_loads(&list, Moment::now());
    let counts = draws(&balancer, Duration::ZERO);
    assert_eq!(names(&counts), ["a", "b"]);
    assert!(counts["a"] <= DRAWS / 8, "{counts:?}");
}

/// Guards against a request that has no replica because the only one fails at other edges, and
/// against a paused replica that is preferred to it.
#[rstest]
fn a_failing_replica_ranks_before_a_paused_one() {
    let (mut balancer, _) = balancer(&[("a", "n1"), ("b", "n1")]);
    balancer.record_fault("b", Moment::now());
    balancer.apply_shared_loads(&[shared("a", None, true)], Moment::now());
    assert_eq!(names(&draws(&balancer, Duration::ZERO)), ["a"]);
}

/// Guards against reports that attribute a transient slowdown, or the distance of an edge, to the
/// replica, and against results of an earlier life in them.
#[rstest]
fn observations_are_of_the_replica_itself() {
    let (mut balancer, links) = balancer(&[("a", "n1"), ("far", "s1")]);
    for _ in 0..3 {
        links.record_round_trip(Distance::OtherRegion, Duration::from_millis(30));
    }
    let started = Moment::now();
    balancer.record_load("a", &report(0, 0, Some(200)));
    balancer.record_response("a", started, Duration::from_millis(100));
    balancer.record_response("far", started, Duration::from_millis(80));
    balancer.record_fault("far", started);
    balancer.record_fault("unknown", started);
    let report = balancer.observations.take();
    let mut report: Vec<_> = report
        .iter()
        .map(|one| (&*one.replica, one.answers, one.mean_ms, one.faults))
        .collect();
    report.sort_unstable();
    assert_eq!(report, [("a", 1, 50, 0), ("far", 1, 50, 1)]);
    assert!(balancer.observations.take().is_empty());
}

pub(super) fn plain_requirements() -> Requirements<'static> {
    Requirements {
        service: "plain",
        regions: &Regions::Any,
        weights: None,
        is_quarantined: false,
        now: 0,
        permit: None,
    }
}

fn free_replica(balancer: &LoadBalancer, excluded: &[&str]) -> Option<String> {
    let excluded: Vec<String> = excluded.iter().map(|id| (*id).to_string()).collect();
    let chosen = balancer.choose_free(&plain_requirements(), &excluded, Moment::now());
    chosen.map(|clearance| clearance.replica().to_string())
}

/// Guards against hedges to a replica that is full, paused or already has the request.
#[rstest]
fn only_an_active_replica_with_a_free_slot_is_free() {
    let (mut balancer, _) = balancer(&[("a", "n1"), ("b", "n1"), ("c", "n1"), ("d", "n1")]);
    assert_eq!(free_replica(&balancer, &["a"]).as_deref(), Some("b"));
    for _ in 0..6 {
        balancer.begin_request("b");
    }
    assert_eq!(free_replica(&balancer, &["a"]).as_deref(), Some("c"));
    balancer.record_fault("c", Moment::now());
    assert_eq!(free_replica(&balancer, &["a"]).as_deref(), Some("d"));
    assert_eq!(free_replica(&balancer, &["a", "d"]), None);
}

/// Guards against a delay of hedges that follows the slow replicas of a service.
#[rstest]
fn the_typical_response_time_is_the_median_of_known_replicas() {
    let (mut balancer, _) = balancer(&[("a", "n1"), ("b", "n1"), ("c", "n1"), ("d", "n1")]);
    let typical = |balancer: &LoadBalancer| balancer.typical_response_ms(&plain_requirements());
    assert_eq!(typical(&balancer), None);
    for (id, time_ms) in [("a", 40), ("b", 900), ("c", 50)] {
        balancer.record_response(id, Moment::now(), Duration::from_millis(time_ms));
    }
    assert_eq!(typical(&balancer), Some(50.0));
}

/// Guards against a silent replica that stays the first choice because it never answers.
#[rstest]
fn a_cancelled_attempt_moves_its_replica_behind_the_others() {
    let (mut balancer, _) = balancer(&[("a", "n1"), ("b", "n1")]);
    let started = Moment::now();
    balancer.record_response("a", started, Duration::from_millis(30));
    balancer.record_response("b", started, Duration::from_millis(40));
    assert_eq!(chosen(&balancer), "a");
    balancer.record_unanswered("a", started, Duration::from_millis(10));
    assert_eq!(chosen(&balancer), "a", "shorter than the usual time");
    balancer.record_unanswered("a", started, Duration::from_millis(90));
    assert_eq!(chosen(&balancer), "b");
}

/// Guards against scoring calls that take the last free slots of replicas.
#[rstest]
fn scoring_calls_prefer_replicas_with_spare_capacity() {
    let (mut balancer, _) = balancer(&[("a", "n1"), ("b", "n1")]);
    let spare = |balancer: &LoadBalancer, limit_ms: u64| {
        let limit = Duration::from_millis(limit_ms);
        let chosen = balancer.choose_spare(&plain_requirements(), &[], limit, Moment::now());
        chosen.map(|clearance| clearance.replica().to_string())
    };
    balancer.record_response("b", Moment::now(), Duration::from_millis(200));
    for _ in 0..5 {
        balancer.begin_request("a");
    }
    assert_eq!(chosen(&balancer), "a");
    assert_eq!(spare(&balancer, 300).as_deref(), Some("b"));
    assert_eq!(spare(&balancer, 150), None, "too slow");
    balancer.record_load("b", &report(5, 0, None));
    assert_eq!(spare(&balancer, 300), None);
}

/// Guards against a hedge to a replica that is warming up, which needs a permit of the leader.
#[rstest]
fn a_replica_that_is_warming_up_is_not_free() {
    let mut view = view(&[("a", "n1"), ("b", "n1")]);
    let service = Service {
        name: "plain".to_string(),
        max_connections: 10,
        engine_slots: 0,
        models: Vec::new(),
        scaling: None,
        warm_up: Some(WarmUp {
            time_ms: 3_000,
            per_second: 12.0,
        }),
    };
    view.configuration = Some(Arc::new(Configuration {
        services: vec![service],
        ..Configuration::default()
    }));
    view.replica_mut("b").expect("the replica").warming_ms = 3_000;
    let links = Rc::new(LinkContext::new(Place::new("n1", Some("n".into()))));
    let mut balancer = LoadBalancer::new(links);
    balancer.apply_view(&view, ChangedReplicas::All, 0);
    assert!(balancer.has_warming_replica(&plain_requirements()));
    assert_eq!(free_replica(&balancer, &["a"]), None);
    assert_eq!(free_replica(&balancer, &["b"]).as_deref(), Some("a"));
}
