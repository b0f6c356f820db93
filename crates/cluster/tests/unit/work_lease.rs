//! Leave to begin work ends by itself and is given by whoever knows the runs alone.

use super::{TELLING_TIME, WorkLease};
use brasspond_cluster_protocol::Registration;
use rstest::rstest;

fn known(telling: u64, until: u64) -> Option<Registration> {
    Some(Registration {
        telling,
        until: Some(until),
    })
}

#[rstest]
fn nothing_begins_before_a_leader_gave_leave_and_after_it_is_over() {
    let mut lease = WorkLease::default();
    assert!(!lease.allows(0));
    let telling = lease.tell(10);
    assert!(lease.renew(known(telling, 2_000), 20));
    assert!(lease.allows(1_999));
    assert!(!lease.allows(2_000));
}

/// A renewal that was under way for long gives no more leave than one that came at once.
#[rstest]
fn a_late_renewal_does_not_last_longer() {
    let mut lease = WorkLease::default();
    let telling = lease.tell(0);
    assert!(lease.renew(known(telling, 2_000), 9_000));
    assert!(!lease.allows(9_000));
}

#[rstest]
fn an_older_renewal_takes_no_leave_back() {
    let mut lease = WorkLease::default();
    let telling = lease.tell(0);
    lease.renew(known(telling, 2_000), 10);
    lease.renew(known(telling, 1_500), 20);
    assert!(lease.allows(1_800));
}

#[rstest]
#[case::holds_nothing(None)]
#[case::goes_by_an_older_telling(known(1, 9_000))]
fn a_leader_that_does_not_know_the_runs_gives_no_leave_and_is_told_them(
    #[case] registration: Option<Registration>,
) {
    let mut lease = WorkLease::default();
    lease.tell(0);
    lease.tell(100);
    // The telling may be under way.
    assert!(lease.renew(registration, 200));
    assert!(!lease.renew(registration, 100 + TELLING_TIME));
    assert!(!lease.allows(200));
}

/// A leader that is not sure to lead keeps the runs and gives no leave.
#[rstest]
fn a_leader_that_is_not_sure_gives_no_leave() {
    let mut lease = WorkLease::default();
    let telling = lease.tell(0);
    let unsure = Registration {
        telling,
        until: None,
    };
    assert!(lease.renew(Some(unsure), 5_000));
    assert!(!lease.allows(5_000));
}

/// Leave outlives a telling: a leader that knew all that had ended gave it.
#[rstest]
fn a_new_telling_ends_no_leave() {
    let mut lease = WorkLease::default();
    let telling = lease.tell(0);
    lease.renew(known(telling, 2_000), 10);
    lease.tell(500);
    assert!(lease.allows(1_000));
}
