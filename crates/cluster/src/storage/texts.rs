//! Texts of ended jobs, which are moved from memory to disk and read back on demand.
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
    /// Ended jobs whose texts are not yet written to disk, oldest first.
    ended: VecDeque<EndedJob>,
    /// Total size of the texts of `ended`, in bytes.
    ended_bytes: usize,
}

/// An ended job whose texts are not yet written to disk.
struct EndedJob {
    id: String,
    /// Size of its texts in bytes.
    bytes: usize,
}

impl Texts {
    /// Wraps the files of a table and queues its ended jobs without a file for writing.
    pub fn new(files: TextFiles, table: &JobTable) -> Self {
        let mut texts = Self {
            files,
            ended: VecDeque::new(),
            ended_bytes: 0,
        };
        let jobs = table.jobs();
        for (id, job) in jobs.filter(|(_, job)| job.ended && job.text_file.is_none()) {
            texts.job_ended(id.clone(), job);
        }
        texts
    }

    /// Queues the texts of an ended job for writing.
    pub fn job_ended(&mut self, id: String, job: &Job) {
        let bytes = job.text_bytes();
        self.ended_bytes += bytes;
        self.ended.push_back(EndedJob { id, bytes });
    }

    fn next_ended(&mut self) -> Option<String> {
        let job = self.ended.pop_front()?;
        self.ended_bytes -= job.bytes;
        Some(job.id)
    }
}

impl Storage {
    /// Writes the texts of the next ended job to disk if those of all ended jobs exceed their share
    /// of the memory limit. A process that applies a long log would otherwise hold the texts of all
    /// jobs in it.
    pub(super) fn offload_excess_texts(&mut self) {
        let budget = MemoryBudget::new(self.settings.process.memory_limit);
        if self.texts.ended_bytes > budget.ended_texts {
            self.offload_texts();
        }
    }

    /// Writes the texts of the next ended job to disk. Each call writes only one job, since a
    /// process that has just started may have many.
    pub(super) fn offload_texts(&mut self) {
        let Some(job) = self.texts.next_ended() else {
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
