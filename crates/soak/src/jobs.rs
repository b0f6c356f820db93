//! What jobs of a run are like, and when their callers end them: drawn from the run's seed.

use brasspond_platform_standin::caller::JobItem;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Items of a job.
pub const ITEMS: usize = 8;
/// Random stream of jobs.
const JOB_STREAM: u64 = 2;
/// Part of the jobs that are ended before all results are there.
const ENDED_SHARE: f64 = 0.5;
/// Times of an event of a job's texts, in ms: of 30 events, texts of 0.5, 2, 5.4 and 7.2 s.
const EVENT_TIMES: [u64; 4] = [15, 70, 180, 240];
/// Part of the items whose texts have another length than most of their job.
const OTHER_SHARE: f64 = 0.25;
/// Time after its submission at which a job is ended while texts are made, in ms.
const MID_TEXT: std::ops::Range<u64> = 200..4_500;
/// Items that are listed when a job is ended late.
const LISTED_AT_END: usize = ITEMS - 2;
/// Time after which an end is sent again, in ms.
const AGAIN_AFTER: std::ops::Range<u64> = 50..3_000;

/// When a caller ends its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndWhen {
    /// As soon as it was accepted.
    AtOnce,
    /// So many ms after it was accepted.
    After(u64),
    /// Once so many items are listed.
    Listed(usize),
}

/// How a caller ends its job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndPlan {
    /// When.
    pub when: EndWhen,
    /// Where it asks first, as a turn among all ways to edges.
    pub turn: usize,
    /// When it asks again after the end was acknowledged, in ms, each time elsewhere.
    pub again: Vec<u64>,
}

/// A job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobPlan {
    /// Its id.
    pub id: String,
    /// Items.
    pub items: Vec<JobItem>,
    /// How it is ended; none: its caller waits for all results.
    pub end: Option<EndPlan>,
}

impl JobPlan {
    /// The job of a step.
    pub fn draw(seed: u64, step: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(JOB_STREAM);
        // A generator of its own for each step, however many numbers an earlier step drew.
        let mut random = ChaCha8Rng::seed_from_u64(random.random::<u64>().wrapping_add(step));
        let id = format!("job-{step}");
        let usual_ms = draw_event_ms(&mut random);
        let items = (0..ITEMS).map(|number| JobItem {
            id: format!("{id}-item-{number}"),
            event_ms: match random.random_bool(OTHER_SHARE) {
                true => draw_event_ms(&mut random),
                false => usual_ms,
            },
            score: format!("{id}-score-{number}"),
        });
        let items = items.collect();
        let end = random.random_bool(ENDED_SHARE);
        let end = end.then(|| EndPlan::draw(&mut random));
        Self { id, items, end }
    }
}

impl EndPlan {
    fn draw(random: &mut ChaCha8Rng) -> Self {
        let when = match random.random_range(0..5) {
            0 => EndWhen::AtOnce,
            1 => EndWhen::Listed(LISTED_AT_END),
            _ => EndWhen::After(random.random_range(MID_TEXT)),
        };
        let times = random.random_range(0..3);
        let again = (0..times).map(|_| random.random_range(AGAIN_AFTER));
        let again = again.collect();
        Self {
            when,
            turn: random.random_range(0..usize::from(u16::MAX)),
            again,
        }
    }
}

fn draw_event_ms(random: &mut ChaCha8Rng) -> u64 {
    EVENT_TIMES[random.random_range(0..EVENT_TIMES.len())]
}
