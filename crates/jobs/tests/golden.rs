//! Bytes of commands and snapshots of the log, as an earlier build wrote them.

use brasspond_golden::{Variants, check_lines, check_values, to_hex};
use brasspond_jobs::{Command, JobTable, Outcome, Page};
use brasspond_metering::UsageCommand;
use brasspond_quarantine::{Change, Content, Fingerprint};
use bytes::Bytes;
use rstest::rstest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::Path;

fn variants() -> Variants {
    Variants::default().with(&Fingerprint::of(&Content {
        method: "POST",
        host: "host",
        path: "/",
        tenant: None,
        body: b"body",
    }))
}

#[rstest]
fn commands() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/commands.txt");
    check_values(file.as_ref(), &variants().of::<Command>());
}

/// Commands as entries of the log hold them: packed where that is shorter.
#[rstest]
fn entries() {
    let long = Command::Remember {
        revision: 7,
        view: Bytes::from(vec![1; 4_000]),
    };
    let mut commands = variants().of::<Command>();
    commands.push(long);
    let encoded = commands.iter().map(|one| one.encode().expect("encoded"));
    let encoded: Vec<Bytes> = encoded.collect();
    let lines: Vec<String> = encoded.iter().map(|bytes| to_hex(bytes)).collect();
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/entries.txt");
    check_lines(file.as_ref(), &lines);
    for (command, bytes) in commands.iter().zip(&encoded) {
        assert_eq!(&Command::decode(bytes).expect("decoded"), command);
    }
}

#[rstest]
fn snapshots() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/snapshots.txt");
    check_values(file.as_ref(), &variants().of::<JobTable>());
}

#[rstest]
fn pages() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/pages.txt");
    check_values(file.as_ref(), &variants().of::<Page>());
}

/// Checks a value of each variant of a type against the type's file.
fn check<T: Serialize + DeserializeOwned>(name: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    check_values(&folder.join(format!("{name}.txt")), &variants().of::<T>());
}

/// Types within commands: only the outermost has all its variants met above.
#[rstest]
fn parts_of_commands() {
    check::<Outcome>("outcome");
    check::<UsageCommand>("usage_command");
    check::<Change>("quarantine_change");
}
