//! Regions where data may be served and stored.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Regions in which requests of a route or a tenant may be served and stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Regions {
    /// Any region.
    #[default]
    Any,
    /// Only these regions. If the set is empty, no region is allowed.
    Only(Arc<BTreeSet<Arc<str>>>),
}

impl Regions {
    /// Restricts data to the given regions.
    pub fn only<'a>(regions: impl IntoIterator<Item = &'a str>) -> Self {
        let regions = regions.into_iter().map(Arc::from);
        Self::Only(Arc::new(regions.collect()))
    }

    /// Returns the regions that both `self` and `other` allow.
    pub fn and(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Any, regions) | (regions, Self::Any) => regions.clone(),
            (Self::Only(one), Self::Only(other)) => {
                Self::Only(Arc::new(one.intersection(other).cloned().collect()))
            }
        }
    }

    /// Whether data may be in a region. Restricted data may not be in an unknown region.
    pub fn allows(&self, region: Option<&str>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// Whether no region is allowed.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Only(regions) if regions.is_empty())
    }

    /// Whether data is restricted to certain regions.
    pub fn is_bound(&self) -> bool {
        *self != Self::Any
    }
}
