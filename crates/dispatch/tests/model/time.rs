//! What time brings: commits, messages, events of streams, answers.

use super::edge::{Calling, Edge, Held, ToEdge, ToLeader};
use super::oracle::event_data;
use super::replica::Stream;
use super::{EDGES, INSIDE, Mutation, STEP_MS, WARMING_MOST, World, region_of};
use brasspond_cluster_protocol::{AttemptId, RunEnd, RunSpec, ScoringEnd, StreamEvent};
use brasspond_dispatch::Event;
use brasspond_jobs::{Command, ScoringCall};
use rand::Rng;

/// Pause between two reports of an edge, in ms.
const REPORT_MS: u64 = 250;
/// Pause between two ticks of a leader, in ms.
const TICK_MS: u64 = 100;
/// Longest that an edge waits for a replica's first event, in ms.
const HEAD_MS: u64 = 3_000;
/// A job's end must have stopped its runs by then, in ms.
const CANCEL_MS: u64 = 3_000;
/// Length of a work lease, in ms, and the pause between two renewals.
const LEAVE_MS: u64 = 2_000;
const LEAVE_PAUSE: u64 = 500;
/// An edge that is silent so long is given up, in ms.
const EDGE_SILENT: u64 = 1_600;

impl World {
    pub(super) fn step(&mut self) {
        self.commit_due();
        if self.dispatcher.is_none() && self.now >= self.elected_at {
            self.elect();
        }
        self.renew_view_if_due();
        self.tend_links();
        self.tend_standing();
        if self.now.is_multiple_of(LEAVE_PAUSE) {
            for number in 0..self.edges.len() {
                self.give_leave(number);
            }
        }
        self.deliver();
        for replica in &mut self.replicas {
            replica.tick(self.now);
        }
        self.make_events();
        self.answer_scorings();
        self.give_up_silent();
        if self.now >= self.reported_at + REPORT_MS {
            self.reported_at = self.now;
            for number in 0..self.edges.len() {
                self.report_progress(number);
            }
        }
        self.take_answers();
        if self.now >= self.ticked_at + TICK_MS {
            self.ticked_at = self.now;
            self.dispatch(Event::Tick);
        }
        self.check_ended();
    }

    pub(super) fn commit_due(&mut self) {
        while let Some(first) = self.proposals.front() {
            let needs_leader = first.is_callers();
            if first.commits_at > self.now || (needs_leader && self.dispatcher.is_none()) {
                return;
            }
            let proposal = self.proposals.pop_front().expect("seen");
            let command = proposal.command;
            self.table.apply(command.clone());
            self.log.push(command.clone());
            match command {
                Command::Accept(submission) => self.dispatch(Event::JobAccepted(submission.id)),
                Command::End { job } => {
                    self.ended_at.insert(job.clone(), self.now);
                    self.dispatch(Event::JobEnded(job));
                }
                Command::List(listings) => {
                    for listing in listings {
                        self.on_listed(&listing.job, listing.item);
                    }
                }
                Command::Extend(pieces) => {
                    for piece in pieces {
                        self.oracle.check_parts(&self.table, &piece.job, piece.item);
                    }
                }
                Command::Draft(drafts) => {
                    for draft in drafts {
                        self.check_whole(&draft.job, draft.item);
                    }
                }
                Command::Finish(drafts) => {
                    for draft in drafts {
                        self.on_listed(&draft.job, draft.item);
                    }
                }
                Command::Score(scores) => {
                    for score in scores {
                        self.on_listed(&score.job, score.item);
                    }
                }
                _ => {}
            }
        }
    }

    fn on_listed(&mut self, job: &str, item: u32) {
        self.check_whole(job, item);
        self.dispatch(Event::Listed {
            job: job.to_string(),
            item,
        });
        self.oracle.check_results(&self.table, job);
    }

    fn check_whole(&self, job: &str, item: u32) {
        let single_version = self.single_version;
        self.oracle
            .check_whole(&self.table, job, item, single_version);
    }

    fn renew_view_if_due(&mut self) {
        if self.view_at.is_some_and(|at| at <= self.now) {
            self.view_at = None;
            self.renew_view();
            self.dispatch(Event::View(self.view.clone()));
        }
    }

    fn tend_links(&mut self) {
        for number in 0..self.edges.len() {
            let edge = &mut self.edges[number];
            if edge.given_up_at.is_some_and(|at| at <= self.now) {
                edge.given_up_at = None;
                let machine = edge.machine.clone();
                self.dispatch(Event::EdgeDown(machine));
            }
            let edge = &mut self.edges[number];
            let may_come = edge.stands.is_none() && self.dispatcher.is_some();
            if !edge.linked && edge.back_at <= self.now && may_come {
                edge.linked = true;
                edge.newest_term = self.term;
                edge.given_up_at = None;
                self.tell_runs(number);
            }
        }
    }

    /// Suspended edges are given up after some time, and go on later.
    fn tend_standing(&mut self) {
        for number in 0..self.edges.len() {
            let edge = &mut self.edges[number];
            let Some((since, until)) = edge.stands else {
                continue;
            };
            if self.now >= since + EDGE_SILENT && edge.has_registered {
                edge.has_registered = false;
                let machine = edge.machine.clone();
                self.dispatch(Event::EdgeDown(machine));
            }
            if self.now >= until {
                self.wake(number);
            }
        }
    }

    /// An edge goes on. Where the leader gave it up it registers its runs as soon as it learns so;
    /// orders that arrived before that message are read first.
    fn wake(&mut self, number: usize) {
        let edge = &mut self.edges[number];
        edge.stands = None;
        edge.back_at = self.now;
        if edge.has_registered || !edge.linked || self.dispatcher.is_none() {
            return;
        }
        edge.newest_term = self.term;
        for _ in 0..edge.reads_first {
            let Some((_, message)) = self.edges[number].to_edge.pop_front() else {
                break;
            };
            self.on_edge_message(number, message);
        }
        self.tell_runs(number);
    }

    /// The leader renews the work lease of an edge whose runs it knows.
    fn give_leave(&mut self, number: usize) {
        if self.dispatcher.is_some() {
            let machine = self.edges[number].machine.clone();
            self.send_to_edge(&machine, ToEdge::Leave(self.now + LEAVE_MS));
        }
    }

    /// A message from an edge, in order with those before it on this link.
    fn tell_leader(&mut self, number: usize, message: ToLeader) {
        let edge = &mut self.edges[number];
        if edge.linked {
            edge.to_leader.push_back((self.now + STEP_MS, message));
        }
    }

    pub(super) fn tell_runs(&mut self, number: usize) {
        let reports = self.edges[number].reports();
        let edge = &mut self.edges[number];
        edge.registration += 1;
        // Ordered scorings are in no registration, and end with it.
        let held = &edge.held;
        edge.calling.retain(|one| held.contains_key(&one.attempt));
        edge.to_leader
            .push_front((self.now, ToLeader::Runs(edge.registration, reports)));
    }

    /// The region that an edge reports of itself.
    fn told_region(&self, number: usize) -> &'static str {
        if self.mutation == Some(Mutation::RegionMistold) {
            return INSIDE;
        }
        region_of(number, EDGES)
    }

    pub(super) fn tell_draining(&mut self, number: usize) {
        self.tell_leader(number, ToLeader::Draining);
    }

    /// An edge reports what its runs made since the last report.
    pub(super) fn report_progress(&mut self, number: usize) {
        if !self.edges[number].linked || self.edges[number].stands.is_some() {
            return;
        }
        let shown = self.now + self.edges[number].ahead;
        self.tell_leader(number, ToLeader::Clock(shown));
        let mut news = Vec::new();
        for (attempt, held) in &mut self.edges[number].held {
            if held.end.is_none() && held.told < held.events.len() {
                news.push(held.progress(*attempt));
            }
        }
        for message in news {
            self.tell_leader(number, message);
        }
    }

    pub(super) fn end_run(&mut self, number: usize, attempt: AttemptId, end: RunEnd) {
        let Some(held) = self.edges[number].held.get_mut(&attempt) else {
            return;
        };
        if held.end.is_some() {
            return;
        }
        held.end = Some(end);
        let events = held.unreported();
        for replica in &mut self.replicas {
            replica.streams.retain(|stream| stream.attempt != attempt);
        }
        let text = held.events.clone();
        let (job, item) = (held.spec.job.clone(), held.spec.item_id.clone());
        let call = held.spec.scoring.clone();
        self.tell_leader(number, ToLeader::Ended(attempt, events, end));
        if end == RunEnd::Whole {
            let versions: std::collections::BTreeSet<u64> =
                text.iter().map(|event| event.version).collect();
            let versions = versions.into_iter().collect();
            self.oracle.text_made(&item, versions, self.now);
            if let Some(call) = call {
                self.call(number, attempt, (job, item), call);
            }
        }
    }

    /// An edge makes a scoring call for an item of a job, once it has a work lease.
    fn call(
        &mut self,
        number: usize,
        attempt: AttemptId,
        (job, item_id): (String, String),
        call: ScoringCall,
    ) {
        if self.edges[number].draining {
            return self.report_scored(number, attempt, ScoringEnd::Unanswered);
        }
        let takes = self.random.random_range(2..90);
        self.edges[number].calling.push(Calling {
            attempt,
            job,
            item_id,
            call,
            takes,
            ends_at: None,
        });
    }

    /// Edges begin the calls that their work lease allows: none of a job that ended long ago.
    fn begin_calls(&mut self, number: usize) {
        let edge = &mut self.edges[number];
        if self.now >= edge.leave_until {
            return;
        }
        for calling in edge.calling.iter_mut().filter(|one| one.ends_at.is_none()) {
            calling.ends_at = Some(self.now + calling.takes);
            let ended = self.ended_at.get(&calling.job);
            let is_late = ended.is_some_and(|at| self.now > at + CANCEL_MS);
            assert!(!is_late, "{} is scored after its end", calling.job);
        }
    }

    /// Replicas answer scoring calls, or do not.
    fn answer_scorings(&mut self) {
        for number in 0..self.edges.len() {
            if self.edges[number].stands.is_some() {
                continue;
            }
            self.begin_calls(number);
            let now = self.now;
            let calling = std::mem::take(&mut self.edges[number].calling);
            let (due, open): (Vec<_>, Vec<_>) = calling
                .into_iter()
                .partition(|one| one.ends_at.is_some_and(|at| at <= now));
            self.edges[number].calling = open;
            for calling in due {
                let end = self.answer_scoring(&calling);
                self.report_scored(number, calling.attempt, end);
            }
        }
    }

    fn answer_scoring(&mut self, calling: &Calling) -> ScoringEnd {
        if self.random.random_bool(0.1) {
            return ScoringEnd::Unanswered;
        }
        if self.oracle.plans[&calling.item_id].score_fails {
            self.oracle.score_failed.insert(calling.item_id.clone());
            return ScoringEnd::Failed;
        }
        let made_at = match self.mutation {
            Some(Mutation::ScoredEarly) => self.now.saturating_sub(500),
            _ => self.now,
        };
        let call = match self.mutation {
            Some(Mutation::ScoreOfAnother) => "score-of-another",
            _ => calling.call.id.as_str(),
        };
        ScoringEnd::Scored(self.oracle.sign(call, made_at))
    }

    pub(super) fn report_scored(&mut self, number: usize, attempt: AttemptId, end: ScoringEnd) {
        if let Some(held) = self.edges[number].held.get_mut(&attempt) {
            held.scoring = Some(end.clone());
        }
        self.tell_leader(number, ToLeader::Scored(attempt, end));
    }

    fn deliver(&mut self) {
        for number in 0..self.edges.len() {
            while let Some((_, message)) = take_due(&mut self.edges[number].to_leader, self.now) {
                self.on_leader_message(number, message);
            }
            if self.edges[number].stands.is_some() {
                continue;
            }
            while let Some((_, message)) = take_due(&mut self.edges[number].to_edge, self.now) {
                self.on_edge_message(number, message);
            }
        }
    }

    fn on_leader_message(&mut self, number: usize, message: ToLeader) {
        let machine = self.edges[number].machine.clone();
        if let ToLeader::Runs(registration, _) = &message {
            self.edges[number].has_registered = true;
            self.edges[number].known_registration = *registration;
        }
        let event = match message {
            ToLeader::Runs(_, runs) => Event::EdgeUp {
                machine: machine.clone(),
                region: Some(self.told_region(number).into()),
                zone: "zone".to_string(),
                runs,
            },
            ToLeader::Progress(attempt, events, pace) => Event::Progress {
                machine: machine.clone(),
                attempt,
                events,
                pace,
            },
            ToLeader::Ended(attempt, events, end) => Event::Ended {
                machine: machine.clone(),
                attempt,
                events,
                end,
            },
            ToLeader::Scored(attempt, end) => Event::Scored {
                machine: machine.clone(),
                attempt,
                end,
            },
            ToLeader::Draining => Event::EdgeDraining(machine.clone()),
            ToLeader::Clock(theirs) => {
                if let Some(dispatcher) = &mut self.dispatcher {
                    dispatcher.edge_told_clock(&machine, theirs, self.now);
                }
                return;
            }
        };
        let tells_runs = matches!(event, Event::EdgeUp { .. });
        self.dispatch(event);
        if tells_runs {
            self.give_leave(number);
        }
        if tells_runs && self.edges[number].draining {
            self.dispatch(Event::EdgeDraining(machine));
        }
    }

    fn on_edge_message(&mut self, number: usize, message: ToEdge) {
        match message {
            ToEdge::Run(registration, spec) if self.is_newest(number, registration) => {
                self.start_run(number, *spec);
            }
            ToEdge::Score(registration, spec) if self.is_newest(number, registration) => {
                let item = (spec.job, spec.item_id);
                self.call(number, spec.attempt, item, spec.call);
            }
            ToEdge::Run(..) | ToEdge::Score(..) => {}
            ToEdge::Leave(until) => {
                let edge = &mut self.edges[number];
                edge.leave_until = edge.leave_until.max(until);
            }
            ToEdge::Cancel(term, attempt) => {
                let obeys = self.mutation != Some(Mutation::CancelIgnored);
                if term >= self.edges[number].newest_term && obeys {
                    self.end_run(number, attempt, RunEnd::Cancelled);
                    self.end_own_scoring(number, attempt);
                }
            }
            ToEdge::Recorded(attempt) => {
                let edge = &mut self.edges[number];
                edge.held.remove(&attempt);
                edge.calling.retain(|one| one.attempt != attempt);
                for replica in &mut self.replicas {
                    replica.streams.retain(|stream| stream.attempt != attempt);
                }
            }
        }
    }

    /// A cancelled run whose text became whole meanwhile begins nothing more.
    fn end_own_scoring(&mut self, number: usize, attempt: AttemptId) {
        let edge = &mut self.edges[number];
        let is_own = edge.held.contains_key(&attempt);
        let calls = edge.calling.len();
        edge.calling.retain(|one| !is_own || one.attempt != attempt);
        if edge.calling.len() < calls {
            self.report_scored(number, attempt, ScoringEnd::Unanswered);
        }
    }

    /// Whether an order is of a leader that goes by an edge's newest registration of its runs.
    fn is_newest(&self, number: usize, registration: u64) -> bool {
        let ignores = self.mutation == Some(Mutation::TellingIgnored);
        ignores || registration == self.edges[number].registration
    }

    fn start_run(&mut self, number: usize, spec: RunSpec) {
        let edge = &mut self.edges[number];
        if spec.attempt.term < edge.newest_term || edge.held.contains_key(&spec.attempt) {
            return;
        }
        let attempt = spec.attempt;
        let held = Held {
            told: spec.events.len(),
            events: spec.events.clone(),
            spec: spec.clone(),
            end: None,
            scoring: None,
            paced: None,
            head_until: self.now + HEAD_MS,
        };
        edge.held.insert(attempt, held);
        if edge.draining {
            return self.end_run(number, attempt, RunEnd::Cancelled);
        }
        let clock = self.now + self.edges[number].ahead;
        let is_late = spec.send_by.is_some_and(|send_by| clock >= send_by);
        if is_late && self.mutation != Some(Mutation::LeaveIgnored) {
            return self.end_run(number, attempt, RunEnd::Unsent);
        }
        let replica = self.replicas.iter_mut().find(|one| one.id == spec.replica);
        if let Some(replica) = &replica
            && replica.is_warming(self.now)
            && self.now >= replica.bounded_from
        {
            self.oracle.arrived(&replica.id, WARMING_MOST, self.now);
        }
        if spec.send_by.is_some() && self.mutation == Some(Mutation::SentToldUnsent) {
            return self.end_run(number, attempt, RunEnd::Unsent);
        }
        match replica {
            Some(replica) => replica.streams.push(Stream {
                edge: number,
                attempt,
                next_at: self.now + STEP_MS,
                is_taken: false,
            }),
            None => {
                let end = RunEnd::NotRun {
                    other_replica: true,
                };
                self.end_run(number, attempt, end);
            }
        }
    }

    /// A replica reads a request: it refuses it, or begins its stream.
    fn take_stream(&mut self, replica: usize, edge: usize, attempt: AttemptId) {
        let Some(held) = self.edges[edge].held.get_mut(&attempt) else {
            return;
        };
        held.head_until = u64::MAX;
        let spec = held.spec.clone();
        if let Some(end) = self.refusal(replica, &spec) {
            return self.end_run(edge, attempt, end);
        }
        let mut streams = self.replicas[replica].streams.iter_mut();
        if let Some(stream) = streams.find(|stream| stream.attempt == attempt) {
            stream.is_taken = true;
        }
    }

    /// How the replica ends a run at once, if it does.
    fn refusal(&mut self, replica: usize, spec: &RunSpec) -> Option<RunEnd> {
        let replica = &self.replicas[replica];
        if replica.streams.len() >= 2 * replica.slots {
            return Some(RunEnd::NotRun {
                other_replica: false,
            });
        }
        let plan = &self.oracle.plans[&spec.item_id];
        if plan.impossible {
            return Some(RunEnd::Impossible);
        }
        let failed = self
            .oracle
            .failures
            .entry(spec.item_id.clone())
            .or_default();
        if *failed < plan.failures {
            *failed += 1;
            return Some(RunEnd::Failed);
        }
        (replica.version < spec.min_version).then_some(RunEnd::TooOld)
    }

    fn make_events(&mut self) {
        for number in 0..self.replicas.len() {
            let replica = &mut self.replicas[number];
            if replica.is_dark(self.now) || replica.loading.is_some() {
                continue;
            }
            let (version, event_ms) = (replica.version, replica.event_ms);
            let mut due = Vec::new();
            for stream in &mut replica.streams {
                let stands = self.edges[stream.edge].stands.is_some();
                if stream.next_at <= self.now && !stands {
                    stream.next_at = self.now + event_ms;
                    due.push(stream.clone());
                }
            }
            for stream in due {
                if stream.is_taken {
                    self.make_event(stream.edge, stream.attempt, version);
                } else {
                    self.take_stream(number, stream.edge, stream.attempt);
                }
            }
        }
    }

    fn make_event(&mut self, edge: usize, attempt: AttemptId, version: u64) {
        let Some(held) = self.edges[edge].held.get_mut(&attempt) else {
            return;
        };
        let item = held.spec.item_id.clone();
        let id = held.events.len() as u64 + 1;
        let length = self.oracle.plans[&item].length;
        if id > length {
            return self.end_run(edge, attempt, RunEnd::Whole);
        }
        let first = held.events.first().map(|first| first.version);
        if held.spec.single_version && first.is_some_and(|first| first != version) {
            return self.end_run(edge, attempt, RunEnd::Mixed);
        }
        self.oracle.event_made(&item, id, version);
        let skips = self.mutation == Some(Mutation::EventSkipped) && id == 7;
        let told = match self.mutation {
            Some(Mutation::VersionMislabelled) => self.version,
            _ => version,
        };
        held.events.push(StreamEvent {
            id,
            data: event_data(&item, if skips { id + 1 } else { id }).into(),
            version: told,
        });
        held.event_came(self.now);
        if id == length {
            self.end_run(edge, attempt, RunEnd::Whole);
        }
    }

    /// Edges give up runs at replicas that send no event.
    fn give_up_silent(&mut self) {
        for number in 0..self.edges.len() {
            if self.edges[number].stands.is_some() {
                continue;
            }
            let held = self.edges[number].held.iter();
            let silent = held.filter(|(_, held)| held.end.is_none() && held.head_until <= self.now);
            let silent: Vec<AttemptId> = silent.map(|(attempt, _)| *attempt).collect();
            for attempt in silent {
                self.end_run(number, attempt, RunEnd::Broken);
            }
        }
    }

    /// Ended jobs run at no edge that can be reached.
    fn check_ended(&self) {
        let reached = |edge: &&Edge| edge.linked && edge.stands.is_none();
        for edge in self.edges.iter().filter(reached) {
            for held in edge.held.values().filter(|held| held.end.is_none()) {
                let ended = self.ended_at.get(&held.spec.job);
                let is_late = ended.is_some_and(|at| self.now > at + CANCEL_MS);
                let is_led = self.now > self.elected_at + CANCEL_MS;
                let is_back = self.now > edge.back_at + CANCEL_MS;
                let still_runs = is_late && is_led && is_back;
                assert!(!still_runs, "{} runs after its end", held.spec.job);
            }
        }
    }
}

fn take_due<T>(queue: &mut std::collections::VecDeque<(u64, T)>, now: u64) -> Option<(u64, T)> {
    let is_due = queue.front().is_some_and(|(at, _)| *at <= now);
    if is_due { queue.pop_front() } else { None }
}
