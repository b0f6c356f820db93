//! What must hold of every result and every order, whatever happens.

use brasspond_jobs::{JobTable, Listing, Outcome, Submission};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Lease of an order, in ms.
const LEASE_MS: u64 = 3_000;

/// An item as its caller means it.
#[derive(Clone, Debug)]
pub struct ItemPlan {
    pub length: u64,
    /// Runs that fail before one succeeds.
    pub failures: u32,
    pub impossible: bool,
}

/// An order as it left for a replica.
#[derive(Clone, Debug)]
pub struct GivenOrder {
    pub replica: String,
    pub holder: String,
    pub version: u64,
    pub at: u64,
}

/// What truly happened, and what was promised.
#[derive(Debug, Default)]
pub struct Oracle {
    pub plans: HashMap<String, ItemPlan>,
    /// Versions that truly made each event of an item.
    pub made: HashMap<(String, u64), BTreeSet<u64>>,
    /// Answers by which a replica failed an item.
    pub failures: HashMap<String, u32>,
    pub named: u64,
    pub max_attempts: u32,
    pub orders: BTreeMap<String, Vec<GivenOrder>>,
}

/// The data of an item's event.
pub fn event_data(item: &str, number: u64) -> String {
    format!("{item}#{number}")
}

impl Oracle {
    /// An event was made by a replica under a version.
    pub fn event_made(&mut self, item: &str, number: u64, version: u64) {
        let key = (item.to_string(), number);
        self.made.entry(key).or_default().insert(version);
    }

    /// A result was put forward: it must be whole and true.
    pub fn check_listing(&self, listing: &Listing, table: &JobTable, single_version: bool) {
        let job = table.job(&listing.job).expect("a listed job is known");
        let item = &job.items[listing.item as usize].id;
        let plan = &self.plans[item];
        match &listing.outcome {
            Outcome::Completed { text, versions } => {
                let lines = (1..=plan.length).map(|number| event_data(item, number));
                let whole = lines.collect::<Vec<_>>().join("\n");
                let text = std::str::from_utf8(text).expect("text");
                let lines = text.lines().count();
                assert!(
                    text == whole,
                    "{item}: {lines} lines of {}, or others",
                    plan.length
                );
                self.check_versions(item, plan.length, versions, job.min_version);
                assert!(!single_version || versions.len() == 1, "{item} is mixed");
                assert!(!plan.impossible, "{item} can never be done");
            }
            Outcome::Terminated => {
                let failed = self.failures.get(item).copied().unwrap_or(0);
                let may_give_up = plan.impossible || failed >= self.max_attempts || job.ended;
                assert!(may_give_up, "{item} was given up after {failed} failures");
            }
        }
    }

    /// The versions named are those that made its events, and none is too old.
    fn check_versions(&self, item: &str, length: u64, versions: &[u64], min_version: u64) {
        let mut possible = BTreeSet::new();
        for number in 1..=length {
            let made = &self.made[&(item.to_string(), number)];
            possible.extend(made.iter().copied());
            let named = made.iter().any(|version| versions.contains(version));
            assert!(
                named,
                "event {number} of {item}: {made:?}, named {versions:?}"
            );
        }
        for version in versions {
            assert!(possible.contains(version), "{item} names {version}");
            assert!(*version >= min_version, "{item} is older than its bound");
        }
    }

    /// A holder gives an order.
    pub fn check_order(&mut self, order: GivenOrder) {
        assert!(
            order.version <= self.named,
            "a version not named is ordered"
        );
        let given = self.orders.entry(order.replica.clone()).or_default();
        for earlier in given.iter() {
            let is_other = earlier.holder != order.holder;
            let is_leased = order.at < earlier.at + LEASE_MS;
            assert!(
                !(is_other && is_leased),
                "two holders: {earlier:?}, {order:?}"
            );
            let goes_back = earlier.version > order.version;
            assert!(!goes_back, "an older version after a newer: {order:?}");
        }
        given.push(order);
    }

    /// No item stands twice, and nothing but what was handed in.
    pub fn check_table(&self, table: &JobTable, submitted: &[Submission]) {
        for submission in submitted {
            let job = table.job(&submission.id).expect("an accepted job is kept");
            let mut seen = BTreeSet::new();
            for (item, _) in &job.results {
                assert!(seen.insert(*item), "{item} stands twice");
            }
            assert_eq!(job.items.len(), submission.items.len());
        }
    }
}
