//! What a storage process does while it leads: runs jobs, orders replicas,
//! tells edges.

use super::copying::{ViewCopies, revision};
use super::ordering::Announced;
use super::process::Storage;
use crate::evacuation::Evacuations;
use crate::link::LinkId;
use crate::platform::{Interest, VersionOrder};
use brasspond_autoscaling::Autoscaler;
use brasspond_cluster_protocol::{Kind, Message, Peer, Registration};
use brasspond_compression::always_packing;
use brasspond_consensus::READ_LEASE;
use brasspond_dispatch::{Action, Dispatcher, Event, OrderLeases, Settings};
use brasspond_fleet::FleetView;
use brasspond_jobs::{Command, Draft, Listing, Outcome, Piece, Score};
use brasspond_metering::{EdgeLife, FleetClock, Metering};
use brasspond_quarantine::{Fingerprint, Keeper};
use bytes::Bytes;
use std::collections::{BTreeSet, HashMap};

/// Pause between two looks at runs, in ms.
const DISPATCH_TICK: u64 = 100;
/// An edge that is silent this long is out of reach, in ms.
const EDGE_SILENT: u64 = 1_600;
/// An edge whose link broke may come back within this time, in ms.
const EDGE_RETURN: u64 = 400;
/// Slack on a lease, in ms: an order may leave its holder so long after others
/// have read its announcement.
const LEASE_MARGIN: u64 = 500;
/// Slack after the time for which a job may be asked for before it is forgotten, in ms.
const JOB_LIFE_SLACK: u64 = 30_000;
/// Pause between two lines on what runs, in ms.
const STATE_LOG_PAUSE: u64 = 1_000;
/// Most results in one entry of the log, in bytes of text.
const LISTING_BYTES: usize = 512 * 1024;

/// Part of the time after which nothing of an ended job may begin for which edges may begin
/// work without a word of their leader; the rest is for bytes on their way, which a connection
/// to a silent replica keeps for 1.5 s at the most.
const WORK_LEASE_SHARE: f64 = 0.5;
/// Shortest such time, in ms: leave is renewed each 500 ms, and one renewal may be late.
const LEAST_WORK_LEASE: u64 = 1_000;

/// Time for which edges may begin work without a word of their leader, in ms. Below 2.5 s of
/// `cancel_ms` the least lease and bytes on their way together are longer than that.
fn work_lease(cancel_ms: u64) -> u64 {
    let share = (cancel_ms as f64 * WORK_LEASE_SHARE) as u64;
    share.max(LEAST_WORK_LEASE)
}

/// State of a leader.
pub(super) struct Leading {
    pub dispatcher: Dispatcher,
    pub term: u64,
    pub told_at: u64,
    ticked_at: u64,
    /// When the view is copied into the log.
    copies: ViewCopies,
    /// The view as it was last sent to all edges.
    pub sent_view: FleetView,
    /// That view as a frame, once an edge needed it: after a change of leader all do,
    /// and with many routes it takes ms to make.
    pub whole_view: Option<Bytes>,
    pub view_sent_at: u64,
    /// When it was last compared with what was sent.
    pub view_looked_at: u64,
    pub view_is_new: bool,
    logged_at: u64,
    /// Edges that take runs, by machine.
    edges: HashMap<String, Registered>,
    /// Edges that could not be sent something: they are given up.
    unreached: BTreeSet<String>,
    /// Edges whose link broke, and when.
    lost: HashMap<String, u64>,
    results: Results,
    job_ages: HashMap<String, u64>,
    /// Orders announced in the log, by the index of their entry, with the time
    /// of the announcement.
    pub(super) announced: HashMap<u64, (Announced, u64)>,
    /// True time, out of all machines' times of day.
    pub clock: FleetClock,
    /// None where nobody asks for usage.
    pub metering: Option<Metering>,
    /// Decides which contents no replica is to run.
    pub keeper: Keeper,
    /// Contents that changed since edges were told.
    pub untold_contents: BTreeSet<Fingerprint>,
    pub autoscaler: Autoscaler,
    /// When the autoscaler last looked at the fleet.
    pub scaled_at: u64,
    /// When a line on replicas that warm up was last logged.
    pub warming_logged_at: u64,
    /// Until when orders must wait for another holder's lease.
    pub leases: OrderLeases,
    /// Evacuated zones as they were last logged.
    pub evacuations: Evacuations,
    /// Edges must hear of evacuated zones before their next turn.
    pub spreads_at_once: bool,
    /// Some edge knows an older change of them: all are told again at the next turn.
    pub tells_again: bool,
}

/// An edge whose runs are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Registered {
    link: LinkId,
    /// Which start of its process told them.
    incarnation: u64,
    /// Its registration of its runs that this leader goes by.
    registration: u64,
}

impl Registered {
    /// Whether it is a later registration of the same process.
    fn is_newer_than(&self, told: &Self) -> bool {
        self.incarnation == told.incarnation && self.registration > told.registration
    }
}

/// What the dispatcher wants kept, collected between two syncs.
#[derive(Default)]
struct Results {
    pieces: Vec<Piece>,
    drafts: Vec<Draft>,
    finished: Vec<Draft>,
    scores: Vec<Score>,
    listings: Vec<Listing>,
}

impl Results {
    fn is_empty(&self) -> bool {
        self.pieces.is_empty()
            && self.drafts.is_empty()
            && self.finished.is_empty()
            && self.scores.is_empty()
            && self.listings.is_empty()
    }
}

impl Leading {
    /// Whether an edge's runs were told over this link.
    fn is_link_of(&self, machine: &str, link: LinkId) -> bool {
        let known = self.edges.get(machine);
        known.is_some_and(|known| known.link == link)
    }
}

impl Storage {
    /// Begins or ends to lead, and does what a leader does.
    pub(super) fn lead(&mut self, now: u64) {
        if !self.consensus.is_leader() {
            if self.leading.take().is_some() {
                log::info!("event=leadership_lost term={}", self.consensus.term());
                self.metrics.warming_replicas(0);
                self.platform.interest.send_replace(Interest::NONE);
            }
            self.seek_group(now);
            return;
        }
        if self.leading.is_none() {
            self.begin_leading(now);
        }
        self.tell_edges(now);
        self.spread_view(now);
        self.spread_quarantine();
        if self.is_tick_due(now) {
            self.tell_outside(self.consensus.term(), now);
            self.tend_members(now);
            self.tend_records(now);
            self.check_edges(now);
            self.dispatch(Event::Tick);
            self.tend_usage(now);
            self.tend_quarantine(now);
            self.tend_replicas(now);
            self.remember_view(now);
            self.forget_jobs(now);
            self.log_state(now);
            self.tell_warming(now);
        }
        self.place_on_opening(now);
    }

    /// One line a second on what runs and what waits, while there is anything.
    fn log_state(&mut self, now: u64) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let load = leading.dispatcher.load();
        if now < leading.logged_at + STATE_LOG_PAUSE || load.is_idle() {
            return;
        }
        leading.logged_at = now;
        log::info!(
            "event=dispatch_state term={} edges={} running={} waiting={} scoring={} orders={} replicas={} configuration={} replicas_revision={} versions_revision={}",
            leading.term,
            leading.edges.len(),
            load.running,
            load.waiting,
            load.scoring,
            load.orders,
            load.replicas,
            self.view.configuration_revision,
            self.view.replicas_revision,
            self.view.versions_revision
        );
    }

    fn begin_leading(&mut self, now: u64) {
        let is_caught_up = self.consensus.is_established()
            && self.consensus.applied_index() == self.consensus.commit_index();
        if !is_caught_up {
            return;
        }
        let term = self.consensus.term();
        log::info!(
            "event=leadership_won term={term} members={} jobs={}",
            self.consensus.members().len(),
            self.table.jobs().count()
        );
        let lease_ms = self.settings.lease_ms + LEASE_MARGIN;
        let leases = self.order_log.leases(&self.own.machine, lease_ms);
        let settings = Settings::default();
        self.renew_evacuated();
        let view = self.view.clone();
        let metering = self.settings.process.metering;
        let dispatcher = Dispatcher::new(term, settings, &self.table, view, leases.clone(), now);
        self.metrics.leadership();
        self.has_untold_edges = true;
        self.platform.interest.send_replace(Interest::ALL);
        self.leading = Some(Leading {
            dispatcher,
            term,
            told_at: 0,
            ticked_at: now,
            copies: ViewCopies::new(&self.view, now),
            sent_view: FleetView::default(),
            whole_view: None,
            view_sent_at: 0,
            view_looked_at: 0,
            view_is_new: true,
            logged_at: 0,
            edges: HashMap::new(),
            unreached: BTreeSet::new(),
            lost: HashMap::new(),
            results: Results::default(),
            job_ages: HashMap::new(),
            announced: HashMap::new(),
            clock: FleetClock::default(),
            metering: metering.map(|metering| Metering::new(metering, now)),
            keeper: Keeper::default(),
            untold_contents: BTreeSet::new(),
            autoscaler: Autoscaler::default(),
            scaled_at: now,
            warming_logged_at: 0,
            leases,
            evacuations: Evacuations::default(),
            spreads_at_once: false,
            tells_again: false,
        });
        self.note_evacuated(now);
        self.tell_edges(now);
    }

    /// Hands an event to the dispatcher and carries out what it wants.
    pub(super) fn dispatch(&mut self, event: Event) {
        let now = self.clock.now();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let is_sure = self.consensus.has_quorum_contact(READ_LEASE, now);
        leading.dispatcher.set_confirmed_leader(is_sure, now);
        let actions = leading.dispatcher.handle(event, &self.table, now);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Run { machine, spec } => {
                self.send_to_edge(&machine, |registration| Message::Run { registration, spec });
            }
            Action::Cancel { machine, attempt } => {
                let term = self.consensus.term();
                self.send_to_edge(&machine, |_| Message::Cancel { term, attempt });
            }
            Action::Recorded { machine, attempt } => {
                self.send_to_edge(&machine, |_| Message::Recorded { attempt });
            }
            Action::Score { machine, spec } => {
                self.send_to_edge(&machine, |registration| Message::Score {
                    registration,
                    spec,
                });
            }
            Action::List(listing) => {
                if let Some(leading) = &mut self.leading {
                    leading.results.listings.push(listing);
                }
            }
            Action::Extend(piece) => {
                if let Some(leading) = &mut self.leading {
                    leading.results.pieces.push(piece);
                }
            }
            Action::Finish(draft) => {
                if let Some(leading) = &mut self.leading {
                    leading.results.finished.push(draft);
                }
            }
            Action::Keep(draft) => {
                if let Some(leading) = &mut self.leading {
                    leading.results.drafts.push(draft);
                }
            }
            Action::ListScored(score) => {
                if let Some(leading) = &mut self.leading {
                    leading.results.scores.push(score);
                }
            }
            Action::Reborn { replica, address } => self.replica_reborn(&replica, address),
            Action::AskReport { replica, address } => self.ask_report(replica, address),
            Action::Order {
                replica,
                address,
                model,
                version,
                expected_orders,
                runs_finish,
            } => {
                let order = VersionOrder {
                    model,
                    version,
                    holder: self.own.machine.clone(),
                    fence: self.consensus.term(),
                    expected_orders,
                    runs_finish,
                    replica,
                    address,
                };
                self.announce(Announced::Version(order));
            }
        }
    }

    /// Sends an edge a message, made with the number of the registration of its runs that this leader
    /// goes by. An edge that cannot be sent
    /// something is given up: what ends a run is not sent twice, and leave to begin work says
    /// that all before it has arrived.
    fn send_to_edge(&mut self, machine: &str, message: impl FnOnce(u64) -> Message) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Some(known) = leading.edges.get(machine) else {
            // Its runs are asked for before it is sent anything again.
            return;
        };
        let message = message(known.registration);
        let state = self.links.get(&known.link);
        let reason = match state.map(|state| state.writer.send(&message)) {
            Some(true) => return,
            Some(false) => "queue_full",
            None => "no_link",
        };
        leading.unreached.insert(machine.to_string());
        self.metrics.edge_message_lost(reason);
        log::warn!(
            "event=edge_message_lost machine={machine} message={} reason={reason}",
            Kind::of(&message).name()
        );
    }

    /// What this leader holds of the edge behind a link; none: it does not know its runs.
    pub(super) fn registration(&self, link: LinkId, now: u64) -> Option<Registration> {
        let leading = self.leading.as_ref()?;
        let state = self.links.get(&link)?;
        let Some(Peer::Edge { machine, .. }) = &state.peer else {
            return None;
        };
        let known = leading.edges.get(machine)?;
        if known.link != link || leading.unreached.contains(machine) {
            return None;
        }
        let is_sure = self.consensus.has_quorum_contact(READ_LEASE, now);
        let clock = leading.dispatcher.edge_clock(machine, now);
        let until = clock.filter(|_| is_sure);
        Some(Registration {
            number: known.registration,
            until: until.map(|clock| clock + work_lease(self.settings.cancel_ms)),
        })
    }

    /// Tells the edge behind a link what this leader holds of it.
    pub(super) fn tell_registration(&self, link: LinkId, now: u64) {
        let registration = self.registration(link, now);
        if let Some(state) = self.links.get(&link) {
            state.writer.send(&Message::Registered(registration));
        }
    }

    pub(super) fn on_edge_message(&mut self, link: LinkId, message: Message) {
        let peer = self.links.get(&link).and_then(|state| state.peer.clone());
        let Some(Peer::Edge {
            machine,
            zone,
            incarnation,
            region,
        }) = peer
        else {
            return;
        };
        let Some(leading) = &mut self.leading else {
            return;
        };
        match message {
            Message::Runs {
                term,
                registration,
                uptime,
                runs,
                draining,
            } if term == leading.term => {
                let told = Registered {
                    link,
                    incarnation,
                    registration,
                };
                let known = leading.edges.get(&machine);
                if known.is_some_and(|known| known.is_newer_than(&told)) {
                    // An older link delivered it late: its edge told more since.
                    return;
                }
                leading.edges.insert(machine.clone(), told);
                leading.lost.remove(&machine);
                leading.unreached.remove(&machine);
                log::info!(
                    "event=edge_up machine={machine} telling={registration} runs={} draining={draining}",
                    runs.len()
                );
                self.dispatch(Event::EdgeUp {
                    machine: machine.clone(),
                    zone,
                    region,
                    runs,
                });
                let now = self.clock.now();
                if let Some(leading) = &mut self.leading {
                    leading.dispatcher.edge_told_clock(&machine, uptime, now);
                }
                self.tell_registration(link, now);
                if draining {
                    self.dispatch(Event::EdgeDraining(machine));
                }
            }
            Message::Progress(reports) => {
                for report in reports {
                    self.dispatch(Event::Progress {
                        machine: machine.clone(),
                        attempt: report.attempt,
                        events: report.events,
                        pace: report.pace,
                    });
                }
            }
            Message::View(view) => self.take_edge_view(&machine, &view),
            Message::Beat { wall, uptime } => {
                let now = self.clock.now();
                leading.dispatcher.edge_heard(&machine, now);
                // A process that has ended may be heard after the one that follows it.
                if leading.is_link_of(&machine, link) {
                    leading.dispatcher.edge_told_clock(&machine, uptime, now);
                }
                leading.clock.note(&machine, wall, now);
                if let Some(metering) = &mut leading.metering {
                    metering.heard(&machine, now);
                }
            }
            Message::Usage(report) => {
                let life = EdgeLife {
                    machine,
                    incarnation,
                };
                if let Some(metering) = &mut leading.metering {
                    metering.reported(life, report, self.clock.now());
                }
            }
            Message::ReplicasEnded(reports) => self.replicas_ended(&machine, reports),
            Message::ContentAnswered(content) => self.content_answered(&machine, content),
            Message::Ended {
                attempt,
                events,
                end,
            } => {
                self.metrics.run_ended(end.name());
                self.dispatch(Event::Ended {
                    machine,
                    attempt,
                    events,
                    end,
                });
            }
            Message::Scored { attempt, end } => {
                self.metrics.scoring_ended(end.name());
                self.dispatch(Event::Scored {
                    machine,
                    attempt,
                    end,
                });
            }
            Message::Draining => {
                log::info!("event=edge_draining machine={machine}");
                self.dispatch(Event::EdgeDraining(machine));
            }
            _ => {}
        }
    }

    pub(super) fn edge_link_down(&mut self, link: LinkId, machine: String, now: u64) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        if leading.is_link_of(&machine, link) {
            leading.edges.remove(&machine);
            if let Some(metering) = &mut leading.metering {
                metering.edge_gone(&machine);
            }
            leading.lost.insert(machine.clone(), now);
            self.stop_placing_on(machine);
        }
    }

    /// An edge that cannot be reached is given nothing new until it tells its runs again. Where
    /// many end at one moment, what the first held went to those that were given up next: 537 of
    /// 832 runs were lost with the last of 120 edges, most of them for the tenth time.
    fn stop_placing_on(&mut self, machine: String) {
        self.dispatch(Event::EdgeDraining(machine));
    }

    fn check_edges(&mut self, now: u64) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let links = &self.links;
        let silent: Vec<String> = leading
            .edges
            .iter()
            .filter(|(_, known)| {
                let heard = links.get(&known.link).map_or(0, |state| state.heard_at);
                now >= heard + EDGE_SILENT
            })
            .map(|(machine, _)| machine.clone())
            .collect();
        let mut gone: BTreeSet<String> = silent.into_iter().collect();
        gone.append(&mut leading.unreached);
        for (machine, since) in &leading.lost {
            if now >= since + EDGE_RETURN {
                gone.insert(machine.clone());
            }
        }
        // All first: what one held must not go to one that is given up next.
        for machine in &gone {
            self.stop_placing_on(machine.clone());
        }
        for machine in gone {
            if let Some(leading) = &mut self.leading {
                leading.lost.remove(&machine);
                // It is told that nothing is held of it, and tells its runs anew.
                leading.edges.remove(&machine);
            }
            self.dispatch(Event::EdgeDown(machine));
        }
    }

    fn is_tick_due(&mut self, now: u64) -> bool {
        match &mut self.leading {
            Some(leading) if now >= leading.ticked_at + DISPATCH_TICK => {
                leading.ticked_at = now;
                true
            }
            _ => false,
        }
    }

    /// Runs under way and items that wait.
    pub(super) fn dispatch_load(&self) -> (usize, usize) {
        let leading = self.leading.as_ref();
        leading.map_or((0, 0), |leading| leading.dispatcher.counts())
    }

    pub(super) fn has_proposals(&self) -> bool {
        self.leading
            .as_ref()
            .is_some_and(|one| !one.results.is_empty())
    }

    /// Puts the results collected since the last sync into the log.
    pub(super) fn propose_collected(&mut self) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let results = std::mem::take(&mut leading.results);
        // A whole text follows its pieces, a score its draft.
        for batch in batches(results.pieces, piece_bytes) {
            self.propose(&Command::Extend(batch));
        }
        for batch in batches(results.finished, |draft| draft.text.len()) {
            self.propose(&Command::Finish(batch));
        }
        for batch in batches(results.drafts, |draft| draft.text.len()) {
            self.propose(&Command::Draft(batch));
        }
        if !results.scores.is_empty() {
            self.propose(&Command::Score(results.scores));
        }
        for batch in batches(results.listings, text_bytes) {
            self.propose(&Command::List(batch));
        }
    }

    pub(super) fn propose(&mut self, command: &Command) {
        if let Ok(bytes) = command.encode() {
            self.consensus.propose(bytes);
        }
    }

    /// Keeps the newest view in the log, for starts without its source.
    fn remember_view(&mut self, now: u64) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let known = self.table.remembered().map_or(0, |(revision, _)| *revision);
        if !leading.copies.is_due(&self.view, known, now) {
            return;
        }
        let mut kept = self.view.clone();
        // What is evacuated is known from its source alone: a copy would outlive it.
        kept.forget_evacuated();
        let Ok(bytes) = rmp_serde::to_vec(&kept) else {
            return;
        };
        let copy = Command::Remember {
            revision: revision(&self.view),
            configuration: bytes.into(),
        };
        // Packed however busy this process is: it goes to five machines and their disks, and
        // the smaller it is the newer is the one that the next leader begins with.
        let Ok(packed) = always_packing(|| copy.encode()) else {
            return;
        };
        leading.copies.copied(packed.len(), now);
        self.consensus.propose(packed);
    }

    /// Drops jobs that nobody may ask for any more.
    fn forget_jobs(&mut self, now: u64) {
        let life = self.settings.job_life_ms + JOB_LIFE_SLACK;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let mut old = Vec::new();
        for (id, job) in self.table.jobs() {
            let since = *leading.job_ages.entry(id.clone()).or_insert(now);
            if job.is_finished() && now >= since + life {
                old.push(id.clone());
            }
        }
        if old.is_empty() {
            return;
        }
        leading.job_ages.retain(|id, _| !old.contains(id));
        self.propose(&Command::Forget { jobs: old });
    }
}

fn text_bytes(listing: &Listing) -> usize {
    match &listing.outcome {
        Outcome::Completed { text, .. } => text.len(),
        Outcome::Terminated => 0,
    }
}

fn piece_bytes(piece: &Piece) -> usize {
    piece.parts.iter().map(|part| part.data.len()).sum()
}

/// Divides results into entries of the log.
fn batches<T>(results: Vec<T>, bytes_of: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut bytes = 0;
    for result in results {
        bytes += bytes_of(&result);
        batch.push(result);
        if bytes >= LISTING_BYTES {
            batches.push(std::mem::take(&mut batch));
            bytes = 0;
        }
    }
    if !batch.is_empty() {
        batches.push(batch);
    }
    batches
}
