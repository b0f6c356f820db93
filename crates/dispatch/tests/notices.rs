//! Guards against runs that break because their replica is shut down after a notice.

mod fixture;
mod support;

use brasspond_dispatch::{Action, Event, OrderLeases};
use fixture::{Fixture, runs};
use rstest::rstest;
use support::{submission, view};

/// Returns a view in which the first replica drains, with the time until its shutdown.
fn with_notice(replicas: usize, slots: u32, notice_ms: Option<u64>) -> Event {
    let mut view = view(replicas, slots);
    let first = view.replica_mut("replica-0").expect("the first");
    first.draining = true;
    first.notice_ms = notice_ms;
    view.replicas_revision = 2;
    Event::View(view)
}

/// Guards against runs that break when their replica is shut down, and against moving runs without
/// a free slot elsewhere or with a replica that waits for them.
#[rstest]
#[case::free_slot_elsewhere(2, Some(2_400), 1)]
#[case::no_free_slot(1, Some(2_400), 0)]
#[case::replica_waits_for_its_runs(2, None, 0)]
fn runs_move_from_a_replica_that_will_be_shut_down(
    #[case] replicas: usize,
    #[case] notice_ms: Option<u64>,
    #[case] moved: usize,
) {
    let mut fixture = Fixture::new(view(replicas, 1), OrderLeases::default());
    fixture.register_edge("edge-1");
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
