//! Periods of a group, and what follows from them.

use brasspond_units::Millis;

/// A leader is sure that it leads (a confirmed leader) while a quorum answered messages that it
/// sent within this time: 50 ms less than the shortest silence after which another may lead
/// ([`Timing::election`] of [`Timing::default`]).
pub const READ_LEASE: Millis = 550;

/// Periods of a group.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Pause between heartbeats of a leader.
    pub heartbeat: Millis,
    /// Shortest silence of a leader after which another is elected; the longest is twice that.
    pub election: Millis,
    /// Pause after which an unanswered append is sent again.
    pub resend: Millis,
}

/// Four heartbeats fit into the shortest election timeout, so that one or two may be lost; an
/// append is sent again before it is over. Not measured.
impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: 150,
            election: 600,
            resend: 400,
        }
    }
}
