//! Checking of configuration: all findings at once, each with its place.
//!
//! A [`Field`] table states what a document may hold; [`check`] walks a
//! document along the table and collects every [`Finding`] with file, line,
//! key and what is allowed. Documents are parsed once, at the edge
//! ([`parse_toml`], [`parse_yaml`]); the rest of the system sees typed values.
#![forbid(unsafe_code)]

mod document;
mod schema;
mod values;

pub use document::{Document, parse_toml, parse_yaml};
pub use schema::{Field, Kind, check};
pub use values::Values;

use std::fmt;

/// Something wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// File the document came from.
    pub file: String,
    /// Line, counted from 1; 0 where it is not known.
    pub line: usize,
    /// Path of the key, such as `spec.share`.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What is allowed there.
    pub allowed: String,
}

impl Finding {
    /// A finding at a line of a file, counted from 1; 0: the line is not known.
    pub fn new(
        file: &str,
        line: usize,
        key: &str,
        problem: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Self {
        Self {
            file: file.to_string(),
            line,
            key: key.to_string(),
            problem: problem.into(),
            allowed: allowed.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            key,
            problem,
            allowed,
        } = self;
        write!(
            formatter,
            "{file}:{line}: {key}: {problem}; allowed: {allowed}"
        )
    }
}
