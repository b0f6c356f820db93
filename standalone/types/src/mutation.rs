//! Deliberate faults with which tests verify that the fuzzing oracle detects violations.
//!
//! Decision code calls [`Mutations::is_on`] where a fault would break a guarantee. Without
//! the `mutations` feature, the result is the constant `false` and no fault can be enabled.

/// A deliberate fault in decision code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mutation {
    /// Labels samples with the ordered version instead of the reported one.
    LabelAsOrdered,
    /// Skips the staleness check when samples are delivered.
    SkipStalenessCheck,
    /// Ignores the trainer's cursor when samples are delivered.
    IgnoreCursor,
    /// Delivers a truncated sample as complete.
    DeliverPartial,
    /// Reports `not-run` for a request that was sent.
    ClaimNotRun,
    /// Runs a non-repeatable request without asking the voters.
    SkipClaims,
    /// Sends requests to engines that report a planned stop.
    IgnoreLeaving,
    /// Stops a draining node without waiting for its requests.
    StopWithoutDraining,
    /// Accepts requests with the configuration stored on disk, without asking peers.
    TrustKeptConfiguration,
    /// Never pulls configuration changes that a push did not deliver.
    NeverPull,
}

/// The set of enabled faults.
#[derive(Clone, Debug, Default)]
pub struct Mutations {
    #[cfg(feature = "mutations")]
    enabled: std::collections::BTreeSet<Mutation>,
}

impl Mutations {
    /// Enables a single fault.
    #[cfg(feature = "mutations")]
    pub fn only(mutation: Mutation) -> Self {
        Self {
            enabled: [mutation].into(),
        }
    }

    /// Whether the fault is enabled.
    #[cfg(feature = "mutations")]
    pub fn is_on(&self, mutation: Mutation) -> bool {
        self.enabled.contains(&mutation)
    }

    /// Whether the fault is enabled; always `false` without the `mutations` feature.
    #[cfg(not(feature = "mutations"))]
    pub fn is_on(&self, _mutation: Mutation) -> bool {
        false
    }
}
