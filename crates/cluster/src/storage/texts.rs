//! Texts of finished jobs, which are moved from memory to disk and read back on demand.
//!
//! Owns [`Texts`]. The files only save memory, since the log stores all texts durably. A text that
//! cannot be written to a file stays in memory, and one that cannot be read is read from another
//! member.

use super::memory_budget::MemoryBudget;
use super::process::{ProcessError, Storage};
use super::snapshots::read_table;
use brasspond_durable::TextFiles;
use brasspond_jobs::{Command, Job, JobTable, Page};
use std::collections::VecDeque;

/// Files with the texts that were moved out of the table.
pub(super) struct Texts {
    pub files: TextFiles,
    /// Finished jobs whose texts are not yet written to disk, oldest first.
    finished: VecDeque<FinishedJob>,
    /// Total size of the texts of `finished`, in bytes.
    finished_bytes: usize,
}

/// A finished job whose texts are not yet written to disk.
struct FinishedJob {
    id: String,
    /// Size of its texts in bytes.
    bytes: usize,
}

impl Texts {
    /// Wraps the files of a table and queues its finished jobs without a file for writing.
    pub fn new(files: TextFiles, table: &JobTable) -> Self {
        let mut texts = Self {
            files,
            finished: VecDeque::new(),
            finished_bytes: 0,
        };
        let jobs = table.jobs();
        for (id, job) in jobs.filter(|(_, job)| job.is_finished()) {
            texts.job_finished(id, job);
        }
        texts
    }

    /// Queues the texts of a finished job for writing, unless they are in a file already.
    pub fn job_finished(&mut self, id: &str, job: &Job) {
        if job.text_file.is_some() {
            return;
        }
        let bytes = job.text_bytes();
        self.finished_bytes += bytes;
        let id = id.to_string();
        self.finished.push_back(FinishedJob { id, bytes });
    }

    fn next_finished(&mut self) -> Option<String> {
        let job = self.finished.pop_front()?;
        self.finished_bytes -= job.bytes;
        Some(job.id)
    }
}

impl Storage {
    /// Writes the texts of the next finished job to disk if those of all finished jobs exceed their
    /// share of the memory limit. A process that applies a long log would otherwise hold the texts of all
    /// jobs in it.
    pub(super) fn offload_excess_texts(&mut self) {
        let budget = MemoryBudget::new(self.settings.process.memory_limit);
        if self.texts.finished_bytes > budget.finished_texts {
            self.offload_texts();
        }
    }

    /// Writes the texts of the next finished job to disk. Each call writes only one job, since a
    /// process that has just started may have many.
    pub(super) fn offload_texts(&mut self) {
        let Some(job) = self.texts.next_finished() else {
            return;
        };
        let texts = self.table.texts_for_file(&job);
        if texts.is_empty() {
            return;
        }
        match self.texts.files.write(texts.iter().map(|(_, text)| text)) {
            Ok(file) => self.table.move_to_file(&job, file, &texts),
            // The texts stay in memory.
            Err(error) => log::warn!("event=texts_not_written job={job} error=\"{error}\""),
        }
    }

    /// Returns results of a job from position `since` on: at most `limit` bytes of text, but at least
    /// one result if there is one. Returns `None` if the job is unknown or its texts cannot be read
    /// from disk.
    pub(super) fn read_page(&self, job: &str, since: u64, limit: usize) -> Option<Page> {
        let mut page = self.table.page(job, since, limit)?;
        let text_file = self.table.job(job).and_then(|job| job.text_file.as_ref());
        if let Some(text_file) = text_file
            && let Some(span) = page.span(since, text_file)
        {
            match self
                .texts
                .files
                .read(text_file.file, span.offset, span.length)
            {
                Ok(bytes) => page.fill(since, text_file, span, &bytes),
                Err(error) => {
                    log::warn!("event=texts_unreadable job={job} error=\"{error}\"");
                    return None;
                }
            }
        }
        Some(page)
    }

    /// Replaces the table by an encoded one, and the text files by those of its jobs.
    pub(super) fn replace_table(&mut self, encoded: &[u8]) -> Result<(), ProcessError> {
        self.table = JobTable::default();
        let mut files = TextFiles::open(&self.settings.folder).map_err(ProcessError::Texts)?;
        let table = read_table(encoded, &mut files);
        self.table = table.map_err(|error| ProcessError::Table(error.to_string()))?;
        self.texts = Texts::new(files, &self.table);
        Ok(())
    }

    /// Removes the files of jobs that a command removes. Must be called before the command is
    /// applied. A file that cannot be removed stays until the next start.
    pub(super) fn remove_texts(&self, command: &Command) {
        let Command::Forget { jobs } = command else {
            return;
        };
        let text_files = jobs
            .iter()
            .filter_map(|job| self.table.job(job)?.text_file.as_ref());
        for text_file in text_files {
            if let Err(error) = self.texts.files.remove(text_file.file) {
                log::warn!(
                    "event=texts_not_removed file={} error=\"{error}\"",
                    text_file.file
                );
            }
        }
    }
}
