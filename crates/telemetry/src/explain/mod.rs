//! Timeline of one request, job, job item, usage window or request content (identified by its
//! fingerprint), built from the logs of several processes.
//!
//! Logs are read as streams. The timeline shows the lines that contain the id, which means that
//! they have it as the value of the key `request`, `item`, `job`, `window` or `content`. The
//! timeline of a job omits the lines that have the key `item`. Between the first and the last line
//! with the id, it also shows context: events that may have affected the outcome although their
//! lines do not contain the id, such as leader changes, lost machines or an unreachable store.
//! `line` parses a line, and `outcome` summarizes the outcome from the lines.

mod line;
mod outcome;

use line::LogLine;
use outcome::{key_has_value, outcome};
use std::cmp::Ordering;
use std::io::BufRead;

/// Maximum number of context lines in memory; further ones are ignored. The number of lines that
/// contain the id is not limited.
const MAX_CONTEXT_LINES: usize = 20_000;
/// Number of lines between two progress reports.
const PROGRESS_LINES: u64 = 1_000_000;
/// Events that may affect any request, although their log lines contain no id.
const CONTEXT_EVENTS: [&str; 13] = [
    "leadership_won",
    "leadership_lost",
    "leader_known",
    "leader_link_down",
    "leader_silent",
    "edge_lost",
    "disk_lost",
    "members_changed",
    "store_lost",
    "store_regained",
    "configuration_known",
    "stopping",
    "stood_still",
];

/// Log lines about one id, and context lines.
#[derive(Debug, Default)]
pub struct Timeline {
    id: String,
    /// Lines that contain the id.
    lines: Vec<LogLine>,
    /// Lines of [`CONTEXT_EVENTS`], in the order in which they were read.
    context: Vec<LogLine>,
    /// Number of lines read so far, from all logs.
    lines_read: u64,
}

impl Timeline {
    /// Creates an empty timeline of `id`.
    pub fn of(id: &str) -> Self {
        Self {
            id: id.to_string(),
            ..Self::default()
        }
    }

    /// Reads the log of one process, named `source`. Calls `progress` after every `PROGRESS_LINES`
    /// lines, with the number of lines read so far from all logs.
    ///
    /// # Errors
    /// The input cannot be read.
    pub fn read(
        &mut self,
        source: &str,
        mut input: impl BufRead,
        mut progress: impl FnMut(u64),
    ) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            if input.read_until(b'\n', &mut bytes)? == 0 {
                return Ok(());
            }
            self.lines_read += 1;
            if self.lines_read.is_multiple_of(PROGRESS_LINES) {
                progress(self.lines_read);
            }
            let text = String::from_utf8_lossy(&bytes);
            if let Some(line) = LogLine::parse(source, &text) {
                self.add(line);
            }
        }
    }

    /// Adds a line if it contains the id or is context.
    fn add(&mut self, line: LogLine) {
        if line.has_id(&self.id) {
            self.lines.push(line);
        } else if CONTEXT_EVENTS.contains(&line.event()) && self.context.len() < MAX_CONTEXT_LINES {
            self.context.push(line);
        }
    }

    /// Whether any line read so far contains the id.
    pub fn found_id(&self) -> bool {
        !self.lines.is_empty()
    }

    /// Returns the lines in order of time, and at the end a line `cause: ...` that summarizes the
    /// outcome. The timeline of a job omits the lines that have the key `item`.
    pub fn into_lines(mut self) -> Vec<String> {
        self.lines.sort_by(by_time);
        let is_job = key_has_value("job", &self.id, &self.lines);
        let mut shown: Vec<&LogLine> = self.lines.iter().collect();
        if is_job {
            shown.retain(|line| !line.has_key("item"));
        }
        shown.extend(self.overlapping_context());
        shown.sort_by(|a, b| by_time(a, b));
        let mut text: Vec<String> = shown.into_iter().map(ToString::to_string).collect();
        text.push(format!("cause: {}", outcome(&self.id, &self.lines)));
        text
    }

    /// Context lines between the first and the last line that contain the id; `lines` must be
    /// sorted. Context lines whose timestamps have another format are left out.
    fn overlapping_context(&self) -> impl Iterator<Item = &LogLine> {
        let ends = self.lines.first().zip(self.lines.last());
        self.context
            .iter()
            .filter(move |line| ends.is_some_and(|(first, last)| line.is_between(first, last)))
    }
}

/// Orders lines by time. Timestamps of different formats cannot be compared and count as equal, so
/// the order is total only if all logs use the same format. Otherwise the result of sorting is
/// unspecified, and `sort_by` may panic.
fn by_time(a: &LogLine, b: &LogLine) -> Ordering {
    a.compare_time(b).unwrap_or(Ordering::Equal)
}
