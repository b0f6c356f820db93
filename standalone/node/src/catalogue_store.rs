//! The optional data folder of a node, which stores the newest configuration in force.
//!
//! The configuration is stored in an embedded `redb` database. Its pages are copy-on-write and
//! carry checksums, so a torn write leaves the state of the previous commit. Correctness does not
//! depend on the disk: a damaged database is renamed and replaced by an empty one, and with a full
//! disk the previously stored configuration remains.

use brasspond_resource::Catalogue;
use displaydoc::Display;
use redb::{Database, ReadableDatabase, TableDefinition};
use std::path::{Path, PathBuf};

const STATE_TABLE: TableDefinition<'static, &str, &[u8]> = TableDefinition::new("state");
const CATALOGUE_KEY: &str = "catalogue";
const FILE_NAME: &str = "brasspond.redb";

/// Why the data folder cannot be opened or written.
#[derive(Debug, Display)]
pub enum CatalogueStoreError {
    /// the folder cannot be used: {0}
    Folder(std::io::Error),
    /// the database failed: {0}
    Store(redb::Error),
    /// the configuration cannot be encoded: {0}
    Encode(rmp_serde::encode::Error),
}

impl std::error::Error for CatalogueStoreError {}

/// The database in the data folder.
pub(crate) struct CatalogueStore {
    database: Database,
}

impl CatalogueStore {
    /// Opens the database in `folder` or creates it. A database that cannot be opened is renamed
    /// and replaced by an empty one, unless it is open already.
    ///
    /// # Errors
    /// The folder or the database cannot be created, the damaged database cannot be renamed, or the
    /// database is open already.
    pub(crate) fn open(folder: &Path) -> Result<Self, CatalogueStoreError> {
        std::fs::create_dir_all(folder).map_err(CatalogueStoreError::Folder)?;
        let file = folder.join(FILE_NAME);
        match Database::create(&file) {
            Ok(database) => Ok(Self { database }),
            Err(redb::DatabaseError::DatabaseAlreadyOpen) => Err(CatalogueStoreError::Store(
                redb::DatabaseError::DatabaseAlreadyOpen.into(),
            )),
            Err(_) => {
                rename_damaged(&file).map_err(CatalogueStoreError::Folder)?;
                let database = Database::create(&file);
                let database =
                    database.map_err(|error| CatalogueStoreError::Store(error.into()))?;
                Ok(Self { database })
            }
        }
    }

    /// The stored configuration; `None` if there is none or it cannot be decoded.
    pub(crate) fn catalogue(&self) -> Option<Catalogue> {
        let transaction = self.database.begin_read().ok()?;
        let table = transaction.open_table(STATE_TABLE).ok()?;
        let bytes = table.get(CATALOGUE_KEY).ok()??;
        rmp_serde::from_slice(bytes.value()).ok()
    }

    /// Writes a configuration to disk and returns once it is durable.
    ///
    /// # Errors
    /// The configuration cannot be encoded, or the disk is full or fails. The previously stored
    /// configuration remains.
    pub(crate) fn save_catalogue(&self, catalogue: &Catalogue) -> Result<(), CatalogueStoreError> {
        let bytes = rmp_serde::to_vec(catalogue).map_err(CatalogueStoreError::Encode)?;
        self.put(CATALOGUE_KEY, &bytes)
            .map_err(CatalogueStoreError::Store)
    }

    fn put(&self, key: &str, bytes: &[u8]) -> Result<(), redb::Error> {
        let transaction = self.database.begin_write()?;
        {
            let mut table = transaction.open_table(STATE_TABLE)?;
            table.insert(key, bytes)?;
        }
        transaction.commit()?;
        Ok(())
    }
}

/// Renames a damaged database file to the first free name `*.damaged.N`.
fn rename_damaged(file: &Path) -> std::io::Result<()> {
    let mut number = 0;
    loop {
        let name: PathBuf = file.with_extension(format!("damaged.{number}"));
        if !name.exists() {
            return std::fs::rename(file, name);
        }
        number += 1;
    }
}
