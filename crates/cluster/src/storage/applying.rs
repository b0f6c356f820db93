//! Applies committed entries to the table and passes their effects on to the dispatcher, the
//! requesters, the order log and the text files.
//!
//! Entries must arrive in log order, each exactly once.

use super::process::{ProcessError, Storage};
use brasspond_consensus::{Entry, Payload};
use brasspond_dispatch::Event;
use brasspond_fleet::FleetView;
use brasspond_jobs::{Accepted, Command};
use brasspond_quarantine::{CaseChange, Fingerprint};
use std::collections::BTreeSet;

impl Storage {
    /// Applies a committed entry.
    ///
    /// # Errors
    /// The entry cannot be decoded. The process must then stop and not skip the entry.
    pub(super) fn apply(&mut self, entry: Entry) -> Result<(), ProcessError> {
        let id = entry.id();
        let command = match entry.payload {
            Payload::Command(bytes) => {
                Command::decode(&bytes).map_err(|error| ProcessError::Table(error.to_string()))?
            }
            Payload::Members(members) => {
                self.members_applied(&members);
                return Ok(());
            }
            Payload::Nothing => return Ok(()),
        };
        if let Command::Intend { subject, holder } = &command {
            let now = self.clock.now();
            self.last_announcements.record(subject, holder, now);
            self.order_announcement_applied(id);
        }
        self.remove_texts(&command);
        let effect = Effect::of(&command);
        let accepted = self.table.apply(command);
        self.resolve_proposals(id);
        self.notify(effect, accepted);
        Ok(())
    }

    /// Notifies the other components of a command's effect after the table applied the command.
    fn notify(&mut self, effect: Effect, accepted: Option<Accepted>) {
        match effect {
            Effect::Accepted(job) if accepted == Some(Accepted::New) => {
                log::info!("event=job_accepted job={job}");
                let now = self.clock.now();
                if !self.consensus.has_backlog() {
                    self.questions.job_accepted(&job, now);
                }
                self.dispatch(Event::JobAccepted(job));
            }
            Effect::Accepted(_) => {}
            Effect::Listed(items) => {
                let jobs: BTreeSet<&String> = items.iter().map(|(job, _)| job).collect();
                for id in jobs {
                    self.queue_finished_texts(id);
                }
                for (job, item) in items {
                    self.dispatch(Event::Listed { job, item });
                }
            }
            Effect::DraftsStored(texts) => self.log_stored_drafts(&texts),
            Effect::Ended(job) => {
                log::info!("event=job_ended job={job}");
                self.questions.job_ended(&job);
                self.queue_finished_texts(&job);
                self.dispatch(Event::JobEnded(job));
            }
            Effect::Removed(jobs) => {
                for job in jobs {
                    self.questions.job_ended(&job);
                    self.dispatch(Event::JobForgotten(job));
                }
            }
            // Decoding a view is slow, so only the newest one is decoded, once all entries are
            // applied.
            Effect::ViewCopied => self.has_newer_copy = true,
            Effect::QuarantineChanged(contents) => self.quarantine_changed(contents),
            Effect::Nothing => {}
        }
    }

    /// Queues the texts of a job for writing to disk if the job is finished.
    fn queue_finished_texts(&mut self, id: &str) {
        if let Some(job) = self.table.job(id)
            && job.is_finished()
        {
            self.texts.job_finished(id, job);
        }
    }

    /// On the leader, writes a log line for each complete text that the committed log now stores
    /// until the text is scored. From then on the text survives a crash of all processes.
    fn log_stored_drafts(&self, texts: &[(String, u32)]) {
        if self.leader_state.is_none() {
            return;
        }
        for (job, item) in texts {
            let stored = self.table.job(job);
            let job_with_draft = stored.filter(|stored| stored.drafts.contains_key(item));
            if let Some(job_with_draft) = job_with_draft {
                let id = &job_with_draft.items[*item as usize].id;
                log::info!("event=text_kept job={job} item={id}");
            }
        }
    }

    /// Merges the newest copy of the view in the log into this process's view. A copy that cannot
    /// be decoded is skipped with an error in the log, since the view's source has a newer view.
    pub(super) fn merge_view_copy(&mut self) {
        self.has_newer_copy = false;
        let Some((_, bytes)) = self.table.view_copy() else {
            return;
        };
        match rmp_serde::from_slice::<FleetView>(bytes) {
            Ok(mut view) => {
                // Evacuations in the copy may be outdated.
                view.forget_evacuations();
                if self.view.merge(&view) {
                    self.view_changed();
                }
            }
            Err(error) => log::error!("event=view_copy_unreadable error=\"{error}\""),
        }
    }
}

/// Effect of a command on components other than the table.
enum Effect {
    /// A job was accepted, possibly not for the first time.
    Accepted(String),
    /// The results of these items are listed in their jobs, by job and index of the item.
    Listed(Vec<(String, u32)>),
    /// The log stores complete texts of these items, by job and index of the item.
    DraftsStored(Vec<(String, u32)>),
    /// A job ended.
    Ended(String),
    /// These jobs were removed.
    Removed(Vec<String>),
    /// The log has a newer copy of the view.
    ViewCopied,
    /// The cases of these contents changed.
    QuarantineChanged(Vec<Fingerprint>),
    /// No effect on other components.
    Nothing,
}

impl Effect {
    fn of(command: &Command) -> Self {
        match command {
            Command::Accept(submission) => Self::Accepted(submission.id.clone()),
            Command::List(listings) => {
                let items = listings.iter().map(|one| (one.job.clone(), one.item));
                Self::Listed(items.collect())
            }
            Command::Finish(drafts) => {
                let items = drafts.iter().map(|one| (one.job.clone(), one.item));
                Self::Listed(items.collect())
            }
            Command::Score(scores) => {
                let items = scores.iter().map(|one| (one.job.clone(), one.item));
                Self::Listed(items.collect())
            }
            Command::Draft(drafts) => {
                let items = drafts.iter().map(|one| (one.job.clone(), one.item));
                Self::DraftsStored(items.collect())
            }
            Command::End { job } => Self::Ended(job.clone()),
            Command::Forget { jobs } => Self::Removed(jobs.clone()),
            Command::Remember { .. } => Self::ViewCopied,
            Command::Quarantine(changes) => {
                Self::QuarantineChanged(changes.iter().map(CaseChange::content).collect())
            }
            Command::Extend(_) | Command::Intend { .. } | Command::Usage(_) => Self::Nothing,
        }
    }
}
