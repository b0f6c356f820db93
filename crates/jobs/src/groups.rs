//! Which groups of a job are whole, and whether its trainer has the groups that it waits for.

use crate::command::Submission;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// How far a job is for its trainer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepState {
    /// The job has no trainer.
    NoTrainer,
    /// The trainer waits for more groups than are whole.
    Awaited,
    /// The trainer has the groups that it waits for.
    Ready,
}

/// Groups of a job, counted as its items are listed.
///
/// A trainer waits for a number of whole groups, whichever they are, and for each group that an
/// earlier job left unfinished.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Groups {
    /// Items that are not listed, by group; groups that are not whole only.
    open: BTreeMap<String, u32>,
    /// Number of whole groups.
    whole: u64,
    /// Groups of an earlier job that are not whole.
    carried: BTreeSet<String>,
    /// Whole groups that the trainer waits for; 0 without a trainer.
    desired: u64,
}

impl Groups {
    /// Groups of a job of which nothing is listed. `known`: ids of items of earlier jobs of its
    /// model.
    pub(crate) fn new(submission: &Submission, known: &HashSet<&str>) -> Self {
        let mut groups = Self {
            desired: submission.desired,
            ..Self::default()
        };
        for item in &submission.items {
            *groups.open.entry(item.group.clone()).or_default() += 1;
            if known.contains(item.id.as_str()) {
                groups.carried.insert(item.group.clone());
            }
        }
        groups
    }

    /// An item of a group is listed.
    pub(crate) fn listed(&mut self, group: &str) {
        let Some(left) = self.open.get_mut(group) else {
            return;
        };
        *left -= 1;
        if *left == 0 {
            self.open.remove(group);
            self.carried.remove(group);
            self.whole += 1;
        }
    }

    /// How far the step is.
    pub fn step(&self) -> StepState {
        if self.desired == 0 {
            StepState::NoTrainer
        } else if self.whole < self.desired || !self.carried.is_empty() {
            StepState::Awaited
        } else {
            StepState::Ready
        }
    }
}
