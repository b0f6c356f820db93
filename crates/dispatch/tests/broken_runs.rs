//! Guards against items that are not run again because replicas crashed while they ran them. An
//! item of an accepted job is owed, whatever happened to the replicas.

mod fixture;
mod support;

use brasspond_cluster_protocol::{RunEnd, RunSpec, ScoringEnd};
use brasspond_dispatch::{Action, Event, OrderLeases};
use brasspond_jobs::{Command, Outcome, ScoringCall, Submission};
use brasspond_quarantine::{CaseChange, Fingerprint};
use bytes::Bytes;
use fixture::{Fixture, event, runs};
use rstest::rstest;
use std::sync::Arc;
use support::{submission, view};

/// Time between two ticks, in ms.
const TICK_MS: u64 = 100;
/// Maximum time until an item is placed again, in ms: one pause of a replica after a fault.
const MAX_PLACEMENT_MS: u64 = 2_000;
/// Number of crashes, twice those after which content was held back for good.
const CRASHES: usize = 12;

/// A leader with a job and more replicas than crash.
fn leader(job: Submission) -> (Fixture, Vec<Action>) {
    let mut fixture = Fixture::new(view(2 * CRASHES, 1), OrderLeases::default());
    fixture.register_edge("edge-1");
    let actions = fixture.accept(job);
    (fixture, actions)
}

/// Records the end of a replica under a content, as an edge of an older build reports it for items.
fn record_end(fixture: &mut Fixture, content: Fingerprint, number: usize) {
    let replica = Arc::from(format!("life-{number}"));
    let change = CaseChange::Ended(content, replica);
    fixture.table.apply(Command::Quarantine(vec![change]));
}

fn is_given_up(actions: &[Action]) -> bool {
    actions.iter().any(
        |action| matches!(action, Action::List(listing) if listing.outcome == Outcome::Terminated),
    )
}

/// Returns the first run in `actions` or in those of later ticks, within [`MAX_PLACEMENT_MS`].
fn next_run(fixture: &mut Fixture, mut actions: Vec<Action>) -> Option<RunSpec> {
    for _ in 0..=MAX_PLACEMENT_MS / TICK_MS {
        assert!(!is_given_up(&actions), "the item is still owed");
        if let Some(run) = runs(&actions).into_iter().next() {
            return Some(run);
        }
        fixture.advance(TICK_MS);
        fixture.record_edge_message("edge-1");
        actions = fixture.handle(Event::Tick);
    }
    None
}

#[rstest]
fn an_item_is_placed_again_after_any_number_of_crashes() {
    let job = submission("job", &[9], 0);
    let content = job.items[0].content(&job.host, None);
    let (mut fixture, actions) = leader(job);
    let mut run = runs(&actions).remove(0);
    for number in 0..CRASHES {
        record_end(&mut fixture, content, number);
        let actions = fixture.end_run("edge-1", &run, RunEnd::Broken);
        let next = next_run(&mut fixture, actions);
        run = next.unwrap_or_else(|| panic!("not placed after {} crashes", number + 1));
    }
}

/// A later step may contain the item again, under the same id.
#[rstest]
fn an_item_of_a_later_job_starts_without_the_crashes_of_the_earlier_one() {
    let job = submission("job", &[9], 0);
    let content = job.items[0].content(&job.host, None);
    let (mut fixture, actions) = leader(job);
    let run = runs(&actions).remove(0);
    for number in 0..CRASHES {
        record_end(&mut fixture, content, number);
    }
    fixture.end_run("edge-1", &run, RunEnd::Broken);
    fixture.end_job("job");
    let next = fixture.accept(submission("next-job", &[9], 0));
    assert_eq!(runs(&next).len(), 1);
}

/// The scoring call belongs to the item, so it is owed as well.
#[rstest]
fn a_scoring_call_is_ordered_again_after_any_number_of_crashes() {
    let mut job = submission("job", &[9], 0);
    let call = ScoringCall {
        id: "score".to_string(),
        host: "host.example".to_string(),
        path: "/score/".to_string(),
        body: Bytes::from_static(b"score"),
    };
    let content = call.content();
    job.items[0].scoring = Some(call);
    let (mut fixture, actions) = leader(job);
    let run = runs(&actions).remove(0);
    fixture.handle(Event::RunEnded {
        machine: "edge-1".to_string(),
        attempt: run.attempt,
        events: vec![event(1, "text", 1)],
        end: RunEnd::Whole,
    });
    let mut attempt = run.attempt;
    for number in 0..CRASHES {
        record_end(&mut fixture, content, number);
        let mut actions = fixture.handle(Event::Scored {
            machine: "edge-1".to_string(),
            attempt,
            end: ScoringEnd::Unanswered,
        });
        for _ in 0..MAX_PLACEMENT_MS / TICK_MS {
            fixture.advance(TICK_MS);
            fixture.record_edge_message("edge-1");
            actions.extend(fixture.handle(Event::Tick));
        }
        let orders = actions.iter().filter_map(|action| match action {
            Action::Score { spec, .. } => Some(spec.attempt),
            _ => None,
        });
        let next = orders.last();
        attempt = next.unwrap_or_else(|| panic!("not ordered after {} crashes", number + 1));
    }
}
