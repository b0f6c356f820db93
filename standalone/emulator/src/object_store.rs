//! Emulated object API of the platform with versions, compare-and-swap and a change log.

use brasspond_dissemination::{Change, Operation};
use brasspond_resource::{Catalogue, Object, ObjectKey, Revision};
use displaydoc::Display;

/// Object store that keeps all objects and a log of all changes.
#[derive(Clone, Debug, Default)]
pub struct ObjectStore {
    catalogue: Catalogue,
    log: Vec<Change>,
}

/// Why the store rejects a write without changing anything.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StoreError {
    /// the object has another version than the writer expected
    Conflict,
    /// there is no such object
    NotFound,
}

impl std::error::Error for StoreError {}

impl ObjectStore {
    /// Returns all objects at the current revision.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Returns the current revision.
    pub fn revision(&self) -> Revision {
        self.catalogue.revision
    }

    /// Returns the object with this key.
    pub fn get(&self, key: &ObjectKey) -> Option<&Object> {
        self.catalogue.get(key)
    }

    /// Returns the changes after a revision, oldest first.
    pub fn changes_after(&self, revision: Revision) -> Vec<Change> {
        let start = self
            .log
            .partition_point(|change| change.revision <= revision);
        self.log[start..].to_vec()
    }

    /// Writes an object and returns the new revision. `expected` is the version that the stored
    /// object must have, or zero if it must not exist; `None` writes unconditionally.
    ///
    /// # Errors
    /// The object has another version than `expected`.
    pub fn put(
        &mut self,
        mut object: Object,
        expected: Option<Revision>,
    ) -> Result<Revision, StoreError> {
        let existing = self.catalogue.get(&object.key());
        let version = existing.map_or(Revision(0), |old| old.metadata.resource_version);
        if expected.is_some_and(|expected| expected != version) {
            return Err(StoreError::Conflict);
        }
        let generation = match existing {
            Some(old) if old.spec == object.spec => old.metadata.generation,
            Some(old) => old.metadata.generation + 1,
            None => 1,
        };
        object.metadata.generation = generation;
        let previous = self.catalogue.revision;
        let revision = Revision(previous.0 + 1);
        object.metadata.resource_version = revision;
        self.catalogue.put(object.clone());
        let operation = Operation::Put(Box::new(object));
        self.log.push(Change {
            previous,
            revision,
            operation,
        });
        Ok(revision)
    }

    /// Deletes an object and returns the new revision. `expected` is the version that the
    /// object must have; `None` deletes unconditionally.
    ///
    /// # Errors
    /// The object does not exist or has another version than `expected`.
    pub fn remove(
        &mut self,
        key: &ObjectKey,
        expected: Option<Revision>,
    ) -> Result<Revision, StoreError> {
        let existing = self.catalogue.get(key).ok_or(StoreError::NotFound)?;
        let version = existing.metadata.resource_version;
        if expected.is_some_and(|expected| expected != version) {
            return Err(StoreError::Conflict);
        }
        let previous = self.catalogue.revision;
        let revision = Revision(previous.0 + 1);
        self.catalogue.remove(key);
        self.catalogue.revision = revision;
        let operation = Operation::Remove(key.clone());
        self.log.push(Change {
            previous,
            revision,
            operation,
        });
        Ok(revision)
    }
}
