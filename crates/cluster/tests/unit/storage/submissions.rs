//! Answers to submissions of one id that arrive before the first of them is committed.

use super::fixture::{HOST, JOBS_PATH, Member, in_event_loop, submit};
use brasspond_cluster_protocol::Answer;
use brasspond_fleet::{Configuration, Limits, Regions, Route, RouteKind};
use rstest::rstest;
use std::sync::Arc;

/// Guards against a 202 to a tenant whose job was not accepted, since the id belongs to a job of
/// another tenant that was submitted at the same time.
#[rstest]
#[case::two_tenants(Some("first"), Some("second"), Answer::Taken)]
#[case::public_job_after_a_tenants(Some("first"), None, Answer::Taken)]
#[case::same_tenant(Some("first"), Some("first"), Answer::Done)]
#[case::after_a_public_job(None, Some("first"), Answer::Done)]
#[tokio::test]
async fn a_pending_id_is_acknowledged_to_its_tenant_only(
    #[case] first: Option<&str>,
    #[case] second: Option<&str>,
    #[case] expected: Answer,
) {
    in_event_loop(async {
        let mut member = Member::leader();
        member.ask(1, submit("job", first));
        member.ask(2, submit("job", second));
        member.commit();
        assert_eq!(member.replies(), [(1, Answer::Done), (2, expected)]);
    })
    .await;
}

/// Configuration whose jobs may be stored in a region without members only.
fn restricted_configuration() -> Configuration {
    let route = Route {
        name: "jobs".to_string(),
        host: HOST.to_string(),
        prefix: JOBS_PATH.to_string(),
        kind: RouteKind::Batch,
        timeout_ms: 1_000,
        objective_ms: 1_000,
        priority: 0,
        targets: Vec::new(),
        max_attempts: 1,
        resumable: false,
        single_version: false,
        max_queue_ms: 0,
        due_ms: 1_000,
        is_public: false,
        regions: Regions::only(["elsewhere"]),
    };
    Configuration {
        version: 1,
        routes: vec![route],
        services: Vec::new(),
        limits: Limits::default(),
        tenants: Vec::new(),
    }
}

/// Guards against a refusal, which says that no item of the job ever runs, while an earlier
/// submission of the job is not committed yet and may still be accepted.
#[tokio::test]
async fn a_pending_job_is_not_refused() {
    in_event_loop(async {
        let mut member = Member::leader();
        member.ask(1, submit("job", None));
        member.storage.view.configuration = Some(Arc::new(restricted_configuration()));
        member.ask(2, submit("job", None));
        member.ask(3, submit("other", None));
        member.turn();
        assert_eq!(member.replies(), [(3, Answer::OutsideRegions)]);
        member.commit();
        assert_eq!(member.replies(), [(1, Answer::Done), (2, Answer::Done)]);
    })
    .await;
}
