//! Tests the autoscaler with a simulated platform that boots replicas, reclaims them and runs out
//! of capacity.

use brasspond_autoscaling::{Autoscaler, ScaleAnswer, ScaleOrder};
use brasspond_fleet::{Configuration, FleetView, ReplicaInfo, Scaling, Service, replicas_by_id};
use brasspond_golden::{Digest, check_lines};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const BOOT_MS: u64 = 4_000;
/// Maximum number of replicas in a zone.
const MAX_REPLICAS: u32 = 30;
const SLOTS: u32 = 8;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Interval between two plans, in ms.
const PLAN_INTERVAL_MS: u64 = 500;

struct Platform {
    ordinary: u32,
    spot_price: Option<f64>,
    /// Number of booted spot replicas by zone.
    spot: BTreeMap<String, u32>,
    /// Accepted orders, with the time at which each takes effect, its zone and its count.
    booting: Vec<(u64, String, u32)>,
    /// Time until which each zone has no capacity.
    no_capacity_until: BTreeMap<String, u64>,
    orders: Vec<(u64, ScaleOrder)>,
    revision: u64,
    evacuated: BTreeSet<Arc<str>>,
}

impl Platform {
    fn new(ordinary: u32, spot_price: Option<f64>) -> Self {
        Self {
            ordinary,
            spot_price,
            spot: BTreeMap::new(),
            booting: Vec::new(),
            no_capacity_until: BTreeMap::new(),
            orders: Vec::new(),
            revision: 0,
            evacuated: BTreeSet::new(),
        }
    }

    fn view(&mut self) -> FleetView {
        self.revision += 1;
        let zone_prices = [("a", 1.0), ("b", 0.8), ("c", 1.25)];
        let service = Service {
            name: "engines".to_string(),
            max_connections: 100,
            engine_slots: SLOTS,
            models: vec!["model".to_string()],
            scaling: Some(Scaling {
                min: 1,
                max: MAX_REPLICAS,
                boot_ms: BOOT_MS,
                spot_price: self.spot_price,
                zone_prices: zone_prices.map(|(zone, price)| (zone.into(), price)).into(),
            }),
            warm_up: None,
        };
        let mut replicas = Vec::new();
        for zone in ZONES {
            let spot = self.spot.get(zone).copied().unwrap_or(0);
            let kinds = (0..self.ordinary).map(|number| (number, false));
            for (number, is_spot) in kinds.chain((0..spot).map(|number| (number, true))) {
                let id = format!("{zone}-{is_spot}-{number}");
                replicas.push(replica(id, zone, is_spot));
            }
        }
        FleetView {
            configuration: Some(Arc::new(Configuration {
                version: 1,
                services: vec![service],
                ..Configuration::default()
            })),
            configuration_revision: 1,
            replicas: replicas_by_id(replicas),
            replicas_revision: self.revision,
            evacuated: Arc::new(self.evacuated.clone()),
            evacuated_revision: self.revision,
            ..FleetView::default()
        }
    }

    fn order(&mut self, order: &ScaleOrder, now: u64) -> ScaleAnswer {
        let zone = order.zone.to_string();
        let lacks_capacity = self
            .no_capacity_until
            .get(&zone)
            .is_some_and(|until| now < *until);
        self.orders.push((now, order.clone()));
        if lacks_capacity {
            return ScaleAnswer::NoCapacity;
        }
        self.booting.push((now + BOOT_MS, zone, order.count));
        ScaleAnswer::Accepted
    }

    fn boot(&mut self, now: u64) {
        let (due, later) = std::mem::take(&mut self.booting)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.booting = later;
        let due: Vec<(u64, String, u32)> = due;
        for (_, zone, count) in due {
            self.spot.insert(zone, count);
        }
    }
}

fn replica(id: String, zone: &str, is_spot: bool) -> ReplicaInfo {
    ReplicaInfo {
        id: id.into(),
        service: "engines".into(),
        address: "10.0.0.1:80".parse().expect("address"),
        zone: zone.into(),
        slots: SLOTS,
        draining: false,
        models: Vec::new().into(),
        revision: 1,
        is_spot,
        notice_ms: None,
        region: None,
        warming_ms: 0,
        life: brasspond_fleet::Life::UNKNOWN,
    }
}

/// Runs the autoscaler over a span of time with the load that `load` returns for each time.
fn simulate(
    scaler: &mut Autoscaler,
    platform: &mut Platform,
    span: std::ops::Range<u64>,
    load: impl Fn(u64) -> usize,
) {
    let mut now = span.start;
    while now < span.end {
        platform.boot(now);
        scaler.record_load("engines", load(now), now);
        let view = platform.view();
        for order in scaler.plan(&view, now) {
            let answer = platform.order(&order, now);
            scaler.answered(&order, answer, now);
        }
        now += PLAN_INTERVAL_MS;
    }
}

/// Returns the number of booted spot replicas in each zone.
fn spot_counts(platform: &Platform) -> Vec<u32> {
    ZONES
        .iter()
        .map(|zone| platform.spot.get(*zone).copied().unwrap_or(0))
        .collect()
}

/// Guards against an order for each wave of load.
#[rstest]
#[case::as_many_as_allowed(700, vec![15, 15, 15], 3)]
#[case::a_few(400, vec![6, 6, 6], 3)]
#[case::none(100, vec![0, 0, 0], 3)]
fn replicas_follow_the_peak(
    #[case] peak: usize,
    #[case] expected: Vec<u32>,
    #[case] max_orders: usize,
) {
    let mut scaler = Autoscaler::default();
    let mut platform = Platform::new(15, Some(0.2));
    let waves = |now: u64| {
        if now % 4_000 < 2_000 { peak } else { peak / 10 }
    };
    simulate(&mut scaler, &mut platform, 0..120_000, waves);
    let total: u32 = spot_counts(&platform).iter().sum();
    let expected_total: u32 = expected.iter().sum();
    assert!(
        total.abs_diff(expected_total) <= 2,
        "{:?}",
        spot_counts(&platform)
    );
    assert!(platform.orders.len() <= max_orders, "{:?}", platform.orders);
}

#[rstest]
fn before_any_load_there_are_as_many_spot_replicas_as_ordinary_ones() {
    let mut scaler = Autoscaler::default();
    let mut platform = Platform::new(4, Some(0.2));
    simulate(&mut scaler, &mut platform, 0..10_000, |_| 0);
    assert_eq!(spot_counts(&platform), [4, 4, 4]);
}

/// Whether any order reduced the number of replicas of a zone.
fn scales_down(platform: &Platform) -> bool {
    let mut counts: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    platform.orders.iter().any(|(_, order)| {
        let before = counts.insert(order.zone.clone(), order.count);
        before.is_some_and(|before| order.count < before)
    })
}

/// Guards against removing replicas after the first requests, which do not predict the load.
#[rstest]
#[case::waves_of_4_s(4_000)]
#[case::waves_of_6_s(6_000)]
fn first_requests_cause_no_scale_down(#[case] period: u64) {
    let mut scaler = Autoscaler::default();
    let mut platform = Platform::new(10, Some(0.2));
    simulate(&mut scaler, &mut platform, 0..10_000, |_| 0);
    assert_eq!(spot_counts(&platform), [10, 10, 10]);
    let waves = |now: u64| match now - 10_000 {
        // A few requests, then load in waves.
        0..1_000 => 2,
        1_000..1_500 => 0,
        1_500..2_000 => 3,
        since if since % period < period / 2 => 160,
        _ => 20,
    };
    let known = 10_000 + 2_000 + 2 * period;
    simulate(&mut scaler, &mut platform, 10_000..known, waves);
    assert!(!scales_down(&platform), "{:?}", platform.orders);
    assert_eq!(spot_counts(&platform), [10, 10, 10]);
    simulate(&mut scaler, &mut platform, known..known + 45_000, waves);
    assert!(scales_down(&platform), "{:?}", platform.orders);
    let total: u32 = spot_counts(&platform).iter().sum();
    assert!(
        total <= 4,
        "160 requests need no spot replicas: {:?}",
        spot_counts(&platform)
    );
}

/// Guards against a surplus that is never removed because constant load has no waves.
#[rstest]
fn peak_of_constant_load_is_known_after_a_window() {
    let mut scaler = Autoscaler::default();
    let mut platform = Platform::new(10, Some(0.2));
    simulate(&mut scaler, &mut platform, 0..10_000, |_| 0);
    simulate(&mut scaler, &mut platform, 10_000..30_000, |_| 160);
    assert!(!scales_down(&platform), "{:?}", platform.orders);
    simulate(&mut scaler, &mut platform, 30_000..60_000, |_| 160);
    let total: u32 = spot_counts(&platform).iter().sum();
    assert!(total <= 4, "{:?}", spot_counts(&platform));
}

/// Guards against predicting much larger waves from small ones.
#[rstest]
fn much_larger_waves_restart_the_count_of_waves() {
    let mut scaler = Autoscaler::default();
    let mut platform = Platform::new(10, Some(0.2));
    simulate(&mut scaler, &mut platform, 0..10_000, |_| 0);
    let small = |now: u64| usize::from(now % 1_000 < 500);
    simulate(&mut scaler, &mut platform, 10_000..15_000, small);
    assert!(!scales_down(&platform), "{:?}", platform.orders);
    let large = |now: u64| if now % 4_000 < 2_000 { 160 } else { 0 };
    simulate(&mut scaler, &mut platform, 15_000..21_000, large);
    assert!(!scales_down(&platform), "{:?}", platform.orders);
}

#[rstest]
fn nothing_is_ordered_without_spot_replicas() {
    let mut scaler = Autoscaler::default();
    let mut platform = Platform::new(4, None);
    simulate(&mut scaler, &mut platform, 0..60_000, |_| 900);
    assert_eq!(platform.orders, Vec::new());
}

/// Guards against orders that are not retried after a lack of capacity, or retried at every plan.
#[rstest]
fn reclaimed_replicas_are_ordered_again() {
    let mut scaler = Autoscaler::default();
    let mut platform = Platform::new(15, Some(0.2));
    simulate(&mut scaler, &mut platform, 0..20_000, |_| 700);
    let before = platform.orders.len();
    platform.spot.insert("b".to_string(), 0);
    platform.no_capacity_until.insert("b".to_string(), 30_000);
    simulate(&mut scaler, &mut platform, 20_000..30_000, |_| 700);
    let meanwhile = platform.orders.len() - before;
    assert!((1..=3).contains(&meanwhile), "{:?}", platform.orders);
    simulate(&mut scaler, &mut platform, 30_000..45_000, |_| 700);
    assert_eq!(spot_counts(&platform), [15, 15, 15]);
}

proptest! {
    /// Guards against orders that exceed the limit of a zone, whatever replicas exist.
    #[test]
    fn orders_keep_to_the_limits(
        ordinary in 0_u32..40,
        loads in proptest::collection::vec(0_usize..5_000, 1..20),
    ) {
        let mut scaler = Autoscaler::default();
        let mut platform = Platform::new(ordinary, Some(0.2));
        for (number, load) in loads.iter().enumerate() {
            let start = number as u64 * 7_000;
            simulate(&mut scaler, &mut platform, start..start + 7_000, |_| *load);
        }
        for (_, order) in &platform.orders {
            prop_assert!(order.count + ordinary <= MAX_REPLICAS.max(ordinary), "{:?}", order);
        }
    }
}

/// Runs the autoscaler over a span of time with constant load while these zones are evacuated.
fn simulate_evacuated(
    scaler: &mut Autoscaler,
    platform: &mut Platform,
    span: std::ops::Range<u64>,
    load: usize,
    evacuated: &[&str],
) {
    platform.evacuated = evacuated.iter().map(|zone| Arc::from(*zone)).collect();
    simulate(scaler, platform, span, |_| load);
}

/// Returns the counts of all orders for a zone since a time.
fn orders_for(platform: &Platform, zone: &str, from: u64) -> Vec<u32> {
    let orders = platform.orders.iter();
    let orders = orders.filter(|(at, order)| *at >= from && &*order.zone == zone);
    orders.map(|(_, order)| order.count).collect()
}

/// Guards against orders for an evacuated zone, and against lost capacity that is not replaced.
#[rstest]
#[case::one(&["b"])]
#[case::two(&["a", "b"])]
fn replicas_of_an_evacuated_zone_are_replaced_in_other_zones(#[case] zones: &[&str]) {
    let mut scaler = Autoscaler::default();
    let mut platform = Platform::new(10, Some(0.2));
    simulate_evacuated(&mut scaler, &mut platform, 0..20_000, 300, &[]);
    let before = spot_counts(&platform);
    simulate_evacuated(&mut scaler, &mut platform, 20_000..40_000, 300, zones);
    for zone in zones {
        assert_eq!(orders_for(&platform, zone, 20_000), Vec::<u32>::new());
    }
    let open: Vec<&str> = ZONES
        .into_iter()
        .filter(|zone| !zones.contains(zone))
        .collect();
    let replicas: u32 = open.iter().map(|zone| 10 + platform.spot[*zone]).sum();
    let wanted = (300_f64 * 1.25 / f64::from(SLOTS)).ceil() as u32;
    let limit = MAX_REPLICAS * open.len() as u32;
    assert_eq!(
        replicas,
        wanted.min(limit),
        "{:?} before {before:?}",
        platform.spot
    );
}

/// Guards against removing replacements before the replicas of the zone are warm again.
#[rstest]
fn replacements_stay_until_returned_replicas_are_warm() {
    let mut scaler = Autoscaler::default();
    let mut platform = Platform::new(10, Some(0.2));
    simulate_evacuated(&mut scaler, &mut platform, 0..20_000, 300, &[]);
    let before = spot_counts(&platform);
    simulate_evacuated(&mut scaler, &mut platform, 20_000..40_000, 300, &["b"]);
    let during = spot_counts(&platform);
    assert!(
        during.iter().sum::<u32>() > before.iter().sum(),
        "{during:?}"
    );
    simulate_evacuated(&mut scaler, &mut platform, 40_000..49_000, 300, &[]);
    assert_eq!(
        spot_counts(&platform),
        during,
        "no replica is removed at once"
    );
    simulate_evacuated(&mut scaler, &mut platform, 49_000..70_000, 300, &[]);
    assert_eq!(
        spot_counts(&platform),
        before,
        "the replacements are removed"
    );
}

/// Guards against orders because of a short interruption of an evacuation.
#[rstest]
fn evacuation_interrupted_for_a_second_causes_no_orders() {
    let mut scaler = Autoscaler::default();
    let mut platform = Platform::new(10, Some(0.2));
    simulate_evacuated(&mut scaler, &mut platform, 0..20_000, 300, &[]);
    simulate_evacuated(&mut scaler, &mut platform, 20_000..40_000, 300, &["b"]);
    let orders = platform.orders.len();
    simulate_evacuated(&mut scaler, &mut platform, 40_000..41_000, 300, &[]);
    simulate_evacuated(&mut scaler, &mut platform, 41_000..60_000, 300, &["b"]);
    assert_eq!(platform.orders.len(), orders, "{:?}", platform.orders);
}

#[rstest]
fn nothing_is_ordered_before_evacuations_are_known() {
    let mut scaler = Autoscaler::default();
    let mut platform = Platform::new(4, Some(0.2));
    let mut view = platform.view();
    view.must_know_evacuations = true;
    view.evacuated_revision = 0;
    assert_eq!(scaler.plan(&view, 0), Vec::new());
    view.evacuated_revision = 1;
    assert_eq!(scaler.plan(&view, 500).len(), 3);
}

/// Guards against predicting later load from load before an idle time longer than the window.
#[rstest]
#[case::single_request(|now| usize::from(now < 10_500))]
#[case::one_step_per_minute(|now| if now % 60_000 < 4_000 { 160 } else { 0 })]
fn long_idle_time_restarts_the_observation_of_the_peak(#[case] before: fn(u64) -> usize) {
    let mut scaler = Autoscaler::default();
    let mut platform = Platform::new(10, Some(0.2));
    simulate(&mut scaler, &mut platform, 0..10_000, |_| 0);
    simulate(&mut scaler, &mut platform, 10_000..170_000, before);
    let orders = platform.orders.len();
    // The first requests after the idle time need fewer slots than exist.
    simulate(&mut scaler, &mut platform, 170_000..171_000, |_| 3);
    let fewer = platform.orders[orders..].iter();
    let fewer = fewer.filter(|(_, order)| order.count < 10).count();
    assert_eq!(fewer, 0, "{:?}", &platform.orders[orders..]);
}

/// Guards against unintended changes of decisions, by digests of all orders.
#[rstest]
fn decisions_match_golden_digests() {
    const SIMULATIONS: u64 = 20;
    let digests = (0..SIMULATIONS).map(|number| {
        let mut scaler = Autoscaler::default();
        let mut platform = Platform::new(4 + number as u32, Some(0.2));
        let period = 1_000 * (3 + number % 7);
        let peak = 40 * (1 + number as usize);
        let is_high = |now: u64| now % period < period / 2;
        let waves = |now: u64| if is_high(now) { peak } else { peak / 10 };
        simulate(&mut scaler, &mut platform, 0..40_000, waves);
        platform.evacuated = [Arc::from("b")].into();
        simulate(&mut scaler, &mut platform, 40_000..60_000, waves);
        platform.evacuated.clear();
        platform.spot.insert("c".to_string(), 0);
        platform.no_capacity_until.insert("c".to_string(), 70_000);
        simulate(&mut scaler, &mut platform, 60_000..120_000, waves);
        let mut digest = Digest::default();
        for order in &platform.orders {
            digest.add(0, order);
        }
        format!("{number} {}", digest.line())
    });
    let digests: Vec<String> = digests.collect();
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/decisions.txt");
    check_lines(file.as_ref(), &digests);
}
