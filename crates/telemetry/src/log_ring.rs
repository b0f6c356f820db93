//! Logging through a bounded ring.
//!
//! Every line is one event of `key=value` pairs. Lines of one event above a rate limit are replaced
//! by a count. Lines that do not fit into the ring are dropped and counted. Both counts are logged
//! in separate lines, to which the rate limit does not apply.

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};
use std::collections::HashMap;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// Pause of the writing thread between two writes, which batches lines and limits wake-ups.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// Time without a line after which the writing thread checks whether lines were dropped.
const DROP_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Window in which lines of an event are counted; [`LogLimits::per_event`] is a rate per second.
const FOLD_WINDOW: Duration = Duration::from_secs(1);
/// Event of lines that name no event.
const NO_EVENT: &str = "none";

/// Limits on the volume of log lines.
#[derive(Clone, Copy, Debug)]
pub struct LogLimits {
    /// Capacity of the ring, in lines.
    pub ring: usize,
    /// Maximum number of lines of one event per second; further lines are replaced by a count.
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

/// Handle to the log ring of a process.
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
    /// Number of lines dropped so far because the ring was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Writes a line without the logger, whose lock a panicking thread may hold, and waits until it
    /// is written, but no longer than `limit`.
    pub fn write_line(&self, line: &str, limit: Duration) {
        let text = format!("{line}\n").into_bytes();
        // If the ring is full, the line is lost like any other.
        let _ = self.lines.try_send(Line::Text(text));
        self.flush(limit);
    }

    /// Waits until all lines so far are written, but no longer than `limit`. Returns at once if the
    /// ring is full.
    pub fn flush(&self, limit: Duration) {
        let (done, wait) = sync_channel(1);
        if self.lines.try_send(Line::Flush(done)).is_ok() {
            // If the limit is exceeded, the remaining lines may be lost when the process exits.
            let _ = wait.recv_timeout(limit);
        }
    }
}

/// Installs a logger that writes to `sink` through a ring.
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
    // Fails only if a logger is installed already, for example by another test; it stays in use.
    let _ = WriteLogger::init(level, config, writer);
    Ok(ring)
}

/// Creates a ring, the writer that fills it, and the thread that empties it into `sink`.
pub(crate) fn ring(
    limits: LogLimits,
    sink: impl Write + Send + 'static,
) -> std::io::Result<(LogRing, RingWriter)> {
    let (lines, receiver) = sync_channel(limits.ring);
    let dropped = Arc::new(AtomicU64::new(0));
    let drop_count = Arc::clone(&dropped);
    std::thread::Builder::new()
        .name("log".to_string())
        .spawn(move || write_lines(&receiver, &drop_count, sink))?;
    let ring = LogRing {
        dropped: Arc::clone(&dropped),
        lines: lines.clone(),
    };
    let writer = RingWriter {
        line: Vec::new(),
        lines,
        dropped,
        limiter: EventLimiter::new(limits.per_event),
    };
    Ok((ring, writer))
}

/// Writes lines in batches and reports dropped lines, until all senders are dropped.
fn write_lines(lines: &Receiver<Line>, dropped: &AtomicU64, mut sink: impl Write) {
    let mut reported = 0;
    loop {
        let mut batch = Vec::new();
        let mut flushed = Vec::new();
        match lines.recv_timeout(DROP_CHECK_INTERVAL) {
            Ok(line) => add_to_batch(line, &mut batch, &mut flushed),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        while let Ok(line) = lines.try_recv() {
            add_to_batch(line, &mut batch, &mut flushed);
        }
        let total = dropped.load(Ordering::Relaxed);
        if total > reported {
            let text = format!(
                "[WARN] event=log_lines_dropped count={}\n",
                total - reported
            );
            batch.extend_from_slice(text.as_bytes());
            reported = total;
        }
        if !batch.is_empty() {
            // A failure to write to the log cannot be logged.
            let _ = sink.write_all(&batch);
            let _ = sink.flush();
        }
        for done in flushed {
            // The waiter may have timed out.
            let _ = done.send(());
        }
        std::thread::sleep(WRITE_INTERVAL);
    }
}

/// Adds a text to the batch, or a flush request to the list of requests that are answered once the
/// batch is written.
fn add_to_batch(line: Line, batch: &mut Vec<u8>, flushed: &mut Vec<SyncSender<()>>) {
    match line {
        Line::Text(text) => batch.extend_from_slice(&text),
        Line::Flush(done) => flushed.push(done),
    }
}

/// Assembles complete lines and adds them to the ring without blocking.
pub(crate) struct RingWriter {
    line: Vec<u8>,
    lines: SyncSender<Line>,
    dropped: Arc<AtomicU64>,
    limiter: EventLimiter,
}

impl RingWriter {
    fn enqueue(&mut self, line: Vec<u8>) {
        if self.lines.try_send(Line::Text(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn finish_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        for folded in self.limiter.roll_window(Instant::now()) {
            self.enqueue(folded);
        }
        if self.limiter.admit(event_of(&line)) {
            self.enqueue(line);
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

/// Counts the lines of each event and rejects those above the limit.
struct EventLimiter {
    per_event: u64,
    window_start: Instant,
    counts: HashMap<String, u64>,
}

impl EventLimiter {
    fn new(per_event: u64) -> Self {
        Self {
            per_event,
            window_start: Instant::now(),
            counts: HashMap::new(),
        }
    }

    /// Starts the next window if the current one is over. Returns a line with the count for each
    /// event that exceeded the limit in the window that ended.
    fn roll_window(&mut self, now: Instant) -> Vec<Vec<u8>> {
        if now.duration_since(self.window_start) < FOLD_WINDOW {
            return Vec::new();
        }
        self.window_start = now;
        let counts = std::mem::take(&mut self.counts);
        let exceeded = counts
            .into_iter()
            .filter(|(_, count)| *count > self.per_event);
        exceeded
            .map(|(event, count)| {
                let folded = count - self.per_event;
                format!("[INFO] event=log_lines_folded of={event} count={folded}\n").into_bytes()
            })
            .collect()
    }

    /// Counts a line of an event and returns whether it is within the limit.
    fn admit(&mut self, event: &str) -> bool {
        let count = match self.counts.get_mut(event) {
            Some(count) => count,
            None => self.counts.entry(event.to_string()).or_default(),
        };
        *count += 1;
        *count <= self.per_event
    }
}

/// Returns the event that a line names; [`NO_EVENT`] if there is none or the line is not UTF-8.
fn event_of(line: &[u8]) -> &str {
    let text = std::str::from_utf8(line).unwrap_or_default();
    let mut words = text.split_ascii_whitespace();
    let event = words.find_map(|word| word.strip_prefix("event="));
    event.unwrap_or(NO_EVENT)
}

#[cfg(test)]
#[path = "../tests/unit/log_ring.rs"]
mod tests;
