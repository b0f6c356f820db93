//! Decides when a new leader may use the replicas in its view, which it may know from a copy in the
//! log.
//!
//! A new leader starts with the log's copy of the replicas, which may be seconds old: a replica in
//! it may have announced its shutdown since and must get no new work. The leader therefore first
//! lists the replicas at their source, and until then neither places runs nor sends the copy to
//! edges. Edges that know replicas continue to use them; an edge that has just started lists them
//! itself.
//!
//! If the source does not answer, the leader uses the copy.

use crate::platform::ReplicaListing;
use brasspond_units::Millis;

/// Time without a page of the listing after which the source counts as unavailable. A page takes a
/// few ms, and a refused call is repeated within 150 ms.
const PAGE_TIMEOUT: Millis = 1_000;
/// Maximum time that a new leader waits for a listing in progress.
const MAX_LISTING_TIME: Millis = 5_000;

/// The initial listing of a leader.
#[derive(Clone, Copy, Debug)]
pub struct InitialListing {
    started_at: Millis,
    /// When the last page arrived, initially when the leader started.
    page_at: Millis,
    pages: u64,
    is_pending: bool,
}

impl InitialListing {
    /// Starts the listing of a leader that starts at `now`. `listing` is what its process has read
    /// from the source so far.
    pub fn new(listing: ReplicaListing, now: Millis) -> Self {
        Self {
            started_at: now,
            page_at: now,
            pages: listing.pages,
            is_pending: !listing.is_complete,
        }
    }

    /// Updates the progress of the listing at `now`. Returns whether this call ended the wait for
    /// the listing.
    pub fn observe(&mut self, listing: ReplicaListing, now: Millis) -> bool {
        if !self.is_pending {
            return false;
        }
        if listing.pages > self.pages {
            self.pages = listing.pages;
            self.page_at = now;
        }
        let is_page_late = now >= self.page_at + PAGE_TIMEOUT;
        let is_late = now >= self.started_at + MAX_LISTING_TIME;
        self.is_pending = !(listing.is_complete || is_page_late || is_late);
        !self.is_pending
    }

    /// Whether the known replicas may be an old copy and must not be used yet.
    pub fn is_pending(&self) -> bool {
        self.is_pending
    }

    /// Time since the leader started, in ms.
    pub fn elapsed(&self, now: Millis) -> Millis {
        now - self.started_at
    }
}
