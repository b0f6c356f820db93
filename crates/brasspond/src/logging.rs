//! Logging setup. The log has one line of key=value pairs per event.

use brasspond_telemetry::{LogLimits, LogRing};
use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};
use std::io::Write;
use std::path::Path;

/// Starts logging to a file, or to standard error if none is given.
///
/// # Errors
/// Returns an error if the file cannot be opened.
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
    // This fails only if a logger is already set, which then stays in use.
    let _ = WriteLogger::init(parse_level(level), config, target);
    warn_unknown(level);
    Ok(())
}

/// Starts logging to standard output through a ring buffer that never blocks. Panics are logged too.
///
/// # Errors
/// Returns an error if the writer thread cannot be started.
pub(crate) fn start_on_stdout(level: &str) -> std::io::Result<LogRing> {
    let filter = parse_level(level);
    let ring = brasspond_telemetry::start(filter, LogLimits::default(), std::io::stdout())?;
    brasspond_telemetry::log_panics(&ring);
    warn_unknown(level);
    Ok(ring)
}

/// Parses the name of a log level. Returns `info` for an unknown name.
fn parse_level(level: &str) -> LevelFilter {
    level.parse().unwrap_or(LevelFilter::Info)
}

/// Logs a warning if the name of a log level is unknown.
fn warn_unknown(level: &str) {
    if level.parse::<LevelFilter>().is_err() {
        log::warn!("event=log_level_unknown level={level:?} used=info");
    }
}
