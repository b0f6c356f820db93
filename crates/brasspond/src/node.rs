//! `brasspond node`: runs a node until SIGTERM or SIGINT.

use crate::exit::Outcome;
use crate::logging;
use crate::options::NodeOptions;
use brasspond_control::Parameters;
use brasspond_node::Node;
use brasspond_settings::{Override, Settings};
use serde_json::{Value, json};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

/// Runs a node until SIGTERM or SIGINT, then drains it.
pub(crate) fn run(options: &NodeOptions) -> Outcome {
    let file = options.settings.display().to_string();
    let text = match std::fs::read_to_string(&options.settings) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{file}: {error}");
            return Outcome::Usage;
        }
    };
    let settings = match Settings::parse(&file, &text, &overrides(options)) {
        Ok(settings) => settings,
        Err(findings) => {
            for finding in findings {
                eprintln!("{finding}");
            }
            return Outcome::Usage;
        }
    };
    if let Err(error) = logging::start(&settings.log_level, settings.log_file.as_deref()) {
        eprintln!("cannot log: {error}");
        return Outcome::Failed;
    }
    let node = match Node::start(&settings, Parameters::default()) {
        Ok(node) => node,
        Err(error) => {
            eprintln!("{error}");
            return Outcome::Failed;
        }
    };
    println!("http={}", node.http_address());
    println!("peers={}", node.peers_address());
    match wait_for_signal() {
        Ok(()) => {
            node.drain();
            Outcome::Success
        }
        Err(error) => {
            eprintln!("cannot listen for signals: {error}");
            Outcome::Failed
        }
    }
}

/// Blocks until SIGTERM or SIGINT arrives.
fn wait_for_signal() -> std::io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    })
}

/// Converts command-line options to overrides of the settings file.
fn overrides(options: &NodeOptions) -> Vec<Override> {
    let strings = [
        ("name", &options.name),
        ("locality.region", &options.region),
        ("locality.zone", &options.zone),
        ("http", &options.http),
        ("peers", &options.peers),
        ("store", &options.store),
        ("data_folder", &options.data_folder),
        ("log_file", &options.log_file),
        ("log_level", &options.log_level),
    ];
    let mut overrides: Vec<Override> = strings
        .into_iter()
        .filter_map(|(key, text)| text.as_ref().map(|text| setting(key, json!(text))))
        .collect();
    if !options.seed_addresses.is_empty() {
        overrides.push(setting("seeds", json!(options.seed_addresses)));
    }
    if !options.key_file.is_empty() {
        overrides.push(setting("key_files", json!(options.key_file)));
    }
    for pair in &options.set {
        let (key, text) = pair.split_once('=').unwrap_or((pair, ""));
        // A value that is not JSON is a string, so that strings need no quotes.
        let value = serde_json::from_str(text).unwrap_or_else(|_| json!(text));
        overrides.push(setting(key, value));
    }
    overrides
}

fn setting(key: &str, value: Value) -> Override {
    let key = key.to_owned();
    Override { key, value }
}
