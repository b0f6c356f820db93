//! The record of a snapshot, which is written and read as a stream because the state of a snapshot
//! may be larger than the memory of a process.
//!
//! The state is the last field of the record, so its encoding ends where the record ends.

use crate::record_log::{HEADER_BYTES, MAX_RECORD_BYTES, Record, RecordLogError};
use brasspond_consensus::Snapshot;
use bytes::Bytes;
use serde::Deserialize;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Read, Seek, SeekFrom, Take, Write};
use std::os::unix::fs::FileExt;
use xxhash_rust::xxh3::Xxh3;

/// First bytes of the body: a map with the variant's name as its only key, and an array of four
/// fields as the value.
const PREFIX: &[u8] = b"\x81\xa8Snapshot\x94";
/// Length of an empty `bin` in MessagePack.
const EMPTY_BIN_BYTES: usize = 2;
/// Size of the buffer through which records are written and read, in bytes.
const BUFFER_BYTES: usize = 64 * 1024;

/// The state machine of a snapshot that is about to be written.
pub trait SnapshotState {
    /// Size of the encoding in bytes.
    ///
    /// # Errors
    /// The state cannot be encoded.
    fn encoded_bytes(&self) -> io::Result<u64>;

    /// Writes the encoding.
    ///
    /// # Errors
    /// The state cannot be encoded or read, or the writer fails.
    fn write_to<W: Write>(&self, writer: &mut W) -> io::Result<()>;
}

impl SnapshotState for Bytes {
    fn encoded_bytes(&self) -> io::Result<u64> {
        Ok(self.len() as u64)
    }

    fn write_to<W: Write>(&self, writer: &mut W) -> io::Result<()> {
        writer.write_all(self)
    }
}

/// Reader of the encoded state of a snapshot.
#[derive(Debug)]
pub struct StateReader<'a>(Take<BufReader<&'a File>>);

impl Read for StateReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0.read(buffer)
    }
}

/// Location in the file of the encoded state of a snapshot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateSpan {
    /// Offset of the first byte.
    pub offset: u64,
    /// Length in bytes.
    pub length: u64,
}

impl StateSpan {
    /// Returns a reader of these bytes.
    pub fn reader(self, file: &File) -> io::Result<StateReader<'_>> {
        let mut reader = BufReader::with_capacity(BUFFER_BYTES, file);
        reader.seek(SeekFrom::Start(self.offset))?;
        Ok(StateReader(reader.take(self.length)))
    }
}

/// Appends the record at the end of `file`, which has `offset` bytes, and returns the size of the
/// record in bytes. `patch` is a handle of the same file that does not append.
pub(crate) fn write<S: SnapshotState>(
    file: &File,
    patch: &File,
    offset: u64,
    snapshot: &Snapshot<S>,
) -> Result<u64, RecordLogError> {
    let state_bytes = snapshot.state.encoded_bytes()?;
    let head = encode_head(snapshot, state_bytes)?;
    let length = head.len() as u64 + state_bytes;
    let length = u32::try_from(length)
        .ok()
        .filter(|l| *l <= MAX_RECORD_BYTES);
    let length = length
        .ok_or(io::ErrorKind::FileTooLarge)
        .map_err(io::Error::from)?;
    let mut writer = BodyWriter {
        writer: BufWriter::with_capacity(BUFFER_BYTES, file),
        hash: Xxh3::new(),
        written: 0,
    };
    // The checksum is known only after the body.
    writer.writer.write_all(&[0; HEADER_BYTES])?;
    writer.write_all(&head)?;
    snapshot.state.write_to(&mut writer)?;
    writer.flush()?;
    if writer.written != u64::from(length) {
        return Err(io::Error::other("the size of the state changed while it was written").into());
    }
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&length.to_be_bytes());
    header[4..].copy_from_slice(&writer.hash.digest().to_be_bytes());
    patch.write_all_at(&header, offset)?;
    Ok(HEADER_BYTES as u64 + u64::from(length))
}

/// Encodes the body up to the content of the state.
fn encode_head<S>(snapshot: &Snapshot<S>, state_bytes: u64) -> Result<Vec<u8>, RecordLogError> {
    let empty = Record::Snapshot(Snapshot {
        index: snapshot.index,
        term: snapshot.term,
        members: snapshot.members.clone(),
        state: Bytes::new(),
    });
    let mut head = rmp_serde::to_vec(&empty).map_err(RecordLogError::Encode)?;
    head.truncate(head.len() - EMPTY_BIN_BYTES);
    push_bin_header(&mut head, state_bytes);
    Ok(head)
}

/// Appends the shortest header of a MessagePack `bin`. The caller rejects lengths above 32 bits.
fn push_bin_header(buffer: &mut Vec<u8>, length: u64) {
    if let Ok(length) = u8::try_from(length) {
        buffer.extend([0xc4, length]);
    } else if let Ok(length) = u16::try_from(length) {
        buffer.push(0xc5);
        buffer.extend(length.to_be_bytes());
    } else {
        buffer.push(0xc6);
        buffer.extend(u32::try_from(length).unwrap_or(u32::MAX).to_be_bytes());
    }
}

/// Writes the body of a record and computes its checksum.
struct BodyWriter<'a> {
    writer: BufWriter<&'a File>,
    hash: Xxh3,
    /// Number of bytes written.
    written: u64,
}

impl Write for BodyWriter<'_> {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        let written = self.writer.write(buffer)?;
        self.hash.update(&buffer[..written]);
        self.written += written as u64;
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.writer.flush()
    }
}

/// Whether the reader is at the body of a snapshot's record.
pub(crate) fn is_next(reader: &mut BufReader<&File>, length: u32) -> io::Result<bool> {
    if (length as usize) < PREFIX.len() {
        return Ok(false);
    }
    let mut prefix = [0; PREFIX.len()];
    if reader.read_exact(&mut prefix).is_err() {
        // The record is torn, so its body cannot be read either.
        return Ok(false);
    }
    // Unlike `seek`, this keeps the buffer.
    reader.seek_relative(-(PREFIX.len() as i64))?;
    Ok(prefix == PREFIX)
}

/// Reads the body of a snapshot's record without its state. Returns `None` if the record is torn,
/// corrupt or cannot be decoded.
pub(crate) fn read(
    reader: &mut BufReader<&File>,
    length: u32,
    checksum: u64,
) -> io::Result<Option<Snapshot<StateSpan>>> {
    let start = reader.stream_position()?;
    if body_checksum(reader, length)? != Some(checksum) {
        return Ok(None);
    }
    reader.seek(SeekFrom::Start(start))?;
    let end = start + u64::from(length);
    let snapshot = read_head(&mut reader.take(u64::from(length)), end);
    reader.seek(SeekFrom::Start(end))?;
    Ok(snapshot)
}

/// Checksum of the next `length` bytes; `None` if there are fewer.
fn body_checksum(reader: &mut BufReader<&File>, length: u32) -> io::Result<Option<u64>> {
    let mut body = reader.take(u64::from(length));
    let mut hash = Xxh3::new();
    loop {
        let chunk = body.fill_buf()?;
        if chunk.is_empty() {
            return Ok((body.limit() == 0).then(|| hash.digest()));
        }
        hash.update(chunk);
        let read = chunk.len();
        body.consume(read);
    }
}

/// Decodes a body that ends at the offset `end` of the file, up to the content of the state.
fn read_head<R: Read>(body: &mut Take<R>, end: u64) -> Option<Snapshot<StateSpan>> {
    body.read_exact(&mut [0; PREFIX.len()]).ok()?;
    let mut decoder = rmp_serde::Deserializer::new(&mut *body);
    let index = u64::deserialize(&mut decoder).ok()?;
    let term = u64::deserialize(&mut decoder).ok()?;
    let members = Vec::deserialize(&mut decoder).ok()?;
    let length = read_bin_header(body)?;
    let state = StateSpan {
        offset: end - length,
        length,
    };
    (body.limit() == length).then_some(Snapshot {
        index,
        term,
        members,
        state,
    })
}

/// Reads the header of a MessagePack `bin` and returns the length of its content.
fn read_bin_header(reader: &mut impl Read) -> Option<u64> {
    let mut marker = [0];
    reader.read_exact(&mut marker).ok()?;
    let length_bytes = match marker[0] {
        0xc4 => 1,
        0xc5 => 2,
        0xc6 => 4,
        _ => return None,
    };
    let mut length = [0; 8];
    reader.read_exact(&mut length[8 - length_bytes..]).ok()?;
    Some(u64::from_be_bytes(length))
}
