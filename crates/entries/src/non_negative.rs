//! Non-negative numbers.

use serde::Deserialize;

/// A number that is at least 0, such as a time, a weight or a rate. Deserializing a negative number
/// fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(try_from = "f64")]
pub struct NonNegative(f64);

impl TryFrom<f64> for NonNegative {
    type Error = &'static str;

    fn try_from(number: f64) -> Result<Self, Self::Error> {
        (number >= 0.0)
            .then_some(Self(number))
            .ok_or("number is negative")
    }
}

impl NonNegative {
    /// Creates a value. Negative numbers become 0. Unlike `try_from`, it can be used in constants.
    pub const fn of(number: f64) -> Self {
        Self(number.max(0.0))
    }

    /// Returns the value as a float.
    pub fn number(self) -> f64 {
        self.0
    }

    /// Returns the integral part of the value.
    pub fn whole(self) -> u64 {
        self.0 as u64
    }

    /// Converts the value from seconds to milliseconds, rounded down.
    pub fn seconds_in_ms(self) -> u64 {
        (self.0 * 1_000.0) as u64
    }
}
