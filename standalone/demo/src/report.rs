//! What the demonstration found, as text and as JSON.

use crate::services::CallerRecord;
use crate::trainer::TrainerRecord;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Samples, counted by the trainers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SampleCounts {
    /// Asked for.
    pub requested: u64,
    /// Handed over.
    pub delivered: u64,
    /// Handed over more than once.
    pub duplicates: u64,
    /// Never handed over.
    pub missing: u64,
    /// Older than the group's bound.
    pub stale: u64,
    /// Whose versions are not those that made it.
    pub mislabelled: u64,
}

/// Quantiles of a distribution.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest.
    pub max: f64,
}

impl Quantiles {
    /// Quantiles of `values`, kept to a thousandth.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Self {
        const RESOLUTION: f64 = 1_000.0;
        let Ok(mut histogram) = Histogram::<u64>::new(3) else {
            return Self::default();
        };
        for value in values {
            let _ = histogram.record((value * RESOLUTION).round() as u64);
        }
        let quantile = |part: f64| histogram.value_at_quantile(part) as f64 / RESOLUTION;
        Self {
            p50: quantile(0.5),
            p99: quantile(0.99),
            max: histogram.max() as f64 / RESOLUTION,
        }
    }
}

/// Staleness of the samples one trainer received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Staleness {
    /// In versions behind the newest.
    pub versions: Quantiles,
    /// In seconds since the oldest version was superseded.
    pub seconds: Quantiles,
}

/// One trainer's figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct TrainerReport {
    /// Part of its time it waited for a batch.
    pub idle_fraction: f64,
    /// Staleness of what it received.
    pub staleness: Staleness,
}

/// A group's part of the tokens the engines generated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Share {
    /// Declared.
    pub declared: f64,
    /// Received, by the engines' records.
    pub received: f64,
}

/// Loans and look-ups.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ServiceReport {
    /// Requests sent, a loan asked for twice counting once.
    pub sent: u64,
    /// Answered with success.
    pub answered: u64,
    /// Loans that ran more than once, by the services' records.
    pub run_twice: u64,
    /// Loans answered with success that no service ran.
    pub answered_without_run: u64,
    /// Time of look-ups, in milliseconds.
    pub lookup_milliseconds: Quantiles,
}

/// Everything the demonstration found.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Length of the run, in seconds.
    pub seconds: f64,
    /// Samples of all trainers.
    pub samples: SampleCounts,
    /// By group.
    pub trainers: BTreeMap<String, TrainerReport>,
    /// By group.
    pub share: BTreeMap<String, Share>,
    /// Plain services.
    pub services: ServiceReport,
}

impl Report {
    /// Enters a trainer's record.
    pub(crate) fn add_trainer(&mut self, group: &str, record: &TrainerRecord) {
        self.samples.requested += record.requested;
        self.samples.delivered += record.delivered;
        self.samples.duplicates += record.duplicates;
        self.samples.missing += record.missing;
        self.samples.stale += record.stale;
        self.samples.mislabelled += record.mislabelled;
        let versions = record
            .staleness_versions
            .iter()
            .map(|versions| *versions as f64);
        let trainer = TrainerReport {
            idle_fraction: record.idle.as_secs_f64() / record.total.as_secs_f64().max(1e-9),
            staleness: Staleness {
                versions: Quantiles::of(versions),
                seconds: Quantiles::of(record.staleness_seconds.iter().copied()),
            },
        };
        self.trainers.insert(group.to_owned(), trainer);
    }

    /// Enters the record of the services' caller against their own.
    pub(crate) fn add_services(&mut self, caller: &CallerRecord, runs: &BTreeMap<String, u32>) {
        self.services = ServiceReport {
            sent: caller.sent,
            answered: caller.answered,
            run_twice: runs.values().filter(|count| **count > 1).count() as u64,
            answered_without_run: caller
                .lent
                .iter()
                .filter(|mark| !runs.contains_key(*mark))
                .count() as u64,
            lookup_milliseconds: Quantiles::of(caller.lookup_milliseconds.iter().copied()),
        };
    }

    /// Whether everything that must hold held.
    pub fn is_correct(&self) -> bool {
        let samples = &self.samples;
        let bad = samples.duplicates + samples.missing + samples.stale + samples.mislabelled;
        let services = self.services.run_twice + self.services.answered_without_run;
        samples.requested > 0 && samples.delivered == samples.requested && bad + services == 0
    }

    /// A short summary for a person.
    pub fn summary(&self) -> String {
        let samples = &self.samples;
        let mut lines = vec![
            format!("seed {}, {:.1} s", self.seed, self.seconds),
            format!(
                "samples: {} requested, {} delivered, {} duplicates, {} missing, {} stale, {} mislabelled",
                samples.requested,
                samples.delivered,
                samples.duplicates,
                samples.missing,
                samples.stale,
                samples.mislabelled
            ),
        ];
        for (group, trainer) in &self.trainers {
            let share = self.share.get(group).copied().unwrap_or_default();
            lines.push(format!(
                "{group}: idle {:.1}%, staleness p99 {} versions, {:.1} s; share {:.2} declared, {:.2} received",
                trainer.idle_fraction * 100.0,
                trainer.staleness.versions.p99,
                trainer.staleness.seconds.p99,
                share.declared,
                share.received
            ));
        }
        lines.push(format!(
            "services: {} sent, {} answered, {} run twice; look-up p99 {:.1} ms",
            self.services.sent,
            self.services.answered,
            self.services.run_twice,
            self.services.lookup_milliseconds.p99
        ));
        let verdict = if self.is_correct() {
            "all correct"
        } else {
            "NOT CORRECT"
        };
        lines.push(verdict.to_owned());
        lines.join("\n")
    }
}
