//! Orders to replicas: asked for, announced in the log, given.

use super::process::{Local, Storage};
use crate::platform::{VersionOrder, WireFormat};
use crate::upstream::{Pool, UpstreamError};
use brasspond_autoscaling::ScaleOrder;
use brasspond_consensus::READ_LEASE;
use brasspond_dispatch::{Event, OrderAnswer};
use brasspond_fleet::Identity;
use brasspond_jobs::Command;
use brasspond_metering::{Counts, WindowNumber};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time for a replica to answer a report or an order.
const REPLICA_ANSWER: Duration = Duration::from_millis(400);
/// An order announced longer ago than this is not given any more, in ms.
const ANNOUNCED_FOR: u64 = 400;

/// Subject of usage reports in the log; no replica has such a name.
pub(super) const USAGE_SUBJECT: &str = "/usage";

/// An order that is announced in the log before it is given.
pub(super) enum Announced {
    /// To a replica, to load a version.
    Version(VersionOrder),
    /// The report of a usage window.
    Usage(WindowNumber, Counts),
    /// How many replicas a service is to have in a zone, with the subject's name.
    Replicas(ScaleOrder, String),
}

impl Announced {
    /// What one holder at a time gives orders on.
    fn subject(&self) -> &str {
        match self {
            // Of the id: an order may reach the next life.
            Self::Version(order) => &order.replica.id,
            Self::Usage(..) => USAGE_SUBJECT,
            Self::Replicas(_, subject) => subject,
        }
    }
}

impl Storage {
    pub(super) fn ask_report(&mut self, replica: String, address: SocketAddr) {
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
                // An answer too many on a kept connection is an older report, which only
                // has the replica asked again.
                Ok(request) => pool.call(address, request, REPLICA_ANSWER).await.ok(),
                Err(_) => None,
            };
            let report = report
                .filter(|(status, _, _)| status.is_success())
                .and_then(|(_, _, body)| wire.report(&body));
            let event = Event::Report { replica, report };
            local.send(Local::Dispatch(term, event)).await;
        });
    }

    /// Connections that rest to a replica that started again are of the life before: each would
    /// cost a question its time-out where the break was not seen.
    pub(super) fn replica_reborn(&mut self, replica: &Identity, address: SocketAddr) {
        log::info!(
            "event=replica_reborn replica={} life={} seen_by=leader",
            replica.id,
            replica.life
        );
        self.pool.forget(address);
        self.metrics.replica_reborn();
    }

    /// Announces an order in the log; it is given once a quorum knows of it.
    pub(super) fn announce(&mut self, order: Announced) {
        let now = self.clock.now();
        let command = Command::Intend {
            subject: order.subject().to_string(),
            holder: self.own.machine.clone(),
        };
        let index = command
            .encode()
            .ok()
            .and_then(|bytes| self.consensus.propose(bytes));
        if let (Some(index), Some(leading)) = (index, &mut self.leading) {
            leading.announced.insert(index, (order, now));
        }
    }

    pub(super) fn intent_applied(&mut self, index: u64) {
        let announced = self
            .leading
            .as_mut()
            .and_then(|one| one.announced.remove(&index));
        let Some((order, since)) = announced else {
            return;
        };
        let may_give = self.may_give(since);
        match order {
            Announced::Version(order) => {
                let takes_work = self.takes_orders(&order.replica);
                self.give_order(order, may_give && takes_work, since);
            }
            Announced::Usage(window, counts) => self.send_usage(window, counts, may_give),
            Announced::Replicas(order, _) => {
                let is_out = self.view.is_evacuated(&order.zone);
                self.order_replicas(order, may_give && !is_out);
            }
        }
    }

    /// Whether a replica is still to load: its zone may have been evacuated, or it may have
    /// started again, since the order was announced.
    fn takes_orders(&self, replica: &Identity) -> bool {
        let known = self.view.replicas.get(&*replica.id);
        let leading = self.leading.as_ref();
        leading.is_some_and(|leading| leading.dispatcher.is_present(replica))
            && self.view.knows_evacuated()
            && known.is_some_and(|known| self.view.takes_work(known))
    }

    /// Whether this process surely leads at this moment and announced an order just now.
    fn may_give(&self, announced_at: u64) -> bool {
        let now = self.clock.now();
        self.consensus.has_quorum_contact(READ_LEASE, now) && now < announced_at + ANNOUNCED_FOR
    }

    /// Sends an order, if this process surely leads; it was announced at a moment in ms.
    fn give_order(&mut self, order: VersionOrder, is_confirmed_leader: bool, announced_at: u64) {
        let wire = Rc::clone(&self.platform.wire);
        let pool = self.pool.clone();
        let local = self.local.clone();
        let term = self.consensus.term();
        let clock = self.clock;
        // Another holder waits for the lease of what the log holds, no longer: an order that
        // leaves later than its announcement allows may follow another's.
        let is_fresh = move || clock.now() < announced_at + ANNOUNCED_FOR;
        log::info!(
            "event=order_given replica={} model={} version={} fence={} expected_count={} sent={is_confirmed_leader}",
            order.replica.id,
            order.model,
            order.version,
            order.fence,
            order.expected_orders
        );
        tokio::task::spawn_local(async move {
            let answer = if is_confirmed_leader {
                send_order(&pool, &*wire, &order, is_fresh).await
            } else {
                OrderAnswer::NotSent
            };
            let replica = order.replica;
            let event = Event::Ordered { replica, answer };
            local.send(Local::Dispatch(term, event)).await;
        });
    }
}

/// Sends an order on a connection of its own: whether it was done must be known.
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
    let Ok(request) = request else {
        return OrderAnswer::NotSent;
    };
    let call = pool.call_anew_if(is_fresh, order.address, request, REPLICA_ANSWER);
    match call.await {
        Ok((status, _, _)) => wire.order_answer(status),
        Err(UpstreamError::NotSent) => OrderAnswer::NotSent,
        Err(UpstreamError::Broken) => OrderAnswer::Unknown,
    }
}
