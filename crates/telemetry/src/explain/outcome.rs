//! Summary of the outcome of a request, job, job item, usage window or request content.
//!
//! The functions expect the lines in order of time and search them for the events that decide the
//! outcome.

use super::line::LogLine;
use std::collections::{BTreeMap, BTreeSet};

/// Whether any line has `id` as the value of `key`.
pub(super) fn key_has_value(key: &str, id: &str, lines: &[LogLine]) -> bool {
    lines.iter().any(|line| line.field(key) == id)
}

/// Outcome of `id`. The key that has the id as its value shows what the id identifies.
pub(super) fn outcome(id: &str, lines: &[LogLine]) -> String {
    if key_has_value("job", id, lines) {
        job_outcome(lines)
    } else if key_has_value("item", id, lines) {
        item_outcome(lines)
    } else if key_has_value("content", id, lines) {
        content_outcome(lines)
    } else {
        request_outcome(lines)
    }
}

/// Outcome of a request or of a usage window.
fn request_outcome(lines: &[LogLine]) -> String {
    let find = |event: &str| lines.iter().find(|line| line.event() == event);
    if let Some(line) = find("request_denied") {
        return denial_outcome(line);
    }
    if let Some(line) = find("usage_sent") {
        return window_outcome(lines, line);
    }
    let attempts = failed_attempts(lines);
    if let Some(line) = find("stream_broken") {
        let after = line.field("after");
        return format!("stream broke off after event {after}; {attempts}");
    }
    if let Some(line) = find("request_overloaded") {
        return format!(
            "refused at once: no replica was expected to answer within {} ms; {attempts}",
            line.field("left_ms")
        );
    }
    if let Some(line) = find("request_failed") {
        return failure_outcome(line, &attempts);
    }
    match find("request_answered") {
        Some(line) => format!(
            "answered with {} by {} after {} ms; {attempts}",
            line.field("status"),
            line.field("replica"),
            line.field("elapsed_ms")
        ),
        None => {
            format!(
                "no final answer is logged: the caller disconnected, or the process ended; {attempts}"
            )
        }
    }
}

/// Summary of the failed attempts, each with its outcome, cause and replica, and of the hedges.
fn failed_attempts(lines: &[LogLine]) -> String {
    let hedges: String = events(lines, "hedge_ended")
        .into_iter()
        .map(|line| {
            let (second, winner) = (line.field("second"), line.field("winner"));
            format!("; hedged at {second}, winner: {winner}")
        })
        .collect();
    let failed = events(lines, "attempt_failed");
    if failed.is_empty() {
        return format!("no attempt failed{hedges}");
    }
    let failed: Vec<String> = failed.into_iter().map(failed_attempt).collect();
    format!("failed attempts: {}{hedges}", failed.join(", "))
}

fn failed_attempt(line: &LogLine) -> String {
    let (outcome, replica) = (line.field("outcome"), line.field("replica"));
    match line.field("cause") {
        "" => format!("{outcome} at {replica}"),
        cause => format!("{outcome} ({cause}) at {replica}"),
    }
}

fn denial_outcome(line: &LogLine) -> String {
    format!(
        "turned away for its key: {} by configuration {}, cut off: {}",
        line.field("reason"),
        line.field("configuration"),
        line.field("cut_off")
    )
}

/// Why a request failed; `line` is its `request_failed` event.
fn failure_outcome(line: &LogLine, attempts: &str) -> String {
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
        ("true", "true") => "timed out while a replica may have run it",
        ("true", _) => "a replica may have run it, and its answer was lost or invalid",
        (_, "true") => "timed out, not run",
        _ if line.field("ready_replicas") == "0" => "not run: no replica was ready",
        _ => "not run: no replica accepted it",
    };
    format!("{what}; {attempts}")
}

/// Outcome of a request content, over all requests with this content.
fn content_outcome(lines: &[LogLine]) -> String {
    let probes = events(lines, "replica_looked_at");
    let ended: BTreeSet<&str> = probes
        .iter()
        .filter(|line| line.field("ended") == "true")
        .map(|line| line.field("replica"))
        .collect();
    let refused = events(lines, "request_failed");
    let refused = refused
        .iter()
        .filter(|line| line.field("quarantined") == "true")
        .count();
    let known = events(lines, "content_known");
    let state = match known.last() {
        Some(line) if line.field("held") == "true" => "held",
        Some(_) => "not held",
        None => "not known to a leader",
    };
    format!(
        "{} replicas ended under it; {refused} requests turned away; {state} in the end",
        ended.len()
    )
}

/// Outcome of a usage window; `first` is the first `usage_sent` event of its report.
fn window_outcome(lines: &[LogLine], first: &LogLine) -> String {
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

/// Outcome of a job item, from its runs and scorings.
fn item_outcome(lines: &[LogLine]) -> String {
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

/// Outcome of a job, from its calls and the runs of its items.
fn job_outcome(lines: &[LogLine]) -> String {
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
        return String::from("no decision about this job is logged");
    }
    parts.join("; ")
}

/// The lines of an event.
fn events<'a>(lines: &'a [LogLine], event: &str) -> Vec<&'a LogLine> {
    lines.iter().filter(|line| line.event() == event).collect()
}

/// Number of lines for each value of a key.
fn counts(lines: &[&LogLine], field: &str) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for line in lines {
        *counts.entry(line.field(field).to_string()).or_default() += 1;
    }
    counts
}
