//! `brasspond fuzz`: many seeds of the simulation against the oracle.

use crate::exit::Outcome;
use crate::options::FuzzOptions;
use brasspond_simulation::{FaultKind, FuzzFailure, FuzzOptions as Options, run_seed, shrink};
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time between two lines of progress.
const PROGRESS: Duration = Duration::from_secs(5);
/// Time between two checks whether the run has ended.
const PROGRESS_CHECK: Duration = Duration::from_millis(20);
/// Failures after which the run ends: more seldom say more than three, and each is shrunk.
const MOST_FAILURES: usize = 3;
/// Violations shown of one failure: later ones mostly follow from the first.
const VIOLATIONS_SHOWN: usize = 3;

/// Runs all seeds; fine only if no guarantee was broken.
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
    let begun = Instant::now();
    let campaign = Campaign::new(options.seeds.0.clone(), fuzz);
    std::thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(|| campaign.play());
        }
        campaign.print_progress();
    });
    let seeds = campaign.done.load(Ordering::Relaxed);
    let rate = seeds as f64 / begun.elapsed().as_secs_f64();
    let failures = campaign.into_failures();
    for failure in &failures {
        show(failure);
    }
    println!(
        "{seeds} seeds, {rate:.1} a second, {} failed",
        failures.len()
    );
    if failures.is_empty() {
        Outcome::Fine
    } else {
        Outcome::Failed
    }
}

/// The kinds of faults named; all where none is.
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

/// Seeds that some threads play.
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

    /// Plays seeds until none is left or enough failed.
    fn play(&self) {
        loop {
            let seed = self.next.fetch_add(1, Ordering::Relaxed);
            if seed >= self.seeds.end || self.failed() >= MOST_FAILURES {
                return;
            }
            if let Err(failure) = run_seed(seed, &self.options) {
                let failure = shrink(&failure, &self.options);
                self.lock_failures().push(failure);
            }
            self.done.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Prints the number of seeds played now and then, until the end.
    fn print_progress(&self) {
        let all = self.seeds.end - self.seeds.start;
        let mut shown = Instant::now();
        while self.done.load(Ordering::Relaxed) < all && self.failed() < MOST_FAILURES {
            std::thread::sleep(PROGRESS_CHECK);
            if shown.elapsed() >= PROGRESS {
                shown = Instant::now();
                println!("{} seeds", self.done.load(Ordering::Relaxed));
            }
        }
    }

    fn failed(&self) -> usize {
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

fn show(failure: &FuzzFailure) {
    let what = if failure.out_of_time && failure.violations.is_empty() {
        "ran out of time; no guarantee was broken; its faults"
    } else {
        "failed; faults left after shrinking"
    };
    println!("seed {} {what}:", failure.seed);
    for fault in &failure.faults {
        println!(
            "  {} at {:.2} s for {:.2} s, target {}",
            fault.kind,
            fault.at.as_secs_f64(),
            fault.lasts.as_secs_f64(),
            fault.target
        );
    }
    for violation in failure.violations.iter().take(VIOLATIONS_SHOWN) {
        let at = violation.at.as_secs_f64();
        println!(
            "  broken at {at:.2} s: {}: {}",
            violation.guarantee, violation.detail
        );
    }
}
