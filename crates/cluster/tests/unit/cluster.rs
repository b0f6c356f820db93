//! For how long an edge has been without a leader, and whose orders it follows.

use super::{Cluster, LinkAction};
use crate::link::{LinkContext, LinkEvent, Writer};
use brasspond_cluster_protocol::{AttemptId, Message, Peer, ScoringSpec, Watch};
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

fn edge_cluster() -> Cluster {
    let (events, _) = mpsc::channel(1);
    let hello = Peer::Edge {
        machine: "edge-1".to_string(),
        zone: "zone".to_string(),
        incarnation: 1,
        region: None,
    };
    let place = brasspond_distance::Place::new("zone", None);
    let context = Rc::new(LinkContext::new(place));
    Cluster::new(hello, false, events, context)
}

fn up() -> LinkEvent {
    LinkEvent::Up {
        link: LINK,
        writer: Writer::detached(),
        peer: None,
        address: "127.0.0.1:1".parse().expect("address"),
    }
}

fn told(message: Message) -> LinkEvent {
    LinkEvent::Message {
        link: LINK,
        message,
    }
}

fn forgotten_score(registration: u64) -> Message {
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

/// An order that was under way while this edge told its runs is of a leader that has given it
/// up since: nobody would end what it begins.
#[rstest]
fn an_order_given_before_the_runs_were_told_is_not_followed() {
    let mut cluster = edge_cluster();
    cluster.on_link(up(), 0);
    cluster.on_link(told(leading()), 10);
    let registration = cluster.begin_registration(10);
    let followed = cluster.on_link(told(forgotten_score(registration)), 20);
    assert!(matches!(followed[..], [LinkAction::Score(_)]));
    cluster.begin_registration(30);
    assert!(
        cluster
            .on_link(told(forgotten_score(registration)), 40)
            .is_empty()
    );
}

/// A leader that gave this edge up without this edge's noticing is told the runs again.
#[rstest]
fn a_leader_that_holds_nothing_is_told_the_runs_again() {
    let mut cluster = edge_cluster();
    cluster.on_link(up(), 0);
    cluster.on_link(told(leading()), 10);
    cluster.begin_registration(10);
    let registered = |registration| told(Message::Registered(registration));
    assert!(cluster.on_link(registered(None), 20).is_empty());
    // It stood still, and hears the same leader before it looks at the silence.
    let actions = cluster.on_link(told(leading()), 2_000);
    assert!(
        !actions
            .iter()
            .any(|one| matches!(one, LinkAction::NewLeader(_)))
    );
    let actions = cluster.on_link(registered(None), 2_000);
    assert!(matches!(actions[..], [LinkAction::RegisterRuns(2)]));
}

/// A leader that was known for less than a look ends the time without one.
#[rstest]
fn a_leader_known_for_a_moment_ends_the_time_alone() {
    let mut cluster = edge_cluster();
    assert_eq!(cluster.leaderless_for(0), 0);
    cluster.on_link(up(), 100);
    cluster.on_link(told(leading()), 150);
    assert!(cluster.leader().is_some());
    // The process stands still until its leader counts as silent.
    cluster.tick(0, 2_500);
    assert!(cluster.leader().is_none());
    assert_eq!(cluster.leaderless_for(2_500), 0);
    assert_eq!(cluster.leaderless_for(2_700), 200);
}
