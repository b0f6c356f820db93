//! A member of a group of three, driven by messages of the other two.

use crate::clock::Clock;
use crate::link::{LinkEvent, LinkId, Writer};
use crate::platform::{
    Call, GroupRecord, HeaderNames, Interest, Observed, Platform, Registry, RegistryError,
    SubmissionCall, VersionOrder, WireFormat,
};
use crate::settings::{ProcessSettings, StorageSettings};
use crate::storage::local::{LocalEvent, LocalSender};
use crate::storage::process::Storage;
use crate::storage::snapshots::read_table;
use brasspond_cluster_protocol::{Answer, EncodedSubmission, FrameBuffer, Message, Question};
use brasspond_consensus::{
    Entry, HardState, Member as GroupMember, MemberId, Message as GroupMessage, Payload, Ready,
    Snapshot,
};
use brasspond_dispatch::{OrderAnswer, ReplicaReport};
use brasspond_durable::{RecordLog, TextFiles};
use brasspond_fleet::Credential;
use brasspond_jobs::{Command, Page, Submission};
use bytes::Bytes;
use futures::FutureExt;
use futures::future::{LocalBoxFuture, ready};
use hyper::StatusCode;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

/// The member under test.
pub const OWN: MemberId = 1;
/// Member that becomes the next leader.
pub const SUCCESSOR: MemberId = 2;
/// Member that votes for the member under test and stores its entries.
const FOLLOWER: MemberId = 3;
/// Link on which questions arrive.
const EDGE_LINK: LinkId = 1;
/// Link on which messages of members arrive.
const MEMBER_LINK: LinkId = 2;
/// Frames that the queue of the edge's link holds.
const EDGE_QUEUE_FRAMES: usize = 64;
/// Host and path of submissions.
pub const HOST: &str = "host";
pub const JOBS_PATH: &str = "/jobs/";
/// Time after which an early election is due, in ms; two of them pass before early elections end.
pub const EARLY_ELECTION: u64 = 250;
/// Time of the stopped clock, in ms: before any timeout of the group.
const NOW: u64 = 1;

/// Runs a test in the single thread of an event loop, to which tasks are local.
pub async fn in_event_loop(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

pub fn submission(job: &str, tenant: Option<&str>) -> Submission {
    Submission {
        id: job.to_string(),
        host: HOST.to_string(),
        path: JOBS_PATH.to_string(),
        model: String::new(),
        step: 0,
        min_version: 0,
        desired: 0,
        items: Vec::new(),
        tenant: tenant.map(Into::into),
    }
}

pub fn submit(job: &str, tenant: Option<&str>) -> Question {
    Question::Submit(submission(job, tenant))
}

pub fn end(job: &str) -> Question {
    Question::End {
        job: job.to_string(),
        tenant: None,
    }
}

pub fn accept(job: &str) -> Command {
    Command::Accept(submission(job, None))
}

/// The member under test, with the queue of the link to an edge.
pub struct Member {
    pub storage: Storage,
    frames: mpsc::Receiver<Bytes>,
    _link_events: mpsc::Receiver<LinkEvent>,
    _local_events: mpsc::Receiver<LocalEvent>,
    _folder: TempDir,
}

impl Member {
    /// Starts the member as a follower in a group of three.
    pub fn follower() -> Self {
        Self::in_group(&[OWN, SUCCESSOR, FOLLOWER])
    }

    /// Starts the member and has it elected as the leader.
    pub fn leader() -> Self {
        let mut member = Self::follower();
        member.win_election();
        member
    }

    /// Starts the member in a group with these voters.
    pub fn in_group(voters: &[MemberId]) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        write_first_entry(folder.path(), voters);
        let mut texts = TextFiles::open(folder.path()).expect("a folder for texts");
        let opened =
            RecordLog::open_with(folder.path(), OWN, |reader| read_table(reader, &mut texts));
        let (link_events, link_receiver) = mpsc::channel(64);
        let (local_events, local_receiver) = mpsc::channel(64);
        let mut storage = Storage::new(
            settings(folder.path()),
            platform(),
            opened.expect("a log"),
            texts,
            link_events,
            LocalSender::new(local_events),
        )
        .expect("a storage process");
        storage.clock = Clock::stopped_at(NOW);
        let (writer, frames) = Writer::detached_with_capacity(EDGE_QUEUE_FRAMES);
        storage.on_link(LinkEvent::Up {
            link: EDGE_LINK,
            writer,
            peer: None,
            address: address(),
        });
        Self {
            storage,
            frames,
            _link_events: link_receiver,
            _local_events: local_receiver,
            _folder: folder,
        }
    }

    /// Sets the stopped clock forward, by ms.
    pub fn advance_clock(&mut self, by: u64) {
        self.storage.clock = Clock::stopped_at(self.storage.clock.now() + by);
    }

    /// Term in which the member acts as the leader.
    pub fn leader_term(&self) -> Option<u64> {
        let leader_state = self.storage.leader_state.as_ref();
        leader_state.map(|leader_state| leader_state.term)
    }

    /// Ends the current turn of the event loop.
    pub fn turn(&mut self) {
        self.storage.finish_turn().expect("a turn");
    }

    pub fn term(&self) -> u64 {
        self.storage.consensus.term()
    }

    pub fn receive(&mut self, from: MemberId, message: GroupMessage) {
        let message = Message::Consensus {
            from,
            to: OWN,
            message,
        };
        self.storage.on_link(LinkEvent::Message {
            link: MEMBER_LINK,
            message,
        });
    }

    pub fn ask(&mut self, number: u64, question: Question) {
        self.storage.on_link(LinkEvent::Message {
            link: EDGE_LINK,
            message: Message::Ask { number, question },
        });
    }

    /// Has the member elected by the follower's vote, and its first entry committed.
    pub fn win_election(&mut self) {
        let term = self.term();
        self.receive(FOLLOWER, GroupMessage::Transfer { term });
        self.turn();
        self.receive(
            FOLLOWER,
            GroupMessage::VoteReply {
                term: term + 1,
                granted: true,
                probe: false,
            },
        );
        self.commit();
        self.turn();
        assert!(self.storage.leader_state.is_some(), "leadership began");
    }

    /// Has the follower store all entries, which commits and applies them.
    pub fn commit(&mut self) {
        self.turn();
        self.receive(
            FOLLOWER,
            GroupMessage::AppendReply {
                term: self.term(),
                matched: true,
                index: self.storage.consensus.last_index(),
                sent_at: NOW,
            },
        );
        self.turn();
    }

    /// The next leader replaces all entries that are not committed by these commands, and commits
    /// them.
    pub fn replace_uncommitted(&mut self, commands: Vec<Command>) {
        let payloads = commands.into_iter().map(|command| {
            let bytes = command.encode().expect("encoded");
            Payload::Command(bytes)
        });
        let committed = self.storage.consensus.commit_index();
        self.receive_append(committed, payloads.collect(), true);
    }

    /// The next leader replaces all entries that are not committed by one that is not committed
    /// either.
    pub fn truncate_uncommitted(&mut self) {
        let committed = self.storage.consensus.commit_index();
        self.receive_append(committed, vec![Payload::Nothing], false);
    }

    /// The next leader has all entries of this member, and commits them with its own first entry.
    pub fn commit_by_successor(&mut self) {
        let last = self.storage.consensus.last_index();
        self.receive_append(last, vec![Payload::Nothing], true);
    }

    /// Receives entries after `previous_index` from the next leader.
    fn receive_append(&mut self, previous_index: u64, payloads: Vec<Payload>, is_committed: bool) {
        let term = self.term() + 1;
        let entries: Vec<Entry> = (previous_index + 1..)
            .zip(payloads)
            .map(|(index, payload)| Entry {
                term,
                index,
                payload,
            })
            .collect();
        let commit = if is_committed {
            previous_index + entries.len() as u64
        } else {
            previous_index
        };
        self.receive(
            SUCCESSOR,
            GroupMessage::Append {
                term,
                previous_index,
                previous_term: self.term(),
                entries,
                commit,
                read_index: None,
                sent_at: 0,
            },
        );
    }

    /// A snapshot of the current state that replaces more entries than the log has.
    pub fn snapshot_beyond_log(&self) -> Snapshot {
        Snapshot {
            index: self.storage.consensus.last_index() + 1,
            term: self.term() + 1,
            members: self.storage.consensus.members().to_vec(),
            state: self.storage.encode_table().expect("encoded"),
        }
    }

    /// Takes the answers sent to the edge, by the number of the question.
    pub fn replies(&mut self) -> Vec<(u64, Answer)> {
        let mut buffer = FrameBuffer::default();
        while let Ok(frame) = self.frames.try_recv() {
            buffer.bytes.extend_from_slice(&frame);
        }
        let mut replies = Vec::new();
        while let Some(message) = buffer.next_message().expect("a valid frame") {
            if let Message::Reply { number, answer } = message {
                replies.push((number, answer));
            }
        }
        replies
    }
}

/// Writes a log whose first entry names the voters.
fn write_first_entry(folder: &Path, voters: &[MemberId]) {
    let opened = RecordLog::open(folder, OWN).expect("a new log");
    let hard_state = HardState {
        term: 1,
        voted_for: None,
    };
    let voters = voters.iter().map(|id| group_member(*id)).collect();
    let ready = Ready {
        hard_state: Some(hard_state),
        entries: vec![Entry {
            term: 1,
            index: 1,
            payload: Payload::Members(voters),
        }],
        ..Ready::default()
    };
    let mut log = opened.log;
    log.persist(&ready, hard_state).expect("written");
}

/// A voter. All have the same address, so that none is connected to.
fn group_member(id: MemberId) -> GroupMember {
    GroupMember {
        id,
        machine: format!("storage-{id}"),
        address: address(),
        zone: "zone".to_string(),
        region: None,
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn settings(folder: &Path) -> StorageSettings {
    StorageSettings {
        process: ProcessSettings {
            machine: format!("storage-{OWN}"),
            zone: "zone".to_string(),
            region: None,
            supports_evacuation: false,
            cluster_address: address(),
            seeds: Vec::new(),
            may_bootstrap: false,
            tolerated_losses: 0,
            tolerated_zones: 0,
            regions: 0,
            tolerated_regions: 0,
            source_pause: Duration::from_secs(1),
            memory_limit: None,
            metering: None,
            metrics_address: None,
        },
        autoscales: false,
        folder: folder.to_path_buf(),
        lease_ms: 3_000,
        cancel_ms: 3_000,
        job_retention_ms: 120_000,
        termination_grace: Duration::from_secs(8),
    }
}

fn platform() -> Platform {
    // The view stays as it is once the sender is gone.
    let (_, observed) = watch::channel(Observed::default());
    let (interest, _) = watch::channel(Interest::NONE);
    Platform {
        wire: Rc::new(NoCalls),
        registry: Rc::new(NoCalls),
        operations: None,
        observed,
        interest: Rc::new(interest),
    }
}

/// Platform without replicas and callers, whose registry refuses all calls.
struct NoCalls;

impl Registry for NoCalls {
    fn read(&self) -> LocalBoxFuture<'_, Result<Option<GroupRecord>, RegistryError>> {
        ready(Err(RegistryError::Refused)).boxed_local()
    }

    fn create(&self, _members: Vec<GroupMember>) -> LocalBoxFuture<'_, Result<(), RegistryError>> {
        ready(Err(RegistryError::Refused)).boxed_local()
    }

    fn replace(&self, _record: GroupRecord) -> LocalBoxFuture<'_, Result<(), RegistryError>> {
        ready(Err(RegistryError::Refused)).boxed_local()
    }

    fn report_retirement(
        &self,
        _machine: String,
        _completed: bool,
    ) -> LocalBoxFuture<'_, Result<(), RegistryError>> {
        ready(Err(RegistryError::Refused)).boxed_local()
    }
}

impl WireFormat for NoCalls {
    fn names(&self) -> &HeaderNames {
        unreachable!("no replica is called")
    }

    fn credential(&self, _headers: &HeaderMap) -> Credential {
        unreachable!("no caller calls")
    }

    fn call(&self, _head: &Parts) -> Call {
        unreachable!("no caller calls")
    }

    fn submission(
        &self,
        _call: SubmissionCall<'_>,
        _body: &[u8],
    ) -> Result<EncodedSubmission, String> {
        unreachable!("no caller calls")
    }

    fn page(&self, _page: &Page) -> Bytes {
        unreachable!("no caller calls")
    }

    fn report_path(&self) -> &str {
        unreachable!("no replica is called")
    }

    fn report(&self, _body: &[u8]) -> Option<ReplicaReport> {
        unreachable!("no replica is called")
    }

    fn order(&self, _order: &VersionOrder) -> (String, Bytes) {
        unreachable!("no replica is called")
    }

    fn order_answer(&self, _status: StatusCode) -> OrderAnswer {
        unreachable!("no replica is called")
    }

    fn event_version(&self, _line: &[u8]) -> Option<u64> {
        unreachable!("no replica is called")
    }
}
