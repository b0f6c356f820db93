//! Guards against timelines that omit lines or state a wrong outcome.

use brasspond_telemetry::Timeline;
use rstest::rstest;

const EDGE: &str = "\
2026-01-01T00:00:01.5Z [INFO] event=attempt_failed request=r1 route=x attempt=1 replica=i-1 outcome=full left_ms=900
2026-01-01T00:00:01.55Z [INFO] event=request_failed request=r1 route=x attempts=1 may_have_run=false late=false ready_replicas=0
2026-01-01T00:00:02Z [INFO] event=request_answered request=r2 route=x replica=i-2 attempt=1 status=200 elapsed_ms=31
2026-01-01T00:00:02.5Z [INFO] event=request_denied request=r3 path=/x reason=key_unknown configuration=7 cut_off=false
2026-01-01T00:00:02.6Z [INFO] event=attempt_failed request=r4 route=x attempt=1 replica=i-5 outcome=may_have_run cause=broken content=0a1b left_ms=900
2026-01-01T00:00:02.62Z [INFO] event=replica_looked_at replica=i-5 request=r4 content=0a1b ended=true seen=refused
2026-01-01T00:00:02.64Z [INFO] event=request_failed request=r5 route=x content=0a1b attempts=1 offers=0 quarantined=true may_have_run=false late=false ready_replicas=3
2026-01-01T00:00:02.7Z [INFO] event=request_overloaded request=r6 route=x service=s left_ms=700
2026-01-01T00:00:02.7Z [INFO] event=request_failed request=r6 route=x attempts=1 offers=0 may_have_run=false late=false ready_replicas=3
2026-01-01T00:00:02.8Z [INFO] event=request_hedged request=r7 route=x first=i-1 second=i-2 delay_ms=75 left_ms=1425
2026-01-01T00:00:02.84Z [INFO] event=hedge_ended request=r7 winner=second second=i-2 hedge_ms=40 left_ms=1385
2026-01-01T00:00:02.84Z [INFO] event=request_answered request=r7 route=x replica=i-2 attempt=2 status=200 elapsed_ms=115
noise that is no event
2026-01-01T00:00:03Z [INFO] event=leader_silent
";
const LEADER: &str = "\
2026-01-01T00:00:02.1Z [INFO] event=run_started job=j item=a attempt=2.1 replica=i-3 waited_ms=40
2026-01-01T00:00:03.5Z [INFO] event=run_moved job=j item=a attempt=2.1 replica=i-3 reason=stalled events=4
2026-01-01T00:00:04Z [INFO] event=run_ended job=j item=a attempt=2.2 replica=i-4 end=whole events=9
2026-01-01T00:00:05Z [INFO] event=run_started job=k item=b attempt=2.3 replica=i-3 waited_ms=0
2026-01-01T00:00:06Z [INFO] event=run_ended job=k item=b attempt=2.3 replica=i-3 end=whole events=5
2026-01-01T00:00:07Z [INFO] event=scoring_ended job=k item=b attempt=2.3 edge=e-1 end=unanswered elapsed_ms=1004
2026-01-01T00:00:07.2Z [INFO] event=scoring_ordered job=k item=b attempt=2.4 edge=e-2 request=r9
2026-01-01T00:00:07.3Z [INFO] event=scoring_ended job=k item=b attempt=2.4 edge=e-2 end=scored elapsed_ms=28
2026-01-01T00:00:02.63Z [INFO] event=content_known content=0a1b ends=3 held=true
2026-01-01T00:00:08Z [INFO] event=usage_closed window=356900580 late_ms=501 edges=68
2026-01-01T00:00:08.2Z [INFO] event=usage_sent window=356900580 requests=42 fence=2 answer=Unknown elapsed_ms=700
2026-01-01T00:00:09Z [INFO] event=usage_sent window=356900580 requests=42 fence=2 answer=Done elapsed_ms=14
";

fn timeline(id: &str) -> Vec<String> {
    let mut timeline = Timeline::of(id);
    timeline
        .read("edge", EDGE.as_bytes(), |_| {})
        .expect("reads");
    timeline
        .read("leader", LEADER.as_bytes(), |_| {})
        .expect("reads");
    timeline.into_lines()
}

#[rstest]
#[case::refused("r1", "not run: no replica was ready; failed attempts: full at i-1")]
#[case::answered("r2", "answered with 200 by i-2 after 31 ms; no attempt failed")]
#[case::denied(
    "r3",
    "turned away for its key: key_unknown by configuration 7, cut off: false"
)]
#[case::quarantined(
    "r5",
    "not run: replicas ended under its content 0a1b, which is held; no attempt failed"
)]
#[case::overloaded(
    "r6",
    "refused at once: no replica was expected to answer within 700 ms; no attempt failed"
)]
#[case::hedged(
    "r7",
    "answered with 200 by i-2 after 115 ms; no attempt failed; hedged at i-2, winner: second"
)]
#[case::content(
    "0a1b",
    "1 replicas ended under it; 1 requests turned away; held in the end"
)]
#[case::usage_window(
    "356900580",
    "usage window of 42 requests, closed 501 ms after its end, sent 2 times: 1 Done, 1 Unknown"
)]
#[case::item(
    "a",
    "waited 40 ms for a place, 1 runs; 1 moved (stalled); 1 ended whole"
)]
#[case::item_that_waited_for_its_score(
    "b",
    "waited 0 ms for a place, 1 runs; 1 ended whole; 1 scorings ended scored; 1 scorings ended unanswered; the last took 28 ms; 1 ordered from other edges"
)]
#[case::job(
    "j",
    "1 runs ended whole; 1 runs moved (stalled); last start 40 ms after the job was known to the leader"
)]
fn last_line_states_the_outcome(#[case] id: &str, #[case] outcome: &str) {
    let lines = timeline(id);
    assert_eq!(
        lines.last().map(String::as_str),
        Some(format!("cause: {outcome}").as_str())
    );
}

#[rstest]
fn context_between_first_and_last_line_is_shown_in_order_of_time() {
    let lines = timeline("a");
    let events: Vec<&str> = lines
        .iter()
        .filter_map(|line| line.split("event=").nth(1)?.split(' ').next())
        .collect();
    assert_eq!(
        events,
        ["run_started", "leader_silent", "run_moved", "run_ended"]
    );
}

#[rstest]
fn id_without_lines_is_not_found() {
    let mut timeline = Timeline::of("nobody");
    timeline
        .read("edge", EDGE.as_bytes(), |_| {})
        .expect("reads");
    assert!(!timeline.found_id());
}
