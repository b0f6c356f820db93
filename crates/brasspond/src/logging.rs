//! Logs: one line of key=value pairs an event.

use brasspond_telemetry::{LogLimits, LogRing};
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};
use std::io::Write;
use std::path::Path;

/// Begins to log to a file, or to standard error.
pub(crate) fn start(level: &str, file: Option<&Path>) -> std::io::Result<()> {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let target: Box<dyn Write + Send> = match file {
        Some(file) => {
            let mut options = std::fs::OpenOptions::new();
            Box::new(options.create(true).append(true).open(file)?)
        }
        None => Box::new(std::io::stderr()),
    };
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .build();
    let _ = WriteLogger::init(level, config, target);
    Ok(())
}

/// Begins to log to standard output, through a ring that never blocks.
pub(crate) fn start_to_output(level: &str) -> std::io::Result<LogRing> {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    brasspond_telemetry::start(level, LogLimits::default(), std::io::stdout())
}
