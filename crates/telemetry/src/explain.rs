//! The story of one request, item, job or content out of the logs of several processes.
//!
//! Inputs are read as streams; kept are only the lines about the identity asked
//! for and the events that may have touched it (changes of leader, lost
//! machines, a store out of reach), and of those only what happened meanwhile.

use std::collections::BTreeMap;
use std::io::BufRead;

/// Lines of context kept at most.
const MOST_CONTEXT: usize = 20_000;
/// Lines between two words of progress.
const PROGRESS_LINES: u64 = 1_000_000;
/// Events that may touch a request without naming it.
const CONTEXT: [&str; 13] = [
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

/// When a line was written, as far as it can be compared with others.
#[derive(Clone, Debug, PartialEq, PartialOrd)]
enum Moment {
    Seconds(f64),
    Text(String),
}

/// A line of a log.
#[derive(Clone, Debug)]
pub struct LogLine {
    source: String,
    moment: Moment,
    fields: BTreeMap<String, String>,
    text: String,
}

impl LogLine {
    /// Reads a line; none where it names no event.
    fn read(source: &str, text: &str) -> Option<Self> {
        let start = text.find("event=")?;
        let fields = text[start..].split_ascii_whitespace();
        let fields = fields.filter_map(|word| word.split_once('='));
        let fields = fields.map(|(key, value)| (key.to_string(), value.to_string()));
        let fields = fields.collect();
        let mut words = text[..start].split_ascii_whitespace();
        let first = words.next().unwrap_or_default();
        let moment = match first.parse::<f64>() {
            Ok(seconds) => Moment::Seconds(seconds),
            Err(_) => Moment::Text(first.trim_end_matches('Z').to_string()),
        };
        Some(Self {
            source: source.to_string(),
            moment,
            fields,
            text: text.trim_end().to_string(),
        })
    }

    fn event(&self) -> &str {
        self.field("event")
    }

    fn field(&self, key: &str) -> &str {
        self.fields.get(key).map_or("", String::as_str)
    }

    fn names(&self, id: &str) -> bool {
        ["request", "item", "job", "window", "content"]
            .iter()
            .any(|key| self.field(key) == id)
    }
}

/// What the logs tell of an identity.
#[derive(Debug, Default)]
pub struct Story {
    id: String,
    lines: Vec<LogLine>,
    context: Vec<LogLine>,
    read: u64,
}

impl Story {
    /// The story of `id`, still empty.
    pub fn of(id: &str) -> Self {
        Self {
            id: id.to_string(),
            ..Self::default()
        }
    }

    /// Reads one process's log. `progress` hears how many lines were read, from
    /// time to time.
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
            self.read += 1;
            if self.read.is_multiple_of(PROGRESS_LINES) {
                progress(self.read);
            }
            let text = String::from_utf8_lossy(&bytes);
            if let Some(line) = LogLine::read(source, &text) {
                self.take(line);
            }
        }
    }

    fn take(&mut self, line: LogLine) {
        if line.names(&self.id) {
            self.lines.push(line);
        } else if CONTEXT.contains(&line.event()) && self.context.len() < MOST_CONTEXT {
            self.context.push(line);
        }
    }

    /// Whether any line names the identity.
    pub fn is_known(&self) -> bool {
        !self.lines.is_empty()
    }

    /// The story in the order of time, ending in its cause.
    pub fn tell(mut self) -> Vec<String> {
        let order = |a: &LogLine, b: &LogLine| {
            let order = a.moment.partial_cmp(&b.moment);
            order.unwrap_or(std::cmp::Ordering::Equal)
        };
        self.lines.sort_by(order);
        let is_job = self.lines.iter().any(|line| line.field("job") == self.id);
        let mut told: Vec<LogLine> = self.lines.clone();
        if is_job {
            told.retain(|line| !line.fields.contains_key("item"));
        }
        if let (Some(first), Some(last)) = (self.lines.first(), self.lines.last()) {
            let meanwhile = self
                .context
                .iter()
                .filter(|line| line.moment >= first.moment && line.moment <= last.moment);
            told.extend(meanwhile.cloned());
        }
        told.sort_by(order);
        let mut text: Vec<String> = told
            .iter()
            .map(|line| format!("{}: {}", line.source, line.text))
            .collect();
        let cause = if is_job {
            job_cause(&self.lines)
        } else if self.lines.iter().any(|line| line.field("item") == self.id) {
            item_cause(&self.lines)
        } else if self
            .lines
            .iter()
            .any(|line| line.field("content") == self.id)
        {
            content_cause(&self.lines)
        } else {
            request_cause(&self.lines)
        };
        text.push(format!("cause: {cause}"));
        text
    }
}

fn request_cause(lines: &[LogLine]) -> String {
    let failed: Vec<String> = lines
        .iter()
        .filter(|line| line.event() == "attempt_failed")
        .map(|line| {
            let cause = line.field("cause");
            let cause = if cause.is_empty() {
                String::new()
            } else {
                format!(" ({cause})")
            };
            format!(
                "{}{cause} at {}",
                line.field("outcome"),
                line.field("replica")
            )
        })
        .collect();
    let attempts = if failed.is_empty() {
        String::from("no attempt failed")
    } else {
        format!("failed attempts: {}", failed.join(", "))
    };
    if let Some(line) = lines.iter().find(|line| line.event() == "request_denied") {
        return format!(
            "turned away for its key: {} by configuration {}, cut off: {}",
            line.field("reason"),
            line.field("configuration"),
            line.field("cut_off")
        );
    }
    if let Some(line) = lines.iter().find(|line| line.event() == "usage_sent") {
        return window_cause(lines, line);
    }
    if let Some(line) = lines.iter().find(|line| line.event() == "stream_broken") {
        return format!(
            "stream broke off after event {}; {attempts}",
            line.field("after")
        );
    }
    if let Some(line) = lines.iter().find(|line| line.event() == "request_failed") {
        let reason = line.field("reason");
        if !reason.is_empty() {
            return format!("refused at once: {reason}");
        }
        if line.field("quarantined") == "true" && line.field("may_have_run") == "false" {
            return format!(
                "not run: replicas ended under its content {}, which is held; {attempts}",
                line.field("content")
            );
        }
        let what = match (line.field("may_have_run"), line.field("late")) {
            ("true", "true") => "ran out of time while a replica may have run it",
            ("true", _) => "a replica may have run it, and its answer was lost or spoiled",
            (_, "true") => "ran out of time, not run",
            _ if line.field("ready_replicas") == "0" => "not run: no replica was ready",
            _ => "not run: no replica took it",
        };
        return format!("{what}; {attempts}");
    }
    match lines.iter().find(|line| line.event() == "request_answered") {
        Some(line) => format!(
            "answered with {} by {} after {} ms; {attempts}",
            line.field("status"),
            line.field("replica"),
            line.field("elapsed_ms")
        ),
        None => {
            format!("no final answer is logged: the caller left, or the process ended; {attempts}")
        }
    }
}

/// What became of a content, whichever requests asked for it.
fn content_cause(lines: &[LogLine]) -> String {
    let looks = events(lines, "replica_looked_at");
    let ended: std::collections::BTreeSet<&str> = looks
        .iter()
        .filter(|line| line.field("ended") == "true")
        .map(|line| line.field("replica"))
        .collect();
    let refused = events(lines, "request_failed");
    let refused = refused
        .iter()
        .filter(|line| line.field("quarantined") == "true")
        .count();
    let withheld = events(lines, "item_withheld").len();
    let known = events(lines, "content_known");
    let standing = match known.last() {
        Some(line) if line.field("held") == "true" => "held",
        Some(_) => "not held",
        None => "not known to a leader",
    };
    format!(
        "{} replicas ended under it; {refused} requests turned away, {withheld} items withheld; {standing} in the end",
        ended.len()
    )
}

/// What became of a usage window; `first` is the first time its report was sent.
fn window_cause(lines: &[LogLine], first: &LogLine) -> String {
    let sent = events(lines, "usage_sent");
    let closed = events(lines, "usage_closed");
    let late = closed.first().map_or("", |line| line.field("late_ms"));
    let answers = counts(&sent, "answer");
    let answers: Vec<String> = answers
        .into_iter()
        .map(|(answer, count)| format!("{count} {answer}"))
        .collect();
    format!(
        "usage window of {} requests, closed {late} ms after its end, sent {} times: {}",
        first.field("requests"),
        sent.len(),
        answers.join(", ")
    )
}

fn item_cause(lines: &[LogLine]) -> String {
    let started: Vec<&LogLine> = events(lines, "run_started");
    let waited = started.first().map_or("", |line| line.field("waited_ms"));
    let moved = events(lines, "run_moved");
    let ended = events(lines, "run_ended");
    let mut parts = vec![format!(
        "waited {waited} ms for a place, {} runs",
        started.len()
    )];
    for (reason, count) in counts(&moved, "reason") {
        parts.push(format!("{count} moved ({reason})"));
    }
    for (end, count) in counts(&ended, "end") {
        parts.push(format!("{count} ended {end}"));
    }
    let scorings = events(lines, "scoring_ended");
    for (end, count) in counts(&scorings, "end") {
        parts.push(format!("{count} scorings ended {end}"));
    }
    if let Some(last) = scorings.last() {
        parts.push(format!("the last took {} ms", last.field("elapsed_ms")));
    }
    let ordered = events(lines, "scoring_ordered").len();
    if ordered > 0 {
        parts.push(format!("{ordered} ordered from other edges"));
    }
    if !events(lines, "item_given_up").is_empty() {
        parts.push(String::from(
            "given up: waited longer than its route allows",
        ));
    }
    parts.join("; ")
}

fn job_cause(lines: &[LogLine]) -> String {
    let mut parts = Vec::new();
    for line in lines.iter().filter(|line| line.field("call") == "submit") {
        parts.push(format!(
            "submit {} after {} ms",
            line.field("outcome"),
            line.field("elapsed_ms")
        ));
    }
    for (end, count) in counts(&events(lines, "run_ended"), "end") {
        parts.push(format!("{count} runs ended {end}"));
    }
    for (reason, count) in counts(&events(lines, "run_moved"), "reason") {
        parts.push(format!("{count} runs moved ({reason})"));
    }
    let longest = events(lines, "run_started")
        .iter()
        .filter_map(|line| line.field("waited_ms").parse::<u64>().ok())
        .max();
    if let Some(longest) = longest {
        parts.push(format!(
            "last start {longest} ms after the job was known to the leader"
        ));
    }
    if parts.is_empty() {
        return String::from("no decision about it is logged");
    }
    parts.join("; ")
}

fn events<'a>(lines: &'a [LogLine], event: &str) -> Vec<&'a LogLine> {
    lines.iter().filter(|line| line.event() == event).collect()
}

fn counts(lines: &[&LogLine], field: &str) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for line in lines {
        *counts.entry(line.field(field).to_string()).or_default() += 1;
    }
    counts
}
