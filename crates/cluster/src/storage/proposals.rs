//! Questions that change a job: submissions and ends. Each is answered once its log entry is
//! committed and applied.
//!
//! Owns [`Proposals`]. They wait by [`EntryId`], since another leader may put its own entry at the
//! index of one that is not committed.

use super::job_memory::JobSize;
use super::links::LinkState;
use super::process::Storage;
use super::questions::Requester;
use brasspond_cluster_protocol::Answer;
use brasspond_consensus::EntryId;
use brasspond_jobs::{Command, Submission};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Change of a job that a requester waits for.
#[derive(Clone, Debug)]
enum Change {
    /// The job is accepted. The id may meanwhile belong to a job of another tenant.
    Submit {
        job: String,
        tenant: Option<Arc<str>>,
        /// Estimated memory of the job, in bytes.
        bytes: u64,
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

/// Questions whose entries are proposed.
#[derive(Debug, Default)]
pub(super) struct Proposals {
    /// Proposals by the entry whose application answers them.
    waiting: BTreeMap<EntryId, Vec<Proposal>>,
    /// Answers to proposals that are applied. They are sent at the end of the turn.
    applied: Vec<(Requester, Answer)>,
}

impl Proposals {
    /// Returns the entry with the submission of a job, if it is proposed and not applied yet.
    fn submission_of(&self, id: &str) -> Option<EntryId> {
        let mut waiting = self.waiting.iter();
        let entry = waiting.find(|(_, proposals)| proposals.iter().any(|one| one.submits(id)));
        entry.map(|(entry, _)| *entry)
    }

    /// Estimated memory of the jobs that are proposed, in bytes. A job that was submitted several
    /// times counts once.
    pub fn submitted_bytes(&self) -> u64 {
        let entries = self.waiting.values();
        let jobs = entries.filter_map(|proposals| proposals.first());
        jobs.map(|proposal| match &proposal.change {
            Change::Submit { bytes, .. } => *bytes,
            Change::End => 0,
        })
        .sum()
    }

    /// Adds a proposal that is answered once `entry` is applied.
    fn add(&mut self, entry: EntryId, proposal: Proposal) {
        self.waiting.entry(entry).or_default().push(proposal);
    }
}

impl Storage {
    /// Proposes a submitted job, which is accepted once committed, or answers why it is refused. A
    /// job that is already proposed is not refused, since it may still be accepted.
    pub(super) fn on_submission(&mut self, requester: Requester, submission: Submission) {
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
        let size = JobSize::of(&submission.items);
        let change = Change::Submit {
            job: submission.id.clone(),
            tenant: submission.tenant.clone(),
            bytes: size.held_bytes(),
        };
        let proposal = Proposal { requester, change };
        match self.proposals.submission_of(&submission.id) {
            Some(entry) => self.proposals.add(entry, proposal),
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
            None if !self.fits_into_memory(size) => {
                log::warn!(
                    "event=job_refused job={} reason=no_memory items={}",
                    submission.id,
                    submission.items.len()
                );
                self.refuse_for_memory(requester);
            }
            None => self.propose_for(proposal, &Command::Accept(submission)),
        }
    }

    /// Answers that a job does not fit into the memory. An edge whose build does not know the
    /// answer gets another one that also says that nothing was done.
    fn refuse_for_memory(&mut self, requester: Requester) {
        let link = self.links.get(requester.link());
        let answer = if link.is_some_and(LinkState::reads_no_memory) {
            Answer::NoMemory
        } else {
            Answer::Evacuated
        };
        self.answer(requester, answer);
    }

    /// Proposes the end of a job.
    pub(super) fn propose_end(&mut self, requester: Requester, job: String) {
        let change = Change::End;
        self.propose_for(Proposal { requester, change }, &Command::End { job });
    }

    /// Proposes a command. Its requester is answered once the command is committed and applied.
    fn propose_for(&mut self, proposal: Proposal, command: &Command) {
        match self.propose(command) {
            Some(entry) => self.proposals.add(entry, proposal),
            None => self.answer(proposal.requester, Answer::Unknown),
        }
    }

    /// Queues the answers to proposals whose entry is committed and applied.
    pub(super) fn resolve_proposals(&mut self, entry: EntryId) {
        let now = self.clock.now();
        let proposals = self.proposals.waiting.remove(&entry);
        for proposal in proposals.into_iter().flatten() {
            let waited = now.saturating_sub(proposal.requester.asked_at);
            self.metrics.commit(waited as f64 / 1_000.0);
            let answer = self.applied_answer(&proposal.change);
            self.proposals.applied.push((proposal.requester, answer));
        }
    }

    /// The answer to a proposal that is applied. Another job with the id may have been accepted
    /// between the proposal and its application.
    fn applied_answer(&self, change: &Change) -> Answer {
        match change {
            Change::Submit { job, tenant, .. } if self.job_of(job, tenant.as_deref()).is_none() => {
                Answer::Taken
            }
            Change::Submit { .. } | Change::End => Answer::Done,
        }
    }

    /// Sends the queued answers to proposals that are applied.
    pub(super) fn answer_applied(&mut self) {
        for (requester, answer) in std::mem::take(&mut self.proposals.applied) {
            self.answer(requester, answer);
        }
    }

    /// Answers questions with pending proposals as unknown after leadership was lost, since the
    /// next leader may still commit the proposals.
    pub(super) fn answer_proposed_unknown(&mut self) {
        if self.proposals.waiting.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.proposals.waiting);
        log::info!(
            "event=outcomes_unknown entries={} term={}",
            waiting.len(),
            self.consensus.term()
        );
        for proposal in waiting.into_values().flatten() {
            self.answer(proposal.requester, Answer::Unknown);
        }
    }
}
