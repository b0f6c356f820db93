//! Texts of finished jobs that are stored in files rather than in the table.
//!
//! Callers may read results long after a job has finished, and texts take most of the table's
//! memory. Once a job has finished, because it ended or all its items are listed, the texts of its
//! complete groups are needed only for these reads, because no later job contains items of these
//! groups. The process that owns the table may write these
//! texts to its disk; the table then stores their offsets. The offsets are local to the process and
//! are not replicated.

use crate::command::Outcome;
use crate::job::{Job, Page};
use crate::table::JobTable;
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// Byte range in the text file of a job. It contains one text or several consecutive texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TextSpan {
    /// Offset of the first byte.
    pub offset: u64,
    /// Length in bytes.
    pub length: usize,
}

/// Locations of the texts of a job that were moved to a file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TextFileIndex {
    /// Number of the file.
    pub file: u64,
    /// Byte range of each text, by position of its result.
    pub spans: BTreeMap<u64, TextSpan>,
}

impl Job {
    /// Returns the names of the groups with unlisted items. A later job may contain items of these
    /// groups.
    fn incomplete_groups(&self) -> BTreeSet<&str> {
        let listed = self.items.iter().zip(&self.listed);
        let unlisted = listed.filter(|(_, listed)| !**listed);
        unlisted.map(|(item, _)| item.group.as_str()).collect()
    }
}

impl JobTable {
    /// Returns the texts of a finished job that are needed only for reads, with their positions. The
    /// list is empty if the job does not exist or has not finished, or if any of its texts were
    /// already moved to a file.
    pub fn texts_for_file(&self, id: &str) -> Vec<(u64, Bytes)> {
        self.job(id).map_or_else(Vec::new, Job::texts_for_file)
    }

    /// Removes texts of a job from the table and records their locations in the file with number
    /// `file`. The caller has written the texts to this file without gaps, in the order of `texts`.
    pub fn move_to_file(&mut self, id: &str, file: u64, texts: &[(u64, Bytes)]) {
        if let Some(job) = self.job_mut(id) {
            job.move_to_file(file, texts);
        }
    }

    /// Puts a text back into the table after it was read from its file.
    pub fn restore_text(&mut self, id: &str, position: u64, text: Bytes) {
        let Some(job) = self.job_mut(id) else {
            return;
        };
        job.set_text(position, text);
        if let Some(text_file) = &mut job.text_file {
            text_file.spans.remove(&position);
        }
    }
}

impl Job {
    /// Returns the texts that are needed only for reads; see [`JobTable::texts_for_file`].
    pub fn texts_for_file(&self) -> Vec<(u64, Bytes)> {
        if !self.is_finished() || self.text_file.is_some() {
            return Vec::new();
        }
        let incomplete = self.incomplete_groups();
        let results = (0..).zip(&self.results);
        let read_only = results.filter_map(|(position, (item, outcome))| match outcome {
            Outcome::Completed { text, .. } => {
                let group = self.items[*item as usize].group.as_str();
                (!text.is_empty() && !incomplete.contains(group)).then(|| (position, text.clone()))
            }
            Outcome::Terminated => None,
        });
        read_only.collect()
    }

    /// Replaces texts by their locations in a file; see [`JobTable::move_to_file`].
    pub fn move_to_file(&mut self, file: u64, texts: &[(u64, Bytes)]) {
        let mut text_file = TextFileIndex {
            file,
            spans: BTreeMap::new(),
        };
        let mut offset = 0;
        for (position, text) in texts {
            let length = text.len();
            text_file
                .spans
                .insert(*position, TextSpan { offset, length });
            offset += length as u64;
            self.set_text(*position, Bytes::new());
        }
        self.text_file = Some(text_file);
    }

    /// Returns a copy of this job with all texts, or `None` if no texts are in a file.
    /// `read_texts` returns the first bytes of the file with the given number.
    pub(crate) fn with_texts(
        &self,
        read_texts: impl Fn(u64, usize) -> io::Result<Bytes>,
    ) -> io::Result<Option<Self>> {
        let Some(text_file) = &self.text_file else {
            return Ok(None);
        };
        let lengths = text_file.spans.values().map(|span| span.length);
        let texts = read_texts(text_file.file, lengths.sum())?;
        let mut full = self.clone();
        for (position, span) in &text_file.spans {
            // The texts are in the file without gaps, so no offset is beyond `texts`.
            let begin = span.offset as usize;
            full.set_text(*position, texts.slice(begin..begin + span.length));
        }
        Ok(Some(full))
    }

    fn set_text(&mut self, position: u64, new: Bytes) {
        // A position that does not fit into `usize` has no result.
        let position = usize::try_from(position).ok();
        let result = position.and_then(|position| self.results.get_mut(position));
        if let Some((_, Outcome::Completed { text, .. })) = result {
            *text = new;
        }
    }
}

impl Page {
    /// Returns the byte range of the file that contains the missing texts of this page, or `None`
    /// if no text is missing. `since` is the position of the first result of the page.
    pub fn span(&self, since: u64, text_file: &TextFileIndex) -> Option<TextSpan> {
        let mut spans = text_file
            .spans
            .range(since..self.next)
            .map(|(_, span)| span);
        let first = spans.next()?;
        let last = spans.next_back().unwrap_or(first);
        let end = last.offset + last.length as u64;
        Some(TextSpan {
            offset: first.offset,
            length: usize::try_from(end - first.offset).ok()?,
        })
    }

    /// Fills in the missing texts of this page. `bytes` is the content of the file at `span`, and
    /// `since` is the position of the first result of the page.
    pub fn fill(&mut self, since: u64, text_file: &TextFileIndex, span: TextSpan, bytes: &Bytes) {
        for (position, result) in (since..).zip(&mut self.results) {
            if let (Some(text_span), Outcome::Completed { text, .. }) =
                (text_file.spans.get(&position), &mut result.outcome)
            {
                let begin = (text_span.offset - span.offset) as usize;
                *text = bytes.slice(begin..begin + text_span.length);
            }
        }
    }
}
