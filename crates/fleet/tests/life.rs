//! Tests of which reported life of a replica becomes the known one.

use brasspond_fleet::{LOWER_LIFE_ACCEPTED_AFTER_MS, Life, LifeChange, Lives};
use proptest::prelude::*;
use rstest::rstest;
use std::sync::Arc;

const OLD: Life = Life::reported(1_000);
const NEW: Life = Life::reported(2_000);

fn one() -> Arc<str> {
    "one".into()
}

fn restarted(before: Life) -> LifeChange {
    LifeChange::Restarted { before }
}

/// Guards against treating an unknown life as one that began at 0.
#[rstest]
fn an_unknown_life_differs_from_every_reported_one() {
    assert_ne!(Life::UNKNOWN, Life::reported(0));
    assert!(Life::UNKNOWN < Life::reported(0));
    assert!(OLD < NEW);
}

/// Guards against returning to an older life, whether an entry or the replica reports it.
#[rstest]
fn an_older_life_is_ignored() {
    let mut lives = Lives::default();
    assert_eq!(lives.observe_entry(&one(), OLD, 5, 0), LifeChange::First);
    assert_eq!(lives.observe_report("one", NEW, 10), restarted(OLD));
    assert_eq!(lives.observe_entry(&one(), OLD, 5, 20), LifeChange::Older);
    assert_eq!(lives.observe_report("one", OLD, 30), LifeChange::Older);
    assert_eq!(lives.observe_entry(&one(), NEW, 6, 40), LifeChange::Same);
    assert_eq!(lives.of("one"), NEW);
}

/// Guards against detecting a restart because of a report without a life.
#[rstest]
fn reports_without_a_life_count_as_the_known_one() {
    let mut lives = Lives::default();
    assert_eq!(
        lives.observe_entry(&one(), Life::UNKNOWN, 1, 0),
        LifeChange::First
    );
    assert_eq!(
        lives.observe_report("one", Life::UNKNOWN, 10),
        LifeChange::Same
    );
    assert_eq!(
        lives.observe_report("one", OLD, 20),
        restarted(Life::UNKNOWN)
    );
    assert_eq!(
        lives.observe_entry(&one(), Life::UNKNOWN, 2, 30),
        LifeChange::Same
    );
    assert_eq!(lives.of("one"), OLD);
}

/// Guards against ignoring a replica forever after the clock of its machine was set back.
#[rstest]
fn a_lower_life_becomes_known_after_the_set_back_time() {
    let mut lives = Lives::default();
    lives.observe_entry(&one(), NEW, 5, 0);
    assert_eq!(lives.observe_entry(&one(), OLD, 6, 10), LifeChange::Older);
    assert_eq!(
        lives.observe_report("one", OLD, 9 + LOWER_LIFE_ACCEPTED_AFTER_MS),
        LifeChange::Older
    );
    assert_eq!(
        lives.observe_report("one", OLD, 10 + LOWER_LIFE_ACCEPTED_AFTER_MS),
        restarted(NEW)
    );
    assert_eq!(lives.of("one"), OLD);
}

/// Guards against a late report of the known life that discards the lower life.
#[rstest]
fn a_late_report_postpones_a_set_back() {
    let mut lives = Lives::default();
    lives.observe_entry(&one(), NEW, 5, 0);
    lives.observe_entry(&one(), OLD, 6, 10);
    assert_eq!(lives.observe_report("one", NEW, 500), LifeChange::Same);
    assert!(lives.is_uncertain());
    let change = lives.observe_entry(&one(), OLD, 6, 499 + LOWER_LIFE_ACCEPTED_AFTER_MS);
    assert_eq!(change, LifeChange::Older);
    let change = lives.observe_entry(&one(), OLD, 6, 500 + LOWER_LIFE_ACCEPTED_AFTER_MS);
    assert_eq!(change, restarted(NEW));
}

/// Guards against taking repeated reads of a stale entry for a set-back clock.
#[rstest]
fn a_stale_entry_is_not_a_set_back() {
    let mut lives = Lives::default();
    lives.observe_entry(&one(), OLD, 5, 0);
    lives.observe_report("one", NEW, 10);
    for step in 1..10 {
        let change = lives.observe_entry(&one(), OLD, 5, step * LOWER_LIFE_ACCEPTED_AFTER_MS);
        assert_eq!(change, LifeChange::Older);
    }
    // The old life writes its entry late, and the new life overwrites it.
    assert_eq!(
        lives.observe_entry(&one(), OLD, 6, 200_000),
        LifeChange::Older
    );
    assert_eq!(
        lives.observe_entry(&one(), NEW, 7, 203_000),
        LifeChange::Same
    );
    let later = 203_000 + LOWER_LIFE_ACCEPTED_AFTER_MS;
    assert_eq!(
        lives.observe_entry(&one(), OLD, 7, later),
        LifeChange::Older
    );
}

/// Guards against forgetting a life while delayed messages of an earlier one may arrive.
#[rstest]
fn lives_of_removed_replicas_expire() {
    let mut lives = Lives::default();
    lives.observe_entry(&one(), NEW, 5, 0);
    lives.forget_gone(|_| true, 100_000);
    lives.forget_gone(|_| false, 130_000);
    assert_eq!(lives.observe_report("one", OLD, 130_000), LifeChange::Older);
    lives.forget_gone(|_| false, 160_000);
    assert_eq!(lives.of("one"), Life::UNKNOWN);
}

proptest! {
    /// Guards against losing the highest life by any order of reports within the set-back time.
    #[test]
    fn the_highest_life_becomes_known(reports in prop::collection::vec((0u64..4, any::<bool>()), 1..40)) {
        let mut lives = Lives::default();
        let mut highest = Life::UNKNOWN;
        for (step, (started_at, is_entry)) in reports.iter().enumerate() {
            let life = if *started_at == 0 { Life::UNKNOWN } else { Life::reported(*started_at) };
            let step = step as u64;
            let change = if *is_entry {
                lives.observe_entry(&one(), life, step, step)
            } else {
                lives.observe_report("one", life, step)
            };
            let is_first = step == 0;
            let is_newer = life > highest;
            prop_assert_eq!(change == LifeChange::First, is_first);
            let is_restarted = matches!(change, LifeChange::Restarted { .. });
            prop_assert_eq!(is_restarted, is_newer && !is_first);
            highest = highest.max(life);
            prop_assert_eq!(lives.of("one"), highest);
        }
    }
}
