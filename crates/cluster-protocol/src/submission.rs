//! A submission that is encoded item by item.
//!
//! The frame is that of [`Question::Submit`], compressed. A job may have some hundred thousand small
//! items, which take a multiple of their encoded size as values; here only one is in memory at a time.

use crate::frame::frame_of_parts;
use crate::{Message, Question};
use brasspond_compression::{StreamPacker, stored_head};
use brasspond_jobs::{Item, Submission};
use bytes::Bytes;
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::collections::BTreeSet;
use std::fmt::{Display, Formatter};
use std::marker::PhantomData;

/// Length of an empty array in MessagePack.
const EMPTY_ARRAY_BYTES: usize = 1;
/// First byte of a MessagePack array with a length of 32 bits.
const ARRAY_32: u8 = 0xdd;

/// a submission cannot be encoded: {0}
#[derive(Debug, displaydoc::Display)]
pub struct EncodeError(String);

impl std::error::Error for EncodeError {}

impl From<rmp_serde::encode::Error> for EncodeError {
    fn from(error: rmp_serde::encode::Error) -> Self {
        Self(error.to_string())
    }
}

impl From<std::io::Error> for EncodeError {
    fn from(error: std::io::Error) -> Self {
        Self(error.to_string())
    }
}

/// Host and path of a scoring call.
pub type ScoringEndpoint = (String, String);

/// Encodes the items of a submission in their order.
#[derive(Default)]
pub struct SubmissionWriter {
    packer: StreamPacker,
    count: u32,
    endpoints: BTreeSet<ScoringEndpoint>,
}

impl SubmissionWriter {
    /// Appends an item.
    ///
    /// # Errors
    /// The item cannot be encoded.
    pub fn push(&mut self, item: &Item) -> Result<(), EncodeError> {
        self.packer.push(&rmp_serde::to_vec(item)?)?;
        self.count += 1;
        if let Some(call) = &item.scoring {
            let endpoint = (call.host.clone(), call.path.clone());
            self.endpoints.insert(endpoint);
        }
        Ok(())
    }

    /// Ends the submission. `head` has all its fields but the items, which are ignored.
    ///
    /// # Errors
    /// The submission cannot be encoded.
    pub fn finish(mut self, head: Submission) -> Result<EncodedSubmission, EncodeError> {
        // Only the tenant follows the items.
        self.packer.push(&rmp_serde::to_vec(&head.tenant)?)?;
        Ok(EncodedSubmission {
            head: Submission {
                items: Vec::new(),
                ..head
            },
            count: self.count,
            endpoints: self.endpoints,
            items: self.packer.finish()?,
        })
    }
}

/// A list of items in the format `W`, each of which is encoded as soon as it is read.
pub struct ItemList<W> {
    writer: SubmissionWriter,
    format: PhantomData<W>,
}

impl<W> ItemList<W> {
    /// Returns the writer with all items of the list.
    pub fn into_writer(self) -> SubmissionWriter {
        self.writer
    }
}

impl<'de, W> Deserialize<'de> for ItemList<W>
where
    W: Deserialize<'de>,
    Item: TryFrom<W, Error: Display>,
{
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ItemVisitor(PhantomData))
    }
}

struct ItemVisitor<W>(PhantomData<W>);

impl<'de, W> Visitor<'de> for ItemVisitor<W>
where
    W: Deserialize<'de>,
    Item: TryFrom<W, Error: Display>,
{
    type Value = ItemList<W>;

    fn expecting(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("a list of items")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<ItemList<W>, A::Error> {
        let mut writer = SubmissionWriter::default();
        while let Some(wire) = items.next_element::<W>()? {
            let item = Item::try_from(wire).map_err(A::Error::custom)?;
            writer.push(&item).map_err(A::Error::custom)?;
        }
        Ok(ItemList {
            writer,
            format: self.0,
        })
    }
}

/// An encoded submission, which may be sent any number of times.
#[derive(Clone, Debug)]
pub struct EncodedSubmission {
    /// The submission without its items.
    head: Submission,
    count: u32,
    endpoints: BTreeSet<ScoringEndpoint>,
    /// Compressed items and the fields that follow them.
    items: Bytes,
}

impl EncodedSubmission {
    /// Tenant that submits the job, if any.
    pub fn tenant(&self) -> Option<&str> {
        self.head.tenant.as_deref()
    }

    /// The distinct endpoints of the items' scoring calls.
    pub fn scoring_endpoints(&self) -> impl Iterator<Item = (&str, &str)> {
        let endpoints = self.endpoints.iter();
        endpoints.map(|(host, path)| (host.as_str(), path.as_str()))
    }

    /// Encoded size in bytes.
    pub fn encoded_bytes(&self) -> usize {
        self.items.len()
    }

    /// Encodes the question with this submission as parts of a frame.
    ///
    /// # Errors
    /// The question cannot be encoded.
    pub fn question_parts(&self, number: u64) -> Result<Vec<Bytes>, EncodeError> {
        let message = Message::Ask {
            number,
            question: Question::Submit(self.head.clone()),
        };
        let mut head = rmp_serde::to_vec(&message)?;
        // The items are followed by the tenant.
        let tail = rmp_serde::to_vec(&self.head.tenant)?;
        head.truncate(head.len() - tail.len() - EMPTY_ARRAY_BYTES);
        head.push(ARRAY_32);
        head.extend(self.count.to_be_bytes());
        Ok(frame_of_parts(stored_head(&head), self.items.clone()))
    }
}
