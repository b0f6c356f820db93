//! Guards against runs on unsuitable replicas, failed items that are retried without limit, and
//! texts with missing, repeated or outdated events.

mod fixture;
mod support;

use brasspond_cluster_protocol::RunEnd;
use brasspond_dispatch::{Action, Event, OrderLeases};
use brasspond_jobs::{Draft, Outcome};
use fixture::{Fixture, event, runs};
use rstest::rstest;
use std::sync::Arc;
use support::{submission, view};

#[rstest]
fn the_longest_items_start_first_and_slots_limit_runs() {
    let mut fixture = Fixture::new(view(2, 3), OrderLeases::default());
    fixture.register_edge("edge-1");
    let actions = fixture.accept(submission("job", &[10, 50, 30, 20, 40, 60, 5, 1], 0));
    let started = runs(&actions);
    assert_eq!(started.len(), 6, "two replicas of three slots");
    let items: Vec<u32> = started.iter().map(|run| run.item).collect();
    assert_eq!(items, [5, 1, 4, 2, 3, 0]);
    for replica in ["replica-0", "replica-1"] {
        let on_replica = started.iter().filter(|run| run.replica == replica);
        assert_eq!(on_replica.count(), 3);
    }
}

#[rstest]
fn a_complete_stream_becomes_a_result_with_its_versions() {
    let mut fixture = Fixture::new(view(1, 1), OrderLeases::default());
    fixture.register_edge("edge-1");
    let actions = fixture.accept(submission("job", &[1], 0));
    let run = runs(&actions)[0].clone();
    let events = vec![event(1, "a", 3), event(2, "b", 4)];
    let actions = fixture.handle(Event::RunEnded {
        machine: "edge-1".to_string(),
        attempt: run.attempt,
        events,
        end: RunEnd::Whole,
    });
    let listed = actions.iter().find_map(|action| match action {
        Action::Finish(draft) => Some(draft.clone()),
        _ => None,
    });
    let expected = Draft {
        job: "job".to_string(),
        item: 0,
        after: 0,
        text: "a\nb".into(),
        versions: vec![3, 4],
    };
    assert_eq!(listed, Some(expected));
}

#[rstest]
fn a_broken_run_resumes_after_its_last_event_on_another_replica() {
    let mut fixture = Fixture::new(view(2, 1), OrderLeases::default());
    fixture.register_edge("edge-1");
    let actions = fixture.accept(submission("job", &[1], 0));
    let first = runs(&actions)[0].clone();
    let actions = fixture.handle(Event::RunEnded {
        machine: "edge-1".to_string(),
        attempt: first.attempt,
        events: vec![event(1, "a", 1)],
        end: RunEnd::Broken,
    });
    let second = runs(&actions)[0].clone();
    assert_ne!(
        second.replica, first.replica,
        "the faulty replica is paused"
    );
    assert_eq!(second.events, vec![event(1, "a", 1)]);
}

#[rstest]
#[case::failed_often(RunEnd::Failed, 3)]
#[case::impossible(RunEnd::Impossible, 1)]
fn an_item_that_fails_too_often_or_is_impossible_is_given_up(
    #[case] end: RunEnd,
    #[case] runs_needed: usize,
) {
    let mut fixture = Fixture::new(view(1, 1), OrderLeases::default());
    fixture.register_edge("edge-1");
    let mut actions = fixture.accept(submission("job", &[1], 0));
    for number in 1..=runs_needed {
        let run = runs(&actions)[0].clone();
        actions = fixture.handle(Event::RunEnded {
            machine: "edge-1".to_string(),
            attempt: run.attempt,
            events: Vec::new(),
            end,
        });
        let is_given_up = actions.iter().any(|action| {
            matches!(action, Action::List(listing) if listing.outcome == Outcome::Terminated)
        });
        assert_eq!(is_given_up, number == runs_needed);
    }
}

#[rstest]
fn no_run_starts_on_replicas_that_drain_or_are_too_old() {
    let mut fleet = view(3, 1);
    fleet.replica_mut("replica-0").expect("a replica").draining = true;
    for (id, version) in [("replica-1", 4), ("replica-2", 5)] {
        let replica = fleet.replica_mut(id).expect("a replica");
        replica.models.set("model", version);
    }
    let mut fixture = Fixture::new(fleet, OrderLeases::default());
    fixture.register_edge("edge-1");
    let actions = fixture.accept(submission("job", &[1, 2], 5));
    let started = runs(&actions);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].replica, "replica-2");
}

#[rstest]
fn an_item_of_an_ended_job_is_cancelled_and_not_started_again() {
    let mut fixture = Fixture::new(view(1, 1), OrderLeases::default());
    fixture.register_edge("edge-1");
    let actions = fixture.accept(submission("job", &[2, 1], 0));
    let run = runs(&actions)[0].clone();
    let actions = fixture.end_job("job");
    assert!(matches!(&actions[0], Action::Cancel { attempt, .. } if *attempt == run.attempt));
    let actions = fixture.handle(Event::RunEnded {
        machine: "edge-1".to_string(),
        attempt: run.attempt,
        events: vec![event(1, "a", 7)],
        end: RunEnd::Cancelled,
    });
    assert!(runs(&actions).is_empty());
    // The same item in a later job resumes after the events of the ended run.
    fixture.set_version("replica-0", 7);
    let mut next = submission("later", &[2], 7);
    next.items[0].id = "job-item-0".to_string();
    let actions = fixture.accept(next);
    assert_eq!(runs(&actions)[0].events, vec![event(1, "a", 7)]);
}

#[rstest]
fn a_text_of_a_version_too_old_is_not_used_again() {
    let mut fixture = Fixture::new(view(1, 1), OrderLeases::default());
    fixture.register_edge("edge-1");
    let actions = fixture.accept(submission("job", &[2], 0));
    let run = runs(&actions)[0].clone();
    fixture.end_job("job");
    fixture.handle(Event::RunEnded {
        machine: "edge-1".to_string(),
        attempt: run.attempt,
        events: vec![event(1, "a", 6)],
        end: RunEnd::Cancelled,
    });
    let mut next = submission("later", &[2], 7);
    next.items[0].id = "job-item-0".to_string();
    fixture.set_version("replica-0", 7);
    let actions = fixture.accept(next);
    assert!(runs(&actions)[0].events.is_empty());
}

/// Guards against texts of several versions on routes that require a single one.
#[rstest]
fn a_text_of_a_single_version_route_never_mixes_versions() {
    let mut fleet = view(2, 1);
    let configuration = fleet.configuration.as_mut().expect("a configuration");
    Arc::make_mut(configuration).routes[0].single_version = true;
    let mut fixture = Fixture::new(fleet, OrderLeases::default());
    fixture.register_edge("edge-1");
    let first = runs(&fixture.accept(submission("job", &[1], 1)))[0].clone();
    assert!(first.single_version);
    let other = if first.replica == "replica-0" {
        "replica-1"
    } else {
        "replica-0"
    };
    fixture.set_version(other, 2);
    let actions = fixture.handle(Event::RunEnded {
        machine: "edge-1".to_string(),
        attempt: first.attempt,
        events: vec![event(1, "a", 1)],
        end: RunEnd::Broken,
    });
    let second = runs(&actions)[0].clone();
    assert_eq!(
        second.replica, other,
        "the first replica is paused after its fault"
    );
    assert!(second.events.is_empty(), "another version starts it anew");
    let actions = fixture.handle(Event::RunEnded {
        machine: "edge-1".to_string(),
        attempt: second.attempt,
        events: vec![event(1, "a", 2)],
        end: RunEnd::Mixed,
    });
    assert!(runs(&actions)[0].events.is_empty());
}

/// Guards against counting events twice when an old link delivers late.
#[rstest]
fn events_reported_twice_are_accepted_once() {
    let mut fixture = Fixture::new(view(1, 1), OrderLeases::default());
    fixture.register_edge("edge-1");
    let actions = fixture.accept(submission("job", &[1], 0));
    let attempt = runs(&actions)[0].attempt;
    let reported = vec![event(1, "a", 1), event(2, "b", 1)];
    for _ in 0..2 {
        fixture.handle(Event::Progress {
            machine: "edge-1".to_string(),
            attempt,
            events: reported.clone(),
            pace: None,
        });
    }
    let actions = fixture.handle(Event::RunEnded {
        machine: "edge-1".to_string(),
        attempt,
        events: vec![event(3, "c", 1)],
        end: RunEnd::Whole,
    });
    let expected = Draft {
        job: "job".to_string(),
        item: 0,
        after: 0,
        text: "a\nb\nc".into(),
        versions: vec![1],
    };
    let is_listed = |action: &Action| matches!(action, Action::Finish(draft) if *draft == expected);
    assert!(actions.iter().any(is_listed), "{actions:?}");
}

/// Guards against a result with missing events.
#[rstest]
fn a_complete_stream_with_a_gap_resumes_before_the_gap() {
    let mut fixture = Fixture::new(view(2, 1), OrderLeases::default());
    fixture.register_edge("edge-1");
    let actions = fixture.accept(submission("job", &[1], 0));
    let attempt = runs(&actions)[0].attempt;
    let actions = fixture.handle(Event::RunEnded {
        machine: "edge-1".to_string(),
        attempt,
        events: vec![event(1, "a", 1), event(3, "c", 1)],
        end: RunEnd::Whole,
    });
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::List(_) | Action::Finish(_)))
    );
    assert_eq!(runs(&actions)[0].events, vec![event(1, "a", 1)]);
}
