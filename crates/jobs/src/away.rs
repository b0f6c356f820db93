//! Texts of ended jobs that lie outside the table.
//!
//! A job is asked for long after its end, and its texts are nearly all of the table.
//! Once a job has ended, texts of its whole groups are needed for reads alone: no
//! later job brings their items again. The process that holds the table may write
//! them to its disk, and the table keeps where.

use crate::command::Outcome;
use crate::table::{Job, JobTable, Page};
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};

/// Where a text lies in the file of its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// First byte.
    pub offset: u64,
    /// Bytes.
    pub length: usize,
}

/// Texts of a job that lie in a file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Away {
    /// Number of the file.
    pub file: u64,
    /// Places by position.
    pub places: BTreeMap<u64, Place>,
}

impl Job {
    /// Groups of which an item is not listed: a later job may bring them again.
    fn open_groups(&self) -> BTreeSet<&str> {
        let listed = self.items.iter().zip(&self.listed);
        let open = listed.filter(|(_, listed)| !**listed);
        open.map(|(item, _)| item.group.as_str()).collect()
    }
}

impl JobTable {
    /// Positions and texts of an ended job that are needed for reads alone; none
    /// where some lie outside already.
    pub fn spare_texts(&self, id: &str) -> Vec<(u64, Bytes)> {
        let Some(job) = self.job(id).filter(|job| job.ended && job.away.is_none()) else {
            return Vec::new();
        };
        let open = job.open_groups();
        let results = (0..).zip(&job.results);
        let spare = results.filter_map(|(position, (item, outcome))| match outcome {
            Outcome::Completed { text, .. } => {
                let group = job.items[*item as usize].group.as_str();
                (!text.is_empty() && !open.contains(group)).then(|| (position, text.clone()))
            }
            Outcome::Terminated => None,
        });
        spare.collect()
    }

    /// Texts of a job lie in a file now, one after another in the order of `texts`.
    pub fn put_away(&mut self, id: &str, file: u64, texts: &[(u64, Bytes)]) {
        let Some(job) = self.job_mut(id) else {
            return;
        };
        let mut away = Away {
            file,
            places: BTreeMap::new(),
        };
        let mut offset = 0;
        for (position, text) in texts {
            let length = text.len();
            away.places.insert(*position, Place { offset, length });
            offset += length as u64;
            job.set_text(*position, Bytes::new());
        }
        job.away = Some(away);
    }

    /// A text is back in the table.
    pub fn restore(&mut self, id: &str, position: u64, text: Bytes) {
        let Some(job) = self.job_mut(id) else {
            return;
        };
        job.set_text(position, text);
        if let Some(away) = &mut job.away {
            away.places.remove(&position);
        }
    }
}

impl Job {
    fn set_text(&mut self, position: u64, new: Bytes) {
        let position = usize::try_from(position).ok();
        let result = position.and_then(|position| self.results.get_mut(position));
        if let Some((_, Outcome::Completed { text, .. })) = result {
            *text = new;
        }
    }
}

impl Page {
    /// The part of a file that holds the texts of this page, whose first result
    /// stands at `since`; none where all are here.
    pub fn span(&self, since: u64, away: &Away) -> Option<Place> {
        let mut places = away.places.range(since..self.next).map(|(_, place)| place);
        let first = places.next()?;
        let last = places.next_back().unwrap_or(first);
        let end = last.offset + last.length as u64;
        Some(Place {
            offset: first.offset,
            length: usize::try_from(end - first.offset).ok()?,
        })
    }

    /// Fills in the texts out of the bytes of that part.
    pub fn fill(&mut self, since: u64, away: &Away, span: Place, bytes: &Bytes) {
        for (position, result) in (since..).zip(&mut self.results) {
            if let (Some(place), Outcome::Completed { text, .. }) =
                (away.places.get(&position), &mut result.outcome)
            {
                let begin = (place.offset - span.offset) as usize;
                *text = bytes.slice(begin..begin + place.length);
            }
        }
    }
}
