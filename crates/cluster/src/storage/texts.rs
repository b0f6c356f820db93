//! Texts of ended jobs: out of memory, onto the disk, and back for reads.

use super::process::{ProcessError, Storage};
use brasspond_durable::TextFiles;
use brasspond_jobs::{Command, JobTable, Page};
use bytes::Bytes;
use std::collections::VecDeque;

/// Jobs whose texts are to be written to the disk, the oldest first.
#[derive(Debug, Default)]
pub(super) struct EndedJobs {
    waiting: VecDeque<String>,
}

impl EndedJobs {
    /// All ended jobs of a table whose texts all lie in it.
    pub fn of(table: &JobTable) -> Self {
        let ended = table.jobs().filter(|(_, job)| job.ended);
        Self {
            waiting: ended.map(|(id, _)| id.clone()).collect(),
        }
    }

    /// A job ended.
    pub fn push(&mut self, job: String) {
        self.waiting.push_back(job);
    }
}

impl Storage {
    /// Writes the texts of one ended job to the disk. One at a time: a process that
    /// starts finds many.
    pub(super) fn put_texts_away(&mut self) {
        let Some(job) = self.ended_jobs.waiting.pop_front() else {
            return;
        };
        let texts = self.table.spare_texts(&job);
        if texts.is_empty() {
            return;
        }
        match self.text_files.write(texts.iter().map(|(_, text)| text)) {
            Ok(file) => self.table.put_away(&job, file, &texts),
            // The texts stay in memory.
            Err(error) => log::warn!("event=texts_not_written job={job} error=\"{error}\""),
        }
    }

    /// Results of a job from a position on; none: no such job, or its texts cannot be
    /// read here.
    pub(super) fn read_page(&self, job: &str, since: u64, limit: usize) -> Option<Page> {
        let mut page = self.table.page(job, since, limit)?;
        let away = self.table.job(job).and_then(|job| job.away.as_ref());
        if let Some(away) = away
            && let Some(span) = page.span(since, away)
        {
            match self.text_files.read(away.file, span.offset, span.length) {
                Ok(bytes) => page.fill(since, away, span, &bytes),
                Err(error) => {
                    log::warn!("event=texts_unreadable job={job} error=\"{error}\"");
                    return None;
                }
            }
        }
        Some(page)
    }

    /// Another table takes the place of this one: its texts all lie in it.
    pub(super) fn replace_table(&mut self, table: JobTable) -> Result<(), ProcessError> {
        let folder = &self.settings.folder;
        self.text_files = TextFiles::open(folder).map_err(ProcessError::Texts)?;
        self.ended_jobs = EndedJobs::of(&table);
        self.table = table;
        Ok(())
    }

    /// Removes the files of jobs that a command drops. Call before it is applied.
    pub(super) fn remove_texts(&self, command: &Command) {
        let Command::Forget { jobs } = command else {
            return;
        };
        let away = jobs
            .iter()
            .filter_map(|job| self.table.job(job)?.away.as_ref());
        for away in away {
            if let Err(error) = self.text_files.remove(away.file) {
                log::warn!(
                    "event=texts_not_removed file={} error=\"{error}\"",
                    away.file
                );
            }
        }
    }

    /// The table for a snapshot, with all its texts.
    pub(super) fn encode_table(&self) -> Result<Bytes, ProcessError> {
        let whole = self.whole_table().map_err(ProcessError::Texts)?;
        let state = whole.as_ref().unwrap_or(&self.table).encode();
        state.map_err(|error| ProcessError::Table(error.to_string()))
    }

    /// A copy of the table with the texts that lie outside; none where none do.
    fn whole_table(&self) -> std::io::Result<Option<JobTable>> {
        let mut whole: Option<JobTable> = None;
        for (id, job) in self.table.jobs() {
            let Some(away) = &job.away else {
                continue;
            };
            let whole = whole.get_or_insert_with(|| self.table.clone());
            for (position, place) in &away.places {
                let text = self
                    .text_files
                    .read(away.file, place.offset, place.length)?;
                whole.restore(id, *position, text);
            }
        }
        Ok(whole)
    }
}
