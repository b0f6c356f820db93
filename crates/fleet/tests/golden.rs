//! Bytes of a view as the log keeps its copy, as an earlier build wrote them.

use brasspond_fleet::{FleetView, KeyDigest, Regions, RouteKind, ViewDelta};
use brasspond_golden::Variants;
use rstest::rstest;

/// Golden files of this package.
const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden");

fn variants() -> Variants {
    Variants::default().with(&KeyDigest::of(b"key"))
}

#[rstest]
fn views() {
    variants().check::<FleetView>(FOLDER, "views");
}

#[rstest]
fn differences() {
    variants().check::<ViewDelta>(FOLDER, "differences");
}

/// Types within views: only the outermost has all its variants met above.
#[rstest]
fn parts_of_views() {
    variants().check::<RouteKind>(FOLDER, "route_kind");
    variants().check::<Regions>(FOLDER, "regions");
}
