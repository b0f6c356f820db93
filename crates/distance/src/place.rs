//! Places, and the class of distance between two of them.

use std::sync::Arc;

/// Where a process or a replica runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Name of the zone.
    pub zone: Arc<str>,
    /// Name of the region of that zone; none: the layout does not say.
    pub region: Option<Arc<str>>,
}

/// How far two places are from one another, the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In one zone.
    SameZone,
    /// In two zones of one region, or in two zones of which one has no known region.
    SameRegion,
    /// In two regions.
    OtherRegion,
}

impl Distance {
    /// All classes, the nearest first.
    pub const ALL: [Self; 3] = [Self::SameZone, Self::SameRegion, Self::OtherRegion];

    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::SameZone => "same_zone",
            Self::SameRegion => "same_region",
            Self::OtherRegion => "other_region",
        }
    }
}

impl Place {
    /// A place in a zone of a region.
    pub fn new(zone: &str, region: Option<Arc<str>>) -> Self {
        let zone = zone.into();
        Self { zone, region }
    }

    /// How far another zone is from here.
    ///
    /// ```
    /// use brasspond_distance::{Distance, Place};
    /// let here = Place::new("a1", Some("a".into()));
    /// assert_eq!(here.distance_to("a1", Some("a")), Distance::SameZone);
    /// assert_eq!(here.distance_to("b1", Some("b")), Distance::OtherRegion);
    /// ```
    pub fn distance_to(&self, zone: &str, region: Option<&str>) -> Distance {
        if *self.zone == *zone {
            return Distance::SameZone;
        }
        match (self.region.as_deref(), region) {
            (Some(own), Some(other)) if own != other => Distance::OtherRegion,
            _ => Distance::SameRegion,
        }
    }
}
