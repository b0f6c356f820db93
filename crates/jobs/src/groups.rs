//! Tracks which groups of a job are complete, and whether its trainer has enough of them.

use crate::command::Submission;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// State of a job's training step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepState {
    /// No trainer waits for the job.
    NoTrainer,
    /// The trainer waits for groups that are incomplete.
    Incomplete,
    /// The trainer has all groups that it waits for.
    Ready,
}

/// Progress of a job's groups, updated as items are listed.
///
/// A group is complete once all its items are listed. A trainer waits for a number of complete
/// groups, no matter which ones. It also waits for every carried-over group, that is, every group
/// with an item whose id also occurs in a recent ended job of the same model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Groups {
    /// Number of unlisted items of each incomplete group.
    open: BTreeMap<String, u32>,
    /// Number of complete groups.
    whole: u64,
    /// Incomplete carried-over groups.
    carried: BTreeSet<String>,
    /// Number of complete groups that the trainer waits for; 0 if no trainer waits for the job.
    desired: u64,
}

impl Groups {
    /// Creates the groups of a new job. `ended_job_item_ids` contains the ids of the items in
    /// recent ended jobs of the same model; a group with any of these ids is carried over.
    pub(crate) fn new(submission: &Submission, ended_job_item_ids: &HashSet<&str>) -> Self {
        let mut groups = Self {
            desired: submission.desired,
            ..Self::default()
        };
        for item in &submission.items {
            *groups.open.entry(item.group.clone()).or_default() += 1;
            if ended_job_item_ids.contains(item.id.as_str()) {
                groups.carried.insert(item.group.clone());
            }
        }
        groups
    }

    /// Records that an item of a group is listed.
    pub(crate) fn record_listed(&mut self, group: &str) {
        let Some(unlisted) = self.open.get_mut(group) else {
            return;
        };
        *unlisted -= 1;
        if *unlisted == 0 {
            self.open.remove(group);
            self.carried.remove(group);
            self.whole += 1;
        }
    }

    /// Returns the state of the training step.
    pub fn step_state(&self) -> StepState {
        if self.desired == 0 {
            StepState::NoTrainer
        } else if self.whole < self.desired || !self.carried.is_empty() {
            StepState::Incomplete
        } else {
            StepState::Ready
        }
    }
}
