//! Jobs of a run, drawn from the run's seed, and plans of how their caller ends some of them.

use crate::schedule::{COOLDOWN_MS, Schedule};
use brasspond_platform_standin::EVENTS;
use brasspond_platform_standin::caller::JobItem;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Number of items in a job.
pub const ITEMS_PER_JOB: usize = 8;
/// Number of items in a large job.
const LARGE_JOB_ITEMS: usize = 64;
/// Size of an event of a large job's texts, in bytes. A text has 30 events, and so 60 KB.
const LARGE_EVENT_BYTES: usize = 2_000;
/// Time between two events of the item of a small job, in ms.
const SMALL_EVENT_MS: u64 = 1;
/// Random stream of jobs.
const JOB_STREAM: u64 = 2;
/// Probability that the caller ends a job instead of waiting for all results.
const END_PROBABILITY: f64 = 0.5;
/// Possible times between two events of a text, in ms. A text has 30 events, and so takes about
/// 0.5, 2, 5.4 or 7.2 s.
const EVENT_MS: [u64; 4] = [15, 70, 180, 240];
/// Probability that an item has an event time of its own instead of that of its job.
const OWN_EVENT_TIME_PROBABILITY: f64 = 0.25;
/// Time from the acceptance of a job until its caller ends it, in ms, where the end is due while
/// texts are being generated.
const MID_TEXT_MS: std::ops::Range<u64> = 200..4_500;
/// Number of listed items at which the caller ends a job that is almost complete.
const LATE_END_ITEMS: usize = ITEMS_PER_JOB - 2;
/// Time after which the caller repeats an acknowledged request to end a job, in ms.
const REPEAT_MS: std::ops::Range<u64> = 50..3_000;

/// When a caller ends its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndWhen {
    /// As soon as the job is accepted.
    Immediately,
    /// This many ms after the job is accepted.
    After(u64),
    /// Once this many items are listed.
    Listed(usize),
}

/// How a caller ends its job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndPlan {
    /// When the caller first requests the end.
    pub when: EndWhen,
    /// Index of the edge address to which the first request is sent, modulo the number of
    /// addresses.
    pub turn: usize,
    /// Delays after which an acknowledged request is repeated at the next address, in ms.
    pub repeats: Vec<u64>,
}

/// A job to be submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobPlan {
    /// Id of the job.
    pub id: String,
    /// Items of the job.
    pub items: Vec<JobItem>,
    /// How the caller ends the job. If `None`, the caller waits for all results.
    pub end: Option<EndPlan>,
}

impl JobPlan {
    /// Returns a small job, whose only item has the id of the job, so that its runs tell whether a
    /// refused job ran.
    pub fn single(number: u64) -> Self {
        let id = format!("small-job-{number}");
        let item = JobItem {
            id: id.clone(),
            event_ms: SMALL_EVENT_MS,
            event_bytes: 0,
            score: format!("{id}-score"),
        };
        Self {
            id,
            items: vec![item],
            end: None,
        }
    }

    /// Draws the job with the number `step` of a run.
    pub fn draw(seed: u64, step: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(JOB_STREAM);
        // Each step has its own generator, so that a job does not depend on the draws of earlier
        // jobs.
        let mut random = ChaCha8Rng::seed_from_u64(random.random::<u64>().wrapping_add(step));
        let id = format!("job-{step}");
        let job_event_ms = draw_event_ms(&mut random);
        let items = (0..ITEMS_PER_JOB).map(|number| JobItem {
            id: format!("{id}-item-{number}"),
            event_ms: match random.random_bool(OWN_EVENT_TIME_PROBABILITY) {
                true => draw_event_ms(&mut random),
                false => job_event_ms,
            },
            event_bytes: 0,
            score: format!("{id}-score-{number}"),
        });
        let items = items.collect();
        let end = random.random_bool(END_PROBABILITY);
        let end = end.then(|| EndPlan::draw(&mut random));
        Self { id, items, end }
    }
}

impl EndPlan {
    fn draw(random: &mut ChaCha8Rng) -> Self {
        let when = match random.random_range(0..5) {
            0 => EndWhen::Immediately,
            1 => EndWhen::Listed(LATE_END_ITEMS),
            _ => EndWhen::After(random.random_range(MID_TEXT_MS)),
        };
        let count = random.random_range(0..3);
        let repeats = (0..count).map(|_| random.random_range(REPEAT_MS));
        let repeats = repeats.collect();
        Self {
            when,
            turn: random.random_range(0..usize::from(u16::MAX)),
            repeats,
        }
    }
}

/// Jobs with large texts, submitted evenly over the disturbed part of a run.
#[derive(Clone, Copy, Debug)]
pub struct LargeJobs {
    /// Number of jobs.
    pub count: u64,
    /// Time between the submissions of two jobs.
    pub interval: Duration,
}

impl LargeJobs {
    /// Returns the large jobs of a schedule, or `None` if it has none.
    pub fn of(schedule: &Schedule) -> Option<Self> {
        let job_bytes = LARGE_JOB_ITEMS as u64 * LARGE_EVENT_BYTES as u64 * EVENTS;
        let count = (schedule.job_mb * 1_000_000).div_ceil(job_bytes);
        let disturbed_ms = schedule.length.saturating_sub(COOLDOWN_MS);
        (count > 0).then(|| Self {
            count,
            interval: Duration::from_millis(disturbed_ms / (count + 1)),
        })
    }

    /// Returns the plan of a large job, which no caller ends.
    pub fn plan(&self, step: u64) -> JobPlan {
        let id = format!("large-job-{step}");
        let items = (0..LARGE_JOB_ITEMS).map(|number| JobItem {
            id: format!("{id}-item-{number}"),
            event_ms: EVENT_MS[0],
            event_bytes: LARGE_EVENT_BYTES,
            score: format!("{id}-score-{number}"),
        });
        JobPlan {
            items: items.collect(),
            id,
            end: None,
        }
    }
}

fn draw_event_ms(random: &mut ChaCha8Rng) -> u64 {
    EVENT_MS[random.random_range(0..EVENT_MS.len())]
}
