//! When held reads are answered.

use brasspond_cluster::storage::gathering::Gathering;
use rstest::rstest;

/// Plays results that come at these times; gives when the read is answered and how
/// many it brings.
fn answered(asked_at: u64, wait: u64, results: &[u64], items: usize) -> (u64, usize) {
    let mut gathering = Gathering::new(asked_at + wait);
    for now in asked_at.. {
        let there = results.iter().filter(|at| **at <= now).count();
        gathering.note(there, there == items, now);
        if now >= gathering.due_at() {
            return (now, there);
        }
    }
    unreachable!("every read is answered")
}

#[rstest]
#[case::nothing_comes(&[], (1_000, 0))]
#[case::one_comes(&[400], (520, 1))]
#[case::several_together(&[400, 480, 590, 690], (650, 3))]
#[case::they_go_on_coming(&[400, 450, 500, 550, 600, 640], (650, 6))]
#[case::one_is_there_already(&[0], (120, 1))]
#[case::late_in_the_hold(&[950], (1_000, 1))]
fn results_that_end_together_are_read_together(
    #[case] results: &[u64],
    #[case] answer: (u64, usize),
) {
    assert_eq!(answered(0, 1_000, results, 100), answer);
}

/// Nothing is waited for once all is there, nor where the reader does not wait.
#[rstest]
#[case::the_last_result(1_000, &[300, 310], 2, (310, 2))]
#[case::no_hold(0, &[0], 5, (0, 1))]
#[case::no_hold_and_nothing(0, &[], 5, (0, 0))]
fn a_read_is_answered_at_once(
    #[case] wait: u64,
    #[case] results: &[u64],
    #[case] items: usize,
    #[case] answer: (u64, usize),
) {
    assert_eq!(answered(0, wait, results, items), answer);
}
