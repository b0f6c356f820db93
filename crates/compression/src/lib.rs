//! Bytes made smaller before they cross zones or reach a disk.
//!
//! A packed run of bytes begins with a tag: [`PLAIN`] before the bytes as they
//! are, [`DEFLATED`] before a raw DEFLATE stream (RFC 1951). What is short, or does
//! not become smaller, stays plain. The fastest level is used: bytes between zones
//! are dear, but so is processor time.
#![forbid(unsafe_code)]

use bytes::{Buf, Bytes};
use displaydoc::Display;
use flate2::{Compress, Compression, Decompress, FlushCompress, FlushDecompress, Status};
use std::cell::{Cell, RefCell};

/// Tag of bytes as they are.
pub const PLAIN: u8 = 0;
/// Tag of a DEFLATE stream.
pub const DEFLATED: u8 = 1;

/// Shorter runs of bytes stay as they are.
const SHORTEST: usize = 256;

/// Times by which content is longer than its stream, roughly.
const EXPECTED_RATIO: usize = 2;

thread_local! {
    /// Kept between calls: making one costs far more than packing a message.
    static COMPRESS: RefCell<Compress> =
        RefCell::new(Compress::new(Compression::fast(), false));
    static IS_PAUSED: Cell<bool> = const { Cell::new(false) };
    static DECOMPRESS: RefCell<Decompress> = RefCell::new(Decompress::new(false));
}

/// Why packed bytes cannot be read.
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

/// Has [`pack`] on this thread leave bytes plain, or make them smaller again: for a
/// process that lacks processor time more than bytes.
pub fn pause_packing(is_paused: bool) {
    IS_PAUSED.set(is_paused);
}

/// Has [`pack`] make bytes smaller within `make` even while packing is paused: for what is
/// packed once and sent many times.
pub fn always_packing<T>(make: impl FnOnce() -> T) -> T {
    let was_paused = IS_PAUSED.replace(false);
    let made = make();
    IS_PAUSED.set(was_paused);
    made
}

/// Packs bytes, unless packing is paused. Deterministic but for that.
pub fn pack(bytes: &[u8]) -> Bytes {
    if bytes.len() >= SHORTEST
        && !IS_PAUSED.get()
        && let Some(smaller) = deflate(bytes)
    {
        return smaller;
    }
    let mut plain = Vec::with_capacity(bytes.len() + 1);
    plain.push(PLAIN);
    plain.extend_from_slice(bytes);
    plain.into()
}

/// The tagged stream, if it is smaller than the bytes.
fn deflate(bytes: &[u8]) -> Option<Bytes> {
    let mut packed = Vec::with_capacity(bytes.len());
    packed.push(DEFLATED);
    let status = COMPRESS.with_borrow_mut(|compress| {
        compress.reset();
        compress.compress_vec(bytes, &mut packed, FlushCompress::Finish)
    });
    // What does not end within the capacity is not smaller.
    matches!(status, Ok(Status::StreamEnd)).then(|| packed.into())
}

/// Unpacks bytes of at most `longest` bytes; plain ones share their memory.
///
/// # Errors
/// See [`UnpackError`].
pub fn unpack(mut packed: Bytes, longest: usize) -> Result<Bytes, UnpackError> {
    if packed.is_empty() {
        return Err(UnpackError::Empty);
    }
    match packed.get_u8() {
        PLAIN if packed.len() > longest => Err(UnpackError::TooLong(longest)),
        PLAIN => Ok(packed),
        DEFLATED => inflate(&packed, longest),
        other => Err(UnpackError::Tag(other)),
    }
}

fn inflate(packed: &[u8], longest: usize) -> Result<Bytes, UnpackError> {
    let mut bytes = Vec::with_capacity(packed.len() * EXPECTED_RATIO);
    DECOMPRESS.with_borrow_mut(|decompress| {
        decompress.reset(false);
        loop {
            let read = decompress.total_in() as usize;
            let status =
                decompress.decompress_vec(&packed[read..], &mut bytes, FlushDecompress::None);
            let status = status.map_err(|error| UnpackError::Stream(error.into()))?;
            if bytes.len() > longest {
                return Err(UnpackError::TooLong(longest));
            }
            if status == Status::StreamEnd {
                return Ok(());
            }
            let is_stuck = bytes.len() < bytes.capacity();
            if is_stuck && decompress.total_in() as usize == packed.len() {
                return Err(UnpackError::Stream(
                    std::io::ErrorKind::UnexpectedEof.into(),
                ));
            }
            bytes.reserve(bytes.len().max(SHORTEST));
        }
    })?;
    Ok(bytes.into())
}
