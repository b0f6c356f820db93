//! Streams passed on to callers event by event, taken up at another replica
//! where one breaks off and the route allows it.

use super::forward::{Attempt, Forwarded, InFlight};
use super::front::{Body, Counted};
use crate::clock::{Moment, within};
use crate::upstream::Connection;
use brasspond_eligibility::Unfit;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use std::time::Duration;

/// Longest event, in bytes.
const LONGEST_EVENT: usize = 4 * 1024 * 1024;
/// Silence after which a stream goes on at another replica, at the least.
const LEAST_STALL: Duration = Duration::from_millis(900);

/// An answer that arrives event by event.
pub(super) struct Upstream {
    pub body: Incoming,
    pub connection: Connection,
    pub _in_flight: InFlight,
    pub replica: String,
    /// When the replica was sent the request.
    pub begun: Moment,
}

/// What came of waiting for more.
enum Arrived {
    /// Whole events.
    Events(Bytes),
    /// The stream ended as its framing says, after a whole event.
    End,
    /// It broke off, or fell silent.
    Broken,
}

/// A stream on its way to a caller.
struct Passing {
    request: Forwarded,
    upstream: Option<Upstream>,
    buffer: BytesMut,
    last_id: Option<u64>,
    tried: Vec<String>,
    attempts: u32,
    _counted: Counted,
}

/// The body of an answer to a caller. `attempts` were made so far.
pub(super) fn pass_stream(
    request: Forwarded,
    upstream: Upstream,
    tried: Vec<String>,
    attempts: u32,
    counted: Counted,
) -> Body {
    let passing = Passing {
        request,
        upstream: Some(upstream),
        buffer: BytesMut::new(),
        last_id: None,
        tried,
        attempts,
        _counted: counted,
    };
    let stream = futures::stream::unfold(Some(passing), |passing| async move {
        let mut passing = passing?;
        match passing.next().await {
            Some(Ok(events)) => Some((Ok(Frame::data(events)), Some(passing))),
            Some(Err(error)) => Some((Err(error), None)),
            None => None,
        }
    });
    Box::pin(StreamBody::new(stream))
}

impl Passing {
    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        loop {
            match self.read().await {
                Arrived::Events(events) => {
                    self.last_id = last_id(&events).or(self.last_id);
                    return Some(Ok(events));
                }
                Arrived::End => {
                    self.request.note_answered();
                    if let Some(upstream) = self.upstream.take() {
                        let pool = &self.request.edge.pool;
                        pool.give_back(upstream.connection);
                    }
                    return None;
                }
                Arrived::Broken => {
                    if !self.resume().await {
                        return Some(Err(std::io::Error::other("the stream broke off")));
                    }
                }
            }
        }
    }

    async fn read(&mut self) -> Arrived {
        let stall = LEAST_STALL.max(2 * self.request.objective());
        loop {
            if let Some(events) = take_whole_events(&mut self.buffer) {
                return Arrived::Events(events);
            }
            let Some(upstream) = &mut self.upstream else {
                return Arrived::Broken;
            };
            let left = self.request.left();
            if left.is_zero() || self.buffer.len() > LONGEST_EVENT {
                return Arrived::Broken;
            }
            let patience = if self.request.is_repeatable() {
                left.min(stall)
            } else {
                left
            };
            match within(patience, upstream.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Ok(None) if self.buffer.is_empty() => return Arrived::End,
                Ok(None) | Ok(Some(Err(_))) | Err(_) => return Arrived::Broken,
            }
        }
    }

    /// Goes on at another replica; false where that is not allowed or fails.
    async fn resume(&mut self) -> bool {
        self.buffer.clear();
        if let Some(broken) = self.upstream.take() {
            let mut balance = self.request.edge.balance.borrow_mut();
            balance.note_fault(&broken.replica, broken.begun);
            drop(balance);
            self.request.look_after_break(&broken.replica, broken.begun);
            self.tried.push(broken.replica.clone());
        }
        while self.request.is_repeatable() && self.attempts < self.request.route.max_attempts {
            self.attempts += 1;
            let begun = Moment::now();
            let clearance = match self.request.choose(&self.tried).await {
                Ok(clearance) => clearance,
                Err(unfit) => {
                    log::info!(
                        "event=stream_not_resumed request={} unfit={} after={:?} attempt={}",
                        self.request.id,
                        unfit.map_or("none_known", Unfit::name),
                        self.last_id,
                        self.attempts
                    );
                    break;
                }
            };
            let replica = clearance.replica().to_string();
            log::info!(
                "event=stream_resumed request={} route={} replica={replica} after={:?} attempt={} left_ms={}",
                self.request.id,
                self.request.route.name,
                self.last_id,
                self.attempts,
                self.request.left().as_millis()
            );
            let patience = self.request.patience(0);
            let attempt = self.request.attempt(&clearance, self.last_id, patience);
            match attempt.await {
                Ok(Attempt::Stream(_, _, upstream)) => {
                    self.upstream = Some(upstream);
                    return true;
                }
                Ok(Attempt::Whole(..)) => self.tried.push(replica),
                Err(failed) => {
                    self.request.look_after_failure(&replica, begun, &failed);
                    self.tried.push(replica);
                }
            }
            if self.request.left() < Duration::from_millis(1) {
                return false;
            }
        }
        log::info!(
            "event=stream_broken request={} route={} attempts={} after={:?} late={}",
            self.request.id,
            self.request.route.name,
            self.attempts,
            self.last_id,
            Moment::now() >= self.request.deadline
        );
        false
    }
}

/// All whole events at the start of a buffer.
fn take_whole_events(buffer: &mut BytesMut) -> Option<Bytes> {
    const SEPARATOR: &[u8] = b"\n\n";
    let last = buffer
        .windows(SEPARATOR.len())
        .rposition(|window| window == SEPARATOR)?;
    Some(buffer.split_to(last + SEPARATOR.len()).freeze())
}

/// Identity of the last event.
fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}
