//! String literals in source files, which contain the names that other systems rely on.

use crate::{check_lines, is_writing, read};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Returns the texts of all string literals in the [`source_files`] of a folder. Escaped line
/// breaks are removed as by the compiler; other escape sequences stay.
///
/// # Panics
/// A folder or file cannot be read.
pub fn string_literals(folder: &Path) -> Vec<String> {
    let mut found = Vec::new();
    for file in source_files(folder) {
        let text = std::fs::read_to_string(&file).expect("a source file can be read");
        for start in literal_starts(&text) {
            found.push(literal_at(&text[start..]));
        }
    }
    found
}

/// Returns the string literals of one word, such as names of headers, fields, metrics, labels and
/// settings, sorted and without duplicates. Literals of one character and paths that begin with
/// `../` are left out.
///
/// # Panics
/// A folder or file cannot be read.
pub fn name_literals(folder: &Path) -> Vec<String> {
    let is_name_char = |c: char| c.is_ascii_alphanumeric() || "_-./{}".contains(c);
    let is_name = |text: &String| {
        let is_path = text.starts_with("../");
        text.len() > 1 && !is_path && text.chars().all(is_name_char)
    };
    let found = string_literals(folder).into_iter().filter(is_name);
    let found: BTreeSet<String> = found.collect();
    found.into_iter().collect()
}

/// Checks that each name in the golden file still occurs in the sources below a folder, as a
/// literal of one word or as a field of a serialized type. New names are allowed. If `GOLDEN_WRITE`
/// is set, writes the names to the golden file instead.
///
/// # Panics
/// A name is missing, or a file cannot be read or written.
pub fn check_names(file: &Path, folder: &Path) {
    let mut known: BTreeSet<String> = name_literals(folder).into_iter().collect();
    known.extend(serde_fields(folder));
    if is_writing() {
        let known: Vec<String> = known.into_iter().collect();
        check_lines(file, &known);
        return;
    }
    let expected = read(file);
    let missing = expected.lines().filter(|name| !known.contains(*name));
    let missing: Vec<&str> = missing.collect();
    assert!(
        missing.is_empty(),
        "{}: missing {missing:?}",
        file.display()
    );
}

/// Returns the names of the fields of all types that derive `Serialize` or `Deserialize`.
fn serde_fields(folder: &Path) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for file in source_files(folder) {
        let text = std::fs::read_to_string(&file).expect("a source file can be read");
        let types = text.split("#[derive(").skip(1);
        let types = types.filter(|item| {
            let traits = item.split(')').next().unwrap_or("");
            traits.contains("Deserialize") || traits.contains("Serialize")
        });
        for item in types {
            let body = item.split("\n}").next().unwrap_or("");
            let lines = body.lines().map(str::trim_start);
            let lines = lines.filter(|line| !line.starts_with("//"));
            let named = lines.filter_map(|line| line.split_once(": "));
            let named = named.map(|(name, _)| name.trim_start_matches("pub(crate) "));
            let named = named.map(|name| name.trim_start_matches("pub "));
            let is_field = |name: &&str| name.chars().all(|c| c.is_ascii_lowercase() || c == '_');
            found.extend(named.filter(is_field).map(str::to_string));
        }
    }
    found
}

/// Returns the `.rs` files below a folder, sorted, without those in folders named `tests` or
/// `target`.
///
/// # Panics
/// A folder cannot be read.
pub fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    let entries = std::fs::read_dir(folder).expect("a source folder can be read");
    for entry in entries {
        let path = entry.expect("an entry can be read").path();
        let is_excluded = path.ends_with("tests") || path.ends_with("target");
        if path.is_dir() && !is_excluded {
            found.extend(source_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
    found.sort();
    found
}

/// Byte offsets at which the contents of string literals begin. Line comments are skipped.
fn literal_starts(text: &str) -> Vec<usize> {
    let bytes = text.as_bytes();
    let mut starts = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let rest = &bytes[offset..];
        if rest.starts_with(b"//") {
            offset += rest
                .iter()
                .position(|byte| *byte == b'\n')
                .unwrap_or(rest.len());
        } else if rest.starts_with(b"'\"'") || rest.starts_with(b"'\\'") {
            offset += 3;
        } else if rest[0] == b'"' {
            starts.push(offset + 1);
            offset += 2 + raw_length(&rest[1..]);
        } else {
            offset += 1;
        }
    }
    starts
}

/// Length in bytes of the source text of a literal, without its quotes.
fn raw_length(bytes: &[u8]) -> usize {
    let mut offset = 0;
    while offset < bytes.len() && bytes[offset] != b'"' {
        offset += if bytes[offset] == b'\\' { 2 } else { 1 };
    }
    offset
}

/// The text of the literal whose contents begin at the start of `text`.
fn literal_at(text: &str) -> String {
    let raw = &text[..raw_length(text.as_bytes())];
    let mut unescaped = String::new();
    let mut lines = raw.lines().peekable();
    while let Some(line) = lines.next() {
        let continues = line.ends_with('\\') && lines.peek().is_some();
        unescaped.push_str(if continues {
            &line[..line.len() - 1]
        } else {
            line
        });
        if continues && let Some(next) = lines.peek_mut() {
            *next = next.trim_start();
        }
    }
    unescaped
}
