//! Parsing of the load that replicas report.

use super::LoadReport;
use rstest::rstest;

/// Guards against rejecting a report of three numbers, and against a malformed or zero duration
/// that invalidates the rest or divides response times by zero.
#[rstest]
#[case::three_numbers("2,1,6", Some((3, None)))]
#[case::four_numbers("2, 1, 6, 250", Some((3, Some(2.5))))]
#[case::five_numbers("2,1,6,250,9", Some((3, Some(2.5))))]
#[case::no_slots("2,1", Some((3, None)))]
#[case::zero_duration("2,1,6,0", Some((3, None)))]
#[case::malformed_duration("2,1,6,fast", Some((3, None)))]
#[case::excessive_duration("2,1,6,4294967295", Some((3, Some(10.0))))]
#[case::tiny_duration("2,1,6,1", Some((3, Some(0.25))))]
#[case::overflow("4294967295,1,6", Some((u32::MAX, None)))]
#[case::missing("", None)]
#[case::one_number("2", None)]
#[case::malformed("2,x,6,100", None)]
fn reports_are_parsed(#[case] text: &str, #[case] expected: Option<(u32, Option<f64>)>) {
    let report = LoadReport::parse(text);
    assert_eq!(
        report.map(|report| (report.requests(), report.slowdown())),
        expected
    );
}
