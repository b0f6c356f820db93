//! A process that leads again in a later term.

use super::fixture::{EARLY_ELECTION, Member, OWN, SUCCESSOR, in_event_loop};
use brasspond_consensus::Message;

/// Guards against a leader that goes on with the state of an earlier term, whose orders and
/// registrations are void, after it was elected again within one turn. The only voter of a group is
/// elected without a message.
#[tokio::test]
async fn a_leader_of_a_new_term_begins_anew() {
    in_event_loop(async {
        let mut member = Member::in_group(&[OWN]);
        member.advance_clock(EARLY_ELECTION);
        member.turn();
        member.turn();
        let first = member.leader_term();
        assert_eq!(first, Some(member.term()));
        member.advance_clock(EARLY_ELECTION);
        member.receive(
            SUCCESSOR,
            Message::Vote {
                term: member.term() + 1,
                last_index: 0,
                last_term: 0,
                probe: false,
                transfer: false,
            },
        );
        member.turn();
        assert!(member.storage.consensus.is_leader());
        assert_ne!(member.leader_term(), first);
        member.turn();
        assert_eq!(member.leader_term(), Some(member.term()));
    })
    .await;
}
