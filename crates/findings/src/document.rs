//! Parsed documents with the line of each key.

use crate::Finding;
use marked_yaml::types::Node;
use serde_json::Value;
use std::collections::BTreeMap;

/// A parsed document with the lines of its keys.
#[derive(Clone, Debug)]
pub struct Document {
    /// Name of the file for findings.
    pub file: String,
    /// Parsed content.
    pub value: Value,
    /// Line of each key by its path, counted from 1.
    lines: BTreeMap<String, usize>,
}

impl Document {
    /// Creates a document without line numbers, for example from a request body.
    pub fn without_lines(file: &str, value: Value) -> Self {
        Self {
            file: file.to_owned(),
            value,
            lines: BTreeMap::new(),
        }
    }

    /// Line of a key, or of its nearest ancestor with a known line; 0 if there is none.
    pub fn line(&self, key: &str) -> usize {
        let mut key = key;
        loop {
            if let Some(line) = self.lines.get(key) {
                return *line;
            }
            match key.rfind('.') {
                Some(dot) => key = &key[..dot],
                None => return self.lines.get("").copied().unwrap_or(0),
            }
        }
    }

    /// Creates a finding about `key` of this document.
    pub fn finding(&self, key: &str, problem: String, allowed: String) -> Finding {
        Finding::new(&self.file, self.line(key), key, problem, allowed)
    }
}

/// Creates the finding about a document that cannot be parsed.
fn parse_error(file: &str, line: usize, problem: String, allowed: &str) -> Finding {
    Finding::new(file, line, "(document)", problem, allowed)
}

/// Line that contains a byte offset, counted from 1.
fn line_of_offset(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().iter().take(offset);
    1 + before.filter(|byte| **byte == b'\n').count()
}

/// Joins a path and a key with a dot; the path of the document itself is empty.
pub(crate) fn join(parent: &str, key: &str) -> String {
    if parent.is_empty() {
        key.to_owned()
    } else {
        format!("{parent}.{key}")
    }
}

/// Parses TOML text.
///
/// # Errors
/// A finding with the message of the parser.
pub fn parse_toml(file: &str, text: &str) -> Result<Document, Vec<Finding>> {
    let fail = |offset: usize, message: &str| {
        let line = line_of_offset(text, offset);
        vec![parse_error(file, line, message.to_owned(), "TOML 1.0")]
    };
    let parsed = toml_edit::Document::parse(text)
        .map_err(|error| fail(error.span().map_or(0, |span| span.start), error.message()))?;
    let value: Value = toml::from_str(text).map_err(|error| fail(0, error.message()))?;
    let mut lines = BTreeMap::new();
    collect_toml_lines(text, "", parsed.as_item(), &mut lines);
    Ok(Document {
        file: file.to_owned(),
        value,
        lines,
    })
}

fn collect_toml_lines(
    text: &str,
    path: &str,
    item: &toml_edit::Item,
    lines: &mut BTreeMap<String, usize>,
) {
    if let Some(span) = item.span() {
        lines
            .entry(path.to_owned())
            .or_insert_with(|| line_of_offset(text, span.start));
    }
    if let Some(table) = item.as_table_like() {
        for (key, child) in table.iter() {
            let child_path = join(path, key);
            let key_span = table.key(key).and_then(|key| key.span());
            if let Some(span) = key_span {
                lines.insert(child_path.clone(), line_of_offset(text, span.start));
            }
            collect_toml_lines(text, &child_path, child, lines);
        }
    }
    if let Some(tables) = item.as_array_of_tables() {
        for (index, table) in tables.iter().enumerate() {
            let child = toml_edit::Item::Table(table.clone());
            collect_toml_lines(text, &join(path, &index.to_string()), &child, lines);
        }
    }
}

/// Parses YAML or JSON text. Lines that consist of `---` separate documents.
///
/// # Errors
/// A finding for each document that cannot be parsed.
pub fn parse_yaml(file: &str, text: &str) -> Result<Vec<Document>, Vec<Finding>> {
    let mut documents = Vec::new();
    let mut findings = Vec::new();
    for (first_line, part) in split_documents(text) {
        match parse_yaml_document(file, first_line, &part) {
            Ok(document) => documents.push(document),
            Err(finding) => findings.push(finding),
        }
    }
    if findings.is_empty() {
        Ok(documents)
    } else {
        Err(findings)
    }
}

/// Returns the documents in `text`, each with the number of lines before it. Documents that consist
/// of blank lines and comments are left out.
fn split_documents(text: &str) -> Vec<(usize, String)> {
    let mut parts = vec![(0, String::new())];
    for (index, line) in text.lines().enumerate() {
        if line.trim_end() == "---" {
            parts.push((index + 1, String::new()));
        } else if let Some((_, part)) = parts.last_mut() {
            part.push_str(line);
            part.push('\n');
        }
    }
    let has_content = |line: &str| !line.trim().is_empty() && !line.trim().starts_with('#');
    parts.retain(|(_, part)| part.lines().any(has_content));
    parts
}

fn parse_yaml_document(file: &str, first_line: usize, text: &str) -> Result<Document, Finding> {
    let fail = |line: usize, message: String| {
        parse_error(file, first_line + line, message, "one YAML or JSON mapping")
    };
    let value: Value = serde_norway::from_str(text).map_err(|error| {
        let line = error.location().map_or(1, |location| location.line());
        fail(line, error.to_string())
    })?;
    let marked = marked_yaml::parse_yaml(0, text).map_err(|error| fail(1, error.to_string()))?;
    let mut lines = BTreeMap::new();
    collect_yaml_lines(first_line, "", &marked, &mut lines);
    Ok(Document {
        file: file.to_owned(),
        value,
        lines,
    })
}

fn collect_yaml_lines(
    first_line: usize,
    path: &str,
    node: &Node,
    lines: &mut BTreeMap<String, usize>,
) {
    let start = node.span().start().map(|marker| marker.line());
    if let Some(line) = start {
        lines.entry(path.to_owned()).or_insert(first_line + line);
    }
    match node {
        Node::Scalar(_) => {}
        Node::Mapping(mapping) => {
            for (key, child) in mapping.iter() {
                let child_path = join(path, key.as_str());
                if let Some(marker) = key.span().start() {
                    lines.insert(child_path.clone(), first_line + marker.line());
                }
                collect_yaml_lines(first_line, &child_path, child, lines);
            }
        }
        Node::Sequence(sequence) => {
            for (index, child) in sequence.iter().enumerate() {
                let child_path = join(path, &index.to_string());
                collect_yaml_lines(first_line, &child_path, child, lines);
            }
        }
    }
}
