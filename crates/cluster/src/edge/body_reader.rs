//! Reads a body into one contiguous buffer, within a claim of [`super::body_memory`].

use super::body_memory::{Reservation, SMALL_BODY_BYTES};
use crate::clock::{Clock, within};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming};
use std::time::Duration;

/// First claim of a body of unknown length, in bytes. Many are short.
const INITIAL_CLAIM_BYTES: u64 = 8 * 1024;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    /// It exceeds the maximum size.
    TooLarge,
    /// Other bodies take the memory for it.
    NoRoom,
    /// Nothing arrived for longer than the limit.
    Stalled,
    /// The sender disconnected or sent a malformed body.
    Broken,
}

impl BodyError {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::NoRoom => "no_room",
            Self::Stalled => "stalled",
            Self::Broken => "broken",
        }
    }
}

/// Limits on one body.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyLimits {
    /// Maximum size, in bytes.
    pub max_bytes: usize,
    /// Maximum time without a byte; `None` if the caller of the reader limits the time.
    pub idle_timeout: Option<Duration>,
}

/// The next frame of a body; `None` at its end.
type NextFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// Returns what a body claims before it is read, in bytes.
///
/// # Errors
/// The announced length exceeds the limit.
pub(super) fn first_claim(body: &Incoming, limits: BodyLimits) -> Result<u64, BodyError> {
    match body.size_hint().exact() {
        Some(bytes) if bytes > limits.max_bytes as u64 => Err(BodyError::TooLarge),
        Some(bytes) => Ok(bytes),
        None => Ok(INITIAL_CLAIM_BYTES),
    }
}

/// Reads one body.
pub(super) struct BodyReader<'a> {
    clock: &'a Clock,
    reservation: Reservation,
    limits: BodyLimits,
    /// Claimed bytes.
    claimed: u64,
    bytes: Vec<u8>,
}

impl<'a> BodyReader<'a> {
    /// Creates the reader of a body for which `claimed` bytes are reserved.
    pub fn new(
        clock: &'a Clock,
        reservation: Reservation,
        limits: BodyLimits,
        claimed: u64,
    ) -> Self {
        Self {
            clock,
            reservation,
            limits,
            claimed,
            // Memory is taken as the buffer fills. A buffer that grows would be copied.
            bytes: Vec::with_capacity(usize::try_from(claimed).unwrap_or(0)),
        }
    }

    /// Reads the body to its end; returns it with its claim.
    ///
    /// # Errors
    /// The body is incomplete.
    pub async fn read(mut self, body: &mut Incoming) -> Result<(Bytes, Reservation), BodyError> {
        while let Some(data) = self.next_data(body).await? {
            self.append(&data)?;
        }
        self.reservation.complete(self.bytes.len() as u64);
        Ok((self.bytes.into(), self.reservation))
    }

    /// Returns the next data; `None` at the end of the body. Trailers are ignored.
    async fn next_data(&self, body: &mut Incoming) -> Result<Option<Bytes>, BodyError> {
        loop {
            let frame = tokio::select! {
                biased;
                () = self.reservation.cut() => return Err(BodyError::NoRoom),
                frame = self.next_frame(body) => frame?,
            };
            match frame {
                None => return Ok(None),
                Some(Err(_)) => return Err(BodyError::Broken),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    async fn next_frame(&self, body: &mut Incoming) -> Result<NextFrame, BodyError> {
        let Some(timeout) = self.limits.idle_timeout else {
            return Ok(body.frame().await);
        };
        let frame = within(timeout, body.frame()).await;
        frame.map_err(|_| BodyError::Stalled)
    }

    fn append(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let before = self.bytes.len() as u64 / SMALL_BODY_BYTES;
        let length = self.bytes.len() + data.len();
        if length > self.limits.max_bytes {
            return Err(BodyError::TooLarge);
        }
        let now = self.clock.now();
        if length as u64 > self.claimed {
            let doubled = (length as u64 * 2).min(self.limits.max_bytes as u64);
            if !self.reservation.claim(doubled, now) {
                return Err(BodyError::NoRoom);
            }
            self.claimed = doubled;
        } else if length as u64 / SMALL_BODY_BYTES > before {
            self.reservation.record_progress(now);
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}
