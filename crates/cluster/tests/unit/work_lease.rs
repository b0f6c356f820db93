//! The work lease ends by itself, and only a leader that knows the runs renews it.

use super::{FIRST_REGISTRATION_TIMEOUT_MS, WorkLease};
use brasspond_cluster_protocol::Registration;
use rstest::rstest;

fn known(registration: u64, until: u64) -> Option<Registration> {
    Some(Registration {
        number: registration,
        until: Some(until),
    })
}

#[rstest]
fn work_begins_only_within_the_lease() {
    let mut lease = WorkLease::default();
    assert!(!lease.allows(0));
    let registration = lease.begin_registration(10);
    assert!(lease.renew(known(registration, 2_000), 20));
    assert!(lease.allows(1_999));
    assert!(!lease.allows(2_000));
}

/// A renewal that was under way for long lasts no longer than one that came at once.
#[rstest]
fn a_late_renewal_does_not_last_longer() {
    let mut lease = WorkLease::default();
    let registration = lease.begin_registration(0);
    assert!(lease.renew(known(registration, 2_000), 9_000));
    assert!(!lease.allows(9_000));
}

#[rstest]
fn an_older_renewal_does_not_shorten_the_lease() {
    let mut lease = WorkLease::default();
    let registration = lease.begin_registration(0);
    lease.renew(known(registration, 2_000), 10);
    lease.renew(known(registration, 1_500), 20);
    assert!(lease.allows(1_800));
}

#[rstest]
#[case::knows_nothing(None)]
#[case::knows_an_older_registration(known(1, 9_000))]
fn a_leader_that_does_not_know_the_runs_gives_no_lease_and_is_sent_them(
    #[case] registration: Option<Registration>,
) {
    let mut lease = WorkLease::default();
    lease.begin_registration(0);
    lease.begin_registration(100);
    // The registration may be under way.
    assert!(lease.renew(registration, 200));
    assert!(!lease.renew(registration, 100 + FIRST_REGISTRATION_TIMEOUT_MS));
    assert!(!lease.allows(200));
}

/// A leader that is not confirmed keeps the runs and gives no lease.
#[rstest]
fn a_leader_that_is_not_confirmed_gives_no_lease() {
    let mut lease = WorkLease::default();
    let registration = lease.begin_registration(0);
    let unconfirmed = Registration {
        number: registration,
        until: None,
    };
    assert!(lease.renew(Some(unconfirmed), 5_000));
    assert!(!lease.allows(5_000));
}

/// The lease outlives a registration: a leader that knew all that had ended gave it.
#[rstest]
fn a_new_registration_does_not_end_the_lease() {
    let mut lease = WorkLease::default();
    let registration = lease.begin_registration(0);
    lease.renew(known(registration, 2_000), 10);
    lease.begin_registration(500);
    assert!(lease.allows(1_000));
}

/// A leader that reads and answers late still gives a lease: to register the runs again before its
/// answer can be there makes that answer void, and the next one too, for as long as it is late.
#[rstest]
#[case::near(50)]
#[case::busy(400)]
#[case::very_busy(600)]
#[case::as_late_as_an_edge_may_be_silent(750)]
fn an_edge_whose_registration_is_answered_late_gets_a_lease(#[case] one_way: u64) {
    const STEP: u64 = 10;
    const PAUSE: u64 = 500;
    let mut lease = WorkLease::default();
    let mut known: Option<u64> = None;
    let mut registrations = vec![(one_way, lease.begin_registration(0))];
    let mut answers = Vec::new();
    let mut allowed = 0;
    for now in (0..20_000).step_by(STEP as usize) {
        let told = registrations.extract_if(.., |(at, _)| *at <= now).last();
        known = told.map(|(_, registration)| registration).or(known);
        if told.is_some() || now % PAUSE == 0 {
            let registration = known.map(|registration| Registration {
                number: registration,
                until: Some(now + 2_000),
            });
            answers.push((now + one_way, registration));
        }
        for (_, registration) in answers.extract_if(.., |(at, _)| *at <= now) {
            if !lease.renew(registration, now) {
                registrations.push((now + one_way, lease.begin_registration(now)));
            }
        }
        allowed += u64::from(lease.allows(now)) * STEP;
    }
    assert!(allowed > 10_000, "leave for {allowed} of 20000 ms");
}
