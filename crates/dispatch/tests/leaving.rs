//! Replicas that were given notice.

mod fixture;
mod support;

use brasspond_dispatch::{Action, Event, OrderLeases};
use fixture::{Fixture, runs};
use rstest::rstest;
use std::sync::Arc;
use support::{submission, view};

/// Notice is given to the first replica.
fn with_notice(replicas: usize, slots: u32, notice_ms: Option<u64>) -> Event {
    let mut view = view(replicas, slots);
    let known = Arc::make_mut(&mut view.replicas);
    let first = known.get_mut("replica-0").expect("the first");
    first.draining = true;
    first.notice_ms = notice_ms;
    view.replicas_revision = 2;
    Event::View(view)
}

/// A long text ends after the replica is gone: it goes on elsewhere before, unless
/// there is no free place. A replica that goes once its work is done keeps it.
#[rstest]
#[case::room_elsewhere(2, Some(2_400), 1)]
#[case::no_room(1, Some(2_400), 0)]
#[case::once_its_work_is_done(2, None, 0)]
fn runs_leave_a_replica_that_was_given_notice(
    #[case] replicas: usize,
    #[case] notice_ms: Option<u64>,
    #[case] moved: usize,
) {
    let mut fixture = Fixture::new(view(replicas, 1), OrderLeases::default());
    fixture.edge("edge-1");
    let actions = fixture.accept(submission("job", &[5], 0));
    assert_eq!(runs(&actions)[0].replica, "replica-0");
    fixture.handle(with_notice(replicas, 1, notice_ms));
    fixture.advance(100);
    let actions = fixture.handle(Event::Tick);
    let cancels = actions
        .iter()
        .filter(|action| matches!(action, Action::Cancel { .. }));
    assert_eq!(cancels.count(), moved, "{actions:?}");
}
