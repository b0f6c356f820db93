//! Calls to the platform that one holder at a time may make.
//!
//! Each carries the holder's fence; the platform turns away calls with a lower fence than one it
//! has seen.

use brasspond_autoscaling::ScaleOrder;
use brasspond_metering::{Counts, WindowNumber};
use futures::future::LocalBoxFuture;

/// Who makes such a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Name of the holder's machine.
    pub machine: String,
    /// Fencing token: higher than that of any earlier holder.
    pub fence: u64,
}

/// What became of such a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationsAnswer {
    /// It is done.
    Done,
    /// Nothing was done: a newer holder called, or the platform cannot give what was ordered.
    Conflict,
    /// Nothing was done.
    Refused,
    /// It may have been done, or may yet be done.
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

/// Makes these calls. No call is repeated here; the caller decides after its answer.
pub trait Operations {
    /// Reports how many requests of each tenant began to run in a window.
    fn report_usage(
        &self,
        holder: Holder,
        window: WindowNumber,
        counts: Counts,
    ) -> LocalBoxFuture<'_, OperationsAnswer>;
    /// Orders how many replicas a service is to have in a zone, of one kind (spot or not).
    fn order_replicas(
        &self,
        holder: Holder,
        order: ScaleOrder,
    ) -> LocalBoxFuture<'_, OperationsAnswer>;
}
