//! Stateful fuzzing of the dispatcher: whatever happens to edges, replicas,
//! orders and leaders, every result is whole and true, orders have one holder,
//! ended jobs stop, and once all is well again every job is finished.

mod model;
mod support;

use brasspond_golden::check_lines;
use model::{Fault, LONGEST_LAG, Mutation, World};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

/// A replica starts again, and its machine's clock was set back.
const REBORN_EARLIER: Fault = Fault::ReplicaReborn {
    replica: 0,
    entry_ms: 0,
    is_cut: false,
    keeps: false,
    set_back: true,
};

/// One case: a fault, and how long the world runs on after it, in ms.
type Strike = (Fault, u64);

fn play(seed: u64, single_version: bool, strikes: &[Strike]) {
    play_mutated(seed, single_version, strikes, None);
}

fn play_mutated(seed: u64, single: bool, strikes: &[Strike], mutation: Option<Mutation>) {
    played(seed, single, strikes, mutation);
}

/// The world at the end of a play.
fn played(seed: u64, single: bool, strikes: &[Strike], mutation: Option<Mutation>) -> World {
    let mut world = World::new(seed, single, mutation);
    world.run(500);
    world.submit(24);
    world.run(300);
    for (fault, pause) in strikes {
        world.inflict(fault);
        world.run(*pause);
    }
    world.finish();
    world
}

/// Cases played: `DISPATCH_CASES`, or few enough for every run of the tests.
fn config() -> ProptestConfig {
    let cases = std::env::var("DISPATCH_CASES").ok();
    let cases = cases.and_then(|cases| cases.parse().ok()).unwrap_or(150);
    ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(cases)
    }
}

fn any_rebirth() -> impl Strategy<Value = Fault> {
    let often = proptest::bool::weighted(0.8);
    let parts = (
        0_usize..4,
        0_u64..3_000,
        any::<bool>(),
        any::<bool>(),
        often,
    );
    parts.prop_map(
        |(replica, entry_ms, is_cut, keeps, is_ordered)| Fault::ReplicaReborn {
            replica,
            entry_ms,
            is_cut,
            keeps,
            set_back: !is_ordered,
        },
    )
}

fn any_fault() -> impl Strategy<Value = Fault> {
    let edge = 0_usize..3;
    let replica = 0_usize..4;
    prop_oneof![
        (0_usize..3, 20_u64..2_500, any::<bool>()).prop_map(|(next, pause_ms, proposals_kept)| {
            Fault::LeaderFalls {
                next,
                pause_ms,
                proposals_kept,
            }
        }),
        edge.clone().prop_map(Fault::EdgeEnds),
        (edge.clone(), 20_u64..2_000, any::<bool>())
            .prop_map(|(edge, for_ms, late)| Fault::LinkBreaks { edge, for_ms, late }),
        edge.clone().prop_map(Fault::EdgeDrains),
        (edge, 20_u64..7_000).prop_map(|(edge, for_ms)| Fault::EdgeSuspended {
            edge,
            for_ms,
            reads_first: 0,
        }),
        replica.clone().prop_map(Fault::ReplicaEnds),
        (replica.clone(), 200_u64..6_000).prop_map(|(one, ms)| Fault::ReplicaDark(one, ms)),
        (replica.clone(), 20_u64..200).prop_map(|(one, ms)| Fault::ReplicaSlow(one, ms)),
        replica.clone().prop_map(Fault::ReplicaDrains),
        replica.clone().prop_map(Fault::StreamsBreak),
        (replica.clone(), any::<bool>()).prop_map(|(one, begins)| Fault::Evacuate(one, begins)),
        (replica.clone(), Just(true)).prop_map(|(one, begins)| Fault::Evacuate(one, begins)),
        (replica.clone(), 200_u64..6_000).prop_map(|(one, ms)| Fault::ReplicaWarms(one, ms)),
        (replica.clone(), 200_u64..6_000).prop_map(|(one, ms)| Fault::ReplicaComesBack(one, ms)),
        any_rebirth(),
        any_rebirth(),
        (0_usize..3, 0_u64..=LONGEST_LAG).prop_map(|(edge, ms)| Fault::EdgeLags(edge, ms)),
        (replica, any::<u8>()).prop_map(|(one, share)| Fault::OrdersLate(one, share)),
        Just(Fault::Version),
        Just(Fault::Version),
        (1_usize..40).prop_map(Fault::Submit),
        Just(Fault::End),
        any::<bool>().prop_map(Fault::Bind),
    ]
}

proptest! {
    #![proptest_config(config())]
    #[test]
    fn results_are_true_and_jobs_finish(
        seed in any::<u64>(),
        single in any::<bool>(),
        strikes in proptest::collection::vec((any_fault(), 10_u64..1_500), 1..14),
    ) {
        play(seed, single, &strikes);
    }
}

/// Plays whose decisions are kept.
const DIGESTED_PLAYS: u64 = 60;

/// Guards changes that are to keep all decisions: the digests stay.
#[rstest]
fn decisions_are_as_kept() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config(), rng);
    let strikes = proptest::collection::vec((any_fault(), 10_u64..1_500), 1..14);
    let digests = (0..DIGESTED_PLAYS).map(|seed| {
        let strikes = strikes.new_tree(&mut runner).expect("drawn").current();
        let world = played(seed, seed % 3 == 0, &strikes, None);
        format!("{seed} {}", world.digest())
    });
    let digests: Vec<String> = digests.collect();
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/decisions.txt");
    check_lines(file.as_ref(), &digests);
}

/// Seeds that once failed, with the cause.
#[rstest]
// Events of an old link counted twice.
#[case(0, false, vec![(Fault::LinkBreaks { edge: 0, for_ms: 20, late: true }, 10)])]
// Items of a job that allows only the newest version waited for a load, which waited until no item
// did.
#[case(11_866_567_340_398_592_494, false, vec![
    (Fault::EdgeEnds(0), 1_085),
    (Fault::Version, 124),
    (Fault::Submit(28), 1_485),
])]
// A cancellation was lost with the link: the run's place was never free again.
#[case(5_569_123_444_148_058_654, false, vec![
    (Fault::LinkBreaks { edge: 2, for_ms: 211, late: false }, 10),
    (Fault::End, 10),
])]
// The model sent a run on a new link before its edge had registered its runs,
// which no leader does.
#[case(15_702_645_483_952_888_106, false, vec![
    (Fault::ReplicaEnds(1), 941),
    (Fault::LinkBreaks { edge: 2, for_ms: 71, late: false }, 61),
    (Fault::End, 10),
])]
// A run taken over was mixed, and its item went on after parts that the log no
// longer kept: its end was void, and nobody noticed.
#[case(4_010_305_910_569_207_699, true, vec![
    (Fault::Version, 551),
    (Fault::ReplicaDrains(2), 1_471),
    (Fault::OrdersLate(3, 160), 231),
    (Fault::Version, 571),
    (Fault::EdgeDrains(1), 101),
    (Fault::EdgeEnds(0), 741),
    (Fault::LeaderFalls { next: 1, pause_ms: 20, proposals_kept: false }, 10),
])]
// A late report of the life before had the lower one, which wrote the entry, never count.
#[case(0, false, vec![
    (Fault::Evacuate(0, true), 131),
    (Fault::ReplicaReborn {
        replica: 0,
        entry_ms: 161,
        is_cut: false,
        keeps: false,
        set_back: true,
    }, 151),
])]
// The entry of a lower life was ignored whole, and with it its warm-up period.
#[case(0, false, vec![
    (REBORN_EARLIER, 951),
    (Fault::ReplicaWarms(0, 2_601), 571),
    (Fault::EdgeEnds(2), 131),
    (Fault::Submit(34), 281),
    (Fault::ReplicaComesBack(2, 941), 741),
])]
fn regressions(#[case] seed: u64, #[case] single: bool, #[case] strikes: Vec<Strike>) {
    play(seed, single, &strikes);
}

/// Each check fails when the fault it is there for is built in.
#[rstest]
#[case::a_lease_ignored(Mutation::LeaseIgnored)]
#[case::a_count_ignored(Mutation::CountIgnored)]
#[case::a_version_mislabelled(Mutation::VersionMislabelled)]
#[case::an_event_skipped(Mutation::EventSkipped)]
#[case::a_cancel_ignored(Mutation::CancelIgnored)]
#[case::a_text_scored_early(Mutation::ScoredEarly)]
#[case::a_score_of_another_item(Mutation::ScoreOfAnother)]
#[case::a_text_listed_unscored(Mutation::ListedUnscored)]
#[case::a_score_redrawn(Mutation::ScoreRedrawn)]
#[case::a_draft_lost(Mutation::DraftLost)]
#[case::a_piece_misplaced(Mutation::PieceMisplaced)]
#[case::an_evacuation_untold(Mutation::EvacuationNotSent)]
#[case::an_evacuation_believed(Mutation::EvacuationBelieved)]
#[case::a_region_mistold(Mutation::RegionMisreported)]
fn a_built_in_fault_is_caught(#[case] mutation: Mutation) {
    const SEEDS: u64 = 40;
    let late = |next| Fault::LeaderFalls {
        next,
        pause_ms: 50,
        proposals_kept: false,
    };
    let strikes = [
        (Fault::OrdersLate(0, 200), 10),
        (Fault::OrdersLate(1, 200), 10),
        (Fault::Version, 500),
        (late(1), 700),
        (Fault::Submit(40), 300),
        (Fault::End, 4_000),
        (Fault::Version, 900),
        (Fault::Version, 400),
        (late(2), 700),
        (Fault::End, 4_000),
        (Fault::Submit(30), 900),
        (Fault::Version, 6_000),
        (Fault::Version, 6_000),
        (Fault::Evacuate(0, true), 500),
        (Fault::Submit(30), 500),
        (late(0), 900),
        (Fault::Submit(10), 900),
        (Fault::Bind(true), 500),
        (Fault::Submit(40), 900),
    ];
    let caught = (0..SEEDS).any(|seed| {
        let play = || play_mutated(seed, false, &strikes, Some(mutation));
        std::panic::catch_unwind(play).is_err()
    });
    assert!(caught, "{mutation:?} was never noticed");
}

/// Replicas that start again and report their first life count as serving what they lost.
#[rstest]
fn a_rebirth_that_is_not_reported_is_caught() {
    const SEEDS: u64 = 40;
    let mut strikes = vec![(Fault::Version, 6_000)];
    for replica in 0..4 {
        let rebirth = Fault::ReplicaReborn {
            replica,
            entry_ms: 0,
            is_cut: replica % 2 == 0,
            keeps: false,
            set_back: false,
        };
        strikes.push((rebirth, 400));
        strikes.push((Fault::Submit(30), 900));
    }
    let caught = |mutation| {
        (0..SEEDS).any(|seed| {
            let play = || play_mutated(seed, false, &strikes, mutation);
            std::panic::catch_unwind(play).is_err()
        })
    };
    assert!(caught(Some(Mutation::RebirthUnreported)), "never noticed");
    assert!(!caught(None));
}

/// The count of what reaches replicas that warm up fails when a fault is built in.
#[rstest]
#[case::a_permit_ignored(Mutation::PermitIgnored)]
#[case::a_run_told_unsent(Mutation::SentReportedUnsent)]
fn a_rate_that_is_exceeded_is_caught(#[case] mutation: Mutation) {
    const SEEDS: u64 = 40;
    let mut strikes = vec![(Fault::Submit(60), 100)];
    for replica in 0..4 {
        strikes.push((Fault::ReplicaComesBack(replica, 6_000), 10));
    }
    for round in 0..6 {
        strikes.push((Fault::EdgeLags(round % 3, LONGEST_LAG), 350));
        strikes.push((Fault::EdgeLags(round % 3, 0), 350));
        strikes.push((Fault::StreamsBreak(round % 4), 100));
    }
    let caught = |mutation| {
        (0..SEEDS).any(|seed| {
            let play = || play_mutated(seed, false, &strikes, mutation);
            std::panic::catch_unwind(play).is_err()
        })
    };
    assert!(caught(Some(mutation)), "{mutation:?} was never noticed");
    assert!(!caught(None));
}

/// Scorings are ordered from an edge that is suspended; it is given up, their job ends, and it
/// goes on long after that.
fn played_past_an_end(seed: u64, reads_first: usize, mutation: Option<Mutation>) {
    let suspended = |edge| Fault::EdgeSuspended {
        edge,
        for_ms: 7_000,
        reads_first,
    };
    let mut strikes = vec![(Fault::Submit(40), 1_200)];
    // What a lost edge scored is ordered from others.
    strikes.push((Fault::EdgeEnds(2), 390));
    strikes.push((suspended(0), 10));
    strikes.push((suspended(1), 2_000));
    strikes.push((Fault::End, 1_000));
    strikes.push((Fault::End, 9_000));
    play_mutated(seed, false, &strikes, mutation);
}

/// Seeds of the plays past an end.
const PLAYS_PAST_AN_END: std::ops::Range<u64> = 0..60;

#[rstest]
fn orders_of_an_older_registration_that_are_followed_are_caught() {
    let is_caught = |mutation| {
        PLAYS_PAST_AN_END.into_iter().any(|seed| {
            let play = || played_past_an_end(seed, 0, mutation);
            std::panic::catch_unwind(play).is_err()
        })
    };
    assert!(is_caught(Some(Mutation::RegistrationIgnored)));
    assert!(!is_caught(None));
}

/// An order to score that was read before the edge learned that it was given up is in no
/// registration.
#[rstest]
fn scorings_read_before_a_registration_end_with_their_job() {
    for seed in PLAYS_PAST_AN_END {
        played_past_an_end(seed, usize::MAX, None);
    }
}
