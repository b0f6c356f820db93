//! Reading of objects by the names of their fields alone.

use crate::problem::Problem;
use serde::de::value::MapAccessDeserializer;
use serde::de::{Deserialize, Deserializer, MapAccess, Visitor};
use std::fmt::{Formatter, Result as Written};
use std::marker::PhantomData;

/// Fields of an object. A derived reader takes an array of the right length as well.
#[derive(Clone, Debug, Default)]
pub struct Fields<T>(pub T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Fields<T> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_map(ByName(PhantomData))
    }
}

struct ByName<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ByName<T> {
    type Value = Fields<T>;

    fn expecting(&self, formatter: &mut Formatter<'_>) -> Written {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, members: A) -> Result<Self::Value, A::Error> {
        T::deserialize(MapAccessDeserializer::new(members)).map(Fields)
    }
}

/// Reads an object of JSON.
///
/// # Errors
/// Why it cannot be read.
pub fn read<'de, T: Deserialize<'de>>(text: &'de [u8]) -> Result<T, Problem> {
    let Fields(read) = serde_json::from_slice(text)?;
    Ok(read)
}
