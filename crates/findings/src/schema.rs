//! Schemas: the allowed fields of a document, and validation against them.

use crate::document::join;
use crate::{Document, Finding};
use serde_json::{Map, Value};
use std::net::SocketAddr;

/// Kind of values that a field accepts.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Text of 1 to 253 characters of `a-z`, `0-9`, `-`, `.` and `_`.
    Name,
    /// Non-empty text.
    Text,
    /// An IP address and a port.
    Address,
    /// A whole number between two inclusive bounds.
    Integer(i64, i64),
    /// A number between two inclusive bounds.
    Number(f64, f64),
    /// `true` or `false`.
    Boolean,
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// A list of values of one kind.
    List(&'static Kind),
    /// A table with the listed fields.
    Table(&'static [Field]),
    /// Any mapping of text to text.
    Labels,
    /// Any value, without further checks.
    Any,
}

/// A field that a document may contain.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Key of the field in its table.
    pub name: &'static str,
    /// Kind of the allowed values.
    pub kind: Kind,
    /// Whether the field must be present.
    pub required: bool,
}

impl Field {
    /// Describes a required field.
    pub const fn required(name: &'static str, kind: Kind) -> Self {
        Self {
            name,
            kind,
            required: true,
        }
    }

    /// Describes an optional field.
    pub const fn optional(name: &'static str, kind: Kind) -> Self {
        Self {
            name,
            kind,
            required: false,
        }
    }
}

impl Kind {
    /// Returns the description of the allowed values that a finding contains.
    fn describe(&self) -> String {
        match self {
            Self::Name => "1 to 253 characters of a-z, 0-9, '-', '.', '_'".to_owned(),
            Self::Text => "text that is not empty".to_owned(),
            Self::Address => "an IP address and a port, such as 127.0.0.1:8080".to_owned(),
            Self::Integer(low, high) => format!("a whole number from {low} to {high}"),
            Self::Number(low, high) => format!("a number from {low} to {high}"),
            Self::Boolean => "true or false".to_owned(),
            Self::Choice(words) => format!("one of {}", words.join(", ")),
            Self::List(kind) => format!("a list of: {}", kind.describe()),
            Self::Table(fields) => format!("a table with {}", field_names(fields)),
            Self::Labels => "a mapping of text to text".to_owned(),
            Self::Any => "any value".to_owned(),
        }
    }

    /// Whether a value is allowed. The contents of lists and tables are checked separately.
    fn accepts(&self, value: &Value) -> bool {
        match self {
            Self::Name => value.as_str().is_some_and(is_name),
            Self::Text => value.as_str().is_some_and(|text| !text.is_empty()),
            Self::Address => value
                .as_str()
                .is_some_and(|text| text.parse::<SocketAddr>().is_ok()),
            Self::Integer(low, high) => value
                .as_i64()
                .is_some_and(|number| (*low..=*high).contains(&number)),
            Self::Number(low, high) => value
                .as_f64()
                .is_some_and(|number| (*low..=*high).contains(&number)),
            Self::Boolean => value.is_boolean(),
            Self::Choice(words) => value.as_str().is_some_and(|word| words.contains(&word)),
            Self::Labels => value
                .as_object()
                .is_some_and(|labels| labels.values().all(Value::is_string)),
            Self::List(_) => value.is_array(),
            Self::Table(_) => value.is_object(),
            Self::Any => true,
        }
    }
}

/// Whether text is a valid name. It may be as long as a host name: RFC 1035 allows 255 octets in
/// the encoded form, which is 253 characters of text.
fn is_name(text: &str) -> bool {
    const MAX_NAME_LENGTH: usize = 253;
    let allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-._".contains(&byte);
    !text.is_empty() && text.len() <= MAX_NAME_LENGTH && text.bytes().all(allowed)
}

fn field_names(fields: &[Field]) -> String {
    let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
    names.join(", ")
}

/// Checks `value`, which is at `path` in `document`, against the fields of a table. Returns all
/// findings.
pub fn check(document: &Document, path: &str, value: &Value, fields: &[Field]) -> Vec<Finding> {
    let mut findings = Vec::new();
    match value.as_object() {
        Some(table) => check_table(document, path, table, fields, &mut findings),
        None => {
            // Describing a table without fields gives the text before the names of the fields.
            let allowed = Kind::Table(&[]).describe() + &field_names(fields);
            findings.push(document.finding(path, "not a table".to_owned(), allowed));
        }
    }
    findings
}

fn check_table(
    document: &Document,
    path: &str,
    table: &Map<String, Value>,
    fields: &[Field],
    findings: &mut Vec<Finding>,
) {
    for key in table.keys() {
        if !fields.iter().any(|field| field.name == key) {
            let problem = "unknown key".to_owned();
            findings.push(document.finding(&join(path, key), problem, field_names(fields)));
        }
    }
    for field in fields {
        let key = join(path, field.name);
        let value = table.get(field.name).filter(|value| !value.is_null());
        match value {
            Some(value) => check_value(document, &key, value, &field.kind, findings),
            None if field.required => {
                let problem = "missing".to_owned();
                findings.push(document.finding(&key, problem, field.kind.describe()));
            }
            None => {}
        }
    }
}

fn check_value(
    document: &Document,
    key: &str,
    value: &Value,
    kind: &Kind,
    findings: &mut Vec<Finding>,
) {
    if !kind.accepts(value) {
        let problem = format!("{value} is not allowed");
        findings.push(document.finding(key, problem, kind.describe()));
        return;
    }
    match (kind, value) {
        (Kind::List(inner), Value::Array(items)) => {
            for (index, item) in items.iter().enumerate() {
                check_value(
                    document,
                    &join(key, &index.to_string()),
                    item,
                    inner,
                    findings,
                );
            }
        }
        (Kind::Table(fields), Value::Object(table)) => {
            check_table(document, key, table, fields, findings);
        }
        _ => {}
    }
}
