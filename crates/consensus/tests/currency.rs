//! A follower knows whether it may answer reads.

use brasspond_consensus::{Consensus, Entry, Message, Payload, Persisted, Timing};
use bytes::Bytes;
use rstest::rstest;

const LEADER: u64 = 1;
const WINDOW: u64 = 400;

fn follower() -> Consensus {
    Consensus::new(2, Persisted::default(), Timing::default(), 7, 0)
}

fn entry(index: u64) -> Entry {
    Entry {
        term: 1,
        index,
        payload: Payload::Command(Bytes::from_static(b"command")),
    }
}

/// An append of entries after `previous`, as a leader sends it.
fn append(previous: u64, entries: Vec<Entry>, read_index: Option<u64>) -> Message {
    Message::Append {
        term: 1,
        previous_index: previous,
        previous_term: u64::from(previous > 0),
        commit: previous + entries.len() as u64,
        entries,
        read_index,
        sent_at: 0,
    }
}

fn take(follower: &mut Consensus, message: Message, now: u64) {
    follower.receive(LEADER, message, now);
    follower.persisted(follower.last_index());
    follower.take_committed(usize::MAX);
}

/// A follower that has heard from its leader for a while.
fn hearing_its_leader() -> Consensus {
    let mut follower = follower();
    take(&mut follower, append(0, vec![entry(1)], Some(1)), 1_000);
    take(&mut follower, append(1, vec![], Some(1)), 1_150);
    take(&mut follower, append(1, vec![], Some(1)), 1_300);
    follower
}

#[rstest]
fn a_follower_that_hears_its_leader_is_current_for_a_while() {
    let follower = hearing_its_leader();
    assert!(follower.is_current(WINDOW, 1_300 + WINDOW));
    assert!(!follower.is_current(WINDOW, 1_301 + WINDOW));
}

#[rstest]
fn a_follower_that_lacks_entries_is_current_as_of_the_first_it_lacks() {
    let mut follower = hearing_its_leader();
    take(&mut follower, append(1, vec![], Some(3)), 1_400);
    take(&mut follower, append(1, vec![], Some(3)), 1_550);
    take(&mut follower, append(1, vec![], Some(4)), 1_700);
    assert!(!follower.is_current(WINDOW, 1_750), "as of 1,300");
    take(
        &mut follower,
        append(1, vec![entry(2), entry(3)], Some(4)),
        1_760,
    );
    assert!(follower.is_current(WINDOW, 1_800), "as of 1,400");
    assert!(!follower.is_current(WINDOW, 1_801));
}

#[rstest]
fn an_unconfirmed_leader_keeps_no_follower_current() {
    let mut follower = hearing_its_leader();
    for now in [1_450, 1_600, 1_750] {
        take(&mut follower, append(1, vec![], None), now);
    }
    assert!(!follower.is_current(WINDOW, 1_750));
}

/// Messages that waited in a socket while the process was suspended are old.
#[rstest]
fn messages_after_a_suspension_do_not_count_at_first() {
    let mut follower = hearing_its_leader();
    take(&mut follower, append(1, vec![], Some(1)), 4_000);
    assert!(!follower.is_current(WINDOW, 4_001));
    take(&mut follower, append(1, vec![], Some(1)), 4_150);
    assert!(!follower.is_current(WINDOW, 4_150));
    take(&mut follower, append(1, vec![], Some(1)), 4_300);
    assert!(follower.is_current(WINDOW, 4_300));
}
