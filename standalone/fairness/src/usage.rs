//! Cost served to each group, and its deviation from the group's share.

use brasspond_types::GroupName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Usage of one group at one node or at all nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupUsage {
    /// The group.
    pub group: GroupName,
    /// Cost in token-equivalents that was served to the group since the node started.
    pub served: f64,
    /// Whether requests were waiting at the time of the report.
    pub waiting: bool,
}

/// Table of the cost served to each group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UsageTable {
    served: BTreeMap<GroupName, f64>,
}

impl UsageTable {
    /// Adds served cost.
    pub fn add(&mut self, group: &GroupName, cost: f64) {
        *self.served.entry(group.clone()).or_default() += cost;
    }

    /// Cost served to a group.
    pub(crate) fn served(&self, group: &GroupName) -> f64 {
        self.served.get(group).copied().unwrap_or_default()
    }

    /// All groups with their served cost.
    pub fn iter(&self) -> impl Iterator<Item = (&GroupName, f64)> {
        self.served.iter().map(|(group, served)| (group, *served))
    }

    /// Cost served to each group in `weights` above (positive) or below (negative)
    /// its share. The shares divide the total cost served to these groups.
    pub fn excess(&self, weights: &BTreeMap<GroupName, f64>) -> BTreeMap<GroupName, f64> {
        let total_weight: f64 = weights.values().sum();
        let total: f64 = weights.keys().map(|group| self.served(group)).sum();
        if total_weight <= 0.0 {
            return BTreeMap::new();
        }
        let excess = weights.iter().map(|(group, weight)| {
            let share = total * weight / total_weight;
            (group.clone(), self.served(group) - share)
        });
        excess.collect()
    }
}
