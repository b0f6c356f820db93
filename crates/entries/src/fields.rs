//! Parsing of JSON objects, with fields matched by name.

use crate::error::EntryError;
use serde::de::value::MapAccessDeserializer;
use serde::de::{Deserialize, Deserializer, MapAccess, Visitor};
use std::fmt::{Formatter, Result as FmtResult};
use std::marker::PhantomData;

/// A value that is deserialized from a JSON object only. Without this wrapper, a derived
/// `Deserialize` also accepts an array with as many elements as the type has fields.
#[derive(Clone, Debug, Default)]
pub struct Fields<T>(pub T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Fields<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FieldsVisitor(PhantomData))
    }
}

struct FieldsVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for FieldsVisitor<T> {
    type Value = Fields<T>;

    fn expecting(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, members: A) -> Result<Self::Value, A::Error> {
        T::deserialize(MapAccessDeserializer::new(members)).map(Fields)
    }
}

/// Parses a JSON object.
///
/// # Errors
/// The text is not a JSON object that `T` can be deserialized from.
pub fn read<'de, T: Deserialize<'de>>(text: &'de [u8]) -> Result<T, EntryError> {
    let Fields(read) = serde_json::from_slice(text)?;
    Ok(read)
}
