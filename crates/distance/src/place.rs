//! Locations of processes and replicas, and the distance class between two locations.

use std::sync::Arc;

/// Location of a process or a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Name of the zone.
    pub zone: Arc<str>,
    /// Name of the region of the zone; `None` if the settings do not define it.
    pub region: Option<Arc<str>>,
}

/// Distance class of two locations. The classes are ordered from nearest to farthest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// Both locations are in the same zone.
    SameZone,
    /// The locations are in two zones of the same region, or the region of either zone is unknown.
    SameRegion,
    /// The locations are in different regions.
    OtherRegion,
}

impl Distance {
    /// All classes, in order from nearest to farthest.
    pub const ALL: [Self; 3] = [Self::SameZone, Self::SameRegion, Self::OtherRegion];

    /// Returns the name of the class in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::SameZone => "same_zone",
            Self::SameRegion => "same_region",
            Self::OtherRegion => "other_region",
        }
    }
}

impl Place {
    /// Creates a location in a zone of a region.
    pub fn new(zone: &str, region: Option<Arc<str>>) -> Self {
        let zone = zone.into();
        Self { zone, region }
    }

    /// Returns the distance class between this location and a zone of a region.
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
