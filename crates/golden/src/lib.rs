//! Golden files: comparison of the output of a test with a file that contains the expected output.
//!
//! Only tests use this crate. Golden files guard against unintended changes of data that other
//! processes, earlier data on disk and operators depend on: the encoding on the wire and on disk,
//! the names of metrics and log events, and the decisions of fuzz runs. If the environment variable
//! `GOLDEN_WRITE` is set, tests write their golden files instead of comparing them. Commit a
//! changed golden file together with the code that changes it, and state the reason.
#![forbid(unsafe_code)]

mod digest;
mod literals;
mod wire;

pub use digest::Digest;
pub use literals::{check_names, name_literals, source_files, string_literals};
pub use wire::{Variants, check_bytes, check_values, to_hex};

use std::path::Path;

/// Environment variable that makes tests write their golden files.
const WRITE_VARIABLE: &str = "GOLDEN_WRITE";

/// Compares lines of text with the golden file `file`. If `GOLDEN_WRITE` is set, writes them to the
/// file instead.
///
/// # Panics
/// The lines differ from those of the file, or the file cannot be read or written.
pub fn check_lines(file: &Path, lines: &[String]) {
    let mut actual = lines.join("\n");
    actual.push('\n');
    if is_writing() {
        write(file, &actual);
        return;
    }
    let expected = read(file);
    let differs = |(expected, actual): &(&str, &str)| expected != actual;
    let pairs = expected.lines().zip(actual.lines()).enumerate();
    if let Some((index, (expected, actual))) = pairs.into_iter().find(|(_, pair)| differs(pair)) {
        let line = index + 1;
        panic!(
            "{}:{line}\n expected: {expected}\n actual: {actual}",
            file.display()
        );
    }
    let counts = (expected.lines().count(), actual.lines().count());
    assert_eq!(counts.0, counts.1, "lines in {}", file.display());
}

/// Whether tests write their golden files instead of comparing them.
pub(crate) fn is_writing() -> bool {
    std::env::var_os(WRITE_VARIABLE).is_some()
}

/// Returns the text of a golden file.
pub(crate) fn read(file: &Path) -> String {
    let text = std::fs::read_to_string(file);
    text.unwrap_or_else(|error| panic!("{}: {error}", file.display()))
}

fn write(file: &Path, text: &str) {
    let folder = file.parent().expect("a golden file has a parent folder");
    std::fs::create_dir_all(folder).expect("the folder of a golden file can be created");
    std::fs::write(file, text).expect("a golden file can be written");
}
