//! Drivers of the second review: `review-2 SCENARIO RECORD`, run at the repository's root.
//! Exit code 1: the rule was broken; 0: it held; 2: the case could not run.

mod cluster;
mod http;
mod json;
mod platform;
mod scenarios;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(scenario), Some(record)) = (words.next(), words.next()) else {
        eprintln!("usage: review-2 SCENARIO RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    ExitCode::from(scenarios::run(
        &scenario,
        &PathBuf::from(record),
        trouble,
        &words.collect::<Vec<_>>(),
    ))
}
