//! Copying of a step to other nodes.

use crate::context::Context;
use brasspond_protocol::{PeerMessage, StepMessage};
use brasspond_rollout::{SlotState, Step};
use brasspond_types::{NodeName, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Time after which an unacknowledged copy is sent again; equals one probe period of membership.
const COPY_RESEND_PERIOD: Duration = Duration::from_millis(500);
/// Maximum number of samples in one message.
const MAX_SAMPLES_PER_COPY: usize = 64;

/// A node to which the step is copied, and the data it has not acknowledged.
#[derive(Debug, Default)]
struct CopyTarget {
    spec_copied: bool,
    spec_sent_at: Option<Timestamp>,
    /// Slots whose results the node has not acknowledged.
    unacknowledged: BTreeSet<u32>,
    results_sent_at: Option<Timestamp>,
}

/// Nodes to which a step is copied and what each has acknowledged.
///
/// The home node copies to the other holders. Any other node copies to the home
/// node only, and only while it may have data that the home node lacks.
#[derive(Debug, Default)]
pub(crate) struct StepCopies {
    targets: BTreeMap<NodeName, CopyTarget>,
    /// The node from which this node last received the step.
    source: Option<NodeName>,
}

impl StepCopies {
    /// Records that this node received the step from `node`.
    pub(crate) fn set_source(&mut self, node: &NodeName) {
        self.source = Some(node.clone());
    }

    /// Sets the copy targets. `holders` are the other holders, the home node first unless this is
    /// the home node. `has_local_work` says that this node still generates slots; it then copies to
    /// the home node in any case, since no other node has these results.
    pub(crate) fn set_targets(
        &mut self,
        holders: Vec<NodeName>,
        results: &[u32],
        is_home: bool,
        has_local_work: bool,
    ) {
        let targets: Vec<NodeName> = if is_home {
            holders
        } else {
            let home = holders.into_iter().take(1);
            home.filter(|home| has_local_work || !self.source_is_complete(home))
                .collect()
        };
        self.targets.retain(|node, _| targets.contains(node));
        for node in targets {
            self.targets.entry(node).or_insert_with(|| CopyTarget {
                unacknowledged: results.iter().copied().collect(),
                ..CopyTarget::default()
            });
        }
    }

    /// Whether this node received the step from `node` and has no result left to copy to it.
    fn source_is_complete(&self, node: &NodeName) -> bool {
        let target = self.targets.get(node);
        let is_up_to_date = target.is_none_or(|target| target.unacknowledged.is_empty());
        self.source.as_ref() == Some(node) && is_up_to_date
    }

    /// Nodes to which the step is copied.
    pub(crate) fn targets(&self) -> Vec<NodeName> {
        self.targets.keys().cloned().collect()
    }

    /// Whether at least one target has acknowledged the specification, or there is no target.
    pub(crate) fn is_spec_safe(&self) -> bool {
        self.targets.is_empty() || self.targets.values().any(|target| target.spec_copied)
    }

    /// Whether every target has acknowledged the specification and all results.
    pub(crate) fn is_complete(&self) -> bool {
        let complete = |target: &CopyTarget| target.spec_copied && target.unacknowledged.is_empty();
        self.targets.values().all(complete)
    }

    /// Adds the results of finished slots, which are copied to all targets except `from`.
    pub(crate) fn add_results(&mut self, slots: &[u32], from: Option<&NodeName>) {
        for (node, target) in &mut self.targets {
            if Some(node) != from {
                target.unacknowledged.extend(slots);
                target.results_sent_at = None;
            }
        }
    }

    /// Makes the next tick send the specification again, since the slots in progress changed.
    pub(crate) fn mark_spec_changed(&mut self) {
        for target in self.targets.values_mut() {
            target.spec_copied = false;
            target.spec_sent_at = None;
        }
    }

    /// Records that a target acknowledged the specification.
    pub(crate) fn confirm_spec(&mut self, node: &NodeName) {
        if let Some(target) = self.targets.get_mut(node) {
            target.spec_copied = true;
        }
    }

    /// Records that a target acknowledged results.
    pub(crate) fn confirm_results(&mut self, node: &NodeName, slots: &[u32]) {
        if let Some(target) = self.targets.get_mut(node) {
            for slot in slots {
                target.unacknowledged.remove(slot);
            }
        }
    }

    /// Sends unacknowledged data that is due to the targets. `generations` are those in progress at
    /// this node, by slot.
    pub(crate) fn tick(
        &mut self,
        step: &Step,
        generations: &BTreeMap<u32, u64>,
        context: &mut Context<'_>,
    ) {
        let now = context.now;
        let is_due = |sent_at: Option<Timestamp>| {
            sent_at.is_none_or(|sent_at| now.since(sent_at) >= COPY_RESEND_PERIOD)
        };
        for (node, target) in &mut self.targets {
            if !target.spec_copied && is_due(target.spec_sent_at) {
                target.spec_sent_at = Some(now);
                let message = StepMessage::CopySpec {
                    spec: Arc::clone(step.spec()),
                    under_way: generations.keys().copied().collect(),
                };
                context.send(node, PeerMessage::Step(message));
            }
            if !target.unacknowledged.is_empty() && is_due(target.results_sent_at) {
                target.results_sent_at = Some(now);
                target.send_results(node, step, context);
            }
        }
    }
}

impl CopyTarget {
    fn send_results(&mut self, node: &NodeName, step: &Step, context: &mut Context<'_>) {
        let is_done = |slot: &u32| matches!(step.slot(*slot), Some(SlotState::Done(_)));
        self.unacknowledged.retain(is_done);
        let slots: Vec<u32> = self.unacknowledged.iter().copied().collect();
        for batch in slots.chunks(MAX_SAMPLES_PER_COPY) {
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
