//! `brasspond capacity`: the measurements behind docs/CAPACITY.md.

use crate::exit::Outcome;
use crate::options::CapacityOptions;
use brasspond_experiment::{
    CapacityOptions as Options, CapacityReport, Promises, measure_capacity, measure_promises,
};
use serde_json::json;
use std::time::Duration;

/// Nodes at the size of the letter, and parts of it.
const DEFAULT_SIZES: [usize; 4] = [49, 98, 195, 390];

/// Measures and prints tables in Markdown.
pub(crate) fn run(options: &CapacityOptions) -> Outcome {
    let sizes = if options.size.is_empty() {
        DEFAULT_SIZES.to_vec()
    } else {
        options.size.clone()
    };
    let largest = sizes.iter().copied().max().unwrap_or(1);
    let wanted = Options {
        sizes,
        seconds: options.seconds,
        requests_per_node: options.requests,
    };
    let report = measure_capacity(&wanted, |line| eprintln!("{line}"));
    print_sizes(&report);
    let promises = (options.changes > 0).then(|| {
        let calm = Duration::from_secs(options.calm);
        measure_promises(largest, options.changes, calm, |line| eprintln!("{line}"))
    });
    if let Some(promises) = &promises {
        print_promises(promises);
    }
    if let Some(file) = &options.report {
        let value = json!({ "sizes": report, "promises": promises });
        let text = serde_json::to_string_pretty(&value).unwrap_or_default();
        if let Err(error) = std::fs::write(file, text) {
            eprintln!("{}: {error}", file.display());
            return Outcome::Failed;
        }
    }
    Outcome::Fine
}

fn print_sizes(report: &CapacityReport) {
    println!(
        "| nodes | engines | load | bytes/s mean | bytes/s most | messages/s | core % mean | core % most | MB a node | store reads/s | answer p99 ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for (load, sizes) in [
        ("idle", &report.idle),
        ("loaded", &report.loaded),
        ("uneven", &report.uneven),
    ] {
        for size in sizes {
            println!(
                "| {} | {} | {load} | {:.0} | {:.0} | {:.1} | {:.3} | {:.3} | {:.2} | {:.2} | {:.0} |",
                size.nodes,
                size.engines,
                size.bytes_mean,
                size.bytes_most,
                size.messages_mean,
                size.core_percent_mean,
                size.core_percent_most,
                size.megabytes,
                size.store_reads,
                size.answer_p99
            );
        }
    }
    println!("\n| line | intercept | slope a node | largest residual |");
    println!("|---|---|---|---|");
    for (name, line) in &report.fits {
        println!(
            "| {name} | {:.3} | {:.5} | {:.0}% |",
            line.intercept,
            line.slope,
            line.residual * 100.0
        );
    }
    if let Some(largest) = report.loaded.last() {
        println!(
            "\n| class | bytes/s a node, loaded, {} nodes |",
            largest.nodes
        );
        println!("|---|---|");
        for (class, bytes) in &largest.bytes_by_class {
            println!("| {class} | {bytes:.0} |");
        }
    }
}

fn print_promises(promises: &Promises) {
    println!(
        "\n| promise, {} nodes, {} engines | measured |",
        promises.nodes, promises.engines
    );
    println!("|---|---|");
    println!(
        "| configuration in force, p99.9 and longest over {} changes, 2% loss | {:.2} s, {:.2} s |",
        promises.changes, promises.in_force_p999, promises.in_force_most
    );
    println!(
        "| control bytes/s a node meanwhile | {:.0} |",
        promises.bytes_mean
    );
    println!(
        "| killed node noticed, longest of {} | {:.2} s |",
        promises.kills, promises.noticed_most
    );
    println!(
        "| no node gives it new work, longest | {:.2} s |",
        promises.no_work_most
    );
    println!(
        "| false deaths in {:.0} s at 1% loss | {} |",
        promises.calm_seconds, promises.false_deaths
    );
    println!(
        "| new weights on all engines | {:.2} s |",
        promises.weights_everywhere
    );
}
