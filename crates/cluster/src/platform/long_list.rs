//! When a starting process reads the rest of a long list of replicas.
//!
//! When hundreds of processes start at once, their lists of 50 pages each would exceed the rate of
//! the source, and delay the leader's own list by seconds.

use super::Interest;
use rand::Rng;
use std::time::Duration;
use tokio::sync::watch;

/// Longest pause after the first page.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Shortest pause, as a share of the longest.
const MIN_PAUSE_SHARE: f64 = 0.1;

/// Waits after the first page of a list. Returns whether to read the rest: a starting process gives
/// the list up once it is no longer wanted, since a leader that it has found sends it the view.
pub async fn await_rest_of_list(
    mut interest: watch::Receiver<Interest>,
    is_wanted: impl Fn(&Interest) -> bool,
) -> bool {
    if !interest.borrow().is_starting {
        return true;
    }
    let share = rand::rng().random_range(MIN_PAUSE_SHARE..=1.0);
    tokio::select! {
        _ = interest.wait_for(|interest| !is_wanted(interest)) => false,
        () = tokio::time::sleep(MAX_PAUSE.mul_f64(share)) => true,
    }
}
