//! Bounds the memory for the bodies of callers' requests, and for the answers of replicas.
//!
//! A body claims memory before it is read: its whole size if its length is announced, otherwise
//! twice what it has so far. The claim of a request lasts until it has ended, because its body may
//! be sent to several replicas; that of an answer lasts until the answer is complete.
//! [`super::body_reader`] reads the bodies.
//!
//! Bodies of up to [`SMALL_BODY_BYTES`] have a share of the bound that large ones cannot use, so
//! that ordinary requests do not wait for uploads. If there is no room, bodies that have stopped
//! arriving give way first, then the newest large one that is still being read.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Maximum size of a small body, in bytes.
pub(super) const SMALL_BODY_BYTES: u64 = 64 * 1024;
/// Divisor of the bound that gives the share reserved for small bodies.
const SMALL_SHARE_DIVISOR: u64 = 8;
/// Memory limit that is assumed if the platform states none, in bytes.
const DEFAULT_MEMORY_LIMIT: u64 = 256_000_000;
/// Time without progress after which a body gives way to others. A caller that sends steadily
/// makes progress every few ms.
const STALLED_AFTER: Duration = Duration::from_millis(1_000);

/// Memory claimed for a body.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    /// Claimed bytes.
    pub bytes: u64,
    /// When the body last made progress, in ms; `None` once it is complete. A complete body
    /// is never cut, because its request may have been sent.
    pub progress_at: Option<u64>,
}

impl Claim {
    fn is_large(self) -> bool {
        self.bytes > SMALL_BODY_BYTES
    }

    fn is_stalled(self, now: u64) -> bool {
        let idle_ms = self.progress_at.map(|at| now.saturating_sub(at));
        idle_ms.is_some_and(|idle_ms| Duration::from_millis(idle_ms) >= STALLED_AFTER)
    }
}

/// Claims by number; later ones have greater numbers.
type Claims = BTreeMap<u64, Claim>;

/// Returns the claims to cut so that claim `number` may have `bytes` bytes; `None` if there is no
/// room for it. A body is always admitted if it is the only large one, because the size of a
/// single body has a limit of its own.
pub(super) fn make_room(
    claims: &Claims,
    number: u64,
    bytes: u64,
    now: u64,
    max_bytes: u64,
) -> Option<Vec<u64>> {
    let own = claims.get(&number).map_or(0, |claim| claim.bytes);
    let others = claims.iter().filter(|(other, _)| **other != number);
    let mut held: u64 = others.clone().map(|(_, claim)| claim.bytes).sum();
    let is_large = bytes > SMALL_BODY_BYTES;
    let mut large = others.clone().filter(|(_, claim)| claim.is_large()).count();
    let limit = if is_large {
        max_bytes - max_bytes / SMALL_SHARE_DIVISOR
    } else {
        max_bytes
    };
    let mut stalled: Vec<_> = others
        .clone()
        .filter(|(_, claim)| claim.is_stalled(now))
        .collect();
    stalled.sort_by_key(|(_, claim)| claim.progress_at);
    // A body that has nothing yet waits instead of cutting others that arrive.
    let newer = others.rev().filter(|(other, claim)| {
        let is_arriving = claim.progress_at.is_some() && !claim.is_stalled(now);
        own > 0 && **other > number && claim.is_large() && is_arriving
    });
    let mut cut = Vec::new();
    let mut candidates = stalled.into_iter().chain(newer);
    loop {
        if held + bytes <= limit || (is_large && large == 0) {
            return Some(cut);
        }
        let (other, claim) = candidates.next()?;
        held -= claim.bytes;
        large -= usize::from(claim.is_large());
        cut.push(*other);
    }
}

/// Signals to the reader of a body that the body must give way.
#[derive(Debug, Default)]
struct Cut {
    is_cut: Cell<bool>,
    notify: Notify,
}

/// The claims of all bodies of an edge.
#[derive(Debug)]
pub(super) struct BodyMemory {
    max_bytes: u64,
    claims: RefCell<Claims>,
    cuts: RefCell<BTreeMap<u64, Rc<Cut>>>,
    last_number: Cell<u64>,
    /// Notified when a claim shrinks or ends.
    released: Notify,
}

impl BodyMemory {
    /// `memory_limit` is that of the process in bytes, if the platform states one. It is divided by
    /// `divisor` to give the bound on claims.
    pub fn new(memory_limit: Option<u64>, divisor: u64) -> Self {
        Self {
            max_bytes: memory_limit.unwrap_or(DEFAULT_MEMORY_LIMIT) / divisor,
            claims: RefCell::default(),
            cuts: RefCell::default(),
            last_number: Cell::new(0),
            released: Notify::new(),
        }
    }

    /// Bytes claimed for all bodies.
    pub fn claimed_bytes(&self) -> u64 {
        self.claims.borrow().values().map(|claim| claim.bytes).sum()
    }

    /// Begins a claim without memory.
    pub fn begin(self: &Rc<Self>) -> Reservation {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let cut = Rc::new(Cut::default());
        self.cuts.borrow_mut().insert(number, Rc::clone(&cut));
        Reservation {
            memory: Rc::clone(self),
            number,
            cut,
        }
    }

    /// Completes when memory may have been released.
    pub async fn released(&self) {
        self.released.notified().await;
    }

    fn cut(&self, number: u64) {
        self.claims.borrow_mut().remove(&number);
        if let Some(cut) = self.cuts.borrow().get(&number) {
            cut.is_cut.set(true);
            cut.notify.notify_one();
        }
    }
}

/// The claim of one body, which ends when this value is dropped.
#[derive(Debug)]
pub(super) struct Reservation {
    memory: Rc<BodyMemory>,
    number: u64,
    cut: Rc<Cut>,
}

impl Reservation {
    /// Claims `bytes` in all and records progress; returns false if there is no room or the
    /// body was cut.
    pub fn claim(&self, bytes: u64, now: u64) -> bool {
        if self.cut.is_cut.get() {
            return false;
        }
        let room = {
            let claims = self.memory.claims.borrow();
            make_room(&claims, self.number, bytes, now, self.memory.max_bytes)
        };
        let Some(cut) = room else {
            return false;
        };
        for number in cut {
            self.memory.cut(number);
        }
        let claim = Claim {
            bytes,
            progress_at: Some(now),
        };
        self.memory.claims.borrow_mut().insert(self.number, claim);
        true
    }

    /// Records that the body makes progress.
    pub fn record_progress(&self, now: u64) {
        if let Some(claim) = self.memory.claims.borrow_mut().get_mut(&self.number) {
            claim.progress_at = Some(now);
        }
    }

    /// Reduces the claim to what the complete body takes. It is not cut any more.
    pub fn complete(&self, bytes: u64) {
        if let Some(claim) = self.memory.claims.borrow_mut().get_mut(&self.number) {
            claim.bytes = bytes;
            claim.progress_at = None;
        }
        self.memory.released.notify_waiters();
    }

    /// Completes when the body must give way.
    pub async fn cut(&self) {
        self.cut.notify.notified().await;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.claims.borrow_mut().remove(&self.number);
        self.memory.cuts.borrow_mut().remove(&self.number);
        self.memory.released.notify_waiters();
    }
}

#[cfg(test)]
#[path = "../../tests/unit/body_memory.rs"]
mod tests;
