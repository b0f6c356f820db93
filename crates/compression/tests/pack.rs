//! Guards against packed data that does not unpack to the original, and against panics on corrupt
//! data.

use brasspond_compression::{
    DEFLATED, PLAIN, StreamPacker, UnpackError, pack, set_packing_paused, stored_head, unpack,
    with_packing,
};
use bytes::Bytes;
use proptest::prelude::*;
use rstest::rstest;

const MAX_BYTES: usize = 1024 * 1024;

proptest! {
    #[test]
    fn packed_bytes_unpack_to_the_same(bytes in proptest::collection::vec(any::<u8>(), 0..4_000)) {
        let unpacked = unpack(pack(&bytes), MAX_BYTES).expect("unpacks");
        prop_assert_eq!(unpacked.as_ref(), bytes.as_slice());
    }

    #[test]
    fn pieces_unpack_to_their_concatenation(
        head in proptest::collection::vec(any::<u8>(), 0..200),
        pieces in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..3_000), 0..60),
    ) {
        let mut packer = StreamPacker::default();
        let mut whole = head.clone();
        for piece in &pieces {
            packer.push(piece).expect("compressed");
            whole.extend_from_slice(piece);
        }
        let mut packed = stored_head(&head);
        packed.extend_from_slice(&packer.finish().expect("compressed"));
        let unpacked = unpack(packed.into(), MAX_BYTES).expect("unpacks");
        prop_assert_eq!(unpacked.as_ref(), whole.as_slice());
    }

    #[test]
    fn no_bytes_cause_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = unpack(Bytes::from(bytes), MAX_BYTES);
    }

    #[test]
    fn text_is_compressed(text in "[a-z]{2000,3000}") {
        let packed = pack(text.as_bytes());
        prop_assert!(packed.len() * 10 < text.len() * 7, "{} of {}", packed.len(), text.len());
    }
}

#[rstest]
fn short_data_stays_uncompressed() {
    assert_eq!(pack(b"short").as_ref(), b"\0short");
    assert_eq!(pack(b"").as_ref(), [PLAIN]);
}

#[rstest]
fn corrupt_data_is_an_error() {
    let unpack_bytes = |bytes: &'static [u8]| unpack(Bytes::from_static(bytes), MAX_BYTES);
    assert!(matches!(unpack_bytes(b""), Err(UnpackError::Empty)));
    assert!(matches!(unpack_bytes(b"\x09x"), Err(UnpackError::Tag(9))));
    let truncated = pack(&[b'a'; 1_000]).slice(..6);
    assert_eq!(truncated[0], DEFLATED);
    assert!(matches!(
        unpack(truncated, MAX_BYTES),
        Err(UnpackError::Stream(_))
    ));
    let long = pack(&[b'a'; 1_000]);
    assert!(matches!(unpack(long, 999), Err(UnpackError::TooLong(999))));
}

/// Guards against compression while packing is paused, and against output that peers cannot unpack.
#[rstest]
fn paused_packing_leaves_data_uncompressed() {
    let bytes = vec![7; 4_000];
    set_packing_paused(true);
    let plain = pack(&bytes);
    set_packing_paused(false);
    assert_eq!(plain.len(), bytes.len() + 1);
    assert_eq!(unpack(plain, 4_000).expect("read"), bytes);
    assert!(pack(&bytes).len() < 100);
}

/// Data in `with_packing` is compressed even while packing is paused; the pause applies again
/// afterwards.
#[rstest]
#[case::paused(true)]
#[case::not_paused(false)]
fn with_packing_compresses_while_packing_is_paused(#[case] is_paused: bool) {
    let bytes = vec![7; 4_000];
    set_packing_paused(is_paused);
    let packed = with_packing(|| pack(&bytes));
    let after = pack(&bytes);
    set_packing_paused(false);
    assert!(packed.len() < 100, "{} bytes", packed.len());
    assert_eq!(after.len() == bytes.len() + 1, is_paused);
}
