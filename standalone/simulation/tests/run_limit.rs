//! A run's end follows its steps.

use brasspond_simulation::run_limit;
use rstest::rstest;
use std::time::Duration;

/// Every seed of `fuzz --steps 400` was called broken only because all runs
/// ended at the same time, whatever the steps.
#[rstest]
fn more_steps_have_more_time() {
    assert_eq!(run_limit(1), run_limit(3));
    assert_eq!(run_limit(400) - run_limit(3), Duration::from_secs(20) * 397);
}
