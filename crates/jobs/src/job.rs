//! A job with its items, and the pages in which its results are read.

use crate::command::{Item, Outcome, Part};
use crate::groups::Groups;
use crate::text_file::TextFileIndex;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A job and its results so far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Host of the call that submitted the job.
    pub host: String,
    /// Path of the call that submitted the job.
    pub path: String,
    /// Name of the model being trained; empty if no trainer uses the job.
    pub model: String,
    /// Number of the training step that the job is for.
    pub step: u64,
    /// Oldest version of the weights that may produce a token.
    pub min_version: u64,
    /// Number of complete groups that the trainer waits for; 0 if no trainer uses the job.
    pub desired: u64,
    /// Items in submission order. The body, headers and scoring call of an item are cleared once
    /// the item is listed or the job has ended.
    pub items: Vec<Item>,
    /// Index in `items` and outcome of each listed item, in the order of listing. The position of a
    /// result is its index in this list.
    pub results: Vec<(u32, Outcome)>,
    /// For each item, whether it is listed, that is, has an entry in `results`.
    pub listed: Vec<bool>,
    /// Parts of incomplete texts, by index of the item. An ended job keeps its parts and drafts,
    /// because a later job may contain an item with the same id.
    pub parts: BTreeMap<u32, Vec<Part>>,
    /// Complete texts that wait for their scores, and the versions of the weights that produced
    /// each, by index of the item.
    pub drafts: BTreeMap<u32, (Bytes, Vec<u64>)>,
    /// Whether the caller ended the job.
    pub ended: bool,
    /// Tenant that submitted the job; `None` if callers need no API key.
    #[serde(default)]
    pub tenant: Option<Arc<str>>,
    /// Number of complete groups, and which groups are incomplete.
    #[serde(default)]
    pub groups: Groups,
    /// Locations of the texts that were moved to a file. Snapshots do not contain this field.
    #[serde(skip)]
    pub text_file: Option<TextFileIndex>,
}

impl Job {
    /// Whether callers of this tenant may read and end the job. All callers may if the job was
    /// submitted without a tenant.
    pub fn is_open_to(&self, tenant: Option<&str>) -> bool {
        self.tenant.is_none() || self.tenant.as_deref() == tenant
    }

    /// Whether no item remains to be run: all are listed, or the caller ended the job.
    pub fn is_finished(&self) -> bool {
        self.ended || self.results.len() == self.items.len()
    }

    /// Total size of the texts of its results that are in memory, in bytes.
    pub fn text_bytes(&self) -> usize {
        let outcomes = self.results.iter().map(|(_, outcome)| outcome);
        outcomes.map(Outcome::text_length).sum()
    }

    /// Returns the complete text of an item, scored or not, and the versions of the weights that
    /// produced it. Returns `None` if the item has no complete text, or if the text was moved to
    /// disk, which happens only to texts that no later job needs.
    pub fn text(&self, item: u32) -> Option<(&Bytes, &[u64])> {
        if let Some((text, versions)) = self.drafts.get(&item) {
            return Some((text, versions));
        }
        let mut results = (0..).zip(&self.results);
        let (position, (_, outcome)) = results.find(|(_, (listed, _))| *listed == item)?;
        let is_on_disk = |text_file: &TextFileIndex| text_file.spans.contains_key(&position);
        match outcome {
            Outcome::Completed { text, versions, .. }
                if !self.text_file.as_ref().is_some_and(is_on_disk) =>
            {
                Some((text, versions))
            }
            _ => None,
        }
    }
}

/// Result of an item, in a [`Page`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Id of the item.
    pub id: String,
    /// How the item ended.
    pub outcome: Outcome,
}

/// Consecutive results of a job, in ascending order of position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Number of items of the job.
    pub total: u64,
    /// Position after the last result of this page.
    pub next: u64,
    /// Results from the requested position on.
    pub results: Vec<ItemResult>,
}
