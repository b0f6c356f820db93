//! Stateful fuzzing of the dispatcher with faults of edges, replicas, orders and leaders. Guards
//! against wrong or incomplete results, orders of two leaders at a time, runs of ended jobs, and
//! jobs that never finish after all faults have ended.

mod model;
mod support;

use brasspond_golden::check_lines;
use model::{Fault, MAX_LAG_MS, Mutation, Simulation};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

/// A replica restarts after its machine's clock was set back.
const RESTART_WITH_EARLIER_CLOCK: Fault = Fault::ReplicaRestarts {
    replica: 0,
    entry_delay_ms: 0,
    silences_streams: false,
    keeps_version: false,
    clock_set_back: true,
};

/// A fault, and the simulated time until the next one, in ms.
type TimedFault = (Fault, u64);

fn run_scenario(seed: u64, single_version: bool, faults: &[TimedFault]) {
    run_mutated(seed, single_version, faults, None);
}

fn run_mutated(seed: u64, single_version: bool, faults: &[TimedFault], mutation: Option<Mutation>) {
    simulate(seed, single_version, faults, mutation);
}

/// Injects the faults into a simulation and runs it until all jobs have finished.
fn simulate(
    seed: u64,
    single_version: bool,
    faults: &[TimedFault],
    mutation: Option<Mutation>,
) -> Simulation {
    let mut simulation = Simulation::new(seed, single_version, mutation);
    simulation.run(500);
    simulation.submit(24);
    simulation.run(300);
    for (fault, pause) in faults {
        simulation.inject(fault);
        simulation.run(*pause);
    }
    simulation.finish();
    simulation
}

/// Returns a configuration with the number of cases in the environment variable `DISPATCH_CASES`.
fn config() -> ProptestConfig {
    let cases = std::env::var("DISPATCH_CASES").ok();
    let cases = cases.and_then(|cases| cases.parse().ok()).unwrap_or(150);
    ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(cases)
    }
}

fn any_restart() -> impl Strategy<Value = Fault> {
    let mostly_later = proptest::bool::weighted(0.8);
    let parts = (
        0_usize..4,
        0_u64..3_000,
        any::<bool>(),
        any::<bool>(),
        mostly_later,
    );
    parts.prop_map(
        |(replica, entry_delay_ms, silences_streams, keeps_version, is_later)| {
            Fault::ReplicaRestarts {
                replica,
                entry_delay_ms,
                silences_streams,
                keeps_version,
                clock_set_back: !is_later,
            }
        },
    )
}

fn any_fault() -> impl Strategy<Value = Fault> {
    let edge = 0_usize..3;
    let replica = 0_usize..4;
    prop_oneof![
        (0_usize..3, 20_u64..2_500, any::<bool>()).prop_map(|(next, pause_ms, proposals_kept)| {
            Fault::LeaderFails {
                next,
                pause_ms,
                proposals_kept,
            }
        }),
        edge.clone().prop_map(Fault::EdgeRestarts),
        (edge.clone(), 20_u64..2_000, any::<bool>()).prop_map(
            |(edge, duration_ms, delivers_late)| Fault::LinkBreaks {
                edge,
                duration_ms,
                delivers_late
            }
        ),
        edge.clone().prop_map(Fault::EdgeDrains),
        (edge, 20_u64..7_000).prop_map(|(edge, duration_ms)| Fault::EdgeSuspended {
            edge,
            duration_ms,
            reads_first: 0,
        }),
        replica.clone().prop_map(Fault::ReplicaReplaced),
        (replica.clone(), 200_u64..6_000).prop_map(|(number, ms)| Fault::ReplicaSilent(number, ms)),
        (replica.clone(), 20_u64..200).prop_map(|(number, ms)| Fault::ReplicaSlow(number, ms)),
        replica.clone().prop_map(Fault::ReplicaDrains),
        replica.clone().prop_map(Fault::StreamsBreak),
        (replica.clone(), any::<bool>())
            .prop_map(|(number, is_active)| Fault::Evacuate(number, is_active)),
        (replica.clone(), Just(true))
            .prop_map(|(number, is_active)| Fault::Evacuate(number, is_active)),
        (replica.clone(), 200_u64..6_000)
            .prop_map(|(number, ms)| Fault::ReplicaWarmsUp(number, ms)),
        (replica.clone(), 200_u64..6_000)
            .prop_map(|(number, ms)| Fault::ReplicaReplacedWarming(number, ms)),
        any_restart(),
        any_restart(),
        (0_usize..3, 0_u64..=MAX_LAG_MS).prop_map(|(edge, ms)| Fault::EdgeLags(edge, ms)),
        (replica, any::<u8>()).prop_map(|(number, share)| Fault::OrdersDelayed(number, share)),
        Just(Fault::NewVersion),
        Just(Fault::NewVersion),
        (1_usize..40).prop_map(Fault::SubmitJob),
        Just(Fault::EndJob),
        any::<bool>().prop_map(Fault::BindRegions),
    ]
}

proptest! {
    #![proptest_config(config())]
    #[test]
    fn results_are_correct_and_jobs_finish(
        seed in any::<u64>(),
        single_version in any::<bool>(),
        faults in proptest::collection::vec((any_fault(), 10_u64..1_500), 1..14),
    ) {
        run_scenario(seed, single_version, &faults);
    }
}

/// Number of scenarios in the golden file.
const DIGEST_SCENARIOS: u64 = 60;

/// Guards against unintended changes of the dispatcher's decisions.
#[rstest]
fn decisions_match_golden_digests() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config(), rng);
    let faults = proptest::collection::vec((any_fault(), 10_u64..1_500), 1..14);
    let digests = (0..DIGEST_SCENARIOS).map(|seed| {
        let faults = faults.new_tree(&mut runner).expect("a value").current();
        let simulation = simulate(seed, seed % 3 == 0, &faults, None);
        format!("{seed} {}", simulation.digest())
    });
    let digests: Vec<String> = digests.collect();
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/decisions.txt");
    check_lines(file.as_ref(), &digests);
}

/// Guards against the failure that the comment above each case describes.
#[rstest]
// Events that an old link delivers late are counted twice.
#[case(0, false, vec![(Fault::LinkBreaks { edge: 0, duration_ms: 20, delivers_late: true }, 10)])]
// Items of a job that allows only the newest version wait for a load, and the load waits until no
// item is waiting.
#[case(11_866_567_340_398_592_494, false, vec![
    (Fault::EdgeRestarts(0), 1_085),
    (Fault::NewVersion, 124),
    (Fault::SubmitJob(28), 1_485),
])]
// A cancellation is lost with the link, and the run's slot is never freed.
#[case(5_569_123_444_148_058_654, false, vec![
    (Fault::LinkBreaks { edge: 2, duration_ms: 211, delivers_late: false }, 10),
    (Fault::EndJob, 10),
])]
// The simulation sends a run on a new link before its edge has registered, which no leader does.
#[case(15_702_645_483_952_888_106, false, vec![
    (Fault::ReplicaReplaced(1), 941),
    (Fault::LinkBreaks { edge: 2, duration_ms: 71, delivers_late: false }, 61),
    (Fault::EndJob, 10),
])]
// An adopted run has mixed versions. Its item resumes after parts that the log no longer contains,
// and the dispatcher does not notice that the result is rejected.
#[case(4_010_305_910_569_207_699, true, vec![
    (Fault::NewVersion, 551),
    (Fault::ReplicaDrains(2), 1_471),
    (Fault::OrdersDelayed(3, 160), 231),
    (Fault::NewVersion, 571),
    (Fault::EdgeDrains(1), 101),
    (Fault::EdgeRestarts(0), 741),
    (Fault::LeaderFails { next: 1, pause_ms: 20, proposals_kept: false }, 10),
])]
// After a late report of the earlier life, the new life is never accepted, as its start time is
// lower.
#[case(0, false, vec![
    (Fault::Evacuate(0, true), 131),
    (Fault::ReplicaRestarts {
        replica: 0,
        entry_delay_ms: 161,
        silences_streams: false,
        keeps_version: false,
        clock_set_back: true,
    }, 151),
])]
// The entry of a life with a lower start time is ignored, and so is its warm-up period.
#[case(0, false, vec![
    (RESTART_WITH_EARLIER_CLOCK, 951),
    (Fault::ReplicaWarmsUp(0, 2_601), 571),
    (Fault::EdgeRestarts(2), 131),
    (Fault::SubmitJob(34), 281),
    (Fault::ReplicaReplacedWarming(2, 941), 741),
])]
// A replica that loads is asked for its report after its zone was evacuated.
#[case(400363500792676763, false, vec![
    (Fault::LeaderFails { next: 0, pause_ms: 571, proposals_kept: false }, 881),
    (Fault::StreamsBreak(0), 361),
    (Fault::NewVersion, 491),
    (Fault::Evacuate(0, true), 291),
])]
fn regressions(#[case] seed: u64, #[case] single_version: bool, #[case] faults: Vec<TimedFault>) {
    run_scenario(seed, single_version, &faults);
}

/// Guards against checks that detect nothing. Each mutation must make a check fail.
#[rstest]
#[case::a_lease_ignored(Mutation::LeaseIgnored)]
#[case::a_count_ignored(Mutation::OrderCountIgnored)]
#[case::a_version_misreported(Mutation::VersionMisreported)]
#[case::an_event_skipped(Mutation::EventSkipped)]
#[case::a_cancel_ignored(Mutation::CancelIgnored)]
#[case::a_text_scored_early(Mutation::ScoredEarly)]
#[case::a_wrong_scoring_call(Mutation::WrongScoringCall)]
#[case::a_text_listed_unscored(Mutation::ListedUnscored)]
#[case::a_score_changed(Mutation::ScoreChanged)]
#[case::a_draft_lost(Mutation::DraftLost)]
#[case::a_piece_misplaced(Mutation::PieceMisplaced)]
#[case::an_evacuation_not_sent(Mutation::EvacuationNotSent)]
#[case::a_stale_evacuation(Mutation::EvacuationStale)]
#[case::a_region_misreported(Mutation::RegionMisreported)]
fn each_mutation_is_detected(#[case] mutation: Mutation) {
    const SEEDS: u64 = 40;
    let leader_fails = |next| Fault::LeaderFails {
        next,
        pause_ms: 50,
        proposals_kept: false,
    };
    let faults = [
        (Fault::OrdersDelayed(0, 200), 10),
        (Fault::OrdersDelayed(1, 200), 10),
        (Fault::NewVersion, 500),
        (leader_fails(1), 700),
        (Fault::SubmitJob(40), 300),
        (Fault::EndJob, 4_000),
        (Fault::NewVersion, 900),
        (Fault::NewVersion, 400),
        (leader_fails(2), 700),
        (Fault::EndJob, 4_000),
        (Fault::SubmitJob(30), 900),
        (Fault::NewVersion, 6_000),
        (Fault::NewVersion, 6_000),
        (Fault::Evacuate(0, true), 500),
        (Fault::SubmitJob(30), 500),
        (leader_fails(0), 900),
        (Fault::SubmitJob(10), 900),
        (Fault::BindRegions(true), 500),
        (Fault::SubmitJob(40), 900),
    ];
    let is_detected = (0..SEEDS).any(|seed| {
        let run = || run_mutated(seed, false, &faults, Some(mutation));
        std::panic::catch_unwind(run).is_err()
    });
    assert!(is_detected, "{mutation:?} was not detected");
}

/// Guards against a check that misses runs on restarted replicas that lost the version.
#[rstest]
fn an_unreported_restart_is_detected() {
    const SEEDS: u64 = 40;
    let mut faults = vec![(Fault::NewVersion, 6_000)];
    for replica in 0..4 {
        let restart = Fault::ReplicaRestarts {
            replica,
            entry_delay_ms: 0,
            silences_streams: replica % 2 == 0,
            keeps_version: false,
            clock_set_back: false,
        };
        faults.push((restart, 400));
        faults.push((Fault::SubmitJob(30), 900));
    }
    let is_detected = |mutation| {
        (0..SEEDS).any(|seed| {
            let run = || run_mutated(seed, false, &faults, mutation);
            std::panic::catch_unwind(run).is_err()
        })
    };
    assert!(
        is_detected(Some(Mutation::RestartUnreported)),
        "not detected"
    );
    assert!(!is_detected(None));
}

/// Guards against a check of the request rate at replicas that warm up that detects nothing.
#[rstest]
#[case::a_permit_ignored(Mutation::PermitIgnored)]
#[case::a_sent_run_reported_unsent(Mutation::SentReportedUnsent)]
fn an_exceeded_warm_up_rate_is_detected(#[case] mutation: Mutation) {
    const SEEDS: u64 = 40;
    let mut faults = vec![(Fault::SubmitJob(60), 100)];
    for replica in 0..4 {
        faults.push((Fault::ReplicaReplacedWarming(replica, 6_000), 10));
    }
    for round in 0..6 {
        faults.push((Fault::EdgeLags(round % 3, MAX_LAG_MS), 350));
        faults.push((Fault::EdgeLags(round % 3, 0), 350));
        faults.push((Fault::StreamsBreak(round % 4), 100));
    }
    let is_detected = |mutation| {
        (0..SEEDS).any(|seed| {
            let run = || run_mutated(seed, false, &faults, mutation);
            std::panic::catch_unwind(run).is_err()
        })
    };
    assert!(is_detected(Some(mutation)), "{mutation:?} was not detected");
    assert!(!is_detected(None));
}

/// Simulates edges that are suspended while the leader orders scorings from them, are declared
/// failed, and resume long after the job has ended.
fn simulate_late_edge(seed: u64, reads_first: usize, mutation: Option<Mutation>) {
    let suspended = |edge| Fault::EdgeSuspended {
        edge,
        duration_ms: 7_000,
        reads_first,
    };
    let mut faults = vec![(Fault::SubmitJob(40), 1_200)];
    // The scorings of the restarted edge are ordered from the other edges.
    faults.push((Fault::EdgeRestarts(2), 390));
    faults.push((suspended(0), 10));
    faults.push((suspended(1), 2_000));
    faults.push((Fault::EndJob, 1_000));
    faults.push((Fault::EndJob, 9_000));
    run_mutated(seed, false, &faults, mutation);
}

/// Seeds of the scenarios with an edge that resumes late.
const LATE_EDGE_SEEDS: std::ops::Range<u64> = 0..60;

#[rstest]
fn orders_under_an_older_registration_are_detected() {
    let is_detected = |mutation| {
        LATE_EDGE_SEEDS.into_iter().any(|seed| {
            let run = || simulate_late_edge(seed, 0, mutation);
            std::panic::catch_unwind(run).is_err()
        })
    };
    assert!(is_detected(Some(Mutation::OldRegistrationAccepted)));
    assert!(!is_detected(None));
}

/// Guards against scorings that continue after their job has ended, as the edge reads the order
/// just before it registers again and does not report it.
#[rstest]
fn scorings_read_before_a_registration_end_with_their_job() {
    for seed in LATE_EDGE_SEEDS {
        simulate_late_edge(seed, usize::MAX, None);
    }
}
