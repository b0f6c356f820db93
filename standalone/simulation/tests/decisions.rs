//! Decisions of simulated nodes, compared with those of an earlier build.

use brasspond_control::Action;
use brasspond_golden::{Digest, check_lines};
use brasspond_simulation::{FuzzOptions, World, fuzz_config};
use brasspond_types::Timestamp;
use rstest::rstest;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Plays whose decisions are kept.
const PLAYS: u64 = 12;
/// Simulated time of a play: faults begin within the first 20 s.
const LENGTH: Duration = Duration::from_secs(60);

/// Tells actions apart that hold the same values.
fn tag(action: &Action) -> u8 {
    match action {
        Action::Send { .. } => 0,
        Action::StartAttempt { .. } => 1,
        Action::CancelAttempt(_) => 2,
        Action::PollEngine { .. } => 3,
        Action::OrderEngine { .. } => 4,
        Action::Reply { .. } => 5,
        Action::Store(_) => 6,
        Action::InForce(_) => 7,
    }
}

fn digest(seed: u64) -> String {
    let digest = Rc::new(RefCell::new(Digest::default()));
    let shared = Rc::clone(&digest);
    let mut world = World::new(fuzz_config(seed, &FuzzOptions::default()));
    world.observe(move |node, action| shared.borrow_mut().add(tag(action), &(node, action)));
    world.run_until(Timestamp::ZERO + LENGTH);
    let line = digest.borrow().line();
    format!("{seed} {line}")
}

/// A change that is to leave all decisions as they are leaves these digests as they are.
#[rstest]
fn decisions_are_as_kept() {
    let digests: Vec<String> = (0..PLAYS).map(digest).collect();
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/decisions.txt");
    check_lines(file.as_ref(), &digests);
}
