//! The leader as this edge knows it: its link, its term and the time of its last announcement.
//!
//! Decides when a leader has timed out. A leader sends its edges the view of the fleet, that is,
//! the configuration and the replicas. An edge that has had no leader for some time watches the
//! source of the view, the store of these objects, itself.

use crate::link::{LinkEnd, LinkId, Writer};
use brasspond_cluster_protocol::{EDGE_HEARTBEAT_INTERVAL, Message, Watch};
use brasspond_units::WallMillis;
use tokio::sync::watch;

/// Time without an announcement after which an edge considers its leader lost, in ms. It is longer
/// than the election timeout of 0.6 to 0.8 s, and shorter than the 1.5 s after which a link with
/// unacknowledged data is closed.
const LEADER_SILENCE_TIMEOUT_MS: u64 = 1_300;
/// Time without a leader after which a starting edge watches the view's source, in ms. An existing
/// leader sends the view within this time.
const LEADERLESS_LIMIT_AT_START_MS: u64 = 100;
/// Time without a leader after which an edge watches the view's source at the first start of the
/// complete system, in ms. The first election takes about a second, and the source would be
/// overloaded if all edges read it at once.
const LEADERLESS_LIMIT_AT_FIRST_START_MS: u64 = 3_000;
/// Time without a leader after which an edge that had one watches the view's source, in ms.
/// Together with the polling interval of the source, it is only a part of the 2 to 4 s within which
/// a configuration must take effect.
const LEADERLESS_LIMIT_MS: u64 = 1_000;

/// A known leader.
#[derive(Clone, Debug)]
pub(super) struct Leader {
    pub link: LinkId,
    pub term: u64,
    pub writer: Writer,
    /// When the leader's first announcement arrived, in ms.
    known_since: u64,
    /// When the leader's last announcement arrived, in ms.
    heard_at: u64,
}

impl Leader {
    /// Whether no announcement of the leader has arrived within the timeout.
    fn has_timed_out(&self, now: u64) -> bool {
        now >= self.heard_at + LEADER_SILENCE_TIMEOUT_MS
    }
}

/// Tracks the leader and the time without one.
pub(super) struct LeaderContact {
    leader: watch::Sender<Option<Leader>>,
    newest_term: u64,
    last_heartbeat_at: u64,
    /// Parts of the view's source that the last known leader requested this edge to watch.
    requested_watch: Watch,
    /// When this edge first found that it knows no leader, in ms; `None` while it knows one or has
    /// not checked.
    leaderless_since: Option<u64>,
    /// Time without a leader after which this edge watches the view's source if it has not known a
    /// leader since its start, in ms.
    limit_at_start_ms: u64,
}

impl LeaderContact {
    /// `may_bootstrap` says whether this may be the first start of the complete system.
    pub fn new(may_bootstrap: bool) -> Self {
        let limit_at_start_ms = if may_bootstrap {
            LEADERLESS_LIMIT_AT_FIRST_START_MS
        } else {
            LEADERLESS_LIMIT_AT_START_MS
        };
        Self {
            leader: watch::Sender::new(None),
            newest_term: 0,
            last_heartbeat_at: 0,
            requested_watch: Watch::Nothing,
            leaderless_since: None,
            limit_at_start_ms,
        }
    }

    /// The current leader, if one is known.
    pub fn leader(&self) -> Option<Leader> {
        self.leader.borrow().clone()
    }

    /// Returns a receiver that is notified of changes of the leader.
    pub fn watch_leader(&self) -> watch::Receiver<Option<Leader>> {
        self.leader.subscribe()
    }

    /// Term of the leader and the time since its last announcement, in ms; `None` without a leader.
    pub fn last_contact(&self, now: u64) -> Option<(u64, u64)> {
        let leader = self.leader.borrow();
        let leader = leader.as_ref()?;
        Some((leader.term, now.saturating_sub(leader.heard_at)))
    }

    /// Newest term that a leader announced; 0 before the first.
    pub fn newest_term(&self) -> u64 {
        self.newest_term
    }

    /// Records the term that a leader announced, and the watch that it requested. The term must not
    /// be older than the newest one.
    pub fn observe_term(&mut self, term: u64, requested_watch: Watch) {
        self.newest_term = term;
        self.requested_watch = requested_watch;
    }

    /// Records an announcement of the leader of the newest term. Returns whether the leader is new.
    pub fn observe_leader(&mut self, link: LinkId, writer: Writer, now: u64) -> bool {
        // The leader may be lost again before the next call of `effective_watch`, for example while
        // the process is suspended. Without this reset, the next time without a leader would be
        // measured from the earlier loss.
        self.leaderless_since = None;
        let term = self.newest_term;
        let known = self.leader();
        let known = known.filter(|known| known.link == link && known.term == term);
        let is_new = known.is_none();
        let leader = Leader {
            link,
            term,
            writer,
            known_since: known.map_or(now, |known| known.known_since),
            heard_at: now,
        };
        if is_new {
            log::info!("event=leader_known term={term}");
            self.leader.send_replace(Some(leader));
        } else {
            // Updates the time without notifying tasks that wait for a change of the leader.
            self.leader.send_if_modified(|known| {
                *known = Some(leader);
                false
            });
        }
        is_new
    }

    /// Handles a broken link. Forgets the leader if this was the link to it.
    pub fn observe_down(&mut self, link: LinkId, end: LinkEnd, now: u64) {
        self.leader.send_if_modified(|leader| {
            let Some(lost) = leader.take_if(|leader| leader.link == link) else {
                return false;
            };
            log::info!(
                "event=leader_link_down term={} end={} known_ms={}",
                lost.term,
                end.name(),
                now.saturating_sub(lost.known_since)
            );
            true
        });
    }

    /// Drops the leader if it has timed out; otherwise sends it a heartbeat when one is due. `wall`
    /// is the machine's wall-clock time.
    pub fn tick(&mut self, wall: WallMillis, now: u64) {
        self.leader.send_if_modified(|leader| {
            let has_timed_out = leader
                .as_ref()
                .is_some_and(|leader| leader.has_timed_out(now));
            if has_timed_out {
                log::info!("event=leader_silent");
                *leader = None;
            }
            has_timed_out
        });
        if now >= self.last_heartbeat_at + EDGE_HEARTBEAT_INTERVAL
            && let Some(leader) = self.leader()
        {
            self.last_heartbeat_at = now;
            leader.writer.send(&Message::Beat { wall, uptime: now });
        }
    }

    /// Returns which parts of the view's source to watch: those that the last leader requested, or
    /// the fleet if it requested none and no leader has been known for too long.
    pub fn effective_watch(&mut self, now: u64) -> Watch {
        if self.leader.borrow().is_some() {
            self.leaderless_since = None;
            return self.requested_watch;
        }
        let leaderless_ms = self.measure_leaderless(now);
        let had_leader = self.newest_term > 0;
        let limit_ms = if had_leader {
            LEADERLESS_LIMIT_MS
        } else {
            self.limit_at_start_ms
        };
        match self.requested_watch {
            Watch::Nothing if leaderless_ms >= limit_ms => Watch::Fleet,
            requested => requested,
        }
    }

    /// Whether this edge watches the view's source on behalf of the leader.
    pub fn watches_for_leader(&self) -> bool {
        self.requested_watch != Watch::Nothing && self.leader.borrow().is_some()
    }

    /// Returns the time without a known leader, in ms; 0 while one is known. The time begins with
    /// the first call that finds no leader.
    pub fn measure_leaderless(&mut self, now: u64) -> u64 {
        if self.leader.borrow().is_some() {
            self.leaderless_since = None;
            return 0;
        }
        now - *self.leaderless_since.get_or_insert(now)
    }
}
