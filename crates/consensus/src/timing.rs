//! Timeouts and intervals of a group.

use brasspond_units::Millis;

/// Duration of a leader's lease: a leader is confirmed while a quorum has answered messages that it
/// sent within this time. It is shorter than the default [`Timing::election`], so that the lease
/// ends before an election timeout can lead to another leader.
pub const READ_LEASE: Millis = 550;

/// Timeouts and intervals of a group, in ms.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between heartbeats of a leader.
    pub heartbeat: Millis,
    /// Shortest election timeout; each timeout is drawn at random between this and twice this.
    pub election: Millis,
    /// Time after which an unanswered append is sent again.
    pub resend: Millis,
}

/// The shortest election timeout spans four heartbeats, so that one or two may be lost, and an
/// append is sent again before it ends.
impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: 150,
            election: 600,
            resend: 400,
        }
    }
}
