//! Digests of decisions.

use std::fmt::Debug;
use xxhash_rust::xxh3::Xxh3;

/// A digest of all that was decided in a play.
///
/// It goes over the values in the `Debug` form of each decision: numbers, strings, `true`,
/// `false` and `None`. Names of types, variants and fields are left out, so that a rename does
/// not change it; variants that hold the same values are told apart by the tag that the caller
/// gives.
#[derive(Default)]
pub struct Digest {
    hash: Xxh3,
    decisions: u64,
}

impl Digest {
    /// Adds a decision.
    pub fn add(&mut self, tag: u8, decision: &impl Debug) {
        self.add_bytes(tag, values(&format!("{decision:?}")).as_bytes());
    }

    /// Adds a decision that is known by its bytes.
    pub fn add_bytes(&mut self, tag: u8, bytes: &[u8]) {
        self.decisions += 1;
        self.hash.update(&[tag]);
        self.hash.update(bytes);
    }

    /// Number of decisions, and their digest.
    pub fn line(&self) -> String {
        format!("{} {:016x}", self.decisions, self.hash.digest())
    }
}

/// The values in a `Debug` form, separated by blanks.
fn values(text: &str) -> String {
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

/// Length in bytes of the word, number or string at the beginning of a text, or of one sign.
fn token_length(text: &str, first: char) -> usize {
    if first == '"' {
        return string_length(text);
    }
    let goes_on = |one: char| one.is_alphanumeric() || one == '_' || one == '.';
    if !goes_on(first) {
        return first.len_utf8();
    }
    text.find(|one: char| !goes_on(one)).unwrap_or(text.len())
}

/// Length in bytes of the quoted string at the beginning of a text.
fn string_length(text: &str) -> usize {
    let mut is_escaped = false;
    for (place, sign) in text.char_indices().skip(1) {
        match sign {
            '\\' if !is_escaped => is_escaped = true,
            '"' if !is_escaped => return place + 1,
            _ => is_escaped = false,
        }
    }
    text.len()
}
