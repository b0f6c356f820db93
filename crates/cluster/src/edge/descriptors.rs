//! Keeps some file descriptors free for readiness probes, links, the store and replicas, which
//! callers' connections would otherwise use up.
//!
//! A new descriptor has the lowest free number, so its number tells whether few are left.

use nix::sys::resource::{Resource, getrlimit};
use std::os::fd::{AsFd, AsRawFd, RawFd};

/// One in this many descriptors is reserved.
const RESERVED_DIVISOR: RawFd = 8;

/// The descriptors that callers' connections may use.
#[derive(Clone, Copy, Debug)]
pub(super) struct DescriptorLimit {
    /// Number of descriptors that the process may open.
    max: RawFd,
}

impl DescriptorLimit {
    /// Limit of a process that may open `max` descriptors.
    pub const fn new(max: RawFd) -> Self {
        Self { max }
    }

    /// Whether a descriptor is one of the last ones, so that no further caller may be accepted.
    pub fn is_reserved(self, descriptor: RawFd) -> bool {
        let reserved_from = self.max - self.max / RESERVED_DIVISOR;
        (reserved_from..self.max).contains(&descriptor)
    }

    /// Whether the connection of a further caller would get an unreserved descriptor. Duplicates
    /// `open`, any open descriptor, to find the lowest free number.
    pub fn has_room(self, open: &impl AsFd) -> bool {
        let duplicate = open.as_fd().try_clone_to_owned();
        duplicate.is_ok_and(|duplicate| !self.is_reserved(duplicate.as_raw_fd()))
    }
}

impl Default for DescriptorLimit {
    /// Limit of this process. Without a known limit no descriptor is reserved.
    fn default() -> Self {
        let soft = getrlimit(Resource::RLIMIT_NOFILE).map(|(soft, _)| soft);
        Self::new(soft.map_or(RawFd::MAX, |soft| {
            RawFd::try_from(soft).unwrap_or(RawFd::MAX)
        }))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/descriptors.rs"]
mod tests;
