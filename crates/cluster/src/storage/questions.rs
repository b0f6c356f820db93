//! Answers the questions of edges. A question that changes a job is answered once its log entry is
//! committed.
//!
//! Owns [`Questions`]: questions whose entry is not committed yet, and long polls of results.
//! [`super::long_poll`] decides when a poll is answered.

use super::leader_rules::{Leadership, may_answer};
use super::long_poll::{LongPoll, Progress};
use super::memory_budget::MemoryBudget;
use super::process::Storage;
use crate::clock::Moment;
use crate::link::LinkId;
use brasspond_cluster_protocol::{Answer, Message, Question};
use brasspond_consensus::EntryId;
use brasspond_dispatch::PermitRequest;
use brasspond_jobs::{BodyError, Command, Job, Submission};
use brasspond_units::Millis;
use std::collections::{BTreeMap, HashMap};
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
struct Requester {
    link: LinkId,
    number: u64,
    /// When the question arrived, by this process's clock.
    asked_at: Millis,
}

/// Change of a job that a requester waits for.
#[derive(Clone, Debug)]
enum Change {
    /// The job is accepted. The id may meanwhile belong to a job of another tenant.
    Submit {
        job: String,
        tenant: Option<Arc<str>>,
    },
    /// The job is ended.
    End,
}

/// A question that is answered once its entry is committed and applied.
#[derive(Clone, Debug)]
struct Proposal {
    requester: Requester,
    change: Change,
}

impl Proposal {
    /// Whether this is the submission of a job with the id `id`.
    fn submits(&self, id: &str) -> bool {
        matches!(&self.change, Change::Submit { job, .. } if job == id)
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

/// Pending questions.
#[derive(Debug, Default)]
pub(super) struct Questions {
    /// Proposals by the entry whose commit answers them.
    proposed: BTreeMap<EntryId, Vec<Proposal>>,
    /// Answers to proposals that are applied. They are sent in the next turn of the loop.
    applied: Vec<(Requester, Answer)>,
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

    /// Returns the entry that accepts a job once it is committed, if one is proposed.
    fn pending_submission(&self, id: &str) -> Option<EntryId> {
        let mut proposed = self.proposed.iter();
        let entry = proposed.find(|(_, proposals)| proposals.iter().any(|one| one.submits(id)));
        entry.map(|(entry, _)| *entry)
    }

    /// Has a proposal answered once `entry` is committed and applied.
    fn await_entry(&mut self, entry: EntryId, proposal: Proposal) {
        self.proposed.entry(entry).or_default().push(proposal);
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
                Some(_) => {
                    let change = Change::End;
                    self.propose_for(Proposal { requester, change }, &Command::End { job });
                }
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

    /// Proposes a submitted job, which is accepted once committed, or answers why it is refused. A
    /// job that is already proposed is not refused, since it may still be accepted.
    fn on_submission(&mut self, requester: Requester, submission: Submission) {
        log::info!(
            "event=job_submitted job={} items={} model={} step={} min_version={}",
            submission.id,
            submission.items.len(),
            submission.model,
            submission.step,
            submission.min_version
        );
        match self.table.job(&submission.id) {
            Some(known) if known.is_open_to(submission.tenant.as_deref()) => {
                self.answer(requester, Answer::Done);
            }
            Some(_) => self.answer(requester, Answer::Taken),
            None => self.on_new_submission(requester, submission),
        }
    }

    /// Handles the submission of a job that is not in the table.
    fn on_new_submission(&mut self, requester: Requester, submission: Submission) {
        let change = Change::Submit {
            job: submission.id.clone(),
            tenant: submission.tenant.clone(),
        };
        let proposal = Proposal { requester, change };
        match self.questions.pending_submission(&submission.id) {
            Some(entry) => self.questions.await_entry(entry, proposal),
            None if self.has_only_evacuated_replicas(&submission) => {
                log::info!("event=job_refused job={} reason=evacuated", submission.id);
                self.answer(requester, Answer::Evacuated);
            }
            None if !self.may_store(&submission) => {
                log::info!(
                    "event=job_refused job={} reason=members_outside_regions",
                    submission.id
                );
                self.answer(requester, Answer::OutsideRegions);
            }
            None => self.propose_for(proposal, &Command::Accept(submission)),
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
    fn job_of(&self, job: &str, tenant: Option<&str>) -> Option<&Job> {
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

    /// Proposes a command. Its requester is answered once the command is committed and applied.
    fn propose_for(&mut self, proposal: Proposal, command: &Command) {
        match self.propose(command) {
            Some(entry) => self.questions.await_entry(entry, proposal),
            None => self.answer(proposal.requester, Answer::Unknown),
        }
    }

    /// Queues the answers to proposals whose entry is committed and applied.
    pub(super) fn resolve_proposals(&mut self, entry: EntryId) {
        let now = self.clock.now();
        let proposals = self.questions.proposed.remove(&entry);
        for proposal in proposals.into_iter().flatten() {
            let waited = now.saturating_sub(proposal.requester.asked_at);
            self.metrics.commit(waited as f64 / 1_000.0);
            let answer = self.applied_answer(&proposal.change);
            self.questions.applied.push((proposal.requester, answer));
        }
    }

    /// The answer to a proposal that is applied. Another job with the id may have been accepted
    /// between the proposal and its application.
    fn applied_answer(&self, change: &Change) -> Answer {
        match change {
            Change::Submit { job, tenant } if self.job_of(job, tenant.as_deref()).is_none() => {
                Answer::Taken
            }
            Change::Submit { .. } | Change::End => Answer::Done,
        }
    }

    /// Answers applied proposals and polls that are due.
    pub(super) fn answer_waiting(&mut self, now: Millis) {
        for (requester, answer) in std::mem::take(&mut self.questions.applied) {
            self.answer(requester, answer);
        }
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

    /// Answers questions with pending proposals as unknown after leadership was lost, since the
    /// next leader may still commit the proposals.
    fn answer_proposed_unknown(&mut self) {
        if self.questions.proposed.is_empty() {
            return;
        }
        let proposed = std::mem::take(&mut self.questions.proposed);
        log::info!(
            "event=outcomes_unknown entries={} term={}",
            proposed.len(),
            self.consensus.term()
        );
        for proposal in proposed.into_values().flatten() {
            self.answer(proposal.requester, Answer::Unknown);
        }
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
    fn answer(&mut self, requester: Requester, answer: Answer) {
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
