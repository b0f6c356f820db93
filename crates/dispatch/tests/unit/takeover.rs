//! Guards against losing or duplicating runs that edges report: [`adoption`].

use super::{Adoption, adoption};
use crate::job_run::State;
use brasspond_cluster_protocol::AttemptId;
use rstest::rstest;

const THIS: AttemptId = AttemptId { term: 1, number: 7 };
const OTHER: AttemptId = AttemptId { term: 2, number: 3 };

#[rstest]
#[case::its_item_waits(Some(State::Waiting), Adoption::Adopt { replaces: None })]
#[case::known_as_the_run_of_its_item(Some(State::Running(THIS)), Adoption::Known)]
#[case::its_item_runs_elsewhere(Some(State::Running(OTHER)), Adoption::Cancel)]
#[case::known_as_the_scoring(Some(State::Scoring(Some(THIS))), Adoption::KnownScoring)]
#[case::scored_elsewhere(Some(State::Scoring(Some(OTHER))), Adoption::Cancel)]
#[case::waits_for_a_scoring_order(Some(State::Scoring(None)), Adoption::Cancel)]
#[case::about_to_be_listed(Some(State::Ending(None)), Adoption::Cancel)]
#[case::listed(Some(State::Listed), Adoption::Cancel)]
#[case::unknown_item(None, Adoption::Cancel)]
fn an_unfinished_run_is(#[case] state: Option<State>, #[case] expected: Adoption) {
    assert_eq!(adoption(state.as_ref(), THIS, false), expected);
}

#[rstest]
#[case::it_replaces_another_run(
    Some(State::Running(OTHER)),
    Adoption::Adopt { replaces: Some(OTHER) }
)]
#[case::known_as_the_run_of_its_item(Some(State::Running(THIS)), Adoption::Known)]
#[case::its_item_is_scored_elsewhere(Some(State::Scoring(Some(OTHER))), Adoption::Cancel)]
fn a_run_with_a_complete_text_is(#[case] state: Option<State>, #[case] expected: Adoption) {
    assert_eq!(adoption(state.as_ref(), THIS, true), expected);
}
