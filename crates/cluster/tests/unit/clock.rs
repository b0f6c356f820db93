//! Waits and looks by a clock that goes on while the machine is suspended.

use super::{Late, Moment, Standstill, within, within_by};
use rstest::rstest;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Longer than any test.
const NEVER: Duration = Duration::from_secs(600);

/// A caller's deadline of 5 s was kept 4 s late where the machine had been suspended for
/// 4 s: timers leave that time out.
#[rstest]
#[tokio::test]
async fn a_wait_ends_soon_after_a_suspension() {
    let begun = Moment::now();
    let looks = Cell::new(0);
    // From the third look on, the machine has been suspended for a minute.
    let now = || {
        looks.set(looks.get() + 1);
        let suspended = if looks.get() > 2 { 60 } else { 0 };
        begun + begun.elapsed() + Duration::from_secs(suspended)
    };
    let steady = Instant::now();
    let waited = within_by(now, Duration::from_secs(5), tokio::time::sleep(NEVER)).await;
    assert_eq!(waited, Err(Late));
    assert!(steady.elapsed() < Duration::from_secs(1));
}

#[rstest]
#[tokio::test]
async fn a_wait_keeps_its_limit() {
    let limit = Duration::from_millis(600);
    let steady = Instant::now();
    let waited = within(limit, tokio::time::sleep(NEVER)).await;
    assert_eq!(waited, Err(Late));
    assert!(steady.elapsed() >= limit);
    let output = within(NEVER, async { 7 }).await;
    assert_eq!(output, Ok(7));
}

#[rstest]
fn a_standstill_is_noticed_once() {
    let mut standstill = Standstill::new(100);
    assert_eq!(standstill.look(350), None);
    assert_eq!(standstill.look(4_600), Some(4_250));
    assert_eq!(standstill.look(4_850), None);
}
