//! The set of slots whose samples a trainer holds, encoded as opaque text.

use brasspond_types::{StepId, stable_hash};
use displaydoc::Display;
use std::fmt;
use std::str::FromStr;

/// Set of the slots of one step whose samples a trainer holds.
///
/// The text form is hexadecimal: 16 digits for the digest of the step's identity, 8 digits for the
/// number of slots, then 16 digits per 64 slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cursor {
    step_digest: u64,
    /// Number of slots of the step.
    slots: u32,
    /// Bits of the held slots, 64 slots per word.
    words: Vec<u64>,
}

/// Why a cursor is rejected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CursorError {
    /// the cursor is not one that this service gave out
    Malformed,
    /// the cursor belongs to another step
    OtherStep,
}

impl std::error::Error for CursorError {}

const WORD_BITS: u32 = u64::BITS;
const WORD_DIGITS: usize = 16;

fn digest_of(step: &StepId) -> u64 {
    stable_hash(&[step.group.as_str().as_bytes(), &step.step.to_le_bytes()])
}

impl Cursor {
    /// An empty cursor for a step of `slots` slots.
    pub fn empty(step: &StepId, slots: u32) -> Self {
        Self {
            step_digest: digest_of(step),
            slots,
            words: vec![0; slots.div_ceil(WORD_BITS) as usize],
        }
    }

    /// Whether the trainer holds the slot.
    pub fn contains(&self, slot: u32) -> bool {
        let word = self.words.get((slot / WORD_BITS) as usize);
        word.is_some_and(|word| word >> (slot % WORD_BITS) & 1 == 1)
    }

    /// Adds a slot. Slots that the step does not have are ignored.
    pub fn insert(&mut self, slot: u32) {
        if slot < self.slots {
            self.words[(slot / WORD_BITS) as usize] |= 1 << (slot % WORD_BITS);
        }
    }

    /// Number of slots held.
    pub(crate) fn held_count(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }

    /// Whether all slots are held.
    pub fn is_complete(&self) -> bool {
        self.held_count() == self.slots
    }

    /// Checks that the cursor belongs to the given step and has its number of slots.
    pub fn belongs_to(&self, step: &StepId, slots: u32) -> Result<(), CursorError> {
        if self.step_digest == digest_of(step) && self.slots == slots {
            Ok(())
        } else {
            Err(CursorError::OtherStep)
        }
    }
}

impl fmt::Display for Cursor {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:08x}", self.step_digest, self.slots)?;
        for word in &self.words {
            write!(formatter, "{word:016x}")?;
        }
        Ok(())
    }
}

impl FromStr for Cursor {
    type Err = CursorError;

    fn from_str(text: &str) -> Result<Self, CursorError> {
        let malformed = CursorError::Malformed;
        if !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(malformed);
        }
        let parse = |part: Option<&str>| {
            let part = part.ok_or(malformed)?;
            u64::from_str_radix(part, 16).map_err(|_| malformed)
        };
        let step_digest = parse(text.get(..16))?;
        let slots = parse(text.get(16..24))? as u32;
        let digits = text.get(24..).ok_or(malformed)?;
        if digits.len() != slots.div_ceil(WORD_BITS) as usize * WORD_DIGITS {
            return Err(malformed);
        }
        let starts = (0..digits.len()).step_by(WORD_DIGITS);
        let words: Result<Vec<u64>, CursorError> = starts
            .map(|start| parse(digits.get(start..start + WORD_DIGITS)))
            .collect();
        let cursor = Self {
            step_digest,
            slots,
            words: words?,
        };
        let unused_from = slots % WORD_BITS;
        let last = cursor.words.last().copied().unwrap_or(0);
        if unused_from != 0 && last >> unused_from != 0 {
            return Err(malformed);
        }
        Ok(cursor)
    }
}
