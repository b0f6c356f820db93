//! Log lines behind a bounded ring.
//!
//! Every line is one event of key=value pairs. Lines of one event beyond a
//! number a second are folded into a count; lines that find the ring full are
//! dropped and counted. Both counts are told in lines of their own.

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};
use std::collections::HashMap;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// Pause of the writing thread between two writes, so that lines come together.
const WRITE_PAUSE: Duration = Duration::from_millis(20);
/// Time after which the writing thread looks whether lines were dropped.
const IDLE_PAUSE: Duration = Duration::from_secs(2);
/// Length of the time over which lines of an event are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Event of lines that name none.
const NO_EVENT: &str = "none";

/// Bounds on the volume of log lines.
#[derive(Clone, Copy, Debug)]
pub struct LogLimits {
    /// Lines the ring holds.
    pub ring: usize,
    /// Lines of one event a second; more are folded into a count.
    pub per_event: u64,
}

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
    let _ = WriteLogger::init(level, config, writer);
    Ok(ring)
}

/// A ring and the end of it that lines are written to.
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
    let mut told = 0;
    loop {
        let mut batch = Vec::new();
        let mut flushed = Vec::new();
        match lines.recv_timeout(IDLE_PAUSE) {
            Ok(line) => take(line, &mut batch, &mut flushed),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        while let Ok(line) = lines.try_recv() {
            take(line, &mut batch, &mut flushed);
        }
        let now = dropped.load(Ordering::Relaxed);
        if now > told {
            let text = format!("[WARN] event=log_lines_dropped count={}\n", now - told);
            batch.extend_from_slice(text.as_bytes());
            told = now;
        }
        if !batch.is_empty() {
            // Nobody can be told where standard output itself fails.
            let _ = sink.write_all(&batch);
            let _ = sink.flush();
        }
        for done in flushed {
            let _ = done.send(());
        }
        std::thread::sleep(WRITE_PAUSE);
    }
}

fn take(line: Line, batch: &mut Vec<u8>, flushed: &mut Vec<SyncSender<()>>) {
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
        for folded in self.folds.turn(Instant::now()) {
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

    /// Lines about what was folded, once the window is over.
    fn turn(&mut self, now: Instant) -> Vec<Vec<u8>> {
        if now.duration_since(self.since) < WINDOW {
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

    fn may_pass(&mut self, event: &str) -> bool {
        let count = match self.counts.get_mut(event) {
            Some(count) => count,
            None => self.counts.entry(event.to_string()).or_default(),
        };
        *count += 1;
        *count <= self.per_event
    }
}

fn event_of(line: &[u8]) -> &str {
    let text = std::str::from_utf8(line).unwrap_or_default();
    let mut words = text.split_ascii_whitespace();
    let event = words.find_map(|word| word.strip_prefix("event="));
    event.unwrap_or(NO_EVENT)
}

#[cfg(test)]
#[path = "../tests/unit/log_ring.rs"]
mod tests;
