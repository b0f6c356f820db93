//! Placement, failover and orders, decided without I/O.

mod fixture;
mod support;

use brasspond_cluster_protocol::{Pace, RunEnd, RunReport, RunSpec};
use brasspond_dispatch::{Action, Event, OrderAnswer, OrderLeases, ReplicaReport};
use brasspond_fleet::{Identity, Life};
use brasspond_jobs::{Draft, Outcome};
use fixture::{Fixture, event, runs};
use rstest::rstest;
use support::{submission, view};

#[rstest]
fn the_longest_items_start_first_and_no_replica_is_overfull() {
    let mut fixture = Fixture::new(view(2, 3), OrderLeases::default());
    fixture.edge("edge-1");
    let actions = fixture.accept(submission("job", &[10, 50, 30, 20, 40, 60, 5, 1], 0));
    let started = runs(&actions);
    assert_eq!(started.len(), 6, "two replicas of three places");
    let items: Vec<u32> = started.iter().map(|run| run.item).collect();
    assert_eq!(items, [5, 1, 4, 2, 3, 0]);
    for replica in ["replica-0", "replica-1"] {
        let there = started.iter().filter(|run| run.replica == replica);
        assert_eq!(there.count(), 3);
    }
}

#[rstest]
fn a_whole_stream_becomes_a_result_with_its_versions() {
    let mut fixture = Fixture::new(view(1, 1), OrderLeases::default());
    fixture.edge("edge-1");
    let actions = fixture.accept(submission("job", &[1], 0));
    let run = runs(&actions)[0].clone();
    let events = vec![event(1, "a", 3), event(2, "b", 4)];
    let actions = fixture.handle(Event::Ended {
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
fn a_broken_run_goes_on_after_its_last_event_on_another_replica() {
    let mut fixture = Fixture::new(view(2, 1), OrderLeases::default());
    fixture.edge("edge-1");
    let actions = fixture.accept(submission("job", &[1], 0));
    let first = runs(&actions)[0].clone();
    let actions = fixture.handle(Event::Ended {
        machine: "edge-1".to_string(),
        attempt: first.attempt,
        events: vec![event(1, "a", 1)],
        end: RunEnd::Broken,
    });
    let second = runs(&actions)[0].clone();
    assert_ne!(second.replica, first.replica, "the faulty one rests");
    assert_eq!(second.events, vec![event(1, "a", 1)]);
}

#[rstest]
#[case::failed_often(RunEnd::Failed, 3)]
#[case::impossible(RunEnd::Impossible, 1)]
fn an_item_that_cannot_be_done_is_given_up(#[case] end: RunEnd, #[case] runs_needed: usize) {
    let mut fixture = Fixture::new(view(1, 1), OrderLeases::default());
    fixture.edge("edge-1");
    let mut actions = fixture.accept(submission("job", &[1], 0));
    for number in 1..=runs_needed {
        let run = runs(&actions)[0].clone();
        actions = fixture.handle(Event::Ended {
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

/// The cause of the first lost steps on the platform: routes were resolved
/// before the jobs of a new leader were opened.
#[rstest]
fn a_new_leader_starts_the_items_of_jobs_it_finds() {
    let mut before = Fixture::new(view(1, 4), OrderLeases::default());
    before.accept(submission("job", &[1, 2], 0));
    let mut after = before.next_leader();
    after.edge("edge-1");
    after.advance(400);
    let actions = after.handle(Event::Tick);
    assert_eq!(runs(&actions).len(), 2);
}

#[rstest]
fn a_new_leader_takes_over_runs_that_edges_hold() {
    let mut before = Fixture::new(view(1, 4), OrderLeases::default());
    before.edge("edge-1");
    let actions = before.accept(submission("job", &[1, 2], 0));
    let held = runs(&actions)[0].clone();
    let mut after = before.next_leader();
    let report = RunReport {
        attempt: held.attempt,
        job: held.job.clone(),
        item: held.item,
        replica: held.replica.clone(),
        events: vec![event(1, "a", 1)],
        end: None,
        scoring: None,
    };
    after.edge_with("edge-1", vec![report]);
    after.advance(400);
    let actions = after.handle(Event::Tick);
    let started = runs(&actions);
    assert_eq!(started.len(), 1, "only the item nobody runs");
    assert_ne!(started[0].item, held.item);
}

/// An edge tells of a run that its leader gave up: nothing else would ever end it, and it goes
/// on past the end of its job.
#[rstest]
fn a_run_that_is_not_known_is_ended_when_its_edge_tells_of_it() {
    let mut fixture = Fixture::new(view(1, 4), OrderLeases::default());
    fixture.edge("edge-1");
    let actions = fixture.accept(submission("job", &[1], 0));
    let attempt = runs(&actions)[0].attempt;
    fixture.handle(Event::EdgeDown("edge-1".to_string()));
    fixture.edge("edge-1");
    let actions = fixture.handle(Event::Progress {
        machine: "edge-1".to_string(),
        attempt,
        events: vec![event(1, "a", 1)],
        pace: None,
    });
    let cancels =
        |one: &&Action| matches!(one, Action::Cancel { attempt: one, .. } if *one == attempt);
    assert_eq!(actions.iter().filter(cancels).count(), 1);
    let actions = fixture.handle(Event::Ended {
        machine: "edge-1".to_string(),
        attempt,
        events: Vec::new(),
        end: RunEnd::Cancelled,
    });
    let forgets =
        |one: &&Action| matches!(one, Action::Recorded { attempt: one, .. } if *one == attempt);
    assert_eq!(actions.iter().filter(forgets).count(), 1);
}

/// An edge that is silent is given no more runs while another one speaks, however near it is.
#[rstest]
fn a_silent_edge_is_given_no_runs() {
    let mut fixture = Fixture::new(view(1, 8), OrderLeases::default());
    fixture.edge("edge-1");
    fixture.accept(submission("first", &[1], 0));
    fixture.edge("edge-2");
    for _ in 0..12 {
        fixture.edge_heard("edge-2");
        fixture.advance(100);
    }
    let actions = fixture.accept(submission("second", &[1, 1, 1], 0));
    let machines = actions.iter().filter_map(|action| match action {
        Action::Run { machine, .. } => Some(machine.as_str()),
        _ => None,
    });
    assert_eq!(machines.collect::<Vec<_>>(), ["edge-2"; 3]);
}

#[rstest]
fn runs_of_a_lost_edge_go_on_elsewhere() {
    let mut fixture = Fixture::new(view(1, 4), OrderLeases::default());
    fixture.edge("edge-1");
    let actions = fixture.accept(submission("job", &[1], 0));
    let run = runs(&actions)[0].clone();
    fixture.edge("edge-2");
    fixture.handle(Event::Progress {
        machine: "edge-1".to_string(),
        attempt: run.attempt,
        events: vec![event(1, "a", 1), event(2, "b", 1)],
        pace: None,
    });
    let actions = fixture.handle(Event::EdgeDown("edge-1".to_string()));
    let again = runs(&actions)[0].clone();
    assert_eq!(again.events.len(), 2);
    let machine = actions.iter().find_map(|action| match action {
        Action::Run { machine, .. } => Some(machine.as_str()),
        _ => None,
    });
    assert_eq!(machine, Some("edge-2"));
}

#[rstest]
fn an_edge_that_came_back_empty_runs_its_items_again() {
    let mut fixture = Fixture::new(view(1, 4), OrderLeases::default());
    fixture.edge("edge-1");
    fixture.accept(submission("job", &[1], 0));
    let actions = fixture.edge("edge-1");
    assert_eq!(runs(&actions).len(), 1);
}

/// Lets time pass in ticks, while the edge gives signs of life if it `speaks`;
/// returns what is done.
fn wait(fixture: &mut Fixture, ms: u64, speaks: bool) -> Vec<Action> {
    let mut actions = Vec::new();
    for _ in 0..ms / 100 {
        fixture.advance(100);
        if speaks {
            fixture.edge_heard("edge-1");
        }
        actions.extend(fixture.handle(Event::Tick));
    }
    actions
}

#[rstest]
fn a_silent_run_is_moved() {
    let mut fixture = Fixture::new(view(2, 1), OrderLeases::default());
    fixture.edge("edge-1");
    let actions = fixture.accept(submission("job", &[1], 0));
    let first = runs(&actions)[0].clone();
    assert!(runs(&wait(&mut fixture, 400, true)).is_empty());
    let actions = wait(&mut fixture, 100, true);
    assert!(actions.contains(&Action::Cancel {
        machine: "edge-1".to_string(),
        attempt: first.attempt,
    }));
    assert_ne!(runs(&actions)[0].replica, first.replica);
}

#[rstest]
fn nothing_starts_on_replicas_that_leave_or_are_too_old() {
    let mut fleet = view(3, 1);
    let replicas = std::sync::Arc::make_mut(&mut fleet.replicas);
    replicas.get_mut("replica-0").expect("there").draining = true;
    replicas.get_mut("replica-1").expect("there").models[0].version = 4;
    replicas.get_mut("replica-2").expect("there").models[0].version = 5;
    let mut fixture = Fixture::new(fleet, OrderLeases::default());
    fixture.edge("edge-1");
    let actions = fixture.accept(submission("job", &[1, 2], 5));
    let started = runs(&actions);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].replica, "replica-2");
}

#[rstest]
fn an_item_of_an_ended_job_is_stopped_and_not_started_again() {
    let mut fixture = Fixture::new(view(1, 1), OrderLeases::default());
    fixture.edge("edge-1");
    let actions = fixture.accept(submission("job", &[2, 1], 0));
    let run = runs(&actions)[0].clone();
    let actions = fixture.end("job");
    assert!(matches!(&actions[0], Action::Cancel { attempt, .. } if *attempt == run.attempt));
    let actions = fixture.handle(Event::Ended {
        machine: "edge-1".to_string(),
        attempt: run.attempt,
        events: vec![event(1, "a", 7)],
        end: RunEnd::Cancelled,
    });
    assert!(runs(&actions).is_empty());
    // The same item in a later job goes on after what was made.
    fixture.set_version("replica-0", 7);
    let mut next = submission("later", &[2], 7);
    next.items[0].id = "job-item-0".to_string();
    let actions = fixture.accept(next);
    assert_eq!(runs(&actions)[0].events, vec![event(1, "a", 7)]);
}

#[rstest]
fn text_made_under_too_old_weights_is_not_used_again() {
    let mut fixture = Fixture::new(view(1, 1), OrderLeases::default());
    fixture.edge("edge-1");
    let actions = fixture.accept(submission("job", &[2], 0));
    let run = runs(&actions)[0].clone();
    fixture.end("job");
    fixture.handle(Event::Ended {
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

fn orders(actions: &[Action]) -> Vec<(String, u64, u64)> {
    let orders = actions.iter().filter_map(|action| match action {
        Action::Order {
            replica,
            version,
            expected_orders,
            ..
        } => Some((replica.id.to_string(), *version, *expected_orders)),
        _ => None,
    });
    orders.collect()
}

/// A replica that tells no life.
fn identity(id: &str) -> Identity {
    Identity {
        id: id.into(),
        life: Life::UNKNOWN,
    }
}

fn asked(actions: &[Action]) -> Vec<String> {
    let asked = actions.iter().filter_map(|action| match action {
        Action::AskReport { replica, .. } => Some(replica.clone()),
        _ => None,
    });
    asked.collect()
}

fn report(version: u64, busy: bool, sequence: u64) -> Option<ReplicaReport> {
    Some(ReplicaReport {
        versions: vec![("model".to_string(), version)],
        busy,
        sequence,
        life: brasspond_fleet::Life::UNKNOWN,
    })
}

#[rstest]
fn two_replicas_load_at_a_time_and_half_take_each_version() {
    let mut fixture = Fixture::new(view(8, 4), OrderLeases::default());
    let mut loaded = 0;
    let mut actions = fixture.name_version(2);
    for _ in 0..10 {
        let replicas = asked(&actions);
        actions = Vec::new();
        assert!(replicas.len() <= 2);
        for replica in replicas {
            let order = fixture.handle(Event::Report {
                replica: replica.clone(),
                report: report(1, false, 0),
            });
            assert_eq!(orders(&order), [(replica.clone(), 2, 0)]);
            fixture.handle(Event::Ordered {
                replica: identity(&replica),
                answer: OrderAnswer::Taken,
            });
            fixture.advance(1_000);
            fixture.handle(Event::Tick);
            loaded += 1;
            actions.extend(fixture.handle(Event::Report {
                replica,
                report: report(2, false, 1),
            }));
        }
    }
    assert_eq!(loaded, 4);
}

#[rstest]
fn a_replica_under_another_holders_lease_is_left_alone() {
    let mut leases = OrderLeases::default();
    leases.until.insert("replica-0".to_string(), 3_000);
    let mut fixture = Fixture::new(view(1, 4), leases);
    assert!(asked(&fixture.name_version(2)).is_empty());
    fixture.advance(2_900);
    assert!(asked(&fixture.handle(Event::Tick)).is_empty());
    fixture.advance(200);
    assert_eq!(asked(&fixture.handle(Event::Tick)), ["replica-0"]);
}

/// An unanswered order may be done at any later time: it is repeated under the
/// same count, so that only one of the two counts.
#[rstest]
fn an_unanswered_order_is_repeated_under_the_same_count() {
    let mut fixture = Fixture::new(view(1, 4), OrderLeases::default());
    fixture.name_version(2);
    fixture.handle(Event::Report {
        replica: "replica-0".to_string(),
        report: report(1, false, 5),
    });
    fixture.handle(Event::Ordered {
        replica: identity("replica-0"),
        answer: OrderAnswer::Unknown,
    });
    fixture.advance(300);
    assert_eq!(asked(&fixture.handle(Event::Tick)), ["replica-0"]);
    let actions = fixture.handle(Event::Report {
        replica: "replica-0".to_string(),
        report: report(1, false, 5),
    });
    assert_eq!(orders(&actions), [("replica-0".to_string(), 2, 5)]);
}

#[rstest]
fn optional_loads_wait_until_nothing_waits() {
    let mut fixture = Fixture::new(view(1, 1), OrderLeases::default());
    fixture.edge("edge-1");
    fixture.accept(submission("job", &[2, 1], 0));
    assert!(asked(&fixture.name_version(2)).is_empty());
    assert_eq!(asked(&fixture.end("job")), ["replica-0"]);
}

/// A step ends with its longest runs: one that sits on a slower replica while a
/// faster one has room costs the whole step (llyfr-rollout, quiet-1, seed 1).
#[rstest]
fn the_last_runs_move_to_faster_replicas() {
    let mut fixture = Fixture::new(view(2, 2), OrderLeases::default());
    fixture.edge("edge-1");
    let started = runs(&fixture.accept(submission("job", &[2, 1], 0)));
    assert_ne!(started[0].replica, started[1].replica);
    let mut next = [1_u64, 1];
    for _ in 0..8 {
        fixture.advance(100);
        for (number, events_told) in [(0, 2), (1, 3)] {
            let first = next[number];
            next[number] += u64::from(events_told);
            let events = (first..next[number]).map(|id| event(id, "x", 1));
            fixture.handle(Event::Progress {
                machine: "edge-1".to_string(),
                attempt: started[number].attempt,
                events: events.collect(),
                pace: Some(Pace {
                    events: events_told,
                    span_ms: 100,
                }),
            });
        }
    }
    let actions = fixture.handle(Event::Tick);
    assert!(actions.contains(&Action::Cancel {
        machine: "edge-1".to_string(),
        attempt: started[0].attempt,
    }));
    assert!(runs(&actions).is_empty(), "its last events are waited for");
    let actions = fixture.handle(Event::Ended {
        machine: "edge-1".to_string(),
        attempt: started[0].attempt,
        events: vec![event(17, "x", 1)],
        end: RunEnd::Cancelled,
    });
    let moved = runs(&actions);
    assert_eq!(moved.len(), 1);
    assert_eq!(moved[0].item, started[0].item);
    assert_eq!(moved[0].replica, started[1].replica, "the faster one");
    assert_eq!(moved[0].events.len(), 17, "goes on after its last event");
}

/// Routes whose samples must be of one version: what was made goes on only
/// where that version is; else it begins anew (own site, quiet-1: VERSION 185).
#[rstest]
fn a_sample_of_a_single_version_is_never_mixed() {
    let mut fleet = view(2, 1);
    let configuration = fleet.configuration.as_mut().expect("there");
    std::sync::Arc::make_mut(configuration).routes[0].single_version = true;
    let mut fixture = Fixture::new(fleet, OrderLeases::default());
    fixture.edge("edge-1");
    let first = runs(&fixture.accept(submission("job", &[1], 1)))[0].clone();
    assert!(first.single_version);
    let other = if first.replica == "replica-0" {
        "replica-1"
    } else {
        "replica-0"
    };
    fixture.set_version(other, 2);
    let actions = fixture.handle(Event::Ended {
        machine: "edge-1".to_string(),
        attempt: first.attempt,
        events: vec![event(1, "a", 1)],
        end: RunEnd::Broken,
    });
    let second = runs(&actions)[0].clone();
    assert_eq!(second.replica, other, "the first rests after its fault");
    assert!(second.events.is_empty(), "another version begins anew");
    let actions = fixture.handle(Event::Ended {
        machine: "edge-1".to_string(),
        attempt: second.attempt,
        events: vec![event(1, "a", 2)],
        end: RunEnd::Mixed,
    });
    assert!(runs(&actions)[0].events.is_empty());
}

/// Found by fuzzing: replicas load the newest version only while nothing waits,
/// and the items of a job that allows nothing older waited for just that.
#[rstest]
fn a_job_that_allows_only_the_newest_version_has_replicas_loaded() {
    let mut fixture = Fixture::new(view(2, 3), OrderLeases::default());
    fixture.edge("edge-1");
    fixture.name_version(2);
    let actions = fixture.accept(submission("job", &[10, 20], 2));
    let asks = |action: &Action| matches!(action, Action::AskReport { .. });
    let loads = actions.iter().any(asks);
    assert!(
        loads,
        "a load begins with a question to the replica: {actions:?}"
    );
}

/// Found by fuzzing: an old link delivered late, after the new link's first
/// words, and the same events were taken twice.
#[rstest]
fn events_told_twice_are_taken_once() {
    let mut fixture = Fixture::new(view(1, 1), OrderLeases::default());
    fixture.edge("edge-1");
    let actions = fixture.accept(submission("job", &[1], 0));
    let attempt = runs(&actions)[0].attempt;
    let told = vec![event(1, "a", 1), event(2, "b", 1)];
    for _ in 0..2 {
        fixture.handle(Event::Progress {
            machine: "edge-1".to_string(),
            attempt,
            events: told.clone(),
            pace: None,
        });
    }
    let actions = fixture.handle(Event::Ended {
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
    let is_listed = |action: &Action| matches!(action, Action::Finish(one) if *one == expected);
    assert!(actions.iter().any(is_listed), "{actions:?}");
}

/// A stream told as whole with a gap in it is not a result; it goes on after the
/// last event before the gap.
#[rstest]
fn a_whole_stream_with_a_gap_is_no_result() {
    let mut fixture = Fixture::new(view(2, 1), OrderLeases::default());
    fixture.edge("edge-1");
    let actions = fixture.accept(submission("job", &[1], 0));
    let attempt = runs(&actions)[0].attempt;
    let actions = fixture.handle(Event::Ended {
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

/// Found by fuzzing: the cancellation was lost with the link, and the run's place
/// was never free again.
#[rstest]
fn a_run_of_an_ended_job_told_by_an_edge_that_returns_frees_its_place() {
    let mut fixture = Fixture::new(view(1, 1), OrderLeases::default());
    fixture.edge("edge-1");
    let actions = fixture.accept(submission("first", &[1], 0));
    let run = runs(&actions)[0].clone();
    fixture.end("first");
    let report = RunReport {
        attempt: run.attempt,
        job: run.job,
        item: run.item,
        replica: run.replica,
        events: Vec::new(),
        end: None,
        scoring: None,
    };
    fixture.edge_with("edge-1", vec![report]);
    let actions = fixture.accept(submission("second", &[1], 0));
    assert_eq!(runs(&actions).len(), 1, "the only place is free");
}

fn progress(fixture: &mut Fixture, run: &RunSpec, ids: std::ops::Range<u64>, event_ms: u32) {
    let events: Vec<_> = ids.map(|id| event(id, "x", 1)).collect();
    let told = u32::try_from(events.len()).expect("few");
    fixture.handle(Event::Progress {
        machine: "edge-1".to_string(),
        attempt: run.attempt,
        events,
        pace: Some(Pace {
            events: told,
            span_ms: told * event_ms,
        }),
    });
}

/// Grown deployment, quiet-1: 1,561 runs moved from slow replicas in 20 s. Room
/// was counted on replicas that could not take them, so each began again on the
/// same replica and was moved again.
#[rstest]
fn a_run_on_a_slow_replica_stays_where_no_other_fits() {
    let mut fixture = Fixture::new(view(4, 1), OrderLeases::default());
    fixture.edge("edge-1");
    fixture.set_version("replica-0", 2);
    let others = runs(&fixture.accept(submission("other", &[9, 8, 7, 6], 0)));
    let slow = others.iter().find(|run| run.replica == "replica-0");
    let slow = slow.expect("runs there").clone();
    for run in &others {
        let event_ms = if run.replica == "replica-0" { 200 } else { 30 };
        progress(&mut fixture, run, 1..6, event_ms);
    }
    for run in others.iter().filter(|run| run.attempt != slow.attempt) {
        fixture.handle(Event::Ended {
            machine: "edge-1".to_string(),
            attempt: run.attempt,
            events: Vec::new(),
            end: RunEnd::Whole,
        });
    }
    fixture.end("other");
    fixture.handle(Event::Ended {
        machine: "edge-1".to_string(),
        attempt: slow.attempt,
        events: Vec::new(),
        end: RunEnd::Cancelled,
    });
    let run = runs(&fixture.accept(submission("strict", &[5], 2)))[0].clone();
    assert_eq!(run.replica, "replica-0", "no other has the version");
    progress(&mut fixture, &run, 1..6, 200);
    let actions = fixture.handle(Event::Tick);
    assert!(
        runs(&actions).is_empty(),
        "moved to where it was: {actions:?}"
    );
}

/// An edge that stands still says nothing of its runs: the replicas are well.
#[rstest]
#[case::edge_spoke_since(true, "replica-1")]
#[case::edge_silent(false, "replica-0")]
fn a_silent_edge_is_no_fault_of_its_replicas(#[case] speaks: bool, #[case] next: &str) {
    let mut fixture = Fixture::new(view(2, 1), OrderLeases::default());
    fixture.edge("edge-1");
    let run = runs(&fixture.accept(submission("job", &[1], 0)))[0].clone();
    assert_eq!(run.replica, "replica-0");
    let moved = runs(&wait(&mut fixture, 1_000, speaks));
    assert_eq!(moved[0].replica, next, "a faulty replica rests");
}

/// A leader that stood still itself has heard nothing; its runs are not moved.
#[rstest]
fn standing_still_moves_no_runs() {
    let mut fixture = Fixture::new(view(2, 1), OrderLeases::default());
    fixture.edge("edge-1");
    fixture.accept(submission("job", &[1], 0));
    fixture.advance(100);
    fixture.handle(Event::Tick);
    fixture.advance(5_000);
    assert!(runs(&fixture.handle(Event::Tick)).is_empty());
}

/// Grown deployment, quiet-1: two of 48 replicas loaded at a time, and a version
/// was out of date before those that needed it had it.
#[rstest]
#[case::few(9, 2)]
#[case::many(40, 8)]
#[case::a_large_fleet(200, 40)]
#[case::thousands(2_000, 64)]
fn a_fifth_of_the_replicas_loads_at_a_time_at_first(#[case] replicas: usize, #[case] loads: usize) {
    let mut fixture = Fixture::new(view(replicas, 1), OrderLeases::default());
    fixture.edge("edge-1");
    assert_eq!(asked(&fixture.name_version(3)).len(), loads);
}

#[rstest]
fn an_edge_with_a_connection_at_rest_runs_the_next_item_there() {
    let mut fixture = Fixture::new(view(1, 1), OrderLeases::default());
    fixture.edge("edge-2");
    let first = runs(&fixture.accept(submission("first", &[1], 0)))[0].clone();
    fixture.edge("edge-1");
    fixture.handle(Event::Ended {
        machine: "edge-2".to_string(),
        attempt: first.attempt,
        events: vec![event(1, "a", 1)],
        end: RunEnd::Whole,
    });
    let actions = fixture.accept(submission("second", &[1], 0));
    let machine = actions.iter().find_map(|action| match action {
        Action::Run { machine, .. } => Some(machine.as_str()),
        _ => None,
    });
    assert_eq!(machine, Some("edge-2"));
}

/// llyfr-rollout, quiet-1: runs were moved off a replica about to load, and begun
/// on it again while its state was being asked for.
#[rstest]
fn nothing_begins_on_a_replica_about_to_load() {
    let mut fixture = Fixture::new(view(1, 3), OrderLeases::default());
    fixture.edge("edge-1");
    assert_eq!(asked(&fixture.name_version(2)), ["replica-0"]);
    let actions = fixture.accept(submission("job", &[1], 0));
    assert!(runs(&actions).is_empty(), "{actions:?}");
}

/// An edge that does not tell a run's last events holds it up only for a while.
#[rstest]
fn a_run_that_is_not_handed_over_goes_on_from_what_is_known() {
    let mut fixture = Fixture::new(view(2, 1), OrderLeases::default());
    fixture.edge("edge-1");
    let started = runs(&fixture.accept(submission("job", &[2, 1], 0)));
    progress(&mut fixture, &started[0], 1..12, 200);
    progress(&mut fixture, &started[1], 1..12, 30);
    fixture.handle(Event::Ended {
        machine: "edge-1".to_string(),
        attempt: started[1].attempt,
        events: Vec::new(),
        end: RunEnd::Whole,
    });
    assert!(runs(&wait(&mut fixture, 300, true)).is_empty(), "waits");
    let moved = runs(&wait(&mut fixture, 100, true));
    assert_eq!(moved.len(), 1);
    assert_eq!(moved[0].replica, started[1].replica, "the faster one");
    assert_eq!(moved[0].events.len(), 11);
}

/// The model with longer answers needs more places for as many items.
#[rstest]
fn replicas_are_divided_by_what_models_are_asked_for() {
    let mut fleet = view(9, 4);
    let configuration = fleet.configuration.as_mut().expect("there");
    let service = &mut std::sync::Arc::make_mut(configuration).services[0];
    service.models.push("other".to_string());
    let mut fixture = Fixture::new(fleet, OrderLeases::default());
    fixture.edge("edge-1");
    let mut short = submission("short", &[10; 6], 0);
    short.model = "other".to_string();
    fixture.accept(short);
    fixture.accept(submission("long", &[20; 6], 0));
    // Two more versions: all replicas of the model must load.
    let first = asked(&fixture.name_version(3));
    let mut loading: std::collections::BTreeSet<String> = first.into_iter().collect();
    for _ in 0..40 {
        fixture.advance(100);
        for replica in loading.clone() {
            let actions = fixture.handle(Event::Report {
                replica,
                report: Some(ReplicaReport {
                    versions: vec![("model".to_string(), 3)],
                    busy: false,
                    sequence: 1,
                    life: brasspond_fleet::Life::UNKNOWN,
                }),
            });
            loading.extend(asked(&actions));
        }
    }
    assert_eq!(loading.len(), 6, "two thirds of nine");
}

/// llyfr-rollout, inc-4ead: one replica went from model to model and back with
/// each job, since the newest job weighed a fifth of all.
#[rstest]
fn jobs_that_come_in_turn_move_no_replica_to_and_fro() {
    let mut fleet = view(9, 16);
    let configuration = fleet.configuration.as_mut().expect("there");
    let service = &mut std::sync::Arc::make_mut(configuration).services[0];
    service.models.push("other".to_string());
    let mut fixture = Fixture::new(fleet, OrderLeases::default());
    fixture.edge("edge-1");
    for step in 0..12 {
        let mut placed = Vec::new();
        for (model, tokens) in [("model", 26), ("other", 16)] {
            let id = format!("{model}-{step}");
            let mut job = submission(&id, &[tokens; 12], 0);
            job.model = model.to_string();
            let started = runs(&fixture.accept(job));
            placed.extend(started.iter().map(|run| (run.replica.clone(), model)));
            fixture.end(&id);
            for run in started {
                fixture.handle(Event::Ended {
                    machine: "edge-1".to_string(),
                    attempt: run.attempt,
                    events: Vec::new(),
                    end: RunEnd::Cancelled,
                });
            }
            fixture.advance(20);
        }
        wait(&mut fixture, 4_000, true);
        placed.sort();
        placed.dedup();
        let replicas: std::collections::BTreeSet<_> =
            placed.iter().map(|(replica, _)| replica).collect();
        let is_settled = step > 0;
        assert!(!is_settled || replicas.len() == placed.len(), "{placed:?}");
    }
}
