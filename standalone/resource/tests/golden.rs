//! Bytes of the catalogue that a node keeps on its disk, as an earlier build wrote them.

use brasspond_golden::{Variants, check_values};
use brasspond_resource::{Catalogue, Kind, MachineRole, Role, Spec, SwapPolicy};
use rstest::rstest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::Path;

fn variants() -> Variants {
    Variants::default()
}

#[rstest]
fn kept_catalogues() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/catalogue.txt");
    check_values(file.as_ref(), &variants().of::<Catalogue>());
}

/// Checks a value of each variant of a type against the type's file.
fn check<T: Serialize + DeserializeOwned>(name: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    check_values(&folder.join(format!("{name}.txt")), &variants().of::<T>());
}

/// Types within catalogues: only the outermost has all its variants met above.
#[rstest]
fn parts_of_catalogues() {
    check::<Spec>("spec");
    check::<Kind>("kind");
    check::<SwapPolicy>("swap_policy");
    check::<Role>("role");
    check::<MachineRole>("machine_role");
}
