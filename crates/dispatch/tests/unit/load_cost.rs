//! What a full replica costs, learned from paces.

use super::{LoadCost, Means};
use rstest::rstest;

/// Replicas of two speeds, filled in waves; a pace in ten has another reason.
fn learned(slope: f64, paces: usize) -> f64 {
    const SPEEDS: [f64; 3] = [48.0, 48.0, 62.0];
    let mut cost = LoadCost::default();
    let mut means: [Option<Means>; 3] = [None; 3];
    for number in 0..paces {
        let replica = number % SPEEDS.len();
        let fill = ((number * 7) % 9) as f64 / 8.0;
        let noise = 1.0 + 0.02 * ((number * 5) % 11) as f64 / 10.0;
        let stood_still = if number % 10 == 9 { 3.0 } else { 1.0 };
        let pace = SPEEDS[replica] * (1.0 + slope * fill) * noise * stood_still;
        cost.observe(&mut means[replica], pace, fill);
    }
    cost.slope()
}

#[rstest]
#[case::hardly_any(0.05)]
#[case::a_third(0.3)]
#[case::much(0.6)]
fn the_slope_is_learned(#[case] slope: f64) {
    let learned = learned(slope, 3_000);
    assert!((learned - slope).abs() < 0.12, "{learned} for {slope}");
}

#[rstest]
fn before_anything_was_seen_the_prior_stands() {
    assert_eq!(learned(0.6, 0), 0.3);
    assert!(learned(0.0, 5) > 0.2);
}
