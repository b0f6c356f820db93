//! Answers to submissions of one id that arrive before the first of them is committed.

use super::fixture::{Member, in_event_loop, submit};
use brasspond_cluster_protocol::Answer;
use rstest::rstest;

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
