//! Forwards event streams to callers and resumes a broken stream at another replica if the route
//! allows it.
//!
//! Keeps the stream's buffer and the id of the last event sent to the caller.
//! [`super::attempts`] holds the policy for stalled and broken streams.

use super::attempt::{InFlight, ReplicaResponse};
use super::attempts::{MIN_TIME_TO_RESUME, may_resume_stream, stream_stall_timeout};
use super::draining::RequestGuard;
use super::event_buffer::EventBuffer;
use super::forward::ForwardedRequest;
use super::responses::Body;
use crate::clock::{Moment, within};
use crate::upstream::Connection;
use brasspond_eligibility::{Clearance, Ineligible};
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

/// A replica's response that is an event stream.
pub(super) struct ReplicaStream {
    pub body: Incoming,
    pub connection: Connection,
    pub _in_flight: InFlight,
    pub replica: String,
    /// When the attempt began.
    pub started: Moment,
}

/// The next part of a replica's stream.
enum Received {
    /// One or more complete events.
    Events(Bytes),
    /// The stream ended after a complete event.
    End,
    /// The stream from this replica cannot continue, for example because the connection broke, the
    /// stream stalled or the deadline passed.
    Broken,
}

/// A stream that is being forwarded to a caller.
struct ForwardedStream {
    request: ForwardedRequest,
    /// `None` after the stream broke.
    source: Option<ReplicaStream>,
    buffer: EventBuffer,
    /// Id of the last event sent to the caller.
    last_id: Option<u64>,
    /// Replicas of failed attempts and of broken streams.
    tried: Vec<String>,
    /// Number of attempts begun, including one for which no replica was found.
    attempts: u32,
    _guard: RequestGuard,
}

/// Returns the body of the response to the caller. `tried` are the replicas of failed attempts,
/// `attempts` is the number of attempts including the successful one.
pub(super) fn forward_stream(
    request: ForwardedRequest,
    source: ReplicaStream,
    tried: Vec<String>,
    attempts: u32,
    guard: RequestGuard,
) -> Body {
    let forwarded = ForwardedStream {
        request,
        source: Some(source),
        buffer: EventBuffer::default(),
        last_id: None,
        tried,
        attempts,
        _guard: guard,
    };
    let stream = futures::stream::unfold(Some(forwarded), |forwarded| async move {
        let mut forwarded = forwarded?;
        match forwarded.next().await {
            Some(Ok(events)) => Some((Ok(Frame::data(events)), Some(forwarded))),
            Some(Err(error)) => Some((Err(error), None)),
            None => None,
        }
    });
    Box::pin(StreamBody::new(stream))
}

impl ForwardedStream {
    /// Returns the next events, resuming the stream if it breaks; `None` after its end.
    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        loop {
            match self.receive().await {
                Received::Events(events) => {
                    self.last_id = last_id(&events).or(self.last_id);
                    return Some(Ok(events));
                }
                Received::End => {
                    self.request.record_completed();
                    if let Some(source) = self.source.take() {
                        let pool = &self.request.edge.pool;
                        pool.release(source.connection);
                    }
                    return None;
                }
                Received::Broken => {
                    if !self.resume().await {
                        return Some(Err(std::io::Error::other("the replica stream broke")));
                    }
                }
            }
        }
    }

    async fn receive(&mut self) -> Received {
        let stall_timeout = stream_stall_timeout(self.request.objective());
        loop {
            if let Some(events) = self.buffer.take_all_events() {
                return Received::Events(events);
            }
            let Some(source) = &mut self.source else {
                return Received::Broken;
            };
            let left = self.request.left();
            if left.is_zero() || self.buffer.is_too_long() {
                return Received::Broken;
            }
            let timeout = if self.request.is_repeatable() {
                left.min(stall_timeout)
            } else {
                left
            };
            match within(timeout, source.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    // Trailer frames are ignored.
                    if let Ok(data) = frame.into_data() {
                        self.buffer.push(&data);
                    }
                }
                Ok(None) if self.buffer.is_empty() => return Received::End,
                Ok(None) | Ok(Some(Err(_))) | Err(_) => return Received::Broken,
            }
        }
    }

    /// Resumes the stream, at an untried replica if possible. Returns false if that fails or is not
    /// allowed.
    async fn resume(&mut self) -> bool {
        self.handle_break();
        while may_resume_stream(
            self.request.is_repeatable(),
            self.attempts,
            self.request.route.max_attempts,
        ) {
            self.attempts += 1;
            let started = Moment::now();
            let clearance = match self.request.choose(&self.tried).await {
                Ok(clearance) => clearance,
                Err(reason) => {
                    self.log_resume_failure(reason);
                    break;
                }
            };
            if self.resume_from_replica(&clearance, started).await {
                return true;
            }
            if self.request.left() < MIN_TIME_TO_RESUME {
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

    /// Drops a broken stream and incomplete events. Records a fault of its replica, probes whether
    /// the replica's process has ended, and adds the replica to `tried`.
    fn handle_break(&mut self) {
        self.buffer.clear();
        if let Some(broken) = self.source.take() {
            let mut balancer = self.request.edge.balancer.borrow_mut();
            balancer.record_fault(&broken.replica, broken.started);
            drop(balancer);
            self.request
                .probe_after_break(&broken.replica, broken.started);
            self.tried.push(broken.replica.clone());
        }
    }

    /// Requests the remaining events from a replica. Returns whether it responds with a stream.
    async fn resume_from_replica(&mut self, clearance: &Clearance, started: Moment) -> bool {
        let replica = clearance.replica().to_string();
        log::info!(
            "event=stream_resumed request={} route={} replica={replica} after={:?} attempt={} left_ms={}",
            self.request.id,
            self.request.route.name,
            self.last_id,
            self.attempts,
            self.request.left().as_millis()
        );
        // 0 because only scoring calls double the timeout after each attempt that timed out.
        let timeout = self.request.attempt_timeout(0);
        let attempt = self.request.attempt(clearance, self.last_id, timeout);
        match attempt.await {
            Ok(ReplicaResponse::Stream(_, _, source)) => {
                self.source = Some(source);
                return true;
            }
            Ok(ReplicaResponse::Full(..)) => {}
            Err(error) => self.request.probe_after_failure(&replica, started, &error),
        }
        self.tried.push(replica);
        false
    }

    fn log_resume_failure(&self, reason: Option<Ineligible>) {
        log::info!(
            "event=stream_not_resumed request={} unfit={} after={:?} attempt={}",
            self.request.id,
            reason.map_or("none_known", Ineligible::name),
            self.last_id,
            self.attempts
        );
    }
}

/// Number in the last `id:` line; `None` if no line has an id or the last id is not a number.
fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}
