//! `brasspond edge` and `brasspond storage`: run a process of a cluster until SIGTERM.
//! `brasspond check-process` only checks the settings of such a process.

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

/// Time limit on writing out log lines at exit. It is well below the time that the platform leaves
/// between SIGTERM and SIGKILL.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Runs the process. Returns [`Outcome::Usage`] if the settings cannot be read or are invalid.
pub(crate) fn run(options: &ProcessOptions) -> Outcome {
    run_process(options).unwrap_or_else(|outcome| outcome)
}

fn run_process(options: &ProcessOptions) -> Result<Outcome, Outcome> {
    let settings = load_settings(options.settings.clone(), options.metrics_port)?;
    let log_ring = logging::start_on_stdout(&options.log_level).map_err(|error| {
        eprintln!("cannot log: {error}");
        Outcome::Failed
    })?;
    let runtime = single_threaded()?;
    let result = LocalSet::new().block_on(&runtime, serve(settings, log_ring.clone()));
    if let Err(error) = &result {
        log::error!("event=process_failed error={:?}", error.to_string());
        eprintln!("{error}");
    }
    log_ring.flush(LOG_FLUSH_TIMEOUT);
    result
        .map(|()| Outcome::Success)
        .map_err(|_| Outcome::Failed)
}

/// Connects to the platform and runs an edge or a storage process, as the settings say.
async fn serve(settings: PlatformSettings, log_ring: LogRing) -> Result<(), ProcessError> {
    let platform = connect(&settings);
    match settings.role {
        Role::Edge(settings) => edge::run(settings, platform, Some(log_ring)).await,
        Role::Storage(settings) => storage::run(settings, platform, Some(log_ring)).await,
    }
}

/// Checks a settings file of a cluster process without starting anything.
pub(crate) fn check(options: &CheckProcessOptions) -> Outcome {
    match load_settings(Some(options.settings.clone()), None) {
        Ok(_) => Outcome::Success,
        Err(outcome) => outcome,
    }
}

/// Reads the settings file at a path, or the file that the platform wrote if there is no path.
/// Prints findings to standard error.
fn load_settings(
    path: Option<PathBuf>,
    metrics_port: Option<u16>,
) -> Result<PlatformSettings, Outcome> {
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
