//! `brasspond emulate`: stand-ins of the platform as processes of their own.

use crate::exit::Outcome;
use crate::logging;
use crate::options::EmulateOptions;
use brasspond_emulator::{EngineParameters, LengthDistribution};
use brasspond_resource::parse_manifests;
use brasspond_standin::{
    EngineServer, EngineSettings, FaultSchedule, ServiceServer, StoreServer, WeightServer,
};
use brasspond_types::{EngineName, ModelName, WeightVersion};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Runs a stand-in until SIGTERM or SIGINT.
pub(crate) fn run(options: EmulateOptions) -> Outcome {
    let _ = logging::start("info", None);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("no threads: {error}");
            return Outcome::Failed;
        }
    };
    match runtime.block_on(serve(options)) {
        Ok(()) => Outcome::Fine,
        Err(problems) => {
            for problem in problems {
                eprintln!("{problem}");
            }
            Outcome::Usage
        }
    }
}

async fn serve(options: EmulateOptions) -> Result<(), Vec<String>> {
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(async move {
        let _ = tokio::signal::ctrl_c().await;
        let _ = stop.send(true);
    });
    match options {
        EmulateOptions::Store {
            listen,
            load,
            faults,
        } => {
            let server = StoreServer::new(schedule(faults)?);
            for file in load {
                let name = file.display().to_string();
                let text = std::fs::read_to_string(&file)
                    .map_err(|error| vec![format!("{name}: {error}")])?;
                let objects = parse_manifests(&name, &text);
                let objects = objects.map_err(|findings| {
                    findings.iter().map(ToString::to_string).collect::<Vec<_>>()
                })?;
                for object in objects {
                    server.put(object);
                }
            }
            server.run(bind(listen).await?, stopped).await;
        }
        EmulateOptions::Weights {
            listen,
            slots,
            transfer_milliseconds,
        } => {
            let transfer = Duration::from_millis(transfer_milliseconds);
            WeightServer::new(slots, transfer)
                .run(bind(listen).await?, stopped)
                .await;
        }
        EmulateOptions::Engine {
            name,
            listen,
            weights,
            model,
            max_running,
            median_tokens,
            seed,
            faults,
        } => {
            let lengths = LengthDistribution {
                median: median_tokens,
                ..LengthDistribution::default()
            };
            let parameters = EngineParameters {
                max_running,
                lengths,
                ..EngineParameters::default()
            };
            let settings = EngineSettings {
                name: EngineName::new(&name),
                parameters,
                seed,
                models: models(&model)?,
                weight_store: weights,
                upload_slots: 4,
                upload_time: Duration::from_millis(300),
                tick: Duration::from_millis(10),
                faults: schedule(faults)?,
            };
            EngineServer::new(settings)
                .run(bind(listen).await?, stopped)
                .await;
        }
        EmulateOptions::Service {
            name,
            listen,
            latency_milliseconds,
        } => {
            let latency = Duration::from_millis(latency_milliseconds);
            ServiceServer::new(&name, latency)
                .run(bind(listen).await?, stopped)
                .await;
        }
    }
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Vec<String>> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|error| vec![format!("{address}: {error}")])?;
    if let Ok(address) = listener.local_addr() {
        println!("listening={address}");
    }
    Ok(listener)
}

fn schedule(file: Option<PathBuf>) -> Result<FaultSchedule, Vec<String>> {
    let Some(file) = file else {
        return Ok(FaultSchedule::default());
    };
    let name = file.display();
    let text = std::fs::read_to_string(&file).map_err(|error| vec![format!("{name}: {error}")])?;
    toml::from_str(&text).map_err(|error| vec![format!("{name}: {error}")])
}

fn models(pairs: &[String]) -> Result<BTreeMap<ModelName, WeightVersion>, Vec<String>> {
    let parsed = pairs.iter().map(|pair| {
        let (model, version) = pair.split_once('=')?;
        Some((ModelName::new(model), WeightVersion(version.parse().ok()?)))
    });
    let parsed: Option<BTreeMap<_, _>> = parsed.collect();
    parsed.ok_or_else(|| vec!["--model takes MODEL=VERSION, as blurbs=1".to_owned()])
}
