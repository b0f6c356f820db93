//! The oracle: what must always hold, as plain code.
//!
//! Fed by trainers, callers, engines, services and the store, one check for
//! each line.

use brasspond_resource::Revision;
use brasspond_types::{StepId, Timestamp, VersionSpan, WeightVersion};
use displaydoc::Display;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What must always hold.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guarantee {
    /// each sample names the weight versions that truly made it
    TrueVersions,
    /// no sample is older than its group's staleness bound
    StalenessBound,
    /// each sample reaches its trainer exactly once
    ExactlyOnce,
    /// a caller gets the whole answer to its own request
    WholeAnswer,
    /// a refusal that says not run is true
    TrueRefusal,
    /// a non-repeatable request runs at most once
    AtMostOnce,
    /// a leaving back end gets no new work after seconds
    LeavingGetsNoWork,
    /// a planned stop cuts off no request in progress
    StopCutsNothing,
    /// an accepted configuration never reverts
    NeverReverts,
    /// an accepted configuration comes into force everywhere
    InForceEverywhere,
}

/// A broken guarantee.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// What was broken.
    pub guarantee: Guarantee,
    /// When.
    pub at: Timestamp,
    /// How.
    pub detail: String,
}

/// Time after which a leaving back end must get no new work: within the bound of 2 to 4 s.
pub(crate) const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// The oracle.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    violations: Vec<Violation>,
    delivered: BTreeMap<StepId, BTreeSet<u32>>,
    runs: BTreeMap<u64, u32>,
    in_force: BTreeMap<usize, Revision>,
}

impl Oracle {
    /// Everything that was broken, in order.
    pub(crate) fn violations(&self) -> &[Violation] {
        &self.violations
    }

    fn broken(&mut self, guarantee: Guarantee, at: Timestamp, detail: String) {
        self.violations.push(Violation {
            guarantee,
            at,
            detail,
        });
    }

    /// A trainer received a sample: its label against the engines' own marks.
    pub(crate) fn check_versions(
        &mut self,
        at: Timestamp,
        label: &[VersionSpan],
        truth: &[VersionSpan],
    ) {
        if label != truth {
            let detail = format!("labelled {label:?}, made by {truth:?}");
            self.broken(Guarantee::TrueVersions, at, detail);
        }
    }

    /// A trainer received a sample: its oldest version against the newest the
    /// trainer had published when it asked.
    pub(crate) fn check_staleness(
        &mut self,
        at: Timestamp,
        oldest: WeightVersion,
        newest: WeightVersion,
        bound: u64,
    ) {
        if oldest.behind(newest) > bound {
            let detail =
                format!("version {oldest} handed over with {newest} published, bound {bound}");
            self.broken(Guarantee::StalenessBound, at, detail);
        }
    }

    /// A trainer took in a sample.
    pub(crate) fn check_once(&mut self, at: Timestamp, step: &StepId, slot: u32) {
        if !self.delivered.entry(step.clone()).or_default().insert(slot) {
            self.broken(Guarantee::ExactlyOnce, at, format!("{step}/{slot} twice"));
        }
    }

    /// A trainer is done with a step, or the run ended: all slots must be there.
    pub(crate) fn check_complete(&mut self, at: Timestamp, step: &StepId, slots: u32) {
        let held = self.delivered.get(step).map_or(0, BTreeSet::len);
        if held != slots as usize {
            let detail = format!("{step}: {held} of {slots} samples");
            self.broken(Guarantee::ExactlyOnce, at, detail);
        }
    }

    /// An answer arrived: its tokens, and whose they are, against the request.
    pub(crate) fn check_whole(&mut self, at: Timestamp, got: u64, wanted: u64, is_own: bool) {
        if got != wanted || !is_own {
            let detail = format!("{got} of {wanted} tokens, own: {is_own}");
            self.broken(Guarantee::WholeAnswer, at, detail);
        }
    }

    /// A refusal arrived: what it says against what the back ends saw.
    pub(crate) fn check_refusal(&mut self, at: Timestamp, says_not_run: bool, ran: bool) {
        if says_not_run && ran {
            let detail = "said not-run of a request that a back end had begun".to_owned();
            self.broken(Guarantee::TrueRefusal, at, detail);
        }
    }

    /// A service ran a non-repeatable request.
    pub(crate) fn check_run(&mut self, at: Timestamp, key: u64) {
        let runs = self.runs.entry(key).or_default();
        *runs += 1;
        if *runs > 1 {
            let detail = format!("key {key} ran {runs} times");
            self.broken(Guarantee::AtMostOnce, at, detail);
        }
    }

    /// An engine began a request.
    pub(crate) fn check_begun(&mut self, at: Timestamp, leaving_since: Option<Timestamp>) {
        if let Some(since) = leaving_since
            && at.since(since) > LEAVING_GRACE
        {
            let detail = format!(
                "new work {:?} after the engine began to leave",
                at.since(since)
            );
            self.broken(Guarantee::LeavingGetsNoWork, at, detail);
        }
    }

    /// A node told to stop has stopped.
    pub(crate) fn check_stopped(&mut self, at: Timestamp, requests_cut: usize) {
        if requests_cut > 0 {
            let detail = format!("{requests_cut} requests cut off");
            self.broken(Guarantee::StopCutsNothing, at, detail);
        }
    }

    /// A node that takes work has a revision in force.
    pub(crate) fn check_revision(&mut self, at: Timestamp, node: usize, revision: Revision) {
        let newest = self.in_force.entry(node).or_default();
        let before = *newest;
        *newest = before.max(revision);
        if revision < before {
            let detail = format!("node {node} fell back from {before} to {revision}");
            self.broken(Guarantee::NeverReverts, at, detail);
        }
    }

    /// An accepted write against the store's own log.
    pub(crate) fn check_accepted(&mut self, at: Timestamp, is_in_store: bool) {
        if !is_in_store {
            let detail = "an accepted write is not in the store".to_owned();
            self.broken(Guarantee::NeverReverts, at, detail);
        }
    }

    /// The network is whole and nothing has changed for long enough.
    pub(crate) fn check_everywhere(
        &mut self,
        at: Timestamp,
        node: usize,
        has: Revision,
        wants: Revision,
        same: bool,
    ) {
        if has != wants || !same {
            let detail =
                format!("node {node} has {has} in force, the store {wants}, equal content: {same}");
            self.broken(Guarantee::InForceEverywhere, at, detail);
        }
    }
}
