//! Bytes of the messages between nodes, as an earlier build wrote them.

use brasspond_dissemination::Operation;
use brasspond_golden::{Variants, check_values};
use brasspond_idempotency::Verdict;
use brasspond_membership::MemberState;
use brasspond_protocol::{
    AdmissionMessage, Envelope, PeerMessage, RefusalReason, StepMessage, StepReply, StepRequest,
};
use brasspond_types::FinishReason;
use rstest::rstest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::Path;

fn variants() -> Variants {
    Variants::default()
}

#[rstest]
fn messages_between_nodes() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/envelope.txt");
    check_values(file.as_ref(), &variants().of::<Envelope>());
}

/// Checks a value of each variant of a type against the type's file.
fn check<T: Serialize + DeserializeOwned>(name: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    check_values(&folder.join(format!("{name}.txt")), &variants().of::<T>());
}

/// Types within messages: only the outermost has all its variants met above.
#[rstest]
fn parts_of_messages() {
    check::<PeerMessage>("peer_message");
    check::<AdmissionMessage>("admission");
    check::<RefusalReason>("refusal_reason");
    check::<StepMessage>("step");
    check::<StepRequest>("step_request");
    check::<StepReply>("step_reply");
    check::<brasspond_membership::Message>("membership");
    check::<MemberState>("member_state");
    check::<brasspond_dissemination::Message>("dissemination");
    check::<Operation>("operation");
    check::<brasspond_idempotency::Message>("claim");
    check::<Verdict>("verdict");
    check::<FinishReason>("finish_reason");
}
