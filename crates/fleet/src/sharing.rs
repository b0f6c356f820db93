//! Shared copies of values that many replicas have in common: names, and the models that they serve.
//!
//! A process keeps thousands of entries that name the same few services, zones and models. Each
//! distinct value is stored once per thread.

use crate::served::ServedModel;
use serde::{Deserialize, Deserializer};
use std::cell::RefCell;
use std::collections::HashSet;
use std::hash::Hash;
use std::sync::Arc;

/// Smallest number of values at which those without other owners are dropped.
const MIN_PRUNED: usize = 64;

thread_local! {
    static NAMES: RefCell<Shared<str>> = RefCell::default();
    static MODELS: RefCell<Shared<[ServedModel]>> = RefCell::default();
}

/// Distinct values with a shared copy of each.
#[derive(Debug)]
struct Shared<T: ?Sized> {
    values: HashSet<Arc<T>>,
    /// Number of values at which unused ones are dropped.
    prune_at: usize,
}

impl<T: ?Sized> Default for Shared<T> {
    fn default() -> Self {
        Self {
            values: HashSet::new(),
            prune_at: MIN_PRUNED,
        }
    }
}

impl<T: ?Sized + Eq + Hash> Shared<T> {
    fn get(&mut self, value: &T) -> Arc<T>
    where
        Arc<T>: for<'a> From<&'a T>,
    {
        if let Some(known) = self.values.get(value) {
            return Arc::clone(known);
        }
        if self.values.len() >= self.prune_at {
            self.values.retain(|known| Arc::strong_count(known) > 1);
            self.prune_at = MIN_PRUNED.max(2 * self.values.len());
        }
        let shared = Arc::from(value);
        self.values.insert(Arc::clone(&shared));
        shared
    }
}

/// Returns the shared copy of a name.
pub fn shared_name(name: &str) -> Arc<str> {
    NAMES.with_borrow_mut(|names| names.get(name))
}

/// Returns the shared copy of a list of models.
pub(crate) fn shared_models(models: &[ServedModel]) -> Arc<[ServedModel]> {
    MODELS.with_borrow_mut(|known| known.get(models))
}

/// Deserializes a name as its shared copy.
pub(crate) fn name<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Arc<str>, D::Error> {
    let name = String::deserialize(deserializer)?;
    Ok(shared_name(&name))
}

/// Deserializes an optional name as its shared copy.
pub(crate) fn optional_name<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Arc<str>>, D::Error> {
    let name = Option::<String>::deserialize(deserializer)?;
    Ok(name.as_deref().map(shared_name))
}

#[cfg(test)]
#[path = "../tests/unit/sharing.rs"]
mod tests;
