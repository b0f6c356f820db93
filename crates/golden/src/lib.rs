//! Comparison of what a test makes with what an earlier build made, kept in a file beside the
//! test ("golden file").
//!
//! Used by tests alone. It guards what other processes, older disks and operators rely on: bytes
//! on the wire and on disk, names of metrics and log events, decisions of the fuzzers. With
//! `GOLDEN_WRITE=1` in the environment a test writes its file instead; such a change of a
//! file belongs into the commit that meant it, with the reason.
#![forbid(unsafe_code)]

mod digest;
mod literals;
mod wire;

pub use digest::Digest;
pub use literals::{check_names, literals, names, sources};
pub use wire::{Variants, check_bytes, check_values, to_hex};

use std::path::Path;

/// Set in the environment to have golden files written.
const WRITE_VARIABLE: &str = "GOLDEN_WRITE";

/// Compares lines of text with the golden file `file`.
///
/// # Panics
/// They differ, or the file cannot be read.
pub fn check_lines(file: &Path, lines: &[String]) {
    let mut made = lines.join("\n");
    made.push('\n');
    if is_writing() {
        write(file, &made);
        return;
    }
    let kept = read(file);
    let differs = |(kept, made): &(&str, &str)| kept != made;
    let pairs = kept.lines().zip(made.lines()).enumerate();
    if let Some((number, (kept, made))) = pairs.into_iter().find(|(_, pair)| differs(pair)) {
        let line = number + 1;
        panic!("{}:{line}\n kept: {kept}\n made: {made}", file.display());
    }
    let counts = (kept.lines().count(), made.lines().count());
    assert_eq!(counts.0, counts.1, "lines in {}", file.display());
}

/// Whether golden files are written.
pub(crate) fn is_writing() -> bool {
    std::env::var_os(WRITE_VARIABLE).is_some()
}

/// The text of a golden file.
pub(crate) fn read(file: &Path) -> String {
    let kept = std::fs::read_to_string(file);
    kept.unwrap_or_else(|error| panic!("{}: {error}", file.display()))
}

fn write(file: &Path, text: &str) {
    let folder = file.parent().expect("a golden file lies in a folder");
    std::fs::create_dir_all(folder).expect("the folder of a golden file can be made");
    std::fs::write(file, text).expect("a golden file can be written");
}
