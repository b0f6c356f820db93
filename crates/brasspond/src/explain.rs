//! `brasspond explain`: shows from log files what happened to a request, item, job, usage window or
//! request content.

use crate::exit::Outcome;
use crate::options::ExplainOptions;
use brasspond_telemetry::Timeline;
use std::fs::File;
use std::io::{BufReader, Write};

/// Prints the log lines that contain the ID and the context lines between them in order of time,
/// and then a summary of the outcome.
pub(crate) fn run(options: &ExplainOptions) -> Outcome {
    let mut timeline = Timeline::of(&options.id);
    for path in &options.files {
        let source = path.file_stem().unwrap_or(path.as_os_str());
        let source = source.to_string_lossy().into_owned();
        let file = match File::open(path) {
            Ok(file) => file,
            Err(error) => {
                eprintln!("{}: {error}", path.display());
                return Outcome::Usage;
            }
        };
        let progress =
            |lines| eprintln!("reading {source}: {lines} lines read from all files so far");
        if let Err(error) = timeline.read(&source, BufReader::new(file), progress) {
            eprintln!("{}: {error}", path.display());
            return Outcome::Failed;
        }
    }
    if !timeline.found_id() {
        eprintln!("{}: not found in the log files", options.id);
        return Outcome::Failed;
    }
    let mut output = std::io::stdout().lock();
    for line in timeline.into_lines() {
        if writeln!(output, "{line}").is_err() {
            return Outcome::Failed;
        }
    }
    Outcome::Success
}
