//! Compression of data that is sent across zones or written to disk.
//!
//! Packed data starts with a tag byte: [`PLAIN`] precedes uncompressed data, [`DEFLATED`] a raw
//! DEFLATE stream (RFC 1951). Data that is short or does not shrink stays uncompressed, and so does
//! all data while packing is paused. Compression uses the fastest level, because a process has only
//! a fraction of a core.
#![forbid(unsafe_code)]

use bytes::{Buf, Bytes};
use displaydoc::Display;
use flate2::{Compress, Compression, Decompress, FlushCompress, FlushDecompress, Status};
use std::cell::{Cell, RefCell};

/// Tag of uncompressed data.
pub const PLAIN: u8 = 0;
/// Tag of a DEFLATE stream.
pub const DEFLATED: u8 = 1;

/// Minimum size of data that is compressed. For shorter data the savings are not worth the CPU
/// time.
const MIN_COMPRESSED_BYTES: usize = 256;
/// Expected compression ratio, which determines the initial capacity for decompression.
const EXPECTED_RATIO: usize = 2;

/// Maximum content of a stored DEFLATE block.
const MAX_STORED_BYTES: usize = 0xffff;
/// Size of the buffer into which a [`StreamPacker`] compresses, in bytes.
const PACK_STEP_BYTES: usize = 32 * 1024;

thread_local! {
    /// Compressor, reused between calls to avoid the initialization of its state of about 300 KB.
    static COMPRESS: RefCell<Compress> =
        RefCell::new(Compress::new(Compression::fast(), false));
    /// Whether [`pack`] skips compression.
    static IS_PAUSED: Cell<bool> = const { Cell::new(false) };
    static DECOMPRESS: RefCell<Decompress> = RefCell::new(Decompress::new(false));
}

/// Why packed data cannot be unpacked.
#[derive(Debug, Display)]
pub enum UnpackError {
    /// there is no tag
    Empty,
    /// the tag {0} is unknown
    Tag(u8),
    /// the stream is broken: {0}
    Stream(std::io::Error),
    /// the content is longer than {0} bytes
    TooLong(usize),
}

impl std::error::Error for UnpackError {}

/// Sets whether [`pack`] on this thread skips compression, for a process that is short of CPU time.
pub fn set_packing_paused(is_paused: bool) {
    IS_PAUSED.set(is_paused);
}

/// Runs `operation` with compression enabled even while it is paused, for data that is packed once
/// and sent many times.
pub fn with_packing<T>(operation: impl FnOnce() -> T) -> T {
    let was_paused = IS_PAUSED.replace(false);
    let result = operation();
    IS_PAUSED.set(was_paused);
    result
}

/// Packs data. The result depends only on the data and on whether packing is paused.
pub fn pack(bytes: &[u8]) -> Bytes {
    if bytes.len() >= MIN_COMPRESSED_BYTES
        && !IS_PAUSED.get()
        && let Some(compressed) = deflate(bytes)
    {
        return compressed;
    }
    let mut plain = Vec::with_capacity(bytes.len() + 1);
    plain.push(PLAIN);
    plain.extend_from_slice(bytes);
    plain.into()
}

/// Compresses data to a tagged stream; `None` if the result does not fit into the size of the data.
fn deflate(bytes: &[u8]) -> Option<Bytes> {
    let mut packed = Vec::with_capacity(bytes.len());
    packed.push(DEFLATED);
    let status = COMPRESS.with_borrow_mut(|compress| {
        compress.reset();
        compress.compress_vec(bytes, &mut packed, FlushCompress::Finish)
    });
    // The capacity is the size of the input, so compression does not end if the output exceeds it.
    matches!(status, Ok(Status::StreamEnd)).then(|| packed.into())
}

/// Compresses data piece by piece, so that the uncompressed whole is never in memory. While packing
/// is paused, the pieces are stored uncompressed.
pub struct StreamPacker {
    compress: Compress,
    /// Output of one step. Compressing into the spare capacity of `packed` would clear it each time.
    step: Box<[u8]>,
    packed: Vec<u8>,
}

impl Default for StreamPacker {
    fn default() -> Self {
        let level = if IS_PAUSED.get() {
            Compression::none()
        } else {
            Compression::fast()
        };
        Self {
            compress: Compress::new(level, false),
            step: vec![0; PACK_STEP_BYTES].into(),
            packed: Vec::new(),
        }
    }
}

impl StreamPacker {
    /// Appends a piece.
    ///
    /// # Errors
    /// The compressor failed.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), std::io::Error> {
        let end = self.compress.total_in() + piece.len() as u64;
        while self.compress.total_in() < end {
            let left = usize::try_from(end - self.compress.total_in()).unwrap_or(piece.len());
            self.step(&piece[piece.len() - left..], FlushCompress::None)?;
        }
        Ok(())
    }

    /// Ends the stream and returns it without a tag.
    ///
    /// # Errors
    /// The compressor failed.
    pub fn finish(mut self) -> Result<Bytes, std::io::Error> {
        while self.step(&[], FlushCompress::Finish)? != Status::StreamEnd {}
        Ok(self.packed.into())
    }

    fn step(&mut self, piece: &[u8], flush: FlushCompress) -> Result<Status, std::io::Error> {
        let before = self.compress.total_out();
        let status = self.compress.compress(piece, &mut self.step, flush);
        let status = status.map_err(std::io::Error::other)?;
        // At most the size of the buffer.
        let written = (self.compress.total_out() - before) as usize;
        self.packed.extend_from_slice(&self.step[..written]);
        Ok(status)
    }
}

/// Tag and stored blocks that precede the stream of a [`StreamPacker`], so that the whole unpacks to
/// `head` and the pieces.
pub fn stored_head(head: &[u8]) -> Vec<u8> {
    let mut packed = vec![DEFLATED];
    for block in head.chunks(MAX_STORED_BYTES) {
        // A chunk has at most `MAX_STORED_BYTES`.
        let length = u16::try_from(block.len()).unwrap_or(u16::MAX);
        // Not the last block, type 0, and padding to the next byte.
        packed.push(0);
        packed.extend(length.to_le_bytes());
        packed.extend((!length).to_le_bytes());
        packed.extend_from_slice(block);
    }
    packed
}

/// Unpacks data whose content has at most `max_bytes` bytes. Uncompressed content is not copied.
///
/// # Errors
/// The tag is missing or unknown, the stream is corrupt, or the content is longer.
pub fn unpack(mut packed: Bytes, max_bytes: usize) -> Result<Bytes, UnpackError> {
    if packed.is_empty() {
        return Err(UnpackError::Empty);
    }
    match packed.get_u8() {
        PLAIN if packed.len() > max_bytes => Err(UnpackError::TooLong(max_bytes)),
        PLAIN => Ok(packed),
        DEFLATED => inflate(&packed, max_bytes),
        other => Err(UnpackError::Tag(other)),
    }
}

/// Decompresses a stream whose content has at most `max_bytes` bytes.
fn inflate(packed: &[u8], max_bytes: usize) -> Result<Bytes, UnpackError> {
    let mut bytes = Vec::with_capacity(packed.len() * EXPECTED_RATIO);
    DECOMPRESS.with_borrow_mut(|decompress| {
        decompress.reset(false);
        loop {
            let read = decompress.total_in() as usize;
            let status =
                decompress.decompress_vec(&packed[read..], &mut bytes, FlushDecompress::None);
            let status = status.map_err(|error| UnpackError::Stream(error.into()))?;
            if bytes.len() > max_bytes {
                return Err(UnpackError::TooLong(max_bytes));
            }
            if status == Status::StreamEnd {
                return Ok(());
            }
            let needs_input = bytes.len() < bytes.capacity();
            if needs_input && decompress.total_in() as usize == packed.len() {
                return Err(UnpackError::Stream(
                    std::io::ErrorKind::UnexpectedEof.into(),
                ));
            }
            bytes.reserve(bytes.len().max(MIN_COMPRESSED_BYTES));
        }
    })?;
    Ok(bytes.into())
}
