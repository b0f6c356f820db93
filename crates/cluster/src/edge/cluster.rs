//! What an edge knows of the storage processes, and its questions to the leader.

use super::process::Edge;
use super::reader;
use super::work_lease::WorkLease;
use crate::link::{LinkContext, LinkEvent, LinkId, Writer, dial};
use brasspond_cluster_protocol::{
    Answer, AttemptId, Kind, Message, Peer, Question, Registration, RunSpec, ScoringSpec, Watch,
};
use brasspond_consensus::Member;
use brasspond_fleet::{FleetView, Regions, ViewDelta};
use brasspond_metering::WindowNumber;
use brasspond_quarantine::CasesUpdate;
use brasspond_units::WallMillis;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;

/// Pause between two signs of life to the leader, in ms.
const BEAT_PAUSE: u64 = 500;
/// A leader silent this long counts as gone, in ms.
const LEADER_SILENT: u64 = 1_300;
/// Pause between two requests for a whole view, in ms.
const VIEW_ASK_PAUSE: u64 = 500;
/// Time after its start in which a leader may tell an edge the view, before it
/// watches by itself, in ms.
const ALONE_AT_START: u64 = 100;
/// The same where the whole system starts for the first time, in ms: the first
/// leader takes a second to be found, and callers come seconds later. Else every
/// edge of a fleet would read the whole source at once.
const ALONE_AT_FIRST_START: u64 = 3_000;
/// Time without a leader after which an edge watches by itself, in ms.
const ALONE_TIME: u64 = 1_000;

/// The leader as an edge knows it.
#[derive(Clone, Debug)]
pub(super) struct Leader {
    pub link: LinkId,
    pub term: u64,
    pub writer: Writer,
    heard_at: u64,
}

/// A storage process that may answer reads of results.
pub(super) struct Reader {
    pub link: LinkId,
    pub writer: Writer,
}

struct LinkState {
    writer: Writer,
    peer: Option<Peer>,
    address: SocketAddr,
}

/// What a message asks the edge to do.
pub(super) enum LinkAction {
    NewLeader(u64),
    /// The leader of this term does not know this edge's runs.
    RegisterRuns(u64),
    /// True time, and the newest usage window that is closed.
    Time(Option<WallMillis>, Option<WindowNumber>),
    View(FleetView),
    ViewChanged(ViewDelta, LinkId),
    Run(Box<RunSpec>),
    Score(Box<ScoringSpec>),
    Cancel(u64, AttemptId),
    Recorded(AttemptId),
    Quarantine(CasesUpdate),
}

/// Storage processes, links, questions under way.
pub(super) struct Cluster {
    hello: Peer,
    events: mpsc::Sender<LinkEvent>,
    context: Rc<LinkContext>,
    dialers: HashMap<SocketAddr, AbortHandle>,
    links: HashMap<LinkId, LinkState>,
    members: Vec<Member>,
    /// Others that are sent the log.
    standbys: Vec<Member>,
    leader: watch::Sender<Option<Leader>>,
    asked: HashMap<u64, (LinkId, oneshot::Sender<Answer>)>,
    next_number: u64,
    newest_term: u64,
    beat_at: u64,
    /// Leave to begin work, and the registration of runs that it goes by.
    lease: WorkLease,
    /// What the leader wants this edge to watch at the view's source.
    watch: Watch,
    view_asked_at: u64,
    /// A whole view is to be asked for, a little later.
    view_wanted: Option<LinkId>,
    /// Since when no leader is known.
    alone_since: Option<u64>,
    /// Time after its start in which this edge does not watch by itself, in ms.
    start_patience: u64,
    /// The storage process at which results are read, and the one that links were
    /// last chosen by.
    reader: Option<SocketAddr>,
    dialed_reader: Option<SocketAddr>,
}

impl Cluster {
    pub fn new(
        hello: Peer,
        may_bootstrap: bool,
        events: mpsc::Sender<LinkEvent>,
        context: Rc<LinkContext>,
    ) -> Self {
        let start_patience = if may_bootstrap {
            ALONE_AT_FIRST_START
        } else {
            ALONE_AT_START
        };
        Self {
            hello,
            events,
            context,
            dialers: HashMap::new(),
            links: HashMap::new(),
            members: Vec::new(),
            standbys: Vec::new(),
            leader: watch::Sender::new(None),
            asked: HashMap::new(),
            next_number: 0,
            newest_term: 0,
            beat_at: 0,
            lease: WorkLease::default(),
            watch: Watch::Nothing,
            view_asked_at: 0,
            view_wanted: None,
            alone_since: None,
            start_patience,
            reader: None,
            dialed_reader: None,
        }
    }

    /// The leader, if one is known at present.
    pub fn leader(&self) -> Option<Leader> {
        self.leader.borrow().clone()
    }

    /// Term of the leader and the time since it was last heard, in ms.
    pub(super) fn leader_heard(&self, now: u64) -> Option<(u64, u64)> {
        let leader = self.leader.borrow();
        let leader = leader.as_ref()?;
        Some((leader.term, now.saturating_sub(leader.heard_at)))
    }

    pub(super) fn watch_leader(&self) -> watch::Receiver<Option<Leader>> {
        self.leader.subscribe()
    }

    /// Chooses the storage process at which this edge reads results.
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

    /// Whether the log's members may hold data that is bound to these regions; none: no
    /// leader told who they are yet.
    pub(super) fn may_hold(&self, regions: &Regions) -> Option<bool> {
        if !regions.is_bound() {
            return Some(true);
        }
        let mut members = self.members.iter().chain(&self.standbys);
        let is_told = self.newest_term > 0 && !self.members.is_empty();
        is_told.then(|| members.all(|member| regions.allows(member.region.as_deref())))
    }

    /// Where results are read, if not at the leader.
    pub(super) fn reader(&self) -> Option<Reader> {
        let address = self.reader?;
        let mut links = self.links.iter();
        let (link, state) = links.find(|(_, state)| state.address == address)?;
        let is_leader = self.leader().is_some_and(|leader| leader.link == *link);
        (!is_leader).then(|| Reader {
            link: *link,
            writer: state.writer.clone(),
        })
    }

    /// Connects to these storage processes and to the reader, and to no others.
    pub fn set_members(&mut self, members: Vec<Member>) {
        if let Some(reader) = self.reader {
            self.dial_to(reader);
        }
        if members.is_empty() || (members == self.members && self.reader == self.dialed_reader) {
            return;
        }
        self.dialed_reader = self.reader;
        let reader = self.reader;
        let stays = |address: &SocketAddr| {
            let is_member = members.iter().any(|member| member.address == *address);
            is_member || reader == Some(*address)
        };
        self.dialers.retain(|address, task| {
            let stays = stays(address);
            if !stays {
                task.abort();
            }
            stays
        });
        let links = &self.links;
        let kept: Vec<LinkId> = links
            .iter()
            .filter(|(_, state)| stays(&state.address))
            .map(|(link, _)| *link)
            .collect();
        self.links.retain(|link, _| kept.contains(link));
        for member in &members {
            self.dial_to(member.address);
        }
        self.members = members;
    }

    pub fn dial_to(&mut self, address: SocketAddr) {
        if self.dialers.contains_key(&address) {
            return;
        }
        let dialing = dial(
            address,
            self.hello.clone(),
            Rc::clone(&self.context),
            self.events.clone(),
        );
        let task = tokio::task::spawn_local(dialing);
        self.dialers.insert(address, task.abort_handle());
    }

    pub fn on_link(&mut self, event: LinkEvent, now: u64) -> Vec<LinkAction> {
        match event {
            LinkEvent::Up {
                link,
                writer,
                peer,
                address,
            } => {
                let state = LinkState {
                    writer,
                    peer,
                    address,
                };
                self.links.insert(link, state);
                Vec::new()
            }
            LinkEvent::Message { link, message } => self.on_message(link, message, now),
            LinkEvent::Down { link, .. } => {
                self.links.remove(&link);
                self.leader.send_if_modified(|leader| {
                    let is_gone = leader.as_ref().is_some_and(|one| one.link == link);
                    if is_gone {
                        log::info!("event=leader_link_down");
                        *leader = None;
                    }
                    is_gone
                });
                self.asked.retain(|_, (asked, _)| *asked != link);
                Vec::new()
            }
            LinkEvent::Refused { .. } => Vec::new(),
        }
    }

    fn on_message(&mut self, link: LinkId, message: Message, now: u64) -> Vec<LinkAction> {
        match message {
            Message::Hello(peer) => {
                if let Some(state) = self.links.get_mut(&link) {
                    state.peer = Some(peer);
                }
                Vec::new()
            }
            Message::Leading {
                term,
                members,
                standbys,
                watch,
                time,
                is_busy,
                closed_window,
            } => {
                if term < self.newest_term {
                    return Vec::new();
                }
                self.watch = watch;
                brasspond_compression::pause_packing(is_busy);
                let mut actions = self.on_leading(link, term, members, standbys, now);
                actions.push(LinkAction::Time(time, closed_window));
                actions
            }
            Message::View(view) => vec![LinkAction::View(view)],
            Message::ViewChanged(delta) => vec![LinkAction::ViewChanged(delta, link)],
            Message::Registered(registration) => self.on_registered(link, registration, now),
            Message::Run { registration, spec } if self.goes_by(registration, spec.attempt) => {
                vec![LinkAction::Run(spec)]
            }
            Message::Score { registration, spec } if self.goes_by(registration, spec.attempt) => {
                vec![LinkAction::Score(spec)]
            }
            Message::Cancel { term, attempt } => vec![LinkAction::Cancel(term, attempt)],
            Message::Recorded { attempt } => vec![LinkAction::Recorded(attempt)],
            Message::Quarantine(told) => vec![LinkAction::Quarantine(told)],
            Message::Reply { number, answer } => {
                if let Some((_, asker)) = self.asked.remove(&number) {
                    let _ = asker.send(answer);
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
            _ => Vec::new(),
        }
    }

    fn on_leading(
        &mut self,
        link: LinkId,
        term: u64,
        members: Vec<Member>,
        standbys: Vec<Member>,
        now: u64,
    ) -> Vec<LinkAction> {
        self.newest_term = term;
        let Some(writer) = self.links.get(&link).map(|state| state.writer.clone()) else {
            return Vec::new();
        };
        // At once, not at the next look: an edge that stood still within 250 ms of finding its
        // first leader counted as alone since its start, and refused the first job in 1 of 6 runs.
        self.alone_since = None;
        let known = self.leader();
        let is_new = known.is_none_or(|known| known.link != link || known.term != term);
        let leader = Leader {
            link,
            term,
            writer,
            heard_at: now,
        };
        if is_new {
            log::info!("event=leader_known term={term}");
            self.leader.send_replace(Some(leader));
        } else {
            self.leader.send_if_modified(|known| {
                *known = Some(leader);
                false
            });
        }
        self.choose_reader(&members, &standbys);
        self.standbys = standbys;
        self.set_members(members);
        if is_new {
            vec![LinkAction::NewLeader(term)]
        } else {
            Vec::new()
        }
    }

    /// What the leader holds of this edge: leave to begin work, or nothing.
    fn on_registered(
        &mut self,
        link: LinkId,
        registration: Option<Registration>,
        now: u64,
    ) -> Vec<LinkAction> {
        let leader = self.leader();
        let Some(leader) = leader.filter(|leader| leader.link == link) else {
            return Vec::new();
        };
        if self.lease.renew(registration, now) {
            return Vec::new();
        }
        log::info!(
            "event=runs_told_again reason=not_registered term={} telling={}",
            leader.term,
            self.lease.registration()
        );
        vec![LinkAction::RegisterRuns(leader.term)]
    }

    /// Whether an order is of a leader that goes by the newest registration of runs. One that was
    /// under way when this edge told its runs is in no list of that leader's: it has given the
    /// run up, and would never end it. After standstills of 1.8 s six edges began 16 such runs
    /// of a job of 24 items, which scored their texts 6.7 s after the job had ended.
    fn goes_by(&self, registration: u64, attempt: AttemptId) -> bool {
        let is_current = registration == self.lease.registration();
        if !is_current {
            log::info!(
                "event=order_refused attempt={attempt} reason=older_telling telling={registration} newest={}",
                self.lease.registration()
            );
        }
        is_current
    }

    /// Numbers a registration of all runs; orders given before it are void.
    pub(super) fn begin_registration(&mut self, now: u64) -> u64 {
        self.lease.begin_registration(now)
    }

    /// Leave to begin work.
    pub(super) fn lease(&self) -> &WorkLease {
        &self.lease
    }

    pub fn newest_term(&self) -> u64 {
        self.newest_term
    }

    /// Lets time pass; `wall` is the machine's time of day.
    pub fn tick(&mut self, wall: WallMillis, now: u64) {
        if let Some(link) = self.view_wanted {
            self.need_view(link, now);
        }
        self.leader.send_if_modified(|leader| {
            let silent = leader
                .as_ref()
                .is_some_and(|one| now >= one.heard_at + LEADER_SILENT);
            if silent {
                log::info!("event=leader_silent");
                *leader = None;
            }
            silent
        });
        if now >= self.beat_at + BEAT_PAUSE
            && let Some(leader) = self.leader()
        {
            self.beat_at = now;
            leader.writer.send(&Message::Beat { wall, uptime: now });
        }
    }

    pub(super) fn ask(
        &mut self,
        link: LinkId,
        writer: &Writer,
        question: Question,
    ) -> Option<oneshot::Receiver<Answer>> {
        self.next_number += 1;
        let number = self.next_number;
        let (sender, receiver) = oneshot::channel();
        let message = Message::Ask { number, question };
        if !writer.send(&message) {
            return None;
        }
        self.asked.insert(number, (link, sender));
        Some(receiver)
    }

    /// What to watch at the view's source: what the leader wants, or the fleet
    /// where no leader tells of changes.
    pub fn wanted_watch(&mut self, now: u64) -> Watch {
        if self.leader.borrow().is_some() {
            self.alone_since = None;
            return self.watch;
        }
        let alone = self.leaderless_for(now);
        let has_view = self.newest_term > 0;
        let patience = if has_view {
            ALONE_TIME
        } else {
            self.start_patience
        };
        let is_alone = alone >= patience;
        match self.watch {
            Watch::Nothing if is_alone => Watch::Fleet,
            wanted => wanted,
        }
    }

    /// Whether the leader has this edge watch the view's source for it.
    pub fn watches_for_leader(&self) -> bool {
        self.watch != Watch::Nothing && self.leader.borrow().is_some()
    }

    /// Time for which no leader has been known, in ms; 0 while one is.
    pub fn leaderless_for(&mut self, now: u64) -> u64 {
        if self.leader.borrow().is_some() {
            self.alone_since = None;
            return 0;
        }
        now - *self.alone_since.get_or_insert(now)
    }

    /// Asks for a whole view.
    fn need_view(&mut self, link: LinkId, now: u64) {
        if now < self.view_asked_at + VIEW_ASK_PAUSE {
            self.view_wanted = Some(link);
            return;
        }
        self.view_asked_at = now;
        self.view_wanted = None;
        if let Some(state) = self.links.get(&link) {
            state.writer.send(&Message::NeedView);
        }
    }

    pub(super) fn known_peers(&self) -> Vec<SocketAddr> {
        self.links.values().map(|state| state.address).collect()
    }
}

impl Edge {
    /// Tells the leader all that one may act on.
    fn report_all(&self, term: u64) {
        self.register_runs(term);
        self.report_evacuations();
        self.send_clock();
        self.report_all_usage();
        self.report_all_ends();
    }

    /// Sends the leader a message, if one is known. What its queue does not take is made good
    /// by registration all again with the next look, which voids orders under way: the end of a run is
    /// told once, and one that was lost kept its place on its replica taken for as long as the leader led.
    pub(super) fn send_to_leader(&self, message: &Message) {
        let Some(leader) = self.cluster.borrow().leader() else {
            return;
        };
        if !leader.writer.send(message) {
            log::warn!(
                "event=leader_message_lost message={} waiting_bytes={}",
                Kind::of(message).name(),
                leader.writer.waiting_bytes()
            );
            self.metrics.leader_message_lost();
            self.has_lost_messages.set(true);
        }
    }

    /// Tells all again where something could not be told.
    pub(super) fn repeat_lost_messages(&self) {
        let leader = self.cluster.borrow().leader();
        if let Some(leader) = leader
            && self.has_lost_messages.replace(false)
        {
            self.report_all(leader.term);
        }
    }
}

/// Does what a message of a storage process asks for.
pub(super) fn act(edge: &Rc<Edge>, action: LinkAction) {
    match action {
        LinkAction::NewLeader(term) => {
            // What another told says nothing of what this one knows; it tells a whole view.
            edge.leader_view.replace(None);
            edge.report_all(term);
        }
        LinkAction::RegisterRuns(term) => edge.register_runs(term),
        LinkAction::Quarantine(told) => edge.apply_quarantine(told),
        LinkAction::Time(time, closed) => edge.apply_time(time, closed),
        LinkAction::View(view) => {
            edge.leader_view.replace(Some(view.clone()));
            edge.apply_view(&view);
        }
        LinkAction::ViewChanged(delta, link) => {
            let is_told = edge.apply_leader_delta(&delta);
            if edge.apply_delta(&delta).is_err() || !is_told {
                let now = edge.clock.now();
                edge.cluster.borrow_mut().need_view(link, now);
            }
        }
        LinkAction::Run(spec) => edge.start_run(*spec),
        LinkAction::Score(spec) => edge.order_scoring(*spec),
        LinkAction::Cancel(term, attempt) => edge.cancel_run(term, attempt),
        LinkAction::Recorded(attempt) => edge.forget_run(attempt),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/cluster.rs"]
mod tests;
