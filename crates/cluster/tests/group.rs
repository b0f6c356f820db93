//! A group of members over a simulated network and disks: stateful fuzzing
//! against an oracle, and the cases that it once failed on.

mod support;

use brasspond_golden::check_lines;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;
use support::{Fault, Mutation, World};

/// Whatever happens within what must be borne, nothing acknowledged is lost, no
/// two members apply different entries, one leader a term.
fn play(seed: u64, faults: &[Fault]) {
    play_mutated(seed, faults, None);
}

fn play_mutated(seed: u64, faults: &[Fault], mutation: Option<Mutation>) {
    played(seed, faults, mutation);
}

/// The world at the end of a play.
fn played(seed: u64, faults: &[Fault], mutation: Option<Mutation>) -> World {
    let mut world = World::new(seed, 3);
    if let Some(mutation) = mutation {
        world.mutate(mutation);
    }
    world.run(2_000);
    assert!(world.leader().is_some(), "a calm group has a leader");
    for fault in faults {
        world.propose_some();
        world.run(40);
        world.inflict(fault);
        world.run(1_500);
    }
    world.heal();
    world.run(4_000);
    let before = world.acknowledged();
    world.propose_some();
    world.run(1_000);
    assert!(
        world.acknowledged() > before,
        "a healed group takes work again"
    );
    world.check_acknowledged();
    world
}

/// Cases played: `GROUP_CASES`, or few enough for every run of the tests.
fn config() -> ProptestConfig {
    let cases = std::env::var("GROUP_CASES").ok();
    let cases = cases.and_then(|cases| cases.parse().ok()).unwrap_or(200);
    ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(cases)
    }
}

fn any_fault() -> impl Strategy<Value = Fault> {
    let member = 0_usize..4;
    prop_oneof![
        member.clone().prop_map(Fault::Kill),
        member.clone().prop_map(Fault::PowerLoss),
        member.clone().prop_map(Fault::Wipe),
        member.clone().prop_map(Fault::Pause),
        member.clone().prop_map(Fault::Cut),
        member.clone().prop_map(Fault::CutOneWay),
        Just(Fault::PowerLossAll),
        member.clone().prop_map(Fault::WipeOnePowerLossAll),
        Just(Fault::Add),
        member.prop_map(Fault::Retire),
        Just(Fault::PauseLeader),
        Just(Fault::WipeBehindCut),
    ]
}

proptest! {
    #![proptest_config(config())]
    #[test]
    fn nothing_acknowledged_is_lost(
        seed in any::<u64>(),
        faults in proptest::collection::vec(any_fault(), 1..7),
    ) {
        play(seed, &faults);
    }
}

/// Machines of the group that is bound: two may be emptied, and enough are left inside.
const MACHINES: usize = 10;
/// Of so many cases of the small group one of this larger one is played.
const FEWER: u32 = 4;

proptest! {
    #![proptest_config(ProptestConfig { cases: config().cases / FEWER, ..config() })]
    /// Members that are bound to a region are there once all is well, whoever began the
    /// group and whatever befell it; and nothing acknowledged is lost on their way.
    #[test]
    fn bound_members_are_inside_their_region_in_the_end(
        seed in any::<u64>(),
        faults in proptest::collection::vec(any_fault(), 0..5),
    ) {
        let mut world = World::bound(seed, MACHINES);
        world.run(3_000);
        for fault in &faults {
            world.propose_some();
            world.run(40);
            world.inflict(fault);
            world.run(1_500);
        }
        world.heal();
        world.run(8_000);
        world.check_places();
        let before = world.acknowledged();
        world.propose_some();
        world.run(1_000);
        assert!(world.acknowledged() > before, "it takes work again");
        world.check_acknowledged();
    }
}

/// Plays whose decisions are kept.
const DIGESTED_PLAYS: u64 = 40;

/// A change that is to leave all decisions as they are leaves these digests as they are.
#[rstest]
fn decisions_are_as_kept() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config(), rng);
    let faults = proptest::collection::vec(any_fault(), 1..7);
    let digests = (0..DIGESTED_PLAYS).map(|seed| {
        let faults = faults.new_tree(&mut runner).expect("drawn").current();
        format!("{seed} {}", played(seed, &faults, None).digest())
    });
    let digests: Vec<String> = digests.collect();
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/decisions.txt");
    check_lines(file.as_ref(), &digests);
}

/// Seeds that once failed, with the cause.
#[rstest]
// A group of two that lost a disk had no quorum ever again.
#[case(3_026_730_734_555_165_665, vec![Fault::CutOneWay(0), Fault::Retire(0), Fault::Wipe(1)])]
fn regressions(#[case] seed: u64, #[case] faults: Vec<Fault>) {
    play(seed, &faults);
}

#[rstest]
#[case::leader_dies(vec![Fault::Kill(0), Fault::Kill(1), Fault::Kill(2)])]
#[case::each_disk_is_lost_in_turn(vec![Fault::Wipe(0), Fault::Wipe(1), Fault::Wipe(2)])]
#[case::one_disk_lost_while_all_lose_power(vec![Fault::WipeOnePowerLossAll(1)])]
#[case::a_paused_leader_wakes(vec![Fault::PauseLeader, Fault::PauseLeader])]
#[case::a_machine_is_added_and_one_retired(vec![Fault::Add, Fault::Retire(0), Fault::Wipe(2)])]
#[case::the_only_three_lose_one_by_retirement(vec![Fault::Retire(2), Fault::PowerLossAll])]
fn known_cases(#[case] faults: Vec<Fault>) {
    for seed in 0..20 {
        play(seed, &faults);
    }
}

/// Each check fails when the fault it is there for is built in.
#[rstest]
#[case::entries_not_synced(
    Mutation::UnsyncedEntries,
    vec![Fault::PowerLossAll, Fault::PowerLossAll, Fault::PowerLossAll]
)]
#[case::votes_forgotten(
    Mutation::ForgottenVotes,
    vec![Fault::PowerLossAll, Fault::Kill(0), Fault::Kill(1), Fault::Kill(2)]
)]
#[case::identity_kept_without_the_disk(
    Mutation::KeptIdentity,
    vec![Fault::WipeBehindCut, Fault::WipeBehindCut]
)]
#[case::suspended_time_not_counted(
    Mutation::SteadyClock,
    vec![Fault::PauseLeader, Fault::PauseLeader]
)]
fn a_built_in_fault_is_caught(#[case] mutation: Mutation, #[case] faults: Vec<Fault>) {
    const SEEDS: u64 = 60;
    let caught = (0..SEEDS).any(|seed| {
        let faults = faults.clone();
        std::panic::catch_unwind(move || play_mutated(seed, &faults, Some(mutation))).is_err()
    });
    assert!(caught, "{mutation:?} was never noticed");
}
