//! Keeping copies of a step at other nodes.

use crate::context::Context;
use brasspond_protocol::{PeerMessage, StepMessage};
use brasspond_rollout::{SlotState, Step};
use brasspond_types::{NodeName, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Time between repeats of what a keeper has not acknowledged: one probe period of the
/// membership (0.5 s, design note 0003), by which a keeper that ended is noticed.
const COPY_RESEND: Duration = Duration::from_millis(500);
/// Most samples in one message to a keeper; not measured.
const SAMPLES_PER_COPY: usize = 64;

#[derive(Debug, Default)]
struct Keeper {
    spec_copied: bool,
    spec_sent: Option<Timestamp>,
    missing: BTreeSet<u32>,
    results_sent: Option<Timestamp>,
}

/// Which node keeps which part of a step.
///
/// The home copies to the other holders. A node that is not the home copies to
/// the home, unless it has the step from there.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    keepers: BTreeMap<NodeName, Keeper>,
    source: Option<NodeName>,
}

impl Copies {
    /// Notes that a node, as home, sent the step here.
    pub(crate) fn came_from(&mut self, node: &NodeName) {
        self.source = Some(node.clone());
    }

    /// Sets the nodes to copy to, given the other holders, the home first. A
    /// node with `own_work` goes on copying to the home wherever the step came
    /// from, since its results are nowhere else yet.
    pub(crate) fn retarget(
        &mut self,
        holders: Vec<NodeName>,
        results: &[u32],
        is_home: bool,
        own_work: bool,
    ) {
        let wanted: Vec<NodeName> = if is_home {
            holders
        } else {
            let home = holders.into_iter().take(1);
            home.filter(|home| own_work || !self.has_from(home))
                .collect()
        };
        self.keepers.retain(|node, _| wanted.contains(node));
        for node in wanted {
            self.keepers.entry(node).or_insert_with(|| Keeper {
                missing: results.iter().copied().collect(),
                ..Keeper::default()
            });
        }
    }

    /// Whether the step came from a node that lacks nothing kept here.
    fn has_from(&self, node: &NodeName) -> bool {
        let keeper = self.keepers.get(node);
        let lacks_nothing = keeper.is_none_or(|keeper| keeper.missing.is_empty());
        self.source.as_ref() == Some(node) && lacks_nothing
    }

    /// Nodes copied to.
    pub(crate) fn keepers(&self) -> Vec<NodeName> {
        self.keepers.keys().cloned().collect()
    }

    /// Whether another node has the specification, or there is none.
    pub(crate) fn is_spec_safe(&self) -> bool {
        self.keepers.is_empty() || self.keepers.values().any(|keeper| keeper.spec_copied)
    }

    /// Whether every keeper has everything.
    pub(crate) fn is_complete(&self) -> bool {
        let complete = |keeper: &Keeper| keeper.spec_copied && keeper.missing.is_empty();
        self.keepers.values().all(complete)
    }

    /// Notes finished slots that the keepers lack, except the one they came from.
    pub(crate) fn add_results(&mut self, slots: &[u32], from: Option<&NodeName>) {
        for (node, keeper) in &mut self.keepers {
            if Some(node) != from {
                keeper.missing.extend(slots);
                keeper.results_sent = None;
            }
        }
    }

    /// The slots under way changed: the keepers are sent the step again.
    pub(crate) fn mark_spec_changed(&mut self) {
        for keeper in self.keepers.values_mut() {
            keeper.spec_copied = false;
            keeper.spec_sent = None;
        }
    }

    /// A keeper acknowledged the specification.
    pub(crate) fn spec_copied(&mut self, node: &NodeName) {
        if let Some(keeper) = self.keepers.get_mut(node) {
            keeper.spec_copied = true;
        }
    }

    /// A keeper acknowledged results.
    pub(crate) fn results_copied(&mut self, node: &NodeName, slots: &[u32]) {
        if let Some(keeper) = self.keepers.get_mut(node) {
            for slot in slots {
                keeper.missing.remove(slot);
            }
        }
    }

    /// Sends what the keepers have not acknowledged.
    pub(crate) fn tick(
        &mut self,
        step: &Step,
        under_way: &BTreeMap<u32, u64>,
        context: &mut Context<'_>,
    ) {
        let now = context.now;
        let is_due =
            |sent: Option<Timestamp>| sent.is_none_or(|sent| now.since(sent) >= COPY_RESEND);
        for (node, keeper) in &mut self.keepers {
            if !keeper.spec_copied && is_due(keeper.spec_sent) {
                keeper.spec_sent = Some(now);
                let message = StepMessage::CopySpec {
                    spec: Arc::clone(step.spec()),
                    under_way: under_way.keys().copied().collect(),
                };
                context.send(node, PeerMessage::Step(message));
            }
            if !keeper.missing.is_empty() && is_due(keeper.results_sent) {
                keeper.results_sent = Some(now);
                keeper.send_results(node, step, context);
            }
        }
    }
}

impl Keeper {
    fn send_results(&mut self, node: &NodeName, step: &Step, context: &mut Context<'_>) {
        let is_done = |slot: &u32| matches!(step.slot(*slot), Some(SlotState::Done(_)));
        self.missing.retain(is_done);
        let slots: Vec<u32> = self.missing.iter().copied().collect();
        for batch in slots.chunks(SAMPLES_PER_COPY) {
            let samples = batch.iter().filter_map(|slot| match step.slot(*slot) {
                Some(SlotState::Done(sample)) => Some(Arc::clone(sample)),
                _ => None,
            });
            let message = StepMessage::CopyResults {
                step: step.spec().id.clone(),
                samples: samples.collect(),
            };
            context.send(node, PeerMessage::Step(message));
        }
    }
}
