//! Waits by a clock that goes on while the machine is suspended, and suspensions detected by it.

use super::{Late, Moment, SuspensionDetector, within, within_by};
use rstest::rstest;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Longer than any test.
const NEVER: Duration = Duration::from_secs(600);

/// Timers of the runtime do not count a suspension: a deadline would be kept late by all of it.
#[rstest]
#[tokio::test]
async fn a_wait_ends_soon_after_a_suspension() {
    let begun = Moment::now();
    let checks = Cell::new(0);
    // From the third check on, the machine has been suspended for a minute.
    let now = || {
        checks.set(checks.get() + 1);
        let suspended = if checks.get() > 2 { 60 } else { 0 };
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
fn a_suspension_is_detected_once() {
    let mut suspension = SuspensionDetector::new(100);
    assert_eq!(suspension.tick(350), None);
    assert_eq!(suspension.tick(4_600), Some(4_250));
    assert_eq!(suspension.tick(4_850), None);
}
