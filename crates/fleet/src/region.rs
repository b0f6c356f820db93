//! Regions that data may be in.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Regions in which requests of a route or a tenant may be served and kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Regions {
    /// Anywhere.
    #[default]
    Any,
    /// Only in these; nowhere if there are none.
    Only(Arc<BTreeSet<Arc<str>>>),
}

impl Regions {
    /// Only these.
    pub fn only<'a>(regions: impl IntoIterator<Item = &'a str>) -> Self {
        let regions = regions.into_iter().map(Arc::from);
        Self::Only(Arc::new(regions.collect()))
    }

    /// The regions that both allow.
    pub fn and(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Any, bound) | (bound, Self::Any) => bound.clone(),
            (Self::Only(one), Self::Only(other)) => {
                Self::Only(Arc::new(one.intersection(other).cloned().collect()))
            }
        }
    }

    /// Whether data may be in a region; bound data may not where the region is unknown.
    pub fn allows(&self, region: Option<&str>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// Whether data may be nowhere.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Only(regions) if regions.is_empty())
    }

    /// Whether data is bound to regions.
    pub fn is_bound(&self) -> bool {
        *self != Self::Any
    }
}
