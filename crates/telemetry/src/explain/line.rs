//! A parsed log line: its time, its event and the values of its keys.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter, Result};

/// When a line was written: seconds as a number, or an RFC 3339 timestamp as text. Times of the
/// same format can be compared.
#[derive(Clone, Debug, PartialEq, PartialOrd)]
enum Timestamp {
    Seconds(f64),
    Text(String),
}

/// A log line that names an event.
#[derive(Clone, Debug)]
pub(super) struct LogLine {
    /// Name of the log that contains the line.
    source: String,
    timestamp: Timestamp,
    /// Values by key, including `event`.
    fields: BTreeMap<String, String>,
    text: String,
}

impl LogLine {
    /// Parses a line; `None` if it names no event.
    pub fn parse(source: &str, text: &str) -> Option<Self> {
        let start = text.find("event=")?;
        let fields = text[start..].split_ascii_whitespace();
        let fields = fields.filter_map(|word| word.split_once('='));
        let fields = fields.map(|(key, value)| (key.to_string(), value.to_string()));
        let fields = fields.collect();
        let mut words = text[..start].split_ascii_whitespace();
        let first = words.next().unwrap_or_default();
        let timestamp = match first.parse::<f64>() {
            Ok(seconds) => Timestamp::Seconds(seconds),
            Err(_) => Timestamp::Text(first.trim_end_matches('Z').to_string()),
        };
        Some(Self {
            source: source.to_string(),
            timestamp,
            fields,
            text: text.trim_end().to_string(),
        })
    }

    /// Name of the event.
    pub fn event(&self) -> &str {
        self.field("event")
    }

    /// Value of a key; empty if the line does not have the key.
    pub fn field(&self, key: &str) -> &str {
        self.fields.get(key).map_or("", String::as_str)
    }

    /// Whether the line has `id` as the value of one of the keys for ids.
    pub fn has_id(&self, id: &str) -> bool {
        ["request", "item", "job", "window", "content"]
            .iter()
            .any(|key| self.field(key) == id)
    }

    /// Whether the line has a value for `key`.
    pub fn has_key(&self, key: &str) -> bool {
        self.fields.contains_key(key)
    }

    /// Compares the times of two lines; `None` if their formats differ.
    pub fn compare_time(&self, other: &Self) -> Option<Ordering> {
        self.timestamp.partial_cmp(&other.timestamp)
    }

    /// Whether the line was written between two others, inclusive; false if the formats of their
    /// timestamps differ.
    pub fn is_between(&self, first: &Self, last: &Self) -> bool {
        self.timestamp >= first.timestamp && self.timestamp <= last.timestamp
    }
}

impl Display for LogLine {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        write!(formatter, "{}: {}", self.source, self.text)
    }
}
