//! The record of the storage group and the status of retirements, where every process finds them.

use brasspond_consensus::Member;
use displaydoc::Display;
use futures::future::LocalBoxFuture;

/// The record of the group that keeps the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupRecord {
    /// Members of the log.
    pub members: Vec<Member>,
    /// Revision of the record at the registry; `replace` writes only over this revision.
    pub revision: u64,
}

/// Why a call to the registry failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RegistryError {
    /// nothing was done
    Refused,
    /// it may have been done
    Unknown,
    /// another was there first
    Conflict,
    /// it is there, of revision {0}, and cannot be read
    Unreadable(u64),
}

/// Writes the group's record and the status of retirements.
pub trait Registry {
    /// Reads the record; none: there is no record.
    fn read(&self) -> LocalBoxFuture<'_, Result<Option<GroupRecord>, RegistryError>>;
    /// Makes the record; `Conflict` where there is one.
    fn create(&self, members: Vec<Member>) -> LocalBoxFuture<'_, Result<(), RegistryError>>;
    /// Replaces the record; `Conflict` where its revision is not `record.revision`.
    fn replace(&self, record: GroupRecord) -> LocalBoxFuture<'_, Result<(), RegistryError>>;
    /// Writes the status of a retirement: in progress, or completed. After `completed` the
    /// platform removes the machine with its disk.
    fn report_retirement(
        &self,
        machine: String,
        completed: bool,
    ) -> LocalBoxFuture<'_, Result<(), RegistryError>>;
}
