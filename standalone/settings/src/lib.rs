//! Settings of a node, read from one TOML file. Command-line options can override any key.
#![forbid(unsafe_code)]

mod keys;

pub use keys::{KEY_BYTES, read_key};

use brasspond_findings::{Document, Field, Finding, Kind, check, parse_toml};
use brasspond_types::Locality;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Limits on connections and requests of callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HttpLimits {
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// Maximum size of the headers of a request, in bytes.
    pub header_bytes: usize,
    /// Maximum time to receive the headers of a request, in milliseconds.
    pub header_milliseconds: u64,
    /// Maximum size of a JSON request body, in bytes: of a model request, a training step or a
    /// manifest.
    pub body_bytes: usize,
    /// Maximum time to receive a JSON request body, in milliseconds.
    pub body_milliseconds: u64,
    /// Maximum duration of a model request, in milliseconds.
    pub request_milliseconds: u64,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            header_bytes: 64 * 1024,
            header_milliseconds: 10_000,
            body_bytes: 16 * 1024 * 1024,
            body_milliseconds: 30_000,
            request_milliseconds: 1_800_000,
        }
    }
}

/// Settings of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the node, unique in the fleet.
    pub name: String,
    /// Region and zone of the node.
    pub locality: Locality,
    /// Listen address for the HTTP requests of callers.
    pub http: SocketAddr,
    /// Listen address for other nodes, over TCP and UDP.
    pub peers: SocketAddr,
    /// Addresses of other nodes to contact at start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's object store.
    pub store: SocketAddr,
    /// Folder for persistent data; `None` if the node stores nothing on disk.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Key files of the protocol between nodes. The first key seals messages, and all keys open
    /// them.
    pub key_files: Vec<PathBuf>,
    /// Log file; `None` logs to standard error.
    #[serde(default)]
    pub log_file: Option<PathBuf>,
    /// Lowest severity that is logged.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Limits on connections and requests of callers.
    #[serde(default)]
    pub limits: HttpLimits,
}

fn default_log_level() -> String {
    "info".to_owned()
}

const LOCALITY_FIELDS: &[Field] = &[
    Field::required("region", Kind::Name),
    Field::required("zone", Kind::Name),
];

const LIMIT_FIELDS: &[Field] = &[
    Field::optional("connections", Kind::Integer(1, 1_000_000)),
    Field::optional("header_bytes", Kind::Integer(8_192, 1_048_576)),
    Field::optional("header_milliseconds", Kind::Integer(1, 600_000)),
    Field::optional("body_bytes", Kind::Integer(1, 1_073_741_824)),
    Field::optional("body_milliseconds", Kind::Integer(1, 3_600_000)),
    Field::optional("request_milliseconds", Kind::Integer(1, 86_400_000)),
];

const FIELDS: &[Field] = &[
    Field::required("name", Kind::Name),
    Field::required("locality", Kind::Table(LOCALITY_FIELDS)),
    Field::required("http", Kind::Address),
    Field::required("peers", Kind::Address),
    Field::optional("seeds", Kind::List(&Kind::Address)),
    Field::required("store", Kind::Address),
    Field::optional("data_folder", Kind::Text),
    Field::required("key_files", Kind::List(&Kind::Text)),
    Field::optional("log_file", Kind::Text),
    Field::optional(
        "log_level",
        Kind::Choice(&["error", "warn", "info", "debug", "trace"]),
    ),
    Field::optional("limits", Kind::Table(LIMIT_FIELDS)),
];

/// A setting given on the command line.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    /// Dotted path of the key, such as `limits.connections`.
    pub key: String,
    /// Value that replaces the one in the file.
    pub value: serde_json::Value,
}

impl Settings {
    /// Parses and validates the text of a settings file after applying `overrides`.
    ///
    /// # Errors
    /// Returns all findings, which state `file` as their source.
    pub fn parse(file: &str, text: &str, overrides: &[Override]) -> Result<Self, Vec<Finding>> {
        let mut document = parse_toml(file, text)?;
        for entry in overrides {
            set(&mut document.value, &entry.key, entry.value.clone());
        }
        let findings = check(&document, "", &document.value, FIELDS);
        if !findings.is_empty() {
            return Err(findings);
        }
        let settings: Self = serde_json::from_value(document.value.clone()).map_err(|error| {
            let allowed = "see docs/OPERATIONS.md".to_owned();
            vec![document.finding("(document)", error.to_string(), allowed)]
        })?;
        let findings = settings.check_constraints(&document);
        if findings.is_empty() {
            Ok(settings)
        } else {
            Err(findings)
        }
    }

    /// Checks constraints that the field tables cannot express.
    fn check_constraints(&self, document: &Document) -> Vec<Finding> {
        let mut findings = Vec::new();
        if self.key_files.is_empty() {
            let allowed = "at least one file".to_owned();
            findings.push(document.finding("key_files", "the list is empty".to_owned(), allowed));
        }
        for (index, file) in self.key_files.iter().enumerate() {
            if let Err(problem) = read_key(file) {
                let key = format!("key_files.{index}");
                let allowed = "a file of 64 hexadecimal digits".to_owned();
                findings.push(document.finding(&key, problem.to_string(), allowed));
            }
        }
        if self.http == self.peers && self.http.port() != 0 {
            let problem = "the same address as http".to_owned();
            let allowed = "an address that differs from http".to_owned();
            findings.push(document.finding("peers", problem, allowed));
        }
        findings
    }
}

/// Sets the value at a dotted path and creates missing tables. Has no effect if the path leads
/// through a value that is not a table.
fn set(value: &mut serde_json::Value, key: &str, new: serde_json::Value) {
    let Some(table) = value.as_object_mut() else {
        return;
    };
    match key.split_once('.') {
        Some((first, rest)) => {
            let empty = || serde_json::Value::Object(serde_json::Map::new());
            set(table.entry(first).or_insert_with(empty), rest, new);
        }
        None => {
            table.insert(key.to_owned(), new);
        }
    }
}
