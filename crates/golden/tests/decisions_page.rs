//! `docs/DECISIONS.md` names what exists: constants, files and log events.

use brasspond_golden::sources;
use rstest::rstest;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &Path) -> String {
    let text = std::fs::read_to_string(path);
    text.unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// What stands between backquotes on the page.
fn quoted(page: &str) -> Vec<&str> {
    page.split('`').skip(1).step_by(2).collect()
}

fn is_constant(name: &str) -> bool {
    let is_sign = |sign: char| sign.is_ascii_uppercase() || sign.is_ascii_digit() || sign == '_';
    name.len() > 3 && name.chars().all(is_sign)
}

#[rstest]
fn constants_exist() {
    let page = read(&root().join("docs/DECISIONS.md"));
    let sources = sources(&root().join("crates"));
    let code: String = sources.iter().map(|file| read(file)).collect();
    let names = quoted(&page).into_iter().filter(|name| is_constant(name));
    let lost = names.filter(|name| !code.contains(&format!("const {name}:")));
    let lost: Vec<&str> = lost.collect();
    assert!(lost.is_empty(), "no such constants: {lost:?}");
}

#[rstest]
fn files_exist() {
    let page = read(&root().join("docs/DECISIONS.md"));
    let sources = sources(&root().join("crates"));
    let exists = |name: &&str| sources.iter().any(|file| file.ends_with(Path::new(name)));
    let names = quoted(&page)
        .into_iter()
        .filter(|name| name.ends_with(".rs"));
    let lost: Vec<&str> = names.filter(|name| !exists(name)).collect();
    assert!(lost.is_empty(), "no such files: {lost:?}");
}

/// Names after "Log:" and in the tables are events, or keys of events in parentheses.
#[rstest]
fn events_exist() {
    let page = read(&root().join("docs/DECISIONS.md"));
    let events = read(&root().join("crates/telemetry/tests/golden/log_events.txt"));
    let known: Vec<&str> = events.split_whitespace().collect();
    let told = page.split("Log: ").skip(1).map(|rest| {
        let end = rest.find("\n\n").unwrap_or(rest.len());
        &rest[..end]
    });
    let lost: Vec<&str> = told
        .flat_map(quoted)
        .filter(|name| !known.contains(name))
        .collect();
    assert!(lost.is_empty(), "no such events or keys: {lost:?}");
}
