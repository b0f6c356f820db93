//! Guards against one copy of a name per replica, and against names that are kept for good.

use super::*;
use rstest::rstest;

#[rstest]
fn equal_values_share_one_copy() {
    let one = shared_name("zone-a");
    assert!(Arc::ptr_eq(&one, &shared_name("zone-a")));
    assert!(!Arc::ptr_eq(&one, &shared_name("zone-b")));
}

#[rstest]
fn unused_values_are_dropped_and_used_ones_kept() {
    let mut shared = Shared::<str>::default();
    let used = shared.get("used");
    for number in 0..10 * MIN_PRUNED {
        shared.get(&format!("unused-{number}"));
    }
    assert!(shared.values.len() <= MIN_PRUNED);
    assert!(Arc::ptr_eq(&used, &shared.get("used")));
}
