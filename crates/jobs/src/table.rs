//! The replicated table of jobs.
//!
//! The table stores the jobs with their items and results, the usage counts of tenants, the
//! quarantine cases and the newest copy of the fleet view. Only log commands change it, except that
//! the process that owns the table may move texts to disk ([`crate::TextFileIndex`]).
//!
//! An item is *listed* once its outcome is appended to the results of its job. A [`Draft`] is the
//! last part of an item's text, and the logged parts precede it. The complete text is either
//! appended as a result at once ([`Command::Finish`]), or stored until its score arrives
//! ([`Command::Draft`]).

use crate::command::{
    Command, CommandError, Draft, Item, Listing, Outcome, Part, Piece, Score, Submission,
};
use crate::groups::Groups;
use crate::job::{ItemResult, Job, Page};
use brasspond_metering::UsageLedger;
use brasspond_quarantine::QuarantineLedger;
use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// Maximum number of training steps from an ended job to a later job that contains items of it
/// again. The groups of these items count as carried over; see [`Groups`]. The trainer also applies
/// a limit of its own, which this crate does not know.
const MAX_CARRY_STEPS: u64 = 4;

/// Result of [`Command::Accept`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// The job is new.
    New,
    /// A job with the same id exists and is unchanged.
    Duplicate,
}

/// Why an item's body is unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BodyError {
    /// The job does not exist.
    NoJob,
    /// The item has no body, because it does not exist, is already listed, or its job has ended.
    NoItem,
}

/// The replicated state: jobs, usage of tenants, quarantine cases and the copy of the fleet view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobTable {
    /// Jobs by their ids.
    pub(crate) jobs: BTreeMap<String, Job>,
    /// Revision and encoding of the newest copy of the view.
    pub(crate) view_copy: Option<(u64, Bytes)>,
    #[serde(default)]
    pub(crate) usage: UsageLedger,
    #[serde(default)]
    pub(crate) quarantine: QuarantineLedger,
}

impl JobTable {
    /// Applies a command. Returns the result of [`Command::Accept`], and `None` for all other
    /// commands.
    pub fn apply(&mut self, command: Command) -> Option<Accepted> {
        match command {
            Command::Accept(submission) => return Some(self.accept(submission)),
            Command::List(listings) => listings.into_iter().for_each(|one| self.append_result(one)),
            Command::Extend(pieces) => pieces.into_iter().for_each(|one| self.add_parts(one)),
            Command::Finish(drafts) => drafts.into_iter().for_each(|one| self.finish_item(one)),
            Command::Draft(drafts) => drafts.into_iter().for_each(|one| self.add_draft(one)),
            Command::Score(scores) => scores.into_iter().for_each(|one| self.score(one)),
            Command::End { job } => self.end_job(&job),
            Command::Forget { jobs } => {
                self.jobs.retain(|id, _| !jobs.contains(id));
            }
            Command::Intend { .. } => {}
            Command::Usage(command) => self.usage.apply(command),
            Command::Quarantine(changes) => {
                changes
                    .into_iter()
                    .for_each(|change| self.quarantine.apply(change));
            }
            Command::Remember { revision, view } => self.store_view_copy(revision, view),
        }
        None
    }

    /// Returns the job with this id, if it exists.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    pub(crate) fn job_mut(&mut self, id: &str) -> Option<&mut Job> {
        self.jobs.get_mut(id)
    }

    /// Returns all jobs with their ids, in ascending order of id.
    pub fn jobs(&self) -> impl Iterator<Item = (&String, &Job)> {
        self.jobs.iter()
    }

    /// Returns the usage counts of tenants.
    pub fn usage(&self) -> &UsageLedger {
        &self.usage
    }

    /// Returns the quarantine cases.
    pub fn quarantine(&self) -> &QuarantineLedger {
        &self.quarantine
    }

    /// Returns the revision and the encoding of the newest copy of the view.
    pub fn view_copy(&self) -> Option<&(u64, Bytes)> {
        self.view_copy.as_ref()
    }

    /// Returns the results of a job from position `since` on, or `None` if the job does not exist.
    /// The page has at most `limit` bytes of text, but at least one result if there is any from
    /// `since` on. Texts that are on disk are empty in the page; [`Page::span`] locates them.
    pub fn page(&self, id: &str, since: u64, limit: usize) -> Option<Page> {
        let job = self.jobs.get(id)?;
        // A position that does not fit into `usize` is after the last result.
        let first = usize::try_from(since).unwrap_or(usize::MAX);
        let mut results = Vec::new();
        let mut bytes = 0;
        let spans = job.text_file.as_ref().map(|text_file| &text_file.spans);
        for (position, (item, outcome)) in (0..).zip(&job.results).skip(first) {
            let span = spans.and_then(|spans| spans.get(&position));
            bytes += span.map_or_else(|| outcome.text_length(), |span| span.length);
            if !results.is_empty() && bytes > limit {
                break;
            }
            let item = &job.items[*item as usize];
            results.push(ItemResult {
                id: item.id.clone(),
                outcome: outcome.clone(),
            });
        }
        Some(Page {
            total: job.items.len() as u64,
            next: since + results.len() as u64,
            results,
        })
    }

    /// Returns the body of an item that is not listed yet.
    ///
    /// # Errors
    /// The job does not exist, or the item has no body.
    pub fn body(&self, id: &str, item: &str) -> Result<Bytes, BodyError> {
        let job = self.jobs.get(id).ok_or(BodyError::NoJob)?;
        let mut items = job.items.iter();
        let index = items.position(|candidate| candidate.id == item);
        let index = index.ok_or(BodyError::NoItem)?;
        if job.ended || job.listed[index] {
            return Err(BodyError::NoItem);
        }
        Ok(job.items[index].body.clone())
    }

    /// Encodes the table for a snapshot. The caller must restore all texts from disk first, because
    /// the encoding does not contain the locations of texts on disk.
    ///
    /// # Errors
    /// The table cannot be encoded.
    pub fn encode(&self) -> Result<Bytes, CommandError> {
        let bytes = rmp_serde::to_vec(self).map_err(|error| CommandError(error.to_string()))?;
        Ok(bytes.into())
    }

    /// Decodes a table from a snapshot.
    ///
    /// # Errors
    /// The bytes are not a table.
    pub fn decode(bytes: &[u8]) -> Result<Self, CommandError> {
        rmp_serde::from_slice(bytes).map_err(|error| CommandError(error.to_string()))
    }

    fn accept(&mut self, submission: Submission) -> Accepted {
        if self.jobs.contains_key(&submission.id) {
            return Accepted::Duplicate;
        }
        let groups = Groups::new(&submission, &self.ended_job_item_ids(&submission));
        let job = Job {
            host: submission.host,
            path: submission.path,
            model: submission.model,
            step: submission.step,
            min_version: submission.min_version,
            desired: submission.desired,
            listed: vec![false; submission.items.len()],
            items: submission.items,
            results: Vec::new(),
            parts: BTreeMap::new(),
            drafts: BTreeMap::new(),
            ended: false,
            tenant: submission.tenant,
            groups,
            text_file: None,
        };
        self.jobs.insert(submission.id, job);
        Accepted::New
    }

    /// Returns the ids of all items of ended jobs that are for the submission's model. Jobs whose
    /// step is more than [`MAX_CARRY_STEPS`] before the step of the submission are excluded.
    fn ended_job_item_ids(&self, submission: &Submission) -> HashSet<&str> {
        let first = submission.step.saturating_sub(MAX_CARRY_STEPS);
        let ended_jobs = self
            .jobs
            .values()
            .filter(|job| job.ended && job.model == submission.model && job.step >= first);
        let items = ended_jobs.flat_map(|job| &job.items);
        items.map(|item| item.id.as_str()).collect()
    }

    /// Appends the result of an item and clears its request. Has no effect if the item is already
    /// listed or does not exist.
    fn append_result(&mut self, listing: Listing) {
        let Some(job) = self.jobs.get_mut(&listing.job) else {
            return;
        };
        let index = listing.item as usize;
        match job.listed.get_mut(index) {
            Some(listed) if !*listed => *listed = true,
            _ => return,
        }
        job.parts.remove(&listing.item);
        job.drafts.remove(&listing.item);
        job.groups.record_listed(&job.items[index].group);
        clear_request(&mut job.items[index]);
        job.results.push((listing.item, listing.outcome));
    }

    fn add_parts(&mut self, piece: Piece) {
        let Some(job) = self.jobs.get_mut(&piece.job) else {
            return;
        };
        let is_unlisted = job.listed.get(piece.item as usize) == Some(&false);
        if !is_unlisted || job.drafts.contains_key(&piece.item) {
            return;
        }
        let parts = job.parts.entry(piece.item).or_default();
        if let Some(after) = index_after(piece.after, parts) {
            parts.truncate(after);
            parts.extend(piece.parts);
        }
    }

    /// Joins the logged parts and a draft into the complete text, and returns it with the versions
    /// of the weights that produced it. Returns `None` if preceding parts are missing, or if the
    /// item is already listed or has a draft.
    fn complete_text(&self, draft: &Draft) -> Option<(Bytes, Vec<u64>)> {
        let job = self.jobs.get(&draft.job)?;
        let is_unlisted = job.listed.get(draft.item as usize) == Some(&false);
        if !is_unlisted || job.drafts.contains_key(&draft.item) {
            return None;
        }
        let parts = job.parts.get(&draft.item).map_or(&[][..], Vec::as_slice);
        let first = &parts[..index_after(draft.after, parts)?];
        if first.is_empty() {
            return Some((draft.text.clone(), draft.versions.clone()));
        }
        // The text is kept for as long as the job, so no capacity is left over.
        let length = first.iter().map(|part| part.data.len() + 1).sum::<usize>();
        let mut text = BytesMut::with_capacity(length + draft.text.len());
        let mut versions: BTreeSet<u64> = draft.versions.iter().copied().collect();
        for part in first {
            text.extend_from_slice(&part.data);
            text.extend_from_slice(b"\n");
            versions.insert(part.version);
        }
        text.extend_from_slice(&draft.text);
        Some((text.freeze(), versions.into_iter().collect()))
    }

    fn add_draft(&mut self, draft: Draft) {
        let joined = self.complete_text(&draft);
        if let (Some(joined), Some(job)) = (joined, self.jobs.get_mut(&draft.job)) {
            job.parts.remove(&draft.item);
            job.drafts.insert(draft.item, joined);
        }
    }

    fn finish_item(&mut self, draft: Draft) {
        if let Some((text, versions)) = self.complete_text(&draft) {
            self.append_result(Listing {
                job: draft.job,
                item: draft.item,
                outcome: Outcome::Completed {
                    text,
                    versions,
                    score: None,
                },
            });
        }
    }

    fn score(&mut self, score: Score) {
        let job = self.jobs.get_mut(&score.job);
        let Some((text, versions)) = job.and_then(|job| job.drafts.remove(&score.item)) else {
            return;
        };
        self.append_result(Listing {
            job: score.job,
            item: score.item,
            outcome: Outcome::Completed {
                text,
                versions,
                score: Some(score.score),
            },
        });
    }

    fn end_job(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.ended = true;
            job.items.iter_mut().for_each(clear_request);
        }
    }

    fn store_view_copy(&mut self, revision: u64, view: Bytes) {
        let known = self.view_copy.as_ref().map_or(0, |(known, _)| *known);
        if revision > known {
            self.view_copy = Some((revision, view));
        }
    }
}

/// Converts `after`, a number of parts, to an index; `None` if there are fewer parts.
fn index_after(after: u64, parts: &[Part]) -> Option<usize> {
    let after = usize::try_from(after).ok()?;
    (after <= parts.len()).then_some(after)
}

/// Clears the body, the headers and the scoring call of an item, which are needed only to run it.
fn clear_request(item: &mut Item) {
    item.body = Bytes::new();
    item.headers = Vec::new();
    item.scoring = None;
}
