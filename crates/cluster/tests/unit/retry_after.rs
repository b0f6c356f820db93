//! Pauses that callers who are turned away are told.

use super::spread;
use rstest::rstest;
use std::time::Duration;

const EXPECTED: Duration = Duration::from_millis(200);

/// No caller comes back before what was lacked is expected, nor much later.
#[rstest]
#[case::most_urgent(0, 0.0, 200)]
#[case::most_urgent_late(0, 0.99, 249)]
#[case::least_urgent(9, 0.0, 250)]
#[case::beyond_the_last_rank(40, 0.99, 299)]
fn callers_come_back_spread_and_the_urgent_first(
    #[case] rank: u32,
    #[case] draw: f64,
    #[case] pause_ms: u128,
) {
    let pause = spread(EXPECTED, rank, draw).as_millis();
    assert!(pause.abs_diff(pause_ms) <= 1, "{pause} ms");
}
