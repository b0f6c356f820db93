//! Announcements of the leader to all edges: its leadership and changes of its view.
//!
//! Owns [`Announcements`]. The rules for sending a change of the view are in
//! [`super::leader_rules`].

use super::leader_rules::{LEADER_ANNOUNCEMENT_INTERVAL, ViewState, watching_edges};
use super::links::{LinkState, Links};
use super::process::Storage;
use crate::link::shared_frame;
use brasspond_cluster_protocol::{Message, MessageKind, Watch};
use brasspond_consensus::Member;
use brasspond_dispatch::Event;
use brasspond_fleet::{CatchUp, FleetView};
use brasspond_units::Millis;
use bytes::Bytes;

/// Size from which a frame occupies the link to an edge for a noticeable time, in bytes.
const LARGE_FRAME_BYTES: usize = 64 * 1024;
/// Maximum number of edges to which large frames are written at a time. The others follow as these
/// are written. Full views of 10,000 replicas for 835 edges at once occupied the leader's link for
/// 2.7 s, in which no heartbeat reached the other members.
const MAX_LARGE_FRAMES: usize = 16;

/// What was last sent to edges, and when.
pub(super) struct Announcements {
    /// When the leader was last announced to all edges, or 0 if an announcement is due now.
    pub leader_sent_at: Millis,
    /// State of the view relative to what was sent.
    pub state: ViewState,
    /// The view as last sent to all edges.
    pub sent_view: FleetView,
    /// The encoded `sent_view`, cached on first use. After a change of leader all edges need it,
    /// and with many routes the encoding takes several ms.
    full_view: Option<Bytes>,
    /// The view with which this leader started, which the views of edges are mostly newer than.
    initial_view: FleetView,
    /// The encoded changes from `initial_view` to `sent_view`, cached on first use.
    catch_up: Option<Bytes>,
}

/// A change of the sent view.
enum ViewChange {
    /// The encoded delta for edges that have the previous view.
    Delta(Bytes),
    /// The first replicas. As a delta they would be as large as the full view.
    FirstReplicas,
}

impl Announcements {
    /// Creates the state of a leader that starts with this view.
    pub fn new(initial_view: FleetView) -> Self {
        Self {
            leader_sent_at: 0,
            state: ViewState {
                is_changed: true,
                compared_at: 0,
                sent_at: 0,
                is_urgent: false,
                must_resend: false,
            },
            sent_view: FleetView::default(),
            full_view: None,
            initial_view,
            catch_up: None,
        }
    }

    /// Compares the view with the sent one. If a change is due, records `view` as sent and returns
    /// the change for edges that have the previous view.
    fn take_change(&mut self, view: &FleetView, now: Millis) -> Option<ViewChange> {
        if !self.state.is_comparison_due(now) {
            return None;
        }
        let is_due =
            self.state.is_passive_change_due(now) || !view.is_same_for_edges(&self.sent_view);
        self.state.compared_at = now;
        if !is_due {
            return None;
        }
        let previous = std::mem::replace(&mut self.sent_view, view.clone());
        self.full_view = None;
        self.catch_up = None;
        self.state = ViewState {
            is_changed: false,
            compared_at: now,
            sent_at: now,
            is_urgent: false,
            must_resend: false,
        };
        if previous.replicas_revision == 0 && view.replicas_revision > 0 {
            return Some(ViewChange::FirstReplicas);
        }
        let delta = view.delta_from(&previous);
        Some(ViewChange::Delta(shared_frame(&Message::ViewChanged(
            delta,
        ))))
    }

    /// Returns the frame for an edge that was not sent `sent_view`. A catch-up also tells the edge
    /// that this leader reads them.
    fn first_frame(&mut self, edge: &LinkState) -> (MessageKind, Bytes) {
        if self.sent_view.replicas_revision > 0 && edge.may_catch_up() {
            (MessageKind::ViewChanged, self.catch_up_frame())
        } else {
            (MessageKind::View, self.full_frame())
        }
    }

    /// Returns the changes since the initial view, encoded for an edge with a view in between.
    fn catch_up_frame(&mut self) -> Bytes {
        let frame = self.catch_up.get_or_insert_with(|| {
            let catch_up = CatchUp::new(&self.initial_view, &self.sent_view);
            shared_frame(&Message::ViewCatchUp(catch_up))
        });
        frame.clone()
    }

    /// Returns the sent view, encoded for an edge that has none.
    fn full_frame(&mut self) -> Bytes {
        let view = &self.sent_view;
        let frame = self
            .full_view
            .get_or_insert_with(|| shared_frame(&Message::View(view.clone())));
        frame.clone()
    }
}

impl Links {
    /// Number of links with a large frame that is not written yet.
    fn large_frames(&self) -> usize {
        let writers = self.iter().map(|state| &state.writer);
        let waiting = writers.filter(|writer| writer.queued_bytes() >= LARGE_FRAME_BYTES);
        waiting.count()
    }
}

impl Storage {
    /// Announces this leader to edges: immediately on new links, and periodically on all. Each
    /// announcement is followed by the edge's registration with its work lease.
    pub(super) fn announce_leader(&mut self, now: Millis) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let is_due =
            now >= leader_state.announcements.leader_sent_at + LEADER_ANNOUNCEMENT_INTERVAL;
        if !is_due && !self.links.edges_lack_view {
            return;
        }
        if is_due {
            leader_state.announcements.leader_sent_at = now;
        }
        let term = leader_state.term;
        let time = leader_state.clock.time(now);
        // Edges that watch the source of the view themselves are sent one frame, and all others
        // another one.
        let own_watch = if self.source_answers {
            Watch::Fleet
        } else {
            Watch::Everything
        };
        let watching = shared_frame(&self.leader_announcement(term, own_watch, time));
        let others = shared_frame(&self.leader_announcement(term, Watch::Nothing, time));
        let watching_edges = watching_edges(self.source_answers);
        let mut sent = Vec::new();
        for (number, link) in self.links.edges().into_iter().enumerate() {
            let Some(state) = self.links.get_mut(link) else {
                continue;
            };
            let is_new = state.announced_term != term;
            if !is_due && !is_new {
                continue;
            }
            let is_watching = number < watching_edges;
            let frame = if is_watching { &watching } else { &others };
            state.writer.send_frame(MessageKind::Leading, frame.clone());
            sent.push(link);
            if is_new {
                state.announced_term = term;
                state.has_view = false;
                state.needs_full_view = false;
                state.has_quarantine = false;
                state.has_replica_loads = false;
                self.links.edges_lack_quarantine = true;
            }
        }
        for link in sent {
            self.send_registration(link, now);
        }
    }

    fn leader_announcement(&self, term: u64, watch: Watch, time: Option<Millis>) -> Message {
        let standbys: Vec<Member> = self.consensus.learners().cloned().collect();
        Message::Leading {
            term,
            members: self.consensus.members().to_vec(),
            standbys,
            watch,
            time,
            is_busy: self.monitor.load.is_busy(),
            closed_window: self.table.usage().closed_through(),
        }
    }

    /// Sends the view's changes to edges, or the full view to those that have none. While the
    /// replicas may be an old copy they are omitted, since edges would send requests to replicas
    /// that are gone.
    pub(super) fn send_view(&mut self, now: Millis) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let announcements = &mut leader_state.announcements;
        let is_comparison_due = announcements.state.is_comparison_due(now);
        if !is_comparison_due && !self.links.edges_lack_view {
            return;
        }
        let change = if leader_state.initial_listing.is_pending() {
            announcements.take_change(&self.view.without_replicas(), now)
        } else {
            announcements.take_change(&self.view, now)
        };
        let mut edges_lack_view = false;
        let mut large_frames = self.links.large_frames();
        for state in self.links.announced_edges(leader_state.term) {
            let (kind, frame) = match &change {
                None if state.has_view => continue,
                Some(ViewChange::Delta(delta)) if state.has_view => {
                    (MessageKind::ViewChanged, delta.clone())
                }
                _ => announcements.first_frame(state),
            };
            let is_large = frame.len() >= LARGE_FRAME_BYTES;
            let must_wait = is_large && large_frames >= MAX_LARGE_FRAMES;
            state.has_view = !must_wait && state.writer.send_frame(kind, frame);
            if state.has_view && kind == MessageKind::View {
                state.needs_full_view = false;
            }
            large_frames += usize::from(is_large && state.has_view);
            edges_lack_view |= !state.has_view;
        }
        self.links.edges_lack_view = edges_lack_view;
    }

    /// Called after the view of an edge was merged, which sends it if this leader lacks parts of it.
    pub(super) fn edge_view_merged(&mut self, machine: &str, changed: bool) {
        if changed {
            log::info!(
                "event=view_from_edge machine={machine} configuration={} replicas_revision={} versions_revision={} evacuated_revision={} source_answers={}",
                self.view.configuration_revision,
                self.view.replicas_revision,
                self.view.versions_revision,
                self.view.evacuated_revision,
                self.source_answers
            );
            self.view_changed();
        }
    }

    /// Passes a changed view on to the dispatcher and schedules sending it to edges.
    pub(super) fn view_changed(&mut self) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.announcements.state.is_changed = true;
        let now = self.clock.now();
        self.handle_evacuation_changes(now);
        self.dispatch(Event::View(self.view.clone()));
    }
}

#[cfg(test)]
#[path = "../../tests/unit/announcing.rs"]
mod tests;
