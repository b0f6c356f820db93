//! Request rate of a replica that is warming up, as a number of grants in a span of time.

use crate::permit::PERMIT_MS;
use brasspond_fleet::WarmUp;
use brasspond_units::Millis;

const MS_PER_SECOND: Millis = 1_000;
/// Longest interval in which requests are counted, in ms. It is meant to exceed every warm-up
/// period. A rate of 0 uses it as well.
const MAX_INTERVAL_MS: f64 = 3_600_000.0;

/// At most `max_grants` grants in any span of `span_ms`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Number of grants in a span, at least 1.
    pub max_grants: u32,
    /// Length of the span, in ms. It is the interval in which requests are counted plus
    /// [`PERMIT_MS`], because a granted request may be sent that much later.
    pub span_ms: Millis,
}

impl Rate {
    /// Converts the configured rate of a service. A rate of at least one request per second is
    /// rounded down to an integer; a lower rate becomes one request in a longer interval.
    pub fn of(warm_up: &WarmUp) -> Self {
        let per_second = warm_up.per_second;
        if per_second >= 1.0 {
            return Self {
                max_grants: per_second.floor() as u32,
                span_ms: MS_PER_SECOND + PERMIT_MS,
            };
        }
        let interval = (MS_PER_SECOND as f64 / per_second)
            .clamp(0.0, MAX_INTERVAL_MS)
            .ceil();
        Self {
            max_grants: 1,
            span_ms: interval as Millis + PERMIT_MS,
        }
    }
}
