//! From when on a new leader uses the replicas that it knows: a pure decision.
//!
//! A new leader begins with the log's copy of the replicas, which may be seconds old: a replica in
//! it may have said since that it leaves, and by then is to get nothing new. So the leader lists
//! the replicas at their source first, and meanwhile neither places runs nor tells edges the copy.
//! Edges that know replicas keep theirs; an edge that has just started lists them itself.
//!
//! A source that does not answer is not waited for: while it is away the copy is used.

use crate::platform::ReplicaListing;
use brasspond_units::Millis;

/// Time without a page of the listing after which the source counts as away: a page takes ms, and a
/// call that was refused is repeated within 150 ms.
const SOURCE_SILENCE: Millis = 1_000;
/// Longest time to wait for a listing that goes on: sixty calls one after another, beside other
/// processes that start. Not measured.
const LONGEST_LISTING: Millis = 5_000;

/// The first listing of a leader.
#[derive(Clone, Copy, Debug)]
pub struct FirstListing {
    began: Millis,
    /// When the last page came; at first when the leader began.
    page_at: Millis,
    pages: u64,
    is_awaited: bool,
}

impl FirstListing {
    /// Of a leader that begins at `now`, with what its process read of the source before.
    pub fn new(listing: ReplicaListing, now: Millis) -> Self {
        Self {
            began: now,
            page_at: now,
            pages: listing.pages,
            is_awaited: !listing.is_followed,
        }
    }

    /// Takes what was read of the source by `now`; true: the listing is awaited no more.
    pub fn observe(&mut self, listing: ReplicaListing, now: Millis) -> bool {
        if !self.is_awaited {
            return false;
        }
        if listing.pages > self.pages {
            self.pages = listing.pages;
            self.page_at = now;
        }
        let is_away = now >= self.page_at + SOURCE_SILENCE;
        let is_late = now >= self.began + LONGEST_LISTING;
        self.is_awaited = !(listing.is_followed || is_away || is_late);
        !self.is_awaited
    }

    /// Whether the replicas that the leader knows may be an old copy, and are not used yet.
    pub fn is_awaited(&self) -> bool {
        self.is_awaited
    }

    /// Time since the leader began, in ms.
    pub fn waited(&self, now: Millis) -> Millis {
        now - self.began
    }
}
