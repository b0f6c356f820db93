//! Finds complete and partial texts that earlier jobs generated for the same items.
//!
//! Keeps events of ended jobs in memory, and an index of the items with texts in the job table.

use brasspond_cluster_protocol::StreamEvent;
use brasspond_jobs::{Draft, Job, JobTable, Part};
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeSet, HashMap};

/// Maximum number of partial texts in memory. If it is reached, all are dropped, and items continue
/// after the parts in the log.
const MAX_PARTIAL_TEXTS: usize = 2_000;

/// Index of the texts of earlier jobs.
#[derive(Debug, Default)]
pub(crate) struct EarlierTexts {
    /// Events of items of ended jobs, by item id.
    partial_texts: HashMap<String, Vec<StreamEvent>>,
    /// Job and index of the items with a complete text in the table, by item id.
    complete_items: HashMap<String, (String, u32)>,
    /// Job and index of the items with parts of a text in the table, by item id.
    partial_items: HashMap<String, (String, u32)>,
}

impl EarlierTexts {
    /// Records that the complete text of an item is in the log or being appended to it.
    pub fn record(&mut self, job: &str, item: u32, item_id: &str) {
        let location = (job.to_string(), item);
        self.complete_items.insert(item_id.to_string(), location);
    }

    /// Keeps the events of an ended job's item for a later job with the same item.
    pub fn keep_partial(&mut self, item_id: String, events: Vec<StreamEvent>) {
        if events.is_empty() {
            return;
        }
        if self.partial_texts.len() >= MAX_PARTIAL_TEXTS {
            self.partial_texts.clear();
        }
        self.partial_texts.insert(item_id, events);
    }

    /// Adds the complete and partial texts of a job to the index.
    pub fn index(&mut self, id: &str, job: &Job) {
        let listed = job.results.iter().map(|(item, _)| *item);
        for item in listed.chain(job.drafts.keys().copied()) {
            if job.text(item).is_some() {
                self.record(id, item, &job.items[item as usize].id);
            }
        }
        for item in job.parts.keys() {
            let location = (id.to_string(), *item);
            let item_id = job.items[*item as usize].id.clone();
            self.partial_items.insert(item_id, location);
        }
    }

    /// Removes the texts of a job that is no longer in the table from the index.
    pub fn forget(&mut self, id: &str) {
        self.complete_items.retain(|_, (job, _)| job != id);
        self.partial_items.retain(|_, (job, _)| job != id);
    }

    /// Returns the complete text of an item from an earlier job, if its model and versions are
    /// allowed for this job. Its score is not reused.
    pub fn reuse(
        &self,
        id: &str,
        item: u32,
        job: &Job,
        is_single_version: bool,
        table: &JobTable,
    ) -> Option<Draft> {
        let (earlier, index) = self.complete_items.get(&job.items[item as usize].id)?;
        let earlier = table.job(earlier)?;
        let (text, versions) = earlier.text(*index)?;
        let fits = versions.iter().all(|version| *version >= job.min_version);
        let fits = fits && !(is_single_version && versions.len() > 1);
        (fits && earlier.model == job.model).then(|| Draft {
            job: id.to_string(),
            item,
            after: 0,
            text: text.clone(),
            versions: versions.to_vec(),
        })
    }

    /// Returns the events that an earlier job generated for an item, if their versions are allowed.
    /// They come from memory, or from the table if they are not in memory.
    pub fn partial(
        &mut self,
        item_id: &str,
        min_version: u64,
        table: &JobTable,
    ) -> Vec<StreamEvent> {
        let events = match self.partial_texts.remove(item_id) {
            Some(events) => events,
            // Without parts in the table, the item starts from the first event.
            None => self.partial_events(item_id, table).unwrap_or_default(),
        };
        let fits = events.iter().all(|event| event.version >= min_version);
        if fits { events } else { Vec::new() }
    }

    fn partial_events(&self, item_id: &str, table: &JobTable) -> Option<Vec<StreamEvent>> {
        let (job, item) = self.partial_items.get(item_id)?;
        let parts = table.job(job)?.parts.get(item)?;
        Some(events_of(parts))
    }
}

/// Converts the parts of a text into events.
pub(crate) fn events_of(parts: &[Part]) -> Vec<StreamEvent> {
    let numbered = (1..).zip(parts);
    let events = numbered.map(|(id, part)| StreamEvent {
        id,
        data: part.data.clone(),
        version: part.version,
    });
    events.collect()
}

/// Returns the text of a complete stream after its first `persisted` events, with the versions that
/// generated it.
pub(crate) fn draft_of(job: &str, item: u32, events: &[StreamEvent], persisted: usize) -> Draft {
    let mut text = BytesMut::new();
    let mut versions = BTreeSet::new();
    // The last event is always included, so that the text is not empty.
    let persisted = persisted.min(events.len().saturating_sub(1));
    for (number, event) in events[persisted..].iter().enumerate() {
        if number > 0 {
            text.extend_from_slice(b"\n");
        }
        text.extend_from_slice(&event.data);
        versions.insert(event.version);
    }
    Draft {
        job: job.to_string(),
        item,
        after: persisted as u64,
        text: Bytes::from(text),
        versions: versions.into_iter().collect(),
    }
}
