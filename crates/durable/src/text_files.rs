//! Files with the texts of ended jobs, one per job, which a process moves out of memory.
//!
//! These files are removed at each start and never synced, since the replicated log contains all
//! texts. A text that cannot be read from its file is read from another member.

use bytes::Bytes;
use std::fs::{self, File};
use std::io::{self, BufWriter, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

const FOLDER_NAME: &str = "texts";

/// Text files of one process.
#[derive(Debug)]
pub struct TextFiles {
    folder: PathBuf,
    /// Number of the newest file; 0 if there is none.
    newest: u64,
}

impl TextFiles {
    /// Creates an empty folder for the files below `data_folder`.
    ///
    /// # Errors
    /// The folder cannot be created or emptied.
    pub fn open(data_folder: &Path) -> io::Result<Self> {
        let folder = data_folder.join(FOLDER_NAME);
        if folder.exists() {
            fs::remove_dir_all(&folder)?;
        }
        fs::create_dir_all(&folder)?;
        Ok(Self { folder, newest: 0 })
    }

    /// Writes texts without separators to a new file and returns the file's number, from 1. A file
    /// that cannot be written completely is removed.
    ///
    /// # Errors
    /// The disk fails or is full.
    pub fn write<'a>(&mut self, texts: impl Iterator<Item = &'a Bytes>) -> io::Result<u64> {
        self.newest += 1;
        let number = self.newest;
        let path = self.path(number);
        let written = write_file(&path, texts);
        if written.is_err() {
            // The file may not exist, and the error of the write says more.
            drop(fs::remove_file(&path));
        }
        written.map(|()| number)
    }

    /// Reads `length` bytes at `offset` of a file.
    ///
    /// # Errors
    /// The file does not exist or is too short, or the disk fails.
    pub fn read(&self, number: u64, offset: u64, length: usize) -> io::Result<Bytes> {
        let file = File::open(self.path(number))?;
        let mut content = vec![0; length];
        file.read_exact_at(&mut content, offset)?;
        Ok(content.into())
    }

    /// Removes a file.
    ///
    /// # Errors
    /// The file does not exist, or the disk fails.
    pub fn remove(&self, number: u64) -> io::Result<()> {
        fs::remove_file(self.path(number))
    }

    fn path(&self, number: u64) -> PathBuf {
        self.folder.join(number.to_string())
    }
}

fn write_file<'a>(path: &Path, texts: impl Iterator<Item = &'a Bytes>) -> io::Result<()> {
    let mut writer = BufWriter::new(File::create(path)?);
    for text in texts {
        writer.write_all(text)?;
    }
    writer.flush()
}
