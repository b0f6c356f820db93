//! Values of a parsed document, read by their paths; what is wrong is collected.

use crate::Finding;
use serde_norway::Value;
use std::net::SocketAddr;
use std::sync::Arc;

/// A document whose values are read by their paths (keys joined by dots).
pub struct Values<'a> {
    file: &'a str,
    document: &'a Value,
    findings: Vec<Finding>,
}

impl<'a> Values<'a> {
    /// Of a document that was read from `file`, which findings name.
    pub fn new(file: &'a str, document: &'a Value) -> Self {
        Self {
            file,
            document,
            findings: Vec::new(),
        }
    }

    /// What was made of the values.
    ///
    /// # Errors
    /// All findings; also where nothing was made.
    pub fn finish<T>(self, made: Option<T>) -> Result<T, Vec<Finding>> {
        match made {
            Some(made) if self.findings.is_empty() => Ok(made),
            _ => Err(self.findings),
        }
    }

    /// The value at a path; reports a finding where there is none.
    pub fn find(&mut self, path: &str) -> Option<&'a Value> {
        let found = self.find_optional(path);
        self.checked(path, found, "is missing", "a value")
    }

    /// The value at a path; none also where it is null.
    pub fn find_optional(&self, path: &str) -> Option<&'a Value> {
        let mut value = self.document;
        for key in path.split('.') {
            value = value.get(key)?;
        }
        (!value.is_null()).then_some(value)
    }

    /// A value at a path; reports a finding where it could not be read.
    pub fn checked<T>(
        &mut self,
        key: &str,
        read: Option<T>,
        problem: &str,
        allowed: &str,
    ) -> Option<T> {
        if read.is_none() {
            let finding = Finding::new(self.file, 0, key, problem, allowed);
            self.findings.push(finding);
        }
        read
    }

    /// A text; reports a finding where there is none.
    pub fn text(&mut self, path: &str) -> Option<String> {
        let text = self.find(path)?.as_str().map(str::to_string);
        self.checked(path, text, "is no text", "a text")
    }

    /// A text, where there is one.
    pub fn optional_text(&self, path: &str) -> Option<Arc<str>> {
        let text = self.find_optional(path).and_then(Value::as_str);
        text.map(Arc::from)
    }

    /// The texts of a list; empty where there is none.
    pub fn texts(&self, path: &str) -> Vec<String> {
        let list = self.find_optional(path).and_then(Value::as_sequence);
        let list = list.map(|list| list.iter().filter_map(Value::as_str));
        list.map_or_else(Vec::new, |texts| texts.map(str::to_string).collect())
    }

    /// A text in the form of `T`; reports a finding where there is none.
    pub fn parsed<T: std::str::FromStr>(&mut self, path: &str, allowed: &str) -> Option<T> {
        let text = self.text(path)?;
        let parsed = text.parse().ok();
        self.checked(path, parsed, &format!("{text} cannot be read"), allowed)
    }

    /// An IP address with a port; reports a finding where there is none.
    pub fn address(&mut self, path: &str) -> Option<SocketAddr> {
        self.parsed(path, "an address with a port")
    }

    /// A whole number, where there is a value; reports a finding where that is none.
    pub fn number(&mut self, path: &str) -> Option<u64> {
        let number = self.find_optional(path)?.as_u64();
        let (problem, allowed) = ("is no whole number", "a whole number, 0 or more");
        self.checked(path, number, problem, allowed)
    }

    /// Milliseconds, of a number of seconds where there is a value; reports a finding where that is
    /// none.
    pub fn seconds(&mut self, path: &str) -> Option<u64> {
        let seconds = self.find_optional(path)?.as_f64();
        let ms = seconds
            .filter(|seconds| *seconds >= 0.0)
            .map(|seconds| (seconds * 1_000.0) as u64);
        self.checked(path, ms, "is no number of seconds", "a number, 0 or more")
    }

    /// A flag; false where there is none.
    pub fn flag(&mut self, path: &str) -> bool {
        self.find_optional(path)
            .and_then(Value::as_bool)
            .unwrap_or(false)
    }
}
