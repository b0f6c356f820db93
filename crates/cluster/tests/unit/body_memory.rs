//! Guards against bodies that exceed the memory of an edge, against large bodies that keep small
//! ones out, and against a body that is never admitted.

use super::{BodyMemory, Claim, Claims, SMALL_BODY_BYTES, make_room};
use rstest::rstest;
use std::rc::Rc;

const MB: u64 = 1_000_000;
/// Bound on claims; large bodies may use 28 MB of it.
const MAX: u64 = 32 * MB;
const NOW: u64 = 10_000;

fn arriving(bytes: u64) -> Claim {
    stalled_since(bytes, NOW)
}

fn stalled_since(bytes: u64, at: u64) -> Claim {
    Claim {
        bytes,
        progress_at: Some(at),
    }
}

fn complete(bytes: u64) -> Claim {
    Claim {
        bytes,
        progress_at: None,
    }
}

/// Claims that are numbered from 1.
fn claims(list: &[Claim]) -> Claims {
    (1..).zip(list.iter().copied()).collect()
}

#[rstest]
#[case::that_fits(&[arriving(12 * MB)], 16 * MB, Some(vec![]))]
#[case::that_does_not_fit(&[arriving(16 * MB)], 16 * MB, None)]
#[case::beside_complete_ones(&[complete(16 * MB)], 16 * MB, None)]
#[case::larger_than_the_bound(&[], 40 * MB, Some(vec![]))]
#[case::larger_than_the_bound_beside_small_ones(&[arriving(SMALL_BODY_BYTES); 4], 40 * MB, Some(vec![]))]
#[case::beside_a_stalled_one(&[stalled_since(16 * MB, 9_000)], 16 * MB, Some(vec![1]))]
#[case::beside_one_that_rests_shortly(&[stalled_since(16 * MB, 9_001)], 16 * MB, None)]
#[case::beside_several_stalled_ones(
    &[stalled_since(14 * MB, 8_000), stalled_since(14 * MB, 7_000)], 14 * MB, Some(vec![2])
)]
#[case::small(&[arriving(28 * MB)], SMALL_BODY_BYTES, Some(vec![]))]
#[case::small_beside_too_many(&[arriving(SMALL_BODY_BYTES); 487], SMALL_BODY_BYTES, Some(vec![]))]
#[case::small_beside_all_too_many(&[arriving(SMALL_BODY_BYTES); 488], SMALL_BODY_BYTES, None)]
fn a_new_body(#[case] others: &[Claim], #[case] bytes: u64, #[case] cut: Option<Vec<u64>>) {
    let others = claims(others);
    assert_eq!(make_room(&others, u64::MAX, bytes, NOW, MAX), cut);
}

/// Bodies of unknown length grow. Without a body that gives way, all would stop halfway.
#[rstest]
#[case::the_oldest_cuts_the_newest(1, Some(vec![3]))]
#[case::the_newest_gives_way(3, None)]
fn a_growing_body(#[case] number: u64, #[case] cut: Option<Vec<u64>>) {
    let claims = claims(&[arriving(9 * MB); 3]);
    assert_eq!(make_room(&claims, number, 18 * MB, NOW, MAX), cut);
}

#[rstest]
fn a_complete_body_is_never_cut() {
    let claims = claims(&[arriving(9 * MB), complete(18 * MB)]);
    assert_eq!(make_room(&claims, 1, 18 * MB, NOW, MAX), None);
}

#[rstest]
fn a_claim_ends_with_its_reservation() {
    let memory = Rc::new(BodyMemory::new(Some(96 * MB), 3));
    let first = memory.begin();
    assert!(first.claim(20 * MB, NOW));
    let second = memory.begin();
    assert!(!second.claim(20 * MB, NOW));
    first.complete(5 * MB);
    assert!(second.claim(20 * MB, NOW));
    assert_eq!(memory.claimed_bytes(), 25 * MB);
    drop(first);
    drop(second);
    assert_eq!(memory.claimed_bytes(), 0);
}

#[rstest]
#[tokio::test]
async fn a_body_that_is_cut_learns_it_and_cannot_claim_again() {
    let memory = Rc::new(BodyMemory::new(Some(96 * MB), 3));
    let stalled = memory.begin();
    assert!(stalled.claim(20 * MB, 0));
    let next = memory.begin();
    assert!(next.claim(20 * MB, NOW));
    stalled.cut().await;
    assert!(!stalled.claim(1, NOW));
    assert_eq!(memory.claimed_bytes(), 20 * MB);
}
