//! `soak`: injects faults drawn from seeds into real processes and checks the cluster's guarantees.
#![forbid(unsafe_code)]

use bpaf::Bpaf;
use brasspond_platform_standin::processes::Builds;
use brasspond_soak::checks::check;
use brasspond_soak::play::play;
use brasspond_soak::report::Report;
use brasspond_soak::schedule::{DEFAULT_STORAGE_MEMORY_MB, Schedule, ScheduleParams};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Smallest number of storage machines, with which a quorum survives the loss of one.
const MIN_STORAGE: u8 = 3;

/// Injects faults into the real program, which must lie beside this one, and checks what callers,
/// replicas and the store observe. Exits with 0 only if every check passed.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Length of a run, in seconds; the last 14 have no faults
    #[bpaf(fallback(60), display_fallback)]
    seconds: u64,
    /// First seed
    #[bpaf(fallback(1), display_fallback)]
    seed: u64,
    /// Number of seeds to play, one after the other
    #[bpaf(fallback(1), display_fallback)]
    seeds: u64,
    /// Number of edge machines, which serve callers
    #[bpaf(fallback(3), display_fallback)]
    edges: u8,
    /// Number of storage machines, three or more
    #[bpaf(fallback(3), display_fallback)]
    storage: u8,
    /// Memory limit of each storage process, in MB
    #[bpaf(argument("MB"), fallback(DEFAULT_STORAGE_MEMORY_MB), display_fallback)]
    storage_memory: u64,
    /// Also submit jobs with large texts, of this many MB in total
    #[bpaf(argument("MB"), fallback(0), display_fallback)]
    job_mb: u64,
    /// At the end, also kill all processes at once and lose the leader's disk
    power_loss: bool,
    /// At the end, also kill whichever process leads, again and again
    leader_kills: bool,
    /// Also suspend the leader for a moment again and again while callers submit jobs
    leader_freezes: bool,
    /// Also restart replicas under the ids that they had
    rebirths: bool,
    /// Also play callers that read slowly, bursts of callers and replicas whose speed changes
    uneven_load: bool,
    /// Output folder for reports, schedules and logs
    #[bpaf(argument("DIR"), fallback(PathBuf::from("out/soak")))]
    dir: PathBuf,
    /// Play the schedule in this file instead of drawn ones
    #[bpaf(argument("FILE"), optional)]
    replay: Option<PathBuf>,
    /// Also run this other build of the program, alternating between machines and between the
    /// starts of each machine
    #[bpaf(argument("FILE"), optional)]
    by_turns: Option<PathBuf>,
    /// Start each machine with this other build of the program, and use the build beside this
    /// program from the second start on
    #[bpaf(argument("FILE"), optional)]
    upgrade_from: Option<PathBuf>,
    /// Remove faults from a failing schedule for as long as it keeps failing
    shrink: bool,
}

impl Options {
    /// Returns the builds of the program that the processes run. `by_turns` takes precedence over
    /// `upgrade_from`.
    fn builds(&self) -> Builds {
        match (&self.by_turns, &self.upgrade_from) {
            (Some(other), _) => Builds::Alternating(other.clone()),
            (None, Some(other)) => Builds::UpgradeFrom(other.clone()),
            (None, None) => Builds::Own,
        }
    }

    /// Adds the load, the memory limit and the final faults that the options ask for.
    fn extend(&self, mut schedule: Schedule) -> Schedule {
        schedule.storage_memory_mb = self.storage_memory;
        schedule.add_large_jobs(self.job_mb);
        if self.leader_freezes {
            schedule.add_leader_freezes();
        }
        if self.power_loss {
            schedule.add_power_loss();
        }
        if self.leader_kills {
            schedule.add_leader_kills();
        }
        schedule
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = options().run();
    // An interrupt drops the run, which kills all processes that it started.
    let result = tokio::select! {
        result = run(&options) => result,
        () = interrupted() => Err(std::io::Error::other("interrupted")),
    };
    match result {
        Ok(0) => ExitCode::SUCCESS,
        Ok(failed) => {
            println!("{failed} runs failed a check");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Waits for SIGTERM or SIGINT. Returns at once if the SIGTERM handler cannot be installed.
async fn interrupted() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return;
    };
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = terminate.recv() => {}
    }
}

/// Plays the schedule to replay, or those of all seeds. Returns the number of runs that failed a
/// check.
async fn run(options: &Options) -> std::io::Result<u64> {
    if let Some(file) = &options.replay {
        let text = std::fs::read_to_string(file)?;
        let schedule = serde_json::from_str(&text).map_err(std::io::Error::other)?;
        let has_failed = play_one(&schedule, &options.builds(), &options.dir).await? > 0;
        return Ok(u64::from(has_failed));
    }
    let mut failed = 0;
    for seed in options.seed..options.seed + options.seeds {
        let params = ScheduleParams {
            length: options.seconds * 1_000,
            edges: options.edges,
            storage: options.storage.max(MIN_STORAGE),
            same_id_restarts: options.rebirths,
            uneven_load: options.uneven_load,
        };
        let schedule = options.extend(Schedule::draw(seed, params));
        let folder = options.dir.join(format!("seed-{seed}"));
        if play_one(&schedule, &options.builds(), &folder).await? == 0 {
            continue;
        }
        failed += 1;
        if options.shrink {
            shrink(schedule, &options.builds(), &folder).await?;
        }
    }
    Ok(failed)
}

/// Plays one schedule and writes the schedule, the report and the logs. Returns the number of
/// violations.
async fn play_one(schedule: &Schedule, builds: &Builds, folder: &Path) -> std::io::Result<usize> {
    std::fs::create_dir_all(folder)?;
    let text = serde_json::to_string_pretty(schedule).map_err(std::io::Error::other)?;
    std::fs::write(folder.join("schedule.json"), text)?;
    println!(
        "seed {}: {} faults in {} s, {} edges, {} storage",
        schedule.seed,
        schedule.faults.len(),
        schedule.length / 1_000,
        schedule.edges,
        schedule.storage
    );
    let output = play(schedule, builds, folder, |line| println!("{line}")).await?;
    let violations = check(&output.observed, schedule);
    let report = Report::new(schedule, &output.observed, violations, output.peak);
    report.write(folder)?;
    let served: usize = report.seconds.iter().map(|one| one.served).sum();
    let others: usize = report.seconds.iter().map(|one| one.others).sum();
    println!(
        "seed {}: {} violations; {served} calls served, {others} not served; {} jobs, {} ended, {} scoring calls; {} crash requests run; {} processes, {} MB at the peak, {} MB in one storage process; {} MB of results read",
        schedule.seed,
        report.broken.len(),
        report.jobs,
        report.ended_jobs,
        report.scoring_calls,
        report.ends,
        report.peak.processes,
        report.peak.memory_kb / 1_024,
        output.observed.storage_memory_kb() / 1_024,
        output.observed.result_bytes() / 1_000_000
    );
    for one in &report.broken {
        println!("  {} ms {}: {}", one.at, one.check, one.what);
    }
    Ok(report.broken.len())
}

/// Shrinks a failing schedule: removes ranges of faults, first halves and finally single faults,
/// and keeps each smaller schedule that still fails. Writes the smallest one.
async fn shrink(mut schedule: Schedule, builds: &Builds, folder: &Path) -> std::io::Result<()> {
    let mut size = schedule.faults.len().div_ceil(2);
    while size > 0 {
        let mut from = 0;
        while from < schedule.faults.len() {
            let to = (from + size).min(schedule.faults.len());
            let smaller = schedule.with_faults_removed(from..to);
            if play_one(&smaller, builds, &folder.join("shrunk")).await? > 0 {
                schedule = smaller;
            } else {
                from = to;
            }
        }
        size /= 2;
    }
    let text = serde_json::to_string_pretty(&schedule).map_err(std::io::Error::other)?;
    std::fs::write(folder.join("shrunk.json"), text)
}
