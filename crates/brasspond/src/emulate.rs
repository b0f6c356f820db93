//! `brasspond emulate`: runs stand-ins of the platform as separate processes.

use crate::exit::Outcome;
use crate::logging;
use crate::options::{EmulateOptions, EngineOptions};
use brasspond_emulator::{EngineParameters, LengthDistribution};
use brasspond_resource::parse_manifests;
use brasspond_standin::{
    EngineServer, EngineSettings, FaultSchedule, ServiceServer, StoreServer, WeightServer,
};
use brasspond_types::{EngineName, ModelName, WeightVersion};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Maximum number of concurrent transfers from an emulated engine to other engines.
const MAX_UPLOADS: usize = 4;
/// Duration of a transfer of weights between two emulated engines.
const UPLOAD_DURATION: Duration = Duration::from_millis(300);
/// Interval at which an emulated engine sends generated tokens: about one decoding step of
/// [`EngineParameters::default`].
const SEND_INTERVAL: Duration = Duration::from_millis(10);

/// Reasons why a stand-in cannot run, one line each.
type Problems = Vec<String>;

/// Runs a stand-in until SIGINT. Returns [`Outcome::Usage`] if it cannot be started.
pub(crate) fn run(options: EmulateOptions) -> Outcome {
    if let Err(error) = logging::start("info", None) {
        eprintln!("cannot log: {error}");
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return Outcome::Failed;
        }
    };
    match runtime.block_on(serve(options)) {
        Ok(()) => Outcome::Success,
        Err(problems) => {
            for problem in problems {
                eprintln!("{problem}");
            }
            Outcome::Usage
        }
    }
}

async fn serve(options: EmulateOptions) -> Result<(), Problems> {
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(async move {
        // If no handler can be installed, the server stops at once.
        let _ = tokio::signal::ctrl_c().await;
        // The send fails only if the server has already stopped.
        let _ = stop.send(true);
    });
    match options {
        EmulateOptions::Store {
            listen,
            load,
            faults,
        } => {
            let server = store(&load, faults)?;
            server.run(bind(listen).await?, stopped).await;
        }
        EmulateOptions::Weights {
            listen,
            slots,
            transfer_milliseconds,
        } => {
            let transfer = Duration::from_millis(transfer_milliseconds);
            let server = WeightServer::new(slots, transfer);
            server.run(bind(listen).await?, stopped).await;
        }
        EmulateOptions::Engine(options) => {
            let listen = options.listen;
            let server = EngineServer::new(engine_settings(options)?);
            server.run(bind(listen).await?, stopped).await;
        }
        EmulateOptions::Service {
            name,
            listen,
            latency_milliseconds,
        } => {
            let latency = Duration::from_millis(latency_milliseconds);
            let server = ServiceServer::new(&name, latency);
            server.run(bind(listen).await?, stopped).await;
        }
    }
    Ok(())
}

/// Creates a store that contains the objects of these manifest files.
fn store(manifests: &[PathBuf], faults: Option<PathBuf>) -> Result<Arc<StoreServer>, Problems> {
    let server = StoreServer::new(read_faults(faults)?);
    for file in manifests {
        let name = file.display().to_string();
        let text =
            std::fs::read_to_string(file).map_err(|error| vec![format!("{name}: {error}")])?;
        let objects = parse_manifests(&name, &text).map_err(|findings| {
            let lines = findings.iter().map(ToString::to_string);
            lines.collect::<Problems>()
        })?;
        for object in objects {
            server.put(object);
        }
    }
    Ok(server)
}

fn engine_settings(options: EngineOptions) -> Result<EngineSettings, Problems> {
    let lengths = LengthDistribution {
        median: options.median_tokens,
        ..LengthDistribution::default()
    };
    let parameters = EngineParameters {
        max_running: options.max_running,
        lengths,
        ..EngineParameters::default()
    };
    Ok(EngineSettings {
        name: EngineName::new(&options.name),
        parameters,
        seed: options.seed,
        models: models(&options.model)?,
        weight_store: options.weights,
        upload_slots: MAX_UPLOADS,
        upload_time: UPLOAD_DURATION,
        tick: SEND_INTERVAL,
        faults: read_faults(options.faults)?,
    })
}

/// Binds an address and prints the address that was bound.
async fn bind(address: SocketAddr) -> Result<TcpListener, Problems> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|error| vec![format!("{address}: {error}")])?;
    if let Ok(address) = listener.local_addr() {
        println!("listening={address}");
    }
    Ok(listener)
}

/// Reads a fault schedule in TOML. Without a file, the schedule is the default one.
fn read_faults(file: Option<PathBuf>) -> Result<FaultSchedule, Problems> {
    let Some(file) = file else {
        return Ok(FaultSchedule::default());
    };
    let name = file.display();
    let text = std::fs::read_to_string(&file).map_err(|error| vec![format!("{name}: {error}")])?;
    toml::from_str(&text).map_err(|error| vec![format!("{name}: {error}")])
}

/// Parses pairs of a model name and a weight version.
fn models(pairs: &[String]) -> Result<BTreeMap<ModelName, WeightVersion>, Problems> {
    let parsed = pairs.iter().map(|pair| {
        let (model, version) = pair.split_once('=')?;
        Some((ModelName::new(model), WeightVersion(version.parse().ok()?)))
    });
    let parsed: Option<BTreeMap<_, _>> = parsed.collect();
    parsed.ok_or_else(|| vec!["--model takes MODEL=VERSION, such as blurbs=1".to_owned()])
}
