//! Answers the questions of edges.
//!
//! Owns [`Questions`], the long polls of results; [`super::long_poll`] decides when a poll is
//! answered. [`super::proposals`] answers questions that change a job.

use super::leader_rules::{Leadership, may_answer};
use super::long_poll::{LongPoll, Progress};
use super::memory_budget::MemoryBudget;
use super::process::Storage;
use crate::clock::Moment;
use crate::link::LinkId;
use brasspond_cluster_protocol::{Answer, Message, Question};
use brasspond_dispatch::PermitRequest;
use brasspond_jobs::{BodyError, Job};
use brasspond_units::Millis;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Maximum bytes of text in one answer, except for an answer with a single result. The reader asks
/// for further results from the next position on.
const MAX_PAGE_BYTES: usize = 700 * 1024;
/// Maximum age of the state from which a follower answers reads. Results listed within this time
/// may be missing from the answer. Each heartbeat of the leader (every 150 ms) renews the state.
const MAX_FOLLOWER_AGE: Millis = 400;
/// Maximum time for which polls are answered before links are read again. A page takes some ms to
/// read and encode, and a leader that answers hundreds in one turn sends no heartbeat meanwhile.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(30);
/// Interval between checks whether further answers fit into the queues of the links.
const ANSWER_RETRY_INTERVAL: Millis = 10;
/// Time after which the leader does not send a due answer any more: the edge has stopped waiting for
/// it.
const MAX_LEADER_ANSWER_DELAY: Millis = 1_200;
/// As [`MAX_LEADER_ANSWER_DELAY`], at a process that is not the leader.
const MAX_FOLLOWER_ANSWER_DELAY: Millis = 300;

/// Sender of a question, to which the answer is sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Requester {
    link: LinkId,
    number: u64,
    /// When the question arrived, by this process's clock.
    pub asked_at: Millis,
}

impl Requester {
    /// Link on which the question arrived.
    pub fn link(&self) -> LinkId {
        self.link
    }
}

/// A pending question about results.
#[derive(Clone, Debug)]
struct Poll {
    requester: Requester,
    job: String,
    /// First position to return.
    since: u64,
    tenant: Option<Arc<str>>,
    poll: LongPoll,
}

impl Poll {
    /// The same poll without a wait. A poll that is due already stays as it is.
    fn due_at_once(self, now: Millis) -> Self {
        if self.poll.due_at() <= now {
            return self;
        }
        Self {
            poll: LongPoll::new(now, now, None),
            ..self
        }
    }
}

/// Pending questions about results.
#[derive(Debug, Default)]
pub(super) struct Questions {
    polls: Vec<Poll>,
    /// When polls that are due are tried again, since their answers did not fit into the queues of
    /// the links; `None` if all fitted.
    retry_at: Option<Millis>,
    /// When jobs were accepted, by this process's clock. Jobs accepted by entries that are replayed
    /// at startup are missing.
    accepted_at: HashMap<String, Millis>,
}

impl Questions {
    /// Records that a job was accepted.
    pub fn job_accepted(&mut self, id: &str, now: Millis) {
        self.accepted_at.insert(id.to_string(), now);
    }

    /// Removes the state of a job that ended or was removed.
    pub fn job_ended(&mut self, id: &str) {
        self.accepted_at.remove(id);
    }

    /// Returns when the next poll is due, or `None` if there are no polls.
    pub fn next_due(&self) -> Option<Millis> {
        let due = self.polls.iter().map(|one| one.poll.due_at()).min()?;
        Some(self.retry_at.map_or(due, |retry_at| due.max(retry_at)))
    }

    /// Number of long polls that wait for their answer.
    pub fn poll_count(&self) -> usize {
        self.polls.len()
    }
}

/// Room that remains in a turn of the event loop for answers with results.
struct AnswerRoom {
    started: Moment,
    /// Bytes that may still be queued on links to edges.
    bytes: usize,
}

impl AnswerRoom {
    fn new(storage: &Storage) -> Self {
        let budget = MemoryBudget::new(storage.settings.process.memory_limit);
        let queued = storage.links.bytes_queued_for_edges();
        Self {
            started: Moment::now(),
            bytes: budget.queued_answers.saturating_sub(queued),
        }
    }

    /// Whether an answer may be queued on a link that has `queued` bytes. A link to an edge that
    /// does not read holds one page, so that a few such edges do not use up all room.
    fn allows(&self, queued: usize) -> bool {
        self.bytes > 0 && queued < MAX_PAGE_BYTES && self.started.elapsed() < MAX_ANSWER_TIME
    }

    fn use_up(&mut self, bytes: usize) {
        self.bytes = self.bytes.saturating_sub(bytes);
    }
}

impl Storage {
    /// Answers a question at once, proposes the requested command, or starts a long poll. Any
    /// up-to-date member answers reads of results, and any process that has results at the
    /// requested position. Any process answers a question for the members. Only the confirmed
    /// leader answers other questions.
    pub(super) fn on_question(&mut self, link: LinkId, number: u64, question: Question) {
        let requester = Requester {
            link,
            number,
            asked_at: self.clock.now(),
        };
        self.metrics.question(question.name());
        match question {
            Question::Members => {
                let members = self.consensus.members().to_vec();
                self.answer(requester, Answer::Members(members));
            }
            Question::Results {
                job,
                since,
                wait_ms,
                tenant,
            } if self.may_read(&job, tenant.as_deref()) || self.may_answer() => {
                self.wait_for_results(requester, job, since, wait_ms, tenant);
            }
            Question::Results {
                job, since, tenant, ..
            } if self.has_results(&job, since, tenant.as_deref()) => {
                self.wait_for_results(requester, job, since, 0, tenant);
            }
            question if self.may_answer() => self.answer_as_leader(requester, question),
            _ => {
                let leader = self.consensus.leader().filter(|id| *id != self.own.id);
                self.answer(requester, Answer::NotLeader(leader));
            }
        }
    }

    fn answer_as_leader(&mut self, requester: Requester, question: Question) {
        match question {
            Question::Submit(submission) => self.on_submission(requester, submission),
            Question::End { job, tenant } => match self.job_of(&job, tenant.as_deref()) {
                None => self.answer(requester, Answer::Page(None)),
                Some(known) if known.ended => self.answer(requester, Answer::Done),
                Some(_) => self.propose_end(requester, job),
            },
            Question::Body { job, item, tenant } => {
                let body = match self.job_of(&job, tenant.as_deref()) {
                    Some(_) => self.table.body(&job, &item),
                    None => Err(BodyError::NoJob),
                };
                self.answer(requester, Answer::Body(body));
            }
            Question::Permit {
                service,
                regions,
                tried,
                asked_at,
            } => {
                let request = PermitRequest {
                    service: &service,
                    regions: &regions,
                    tried: &tried,
                    asked_at,
                };
                let permit = self.grant_permit(&request);
                self.answer(requester, Answer::Permit(permit));
            }
            // Already answered by `on_question`.
            Question::Members | Question::Results { .. } => {}
        }
    }

    /// Starts a long poll of a job's results from a position on, for at most `wait_ms`.
    fn wait_for_results(
        &mut self,
        requester: Requester,
        job: String,
        since: u64,
        wait_ms: Millis,
        tenant: Option<Arc<str>>,
    ) {
        let now = self.clock.now();
        let step_due = self.step_due(&job);
        self.questions.polls.push(Poll {
            requester,
            job,
            since,
            tenant,
            poll: LongPoll::new(now, now + wait_ms, step_due),
        });
    }

    /// Whether this process is a follower that may answer reads of a job's results. Positions of
    /// results never change, and the follower has all entries that were acknowledged up to
    /// [`MAX_FOLLOWER_AGE`] ago.
    fn may_read(&self, job: &str, tenant: Option<&str>) -> bool {
        let now = self.clock.now();
        self.leader_state.is_none()
            && self.consensus.is_current(MAX_FOLLOWER_AGE, now)
            && self.job_of(job, tenant).is_some()
    }

    /// Whether this process has results of a job from a position on. Applied results are committed
    /// and never change, so they are valid even if this process may lack later ones.
    fn has_results(&self, job: &str, since: u64, tenant: Option<&str>) -> bool {
        self.job_of(job, tenant)
            .is_some_and(|job| job.results.len() as u64 > since)
    }

    /// Returns a job if callers of the tenant may access it.
    pub(super) fn job_of(&self, job: &str, tenant: Option<&str>) -> Option<&Job> {
        let known = self.table.job(job)?;
        known.is_open_to(tenant).then_some(known)
    }

    /// Whether this process may answer questions as the leader.
    fn may_answer(&self) -> bool {
        let leadership = Leadership {
            leads: self.leader_state.is_some(),
            is_established: self.consensus.is_established(),
            is_confirmed: self.is_confirmed_leader(self.clock.now()),
            quorum: self.consensus.quorum(),
        };
        may_answer(leadership, self.settings.process.tolerated_losses)
    }

    /// Answers applied proposals and polls that are due.
    pub(super) fn answer_waiting(&mut self, now: Millis) {
        self.answer_applied();
        if self.leader_state.is_none() {
            self.answer_proposed_unknown();
            self.redirect_polls(now);
        }
        if self.questions.polls.is_empty() || self.questions.retry_at.is_some_and(|at| now < at) {
            return;
        }
        self.questions.retry_at = None;
        let is_unconfirmed = self.leader_state.is_some() && !self.may_answer();
        let max_delay = match self.leader_state {
            Some(_) => MAX_LEADER_ANSWER_DELAY,
            None => MAX_FOLLOWER_ANSWER_DELAY,
        };
        let mut room = AnswerRoom::new(self);
        for mut poll in std::mem::take(&mut self.questions.polls) {
            if is_unconfirmed && !self.has_results_for(&poll) {
                self.questions.polls.push(poll);
                continue;
            }
            let is_known = self.observe_progress(&mut poll, now);
            if is_known && now < poll.poll.due_at() {
                self.questions.polls.push(poll);
            } else if now >= poll.poll.due_at() + max_delay {
                self.answer(poll.requester, Answer::Unknown);
            } else if room.allows(self.links.queued_bytes(poll.requester.link)) {
                let link = poll.requester.link;
                let before = self.links.queued_bytes(link);
                self.answer_poll(poll);
                room.use_up(self.links.queued_bytes(link).saturating_sub(before));
            } else {
                self.questions.polls.push(poll);
                self.questions.retry_at = Some(now + ANSWER_RETRY_INTERVAL);
            }
        }
    }

    /// Whether this process has results for a poll; see [`Self::has_results`].
    fn has_results_for(&self, poll: &Poll) -> bool {
        self.has_results(&poll.job, poll.since, poll.tenant.as_deref())
    }

    /// Updates a poll with the results available now. Returns false if its job is
    /// unknown to this process, or if callers of the tenant may not access it.
    fn observe_progress(&self, poll: &mut Poll, now: Millis) -> bool {
        let Some(job) = self.job_of(&poll.job, poll.tenant.as_deref()) else {
            return false;
        };
        // A position beyond `usize` is past all results.
        let since = usize::try_from(poll.since).unwrap_or(usize::MAX);
        let progress = Progress {
            results: job.results.len().saturating_sub(since),
            is_complete: job.is_finished(),
            step: job.groups.step_state(),
        };
        poll.poll.observe(progress, now);
        true
    }

    /// Returns when a job's step is due, by this process's clock. Returns `None` if the due time is
    /// unknown, since the job was accepted before this process started or its route no longer
    /// exists.
    fn step_due(&self, id: &str) -> Option<Millis> {
        let accepted_at = self.questions.accepted_at.get(id)?;
        let configuration = self.view.configuration.as_ref()?;
        let job = self.table.job(id)?;
        let route = configuration.route(&job.host, &job.path)?;
        Some(accepted_at + route.due_ms)
    }

    fn answer_poll(&mut self, poll: Poll) {
        let is_known = self.job_of(&poll.job, poll.tenant.as_deref()).is_some();
        let page = is_known
            .then(|| self.read_page(&poll.job, poll.since, MAX_PAGE_BYTES))
            .flatten();
        let answer = if is_known && page.is_none() {
            // The texts cannot be read here; another member may have them.
            Answer::Unknown
        } else {
            Answer::Page(page)
        };
        self.answer(poll.requester, answer);
    }

    /// Answers `NotLeader` to the polls that this follower may no longer answer. Those for which it
    /// has results are due at once.
    fn redirect_polls(&mut self, now: Millis) {
        for poll in std::mem::take(&mut self.questions.polls) {
            if self.may_read(&poll.job, poll.tenant.as_deref()) {
                self.questions.polls.push(poll);
            } else if self.has_results_for(&poll) {
                // Results that this process lacks may exist elsewhere, so the poll waits no longer.
                let poll = poll.due_at_once(now);
                self.questions.polls.push(poll);
            } else {
                self.answer(poll.requester, Answer::NotLeader(None));
            }
        }
    }

    /// Sends an answer. If the link is down, the edge asks again on another link.
    pub(super) fn answer(&mut self, requester: Requester, answer: Answer) {
        if let Some(state) = self.links.get(requester.link) {
            state.writer.send(&Message::Reply {
                number: requester.number,
                answer,
            });
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/polls.rs"]
mod tests;
