//! String literals of sources: names that outsiders rely on stand in them.

use crate::{check_lines, is_writing, read};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The text of all string literals in the `.rs` files below a folder; files below folders named
/// `tests` are left out. A line break that is escaped is left out as the compiler does.
///
/// # Panics
/// The folder cannot be read.
pub fn literals(folder: &Path) -> Vec<String> {
    let mut found = Vec::new();
    for file in sources(folder) {
        let text = std::fs::read_to_string(&file).expect("a source can be read");
        for line_start in code_starts(&text) {
            found.push(literal_at(&text[line_start..]));
        }
    }
    found
}

/// Literals that are one word: names of headers, fields, metrics, labels, settings.
///
/// # Panics
/// The folder cannot be read.
pub fn names(folder: &Path) -> Vec<String> {
    let is_sign = |sign: char| sign.is_ascii_alphanumeric() || "_-./{}".contains(sign);
    let is_name = |text: &String| {
        let is_path = text.starts_with("../");
        text.len() > 1 && !is_path && text.chars().all(is_sign)
    };
    let found = literals(folder).into_iter().filter(is_name);
    let found: BTreeSet<String> = found.collect();
    found.into_iter().collect()
}

/// Checks that no name of the golden file was lost: each still stands below a folder as a literal
/// of one word, or as a field of a type (whose name is the one on the wire where no other is
/// given). New ones may come.
///
/// # Panics
/// A name was lost, or a file cannot be read.
pub fn check_names(file: &Path, folder: &Path) {
    let mut known: BTreeSet<String> = names(folder).into_iter().collect();
    known.extend(fields(folder));
    if is_writing() {
        let known: Vec<String> = known.into_iter().collect();
        check_lines(file, &known);
        return;
    }
    let kept = read(file);
    let lost = kept.lines().filter(|name| !known.contains(*name));
    let lost: Vec<&str> = lost.collect();
    assert!(lost.is_empty(), "{}: lost {lost:?}", file.display());
}

/// Fields of types that are read from the wire, in whatever form.
fn fields(folder: &Path) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for file in sources(folder) {
        let text = std::fs::read_to_string(&file).expect("a source can be read");
        let types = text.split("#[derive(").skip(1);
        let types = types.filter(|one| {
            let traits = one.split(')').next().unwrap_or("");
            traits.contains("Deserialize") || traits.contains("Serialize")
        });
        for one in types {
            let body = one.split("\n}").next().unwrap_or("");
            let lines = body.lines().map(str::trim_start);
            let lines = lines.filter(|line| !line.starts_with("//"));
            let named = lines.filter_map(|line| line.split_once(": "));
            let named = named.map(|(name, _)| name.trim_start_matches("pub(crate) "));
            let named = named.map(|name| name.trim_start_matches("pub "));
            let is_field = |name: &&str| {
                name.chars()
                    .all(|sign| sign.is_ascii_lowercase() || sign == '_')
            };
            found.extend(named.filter(is_field).map(str::to_string));
        }
    }
    found
}

/// The `.rs` files below a folder, without folders named `tests` and `target`.
///
/// # Panics
/// The folder cannot be read.
pub fn sources(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    let entries = std::fs::read_dir(folder).expect("a folder of sources can be read");
    for entry in entries {
        let path = entry.expect("an entry can be read").path();
        let is_left_out = path.ends_with("tests") || path.ends_with("target");
        if path.is_dir() && !is_left_out {
            found.extend(sources(&path));
        } else if path.extension().is_some_and(|kind| kind == "rs") {
            found.push(path);
        }
    }
    found.sort();
    found
}

/// Where the contents of string literals begin, in bytes; comments hold none.
fn code_starts(text: &str) -> Vec<usize> {
    let bytes = text.as_bytes();
    let mut starts = Vec::new();
    let mut place = 0;
    while place < bytes.len() {
        let rest = &bytes[place..];
        if rest.starts_with(b"//") {
            place += rest
                .iter()
                .position(|byte| *byte == b'\n')
                .unwrap_or(rest.len());
        } else if rest.starts_with(b"'\"'") || rest.starts_with(b"'\\'") {
            place += 3;
        } else if rest[0] == b'"' {
            starts.push(place + 1);
            place += 2 + raw_length(&rest[1..]);
        } else {
            place += 1;
        }
    }
    starts
}

/// Length of a literal as it stands in the source, in bytes, without its quotes.
fn raw_length(bytes: &[u8]) -> usize {
    let mut place = 0;
    while place < bytes.len() && bytes[place] != b'"' {
        place += if bytes[place] == b'\\' { 2 } else { 1 };
    }
    place
}

fn literal_at(text: &str) -> String {
    let raw = &text[..raw_length(text.as_bytes())];
    let mut made = String::new();
    let mut lines = raw.lines().peekable();
    while let Some(line) = lines.next() {
        let goes_on = line.ends_with('\\') && lines.peek().is_some();
        made.push_str(if goes_on {
            &line[..line.len() - 1]
        } else {
            line
        });
        if goes_on && let Some(next) = lines.peek_mut() {
            *next = next.trim_start();
        }
    }
    made
}
