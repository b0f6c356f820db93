//! Detects callers that do not read their answers and decides which connections are closed.
//!
//! Lists only connections whose socket did not accept all offered bytes, so an answer that the
//! socket accepts at once costs no bookkeeping. [`super::caller_stream`] reports the writes and
//! carries out the cuts; the edge's tick calls [`SlowReaders::sweep`].

use super::process::Edge;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;

/// Time without progress of a write after which the connection is closed.
pub(super) const WRITE_STALL_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Time without progress of a write after which the caller counts as a slow reader, and the
/// timeout for unacknowledged bytes no longer closes its connection before
/// [`WRITE_STALL_TIMEOUT`].
const SLOW_AFTER: Duration = Duration::from_millis(500);
/// Divisor of the process's memory limit that gives the bound on the bytes of answers held for all
/// connections.
const MEMORY_LIMIT_DIVISOR: u64 = 4;
/// Maximum time that one sweep counts, in ms. A longer gap means that this process was suspended
/// and did not write, which is not the callers' fault.
const MAX_SWEEP_STEP_MS: u64 = 500;

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CutReason {
    /// The caller read nothing for [`WRITE_STALL_TIMEOUT`].
    ReadsSlowly,
    /// The answers held for all connections exceed their bound.
    Memory,
}

impl CutReason {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ReadsSlowly => "reads_slowly",
            Self::Memory => "memory",
        }
    }
}

/// A connection whose socket does not accept more bytes at present.
#[derive(Clone, Copy, Debug)]
pub(super) struct BlockedWrite {
    /// Number of the connection; later connections have greater numbers.
    pub connection: u64,
    /// When the socket last accepted bytes, in ms.
    pub last_progress_ms: u64,
    /// Bytes held for the connection.
    pub held_bytes: u64,
}

/// Returns the connections to close, each with the reason: those that have made no progress for
/// [`WRITE_STALL_TIMEOUT`], then, while more than `max_held_bytes` are held, the one that has gone
/// longest without progress. The last blocked connection is never closed for memory, because the
/// size of a single answer has a limit of its own.
pub(super) fn connections_to_cut(
    blocked: &[BlockedWrite],
    now_ms: u64,
    max_held_bytes: Option<u64>,
) -> Vec<(u64, CutReason)> {
    let is_stalled = |write: &BlockedWrite| {
        let idle_ms = now_ms.saturating_sub(write.last_progress_ms);
        Duration::from_millis(idle_ms) >= WRITE_STALL_TIMEOUT
    };
    let (stalled, mut others): (Vec<BlockedWrite>, Vec<BlockedWrite>) =
        blocked.iter().copied().partition(is_stalled);
    let stalled = stalled.into_iter();
    let mut cuts: Vec<(u64, CutReason)> = stalled
        .map(|write| (write.connection, CutReason::ReadsSlowly))
        .collect();
    let Some(max_held_bytes) = max_held_bytes else {
        return cuts;
    };
    others.sort_by_key(|write| (write.last_progress_ms, write.connection));
    let mut held: u64 = others.iter().map(|write| write.held_bytes).sum();
    others.pop();
    for write in others {
        if held <= max_held_bytes {
            break;
        }
        held -= write.held_bytes;
        cuts.push((write.connection, CutReason::Memory));
    }
    cuts
}

/// State of the writes of one caller's connection.
#[derive(Debug)]
pub(super) struct ConnectionWrites {
    number: u64,
    caller: Option<SocketAddr>,
    /// Bytes that hyper offered last and the socket has not accepted.
    waiting_bytes: Cell<u64>,
    /// Bytes held since the connection became blocked, 0 if it is not blocked. Written bytes count
    /// until the whole answer is written, because their memory is released only then.
    held_bytes: Cell<u64>,
    /// Whether the socket has accepted bytes since the last sweep.
    has_progressed: Cell<bool>,
    /// Time of the sweep that last observed progress, in ms.
    last_progress_ms: Cell<u64>,
    /// Whether the caller was seen to read slowly.
    pub is_slow: Cell<bool>,
    cut: Cell<Option<CutReason>>,
    waker: RefCell<Option<Waker>>,
}

impl ConnectionWrites {
    /// Why the connection must be closed, if it must.
    pub fn cut(&self) -> Option<CutReason> {
        self.cut.get()
    }

    /// Keeps the task to wake once the connection must be closed.
    pub fn set_waker(&self, waker: &Waker) {
        let mut kept = self.waker.borrow_mut();
        if !kept.as_ref().is_some_and(|kept| kept.will_wake(waker)) {
            *kept = Some(waker.clone());
        }
    }

    fn wake(&self) {
        if let Some(waker) = &*self.waker.borrow() {
            waker.wake_by_ref();
        }
    }
}

/// All connections whose writes are blocked.
#[derive(Debug, Default)]
pub(super) struct SlowReaders {
    /// Bound on the bytes held for all connections; `None` if the memory limit is unknown.
    max_held_bytes: Option<u64>,
    held_bytes: Cell<u64>,
    connections: Cell<u64>,
    blocked: RefCell<BTreeMap<u64, Rc<ConnectionWrites>>>,
    /// Time during which this process ran, in ms.
    now_ms: Cell<u64>,
    /// Clock time of the last sweep, in ms.
    swept_at: Cell<u64>,
}

impl SlowReaders {
    /// `memory_limit` is the limit of the process in bytes, if it is known.
    pub fn new(memory_limit: Option<u64>) -> Self {
        Self {
            max_held_bytes: memory_limit.map(|limit| limit / MEMORY_LIMIT_DIVISOR),
            ..Self::default()
        }
    }

    /// Adds a connection, which is not blocked.
    pub fn connect(&self, caller: Option<SocketAddr>) -> Rc<ConnectionWrites> {
        let number = self.connections.get() + 1;
        self.connections.set(number);
        Rc::new(ConnectionWrites {
            number,
            caller,
            waiting_bytes: Cell::new(0),
            held_bytes: Cell::new(0),
            has_progressed: Cell::new(false),
            last_progress_ms: Cell::new(0),
            is_slow: Cell::new(false),
            cut: Cell::new(None),
            waker: RefCell::default(),
        })
    }

    /// Bytes held for all blocked connections.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes.get()
    }

    /// Records a write: `offered` bytes of which the socket accepted `written`.
    pub fn record_write(&self, writes: &Rc<ConnectionWrites>, offered: usize, written: usize) {
        if written >= offered {
            self.unblock(writes);
            return;
        }
        let is_new = writes.held_bytes.get() == 0;
        writes.waiting_bytes.set((offered - written) as u64);
        if written > 0 || is_new {
            writes.has_progressed.set(true);
        }
        if is_new {
            writes.last_progress_ms.set(self.now_ms.get());
            let mut blocked = self.blocked.borrow_mut();
            blocked.insert(writes.number, Rc::clone(writes));
        }
        self.hold(writes, offered as u64);
    }

    /// Removes a connection whose answer is written or which has ended.
    pub fn unblock(&self, writes: &ConnectionWrites) {
        let held = writes.held_bytes.take();
        if held == 0 {
            return;
        }
        self.held_bytes.set(self.held_bytes.get() - held);
        self.blocked.borrow_mut().remove(&writes.number);
    }

    fn hold(&self, writes: &ConnectionWrites, bytes: u64) {
        let grown = bytes.saturating_sub(writes.held_bytes.get());
        if grown == 0 {
            return;
        }
        writes.held_bytes.set(writes.held_bytes.get() + grown);
        let held = self.held_bytes.get() + grown;
        self.held_bytes.set(held);
        if self.max_held_bytes.is_some_and(|max| held > max) {
            self.cut_connections();
        }
    }

    /// Counts the time since the last sweep and closes the connections that
    /// [`connections_to_cut`] returns. `now` is the time of the edge's clock in ms.
    pub fn sweep(&self, now: u64) {
        let step = now.saturating_sub(self.swept_at.replace(now));
        let now_ms = self.now_ms.get() + step.min(MAX_SWEEP_STEP_MS);
        self.now_ms.set(now_ms);
        if self.blocked.borrow().is_empty() {
            return;
        }
        for writes in self.blocked.borrow().values() {
            if writes.has_progressed.take() {
                writes.last_progress_ms.set(now_ms);
                continue;
            }
            let idle_ms = now_ms - writes.last_progress_ms.get();
            let is_slow = Duration::from_millis(idle_ms) >= SLOW_AFTER;
            if is_slow && !writes.is_slow.replace(true) {
                writes.wake();
            }
        }
        self.cut_connections();
    }

    fn cut_connections(&self) {
        let blocked: Vec<BlockedWrite> = self
            .blocked
            .borrow()
            .values()
            .map(|writes| BlockedWrite {
                connection: writes.number,
                last_progress_ms: writes.last_progress_ms.get(),
                held_bytes: writes.held_bytes.get(),
            })
            .collect();
        for (number, reason) in connections_to_cut(&blocked, self.now_ms.get(), self.max_held_bytes)
        {
            let writes = self.blocked.borrow().get(&number).cloned();
            if let Some(writes) = writes {
                writes.cut.set(Some(reason));
                self.unblock(&writes);
                writes.wake();
            }
        }
    }
}

impl Edge {
    /// Logs and counts a connection that was closed because of its caller's reads, if it was.
    pub(super) fn report_cut(&self, writes: &ConnectionWrites) {
        let Some(reason) = writes.cut() else {
            return;
        };
        let caller = writes
            .caller
            .map_or_else(String::new, |one| one.to_string());
        self.metrics.caller_cut(reason.name());
        log::warn!(
            "event=caller_cut reason={} caller={caller} waiting_bytes={} held_bytes={}",
            reason.name(),
            writes.waiting_bytes.get(),
            self.slow_readers.held_bytes()
        );
    }
}

#[cfg(test)]
#[path = "../../tests/unit/slow_reader.rs"]
mod tests;
