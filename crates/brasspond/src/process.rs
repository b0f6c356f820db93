//! `brasspond edge` and `brasspond storage`: a process of a cluster on the
//! prepared platform, until it is told to stop.

use crate::exit::Outcome;
use crate::logging;
use crate::options::{CheckProcessOptions, ProcessOptions};
use brasspond_platform::{PlatformSettings, Role, connect, read_settings, settings_path};
use std::path::PathBuf;
use std::time::Duration;
use tokio::task::LocalSet;

/// Longest wait at the end for log lines to be written.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Runs the process whose settings the platform wrote.
pub(crate) fn run(options: &ProcessOptions) -> Outcome {
    let settings = match read(options.settings.clone(), options.metrics_port) {
        Ok(settings) => settings,
        Err(outcome) => return outcome,
    };
    let log_ring = match logging::start_to_output(&options.log_level) {
        Ok(log_ring) => log_ring,
        Err(error) => {
            eprintln!("cannot log: {error}");
            return Outcome::Failed;
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("no runtime: {error}");
            return Outcome::Failed;
        }
    };
    let result = LocalSet::new().block_on(&runtime, async {
        let outside = connect(&settings);
        match settings.role {
            Role::Edge(settings) => {
                brasspond_cluster::edge::run(settings, outside, Some(log_ring.clone())).await
            }
            Role::Storage(settings) => {
                brasspond_cluster::storage::run(settings, outside, Some(log_ring.clone())).await
            }
        }
    });
    log_ring.flush(FLUSH_TIME);
    match result {
        Ok(()) => Outcome::Fine,
        Err(error) => {
            eprintln!("{error}");
            Outcome::Failed
        }
    }
}

/// Checks a settings file of the platform without starting anything.
pub(crate) fn check(options: &CheckProcessOptions) -> Outcome {
    match read(Some(options.settings.clone()), None) {
        Ok(_) => Outcome::Fine,
        Err(outcome) => outcome,
    }
}

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
