//! Steps of simulated time: commits, views, links and leases.

use super::World;
use super::edge::{Edge, ToEdge};
use brasspond_dispatch::Event;
use brasspond_jobs::Command;

/// Pause between two reports of an edge, in ms.
const REPORT_MS: u64 = 250;
/// Pause between two ticks of a leader, in ms.
const TICK_MS: u64 = 100;
/// A job's end must have stopped its runs by then, in ms.
pub(super) const CANCEL_MS: u64 = 3_000;
/// Length of a work lease, in ms, and the pause between two renewals.
const LEASE_MS: u64 = 2_000;
const LEASE_PAUSE: u64 = 500;
/// An edge that is silent so long is given up, in ms.
const EDGE_SILENT: u64 = 1_600;

impl World {
    pub(super) fn step(&mut self) {
        self.commit_due();
        if self.dispatcher.is_none() && self.now >= self.elected_at {
            self.elect();
        }
        self.renew_view_if_due();
        self.update_links();
        self.wake_suspended();
        if self.now.is_multiple_of(LEASE_PAUSE) {
            for number in 0..self.edges.len() {
                self.renew_lease(number);
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

    pub(super) fn on_listed(&mut self, job: &str, item: u32) {
        self.check_whole(job, item);
        self.dispatch(Event::Listed {
            job: job.to_string(),
            item,
        });
        self.oracle.check_results(&self.table, job);
    }

    pub(super) fn check_whole(&self, job: &str, item: u32) {
        let single_version = self.single_version;
        self.oracle
            .check_whole(&self.table, job, item, single_version);
    }

    pub(super) fn renew_view_if_due(&mut self) {
        if self.view_at.is_some_and(|at| at <= self.now) {
            self.view_at = None;
            self.renew_view();
            self.dispatch(Event::View(self.view.clone()));
        }
    }

    pub(super) fn update_links(&mut self) {
        for number in 0..self.edges.len() {
            let edge = &mut self.edges[number];
            if edge.given_up_at.is_some_and(|at| at <= self.now) {
                edge.given_up_at = None;
                let machine = edge.machine.clone();
                self.dispatch(Event::EdgeDown(machine));
            }
            let edge = &mut self.edges[number];
            let may_come = edge.suspended.is_none() && self.dispatcher.is_some();
            if !edge.linked && edge.back_at <= self.now && may_come {
                edge.linked = true;
                edge.newest_term = self.term;
                edge.given_up_at = None;
                self.register_runs(number);
            }
        }
    }

    /// Suspended edges are given up after some time, and go on later.
    pub(super) fn wake_suspended(&mut self) {
        for number in 0..self.edges.len() {
            let edge = &mut self.edges[number];
            let Some((since, until)) = edge.suspended else {
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
    pub(super) fn wake(&mut self, number: usize) {
        let edge = &mut self.edges[number];
        edge.suspended = None;
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
        self.register_runs(number);
    }

    /// The leader renews the work lease of an edge whose runs it knows.
    pub(super) fn renew_lease(&mut self, number: usize) {
        if self.dispatcher.is_some() {
            let machine = self.edges[number].machine.clone();
            self.send_to_edge(&machine, ToEdge::WorkLease(self.now + LEASE_MS));
        }
    }

    /// Ended jobs run at no edge that can be reached.
    pub(super) fn check_ended(&self) {
        let reached = |edge: &&Edge| edge.linked && edge.suspended.is_none();
        for edge in self.edges.iter().filter(reached) {
            for run in edge.runs.values().filter(|run| run.end.is_none()) {
                let ended = self.ended_at.get(&run.spec.job);
                let is_late = ended.is_some_and(|at| self.now > at + CANCEL_MS);
                let is_led = self.now > self.elected_at + CANCEL_MS;
                let is_back = self.now > edge.back_at + CANCEL_MS;
                let still_runs = is_late && is_led && is_back;
                assert!(!still_runs, "{} runs after its end", run.spec.job);
            }
        }
    }
}
