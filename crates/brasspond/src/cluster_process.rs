//! `brasspond edge` and `brasspond storage`: a process of a cluster on the prepared platform, until
//! SIGTERM. `brasspond check-process` only reads its settings.

use crate::exit::Outcome;
use crate::logging;
use crate::options::{CheckProcessOptions, ProcessOptions};
use crate::runtime::single_threaded;
use brasspond_cluster::storage::ProcessError;
use brasspond_cluster::{edge, storage};
use brasspond_platform::{PlatformSettings, Role, connect, read_settings, settings_path};
use brasspond_telemetry::LogRing;
use std::path::PathBuf;
use std::time::Duration;
use tokio::task::LocalSet;

/// Longest wait at the end for log lines to be written: short beside the time until the platform
/// kills a process. Not measured.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Runs the process whose settings the platform wrote. The exit code is that of invalid usage
/// where the settings cannot be read.
pub(crate) fn run(options: &ProcessOptions) -> Outcome {
    run_process(options).unwrap_or_else(|outcome| outcome)
}

fn run_process(options: &ProcessOptions) -> Result<Outcome, Outcome> {
    let settings = read(options.settings.clone(), options.metrics_port)?;
    let log_ring = logging::start_to_output(&options.log_level).map_err(|error| {
        eprintln!("cannot log: {error}");
        Outcome::Failed
    })?;
    let runtime = single_threaded()?;
    let result = LocalSet::new().block_on(&runtime, serve(settings, log_ring.clone()));
    log_ring.flush(FLUSH_TIMEOUT);
    match result {
        Ok(()) => Ok(Outcome::Fine),
        Err(error) => {
            eprintln!("{error}");
            Err(Outcome::Failed)
        }
    }
}

/// Connects to the platform and serves in the role of the settings.
async fn serve(settings: PlatformSettings, log_ring: LogRing) -> Result<(), ProcessError> {
    let platform = connect(&settings);
    match settings.role {
        Role::Edge(settings) => edge::run(settings, platform, Some(log_ring)).await,
        Role::Storage(settings) => storage::run(settings, platform, Some(log_ring)).await,
    }
}

/// Checks a settings file of the platform without starting anything.
pub(crate) fn check(options: &CheckProcessOptions) -> Outcome {
    match read(Some(options.settings.clone()), None) {
        Ok(_) => Outcome::Fine,
        Err(outcome) => outcome,
    }
}

/// Reads the settings file at a path, or at the platform's own. Findings go to standard error.
fn read(path: Option<PathBuf>, metrics_port: Option<u16>) -> Result<PlatformSettings, Outcome> {
    let path = path.unwrap_or_else(settings_path);
    let file = path.display().to_string();
    let text = std::fs::read_to_string(&path).map_err(|error| {
        eprintln!("{file}: {error}");
        Outcome::Usage
    })?;
    read_settings(&file, &text, metrics_port).map_err(|findings| {
        for finding in findings {
            eprintln!("{finding}");
        }
        Outcome::Usage
    })
}
