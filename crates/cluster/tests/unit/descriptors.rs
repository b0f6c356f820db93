//! Guards against callers' connections that use up all descriptors of an edge, so that it answers
//! no readiness probe and reaches neither the store nor a replica.

use super::*;
use rstest::rstest;

#[rstest]
#[case::first(80, 3, false)]
#[case::last_unreserved(80, 69, false)]
#[case::first_reserved(80, 70, true)]
#[case::last(80, 79, true)]
#[case::beyond_the_limit(80, 80, false)]
#[case::no_limit(RawFd::MAX, 1_000_000, false)]
fn the_last_descriptors_are_reserved(
    #[case] max: RawFd,
    #[case] descriptor: RawFd,
    #[case] is_reserved: bool,
) {
    let limit = DescriptorLimit::new(max);
    assert_eq!(limit.is_reserved(descriptor), is_reserved);
}
