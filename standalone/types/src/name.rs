//! Names of nodes, engines, groups, models and localities. Names are cheap to clone.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Declares a newtype over a reference-counted string.
macro_rules! name_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name.
            pub fn new(name: impl AsRef<str>) -> Self {
                Self(Arc::from(name.as_ref()))
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// Name of a brasspond node (one process on one machine).
    NodeName
);
name_type!(
    /// Name of a replica of a model engine.
    EngineName
);
name_type!(
    /// Name of a research group, the unit of fair sharing and isolation.
    GroupName
);
name_type!(
    /// Name of a model, or of an adapter on a shared base model, that one group trains.
    ModelName
);
name_type!(
    /// Name of a zone, a failure domain inside a region.
    ZoneName
);
name_type!(
    /// Name of a region, a set of zones close to one another.
    RegionName
);

/// Region and zone that a process runs in.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Locality {
    /// Region that contains the zone.
    pub region: RegionName,
    /// Zone inside the region.
    pub zone: ZoneName,
}

impl Locality {
    /// Builds a locality from a region and a zone name.
    pub fn new(region: &str, zone: &str) -> Self {
        Self {
            region: region.into(),
            zone: zone.into(),
        }
    }
}

/// Returns a 64-bit hash that is the same on every machine and in every release.
///
/// Nodes use it where they must agree on an order without communication, as in rendezvous
/// hashing. The hash function is XXH3. The length of each part is hashed before the part, so
/// that moving bytes from one part to the next changes the hash.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    /// Maximum length of an input that is hashed in one call. This is faster than a streaming
    /// hasher and gives the same result.
    const BUFFER_BYTES: usize = 160;
    let length: usize = parts.iter().map(|part| part.len() + LENGTH_BYTES).sum();
    if length <= BUFFER_BYTES {
        let mut buffer = [0; BUFFER_BYTES];
        let mut end = 0;
        for part in parts {
            buffer[end..end + LENGTH_BYTES].copy_from_slice(&(part.len() as u64).to_le_bytes());
            end += LENGTH_BYTES;
            buffer[end..end + part.len()].copy_from_slice(part);
            end += part.len();
        }
        return xxhash_rust::xxh3::xxh3_64(&buffer[..end]);
    }
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// Size of the length that precedes each part, in bytes.
const LENGTH_BYTES: usize = size_of::<u64>();
