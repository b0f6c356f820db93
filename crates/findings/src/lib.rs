//! Validation of configuration documents, which reports all findings at once with their locations.
//!
//! A list of [`Field`]s describes what a document may contain. [`check`] compares a document with
//! the list and returns every [`Finding`] with file, line, key and allowed values. Documents are
//! parsed once on input ([`parse_toml`], [`parse_yaml`]), and the rest of the system uses typed
//! values. [`Values`] reads single values by path instead of checking a whole document.
#![forbid(unsafe_code)]

mod document;
mod schema;
mod values;

pub use document::{Document, parse_toml, parse_yaml};
pub use schema::{Field, Kind, check};
pub use values::Values;

use std::fmt;

/// A problem in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// File that the document was read from.
    pub file: String,
    /// Line, counted from 1; 0 if unknown.
    pub line: usize,
    /// Path of the key, such as `spec.share`.
    pub key: String,
    /// Description of the problem.
    pub problem: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl Finding {
    /// Creates a finding. `line` is counted from 1, and 0 if unknown.
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
