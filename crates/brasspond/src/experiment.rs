//! `brasspond experiment`: policies compared in simulated time.

use crate::exit::Outcome;
use crate::options::ExperimentOptions;
use brasspond_experiment::{
    Experiment, ExperimentReport, parse_experiment, render_html, run_experiment,
};
use std::path::Path;
use std::time::Instant;

/// Runs all files; a file with findings stops before anything runs.
pub(crate) fn run(options: &ExperimentOptions) -> Outcome {
    let mut experiments = Vec::new();
    let mut findings = Vec::new();
    for file in &options.files {
        let name = file.display().to_string();
        match std::fs::read_to_string(file) {
            Err(error) => findings.push(format!("{name}: {error}")),
            Ok(text) => match parse_experiment(&name, &text) {
                Ok(experiment) => experiments.push(experiment),
                Err(found) => findings.extend(found.iter().map(ToString::to_string)),
            },
        }
    }
    if !findings.is_empty() {
        for finding in findings {
            eprintln!("{finding}");
        }
        return Outcome::Usage;
    }
    let mut outcome = Outcome::Fine;
    for experiment in &experiments {
        let begun = Instant::now();
        let report = run_experiment(experiment, options.threads, |line| eprintln!("{line}"));
        let folder = if experiments.len() == 1 {
            options.out.clone()
        } else {
            options.out.join(&experiment.name)
        };
        if let Err(error) = write(&folder, &report) {
            eprintln!("{}: {error}", folder.display());
            return Outcome::Failed;
        }
        println!(
            "{} in {:.1} s:",
            experiment.name,
            begun.elapsed().as_secs_f64()
        );
        print(experiment, &report);
        let broken = report
            .policies
            .get("brasspond")
            .map(|policy| policy.violations.len());
        if broken.unwrap_or(0) > 0 {
            outcome = Outcome::Failed;
        }
    }
    outcome
}

fn write(folder: &Path, report: &ExperimentReport) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let json = serde_json::to_string_pretty(report)?;
    std::fs::write(folder.join("report.json"), json)?;
    std::fs::write(folder.join("report.html"), render_html(report))
}

fn print(experiment: &Experiment, report: &ExperimentReport) {
    println!(
        "| policy | group | steps | idle | idle bound | makespan/bound | stale p50 p99 max | over bound | share declared received | wasted | worst minute's share error | answer p99, alone ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for policy in &experiment.policies {
        let Some(figures) = report.policies.get(policy.as_str()) else {
            continue;
        };
        for (name, group) in &figures.groups {
            let [p50, p99, most] = group.staleness_quantiles;
            let percent = |value: Option<f64>| {
                value.map_or("-".to_owned(), |value| format!("{:.1}%", value * 100.0))
            };
            println!(
                "| {} | {name} | {}/{} | {:.1}% | {:.1}% | {:.2} | {p50} {p99} {most} | {} | {:.3} {:.3} | {:.2}% | {} | {:.0}, {:.0} |",
                policy.as_str(),
                group.steps[0],
                group.steps[1],
                group.idle_fraction * 100.0,
                group.idle_fraction_bound * 100.0,
                group.makespan_ratio,
                group.stale,
                group.share_declared,
                group.share_received,
                figures.wasted_fraction * 100.0,
                percent(figures.share_error_most),
                figures.caller_p99.unwrap_or(0.0),
                figures.caller_alone_p99.unwrap_or(0.0),
            );
        }
        println!(
            "  {}: occupancy {:.1}%, control {:.0} B/s a node, {} broken guarantees {:?}",
            policy.as_str(),
            figures.occupancy * 100.0,
            figures.control_bytes,
            figures.violations.len(),
            figures.violations.first()
        );
    }
}
