//! Reads the bodies of callers' requests and of replicas' answers within the bounds of
//! [`super::body_memory`].
//!
//! A request body that is refused is read and discarded for a while: closing a connection with
//! unread bytes resets it, and the caller would lose the response.

use super::body_memory::{BodyMemory, Reservation};
use super::body_reader::{BodyError, BodyLimits, BodyReader, first_claim};
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

/// Divisor of the memory limit that gives the bound on bodies of requests.
const REQUESTS_DIVISOR: u64 = 3;
/// Divisor of the memory limit that gives the bound on answers that are read.
const ANSWERS_DIVISOR: u64 = 4;
/// Maximum size of one answer, in bytes. A process with little memory has a lower one.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Divisor of the memory limit that gives the maximum size of one answer.
const ANSWER_DIVISOR: u64 = 3;
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

/// The bodies of requests that an edge reads, waits for and discards, and the answers that it reads.
#[derive(Debug)]
pub(super) struct Bodies {
    /// Memory for bodies of requests.
    requests: Rc<BodyMemory>,
    /// Memory for answers of replicas that are read.
    answers: Rc<BodyMemory>,
    /// Maximum size of one answer, in bytes.
    max_answer_bytes: usize,
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

/// Maximum size of one answer for a process with this memory limit, in bytes.
fn max_answer_bytes(memory_limit: Option<u64>) -> usize {
    let share = memory_limit.map(|limit| limit / ANSWER_DIVISOR);
    let share = share.and_then(|share| usize::try_from(share).ok());
    share.map_or(MAX_ANSWER_BYTES, |share| share.min(MAX_ANSWER_BYTES))
}

impl Bodies {
    /// `memory_limit` is that of the process in bytes, if the platform states one.
    pub fn new(memory_limit: Option<u64>) -> Self {
        Self {
            requests: Rc::new(BodyMemory::new(memory_limit, REQUESTS_DIVISOR)),
            answers: Rc::new(BodyMemory::new(memory_limit, ANSWERS_DIVISOR)),
            max_answer_bytes: max_answer_bytes(memory_limit),
            waiting: Cell::new(0),
            discarded: Cell::new(0),
        }
    }

    /// Bytes claimed for bodies of requests.
    pub fn claimed_bytes(&self) -> u64 {
        self.requests.claimed_bytes()
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
        let claimed = first_claim(body, limits)?;
        let reservation = self.reserve(&self.bodies.requests, claimed).await?;
        let reader = BodyReader::new(&self.clock, reservation, limits, claimed);
        let (bytes, reservation) = reader.read(body).await?;
        Ok(RequestBody {
            bytes,
            reservation: Some(reservation),
        })
    }

    /// Reads the body of a replica's answer.
    ///
    /// # Errors
    /// The answer is incomplete, or other answers take the memory for it.
    pub(super) async fn read_answer(&self, body: &mut Incoming) -> Result<Bytes, BodyError> {
        let limits = BodyLimits {
            max_bytes: self.bodies.max_answer_bytes,
            idle_timeout: None,
        };
        let claimed = first_claim(body, limits)?;
        let reservation = self.reserve(&self.bodies.answers, claimed).await?;
        let reader = BodyReader::new(&self.clock, reservation, limits, claimed);
        let (bytes, _) = reader.read(body).await?;
        Ok(bytes)
    }

    /// Claims memory for a body of which nothing is read yet, and waits for room if necessary.
    async fn reserve(&self, memory: &Rc<BodyMemory>, bytes: u64) -> Result<Reservation, BodyError> {
        let reservation = memory.begin();
        if reservation.claim(bytes, self.clock.now()) {
            return Ok(reservation);
        }
        let bodies = &self.bodies;
        let _waiting = Counted::new(&bodies.waiting, MAX_WAITING).ok_or(BodyError::NoRoom)?;
        let deadline = Moment::now() + MAX_ROOM_WAIT;
        loop {
            let left = deadline.saturating_duration_since(Moment::now());
            if left.is_zero() {
                return Err(BodyError::NoRoom);
            }
            // After a timeout other bodies may have stalled.
            let _ = within(left.min(ROOM_CHECK_INTERVAL), memory.released()).await;
            if reservation.claim(bytes, self.clock.now()) {
                return Ok(reservation);
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
            self.bodies.claimed_bytes()
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
        let discarded = &self.bodies.discarded;
        let Some(_counted) = Counted::new(discarded, MAX_DISCARDED) else {
            return;
        };
        let rest = async { while let Some(Ok(_)) = body.frame().await {} };
        // After a timeout the connection is closed.
        let _ = within(DISCARD_TIME, rest).await;
    }
}
