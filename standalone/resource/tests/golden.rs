//! Bytes of the catalogue that a node keeps on its disk, as an earlier build wrote them.

use brasspond_golden::Variants;
use brasspond_resource::{Catalogue, Kind, MachineRole, Role, Spec, SwapPolicy};
use rstest::rstest;

/// Golden files of this package.
const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden");

fn variants() -> Variants {
    Variants::default()
}

#[rstest]
fn kept_catalogues() {
    variants().check::<Catalogue>(FOLDER, "catalogue");
}

/// Types within catalogues: only the outermost has all its variants met above.
#[rstest]
fn parts_of_catalogues() {
    variants().check::<Spec>(FOLDER, "spec");
    variants().check::<Kind>(FOLDER, "kind");
    variants().check::<SwapPolicy>(FOLDER, "swap_policy");
    variants().check::<Role>(FOLDER, "role");
    variants().check::<MachineRole>(FOLDER, "machine_role");
}
