//! What the nodes' decisions cost: messages, bytes, processor time.

use brasspond_protocol::{Envelope, PeerMessage, Sealer, StepMessage, StepReply, StepRequest};
use std::collections::BTreeMap;
use std::time::Duration;

/// What a message between nodes is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageClass {
    /// Failure detection and membership.
    Membership,
    /// Spreading of configuration.
    Configuration,
    /// Admission to engines.
    Admission,
    /// Idempotency keys.
    Claims,
    /// Reports and summaries of the fleet.
    Fleet,
    /// Requests and answers about steps, without prompts and samples.
    Steps,
    /// Prompts and samples on their way: data, not control.
    Data,
}

impl MessageClass {
    /// Class of a message.
    pub fn of(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Membership(_) => Self::Membership,
            PeerMessage::Configuration(_) => Self::Configuration,
            PeerMessage::Admission(_) => Self::Admission,
            PeerMessage::Claim(_) => Self::Claims,
            PeerMessage::Report { .. } | PeerMessage::Summary(_) => Self::Fleet,
            PeerMessage::Step(step) => match step {
                StepMessage::CopySpec { .. }
                | StepMessage::CopyResults { .. }
                | StepMessage::Request {
                    request: StepRequest::Open { .. },
                    ..
                }
                | StepMessage::Reply {
                    reply: StepReply::Samples { .. },
                    ..
                } => Self::Data,
                _ => Self::Steps,
            },
        }
    }
}

/// Messages and bytes of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages sent.
    pub messages: u64,
    /// Bytes sent, after encoding and sealing.
    pub bytes: u64,
}

/// Cost of one node.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// Sent, by class.
    pub sent: BTreeMap<MessageClass, Traffic>,
    /// Processor time of all decisions.
    pub busy: Duration,
    /// Events handled.
    pub events: u64,
}

impl Meter {
    /// Counts a message.
    pub(crate) fn count(&mut self, envelope: &Envelope, sealer: Option<&Sealer>) {
        let class = MessageClass::of(&envelope.message);
        let bytes = sealer.and_then(|sealer| sealer.seal(envelope).ok());
        let traffic = self.sent.entry(class).or_default();
        traffic.messages += 1;
        traffic.bytes += bytes.map_or(0, |bytes| bytes.len() as u64);
    }

    /// Bytes of control: all but prompts and samples.
    pub fn control_bytes(&self) -> u64 {
        let control = self
            .sent
            .iter()
            .filter(|(class, _)| **class != MessageClass::Data);
        control.map(|(_, traffic)| traffic.bytes).sum()
    }

    /// Messages of control.
    pub fn control_messages(&self) -> u64 {
        let control = self
            .sent
            .iter()
            .filter(|(class, _)| **class != MessageClass::Data);
        control.map(|(_, traffic)| traffic.messages).sum()
    }
}
