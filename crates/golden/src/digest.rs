//! Digests of decision sequences.

use std::fmt::Debug;
use xxhash_rust::xxh3::Xxh3;

/// Digest of a sequence of decisions.
///
/// It covers the values in the `Debug` form of each decision: numbers without their signs, strings,
/// `true`, `false` and `None`. Names of types, variants and fields are left out, so that a rename
/// does not change the digest. The caller's tag distinguishes variants with the same values.
#[derive(Default)]
pub struct Digest {
    hash: Xxh3,
    decisions: u64,
}

impl Digest {
    /// Adds a decision.
    pub fn add(&mut self, tag: u8, decision: &impl Debug) {
        self.add_bytes(tag, debug_values(&format!("{decision:?}")).as_bytes());
    }

    /// Adds a decision in its encoded form.
    pub fn add_bytes(&mut self, tag: u8, bytes: &[u8]) {
        self.decisions += 1;
        self.hash.update(&[tag]);
        self.hash.update(bytes);
    }

    /// Returns the number of decisions and their digest in hexadecimal.
    pub fn line(&self) -> String {
        format!("{} {:016x}", self.decisions, self.hash.digest())
    }
}

/// Returns the values in a `Debug` form, each followed by a space.
fn debug_values(text: &str) -> String {
    let mut found = String::new();
    let mut rest = text;
    while let Some(first) = rest.chars().next() {
        let length = token_length(rest, first);
        let (token, after) = rest.split_at(length);
        let is_word = first.is_alphabetic() || first == '_';
        let is_value = matches!(token, "true" | "false" | "None");
        let is_number_or_text = first == '"' || first.is_ascii_digit();
        if is_number_or_text || (is_word && is_value) {
            found.push_str(token);
            found.push(' ');
        }
        rest = after;
    }
    found
}

/// Length in bytes of the word, number, string or single other character at the beginning of a
/// text.
fn token_length(text: &str, first: char) -> usize {
    if first == '"' {
        return string_length(text);
    }
    let is_word_char = |c: char| c.is_alphanumeric() || c == '_' || c == '.';
    if !is_word_char(first) {
        return first.len_utf8();
    }
    text.find(|c: char| !is_word_char(c)).unwrap_or(text.len())
}

/// Length in bytes of the quoted string at the beginning of a text, with its quotes.
fn string_length(text: &str) -> usize {
    let mut is_escaped = false;
    for (offset, c) in text.char_indices().skip(1) {
        match c {
            '\\' if !is_escaped => is_escaped = true,
            '"' if !is_escaped => return offset + 1,
            _ => is_escaped = false,
        }
    }
    text.len()
}
