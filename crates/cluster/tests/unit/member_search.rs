//! The pauses of an edge that searches for storage processes.

use super::{FOUND_PAUSE, LONGEST_SEARCH_PAUSE, SEARCH_PAUSE, await_known, longer_pause};
use crate::clock::Moment;
use rstest::rstest;
use std::time::Duration;
use tokio::sync::watch;

/// More than a busy machine takes to wake a task, and less than the pause.
const SOON: Duration = Duration::from_millis(1_200);

#[rstest]
#[tokio::test]
async fn the_pause_ends_once_a_leader_is_known() {
    let (leaders, known) = watch::channel(None);
    let begun = Moment::now();
    let finds = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        leaders.send_replace(Some("leader"));
    };
    tokio::join!(await_known(known, FOUND_PAUSE), finds);
    assert!(begun.elapsed() < SOON, "{:?}", begun.elapsed());
}

#[rstest]
#[tokio::test]
async fn the_pause_ends_at_its_limit() {
    let (_leaders, known) = watch::channel::<Option<&str>>(None);
    let begun = Moment::now();
    await_known(known, Duration::from_millis(60)).await;
    let elapsed = begun.elapsed();
    assert!(elapsed >= Duration::from_millis(60), "{elapsed:?}");
}

#[rstest]
fn pauses_grow_up_to_the_longest() {
    assert_eq!(longer_pause(SEARCH_PAUSE), Duration::from_millis(750));
    assert_eq!(longer_pause(LONGEST_SEARCH_PAUSE), LONGEST_SEARCH_PAUSE);
}
