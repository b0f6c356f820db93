//! Priority queue of scheduled events, ordered by time.

use brasspond_types::Timestamp;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

struct Scheduled<T> {
    at: Timestamp,
    number: u64,
    item: T,
}

impl<T> PartialEq for Scheduled<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl<T> Eq for Scheduled<T> {}

impl<T> PartialOrd for Scheduled<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Scheduled<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Scheduled events. Events with equal times keep their insertion order.
pub(crate) struct Queue<T> {
    heap: BinaryHeap<Reverse<Scheduled<T>>>,
    next: u64,
}

impl<T> Queue<T> {
    pub(crate) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next: 0,
        }
    }

    pub(crate) fn push(&mut self, at: Timestamp, item: T) {
        self.next += 1;
        let number = self.next;
        self.heap.push(Reverse(Scheduled { at, number, item }));
    }

    /// Removes and returns the earliest event if it is due by `until`.
    pub(crate) fn pop_until(&mut self, until: Timestamp) -> Option<(Timestamp, T)> {
        if self.heap.peek()?.0.at > until {
            return None;
        }
        let Reverse(scheduled) = self.heap.pop()?;
        Some((scheduled.at, scheduled.item))
    }
}
