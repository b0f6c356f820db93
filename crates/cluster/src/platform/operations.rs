//! Calls to the platform that only one process, their holder, may make at a time.
//!
//! Each call carries a fencing token. The platform rejects a call whose token is lower than the
//! highest that it has received.

use brasspond_autoscaling::ScaleOrder;
use brasspond_metering::{Counts, WindowNumber};
use futures::future::LocalBoxFuture;

/// Storage process that calls an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Name of the holder's machine.
    pub machine: String,
    /// Fencing token: higher than that of any earlier holder.
    pub fence: u64,
}

/// Outcome of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationsAnswer {
    /// The operation is done.
    Done,
    /// Nothing was done: a newer holder called, or the platform cannot fulfil the order.
    Conflict,
    /// Nothing was done: the platform refused the call.
    Refused,
    /// The outcome is unknown: the operation may have been done, or may still be done.
    Unknown,
}

impl OperationsAnswer {
    /// Name for metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Conflict => "conflict",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// Operations of the platform. Implementations do not retry; the caller decides.
pub trait Operations {
    /// Reports the number of requests of each tenant that began to run in a window.
    fn report_usage(
        &self,
        holder: Holder,
        window: WindowNumber,
        counts: Counts,
    ) -> LocalBoxFuture<'_, OperationsAnswer>;
    /// Orders the number of replicas of a service in a zone, of one kind (spot or not).
    fn order_replicas(
        &self,
        holder: Holder,
        order: ScaleOrder,
    ) -> LocalBoxFuture<'_, OperationsAnswer>;
}
