//! Typed access to the values of a parsed YAML document by path, which collects findings.

use crate::Finding;
use serde_norway::Value;
use std::net::SocketAddr;
use std::sync::Arc;

/// A document whose values are read by path (keys joined by dots). Findings have no line numbers.
pub struct Values<'a> {
    file: &'a str,
    document: &'a Value,
    findings: Vec<Finding>,
}

impl<'a> Values<'a> {
    /// Wraps a document; findings name `file`.
    pub fn new(file: &'a str, document: &'a Value) -> Self {
        Self {
            file,
            document,
            findings: Vec::new(),
        }
    }

    /// Returns `built`, the result of reading the values.
    ///
    /// # Errors
    /// All findings, if there are any or `built` is `None`.
    pub fn finish<T>(self, built: Option<T>) -> Result<T, Vec<Finding>> {
        match built {
            Some(built) if self.findings.is_empty() => Ok(built),
            _ => Err(self.findings),
        }
    }

    /// The value at a path; reports a finding if it is missing or null.
    pub fn find(&mut self, path: &str) -> Option<&'a Value> {
        let found = self.find_optional(path);
        self.checked(path, found, "is missing", "a value")
    }

    /// The value at a path; `None` if it is missing or null.
    pub fn find_optional(&self, path: &str) -> Option<&'a Value> {
        let mut value = self.document;
        for key in path.split('.') {
            value = value.get(key)?;
        }
        (!value.is_null()).then_some(value)
    }

    /// Returns `value`; reports a finding about `key` if it is `None`.
    pub fn checked<T>(
        &mut self,
        key: &str,
        value: Option<T>,
        problem: &str,
        allowed: &str,
    ) -> Option<T> {
        if value.is_none() {
            let finding = Finding::new(self.file, 0, key, problem, allowed);
            self.findings.push(finding);
        }
        value
    }

    /// A text; reports a finding if it is missing or not text.
    pub fn text(&mut self, path: &str) -> Option<String> {
        let text = self.find(path)?.as_str().map(str::to_string);
        self.checked(path, text, "is not text", "text")
    }

    /// A text; `None` if it is missing or not text.
    pub fn optional_text(&self, path: &str) -> Option<Arc<str>> {
        let text = self.find_optional(path).and_then(Value::as_str);
        text.map(Arc::from)
    }

    /// The texts in a list; empty if there is no list. Other values in the list are skipped.
    pub fn texts(&self, path: &str) -> Vec<String> {
        let list = self.find_optional(path).and_then(Value::as_sequence);
        let list = list.map(|list| list.iter().filter_map(Value::as_str));
        list.map_or_else(Vec::new, |texts| texts.map(str::to_string).collect())
    }

    /// A text parsed as `T`; reports a finding if it is missing or invalid.
    pub fn parsed<T: std::str::FromStr>(&mut self, path: &str, allowed: &str) -> Option<T> {
        let text = self.text(path)?;
        let parsed = text.parse().ok();
        self.checked(path, parsed, &format!("{text} cannot be parsed"), allowed)
    }

    /// An IP address with a port; reports a finding if it is missing or invalid.
    pub fn address(&mut self, path: &str) -> Option<SocketAddr> {
        self.parsed(path, "an address with a port")
    }

    /// A whole number; `None` if it is missing. Reports a finding if the value is invalid.
    pub fn number(&mut self, path: &str) -> Option<u64> {
        let number = self.find_optional(path)?.as_u64();
        let (problem, allowed) = ("is not a whole number", "a whole number, 0 or more");
        self.checked(path, number, problem, allowed)
    }

    /// A number of seconds, returned in milliseconds; `None` if it is missing. Reports a finding if
    /// the value is invalid.
    pub fn seconds(&mut self, path: &str) -> Option<u64> {
        let seconds = self.find_optional(path)?.as_f64();
        let ms = seconds
            .filter(|seconds| *seconds >= 0.0)
            .map(|seconds| (seconds * 1_000.0) as u64);
        self.checked(
            path,
            ms,
            "is not a number of seconds",
            "a number, 0 or more",
        )
    }

    /// A flag; false if it is missing or not a boolean.
    pub fn flag(&mut self, path: &str) -> bool {
        self.find_optional(path)
            .and_then(Value::as_bool)
            .unwrap_or(false)
    }
}
