//! Answers of a leader that loses its leadership while questions wait for the commit of their
//! entries.

use super::fixture::{Member, SUCCESSOR, accept, end, in_event_loop, submit};
use brasspond_cluster_protocol::Answer;
use brasspond_consensus::Message;
use brasspond_jobs::Command;
use rstest::rstest;

/// Command that exceeds the bytes applied at once, so that entries after it are applied later.
fn large_command() -> Command {
    Command::Remember {
        revision: 0,
        view: vec![0; 256 * 1024].into(),
    }
}

/// Guards against a 202 for a job that is lost: the leader is suspended with entries that no other
/// member has, and then reads in one turn that its successor committed other entries in their place.
#[rstest]
#[case::in_the_same_place(vec![accept("other")])]
#[case::applied_later(vec![large_command(), accept("other")])]
#[case::of_another_kind(vec![Command::End { job: "other".into() }])]
#[tokio::test]
async fn entries_of_the_next_leader_acknowledge_no_submission(#[case] commands: Vec<Command>) {
    in_event_loop(async {
        let mut member = Member::leader();
        let mut expected = Vec::new();
        for number in 0..commands.len() as u64 {
            member.ask(number, submit(&format!("job-{number}"), None));
            expected.push((number, Answer::Unknown));
        }
        member.turn();
        member.replace_uncommitted(commands);
        member.turn();
        assert_eq!(member.replies(), expected);
    })
    .await;
}

/// Guards against a 200 for the end of a job that goes on: the entry of the end was replaced.
#[tokio::test]
async fn entries_of_the_next_leader_acknowledge_no_end() {
    in_event_loop(async {
        let mut member = Member::leader();
        member.ask(1, submit("job", None));
        member.commit();
        assert_eq!(member.replies(), [(1, Answer::Done)]);
        member.ask(2, end("job"));
        member.turn();
        member.replace_uncommitted(vec![accept("other")]);
        member.turn();
        assert_eq!(member.replies(), [(2, Answer::Unknown)]);
    })
    .await;
}

/// Guards against a requester that is answered "unknown", and submits again, although its entry is
/// committed by the next leader.
#[tokio::test]
async fn an_entry_committed_by_the_next_leader_is_acknowledged() {
    in_event_loop(async {
        let mut member = Member::leader();
        member.ask(1, submit("job", None));
        member.turn();
        member.commit_by_successor();
        member.turn();
        assert_eq!(member.replies(), [(1, Answer::Done)]);
    })
    .await;
}

/// Guards against a requester that waits for ever, or is acknowledged, after a snapshot replaced
/// its entry.
#[tokio::test]
async fn a_snapshot_in_place_of_an_entry_does_not_acknowledge_it() {
    in_event_loop(async {
        let mut member = Member::leader();
        member.ask(1, submit("job", None));
        member.turn();
        let snapshot = member.snapshot_beyond_log();
        let term = member.term() + 1;
        member.receive(
            SUCCESSOR,
            Message::Install {
                term,
                snapshot,
                sent_at: 0,
            },
        );
        member.turn();
        assert_eq!(member.replies(), [(1, Answer::Unknown)]);
    })
    .await;
}

/// Guards against an answer to a question of an earlier term by an entry of a later one, where the
/// process led in both.
#[tokio::test]
async fn a_leader_elected_again_acknowledges_no_replaced_entry() {
    in_event_loop(async {
        let mut member = Member::leader();
        member.ask(1, submit("job", None));
        member.turn();
        member.truncate_uncommitted();
        member.turn();
        member.win_election();
        member.ask(2, submit("other", None));
        member.commit();
        assert_eq!(member.replies(), [(1, Answer::Unknown), (2, Answer::Done)]);
    })
    .await;
}
