//! Persistent state of one member of the replicated log: a file of records with checksums.
//!
//! A record consists of the length of its body (4 bytes, big endian), the XXH3 checksum of the body
//! (8 bytes, big endian) and the body in MessagePack. A power failure may lose or tear records
//! after the last sync, so reading stops at the first record that has a wrong length or checksum or
//! cannot be read or decoded, and the file is truncated there. A rewrite syncs a second file,
//! renames it and syncs the folder before anything is appended.

use crate::snapshot_record::{self, SnapshotState, StateReader, StateSpan};
use brasspond_consensus::{Entry, HardState, MemberId, Persisted, Ready, Snapshot, StoredEntries};
use bytes::Bytes;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{BufReader, Read, Write};
use std::ops::RangeInclusive;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::xxh3_64;

const FILE_NAME: &str = "log";
/// Name of the file that a rewrite fills and then renames to [`FILE_NAME`].
const NEW_FILE_NAME: &str = "log.new";
/// Size of a record's header: length and checksum.
pub(crate) const HEADER_BYTES: usize = 12;
/// Maximum size of a record's body; a greater length indicates corruption. It is twice the maximum
/// size of a message between processes, so that any snapshot fits.
pub(crate) const MAX_RECORD_BYTES: u32 = 512 * 1024 * 1024;
/// Size from which a rewrite writes the records that it has copied, in bytes.
const COPY_BYTES: usize = 256 * 1024;

/// Why the log cannot be written or read.
#[derive(Debug, Display)]
pub enum RecordLogError {
    /// the disk failed: {0}
    Disk(std::io::Error),
    /// a record cannot be encoded: {0}
    Encode(rmp_serde::encode::Error),
    /// the file cannot be rewritten and is still in use: {0}
    Rewrite(Box<RecordLogError>),
    /// the record of entry {0} is missing or corrupt
    Missing(u64),
}

impl std::error::Error for RecordLogError {}

impl From<std::io::Error> for RecordLogError {
    fn from(error: std::io::Error) -> Self {
        Self::Disk(error)
    }
}

/// Body of a record. The names of the variants are part of the encoding.
#[derive(Serialize, Deserialize)]
pub(crate) enum Record {
    /// Id of the member; the first record of a file.
    Identity(MemberId),
    /// Term and vote, replacing earlier ones.
    HardState(HardState),
    /// Replaces all earlier records except identity, term and vote.
    Snapshot(Snapshot),
    /// Discards the entries from this index on.
    Truncate(u64),
    /// Appends an entry, in place of an earlier one with its index and of those after it.
    Entry(Entry),
}

/// The log file of one member.
pub struct RecordLog {
    folder: PathBuf,
    file: File,
    id: MemberId,
    /// Total size of the valid records in the file, in bytes.
    bytes: u64,
    base: Base,
    offsets: Offsets,
}

/// Index and term of the last entry that the snapshot of a file includes; 0 without a snapshot.
#[derive(Clone, Copy, Debug, Default)]
struct Base {
    index: u64,
    term: u64,
}

impl Base {
    fn of<S>(snapshot: &Snapshot<S>) -> Self {
        Self {
            index: snapshot.index,
            term: snapshot.term,
        }
    }
}

/// Offsets in the file of the records that contain entries.
#[derive(Clone, Debug, Default)]
struct Offsets {
    /// Index of the entry at `byte_offsets[0]`; not meaningful while `byte_offsets` is empty.
    first: u64,
    /// Offset of each entry from `first` on, in bytes.
    byte_offsets: Vec<u64>,
}

impl Offsets {
    fn after(index: u64) -> Self {
        Self {
            first: index + 1,
            byte_offsets: Vec::new(),
        }
    }

    fn push(&mut self, index: u64, offset: u64) {
        if self.byte_offsets.is_empty() {
            self.first = index;
        }
        self.byte_offsets.push(offset);
    }

    fn truncate(&mut self, from: u64) {
        let count = from.saturating_sub(self.first);
        // A count beyond the address space keeps all offsets.
        self.byte_offsets
            .truncate(usize::try_from(count).unwrap_or(usize::MAX));
    }

    /// Index of the last entry; `None` if there are no entries.
    fn last(&self) -> Option<u64> {
        let count = self.byte_offsets.len() as u64;
        (count > 0).then(|| self.first + count - 1)
    }

    fn find(&self, index: u64) -> Option<u64> {
        let position = index.checked_sub(self.first)?;
        // No entry has a position beyond the address space.
        let position = usize::try_from(position).ok()?;
        self.byte_offsets.get(position).copied()
    }
}

/// An opened log and its content. `S` is the state machine of the snapshot or its encoding.
pub struct OpenedLog<S = Bytes> {
    /// The log, ready for appending.
    pub log: RecordLog,
    /// Id of the member. It is the given new id if the folder had no log, or if the record with the
    /// id could not be read.
    pub id: MemberId,
    /// Persisted state of the member.
    pub persisted: Persisted<S>,
}

impl RecordLog {
    /// Opens the log in `folder` as [`RecordLog::open_with`] does, and reads the encoded state of the
    /// snapshot into memory.
    ///
    /// # Errors
    /// See [`RecordLog::open_with`].
    pub fn open(folder: &Path, new_id: MemberId) -> Result<OpenedLog, RecordLogError> {
        Self::open_with(folder, new_id, |mut reader| {
            let mut state = Vec::new();
            reader.read_to_end(&mut state)?;
            Ok(state.into())
        })
    }

    /// Opens the log in `folder`, or creates one for a member with the id `new_id`. The file is
    /// truncated at the first record that cannot be read. `read_state` decodes the state of the
    /// snapshot; it is called once if there is a snapshot.
    ///
    /// # Errors
    /// The file cannot be opened, written or synced, the record with the id cannot be encoded, or
    /// `read_state` fails.
    pub fn open_with<S>(
        folder: &Path,
        new_id: MemberId,
        read_state: impl FnOnce(StateReader<'_>) -> std::io::Result<S>,
    ) -> Result<OpenedLog<S>, RecordLogError> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join(FILE_NAME);
        remove_unfinished(&folder.join(NEW_FILE_NAME));
        let file = OpenOptions::new()
            .read(true)
            .append(true)
            .create(true)
            .open(&path)?;
        let length = file.metadata()?.len();
        let read = read_records(&file);
        if read.valid_bytes < length {
            file.set_len(read.valid_bytes)?;
        }
        let id = read.id.unwrap_or(new_id);
        let mut log = Self {
            folder: folder.to_path_buf(),
            file,
            id,
            bytes: read.valid_bytes,
            base: read
                .persisted
                .snapshot
                .as_ref()
                .map(Base::of)
                .unwrap_or_default(),
            offsets: read.offsets,
        };
        if read.id.is_none() {
            log.append(&[Record::Identity(id)])?;
        }
        log.file.sync_data()?;
        sync_folder(folder)?;
        let persisted = read_snapshot_state(&log.file, read.persisted, read_state)?;
        Ok(OpenedLog { log, id, persisted })
    }

    /// Index of the last entry that the file has only as part of its snapshot; 0 without a snapshot.
    pub fn base_index(&self) -> u64 {
        self.base.index
    }

    /// Size of the file in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the term of the entry before `first` (0 if `first` is 1), and the entries from
    /// `first` on, until their records reach `limit` bytes or the log ends. `None` if the file does
    /// not contain the entry at `first`, or neither the entry before it nor a snapshot that ends
    /// with that entry.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn entries_from(
        &self,
        first: u64,
        limit: u64,
    ) -> Result<Option<(u64, Vec<Entry>)>, RecordLogError> {
        let previous_term = match first.checked_sub(1) {
            None => return Ok(None),
            Some(previous) if previous == self.base.index => self.base.term,
            Some(previous) => match self.entry_at(previous)? {
                Some((entry, _)) => entry.term,
                None => return Ok(None),
            },
        };
        let mut entries = Vec::new();
        let mut bytes = 0;
        while bytes < limit {
            let Some((entry, length)) = self.entry_at(first + entries.len() as u64)? else {
                break;
            };
            bytes += length;
            entries.push(entry);
        }
        Ok((!entries.is_empty()).then_some((previous_term, entries)))
    }

    /// Returns the entries with these indices, up to the last one whose record ends within `limit`
    /// bytes of the start of the first, but at least one.
    ///
    /// # Errors
    /// The file cannot be read, or does not contain the first entry.
    pub fn entries_in(
        &self,
        indices: RangeInclusive<u64>,
        limit: usize,
    ) -> Result<Vec<Entry>, RecordLogError> {
        let first = *indices.start();
        let start = self.offsets.find(first);
        let start = start.ok_or(RecordLogError::Missing(first))?;
        let remaining = usize::try_from(self.bytes - start).unwrap_or(usize::MAX);
        let mut buffer = vec![0; remaining.min(limit)];
        self.file.read_exact_at(&mut buffer, start)?;
        let mut entries = Vec::new();
        for index in indices {
            let Some(body) = self.body_within(&buffer, start, index) else {
                break;
            };
            let entry = decode_entry(body, index).ok_or(RecordLogError::Missing(index))?;
            entries.push(entry);
        }
        if entries.is_empty() {
            let entry = self.entry(first)?;
            entries.push(entry.ok_or(RecordLogError::Missing(first))?);
        }
        Ok(entries)
    }

    /// The body of an entry's record within bytes of the file that begin at `start`; `None` if they
    /// do not contain the whole record, or it is corrupt.
    fn body_within<'a>(&self, bytes: &'a [u8], start: u64, index: u64) -> Option<&'a [u8]> {
        let offset = self.offsets.find(index)?.checked_sub(start)?;
        let record = bytes.get(usize::try_from(offset).ok()?..)?;
        let header = Header::decode(record.first_chunk()?);
        let body = record.get(HEADER_BYTES..)?.get(..header.length as usize)?;
        (xxh3_64(body) == header.checksum).then_some(body)
    }

    /// Returns the entry at an index; `None` if the file does not contain it.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn entry(&self, index: u64) -> Result<Option<Entry>, RecordLogError> {
        let found = self.entry_at(index)?;
        Ok(found.map(|(entry, _)| entry))
    }

    /// The entry at an index and the size of its record in bytes.
    fn entry_at(&self, index: u64) -> Result<Option<(Entry, u64)>, RecordLogError> {
        let mut record = Vec::new();
        if !self.read_record(index, &mut record)? {
            return Ok(None);
        }
        let entry = decode_entry(&record[HEADER_BYTES..], index);
        Ok(entry.map(|entry| (entry, record.len() as u64)))
    }

    /// Appends the record of an entry to `buffer`. Returns whether the file contains it.
    fn read_record(&self, index: u64, buffer: &mut Vec<u8>) -> Result<bool, RecordLogError> {
        let Some(offset) = self.offsets.find(index) else {
            return Ok(false);
        };
        let mut header = [0; HEADER_BYTES];
        self.file.read_exact_at(&mut header, offset)?;
        let Header { length, checksum } = Header::decode(&header);
        if length > MAX_RECORD_BYTES {
            return Ok(false);
        }
        buffer.extend_from_slice(&header);
        let start = buffer.len();
        buffer.resize(start + length as usize, 0);
        let body = &mut buffer[start..];
        self.file
            .read_exact_at(body, offset + HEADER_BYTES as u64)?;
        Ok(xxh3_64(body) == checksum)
    }

    /// Writes and syncs the state in `ready`. If it contains a snapshot, the file is rewritten with
    /// the snapshot, the entries and `hard_state`. Otherwise records are appended and `hard_state`
    /// is ignored: the term and vote are written only if `ready` contains them.
    ///
    /// # Errors
    /// A disk operation or an encoding fails. The caller must then not acknowledge `ready`.
    pub fn persist(&mut self, ready: &Ready, hard_state: HardState) -> Result<(), RecordLogError> {
        if let Some(snapshot) = &ready.snapshot {
            return self.rewrite(hard_state, snapshot.clone(), &ready.entries);
        }
        let mut records = Vec::new();
        if let Some(state) = ready.hard_state {
            records.push(Record::HardState(state));
        }
        if let Some(first) = ready.truncate_from {
            records.push(Record::Truncate(first));
        }
        records.extend(ready.entries.iter().cloned().map(Record::Entry));
        self.append(&records)?;
        self.file.sync_data()?;
        Ok(())
    }

    /// Replaces the file with one that contains a snapshot of this log and the entries of the file
    /// after it. The state of the snapshot is written as a stream.
    ///
    /// # Errors
    /// See [`RecordLog::rewrite`]; or an entry cannot be read.
    pub fn compact<S: SnapshotState>(
        &mut self,
        hard_state: HardState,
        snapshot: Snapshot<S>,
    ) -> Result<(), RecordLogError> {
        let last = self.offsets.last().unwrap_or(0);
        let tail = Tail::Copied(snapshot.index + 1..=last);
        self.rewrite_with(hard_state, &snapshot, tail)
    }

    /// Replaces the file with one that contains a snapshot and the entries after it. The state of
    /// the snapshot is written as a stream.
    ///
    /// # Errors
    /// [`RecordLogError::Rewrite`] if the new file cannot be written. This log then still writes to
    /// the old file, and the new one is removed. With any other error, the new file has replaced the
    /// old one but the sync of the folder failed, so records appended after the error are lost.
    pub fn rewrite<S: SnapshotState>(
        &mut self,
        hard_state: HardState,
        snapshot: Snapshot<S>,
        entries: &[Entry],
    ) -> Result<(), RecordLogError> {
        self.rewrite_with(hard_state, &snapshot, Tail::Given(entries))
    }

    fn rewrite_with<S: SnapshotState>(
        &mut self,
        hard_state: HardState,
        snapshot: &Snapshot<S>,
        tail: Tail<'_>,
    ) -> Result<(), RecordLogError> {
        let path = self.folder.join(NEW_FILE_NAME);
        let new = self.replace_file(&path, hard_state, snapshot, tail);
        let new = new.map_err(|error| {
            remove_unfinished(&path);
            RecordLogError::Rewrite(Box::new(error))
        })?;
        sync_folder(&self.folder)?;
        *self = new;
        Ok(())
    }

    /// Writes and syncs a new file at `path` and renames it.
    fn replace_file<S: SnapshotState>(
        &self,
        path: &Path,
        hard_state: HardState,
        snapshot: &Snapshot<S>,
        tail: Tail<'_>,
    ) -> Result<Self, RecordLogError> {
        let file = OpenOptions::new()
            .read(true)
            .append(true)
            .create(true)
            .open(path)?;
        file.set_len(0)?;
        let mut new = Self {
            folder: self.folder.clone(),
            file,
            id: self.id,
            bytes: 0,
            base: Base::of(snapshot),
            offsets: Offsets::after(snapshot.index),
        };
        new.append(&[Record::Identity(self.id), Record::HardState(hard_state)])?;
        let patch = OpenOptions::new().write(true).open(path)?;
        new.bytes += snapshot_record::write(&new.file, &patch, new.bytes, snapshot)?;
        match tail {
            Tail::Given(entries) => {
                let entries = entries.iter().cloned().map(Record::Entry);
                new.append(&entries.collect::<Vec<Record>>())?;
            }
            Tail::Copied(indices) => self.copy_entries(indices, &mut new)?,
        }
        new.file.sync_all()?;
        std::fs::rename(path, self.folder.join(FILE_NAME))?;
        Ok(new)
    }

    /// Appends the records of entries to another file without syncing it.
    fn copy_entries(
        &self,
        indices: RangeInclusive<u64>,
        target: &mut Self,
    ) -> Result<(), RecordLogError> {
        let mut buffer = Vec::new();
        for index in indices {
            let offset = target.bytes + buffer.len() as u64;
            if !self.read_record(index, &mut buffer)? {
                return Err(RecordLogError::Missing(index));
            }
            target.offsets.push(index, offset);
            if buffer.len() >= COPY_BYTES {
                target.write(&buffer)?;
                buffer.clear();
            }
        }
        target.write(&buffer)
    }

    /// Appends encoded records to the file.
    fn write(&mut self, records: &[u8]) -> Result<(), RecordLogError> {
        self.file.write_all(records)?;
        self.bytes += records.len() as u64;
        Ok(())
    }

    /// Appends records to the file without syncing it.
    fn append(&mut self, records: &[Record]) -> Result<(), RecordLogError> {
        let mut buffer = Vec::new();
        for record in records {
            let start = buffer.len();
            buffer.resize(start + HEADER_BYTES, 0);
            rmp_serde::encode::write(&mut buffer, record).map_err(RecordLogError::Encode)?;
            let body = &buffer[start + HEADER_BYTES..];
            match record {
                Record::Entry(entry) => self.offsets.push(entry.index, self.bytes + start as u64),
                Record::Truncate(first) => self.offsets.truncate(*first),
                _ => {}
            }
            let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
            let checksum = xxh3_64(body);
            buffer[start..start + 4].copy_from_slice(&length.to_be_bytes());
            buffer[start + 4..start + HEADER_BYTES].copy_from_slice(&checksum.to_be_bytes());
        }
        self.write(&buffer)
    }
}

/// Entries after the snapshot of a rewritten file.
enum Tail<'a> {
    /// These entries.
    Given(&'a [Entry]),
    /// The entries of the old file with these indices.
    Copied(RangeInclusive<u64>),
}

/// Header of a record.
struct Header {
    /// Size of the body in bytes.
    length: u32,
    /// XXH3 checksum of the body.
    checksum: u64,
}

impl Header {
    fn decode(bytes: &[u8; HEADER_BYTES]) -> Self {
        let [a, b, c, d, checksum @ ..] = *bytes;
        Self {
            length: u32::from_be_bytes([a, b, c, d]),
            checksum: u64::from_be_bytes(checksum),
        }
    }
}

/// Decodes the body of the record of the entry at `index`; `None` if it is another record.
fn decode_entry(body: &[u8], index: u64) -> Option<Entry> {
    match rmp_serde::from_slice(body) {
        Ok(Record::Entry(entry)) if entry.index == index => Some(entry),
        _ => None,
    }
}

/// Decodes the state of the snapshot, if there is one.
fn read_snapshot_state<S>(
    file: &File,
    persisted: Persisted<StateSpan>,
    read_state: impl FnOnce(StateReader<'_>) -> std::io::Result<S>,
) -> std::io::Result<Persisted<S>> {
    let snapshot = match persisted.snapshot {
        Some(snapshot) => Some(Snapshot {
            index: snapshot.index,
            term: snapshot.term,
            members: snapshot.members,
            state: read_state(snapshot.state.reader(file)?)?,
        }),
        None => None,
    };
    Ok(Persisted {
        hard_state: persisted.hard_state,
        snapshot,
        entries: persisted.entries,
    })
}

/// Content of the valid records of a file.
struct ReadRecords {
    id: Option<MemberId>,
    persisted: Persisted<StateSpan>,
    offsets: Offsets,
    /// Total size of the valid records, in bytes.
    valid_bytes: u64,
}

impl ReadRecords {
    fn new() -> Self {
        Self {
            id: None,
            persisted: Persisted {
                hard_state: HardState::default(),
                snapshot: None,
                entries: StoredEntries::default(),
            },
            offsets: Offsets::default(),
            valid_bytes: 0,
        }
    }
}

/// A record as read from a file.
enum ReadRecord {
    /// A snapshot whose state remains in the file.
    Snapshot(Snapshot<StateSpan>),
    /// Any other record.
    Other(Record),
}

/// Reads the records one by one, so that the file is never in memory as a whole.
fn read_records(file: &File) -> ReadRecords {
    let mut read = ReadRecords::new();
    let mut reader = BufReader::new(file);
    let mut body = Vec::new();
    while let Some((record, length)) = next_record(&mut reader, &mut body) {
        match record {
            ReadRecord::Other(Record::Identity(id)) => read.id = Some(id),
            ReadRecord::Other(Record::HardState(state)) => read.persisted.hard_state = state,
            ReadRecord::Snapshot(snapshot) => {
                read.offsets = Offsets::after(snapshot.index);
                read.persisted.entries = StoredEntries::after(snapshot.index);
                read.persisted.snapshot = Some(snapshot);
            }
            ReadRecord::Other(Record::Truncate(first)) => {
                read.offsets.truncate(first);
                read.persisted.entries.truncate(first);
            }
            ReadRecord::Other(Record::Entry(entry)) => {
                // Files of earlier versions may repeat entries after a rewrite.
                read.offsets.truncate(entry.index);
                read.persisted.entries.truncate(entry.index);
                read.offsets.push(entry.index, read.valid_bytes);
                read.persisted.entries.push(&entry);
            }
            // `next_record` returns snapshots as `ReadRecord::Snapshot`.
            ReadRecord::Other(Record::Snapshot(_)) => break,
        }
        read.valid_bytes += HEADER_BYTES as u64 + u64::from(length);
    }
    read
}

/// Returns the next record and the length of its body; `None` at the end of the file, or if the record is torn, corrupt or
/// cannot be read or decoded. The log ends there. A power failure tears only records that were not
/// synced and therefore not acknowledged; if a synced record is corrupt or unreadable, acknowledged
/// records are lost with it.
fn next_record(reader: &mut BufReader<&File>, body: &mut Vec<u8>) -> Option<(ReadRecord, u32)> {
    let mut header = [0; HEADER_BYTES];
    reader.read_exact(&mut header).ok()?;
    let Header { length, checksum } = Header::decode(&header);
    if length > MAX_RECORD_BYTES {
        return None;
    }
    if snapshot_record::is_next(reader, length).ok()? {
        let snapshot = snapshot_record::read(reader, length, checksum).ok()??;
        return Some((ReadRecord::Snapshot(snapshot), length));
    }
    body.clear();
    let read = reader.take(u64::from(length)).read_to_end(body).ok()?;
    if read < length as usize || xxh3_64(body) != checksum {
        return None;
    }
    let record = rmp_serde::from_slice(body).ok()?;
    Some((ReadRecord::Other(record), length))
}

/// Removes the file of an unfinished or failed rewrite, if any. Errors are ignored, because the next
/// rewrite truncates the file first.
fn remove_unfinished(path: &Path) {
    drop(std::fs::remove_file(path));
}

/// Syncs a folder so that created and renamed files survive a power failure.
fn sync_folder(folder: &Path) -> std::io::Result<()> {
    File::open(folder)?.sync_all()
}
