//! `brasspond node`: one node, until SIGTERM or SIGINT.

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
            Outcome::Fine
        }
        Err(error) => {
            eprintln!("signals cannot be heard: {error}");
            Outcome::Failed
        }
    }
}

/// Waits for a signal to stop.
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

/// Flags as overrides of the settings file.
fn overrides(options: &NodeOptions) -> Vec<Override> {
    let texts = [
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
    let mut overrides: Vec<Override> = texts
        .into_iter()
        .filter_map(|(key, text)| text.as_ref().map(|text| given(key, json!(text))))
        .collect();
    if !options.seed.is_empty() {
        overrides.push(given("seeds", json!(options.seed)));
    }
    if !options.key_file.is_empty() {
        overrides.push(given("key_files", json!(options.key_file)));
    }
    for pair in &options.set {
        let (key, text) = pair.split_once('=').unwrap_or((pair, ""));
        // What is no JSON is a text, so that texts need no quotes.
        let value = serde_json::from_str(text).unwrap_or_else(|_| json!(text));
        overrides.push(given(key, value));
    }
    overrides
}

fn given(key: &str, value: Value) -> Override {
    let key = key.to_owned();
    Override { key, value }
}
