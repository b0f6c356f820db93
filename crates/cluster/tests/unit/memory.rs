//! Tests of the kernel's memory figures.

use super::ResidentMemory;
use rstest::rstest;

/// Guards against memory lines that are silently missing because the figures cannot be parsed.
#[rstest]
#[case::complete("Name:\tx\nVmHWM:\t  2048 kB\nVmRSS:\t  1024 kB\n", Some((1_024, 2_048)))]
#[case::no_peak("VmRSS:\t  1024 kB\n", None)]
#[case::no_number("VmHWM:\t x kB\nVmRSS:\t  1024 kB\n", None)]
fn figures_are_parsed(#[case] status: &str, #[case] expected: Option<(u64, u64)>) {
    let parsed = ResidentMemory::parse(status);
    let parsed = parsed.map(|memory| (memory.current_kb, memory.peak_kb));
    assert_eq!(parsed, expected);
}

/// Guards against a kernel whose figures are not read at all.
#[rstest]
fn this_process_has_figures() {
    let memory = ResidentMemory::read().expect("figures of this process");
    assert!(memory.peak_kb >= memory.current_kb);
}
