//! `brasspond fuzz`: runs the simulation with many seeds and checks the guarantees in each run.

use crate::exit::Outcome;
use crate::options::FuzzOptions;
use brasspond_simulation::{FaultKind, FuzzFailure, FuzzOptions as Options, run_seed, shrink};
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Interval between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which to check whether all seeds have run.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of failures after which no further seeds are run, because shrinking each failure takes
/// time.
const MAX_FAILURES: usize = 3;
/// Maximum number of violations printed per failure. Later violations mostly follow from the first.
const MAX_VIOLATIONS_SHOWN: usize = 3;

/// Runs all seeds. Succeeds only if none of them failed.
pub(crate) fn run(options: &FuzzOptions) -> Outcome {
    let kinds = match fault_kinds(&options.fault) {
        Ok(kinds) => kinds,
        Err(problem) => {
            eprintln!("{problem}");
            return Outcome::Usage;
        }
    };
    let fuzz = Options {
        steps: options.steps,
        pairs: options.pairs,
        kinds,
        ..Options::default()
    };
    let started = Instant::now();
    let campaign = Campaign::new(options.seeds.0.clone(), fuzz);
    std::thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(|| campaign.run_seeds());
        }
        campaign.print_progress();
    });
    let seeds = campaign.done.load(Ordering::Relaxed);
    let rate = seeds as f64 / started.elapsed().as_secs_f64();
    let failures = campaign.into_failures();
    for failure in &failures {
        print_failure(failure);
    }
    println!(
        "{seeds} seeds, {rate:.1} a second, {} failed",
        failures.len()
    );
    if failures.is_empty() {
        Outcome::Success
    } else {
        Outcome::Failed
    }
}

/// Finds kinds of faults by name. Returns all kinds if no names are given.
fn fault_kinds(names: &[String]) -> Result<Vec<FaultKind>, String> {
    if names.is_empty() {
        return Ok(FaultKind::ALL.to_vec());
    }
    let find = |name: &String| {
        FaultKind::find(name).ok_or_else(|| {
            let allowed: Vec<String> = FaultKind::ALL.iter().map(ToString::to_string).collect();
            format!("--fault: no kind {name}; allowed: {}", allowed.join(", "))
        })
    };
    names.iter().map(find).collect()
}

/// Seeds that several threads run, and the failures found so far.
struct Campaign {
    seeds: Range<u64>,
    options: Options,
    next: AtomicU64,
    done: AtomicU64,
    failures: Mutex<Vec<FuzzFailure>>,
}

impl Campaign {
    fn new(seeds: Range<u64>, options: Options) -> Self {
        Self {
            next: AtomicU64::new(seeds.start),
            seeds,
            options,
            done: AtomicU64::new(0),
            failures: Mutex::default(),
        }
    }

    /// Runs seeds until none are left or [`MAX_FAILURES`] have failed.
    fn run_seeds(&self) {
        loop {
            let seed = self.next.fetch_add(1, Ordering::Relaxed);
            if seed >= self.seeds.end || self.failure_count() >= MAX_FAILURES {
                return;
            }
            if let Err(failure) = run_seed(seed, &self.options) {
                let failure = shrink(&failure, &self.options);
                self.lock_failures().push(failure);
            }
            self.done.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Prints the number of completed seeds at intervals until all seeds have run or too many have
    /// failed.
    fn print_progress(&self) {
        let all = self.seeds.end - self.seeds.start;
        let mut shown = Instant::now();
        while self.done.load(Ordering::Relaxed) < all && self.failure_count() < MAX_FAILURES {
            std::thread::sleep(POLL_INTERVAL);
            if shown.elapsed() >= PROGRESS_INTERVAL {
                shown = Instant::now();
                println!("{} seeds", self.done.load(Ordering::Relaxed));
            }
        }
    }

    fn failure_count(&self) -> usize {
        self.lock_failures().len()
    }

    fn lock_failures(&self) -> MutexGuard<'_, Vec<FuzzFailure>> {
        self.failures.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn into_failures(self) -> Vec<FuzzFailure> {
        self.failures
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn print_failure(failure: &FuzzFailure) {
    let summary = if failure.out_of_time && failure.violations.is_empty() {
        "ran out of time; no guarantee was broken; its faults"
    } else {
        "failed; faults left after shrinking"
    };
    println!("seed {} {summary}:", failure.seed);
    for fault in &failure.faults {
        println!(
            "  {} at {:.2} s for {:.2} s, target {}",
            fault.kind,
            fault.at.as_secs_f64(),
            fault.lasts.as_secs_f64(),
            fault.target
        );
    }
    for violation in failure.violations.iter().take(MAX_VIOLATIONS_SHOWN) {
        let at = violation.at.as_secs_f64();
        println!(
            "  broken at {at:.2} s: {}: {}",
            violation.guarantee, violation.detail
        );
    }
}
