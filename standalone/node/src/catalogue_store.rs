//! What a node keeps on its small disk, where it has one.
//!
//! The newest configuration in force is kept in an embedded store (`redb`:
//! copy-on-write pages with checksums, so a torn write leaves the state of the
//! commit before). Nothing correct depends on the disk: a lost or damaged
//! folder is noticed, set aside and begun anew, and a full disk only means
//! that an older configuration is kept. See `docs/design/0011-durability.md`.

use brasspond_resource::Catalogue;
use displaydoc::Display;
use redb::{Database, ReadableDatabase, TableDefinition};
use std::path::{Path, PathBuf};

const STATE: TableDefinition<'static, &str, &[u8]> = TableDefinition::new("state");
const CATALOGUE: &str = "catalogue";
const FILE_NAME: &str = "brasspond.redb";

/// Why something could not be kept or read.
#[derive(Debug, Display)]
pub enum CatalogueStoreError {
    /// the folder cannot be used: {0}
    Folder(std::io::Error),
    /// the store failed: {0}
    Store(redb::Error),
    /// the content cannot be encoded: {0}
    Encode(rmp_serde::encode::Error),
}

impl std::error::Error for CatalogueStoreError {}

/// The store in a data folder.
pub(crate) struct CatalogueStore {
    database: Database,
}

impl CatalogueStore {
    /// Opens the store in `folder`, creating it where there is none. A damaged
    /// store is renamed and a new one begun.
    ///
    /// # Errors
    /// The folder cannot be written.
    pub(crate) fn open(folder: &Path) -> Result<Self, CatalogueStoreError> {
        std::fs::create_dir_all(folder).map_err(CatalogueStoreError::Folder)?;
        let file = folder.join(FILE_NAME);
        match Database::create(&file) {
            Ok(database) => Ok(Self { database }),
            Err(redb::DatabaseError::DatabaseAlreadyOpen) => Err(CatalogueStoreError::Store(
                redb::DatabaseError::DatabaseAlreadyOpen.into(),
            )),
            Err(_) => {
                set_aside(&file).map_err(CatalogueStoreError::Folder)?;
                let database = Database::create(&file);
                let database =
                    database.map_err(|error| CatalogueStoreError::Store(error.into()))?;
                Ok(Self { database })
            }
        }
    }

    /// The configuration kept last; none where nothing readable is kept.
    pub(crate) fn catalogue(&self) -> Option<Catalogue> {
        let transaction = self.database.begin_read().ok()?;
        let table = transaction.open_table(STATE).ok()?;
        let bytes = table.get(CATALOGUE).ok()??;
        rmp_serde::from_slice(bytes.value()).ok()
    }

    /// Keeps a configuration; on return it is on disk.
    ///
    /// # Errors
    /// The disk is full or fails; what was kept before stays.
    pub(crate) fn keep_catalogue(&self, catalogue: &Catalogue) -> Result<(), CatalogueStoreError> {
        let bytes = rmp_serde::to_vec(catalogue).map_err(CatalogueStoreError::Encode)?;
        self.put(CATALOGUE, &bytes)
            .map_err(CatalogueStoreError::Store)
    }

    fn put(&self, key: &str, bytes: &[u8]) -> Result<(), redb::Error> {
        let transaction = self.database.begin_write()?;
        {
            let mut table = transaction.open_table(STATE)?;
            table.insert(key, bytes)?;
        }
        transaction.commit()?;
        Ok(())
    }
}

fn set_aside(file: &Path) -> std::io::Result<()> {
    let mut number = 0;
    loop {
        let name: PathBuf = file.with_extension(format!("damaged.{number}"));
        if !name.exists() {
            return std::fs::rename(file, name);
        }
        number += 1;
    }
}
