//! Sealed messages: opened by whoever shares a key, by nobody else.

use brasspond_protocol::{
    CodecError, Envelope, KEY_BYTES, PROTOCOL_VERSION, PeerMessage, Sealer, Sender, Summary,
};
use brasspond_resource::Revision;
use brasspond_types::NodeName;
use proptest::prelude::*;
use rstest::rstest;

const OLD: [u8; KEY_BYTES] = [1; KEY_BYTES];
const NEW: [u8; KEY_BYTES] = [2; KEY_BYTES];

fn envelope(version: u16) -> Envelope {
    Envelope {
        version,
        sender: Sender {
            node: NodeName::new("node-1"),
            instance: 7,
            address: None,
        },
        revision: Revision(42),
        message: PeerMessage::Summary(Summary {
            made: 3,
            nodes: 5,
            ..Summary::default()
        }),
    }
}

#[rstest]
fn a_message_comes_back_as_it_was() {
    let sealer = Sealer::new(vec![OLD]);
    let sealed = sealer.seal(&envelope(PROTOCOL_VERSION)).expect("sealed");
    assert_eq!(
        sealer.open(&sealed).expect("opened"),
        envelope(PROTOCOL_VERSION)
    );
}

/// Each step of a rotation: what either side seals, the other opens.
#[rstest]
#[case::added_behind(vec![OLD], vec![OLD, NEW])]
#[case::moved_to_front(vec![OLD, NEW], vec![NEW, OLD])]
#[case::old_taken_away(vec![NEW, OLD], vec![NEW])]
fn keys_are_rotated_without_a_stop(
    #[case] before: Vec<[u8; KEY_BYTES]>,
    #[case] after: Vec<[u8; KEY_BYTES]>,
) {
    let (before, after) = (Sealer::new(before), Sealer::new(after));
    let message = envelope(PROTOCOL_VERSION);
    assert!(after.open(&before.seal(&message).expect("sealed")).is_ok());
    assert!(before.open(&after.seal(&message).expect("sealed")).is_ok());
}

#[rstest]
fn another_key_opens_nothing() {
    let sealed = Sealer::new(vec![OLD]).seal(&envelope(PROTOCOL_VERSION));
    let opened = Sealer::new(vec![NEW]).open(&sealed.expect("sealed"));
    assert!(matches!(opened, Err(CodecError::Seal)), "{opened:?}");
}

/// Two releases run side by side in a rolling restart, three do not.
#[rstest]
#[case::next(PROTOCOL_VERSION + 1, true)]
#[case::after_next(PROTOCOL_VERSION + 2, false)]
fn only_the_neighbouring_version_is_understood(#[case] version: u16, #[case] is_read: bool) {
    let sealer = Sealer::new(vec![OLD]);
    let sealed = sealer.seal(&envelope(version)).expect("sealed");
    assert_eq!(sealer.open(&sealed).is_ok(), is_read);
}

proptest! {
    /// A changed byte is noticed wherever it stands.
    #[test]
    fn a_changed_byte_is_noticed(place in any::<prop::sample::Index>(), change in 1_u8..) {
        let sealer = Sealer::new(vec![OLD]);
        let mut sealed = sealer.seal(&envelope(PROTOCOL_VERSION)).expect("sealed");
        let place = place.index(sealed.len());
        sealed[place] ^= change;
        prop_assert!(sealer.open(&sealed).is_err());
    }

    /// Bytes of any kind are refused, never a panic.
    #[test]
    fn any_bytes_are_refused(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        prop_assert!(Sealer::new(vec![OLD]).open(&bytes).is_err());
    }
}
