//! Objects are read by their fields' names alone.

use brasspond_entries::{Fields, read};
use rstest::rstest;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
struct Outer {
    number: u64,
    inner: Vec<Fields<Inner>>,
}

#[derive(Debug, Deserialize)]
struct Inner {
    text: String,
}

#[rstest]
#[case::an_array(r#"[1,[]]"#, "another type")]
#[case::an_array_within(r#"{"number":1,"inner":[["x"]]}"#, "another type")]
#[case::nothing("null", "another type")]
#[case::lacks_one(r#"{"number":1}"#, "missing field inner")]
#[case::lacks_one_within(r#"{"number":1,"inner":[{}]}"#, "missing field text")]
#[case::more_follows(r#"{"number":1,"inner":[]} {}"#, "no JSON")]
fn text_that_is_no_object_is_a_problem(#[case] text: &str, #[case] expected: &str) {
    let problem = read::<Outer>(text.as_bytes())
        .expect_err("no object")
        .to_string();
    assert!(problem.starts_with(expected), "{problem}");
}

#[rstest]
fn objects_are_read() {
    let outer: Outer = read(br#"{"number":1,"inner":[{"text":"x","more":2}]}"#).expect("read");
    assert_eq!((outer.number, outer.inner[0].0.text.as_str()), (1, "x"));
}
