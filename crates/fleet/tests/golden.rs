//! Bytes of a view as the log keeps its copy, as an earlier build wrote them.

use brasspond_fleet::{FleetView, KeyDigest, Regions, RouteKind, ViewDelta};
use brasspond_golden::{Variants, check_values};
use rstest::rstest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::Path;

fn variants() -> Variants {
    Variants::default().with(&KeyDigest::of(b"key"))
}

#[rstest]
fn views() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/views.txt");
    check_values(file.as_ref(), &variants().of::<FleetView>());
}

#[rstest]
fn differences() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/differences.txt");
    check_values(file.as_ref(), &variants().of::<ViewDelta>());
}

/// Checks a value of each variant of a type against the type's file.
fn check<T: Serialize + DeserializeOwned>(name: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    check_values(&folder.join(format!("{name}.txt")), &variants().of::<T>());
}

/// Types within views: only the outermost has all its variants met above.
#[rstest]
fn parts_of_views() {
    check::<RouteKind>("route_kind");
    check::<Regions>("regions");
}
