//! From when on a new leader uses the replicas that it knows.

use brasspond_cluster::platform::ReplicaListing;
use brasspond_cluster::storage::listing::FirstListing;
use rstest::rstest;

const BEGAN: u64 = 10_000;

fn listing(is_followed: bool, pages: u64) -> ReplicaListing {
    ReplicaListing { is_followed, pages }
}

#[rstest]
#[case::listed_since(true, 50, false)]
#[case::not_yet(false, 50, true)]
#[case::no_page_for_a_second(false, 1_000, false)]
fn the_listing_is_awaited(#[case] is_followed: bool, #[case] after: u64, #[case] expected: bool) {
    let mut first = FirstListing::new(listing(false, 7), BEGAN);
    assert!(first.is_awaited());
    let ends = first.observe(listing(is_followed, 7), BEGAN + after);
    assert_eq!((first.is_awaited(), ends), (expected, !expected));
}

/// Replicas that this process follows already are the source's: nothing is waited for.
#[rstest]
fn a_listing_from_before_is_not_awaited() {
    let mut first = FirstListing::new(listing(true, 7), BEGAN);
    assert!(!first.is_awaited());
    assert!(!first.observe(listing(true, 7), BEGAN), "it ended before");
}

/// A long listing is waited for while its pages come, but not for ever; it ends once.
#[rstest]
fn a_listing_that_goes_on_is_awaited_for_five_seconds() {
    let mut first = FirstListing::new(listing(false, 0), BEGAN);
    for page in 1..10 {
        assert!(!first.observe(listing(false, page), BEGAN + page * 500));
    }
    assert!(first.observe(listing(false, 10), BEGAN + 5_000));
    assert!(!first.observe(listing(true, 11), BEGAN + 5_100));
    assert!(!first.is_awaited(), "what was taken as known stays so");
}
