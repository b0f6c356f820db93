//! When the event loop must run for the polls of a storage process.

use super::{Poll, Questions, Requester};
use crate::storage::long_poll::LongPoll;
use brasspond_units::Millis;
use rstest::rstest;

fn poll_due_at(due: Millis) -> Poll {
    Poll {
        requester: Requester {
            link: 1,
            number: 1,
            asked_at: 0,
        },
        job: "job".to_string(),
        since: 0,
        tenant: None,
        poll: LongPoll::new(0, due, None),
    }
}

/// Guards against a loop that runs again and again for a poll that waits for room, or for none.
#[rstest]
#[case::no_poll(None, Some(40), None)]
#[case::waits_for_room(Some(30), Some(40), Some(40))]
#[case::due_later(Some(50), Some(40), Some(50))]
#[case::nothing_waits_for_room(Some(30), None, Some(30))]
fn the_next_wake_is_of_a_poll_that_can_be_answered(
    #[case] due: Option<Millis>,
    #[case] retry_at: Option<Millis>,
    #[case] expected: Option<Millis>,
) {
    let questions = Questions {
        polls: due.map(poll_due_at).into_iter().collect(),
        retry_at,
        ..Questions::default()
    };
    assert_eq!(questions.next_due(), expected);
}
