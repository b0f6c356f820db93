//! State of the fleet: every node reports to the collector, whose summaries are gossiped to all.

use crate::context::Context;
use crate::owner_table::OwnerTable;
use brasspond_fairness::{GroupUsage, UsageTable};
use brasspond_protocol::{PeerMessage, Sender, Summary};
use brasspond_resource::{Revision, VoterIdentity};
use brasspond_routing::PoolLoad;
use brasspond_types::{GroupName, NodeName, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two reports of a node while its configuration does not change.
const REPORT_PERIOD: Duration = Duration::from_secs(3);
/// Time between two summaries.
const SUMMARY_PERIOD: Duration = Duration::from_secs(2);
/// Age beyond which a report is discarded: five report periods, so that single losses do not
/// matter.
const MAX_REPORT_AGE: Duration = Duration::from_secs(15);

#[derive(Debug)]
struct NodeReport {
    instance: u64,
    revision: Revision,
    usage: Vec<GroupUsage>,
    voting: Vec<(u32, u64)>,
    load: PoolLoad,
    at: Timestamp,
}

/// Status of the fleet as shown to operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetStatus {
    /// Number of nodes that accept work.
    pub nodes: u32,
    /// Oldest revision in force at any of them.
    pub revision_in_force: Revision,
    /// Cost served to each group by all nodes.
    pub usage: BTreeMap<GroupName, f64>,
}

/// Reports and summaries at one node.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    reports: BTreeMap<NodeName, NodeReport>,
    summary: Summary,
    last_report: Option<(Revision, Timestamp)>,
    next_summary: Timestamp,
}

impl Fleet {
    /// Status from the newest summary.
    pub(crate) fn status(&self) -> FleetStatus {
        let usage = self.summary.usage.iter();
        FleetStatus {
            nodes: self.summary.nodes,
            revision_in_force: self.summary.oldest_revision,
            usage: usage
                .map(|usage| (usage.group.clone(), usage.served))
                .collect(),
        }
    }

    /// Records a node's report; ignores other messages.
    pub(crate) fn handle_report(&mut self, sender: &Sender, message: PeerMessage, now: Timestamp) {
        let PeerMessage::Report {
            revision,
            usage,
            voting,
            load,
        } = message
        else {
            return;
        };
        let report = NodeReport {
            instance: sender.instance,
            revision,
            usage,
            voting,
            load,
            at: now,
        };
        self.reports.insert(sender.node.clone(), report);
    }

    /// Load of the whole pool in the newest summary.
    pub(crate) fn pool_load(&self) -> PoolLoad {
        self.summary.load
    }

    /// Whether a process reported that it votes in an epoch of a shard.
    pub(crate) fn is_voting(&self, voter: &VoterIdentity, shard: u32, epoch: u64) -> bool {
        let report = self.reports.get(&voter.node);
        report.is_some_and(|report| {
            report.instance == voter.instance && report.voting.contains(&(shard, epoch))
        })
    }

    /// Applies a newer summary. Returns the cost served to each group above its
    /// share since the previous summary, or `None` if the summary is not newer.
    pub(crate) fn apply_summary(
        &mut self,
        summary: Summary,
        context: &mut Context<'_>,
    ) -> Option<BTreeMap<GroupName, f64>> {
        if summary.made <= self.summary.made {
            return None;
        }
        context.gossip(&PeerMessage::Summary(summary.clone()));
        let before = std::mem::replace(&mut self.summary, summary);
        let mut served = UsageTable::default();
        let mut weights = BTreeMap::new();
        let shares = context.catalogue.shares();
        for usage in &self.summary.usage {
            let earlier = before
                .usage
                .iter()
                .find(|earlier| earlier.group == usage.group);
            let earlier = earlier.map_or(usage.served, |earlier| earlier.served);
            served.add(&usage.group, (usage.served - earlier).max(0.0));
            if let Some(weight) = shares.get(&usage.group).filter(|_| usage.waiting) {
                weights.insert(usage.group.clone(), *weight);
            }
        }
        Some(served.excess(&weights))
    }

    /// Sends this node's report when due, and the summary if this node is the collector.
    pub(crate) fn tick(
        &mut self,
        owners: &OwnerTable,
        voting: impl FnOnce(&Context<'_>) -> Vec<(u32, u64)>,
        context: &mut Context<'_>,
    ) {
        let revision = context.catalogue.revision;
        let is_due = self.last_report.is_none_or(|(reported, at)| {
            reported != revision || context.now.since(at) >= REPORT_PERIOD
        });
        let Some(collector) = context.working.collector.clone() else {
            return;
        };
        if is_due {
            self.last_report = Some((revision, context.now));
            let voting = voting(context);
            let usage = owners.usage();
            let load = owners.pool_load();
            let report = PeerMessage::Report {
                revision,
                usage,
                voting,
                load,
            };
            context.send(&collector, report);
        }
        if collector == *context.node_name && context.now >= self.next_summary {
            self.next_summary = context.now + SUMMARY_PERIOD;
            let summary = self.summarise(context);
            context.loopback.push(PeerMessage::Summary(summary));
        }
    }

    fn summarise(&mut self, context: &Context<'_>) -> Summary {
        let now = context.now;
        self.reports
            .retain(|_, report| now.since(report.at) < MAX_REPORT_AGE);
        let mut usage: BTreeMap<GroupName, GroupUsage> = BTreeMap::new();
        for report in self.reports.values() {
            for node_usage in &report.usage {
                let total = usage.entry(node_usage.group.clone()).or_insert(GroupUsage {
                    group: node_usage.group.clone(),
                    served: 0.0,
                    waiting: false,
                });
                total.served += node_usage.served;
                total.waiting |= node_usage.waiting;
            }
        }
        let mut load = PoolLoad::default();
        for report in self.reports.values() {
            load.merge(&report.load);
        }
        let members = &context.working.members;
        let in_force = members.iter().map(|member| {
            let report = self.reports.get(&member.name);
            report.map_or(Revision(0), |report| report.revision)
        });
        Summary {
            made: self.summary.made + 1,
            nodes: members.len() as u32,
            oldest_revision: in_force.min().unwrap_or_default(),
            usage: usage.into_values().collect(),
            load,
        }
    }
}
