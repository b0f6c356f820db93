//! Starts the log: one line of key=value pairs for each event.

use brasspond_telemetry::{LogLimits, LogRing};
use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};
use std::io::Write;
use std::path::Path;

/// Begins to log to a file, or to standard error.
///
/// # Errors
/// The file cannot be opened.
pub(crate) fn start(level: &str, file: Option<&Path>) -> std::io::Result<()> {
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
    // Fails only where a logger is set already; that one stays.
    let _ = WriteLogger::init(filter_of(level), config, target);
    report_unknown(level);
    Ok(())
}

/// Begins to log to standard output, through a ring that never blocks.
///
/// # Errors
/// The writing thread cannot be started.
pub(crate) fn start_to_output(level: &str) -> std::io::Result<LogRing> {
    let filter = filter_of(level);
    let ring = brasspond_telemetry::start(filter, LogLimits::default(), std::io::stdout())?;
    report_unknown(level);
    Ok(ring)
}

/// The filter of a level's name; that of `info` where there is no such level.
fn filter_of(level: &str) -> LevelFilter {
    level.parse().unwrap_or(LevelFilter::Info)
}

/// Logs that a level's name is unknown, so that `info` is used.
fn report_unknown(level: &str) {
    if level.parse::<LevelFilter>().is_err() {
        log::warn!("event=log_level_unknown level={level:?} used=info");
    }
}
