//! Ageing of response times.

use super::{ResponseTime, median};
use crate::clock::Moment;
use rstest::rstest;
use std::time::Duration;

fn assert_ms(actual: Option<f64>, expected: f64) {
    let actual = actual.expect("a time");
    assert!((actual - expected).abs() < 1e-6, "{actual} != {expected}");
}

/// Guards against an average that jumps to each new sample.
#[rstest]
fn the_first_sample_sets_the_average_and_later_ones_move_it() {
    let now = Moment::now();
    let mut response = ResponseTime::default();
    response.record(100.0, now);
    assert_ms(response.mean_ms(), 100.0);
    response.record(200.0, now);
    assert_ms(response.mean_ms(), 130.0);
}

/// Guards against an old sample that outweighs a new one: after 5 s it has half of its weight.
#[rstest]
fn an_aged_average_gives_way_to_a_new_sample() {
    let now = Moment::now();
    let mut response = ResponseTime::default();
    response.record(100.0, now);
    response.record(200.0, now + Duration::from_secs(5));
    assert_ms(response.mean_ms(), 165.0);
}

/// Guards against one slow answer that keeps a replica behind the others for good.
#[rstest]
fn the_expected_time_returns_to_the_reference() {
    let now = Moment::now();
    let mut response = ResponseTime::default();
    assert_ms(response.expected_ms(Some(40.0), now), 40.0);
    assert_eq!(response.expected_ms(None, now), None);
    response.record(440.0, now);
    assert_ms(response.expected_ms(Some(40.0), now), 440.0);
    let later = now + Duration::from_secs(5);
    assert_ms(response.expected_ms(Some(40.0), later), 240.0);
    assert_ms(response.expected_ms(None, later), 440.0);
    let much_later = now + Duration::from_secs(60);
    let expected = response.expected_ms(Some(40.0), much_later);
    assert!(expected.is_some_and(|ms| ms < 41.0), "{expected:?}");
}

/// Guards against old averages in the typical time of a service.
#[rstest]
fn an_old_average_is_not_recent() {
    let now = Moment::now();
    let mut response = ResponseTime::default();
    response.record(440.0, now);
    assert_ms(
        response.recent_mean_ms(now + Duration::from_secs(29)),
        440.0,
    );
    assert_eq!(response.recent_mean_ms(now + Duration::from_secs(30)), None);
}

/// Guards against a median of no times that panics.
#[rstest]
#[case(&[], None)]
#[case(&[3.0], Some(3.0))]
#[case(&[9.0, 1.0], Some(1.0))]
#[case(&[9.0, 1.0, 2.0, 300.0], Some(2.0))]
fn the_lower_median_is_taken(#[case] times: &[f64], #[case] expected: Option<f64>) {
    assert_eq!(median(times.to_vec()), expected);
}
