//! One line of a log: when it was written, its event and the values of its keys.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter, Result};

/// When a line was written: seconds as a number, or a time of day as RFC 3339 text. Times of the
/// same form can be compared.
#[derive(Clone, Debug, PartialEq, PartialOrd)]
enum Moment {
    Seconds(f64),
    Text(String),
}

/// A line of a log that names an event.
#[derive(Clone, Debug)]
pub(super) struct LogLine {
    /// Name of the process's log.
    source: String,
    moment: Moment,
    /// Values by key, `event` among them.
    fields: BTreeMap<String, String>,
    text: String,
}

impl LogLine {
    /// Reads a line; none where it names no event.
    pub fn read(source: &str, text: &str) -> Option<Self> {
        let start = text.find("event=")?;
        let fields = text[start..].split_ascii_whitespace();
        let fields = fields.filter_map(|word| word.split_once('='));
        let fields = fields.map(|(key, value)| (key.to_string(), value.to_string()));
        let fields = fields.collect();
        let mut words = text[..start].split_ascii_whitespace();
        let first = words.next().unwrap_or_default();
        let moment = match first.parse::<f64>() {
            Ok(seconds) => Moment::Seconds(seconds),
            Err(_) => Moment::Text(first.trim_end_matches('Z').to_string()),
        };
        Some(Self {
            source: source.to_string(),
            moment,
            fields,
            text: text.trim_end().to_string(),
        })
    }

    /// Name of the event.
    pub fn event(&self) -> &str {
        self.field("event")
    }

    /// Value of a key; empty where the line has no such key.
    pub fn field(&self, key: &str) -> &str {
        self.fields.get(key).map_or("", String::as_str)
    }

    /// Whether the line names an identity, under any of the keys for one.
    pub fn names(&self, id: &str) -> bool {
        ["request", "item", "job", "window", "content"]
            .iter()
            .any(|key| self.field(key) == id)
    }

    /// Whether the line has a key.
    pub fn has(&self, key: &str) -> bool {
        self.fields.contains_key(key)
    }

    /// Order of the times of two lines; none: they have different forms.
    pub fn compare_time(&self, other: &Self) -> Option<Ordering> {
        self.moment.partial_cmp(&other.moment)
    }

    /// Whether the line was written between two others, or with one of them.
    pub fn is_within(&self, first: &Self, last: &Self) -> bool {
        self.moment >= first.moment && self.moment <= last.moment
    }
}

impl Display for LogLine {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        write!(formatter, "{}: {}", self.source, self.text)
    }
}
