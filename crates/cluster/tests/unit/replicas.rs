//! Replicas for tests.

use brasspond_fleet::{Life, ReplicaInfo};

/// A replica without models. Ids and addresses have the length of those in a large fleet.
pub(crate) fn replica(number: u64, revision: u64) -> ReplicaInfo {
    ReplicaInfo {
        id: format!("i-{:010x}", number * 2_654_435_761).into(),
        service: "generation".into(),
        address: ([10, 3, (number >> 8) as u8, number as u8], 8_000).into(),
        zone: "zone-a".into(),
        slots: 8,
        draining: false,
        models: Vec::new().into(),
        revision,
        is_spot: false,
        notice_ms: None,
        region: None,
        warming_ms: 0,
        life: Life::UNKNOWN,
    }
}
