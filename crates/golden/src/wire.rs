//! Checks of the encoded bytes of values.

use crate::check_lines;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_reflection::{Samples, Tracer, TracerConfig};
use std::path::Path;

/// Generates one value of each variant of a type, with minimal contents. It traces the
/// deserialization of the type to find the variants.
pub struct Variants {
    tracer: Tracer,
    samples: Samples,
}

impl Default for Variants {
    fn default() -> Self {
        Self {
            tracer: Tracer::new(TracerConfig::default()),
            samples: Samples::new(),
        }
    }
}

impl Variants {
    /// Uses this value wherever its type occurs, for types that cannot be decoded from minimal
    /// contents.
    ///
    /// # Panics
    /// The value cannot be encoded.
    pub fn with(mut self, value: &impl Serialize) -> Self {
        let traced = self.tracer.trace_value(&mut self.samples, value);
        traced.unwrap_or_else(|error| panic!("{error}: {}", error.explanation()));
        self
    }

    /// Returns the generated values of `T`.
    ///
    /// # Panics
    /// `T` cannot be traced.
    pub fn of<T: DeserializeOwned>(mut self) -> Vec<T> {
        let traced = self.tracer.trace_type::<T>(&self.samples);
        let (_, values) = traced.unwrap_or_else(|error| panic!("{error}: {}", error.explanation()));
        values
    }

    /// Checks the values of `T` against the golden file `name` in a folder; see [`check_values`].
    ///
    /// # Panics
    /// See [`Self::of`] and [`check_values`].
    pub fn check<T: Serialize + DeserializeOwned>(self, folder: &str, name: &str) {
        let file = Path::new(folder).join(format!("{name}.txt"));
        check_values(&file, &self.of::<T>());
    }
}

/// Checks the MessagePack encoding of values, one per line, against the golden file. Decoding the
/// bytes and encoding the result must give the same bytes.
///
/// # Panics
/// The encoding of a value differs, or a value cannot be encoded or decoded. See also
/// [`check_lines`].
pub fn check_values<T: Serialize + DeserializeOwned>(file: &Path, values: &[T]) {
    let encoded = values.iter().map(|value| to_hex(&encode(value)));
    let mut lines: Vec<String> = encoded.collect();
    lines.dedup();
    check_lines(file, &lines);
    for line in &lines {
        let value: T = rmp_serde::from_slice(&from_hex(line)).expect("golden bytes can be decoded");
        assert_eq!(
            &to_hex(&encode(&value)),
            line,
            "bytes after decoding and encoding again"
        );
    }
}

/// Checks bytes against the golden file, as hexadecimal digits.
///
/// # Panics
/// See [`check_lines`].
pub fn check_bytes(file: &Path, bytes: &[u8]) {
    check_lines(file, &[to_hex(bytes)]);
}

/// Formats bytes as hexadecimal digits.
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
