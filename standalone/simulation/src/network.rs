//! Simulated network: delays, losses and partitions between zones.

use crate::config::{NetworkConfig, WorldConfig};
use brasspond_types::Locality;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// The network between zones, with its current partitions.
pub(crate) struct Network {
    config: NetworkConfig,
    zones_per_region: usize,
    /// Zones that are cut off from all other zones and from the platform.
    cut_zones: BTreeSet<usize>,
    /// Whether the regions are partitioned from one another.
    regions_partitioned: bool,
    extra_loss: f64,
}

impl Network {
    pub(crate) fn new(config: &WorldConfig) -> Self {
        Self {
            config: config.network,
            zones_per_region: config.zones_per_region,
            cut_zones: BTreeSet::new(),
            regions_partitioned: false,
            extra_loss: 0.0,
        }
    }

    /// Region and zone names for a zone index.
    pub(crate) fn locality(&self, zone: usize) -> Locality {
        let region = zone / self.zones_per_region;
        Locality::new(&format!("region-{region}"), &format!("zone-{zone}"))
    }

    pub(crate) fn set_zone_cut(&mut self, zone: usize, cut: bool) {
        if cut {
            self.cut_zones.insert(zone);
        } else {
            self.cut_zones.remove(&zone);
        }
    }

    pub(crate) fn set_regions_partitioned(&mut self, partitioned: bool) {
        self.regions_partitioned = partitioned;
    }

    pub(crate) fn set_extra_loss(&mut self, loss: f64) {
        self.extra_loss = loss;
    }

    /// Whether a zone can reach the platform.
    pub(crate) fn reaches_platform(&self, zone: usize) -> bool {
        !self.cut_zones.contains(&zone)
    }

    /// Whether messages pass between two zones.
    pub(crate) fn connects(&self, from: usize, to: usize) -> bool {
        let is_cut = from != to && (self.cut_zones.contains(&from) || self.cut_zones.contains(&to));
        let same_region = from / self.zones_per_region == to / self.zones_per_region;
        !is_cut && (same_region || !self.regions_partitioned)
    }

    /// One-way delay of a reliable connection between two zones.
    pub(crate) fn delay(&self, from: usize, to: usize) -> Duration {
        if from == to {
            self.config.zone_delay
        } else if from / self.zones_per_region == to / self.zones_per_region {
            self.config.region_delay
        } else {
            self.config.far_delay
        }
    }

    /// Draws the delay of each copy of a datagram that arrives. The result is empty if the datagram
    /// is lost.
    pub(crate) fn datagram(
        &self,
        from: usize,
        to: usize,
        random: &mut ChaCha8Rng,
    ) -> Vec<Duration> {
        let loss = (self.config.loss + self.extra_loss).min(1.0);
        if !self.connects(from, to) || random.random_bool(loss) {
            return Vec::new();
        }
        let copies = if random.random_bool(self.config.duplicate) {
            2
        } else {
            1
        };
        let draw = |_| {
            let base = self.delay(from, to).mul_f64(random.random_range(1.0..1.5));
            let is_late = random.random_bool(self.config.late);
            let late = if is_late {
                random.random_range(0.0..1.0)
            } else {
                0.0
            };
            base + self.config.late_by.mul_f64(late)
        };
        (0..copies).map(draw).collect()
    }
}
