//! How many requests a replica that warms up bears, in whole numbers.

use crate::permit::PERMIT_MS;
use brasspond_fleet::WarmUp;
use brasspond_units::Millis;

/// A second, in ms.
const SECOND: Millis = 1_000;
/// Longest span of a budget, in ms: fewer than one request in so long is none.
const LONGEST_SPAN: f64 = 3_600_000.0;

/// So many grants in any span of so many ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Grants in a span, at least 1.
    pub most: u32,
    /// Length of the span: that in which requests are counted, and the time in which a
    /// granted one may still leave.
    pub span_ms: Millis,
}

impl Rate {
    /// Of what a service's replicas bear: whole requests a second, or one in several
    /// seconds where they bear less than one.
    pub fn of(warm_up: &WarmUp) -> Self {
        let per_second = warm_up.per_second;
        if per_second >= 1.0 {
            return Self {
                most: per_second.floor() as u32,
                span_ms: SECOND + PERMIT_MS,
            };
        }
        let pause = (SECOND as f64 / per_second).clamp(0.0, LONGEST_SPAN).ceil();
        Self {
            most: 1,
            span_ms: pause as Millis + PERMIT_MS,
        }
    }
}
