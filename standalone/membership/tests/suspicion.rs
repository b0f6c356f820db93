//! A suspect is told at once, and refutes.

use brasspond_membership::{
    Instance, Member, MemberState, Membership, Message, Output, Parameters,
};
use brasspond_types::{Locality, NodeName, Timestamp};

fn member(name: &str, port: u16) -> Member {
    Member {
        name: NodeName::new(name),
        address: ([127, 0, 0, 1], port).into(),
        locality: Locality::new("r", "z"),
        instance: Instance(u64::from(port)),
        incarnation: 1,
        state: MemberState::Alive,
    }
}

#[test]
fn suspect_is_told_at_once_and_refutes() {
    let (asker, silent) = (member("asker", 1), member("silent", 2));
    let mut left = Membership::new(asker.clone(), Vec::new(), Parameters::default());
    let mut right = Membership::new(silent.clone(), Vec::new(), Parameters::default());
    left.preload([silent.clone()]);
    right.preload([asker.clone()]);
    let mut told = None;
    let mut now = Timestamp::ZERO;
    while told.is_none() && now < Timestamp::from_millis(3_000) {
        now = now + std::time::Duration::from_millis(50);
        for output in left.tick(now) {
            if let Output::Send(to, _, Message::Ping { sequence, updates }) = output
                && to == silent.name
                && updates
                    .iter()
                    .any(|update| update.state == MemberState::Suspect)
            {
                told = Some(Message::Ping { sequence, updates });
            }
        }
    }
    let suspected = left.get(&silent.name).map(|member| member.state);
    assert_eq!(suspected, Some(MemberState::Suspect));
    let told = told.expect("the suspect is told in the same tick");
    let answers = right.handle(&asker.name, asker.address, told, now);
    for answer in answers {
        if let Output::Send(_, _, message) = answer {
            left.handle(&silent.name, silent.address, message, now);
        }
    }
    let refuted = left.get(&silent.name).map(|member| member.state);
    assert_eq!(refuted, Some(MemberState::Alive));
}
