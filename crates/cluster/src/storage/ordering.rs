//! Orders of the leader. An order is announced in the log and sent once the announcement is
//! committed; its answer is passed to the component that requested the order.
//!
//! The announced orders are part of [`super::leader::LeaderState`], and the rules for sending them
//! are in [`super::leader_rules`]. An order that may not be sent is answered as not sent or
//! refused, so that the component retries it.

use super::leader_rules::{is_announcement_fresh, may_send_order};
use super::local::LocalEvent;
use super::process::Storage;
use crate::platform::{Holder, Operations, VersionOrder, WireFormat};
use crate::upstream::{Pool, UpstreamError};
use brasspond_autoscaling::ScaleOrder;
use brasspond_consensus::EntryId;
use brasspond_dispatch::{Event, OrderAnswer};
use brasspond_fleet::Identity;
use brasspond_jobs::Command;
use brasspond_metering::{Counts, WindowNumber};
use brasspond_units::Millis;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a report request or an order to a replica.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(400);

/// Subject of usage reports in the log. No replica has such a name.
pub(super) const USAGE_SUBJECT: &str = "/usage";

/// An order that is announced in the log before it is sent.
pub(super) enum AnnouncedOrder {
    /// Orders a replica to load a version.
    Version(VersionOrder),
    /// Reports a usage window.
    Usage(WindowNumber, Counts),
    /// Orders a number of replicas of a service in a zone, with the subject of the order.
    Replicas(ScaleOrder, String),
}

impl AnnouncedOrder {
    /// Subject that the announcement in the log names. Only one holder at a time sends orders on a
    /// subject.
    fn subject(&self) -> &str {
        match self {
            // The id without the incarnation, since an order may reach the next incarnation.
            Self::Version(order) => &order.replica.id,
            Self::Usage(..) => USAGE_SUBJECT,
            Self::Replicas(_, subject) => subject,
        }
    }
}

impl Storage {
    /// Requests a replica's report on the version that it serves, and passes the report, or `None`
    /// if there is none, to the dispatcher.
    pub(super) fn request_report(&mut self, replica: String, address: SocketAddr) {
        let wire = Rc::clone(&self.platform.wire);
        let pool = self.pool.clone();
        let local = self.local.clone();
        let term = self.consensus.term();
        tokio::task::spawn_local(async move {
            let request = Request::builder()
                .method(Method::GET)
                .uri(wire.report_path())
                .header(hyper::header::HOST, address.to_string())
                .header(&wire.names().required_replica, &replica)
                .body(Full::new(Bytes::new()));
            let report = match request {
                // A reused connection may return a stale response, which is an older report here
                // and only causes another request. A failed call is not logged, since the
                // dispatcher counts it and retries.
                Ok(request) => pool.call(address, request, REPLICA_TIMEOUT).await.ok(),
                Err(error) => {
                    log_bad_request(&replica, &error);
                    None
                }
            };
            let report = report
                .filter(|(status, _, _)| status.is_success())
                .and_then(|(_, _, body)| wire.report(&body));
            let event = Event::Report { replica, report };
            local.send(LocalEvent::Dispatch(term, event)).await;
        });
    }

    /// Handles a restarted replica. Reused connections belong to its previous incarnation, and each
    /// would cost a request its timeout if the disconnect went unnoticed.
    pub(super) fn on_replica_restarted(&mut self, replica: &Identity, address: SocketAddr) {
        log::info!(
            "event=replica_reborn replica={} life={} seen_by=leader",
            replica.id,
            replica.life
        );
        self.pool.close_idle(address);
        self.metrics.replica_reborn();
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.load_board.forget(&replica.id);
        }
    }

    /// Announces an order in the log. It is sent once the announcement is committed.
    pub(super) fn announce_order(&mut self, order: AnnouncedOrder) {
        let now = self.clock.now();
        let entry = self.propose(&Command::Intend {
            subject: order.subject().to_string(),
            holder: self.own.machine.clone(),
        });
        if let (Some(entry), Some(leader_state)) = (entry, &mut self.leader_state) {
            leader_state.announced_orders.insert(entry, (order, now));
        }
    }

    /// Sends the order announced by a committed entry if this leader announced it.
    pub(super) fn order_announcement_applied(&mut self, entry: EntryId) {
        let leader_state = self.leader_state.as_mut();
        let announced =
            leader_state.and_then(|leader_state| leader_state.announced_orders.remove(&entry));
        let Some((order, announced_at)) = announced else {
            return;
        };
        let now = self.clock.now();
        let may_send = may_send_order(self.is_confirmed_leader(now), announced_at, now);
        match order {
            AnnouncedOrder::Version(order) => {
                let may_send = may_send && self.accepts_orders(&order.replica);
                self.start_order(order, may_send, announced_at);
            }
            AnnouncedOrder::Usage(window, counts) => self.send_usage(window, counts, may_send),
            AnnouncedOrder::Replicas(order, _) => {
                let is_evacuated = self.view.is_evacuated(&order.zone);
                self.order_replicas(order, may_send && !is_evacuated);
            }
        }
    }

    /// Returns the platform's operations and this process as the holder of an order, or `None` if
    /// the order may not be sent or the platform has no operations.
    pub(super) fn operations_as_holder(
        &self,
        may_send: bool,
    ) -> Option<(Rc<dyn Operations>, Holder)> {
        let operations = self.platform.operations.clone().filter(|_| may_send)?;
        let holder = Holder {
            machine: self.own.machine.clone(),
            fence: self.consensus.term(),
        };
        Some((operations, holder))
    }

    /// Whether a replica may still be sent orders. Since the announcement, it may have restarted or
    /// started to drain, or its zone may have been evacuated. Returns false while the evacuated
    /// zones are unknown.
    fn accepts_orders(&self, replica: &Identity) -> bool {
        let replica_info = self.view.replicas.get(&*replica.id);
        let leader_state = self.leader_state.as_ref();
        leader_state.is_some_and(|leader_state| leader_state.dispatcher.is_known_life(replica))
            && self.view.knows_evacuations()
            && replica_info.is_some_and(|replica_info| self.view.takes_work(replica_info))
    }

    /// Sends an order announced at `announced_at` if it may be sent, and passes the answer to the
    /// dispatcher.
    fn start_order(&mut self, order: VersionOrder, may_send: bool, announced_at: Millis) {
        let wire = Rc::clone(&self.platform.wire);
        let pool = self.pool.clone();
        let local = self.local.clone();
        let term = self.consensus.term();
        let clock = self.clock;
        // The age is checked again once the connection is open. The lease that other holders wait
        // for starts at the announcement, so an order sent too late could follow their orders.
        let is_fresh = move || is_announcement_fresh(announced_at, clock.now());
        log::info!(
            "event=order_given replica={} model={} version={} fence={} expected_count={} sent={may_send}",
            order.replica.id,
            order.model,
            order.version,
            order.fence,
            order.expected_orders
        );
        tokio::task::spawn_local(async move {
            let answer = if may_send {
                send_order(&pool, &*wire, &order, is_fresh).await
            } else {
                OrderAnswer::NotSent
            };
            let replica = order.replica;
            let event = Event::OrderAnswered { replica, answer };
            local.send(LocalEvent::Dispatch(term, event)).await;
        });
    }
}

/// Sends an order on a new connection, since a stale response on a reused one could be taken for
/// the answer to this order.
async fn send_order(
    pool: &Pool,
    wire: &dyn WireFormat,
    order: &VersionOrder,
    is_fresh: impl FnOnce() -> bool,
) -> OrderAnswer {
    let (path, body) = wire.order(order);
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(hyper::header::HOST, order.address.to_string())
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .header(&wire.names().required_replica, &*order.replica.id)
        .body(Full::new(body));
    let request = match request {
        Ok(request) => request,
        Err(error) => {
            log_bad_request(&order.replica.id, &error);
            return OrderAnswer::NotSent;
        }
    };
    let call = pool.call_fresh_if(is_fresh, order.address, request, REPLICA_TIMEOUT);
    match call.await {
        Ok((status, _, _)) => wire.order_answer(status),
        Err(UpstreamError::NotSent) => OrderAnswer::NotSent,
        Err(UpstreamError::Broken | UpstreamError::Invalid) => OrderAnswer::Unknown,
    }
}

/// Logs that a request could not be built: the replica's id is not a valid header value.
fn log_bad_request(replica: &str, error: &hyper::http::Error) {
    log::error!("event=replica_request_invalid replica={replica} error=\"{error}\"");
}
