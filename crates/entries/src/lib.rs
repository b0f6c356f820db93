//! Fault-tolerant reading of JSON entries that other programs write.
//!
//! A response of the source is split into its entries without parsing them ([`elements`],
//! [`members`]). Each entry is then parsed separately ([`read`]), so that an unreadable entry does
//! not affect the others. [`UnreadableEntries`] tracks unreadable entries and logs each entry once.
//! Apart from logging, nothing here does I/O.
#![forbid(unsafe_code)]

mod error;
mod fields;
mod non_negative;
mod split;
mod unreadable;

pub use error::EntryError;
pub use fields::{Fields, read};
pub use non_negative::NonNegative;
pub use split::{Members, elements, members};
pub use unreadable::UnreadableEntries;
