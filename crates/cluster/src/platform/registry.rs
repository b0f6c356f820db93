//! Registry with the record of the storage group and the status of retirements.

use brasspond_consensus::Member;
use displaydoc::Display;
use futures::future::LocalBoxFuture;

/// The record of the group that stores the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupRecord {
    /// Members of the log.
    pub members: Vec<Member>,
    /// Revision of the record in the registry; `replace` overwrites only this revision.
    pub revision: u64,
}

/// Error of a call to the registry.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RegistryError {
    /// the registry refused the call, nothing was changed
    Refused,
    /// outcome unknown, the call may have taken effect
    Unknown,
    /// conflict with a concurrent change
    Conflict,
    /// the record of revision {0} cannot be read
    Unreadable(u64),
}

/// Reads and writes the group record, and reports the status of retirements.
pub trait Registry {
    /// Reads the record. Returns `None` if it does not exist.
    fn read(&self) -> LocalBoxFuture<'_, Result<Option<GroupRecord>, RegistryError>>;
    /// Creates the record. Fails with `Conflict` if it exists.
    fn create(&self, members: Vec<Member>) -> LocalBoxFuture<'_, Result<(), RegistryError>>;
    /// Replaces the record. Fails with `Conflict` if its revision is not `record.revision`.
    fn replace(&self, record: GroupRecord) -> LocalBoxFuture<'_, Result<(), RegistryError>>;
    /// Reports the status of a retirement: begun, or completed. The platform removes the machine
    /// with its disk once the retirement is completed.
    fn report_retirement(
        &self,
        machine: String,
        completed: bool,
    ) -> LocalBoxFuture<'_, Result<(), RegistryError>>;
}
