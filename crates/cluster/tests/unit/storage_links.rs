//! Time without a leader, validity of orders, and questions for the members.

use super::{LinkAction, StorageLinks};
use crate::link::{LinkContext, LinkEvent, Writer};
use brasspond_cluster_protocol::{Answer, AttemptId, Message, Peer, ScoringSpec, Watch};
use brasspond_fleet::Regions;
use brasspond_jobs::ScoringCall;
use bytes::Bytes;
use rstest::rstest;
use std::rc::Rc;
use tokio::sync::mpsc;

const LINK: u64 = 1;

fn leading() -> Message {
    Message::Leading {
        term: 2,
        members: Vec::new(),
        standbys: Vec::new(),
        watch: Watch::Nothing,
        time: None,
        is_busy: false,
        closed_window: None,
    }
}

fn storage_links() -> StorageLinks {
    let (events, _) = mpsc::channel(1);
    let hello = Peer::Edge {
        machine: "edge-1".to_string(),
        zone: "zone".to_string(),
        incarnation: 1,
        region: None,
        features: 0,
    };
    let place = brasspond_distance::Place::new("zone", None);
    let context = Rc::new(LinkContext::new(place));
    StorageLinks::new(hello, false, events, context)
}

fn address() -> std::net::SocketAddr {
    "127.0.0.1:1".parse().expect("address")
}

fn up() -> LinkEvent {
    up_with(Writer::detached())
}

fn up_with(writer: Writer) -> LinkEvent {
    LinkEvent::Up {
        link: LINK,
        writer,
        peer: None,
        address: address(),
    }
}

fn arrived(message: Message) -> LinkEvent {
    LinkEvent::Message {
        link: LINK,
        message,
    }
}

fn score_order(registration: u64) -> Message {
    let call = ScoringCall {
        id: "score".to_string(),
        host: "host".to_string(),
        path: "/".to_string(),
        body: Bytes::new(),
    };
    let spec = ScoringSpec {
        attempt: AttemptId { term: 2, number: 1 },
        job: "job".to_string(),
        item_id: "item".to_string(),
        call,
        regions: Regions::default(),
        ran_out: 0,
    };
    Message::Score {
        registration,
        spec: Box::new(spec),
    }
}

/// Guards against work that no leader would cancel: an order sent before the registration is not
/// tracked by the leader.
#[rstest]
fn an_order_from_before_the_newest_registration_is_refused() {
    let mut links = storage_links();
    links.on_link(up(), 0);
    links.on_link(arrived(leading()), 10);
    let registration = links.begin_registration(10);
    let accepted = links.on_link(arrived(score_order(registration)), 20);
    assert!(matches!(accepted[..], [LinkAction::Score(_)]));
    links.begin_registration(30);
    assert!(
        links
            .on_link(arrived(score_order(registration)), 40)
            .is_empty()
    );
}

/// Guards against an edge whose runs stay unknown to a leader that has dropped the edge.
#[rstest]
fn runs_are_registered_again_with_a_leader_that_knows_none() {
    let mut links = storage_links();
    links.on_link(up(), 0);
    links.on_link(arrived(leading()), 10);
    links.begin_registration(10);
    let registered = |registration| arrived(Message::Registered(registration));
    assert!(links.on_link(registered(None), 20).is_empty());
    // The edge was suspended and receives a message of the same leader before the next tick.
    let actions = links.on_link(arrived(leading()), 2_000);
    assert!(
        !actions
            .iter()
            .any(|one| matches!(one, LinkAction::NewLeader(_)))
    );
    let actions = links.on_link(registered(None), 2_000);
    assert!(matches!(actions[..], [LinkAction::RegisterRuns(2)]));
}

/// Guards against counting the time before a leader that was known only briefly.
#[rstest]
fn a_briefly_known_leader_resets_the_time_without_one() {
    let mut links = storage_links();
    assert_eq!(links.contact.measure_leaderless(0), 0);
    links.on_link(up(), 100);
    links.on_link(arrived(leading()), 150);
    assert!(links.contact.leader().is_some());
    // The process is suspended until its leader has timed out.
    links.tick(0, 2_500);
    assert!(links.contact.leader().is_none());
    assert_eq!(links.contact.measure_leaderless(2_500), 0);
    assert_eq!(links.contact.measure_leaderless(2_700), 200);
}

/// Guards against asking processes that opened the link themselves: only dialled ones are asked.
#[rstest]
#[case::dialled(true, 1)]
#[case::of_another_process(false, 0)]
#[tokio::test]
async fn dialled_storage_processes_are_asked_for_the_members(
    #[case] dials: bool,
    #[case] asked: usize,
) {
    let test = async {
        let mut links = storage_links();
        if dials {
            assert!(links.dial_to(address()), "the first call starts a dialer");
            assert!(
                !links.dial_to(address()),
                "the second call finds the dialer"
            );
        }
        let (writer, _queue) = Writer::detached_with_queue();
        links.on_link(up_with(writer), 0);
        let answers = links.ask_for_members();
        assert_eq!(answers.len(), asked);
        for answer in answers {
            let reply = Message::Reply {
                number: 1,
                answer: Answer::Members(Vec::new()),
            };
            links.on_link(arrived(reply), 10);
            assert!(matches!(answer.await, Ok(Answer::Members(_))));
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Guards against observations sent to a leader that cannot read them, which would close the link:
/// an old leader sends no list, and neither does a process that does not lead.
#[rstest]
fn observations_are_sent_only_to_a_leader_that_sent_a_list() {
    let mut links = storage_links();
    let list = || arrived(Message::ReplicaLoads(Vec::new()));
    links.on_link(up(), 0);
    assert!(links.on_link(list(), 5).is_empty());
    links.on_link(arrived(leading()), 10);
    assert!(links.observations_writer().is_none());
    let actions = links.on_link(list(), 20);
    assert!(matches!(actions[..], [LinkAction::ReplicaLoads(_)]));
    assert!(links.observations_writer().is_some());
}

/// Guards against observations sent to the next leader because the lost one accepted them.
#[rstest]
fn the_next_leader_is_sent_no_observations_before_its_list() {
    const NEXT_LINK: u64 = 2;
    let mut links = storage_links();
    links.on_link(up(), 0);
    links.on_link(arrived(leading()), 10);
    links.on_link(arrived(Message::ReplicaLoads(Vec::new())), 20);
    // The leader falls silent.
    links.tick(0, 2_500);
    assert!(links.observations_writer().is_none());
    let on_next = |message| LinkEvent::Message {
        link: NEXT_LINK,
        message,
    };
    let LinkEvent::Up { writer, .. } = up() else {
        unreachable!("the event is that of a new link");
    };
    links.on_link(
        LinkEvent::Up {
            link: NEXT_LINK,
            writer,
            peer: None,
            address: address(),
        },
        2_600,
    );
    links.on_link(on_next(leading()), 2_700);
    assert!(links.observations_writer().is_none());
    // A list that the lost leader sent is ignored.
    let late = links.on_link(arrived(Message::ReplicaLoads(Vec::new())), 2_710);
    assert!(late.is_empty());
    links.on_link(on_next(Message::ReplicaLoads(Vec::new())), 2_720);
    assert!(links.observations_writer().is_some());
}
