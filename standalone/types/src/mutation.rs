//! Deliberate faults that prove the fuzzing oracle can fail.
//!
//! Decision code asks [`Mutations::is_on`] at the place a fault would break a
//! guarantee. Without the `mutations` feature, which only tests switch on, the
//! answer is the constant `false` and no fault can be injected.

/// A deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mutation {
    /// Labels samples with the version ordered, not the one reported.
    LabelAsOrdered,
    /// Skips the staleness check at hand-over.
    SkipStalenessCheck,
    /// Ignores the trainer's cursor when handing over.
    IgnoreCursor,
    /// Hands over a cut-off answer as if it were whole.
    DeliverPartial,
    /// Says `not-run` of a request that was sent.
    ClaimNotRun,
    /// Runs a non-repeatable request without asking the voters.
    SkipClaims,
    /// Gives work to engines whatever their report says of leaving.
    IgnoreLeaving,
    /// Stops a draining node without waiting for its requests.
    StopWithoutDraining,
    /// Takes work with the configuration kept on disk, without asking peers.
    TrustKeptConfiguration,
    /// Never pulls configuration missed in a push.
    NeverPull,
}

/// Which deliberate faults are on.
#[derive(Clone, Debug, Default)]
pub struct Mutations {
    #[cfg(feature = "mutations")]
    on: std::collections::BTreeSet<Mutation>,
}

impl Mutations {
    /// Switches one fault on.
    #[cfg(feature = "mutations")]
    pub fn only(mutation: Mutation) -> Self {
        Self {
            on: [mutation].into(),
        }
    }

    /// Whether the fault is on.
    #[cfg(feature = "mutations")]
    pub fn is_on(&self, mutation: Mutation) -> bool {
        self.on.contains(&mutation)
    }

    /// Whether the fault is on: never, outside tests.
    #[cfg(not(feature = "mutations"))]
    pub fn is_on(&self, _mutation: Mutation) -> bool {
        false
    }
}
