//! Rules of a leader that depend on times and counts alone: which edges it gives up, until when
//! they may begin work, when it may give an order, when its view is sent to edges.
//!
//! All are pure. Times are in ms of this process's steady clock, which counts suspension, unless
//! a parameter says otherwise.

use brasspond_units::Millis;

/// Silence of an edge after which it is given up: three pauses between its signs of life (500 ms
/// each) and 100 ms for the way. Not measured.
const EDGE_SILENCE: Millis = 1_600;
/// Time for an edge whose link broke to connect again before it is given up: two attempts of
/// the link (150 ms apart) and a round trip. Not measured.
const EDGE_RECONNECT_TIME: Millis = 400;

/// Whether an edge was silent for too long and is given up, so that its runs go on elsewhere.
///
/// `heard_at` is when the last message of its link came; none: the link is gone, and the edge
/// counts as last heard when this process started.
pub fn is_edge_silent(heard_at: Option<Millis>, now: Millis) -> bool {
    now >= heard_at.unwrap_or(0) + EDGE_SILENCE
}

/// Whether an edge whose link broke at `lost_at` and that did not connect again is given up.
pub fn is_edge_lost(lost_at: Millis, now: Millis) -> bool {
    now >= lost_at + EDGE_RECONNECT_TIME
}

/// Part of `cancel_ms` for which an edge may begin work after the last renewal. The rest is for
/// bytes on their way: a connection to a silent replica keeps them for 1.5 s at the most (its
/// `TCP_USER_TIMEOUT`, docs/design/0025-leave-to-begin.md).
const WORK_LEASE_SHARE: f64 = 0.5;
/// Shortest work lease: it is renewed with each announcement of the leader ([`LEADER_PAUSE`]),
/// and one of them may be late.
const SHORTEST_WORK_LEASE: Millis = 2 * LEADER_PAUSE;

/// Length of a work lease, for jobs of which nothing may begin `cancel_ms` after their end.
///
/// Below 2.5 s of `cancel_ms` the shortest lease and bytes on their way together take longer
/// than `cancel_ms`.
pub fn work_lease(cancel_ms: Millis) -> Millis {
    let share = (cancel_ms as f64 * WORK_LEASE_SHARE) as Millis;
    share.max(SHORTEST_WORK_LEASE)
}

/// Until when an edge may begin work, by the edge's own clock.
///
/// `edge_clock` is what that clock shows now at the least; none: it was not reported lately, and
/// the edge may begin nothing. Nor may it where this process is no confirmed leader: another may
/// have ended jobs that this one still runs.
pub fn work_lease_end(
    edge_clock: Option<Millis>,
    is_confirmed_leader: bool,
    cancel_ms: Millis,
) -> Option<Millis> {
    let clock = edge_clock.filter(|_| is_confirmed_leader)?;
    Some(clock + work_lease(cancel_ms))
}

/// Longest time from the announcement of an order to the order itself: time to commit an entry
/// several times over. Below [`LEASE_MARGIN`], so that an order never leaves its holder after the
/// lease that others wait for. Not measured.
const ANNOUNCEMENT_LIFE: Millis = 400;
/// Added to the lease of another holder's orders: longer than [`ANNOUNCEMENT_LIFE`], since the
/// lease counts from the announcement, and the order may follow that much later.
const LEASE_MARGIN: Millis = 500;

/// Whether an order that was announced at `announced_at` is still fresh enough to be given.
pub fn is_announcement_fresh(announced_at: Millis, now: Millis) -> bool {
    now < announced_at + ANNOUNCEMENT_LIFE
}

/// Whether an announced order may be given: by a confirmed leader only, shortly after its
/// announcement. Otherwise another holder may give orders on the subject by now.
pub fn may_give_order(is_confirmed_leader: bool, announced_at: Millis, now: Millis) -> bool {
    is_confirmed_leader && is_announcement_fresh(announced_at, now)
}

/// How long this holder waits after another's announced order on a subject; `lease_ms` is the
/// setting.
pub fn wait_for_other_holder(lease_ms: Millis) -> Millis {
    lease_ms + LEASE_MARGIN
}

/// Pause between two announcements of the leader to edges, which also renew their work leases.
pub const LEADER_PAUSE: Millis = 500;
/// Pause between two changes of the view sent to edges: one tick of the leader.
const VIEW_PAUSE: Millis = 100;
/// Pause between two changes of the view that edges do not act on. Each load of weights is one:
/// sent every 100 ms to 300 machines while 600 replicas loaded, they took so much processor time
/// that a third of the requests was served (docs/design/0016-large-fleets.md).
const INACTIVE_VIEW_PAUSE: Millis = 2_000;

/// What the leader knows of its view and of what it sent to edges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewState {
    /// The view changed since it was last sent.
    pub is_changed: bool,
    /// When it was last compared with what was sent; 0: never.
    pub compared_at: Millis,
    /// When a change was last sent to all edges; 0: never.
    pub sent_at: Millis,
    /// Edges must learn of evacuated zones without a pause.
    pub is_urgent: bool,
    /// Some edge knows an older evacuation: the newest is sent even if it was sent before.
    pub must_repeat: bool,
}

impl ViewState {
    /// Whether to compare the view with what was sent: each [`VIEW_PAUSE`] while it changes, at
    /// once where edges must learn of evacuated zones.
    pub fn is_comparison_due(&self, now: Millis) -> bool {
        let is_pause_over = now >= self.compared_at + VIEW_PAUSE;
        self.is_changed && (is_pause_over || self.is_urgent)
    }

    /// Whether to send a change on which no edge acts.
    pub fn is_inactive_change_due(&self, now: Millis) -> bool {
        let is_pause_over = now >= self.sent_at + INACTIVE_VIEW_PAUSE;
        is_pause_over || self.is_urgent || self.must_repeat
    }
}

/// Edges that watch the source of the view themselves while it answers the leader: edges send
/// the leader what it lacks, so a few are enough. Three made 479 calls to the store in 40 s without
/// faults where all edges made 838 (docs/design/0014-placement-and-sight.md).
const WATCHING_EDGES: usize = 3;
/// Edges that watch while the source does not answer the leader: one that it answers must be
/// among them. Sixteen at all times made no difference (docs/MEASUREMENTS.md).
const WATCHING_EDGES_FOR_LEADER: usize = 16;

/// How many edges watch the source of the view themselves.
pub fn watching_edges(source_answers: bool) -> usize {
    if source_answers {
        WATCHING_EDGES
    } else {
        WATCHING_EDGES_FOR_LEADER
    }
}

/// What a process knows of its leadership as it is asked something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// It began to lead: all that was committed before is applied here.
    pub leads: bool,
    /// It committed an entry of its own term, so that it knows all that was acknowledged before.
    pub is_established: bool,
    /// A quorum answered it lately, so that no other process can lead now.
    pub is_confirmed: bool,
    /// Voters that keep each committed entry, at the least.
    pub quorum: usize,
}

/// Whether a process answers questions as the leader: only a confirmed one that knows all that was
/// acknowledged, and only where a committed entry survives `tolerated_losses` machines. A group
/// that has not grown to its size yet takes no work, since the loss of one disk could lose it.
pub fn may_answer(leadership: Leadership, tolerated_losses: usize) -> bool {
    leadership.leads
        && leadership.is_established
        && leadership.is_confirmed
        && leadership.quorum > tolerated_losses
}

/// Time for which a finished job stays known after this leader first saw it: `job_life_ms`, for
/// which callers may ask for it after its submission, and [`JOB_LIFE_MARGIN`].
pub fn job_life(job_life_ms: Millis) -> Millis {
    job_life_ms + JOB_LIFE_MARGIN
}

/// Margin for callers that began to ask within the time. Not measured.
const JOB_LIFE_MARGIN: Millis = 30_000;
