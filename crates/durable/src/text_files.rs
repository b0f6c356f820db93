//! Texts of ended jobs, one file for each job, out of the memory of a process.
//!
//! The log alone keeps texts for good: these files are removed at each start and never synced. A
//! text that cannot be read here is read at another member.

use bytes::Bytes;
use std::fs::{self, File};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

const FOLDER_NAME: &str = "texts";

/// The files of one process.
#[derive(Debug)]
pub struct TextFiles {
    folder: PathBuf,
    /// Number of the newest file.
    newest: u64,
}

impl TextFiles {
    /// Without files, in a folder of their own below `data_folder`.
    ///
    /// # Errors
    /// The folder cannot be made or emptied.
    pub fn open(data_folder: &Path) -> io::Result<Self> {
        let folder = data_folder.join(FOLDER_NAME);
        if folder.exists() {
            fs::remove_dir_all(&folder)?;
        }
        fs::create_dir_all(&folder)?;
        Ok(Self { folder, newest: 0 })
    }

    /// Writes texts one after another into a new file; returns its number, from 1.
    ///
    /// # Errors
    /// The disk failed or is full.
    pub fn write<'a>(&mut self, texts: impl Iterator<Item = &'a Bytes>) -> io::Result<u64> {
        self.newest += 1;
        let number = self.newest;
        let content: Vec<u8> = texts.flat_map(|text| text.iter().copied()).collect();
        let mut file = File::create(self.path(number))?;
        file.write_all(&content)?;
        Ok(number)
    }

    /// Reads `length` bytes at `offset` of a file.
    ///
    /// # Errors
    /// The disk failed, or the file is shorter.
    pub fn read(&self, number: u64, offset: u64, length: usize) -> io::Result<Bytes> {
        let file = File::open(self.path(number))?;
        let mut content = vec![0; length];
        file.read_exact_at(&mut content, offset)?;
        Ok(content.into())
    }

    /// Removes a file that nobody will read any more.
    ///
    /// # Errors
    /// The disk failed.
    pub fn remove(&self, number: u64) -> io::Result<()> {
        fs::remove_file(self.path(number))
    }

    fn path(&self, number: u64) -> PathBuf {
        self.folder.join(number.to_string())
    }
}
