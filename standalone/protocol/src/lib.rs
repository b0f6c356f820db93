//! Protocol between the nodes of brasspond: message types, encoding and authentication.
//!
//! Messages are encoded with MessagePack and authenticated with a keyed BLAKE3 digest. A node
//! sends a message in one UDP datagram if it fits, otherwise in one length-prefixed TCP frame.
//! Messages may be lost, duplicated or reordered, so senders repeat them and receivers
//! tolerate duplicates.
#![forbid(unsafe_code)]

mod admission;
mod codec;
mod envelope;
mod step;

pub use admission::{AdmissionMessage, RefusalReason};
pub use codec::{CodecError, KEY_BYTES, Key, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, Sealer};
pub use envelope::{Envelope, PROTOCOL_VERSION, PeerMessage, Sender, Summary};
pub use step::{StepMessage, StepReply, StepRequest, StepRequestId};
