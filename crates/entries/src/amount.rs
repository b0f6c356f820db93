//! Numbers that are never below 0.

use serde::Deserialize;

/// A number that is never below 0: a time, a weight, a rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(try_from = "f64")]
pub struct Amount(f64);

impl TryFrom<f64> for Amount {
    type Error = &'static str;

    fn try_from(number: f64) -> Result<Self, Self::Error> {
        (number >= 0.0).then_some(Self(number)).ok_or("below 0")
    }
}

impl Amount {
    /// A number that is known; one below 0 is 0.
    pub const fn of(number: f64) -> Self {
        Self(number.max(0.0))
    }

    /// The number itself.
    pub fn number(self) -> f64 {
        self.0
    }

    /// Whole units.
    pub fn whole(self) -> u64 {
        self.0 as u64
    }

    /// Milliseconds, of seconds.
    pub fn seconds_in_ms(self) -> u64 {
        (self.0 * 1_000.0) as u64
    }
}
