//! Timing and quorum rules of the leader: when an edge is declared failed, how long it may start
//! work, when an order may be sent and when the view is sent to edges.
//!
//! All functions are pure. Times are in ms of this process's monotonic clock, which includes time
//! spent suspended, unless a parameter says otherwise.

use brasspond_units::Millis;

/// Silence after which an edge is declared failed: three missed heartbeats (500 ms each) plus 100
/// ms of network delay.
const EDGE_TIMEOUT: Millis = 1_600;
/// Time an edge has to reconnect after its link broke: two connection attempts (150 ms apart) and a
/// round trip.
const EDGE_RECONNECT_TIMEOUT: Millis = 400;

/// Whether an edge has been silent for so long that its runs must be moved elsewhere.
///
/// `heard_at` is when the last message arrived on its link, or `None` if the link is down. In that
/// case the edge's last message counts as received when this process started.
pub fn is_edge_silent(heard_at: Option<Millis>, now: Millis) -> bool {
    now >= heard_at.unwrap_or(0) + EDGE_TIMEOUT
}

/// Whether an edge whose link broke at `lost_at` has failed to reconnect in time.
pub fn is_reconnect_overdue(lost_at: Millis, now: Millis) -> bool {
    now >= lost_at + EDGE_RECONNECT_TIMEOUT
}

/// Length of a work lease as a share of `cancel_ms`. The rest covers bytes in flight: a connection
/// to a silent replica retransmits them for up to 1.5 s (its `TCP_USER_TIMEOUT`).
const WORK_LEASE_SHARE: f64 = 0.5;
/// Minimum work lease. The lease is renewed with every leader announcement
/// ([`LEADER_ANNOUNCEMENT_INTERVAL`]), and one of them may be late.
const MIN_WORK_LEASE: Millis = 2 * LEADER_ANNOUNCEMENT_INTERVAL;

/// Length of a work lease, during which an edge may start work. It is short enough that no item of
/// a job starts more than `cancel_ms` after the job ended, unless `cancel_ms` is below 2.5 s: the
/// minimum lease and the 1.5 s for bytes in flight then exceed it.
pub fn work_lease(cancel_ms: Millis) -> Millis {
    let share = (cancel_ms as f64 * WORK_LEASE_SHARE) as Millis;
    share.max(MIN_WORK_LEASE)
}

/// Returns when an edge's work lease ends, in the time of the edge's own clock.
///
/// `edge_clock` is a lower bound of that clock's current time. Returns `None` if the clock was not
/// reported recently, or if this process is not a confirmed leader: another leader may have ended
/// jobs that this one still runs.
pub fn work_lease_end(
    edge_clock: Option<Millis>,
    is_confirmed_leader: bool,
    cancel_ms: Millis,
) -> Option<Millis> {
    let clock = edge_clock.filter(|_| is_confirmed_leader)?;
    Some(clock + work_lease(cancel_ms))
}

/// Maximum time between announcing an order and sending it: several times as long as committing an
/// entry takes. Must be below [`LEASE_MARGIN`], so that no order is sent after the lease that other
/// holders wait for.
const MAX_ANNOUNCEMENT_AGE: Millis = 400;
/// Added to the lease of another holder's orders. Must exceed [`MAX_ANNOUNCEMENT_AGE`]: the lease
/// starts at the announcement, and the order may be sent that much later.
const LEASE_MARGIN: Millis = 500;

/// Whether an order announced at `announced_at` may still be sent.
pub fn is_announcement_fresh(announced_at: Millis, now: Millis) -> bool {
    now < announced_at + MAX_ANNOUNCEMENT_AGE
}

/// Whether an announced order may be sent. Only a confirmed leader may send it, and only shortly
/// after the announcement; later, another holder may already be sending orders on the subject.
pub fn may_send_order(is_confirmed_leader: bool, announced_at: Millis, now: Millis) -> bool {
    is_confirmed_leader && is_announcement_fresh(announced_at, now)
}

/// Time for which this process sends no orders on a subject after another holder announced one.
/// `lease_ms` is the configured lease.
pub fn other_holder_lease(lease_ms: Millis) -> Millis {
    lease_ms + LEASE_MARGIN
}

/// Interval between leader announcements to edges, which also renew their work leases.
pub const LEADER_ANNOUNCEMENT_INTERVAL: Millis = 500;
/// Minimum interval between view changes sent to edges: one tick of the leader.
const VIEW_INTERVAL: Millis = 100;
/// Minimum interval between view changes that edges do not act on. A replica that loads weights
/// causes such a change. Sent every 100 ms to 300 machines while 600 replicas loaded weights, these
/// changes took so much CPU time that only a third of the requests was served.
const PASSIVE_VIEW_INTERVAL: Millis = 2_000;

/// State of the leader's view relative to what was sent to edges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewState {
    /// Whether the view may have changed since it was last sent.
    pub is_changed: bool,
    /// When the view was last compared with the sent one, or 0 if never.
    pub compared_at: Millis,
    /// When a change was last sent to all edges, or 0 if never.
    pub sent_at: Millis,
    /// Whether a change of evacuated zones must be sent to edges without delay.
    pub is_urgent: bool,
    /// Whether an edge reported evacuated zones that differ from the leader's, so that the leader's
    /// must be sent again.
    pub must_resend: bool,
}

impl ViewState {
    /// Whether to compare the view with the sent one: every [`VIEW_INTERVAL`] while it changes, and
    /// immediately if evacuated zones changed.
    pub fn is_comparison_due(&self, now: Millis) -> bool {
        let is_interval_over = now >= self.compared_at + VIEW_INTERVAL;
        self.is_changed && (is_interval_over || self.is_urgent)
    }

    /// Whether to send a change that no edge acts on.
    pub fn is_passive_change_due(&self, now: Millis) -> bool {
        let is_interval_over = now >= self.sent_at + PASSIVE_VIEW_INTERVAL;
        is_interval_over || self.is_urgent || self.must_resend
    }
}

/// Number of edges that watch the source of the view while it answers the leader. An edge forwards
/// changes that the leader lacks, so a few are enough. Three edges made 479 calls to the store in
/// 40 s without faults, where all edges made 838.
const WATCHING_EDGES: usize = 3;
/// Number of edges that watch while the source does not answer the leader. At least one of them
/// should be able to reach it.
const WATCHING_EDGES_SOURCE_DOWN: usize = 16;

/// Number of edges that watch the source of the view directly.
pub fn watching_edges(source_answers: bool) -> usize {
    if source_answers {
        WATCHING_EDGES
    } else {
        WATCHING_EDGES_SOURCE_DOWN
    }
}

/// Leadership status of a process when it handles a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// Whether it leads and has applied all entries that were committed before it started to lead.
    pub leads: bool,
    /// Whether it committed an entry of its own term, so that its log has all acknowledged entries.
    pub is_established: bool,
    /// Whether a quorum answered recently, so that no other process can be the leader now.
    pub is_confirmed: bool,
    /// Minimum number of voters that store each committed entry.
    pub quorum: usize,
}

/// Whether a process may answer questions as the leader: it must be confirmed and have all
/// acknowledged entries, and a committed entry must survive the loss of `tolerated_losses`
/// machines. A group with a smaller quorum accepts no jobs, since fewer lost disks could lose them.
pub fn may_answer(leadership: Leadership, tolerated_losses: usize) -> bool {
    leadership.leads
        && leadership.is_established
        && leadership.is_confirmed
        && leadership.quorum > tolerated_losses
}

/// Time for which a job is retained after this leader first saw it: `job_retention_ms`, during
/// which callers may read it after its submission, plus [`JOB_RETENTION_MARGIN`].
pub fn job_retention(job_retention_ms: Millis) -> Millis {
    job_retention_ms + JOB_RETENTION_MARGIN
}

/// Margin for callers that started to read within `job_retention_ms`.
const JOB_RETENTION_MARGIN: Millis = 30_000;
