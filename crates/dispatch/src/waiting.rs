//! The waiting items of a job, by what they require of a replica.
//!
//! All items of a class have the same constraints, so if the first one cannot be placed, none of
//! its class can. The items of other classes are then tried without looking at the rest of it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// What the items of one job may differ in, as far as placement is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PlacementClass {
    /// Index of the target in the job's route.
    pub target: usize,
    /// The only version that may continue the text; `None` if any allowed version may.
    pub exact_version: Option<u64>,
}

/// Position in the queue of a class: items with the most expected tokens first, then by index.
type Position = (Reverse<u64>, u32);

/// Waiting items of a job, those with the most expected tokens first.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingItems {
    classes: BTreeMap<PlacementClass, BTreeSet<Position>>,
}

impl WaitingItems {
    /// Adds an item.
    pub fn insert(&mut self, class: PlacementClass, expected_tokens: u64, item: u32) {
        let position = (Reverse(expected_tokens), item);
        self.classes.entry(class).or_default().insert(position);
    }

    /// Removes an item, whichever class it is in.
    pub fn remove(&mut self, expected_tokens: u64, item: u32) {
        let position = (Reverse(expected_tokens), item);
        self.classes.retain(|_, queue| {
            queue.remove(&position);
            !queue.is_empty()
        });
    }

    /// Returns the first item of all classes that are not in `refused`.
    pub fn first_outside(
        &self,
        refused: &BTreeSet<PlacementClass>,
    ) -> Option<(PlacementClass, u32)> {
        let heads = self.classes.iter().filter_map(|(class, queue)| {
            let first = queue.first().filter(|_| !refused.contains(class))?;
            Some((first, class))
        });
        heads.min().map(|((_, item), class)| (*class, *item))
    }

    /// All items, in no particular order.
    pub fn items(&self) -> impl Iterator<Item = u32> {
        self.classes.values().flatten().map(|(_, item)| *item)
    }

    /// Classes with their number of items.
    pub fn counts(&self) -> impl Iterator<Item = (PlacementClass, usize)> {
        self.classes
            .iter()
            .map(|(class, queue)| (*class, queue.len()))
    }

    /// Number of items.
    pub fn len(&self) -> usize {
        self.classes.values().map(BTreeSet::len).sum()
    }

    /// Whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.classes.is_empty()
    }
}
