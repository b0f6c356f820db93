//! What must hold of every result and every order, whatever happens.

use brasspond_jobs::{Item, Job, JobTable, Listing, Outcome, Submission};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Lease of an order, in ms.
const LEASE_MS: u64 = 3_000;
/// A second, in ms.
const SECOND: u64 = 1_000;

/// An item as its caller means it.
#[derive(Clone, Debug)]
pub struct ItemPlan {
    pub length: u64,
    /// Runs that fail before one succeeds.
    pub failures: u32,
    pub impossible: bool,
    /// Its scoring call always fails.
    pub score_fails: bool,
}

/// An answer to a scoring call.
#[derive(Clone, Debug)]
struct Signed {
    call: String,
    at: u64,
}

/// A run that made a whole text.
#[derive(Clone, Debug)]
struct WholeRun {
    at: u64,
    versions: Vec<u64>,
}

/// An order as it was sent to a replica.
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
    /// Requests as they reached replicas that warm up, by the replica.
    arrivals: HashMap<String, Vec<u64>>,
    pub named: u64,
    pub max_attempts: u32,
    pub orders: BTreeMap<String, Vec<GivenOrder>>,
    /// Whether an item has a scoring call, in all its jobs.
    pub scored: HashMap<String, bool>,
    /// Scoring calls of an item, one for each of its jobs.
    pub calls: HashMap<String, BTreeSet<String>>,
    /// Answers to scoring calls, by their signature.
    signed: HashMap<String, Signed>,
    /// Runs that made the whole text of an item.
    whole: HashMap<String, Vec<WholeRun>>,
    /// Items whose scoring call failed as often as its route allows.
    pub score_failed: BTreeSet<String>,
    /// Results as they were first read, by job and item.
    read: HashMap<(String, u32), Outcome>,
}

/// The data of an item's event.
pub fn event_data(item: &str, number: u64) -> String {
    format!("{item}#{number}")
}

impl Oracle {
    pub fn new(named: u64, max_attempts: u32) -> Self {
        Self {
            named,
            max_attempts,
            ..Self::default()
        }
    }

    /// An event was made by a replica under a version.
    pub fn event_made(&mut self, item: &str, number: u64, version: u64) {
        let key = (item.to_string(), number);
        self.made.entry(key).or_default().insert(version);
    }

    /// A request reached a replica that warms up, which bears so many a second.
    pub fn arrived(&mut self, replica: &str, most: usize, at: u64) {
        let arrivals = self.arrivals.entry(replica.to_string()).or_default();
        arrivals.push(at);
        let lately = arrivals.iter().rev().take_while(|one| **one + SECOND > at);
        let lately = lately.count();
        assert!(lately <= most, "{lately} within a second at {replica}");
    }

    /// A run made its last event.
    pub fn text_made(&mut self, item: &str, versions: Vec<u64>, at: u64) {
        let run = WholeRun { at, versions };
        self.whole.entry(item.to_string()).or_default().push(run);
    }

    /// A replica answers a scoring call; its signature.
    pub fn sign(&mut self, call: &str, at: u64) -> String {
        let signature = format!("{call}.{}", self.signed.len());
        let call = call.to_string();
        self.signed.insert(signature.clone(), Signed { call, at });
        signature
    }

    /// An item was given up: its route must allow it.
    pub fn check_listing(&self, listing: &Listing, table: &JobTable) {
        let job = table.job(&listing.job).expect("a listed job is known");
        let item = &job.items[listing.item as usize];
        match &listing.outcome {
            Outcome::Completed { .. } => panic!("{} comes without its parts", item.id),
            Outcome::Terminated => {
                let plan = &self.plans[&item.id];
                let failed = self.failures.get(&item.id).copied().unwrap_or(0);
                let may_give_up = plan.impossible
                    || failed >= self.max_attempts
                    || job.ended
                    || self.score_failed.contains(&item.id);
                assert!(may_give_up, "{} was given up after {failed}", item.id);
            }
        }
    }

    /// Parts of an item's text are kept: they must be its first, and truly made.
    pub fn check_parts(&self, table: &JobTable, job: &str, item: u32) {
        let Some(job) = table.job(job) else {
            return;
        };
        let id = &job.items[item as usize].id;
        let parts = job.parts.get(&item).map_or(&[][..], Vec::as_slice);
        for (number, part) in (1..).zip(parts) {
            assert_eq!(part.data, event_data(id, number), "another part of {id}");
            let made = &self.made[&(id.clone(), number)];
            assert!(made.contains(&part.version), "{id} has a part of another");
            assert!(part.version >= job.min_version, "{id} has a part too old");
        }
    }

    /// A whole text is kept or listed: it must be whole and true, and its score
    /// the answer to its own call, made after the last event.
    pub fn check_whole(&self, table: &JobTable, job: &str, item: u32, single_version: bool) {
        let Some(job) = table.job(job) else {
            return;
        };
        let stored = &job.items[item as usize];
        if let Some((text, versions)) = job.text(item) {
            self.check_text(job, stored, text, versions, single_version);
        }
        let mut results = job.results.iter();
        if let Some((
            _,
            Outcome::Completed {
                versions, score, ..
            },
        )) = results.find(|(listed, _)| *listed == item)
        {
            let call = self.calls.get(&stored.id);
            assert_eq!(
                score.is_some(),
                call.is_some(),
                "{} and its score",
                stored.id
            );
            if let Some(score) = score {
                self.check_score(&stored.id, versions, score);
            }
        }
    }

    fn check_score(&self, item: &str, versions: &[u64], score: &str) {
        let signed = &self.signed[score];
        let mut runs = self.whole[item].iter();
        let in_time = runs.any(|run| run.at <= signed.at && run.versions == *versions);
        assert!(in_time, "{item} was scored before its end");
        let is_own = self.calls[item].contains(&signed.call);
        assert!(is_own, "{item} has another's score");
    }

    /// Results in the table stay as they were first read.
    pub fn check_results(&mut self, table: &JobTable, job_id: &str) {
        let Some(job) = table.job(job_id) else {
            return;
        };
        for (item, outcome) in &job.results {
            let place = (job_id.to_string(), *item);
            let known = self.read.entry(place).or_insert_with(|| outcome.clone());
            assert_eq!(known, outcome, "a result changed");
        }
    }

    fn check_text(
        &self,
        job: &Job,
        item: &Item,
        text: &[u8],
        versions: &[u64],
        single_version: bool,
    ) {
        let item = &item.id;
        let plan = &self.plans[item];
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

    /// No item is listed twice, and only items that were submitted are.
    pub fn check_table(&self, table: &JobTable, submitted: &[Submission]) {
        for submission in submitted {
            let job = table.job(&submission.id).expect("an accepted job is kept");
            let mut seen = BTreeSet::new();
            for (item, _) in &job.results {
                assert!(seen.insert(*item), "{item} is listed twice");
            }
            assert_eq!(job.items.len(), submission.items.len());
            for (item, outcome) in &job.results {
                let is_scored = submission.items[*item as usize].scoring.is_some();
                if let Outcome::Completed { score, .. } = outcome {
                    assert_eq!(score.is_some(), is_scored, "{item} lacks a score, or not");
                }
            }
        }
    }
}
