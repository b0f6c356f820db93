//! Reads the bodies of callers' requests within the bound of [`super::body_memory`].
//!
//! A body is held as one contiguous buffer, whatever its framing. A body that is not read to its
//! end is discarded for a while after the refusal: closing a connection with unread bytes resets
//! it, and the caller would lose the response.

use super::body_memory::{BodyMemory, Reservation, SMALL_BODY_BYTES};
use super::process::Edge;
use super::responses::{Body, plain};
use super::retry_after::Missing;
use crate::clock::{Moment, within};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::{HeaderMap, Response, StatusCode, header};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Maximum time that a body waits for room before any of it is read. Callers give up if nothing
/// is read for a second.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(500);
/// Interval between checks whether other bodies have stalled, while a body waits for room.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of bodies that wait for room; further ones are refused at once. What the
/// callers have sent meanwhile is in the buffers of their sockets.
const MAX_WAITING: usize = 64;
/// Maximum time for which the rest of a refused body is discarded.
const DISCARD_TIME: Duration = Duration::from_millis(2_000);
/// Maximum number of bodies that are discarded at a time.
const MAX_DISCARDED: usize = 256;

/// The complete body of a request and its claim on memory.
#[derive(Debug)]
pub(super) struct RequestBody {
    pub bytes: Bytes,
    /// `None` for bodies that are empty or do not come from a caller.
    reservation: Option<Reservation>,
}

impl RequestBody {
    /// A body that this edge holds for another reason.
    pub fn unclaimed(bytes: Bytes) -> Self {
        Self {
            bytes,
            reservation: None,
        }
    }

    /// Claims `bytes` more than the size of the body; returns false if there is no room.
    pub fn claim_more(&self, bytes: u64, now: u64) -> bool {
        let claimed = self.bytes.len() as u64 + bytes;
        let reservation = self.reservation.as_ref();
        reservation.is_none_or(|reservation| reservation.claim(claimed, now))
    }

    /// Drops the body and keeps a claim of `bytes` for what was made of it.
    pub fn replace(self, bytes: u64) -> Option<Reservation> {
        if let Some(reservation) = &self.reservation {
            reservation.complete(bytes);
        }
        self.reservation
    }
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    /// It is larger than the configuration allows.
    TooLarge,
    /// The bodies of other requests take the memory for it.
    NoRoom,
    /// The caller sent nothing for longer than a connection may be idle.
    Stalled,
    /// The caller disconnected or sent a malformed body.
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
    /// Maximum time without a byte.
    pub idle_timeout: Duration,
}

/// The bodies that an edge reads, waits for and discards.
#[derive(Debug)]
pub(super) struct RequestBodies {
    pub memory: Rc<BodyMemory>,
    waiting: Cell<usize>,
    discarded: Cell<usize>,
}

/// Counts a body while it waits for room or is discarded.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    /// Returns `None` if `max` are counted already.
    fn new(count: &'a Cell<usize>, max: usize) -> Option<Self> {
        let is_full = count.get() >= max;
        (!is_full).then(|| {
            count.set(count.get() + 1);
            Self(count)
        })
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl RequestBodies {
    /// `memory_limit` is that of the process in bytes, if the platform states one.
    pub fn new(memory_limit: Option<u64>) -> Self {
        Self {
            memory: Rc::new(BodyMemory::new(memory_limit)),
            waiting: Cell::new(0),
            discarded: Cell::new(0),
        }
    }
}

impl Edge {
    /// Reads the body of a request.
    ///
    /// # Errors
    /// The body was not read; the caller of this function refuses it.
    pub(super) async fn read_body(
        &self,
        body: &mut Incoming,
        limits: BodyLimits,
    ) -> Result<RequestBody, BodyError> {
        if body.is_end_stream() {
            return Ok(RequestBody::unclaimed(Bytes::new()));
        }
        let announced = body.size_hint().exact();
        if announced.is_some_and(|bytes| bytes > limits.max_bytes as u64) {
            return Err(BodyError::TooLarge);
        }
        let reservation = self.request_bodies.memory.begin();
        let claimed = announced.unwrap_or(SMALL_BODY_BYTES);
        self.await_room(&reservation, claimed).await?;
        let reader = BodyReader {
            edge: self,
            reservation,
            limits,
            claimed,
            bytes: Vec::new(),
        };
        reader.read(body).await
    }

    /// Claims memory for a body of which nothing is read yet, and waits for room if necessary.
    async fn await_room(&self, reservation: &Reservation, bytes: u64) -> Result<(), BodyError> {
        if reservation.claim(bytes, self.clock.now()) {
            return Ok(());
        }
        let bodies = &self.request_bodies;
        let _waiting = Counted::new(&bodies.waiting, MAX_WAITING).ok_or(BodyError::NoRoom)?;
        let deadline = Moment::now() + MAX_ROOM_WAIT;
        loop {
            let left = deadline.saturating_duration_since(Moment::now());
            if left.is_zero() {
                return Err(BodyError::NoRoom);
            }
            // After a timeout other bodies may have stalled.
            let _ = within(left.min(ROOM_CHECK_INTERVAL), bodies.memory.released()).await;
            if reservation.claim(bytes, self.clock.now()) {
                return Ok(());
            }
        }
    }

    /// Refuses a request whose body was not read. None of it was sent to a replica.
    pub(super) fn refuse_body(
        self: &Rc<Self>,
        id: &str,
        headers: &HeaderMap,
        body: Incoming,
        error: BodyError,
        priority: u32,
    ) -> Response<Body> {
        self.metrics.body_refused(error.name());
        log::info!(
            "event=body_refused request={id} reason={} claimed_bytes={}",
            error.name(),
            self.request_bodies.memory.claimed_bytes()
        );
        // A caller that waits for permission to send has sent nothing.
        if !headers.contains_key(header::EXPECT) && error != BodyError::Broken {
            let edge = Rc::clone(self);
            tokio::task::spawn_local(async move { edge.discard(body).await });
        }
        match error {
            BodyError::TooLarge => plain(StatusCode::PAYLOAD_TOO_LARGE, Bytes::new()),
            BodyError::NoRoom => self.reject(Missing::Memory, priority),
            BodyError::Stalled => plain(StatusCode::REQUEST_TIMEOUT, Bytes::new()),
            BodyError::Broken => plain(StatusCode::BAD_REQUEST, Bytes::new()),
        }
    }

    /// Reads the rest of a body and drops it.
    async fn discard(&self, mut body: Incoming) {
        let discarded = &self.request_bodies.discarded;
        let Some(_counted) = Counted::new(discarded, MAX_DISCARDED) else {
            return;
        };
        let rest = async { while let Some(Ok(_)) = body.frame().await {} };
        // After a timeout the connection is closed.
        let _ = within(DISCARD_TIME, rest).await;
    }
}

/// Reads one body.
struct BodyReader<'a> {
    edge: &'a Edge,
    reservation: Reservation,
    limits: BodyLimits,
    /// Claimed bytes.
    claimed: u64,
    bytes: Vec<u8>,
}

impl BodyReader<'_> {
    async fn read(mut self, body: &mut Incoming) -> Result<RequestBody, BodyError> {
        // Bodies that the connection has received already need no timer.
        while let Some(data) = self.next_data(body).await? {
            self.append(&data)?;
        }
        self.reservation.complete(self.bytes.len() as u64);
        Ok(RequestBody {
            bytes: self.bytes.into(),
            reservation: Some(self.reservation),
        })
    }

    /// Returns the next data; `None` at the end of the body. Trailers are ignored.
    async fn next_data(&self, body: &mut Incoming) -> Result<Option<Bytes>, BodyError> {
        loop {
            let frame = tokio::select! {
                biased;
                () = self.reservation.cut() => return Err(BodyError::NoRoom),
                frame = within(self.limits.idle_timeout, body.frame()) => frame,
            };
            match frame {
                Err(_) => return Err(BodyError::Stalled),
                Ok(None) => return Ok(None),
                Ok(Some(Err(_))) => return Err(BodyError::Broken),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    fn append(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let before = self.bytes.len() as u64 / SMALL_BODY_BYTES;
        let length = self.bytes.len() + data.len();
        if length > self.limits.max_bytes {
            return Err(BodyError::TooLarge);
        }
        let now = self.edge.clock.now();
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
