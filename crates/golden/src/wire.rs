//! Bytes that values are encoded to.

use crate::check_lines;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_reflection::{Samples, Tracer, TracerConfig};
use std::path::Path;

/// Finds a value of each variant of a type, with small contents, by decoding the type from
/// nothing until every variant was met.
pub struct Variants {
    tracer: Tracer,
    known: Samples,
}

impl Default for Variants {
    fn default() -> Self {
        Self {
            tracer: Tracer::new(TracerConfig::default()),
            known: Samples::new(),
        }
    }
}

impl Variants {
    /// Takes this value wherever one of its type occurs: for types that refuse small contents.
    ///
    /// # Panics
    /// The value cannot be encoded.
    pub fn with(mut self, value: &impl Serialize) -> Self {
        let traced = self.tracer.trace_value(&mut self.known, value);
        traced.unwrap_or_else(|error| panic!("{error}: {}", error.explanation()));
        self
    }

    /// The values.
    ///
    /// # Panics
    /// `T` cannot be traced.
    pub fn of<T: DeserializeOwned>(mut self) -> Vec<T> {
        let traced = self.tracer.trace_type::<T>(&self.known);
        let (_, values) = traced.unwrap_or_else(|error| panic!("{error}: {}", error.explanation()));
        values
    }

    /// Checks the values against the golden file `name` of a folder, see [`check_values`].
    ///
    /// # Panics
    /// As [`Self::of`] and [`check_values`] do.
    pub fn check<T: Serialize + DeserializeOwned>(self, folder: &str, name: &str) {
        let file = Path::new(folder).join(format!("{name}.txt"));
        check_values(&file, &self.of::<T>());
    }
}

/// Checks the MessagePack of values, a line each, against the golden file; the bytes in the file
/// must also be decoded and encoded again to the same bytes.
///
/// # Panics
/// One differs.
pub fn check_values<T: Serialize + DeserializeOwned>(file: &Path, values: &[T]) {
    let encoded = values.iter().map(|value| to_hex(&encode(value)));
    let mut lines: Vec<String> = encoded.collect();
    lines.dedup();
    check_lines(file, &lines);
    for line in &lines {
        let value: T = rmp_serde::from_slice(&from_hex(line)).expect("kept bytes are decoded");
        assert_eq!(&to_hex(&encode(&value)), line, "decoded and encoded again");
    }
}

/// Checks bytes against the golden file.
///
/// # Panics
/// They differ.
pub fn check_bytes(file: &Path, bytes: &[u8]) {
    check_lines(file, &[to_hex(bytes)]);
}

/// Bytes as hexadecimal digits.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    let digits = digits.map(|pair| std::str::from_utf8(pair).expect("hexadecimal digits"));
    let bytes = digits.map(|pair| u8::from_str_radix(pair, 16));
    bytes
        .map(|byte| byte.expect("hexadecimal digits"))
        .collect()
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("the value can be encoded")
}
