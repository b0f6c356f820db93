//! Splits the text of a JSON array or object into its parts without parsing the parts.
//!
//! A parser rejects the complete text at the first invalid byte. This module only tracks brackets,
//! strings and separators, so that each part can be parsed separately. Valid JSON is split into the
//! same parts as by a parser.

use crate::error::EntryError;
use serde::de::DeserializeOwned;

/// Returns the texts of an array's elements, or `None` if the text is not an array with balanced
/// brackets.
pub fn elements(text: &[u8]) -> Option<Vec<&[u8]>> {
    split(inside(text, b'[', b']')?, b',')
}

/// The members of an object, each with its name and the text of its value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members<'a>(Vec<(String, &'a [u8])>);

/// Returns the members of an object, or `None` if the text is not an object with balanced brackets.
/// Members with an invalid name are skipped.
pub fn members(text: &[u8]) -> Option<Members<'_>> {
    let parts = split(inside(text, b'{', b'}')?, b',')?;
    Some(Members(parts.into_iter().filter_map(member).collect()))
}

impl<'a> Members<'a> {
    /// Returns the text of a member's value, or `None` if there is no such member. If several
    /// members have the same name, the first is returned.
    pub fn get(&self, name: &str) -> Option<&'a [u8]> {
        let mut matching = self.0.iter().filter(|(other, _)| other == name);
        matching.next().map(|(_, text)| *text)
    }

    /// Parses a member's value.
    ///
    /// # Errors
    /// The member is missing, or its value is invalid JSON or has an unexpected type.
    pub fn read<T: DeserializeOwned>(&self, name: &str) -> Result<T, EntryError> {
        let text = self.get(name).ok_or_else(|| EntryError::missing(name))?;
        Ok(serde_json::from_slice(text)?)
    }

    /// Parses a member's value, or returns `default` if the member is missing.
    ///
    /// # Errors
    /// The value is invalid JSON or has an unexpected type.
    pub fn read_or<T: DeserializeOwned>(&self, name: &str, default: T) -> Result<T, EntryError> {
        match self.get(name) {
            Some(_) => self.read(name),
            None => Ok(default),
        }
    }
}

/// Returns the name and the text of the value of a member, or `None` if the name is invalid or no
/// colon follows it.
fn member(part: &[u8]) -> Option<(String, &[u8])> {
    let pieces = split(part, b':')?;
    let name = serde_json::from_slice(pieces.first()?).ok()?;
    let value = part.get(pieces[0].len() + 1..)?;
    Some((name, value.trim_ascii()))
}

/// Returns the text between the opening and the closing bracket, or `None` if either is missing.
fn inside(text: &[u8], open: u8, close: u8) -> Option<&[u8]> {
    let text = text.trim_ascii().strip_prefix(&[open])?;
    Some(text.strip_suffix(&[close])?.trim_ascii())
}

/// Splits a text at the separators outside brackets and strings. Returns `None` if brackets are
/// unbalanced or a string is not closed.
fn split(text: &[u8], separator: u8) -> Option<Vec<&[u8]>> {
    let mut parts = Vec::new();
    if text.is_empty() {
        return Some(parts);
    }
    let (mut start, mut depth) = (0, 0_usize);
    let (mut in_string, mut is_escaped) = (false, false);
    for (index, byte) in text.iter().enumerate() {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' => is_escaped = in_string,
            b'"' => in_string = !in_string,
            _ if in_string => {}
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.checked_sub(1)?,
            byte if *byte == separator && depth == 0 => {
                parts.push(&text[start..index]);
                start = index + 1;
            }
            _ => {}
        }
    }
    parts.push(&text[start..]);
    (depth == 0 && !in_string).then_some(parts)
}
