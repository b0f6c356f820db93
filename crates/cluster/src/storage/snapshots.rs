//! The table as the state of a snapshot. The texts of finished jobs are read from their files, or moved
//! there, one job at a time.

use super::process::{ProcessError, Storage};
use brasspond_durable::{SnapshotState, TextFiles};
use brasspond_jobs::{Job, JobTable};
use bytes::Bytes;
use std::io::{self, Read, Write};

/// The table with all its texts, to be written to the file of the log.
pub(super) struct TableState<'a> {
    pub table: &'a JobTable,
    pub files: &'a TextFiles,
}

impl SnapshotState for TableState<'_> {
    fn encoded_bytes(&self) -> io::Result<u64> {
        self.table.encoded_bytes()
    }

    fn write_to<W: Write>(&self, writer: &mut W) -> io::Result<()> {
        let read_texts = |file, length| self.files.read(file, 0, length);
        self.table.write_to(writer, read_texts)
    }
}

impl Storage {
    /// Encodes the table for a snapshot, including all texts.
    pub(super) fn encode_table(&self) -> Result<Bytes, ProcessError> {
        encode(&self.table_state()).map_err(ProcessError::Texts)
    }

    /// Size in bytes of the table as encoded for a snapshot.
    pub(super) fn encoded_table_bytes(&self) -> Result<u64, ProcessError> {
        let bytes = self.table_state().encoded_bytes();
        bytes.map_err(ProcessError::Texts)
    }

    pub(super) fn table_state(&self) -> TableState<'_> {
        TableState {
            table: &self.table,
            files: &self.texts.files,
        }
    }
}

fn encode(state: &TableState) -> io::Result<Bytes> {
    // A size beyond the address space fails to allocate.
    let size = usize::try_from(state.encoded_bytes()?).unwrap_or(usize::MAX);
    let mut encoded = Vec::with_capacity(size);
    state.write_to(&mut encoded)?;
    Ok(encoded.into())
}

/// Decodes a table and moves the texts of each finished job to a file before the next job is decoded.
pub(super) fn read_table(reader: impl Read, files: &mut TextFiles) -> io::Result<JobTable> {
    JobTable::read_from(reader, |id, job| move_texts(id, job, files))
}

/// Moves the texts of a finished job to a file. They stay in memory if they cannot be written.
fn move_texts(id: &str, job: &mut Job, files: &mut TextFiles) {
    let texts = job.texts_for_file();
    if texts.is_empty() {
        return;
    }
    match files.write(texts.iter().map(|(_, text)| text)) {
        Ok(file) => job.move_to_file(file, &texts),
        Err(error) => log::warn!("event=texts_not_written job={id} error=\"{error}\""),
    }
}
