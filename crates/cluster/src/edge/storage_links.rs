//! An edge's links to storage processes and the questions sent on them.
//!
//! Keeps the links, the known members, the pending questions, the work lease and the contact with
//! the leader. Converts each received message into [`LinkAction`]s for the event loop.

use super::leader_contact::LeaderContact;
use super::leader_messages::LinkAction;
use super::questions::Ask;
use super::reader;
use super::work_lease::WorkLease;
use crate::link::{LinkContext, LinkEvent, LinkId, Writer, dial};
use brasspond_cluster_protocol::{Answer, AttemptId, Message, Peer, Question, Registration};
use brasspond_consensus::Member;
use brasspond_fleet::Regions;
use brasspond_replica_load::ReplicaLoad;
use brasspond_units::WallMillis;
use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

/// Minimum time between two requests for a full view, in ms. A view can be several hundred KB.
const VIEW_REQUEST_PAUSE_MS: u64 = 500;

/// A storage process that serves reads of results.
pub(super) struct Reader {
    pub link: LinkId,
    pub writer: Writer,
}

struct LinkState {
    writer: Writer,
    address: SocketAddr,
}

/// Links to storage processes and the state of the exchange on them.
pub(super) struct StorageLinks {
    hello: Peer,
    events: mpsc::Sender<LinkEvent>,
    context: Rc<LinkContext>,
    dialers: HashMap<SocketAddr, AbortHandle>,
    links: HashMap<LinkId, LinkState>,
    members: Vec<Member>,
    /// Standbys, which receive the log but are not members.
    standbys: Vec<Member>,
    pub contact: LeaderContact,
    /// Pending questions by number, with the link that each was sent on.
    pending: HashMap<u64, (LinkId, oneshot::Sender<Answer>)>,
    next_number: u64,
    /// Work lease and registration of runs.
    lease: WorkLease,
    /// When a full view was last requested, in ms; `None` if it never was.
    view_requested_at: Option<u64>,
    /// Link on which a full view must be requested after the pause.
    delayed_view_request: Option<LinkId>,
    /// Storage process for reads of results.
    reader: Option<SocketAddr>,
    /// Storage process for reads of results at the last update of the links.
    dialed_reader: Option<SocketAddr>,
    /// Time until which results are read at the leader only, in ms.
    reader_paused_until: u64,
    /// Whether a message to the leader was lost, so that the full state must be sent again.
    pub has_lost_message: Cell<bool>,
    /// Link on which the last list of deviating replicas arrived. The process at its other end
    /// accepts observations while it is the leader.
    replica_loads_link: Option<LinkId>,
    /// Link on which the last changes since an earlier view arrived. The process at its other end
    /// reads such changes while it is the leader.
    catch_up_link: Option<LinkId>,
}

impl StorageLinks {
    pub fn new(
        hello: Peer,
        may_bootstrap: bool,
        events: mpsc::Sender<LinkEvent>,
        context: Rc<LinkContext>,
    ) -> Self {
        Self {
            hello,
            events,
            context,
            dialers: HashMap::new(),
            links: HashMap::new(),
            members: Vec::new(),
            standbys: Vec::new(),
            contact: LeaderContact::new(may_bootstrap),
            pending: HashMap::new(),
            next_number: 0,
            lease: WorkLease::default(),
            view_requested_at: None,
            delayed_view_request: None,
            reader: None,
            dialed_reader: None,
            reader_paused_until: 0,
            has_lost_message: Cell::new(false),
            replica_loads_link: None,
            catch_up_link: None,
        }
    }

    /// Chooses the storage process for reads of results.
    fn choose_reader(&mut self, members: &[Member], standbys: &[Member]) {
        let chosen = reader::choose(&self.context, &self.hello, members, standbys);
        if let Some(chosen) = chosen
            && self.reader != Some(chosen.address)
        {
            let distance = self.context.distance_of(&Peer::Storage(chosen.clone()));
            log::info!(
                "event=reader_chosen machine={} distance={} members={} standbys={}",
                chosen.machine,
                distance.name(),
                members.len(),
                standbys.len()
            );
        }
        self.reader = chosen.map(|member| member.address);
    }

    /// Whether all members and standbys are in the regions to which data is restricted; `None`
    /// until a leader announces the members.
    pub(super) fn may_store(&self, regions: &Regions) -> Option<bool> {
        if !regions.is_bound() {
            return Some(true);
        }
        let mut members = self.members.iter().chain(&self.standbys);
        let is_known = self.contact.newest_term() > 0 && !self.members.is_empty();
        is_known.then(|| members.all(|member| regions.allows(member.region.as_deref())))
    }

    /// Reads results at the leader only until the given time, in ms.
    pub(super) fn pause_reader(&mut self, until: u64) {
        self.reader_paused_until = until;
    }

    /// The storage process for reads at `now`; `None` if results are read at the leader.
    pub(super) fn reader(&self, now: u64) -> Option<Reader> {
        if now < self.reader_paused_until {
            return None;
        }
        let address = self.reader?;
        let mut links = self.links.iter();
        let (link, state) = links.find(|(_, state)| state.address == address)?;
        let is_leader = self
            .contact
            .leader()
            .is_some_and(|leader| leader.link == *link);
        (!is_leader).then(|| Reader {
            link: *link,
            writer: state.writer.clone(),
        })
    }

    /// Connects to the given members and the reader, and drops links to other processes.
    pub fn set_members(&mut self, members: Vec<Member>) {
        if let Some(reader) = self.reader {
            self.dial_to(reader);
        }
        if members.is_empty() || (members == self.members && self.reader == self.dialed_reader) {
            return;
        }
        self.dialed_reader = self.reader;
        let reader = self.reader;
        let is_needed = |address: &SocketAddr| {
            let is_member = members.iter().any(|member| member.address == *address);
            is_member || reader == Some(*address)
        };
        self.dialers.retain(|address, task| {
            let is_needed = is_needed(address);
            if !is_needed {
                task.abort();
            }
            is_needed
        });
        let links = &self.links;
        let kept: Vec<LinkId> = links
            .iter()
            .filter(|(_, state)| is_needed(&state.address))
            .map(|(link, _)| *link)
            .collect();
        self.links.retain(|link, _| kept.contains(link));
        for member in &members {
            self.dial_to(member.address);
        }
        self.members = members;
    }

    /// Starts a task that keeps a link to an address. Returns false if there is such a task
    /// already.
    pub fn dial_to(&mut self, address: SocketAddr) -> bool {
        if self.dialers.contains_key(&address) {
            return false;
        }
        let dialing = dial(
            address,
            self.hello.clone(),
            Rc::clone(&self.context),
            self.events.clone(),
        );
        let task = tokio::task::spawn_local(dialing);
        self.dialers.insert(address, task.abort_handle());
        true
    }

    /// Handles an event of a link and returns the actions for the event loop.
    pub fn on_link(&mut self, event: LinkEvent, now: u64) -> Vec<LinkAction> {
        match event {
            LinkEvent::Up {
                link,
                writer,
                address,
                ..
            } => {
                self.links.insert(link, LinkState { writer, address });
                Vec::new()
            }
            LinkEvent::Message { link, message } => self.on_message(link, message, now),
            LinkEvent::Down { link, end } => {
                self.links.remove(&link);
                self.contact.observe_down(link, end, now);
                self.pending.retain(|_, (pending, _)| *pending != link);
                Vec::new()
            }
            LinkEvent::Refused { .. } => Vec::new(),
        }
    }

    fn on_message(&mut self, link: LinkId, message: Message, now: u64) -> Vec<LinkAction> {
        match message {
            Message::Leading {
                term,
                members,
                standbys,
                watch,
                time,
                is_busy,
                closed_window,
            } => {
                if term < self.contact.newest_term() {
                    return Vec::new();
                }
                self.contact.observe_term(term, watch);
                brasspond_compression::set_packing_paused(is_busy);
                let mut actions = self.on_leading(link, members, standbys, now);
                actions.push(LinkAction::Time(time, closed_window));
                actions
            }
            Message::View(view) => vec![LinkAction::View(view)],
            Message::ViewChanged(delta) => vec![LinkAction::ViewChanged(delta, link)],
            Message::ViewCatchUp(catch_up) => {
                self.catch_up_link = Some(link);
                vec![LinkAction::CatchUp(catch_up, link)]
            }
            Message::Registered(registration) => self.on_registered(link, registration, now),
            Message::Run { registration, spec } if self.is_current(registration, spec.attempt) => {
                vec![LinkAction::Run(spec)]
            }
            Message::Score { registration, spec }
                if self.is_current(registration, spec.attempt) =>
            {
                vec![LinkAction::Score(spec)]
            }
            Message::Cancel { term, attempt } => vec![LinkAction::Cancel(term, attempt)],
            Message::Recorded { attempt } => vec![LinkAction::Recorded(attempt)],
            Message::Quarantine(update) => vec![LinkAction::Quarantine(update)],
            Message::ReplicaLoads(loads) => self.on_replica_loads(link, loads),
            Message::Reply { number, answer } => {
                if let Some((_, requester)) = self.pending.remove(&number) {
                    // Sending fails if the requester no longer waits for the answer.
                    let _ = requester.send(answer);
                }
                Vec::new()
            }
            Message::Ask {
                number,
                question: Question::Members,
            } => {
                let answer = Answer::Members(self.members.clone());
                if let Some(state) = self.links.get(&link) {
                    state.writer.send(&Message::Reply { number, answer });
                }
                Vec::new()
            }
            // Ignores orders for earlier registrations, introductions, and messages that only
            // storage processes handle.
            _ => Vec::new(),
        }
    }

    /// Handles an announcement of the leader of the newest term.
    fn on_leading(
        &mut self,
        link: LinkId,
        members: Vec<Member>,
        standbys: Vec<Member>,
        now: u64,
    ) -> Vec<LinkAction> {
        let Some(writer) = self.links.get(&link).map(|state| state.writer.clone()) else {
            return Vec::new();
        };
        let is_new = self.contact.observe_leader(link, writer, now);
        self.choose_reader(&members, &standbys);
        self.standbys = standbys;
        self.set_members(members);
        if is_new {
            vec![LinkAction::NewLeader(self.contact.newest_term())]
        } else {
            Vec::new()
        }
    }

    /// Handles a message with the registration of runs that the leader has for this edge, or `None`
    /// if the leader has none. Registers all runs again if this is not the newest registration and
    /// its timeout has passed.
    fn on_registered(
        &mut self,
        link: LinkId,
        registration: Option<Registration>,
        now: u64,
    ) -> Vec<LinkAction> {
        let leader = self.contact.leader();
        let Some(leader) = leader.filter(|leader| leader.link == link) else {
            return Vec::new();
        };
        if self.lease.on_registered(registration, now) {
            return Vec::new();
        }
        log::info!(
            "event=runs_told_again reason=not_registered term={} telling={}",
            leader.term,
            self.lease.registration()
        );
        vec![LinkAction::RegisterRuns(leader.term)]
    }

    /// Handles a list of deviating replicas. A list of a process that is not the leader is ignored,
    /// since it may be old.
    fn on_replica_loads(&mut self, link: LinkId, loads: Vec<ReplicaLoad>) -> Vec<LinkAction> {
        let leader = self.contact.leader();
        if leader.is_none_or(|leader| leader.link != link) {
            return Vec::new();
        }
        self.replica_loads_link = Some(link);
        vec![LinkAction::ReplicaLoads(loads)]
    }

    /// Link to the leader if the leader accepts observations of replicas.
    pub(super) fn observations_writer(&self) -> Option<Writer> {
        let leader = self.contact.leader()?;
        (self.replica_loads_link == Some(leader.link)).then_some(leader.writer)
    }

    /// Whether the leader reads [`Message::ViewCatchUp`].
    pub(super) fn leader_reads_catch_ups(&self) -> bool {
        let leader = self.contact.leader();
        leader.is_some_and(|leader| self.catch_up_link == Some(leader.link))
    }

    /// Whether an order belongs to the newest registration of runs. The leader does not track
    /// orders from before the registration and would never cancel them.
    fn is_current(&self, registration: u64, attempt: AttemptId) -> bool {
        let is_current = registration == self.lease.registration();
        if !is_current {
            log::info!(
                "event=order_refused attempt={attempt} reason=older_telling telling={registration} newest={}",
                self.lease.registration()
            );
        }
        is_current
    }

    /// Begins a registration of all runs and returns its number. Orders for earlier
    /// registrations are ignored from then on.
    pub(super) fn begin_registration(&mut self, now: u64) -> u64 {
        self.lease.begin_registration(now)
    }

    /// The work lease.
    pub(super) fn lease(&self) -> &WorkLease {
        &self.lease
    }

    /// Performs periodic work at `now`, in ms. `wall` is the machine's wall-clock time.
    pub fn tick(&mut self, wall: WallMillis, now: u64) {
        if let Some(link) = self.delayed_view_request {
            self.request_view(link, now);
        }
        self.contact.tick(wall, now);
    }

    /// Sends a question on a link and returns the receiver of its answer. Returns `None` if the
    /// link's queue rejects the question.
    pub(super) fn ask(
        &mut self,
        link: LinkId,
        writer: &Writer,
        question: &impl Ask,
    ) -> Option<oneshot::Receiver<Answer>> {
        self.next_number += 1;
        let number = self.next_number;
        let (sender, receiver) = oneshot::channel();
        if !question.send(number, writer) {
            return None;
        }
        self.pending.insert(number, (link, sender));
        Some(receiver)
    }

    /// Asks all storage processes to which this edge has opened a link for the members.
    pub(super) fn ask_for_members(&mut self) -> Vec<oneshot::Receiver<Answer>> {
        let pending = self
            .linked_members()
            .into_iter()
            .map(|reader| self.ask(reader.link, &reader.writer, &Question::Members));
        pending.flatten().collect()
    }

    /// All storage processes to which this edge has opened a link.
    pub(super) fn linked_members(&self) -> Vec<Reader> {
        let links = self.links.iter();
        // Excludes links that other processes opened to this edge.
        let dialled = links.filter(|(_, state)| self.dialers.contains_key(&state.address));
        let members = dialled.map(|(link, state)| Reader {
            link: *link,
            writer: state.writer.clone(),
        });
        members.collect()
    }

    /// Requests a full view, delayed if the last request was less than [`VIEW_REQUEST_PAUSE_MS`]
    /// ago.
    pub(super) fn request_view(&mut self, link: LinkId, now: u64) {
        let requested_at = self.view_requested_at;
        if requested_at.is_some_and(|at| now < at + VIEW_REQUEST_PAUSE_MS) {
            self.delayed_view_request = Some(link);
            return;
        }
        self.view_requested_at = Some(now);
        self.delayed_view_request = None;
        if let Some(state) = self.links.get(&link) {
            state.writer.send(&Message::NeedView);
        }
    }

    /// Addresses of all links.
    pub(super) fn linked_addresses(&self) -> Vec<SocketAddr> {
        self.links.values().map(|state| state.address).collect()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/storage_links.rs"]
mod tests;
