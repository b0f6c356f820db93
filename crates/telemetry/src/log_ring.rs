//! Log lines behind a bounded ring.
//!
//! Every line is one event of key=value pairs. Lines of one event beyond a number a second are
//! folded into a count. Lines that find the ring full are dropped and counted. Both counts are
//! logged in lines of their own, which no limit applies to.

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};
use std::collections::HashMap;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// Pause of the writing thread between two writes, so that several lines are written together:
/// each wake-up costs the process. Not measured.
const WRITE_PAUSE: Duration = Duration::from_millis(20);
/// Time without a line after which the writing thread checks whether lines were dropped. Not
/// measured.
const DROP_CHECK_PAUSE: Duration = Duration::from_secs(2);
/// Time over which lines of an event are counted: `LogLimits::per_event` is a number a second.
const FOLD_WINDOW: Duration = Duration::from_secs(1);
/// Event of lines that name none.
const NO_EVENT: &str = "none";

/// Bounds on the volume of log lines.
#[derive(Clone, Copy, Debug)]
pub struct LogLimits {
    /// Most lines in the ring.
    pub ring: usize,
    /// Most lines of one event a second; more are folded into a count.
    pub per_event: u64,
}

/// Not measured.
impl Default for LogLimits {
    fn default() -> Self {
        Self {
            ring: 4_096,
            per_event: 1_000,
        }
    }
}

/// The ring of a process.
#[derive(Clone)]
pub struct LogRing {
    dropped: Arc<AtomicU64>,
    lines: SyncSender<Line>,
}

enum Line {
    Text(Vec<u8>),
    Flush(SyncSender<()>),
}

impl LogRing {
    /// Lines dropped so far because the ring was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits until all lines so far are written, but not longer than `limit`.
    pub fn flush(&self, limit: Duration) {
        let (done, wait) = sync_channel(1);
        if self.lines.try_send(Line::Flush(done)).is_ok() {
            // At the limit the process ends without the lines that are left.
            let _ = wait.recv_timeout(limit);
        }
    }
}

/// Begins to log to `sink` through a ring.
///
/// # Errors
/// The writing thread cannot be started.
pub fn start(
    level: LevelFilter,
    limits: LogLimits,
    sink: impl Write + Send + 'static,
) -> std::io::Result<LogRing> {
    let (ring, writer) = ring(limits, sink)?;
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .build();
    // Fails only where a logger is set already, as between tests; that one stays.
    let _ = WriteLogger::init(level, config, writer);
    Ok(ring)
}

/// Makes a ring, and the writer that puts lines into it.
pub(crate) fn ring(
    limits: LogLimits,
    sink: impl Write + Send + 'static,
) -> std::io::Result<(LogRing, RingWriter)> {
    let (lines, receiver) = sync_channel(limits.ring);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&dropped);
    std::thread::Builder::new()
        .name("log".to_string())
        .spawn(move || write_lines(&receiver, &counted, sink))?;
    let ring = LogRing {
        dropped: Arc::clone(&dropped),
        lines: lines.clone(),
    };
    let writer = RingWriter {
        line: Vec::new(),
        lines,
        dropped,
        folds: Folds::new(limits.per_event),
    };
    Ok((ring, writer))
}

fn write_lines(lines: &Receiver<Line>, dropped: &AtomicU64, mut sink: impl Write) {
    let mut reported = 0;
    loop {
        let mut batch = Vec::new();
        let mut flushed = Vec::new();
        match lines.recv_timeout(DROP_CHECK_PAUSE) {
            Ok(line) => sort(line, &mut batch, &mut flushed),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        while let Ok(line) = lines.try_recv() {
            sort(line, &mut batch, &mut flushed);
        }
        let now = dropped.load(Ordering::Relaxed);
        if now > reported {
            let text = format!("[WARN] event=log_lines_dropped count={}\n", now - reported);
            batch.extend_from_slice(text.as_bytes());
            reported = now;
        }
        if !batch.is_empty() {
            // There is nowhere to log that the log itself cannot be written.
            let _ = sink.write_all(&batch);
            let _ = sink.flush();
        }
        for done in flushed {
            // Whoever asked may have reached its limit and gone.
            let _ = done.send(());
        }
        std::thread::sleep(WRITE_PAUSE);
    }
}

/// Adds a text to the batch, or a flush to those to answer after it is written.
fn sort(line: Line, batch: &mut Vec<u8>, flushed: &mut Vec<SyncSender<()>>) {
    match line {
        Line::Text(text) => batch.extend_from_slice(&text),
        Line::Flush(done) => flushed.push(done),
    }
}

/// Collects whole lines and puts them into the ring without ever waiting.
pub(crate) struct RingWriter {
    line: Vec<u8>,
    lines: SyncSender<Line>,
    dropped: Arc<AtomicU64>,
    folds: Folds,
}

impl RingWriter {
    fn put(&mut self, line: Vec<u8>) {
        if self.lines.try_send(Line::Text(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn finish_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        for folded in self.folds.finish_window(Instant::now()) {
            self.put(folded);
        }
        if self.folds.may_pass(event_of(&line)) {
            self.put(line);
        }
    }
}

impl Write for RingWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        for byte in bytes {
            self.line.push(*byte);
            if *byte == b'\n' {
                self.finish_line();
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Counts lines by event and folds what is too many.
struct Folds {
    per_event: u64,
    since: Instant,
    counts: HashMap<String, u64>,
}

impl Folds {
    fn new(per_event: u64) -> Self {
        Self {
            per_event,
            since: Instant::now(),
            counts: HashMap::new(),
        }
    }

    /// Once the window is over, begins the next and returns a line for each event of which lines
    /// were folded.
    fn finish_window(&mut self, now: Instant) -> Vec<Vec<u8>> {
        if now.duration_since(self.since) < FOLD_WINDOW {
            return Vec::new();
        }
        self.since = now;
        let counts = std::mem::take(&mut self.counts);
        let too_many = counts
            .into_iter()
            .filter(|(_, count)| *count > self.per_event);
        too_many
            .map(|(event, count)| {
                let folded = count - self.per_event;
                format!("[INFO] event=log_lines_folded of={event} count={folded}\n").into_bytes()
            })
            .collect()
    }

    /// Counts a line of an event; whether it is within the limit.
    fn may_pass(&mut self, event: &str) -> bool {
        let count = match self.counts.get_mut(event) {
            Some(count) => count,
            None => self.counts.entry(event.to_string()).or_default(),
        };
        *count += 1;
        *count <= self.per_event
    }
}

/// The event that a line names, or `NO_EVENT`. A line that is no UTF-8 names none.
fn event_of(line: &[u8]) -> &str {
    let text = std::str::from_utf8(line).unwrap_or_default();
    let mut words = text.split_ascii_whitespace();
    let event = words.find_map(|word| word.strip_prefix("event="));
    event.unwrap_or(NO_EVENT)
}

#[cfg(test)]
#[path = "../tests/unit/log_ring.rs"]
mod tests;
