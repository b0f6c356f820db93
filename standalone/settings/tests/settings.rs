//! Settings of a node: read, overridden, and refused with all findings at once.

use brasspond_settings::{Override, Settings};
use rstest::rstest;
use std::path::PathBuf;

/// A key file in a folder of its own, and settings that name it.
fn settings(extra: &str) -> (tempfile::TempDir, String) {
    let folder = tempfile::tempdir().expect("folder");
    let key: PathBuf = folder.path().join("peer.key");
    std::fs::write(&key, "ab".repeat(32)).expect("written");
    let text = format!(
        "name = \"node-1\"\nhttp = \"127.0.0.1:8080\"\npeers = \"127.0.0.1:7080\"\n\
         store = \"127.0.0.1:7000\"\nkey_files = [{key:?}]\n{extra}\
         [locality]\nregion = \"r\"\nzone = \"z\"\n"
    );
    (folder, text)
}

#[rstest]
fn a_whole_file_is_read() {
    let (_folder, text) = settings("");
    let settings = Settings::parse("node.toml", &text, &[]).expect("valid");
    assert_eq!(settings.name, "node-1");
    assert_eq!(settings.log_level, "info", "the default");
}

#[rstest]
fn the_command_line_goes_before_the_file() {
    let (_folder, text) = settings("");
    let given = Override {
        key: "limits.connections".to_string(),
        value: serde_json::json!(7),
    };
    let settings = Settings::parse("node.toml", &text, &[given]).expect("valid");
    assert_eq!(settings.limits.connections, 7);
}

/// Every mistake is told in one go, each with its key.
#[rstest]
fn all_findings_come_at_once() {
    let (_folder, text) = settings("log_level = \"loud\"\nunknown = 1\n");
    let text = text.replace("127.0.0.1:7000", "nowhere");
    let findings = Settings::parse("node.toml", &text, &[]).expect_err("refused");
    let told: Vec<String> = findings.iter().map(ToString::to_string).collect();
    for key in ["log_level", "unknown", "store"] {
        assert!(told.iter().any(|one| one.contains(key)), "{key}: {told:?}");
    }
}

#[rstest]
#[case::same_address("127.0.0.1:7080", "127.0.0.1:8080", "peers")]
#[case::no_key("peer.key", "missing.key", "key_files")]
fn what_cannot_work_is_refused(#[case] was: &str, #[case] is: &str, #[case] key: &str) {
    let (_folder, text) = settings("");
    let text = text.replace(was, is);
    let findings = Settings::parse("node.toml", &text, &[]).expect_err("refused");
    assert!(findings.iter().any(|one| one.to_string().contains(key)));
}
