//! Why an entry cannot be read, in words that may be logged.

use std::fmt::{Display, Formatter, Result};

/// Why an entry cannot be read. It repeats nothing of the entry's values: an entry may hold keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem(String);

impl Problem {
    /// A problem that a reader found itself; `text` holds nothing of the entry.
    pub fn new(text: &str) -> Self {
        Self(text.to_string())
    }

    /// A field that is missing.
    pub fn missing(field: &str) -> Self {
        Self(format!("missing field {field}"))
    }
}

impl From<serde_json::Error> for Problem {
    /// A parser's own words quote what it met, but for those on a field that is missing.
    fn from(error: serde_json::Error) -> Self {
        let words = error.to_string();
        let column = error.column();
        let missing = words.strip_prefix("missing field `");
        Self(match missing.and_then(|rest| rest.split_once('`')) {
            Some((field, _)) => return Self::missing(field),
            None if error.is_data() => format!("another type at column {column}"),
            None => format!("no JSON at column {column}"),
        })
    }
}

impl Display for Problem {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        formatter.write_str(&self.0)
    }
}
