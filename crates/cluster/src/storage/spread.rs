//! What the leader tells the edges: that it leads, and what changes in its view.

use super::process::Storage;
use brasspond_cluster_protocol::{Kind, Message, Peer, Watch, encode};
use brasspond_consensus::Member;
use brasspond_dispatch::Event;
use brasspond_fleet::FleetView;

/// Pause between two signs of life to edges, in ms.
const LEADING_PAUSE: u64 = 500;
/// Pause between two changes of the view sent to edges, in ms.
const VIEW_PAUSE: u64 = 100;
/// Pause between two changes of the view that edges do not act on, in ms: each load
/// of weights is one.
const IDLE_VIEW_PAUSE: u64 = 2_000;
/// Edges that watch the view's source by themselves; the others are told. They
/// tell the leader what it lacks, so a few are enough.
const WATCHING_EDGES: usize = 3;
/// Edges that watch while the source does not answer the leader.
const WATCHING_FOR_LEADER: usize = 16;

impl Storage {
    /// Tells every edge who leads, at once and then from time to time.
    pub(super) fn tell_edges(&mut self, now: u64) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let is_due = now >= leading.told_at + LEADING_PAUSE;
        if !is_due && !self.has_untold_edges {
            return;
        }
        if is_due {
            leading.told_at = now;
        }
        let term = leading.term;
        let members = self.consensus.members().to_vec();
        let standbys: Vec<Member> = self.consensus.learners().cloned().collect();
        let time = leading.clock.time(now);
        let closed_window = self.table.usage().closed_through();
        let is_busy = self.load.is_busy();
        let leading_frame = |watch| {
            encode(&Message::Leading {
                term,
                members: members.clone(),
                standbys: standbys.clone(),
                watch,
                time,
                is_busy,
                closed_window,
            })
        };
        // One frame for those that watch by themselves, one for the others.
        let (own, watching_edges) = if self.source_answers {
            (Watch::Fleet, WATCHING_EDGES)
        } else {
            (Watch::Everything, WATCHING_FOR_LEADER)
        };
        let watching = leading_frame(own);
        let told = leading_frame(Watch::Nothing);
        let mut links: Vec<_> = self.links.iter_mut().collect();
        links.sort_by_key(|(link, _)| **link);
        let edges = links
            .into_iter()
            .filter(|(_, state)| matches!(state.peer, Some(Peer::Edge { .. })));
        let mut told_links = Vec::new();
        for (number, (link, state)) in edges.enumerate() {
            let is_new = state.told_term != term;
            if !is_due && !is_new {
                continue;
            }
            let watches = number < watching_edges;
            let frame = if watches { &watching } else { &told };
            state.writer.send_frame(Kind::Leading, frame.clone());
            told_links.push(*link);
            if is_new {
                state.told_term = term;
                state.has_view = false;
                state.has_quarantine = false;
                self.lacks_quarantine = true;
            }
        }
        for link in told_links {
            self.tell_registration(link, now);
        }
    }

    /// Sends edges what changed in the view, and a whole view to those that
    /// hold none.
    pub(super) fn spread_view(&mut self, now: u64) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let is_urgent = leading.spreads_at_once;
        let is_turn = now >= leading.view_looked_at + VIEW_PAUSE;
        let is_look = leading.view_is_new && (is_turn || is_urgent);
        if !is_look && !self.has_untold_edges {
            return;
        }
        let mut delta = None;
        if is_look {
            leading.view_looked_at = now;
        }
        let is_idle = now >= leading.view_sent_at + IDLE_VIEW_PAUSE;
        let is_due = is_idle || is_urgent || leading.tells_again;
        if is_look && (is_due || !self.view.is_alike_for_edges(&leading.sent_view)) {
            let changed = self.view.delta_from(&leading.sent_view);
            delta = Some(encode(&Message::ViewChanged(changed)));
            leading.sent_view = self.view.clone();
            leading.whole_view = None;
            leading.view_sent_at = now;
            leading.view_is_new = false;
            leading.spreads_at_once = false;
            leading.tells_again = false;
        }
        let term = leading.term;
        let sent_view = &leading.sent_view;
        let whole_view = &mut leading.whole_view;
        let mut lacks_view = false;
        for state in self.links.values_mut() {
            let is_edge = matches!(state.peer, Some(Peer::Edge { .. }));
            if !is_edge || state.told_term != term {
                continue;
            }
            let (kind, frame) = if state.has_view {
                (Kind::ViewChanged, delta.clone())
            } else {
                let whole =
                    whole_view.get_or_insert_with(|| encode(&Message::View(sent_view.clone())));
                (Kind::View, Some(whole.clone()))
            };
            if let Some(frame) = frame {
                state.has_view = state.writer.send_frame(kind, frame);
            }
            lacks_view |= !state.has_view;
        }
        self.has_untold_edges = lacks_view;
    }

    /// An edge knows something that this leader does not.
    pub(super) fn take_edge_view(&mut self, machine: &str, view: &FleetView) {
        self.compare_evacuated(view);
        if self.view.merge(view) {
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

    /// The view changed: the dispatcher and the edges learn of it.
    pub(super) fn view_changed(&mut self) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.view_is_new = true;
        let now = self.clock.now();
        self.note_evacuated(now);
        self.dispatch(Event::View(self.view.clone()));
    }
}
