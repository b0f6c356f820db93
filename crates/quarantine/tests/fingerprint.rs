//! Contents are told apart by all that a replica sees of them, and by nothing else.

use brasspond_quarantine::{Content, Fingerprint};
use rstest::rstest;

const ASKED: Content<'static> = Content {
    method: "POST",
    host: "host.example",
    path: "/reads/x?y=1",
    tenant: Some("first"),
    body: b"a body",
};

#[rstest]
fn the_same_content_has_the_same_fingerprint() {
    let body = ASKED.body.to_vec();
    let again = Content {
        body: &body,
        ..ASKED
    };
    assert_eq!(Fingerprint::of(&ASKED), Fingerprint::of(&again));
}

#[rstest]
#[case::method(Content { method: "PUT", ..ASKED })]
#[case::host(Content { host: "other.example", ..ASKED })]
#[case::path(Content { path: "/reads/x?y=2", ..ASKED })]
#[case::tenant(Content { tenant: Some("second"), ..ASKED })]
#[case::no_tenant(Content { tenant: None, ..ASKED })]
#[case::body(Content { body: b"another body", ..ASKED })]
#[case::a_byte_from_one_part_in_the_next(
    Content { method: "POSTh", host: "ost.example", ..ASKED }
)]
fn another_content_has_another_fingerprint(#[case] other: Content<'static>) {
    assert_ne!(Fingerprint::of(&ASKED), Fingerprint::of(&other));
}
