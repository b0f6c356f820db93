//! How the bytes of a stream become events.

use super::{EventBuffer, LONGEST_EVENT};
use rstest::rstest;

fn buffer(bytes: &[u8]) -> EventBuffer {
    let mut buffer = EventBuffer::default();
    buffer.push(bytes);
    buffer
}

#[rstest]
fn events_are_taken_one_by_one_without_separators() {
    let mut buffer = buffer(b"id: 1\ndata: a\n\nid: 2\n\nid:");
    assert_eq!(buffer.take_event().as_deref(), Some(&b"id: 1\ndata: a"[..]));
    assert_eq!(buffer.take_event().as_deref(), Some(&b"id: 2"[..]));
    assert_eq!(buffer.take_event(), None);
    assert!(!buffer.is_empty());
    buffer.push(b" 3\n\n");
    assert_eq!(buffer.take_event().as_deref(), Some(&b"id: 3"[..]));
    assert!(buffer.is_empty());
}

#[rstest]
fn all_whole_events_are_taken_with_separators() {
    let mut buffer = buffer(b"id: 1\n\nid: 2\n\nid:");
    let events = buffer.take_all_events();
    assert_eq!(events.as_deref(), Some(&b"id: 1\n\nid: 2\n\n"[..]));
    assert_eq!(buffer.take_all_events(), None);
    buffer.clear();
    assert!(buffer.is_empty());
}

#[rstest]
fn an_event_may_be_as_long_as_the_limit() {
    let mut buffer = buffer(&vec![b'a'; LONGEST_EVENT]);
    assert!(!buffer.is_too_long());
    buffer.push(b"a");
    assert!(buffer.is_too_long());
}
