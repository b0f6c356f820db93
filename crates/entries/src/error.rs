//! The error for an entry that cannot be read, whose message is safe to log.

use std::fmt::{Display, Formatter, Result};

/// Reason why an entry cannot be read. The message does not quote the entry, which may contain API
/// keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryError(String);

impl EntryError {
    /// Creates an error with a message, which must not quote the entry.
    pub fn new(message: &str) -> Self {
        Self(message.to_string())
    }

    /// Creates the error for a missing field.
    pub fn missing(field: &str) -> Self {
        Self(format!("missing field {field}"))
    }
}

impl From<serde_json::Error> for EntryError {
    /// Converts an error of the parser. The name of a missing field is retained. Other messages of
    /// the parser may quote the text, so only their category and column are retained.
    fn from(error: serde_json::Error) -> Self {
        let message = error.to_string();
        let column = error.column();
        let missing = message.strip_prefix("missing field `");
        Self(match missing.and_then(|rest| rest.split_once('`')) {
            Some((field, _)) => return Self::missing(field),
            None if error.is_data() => format!("unexpected type or value at column {column}"),
            None => format!("invalid JSON at column {column}"),
        })
    }
}

impl Display for EntryError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        formatter.write_str(&self.0)
    }
}
