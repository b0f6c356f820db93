//! Report of the demonstration, as text and as JSON.

use crate::services::CallerRecord;
use crate::trainer::TrainerRecord;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Sample counts, as recorded by the trainers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SampleCounts {
    /// Samples that the trainers requested.
    pub requested: u64,
    /// Samples that the trainers received, including duplicates.
    pub delivered: u64,
    /// Samples that were received again after the first delivery.
    pub duplicates: u64,
    /// Samples that were never received.
    pub missing: u64,
    /// Samples whose oldest version is further behind the newest one than their group allows.
    pub stale: u64,
    /// Samples without a version label, or whose text does not match their version label.
    pub mislabelled: u64,
}

/// Quantiles of a distribution.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

impl Quantiles {
    /// Computes quantiles of `values`, rounded to thousandths and recorded with three significant
    /// digits.
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
    /// Number of versions behind the newest.
    pub versions: Quantiles,
    /// Seconds since the sample's oldest version was superseded; zero if it is still the newest.
    pub seconds: Quantiles,
}

/// Measurements of one trainer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct TrainerReport {
    /// Fraction of the run that the trainer spent waiting for samples.
    pub idle_fraction: f64,
    /// Staleness of the received samples.
    pub staleness: Staleness,
}

/// Declared and received share of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Share {
    /// Declared fraction of the total weight of all groups.
    pub declared: f64,
    /// Fraction of the generated tokens, according to the engines' records.
    pub received: f64,
}

/// Results of loans and look-ups.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ServiceReport {
    /// Requests sent. The two concurrent requests for a loan count as one.
    pub sent: u64,
    /// Requests answered with success.
    pub answered: u64,
    /// Loans that ran more than once, according to the services' records.
    pub run_twice: u64,
    /// Loans that were answered with success although no service ran them.
    pub answered_without_run: u64,
    /// Latency of look-ups, in milliseconds.
    pub lookup_milliseconds: Quantiles,
}

/// Complete report of the demonstration.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Duration of the demonstration, in seconds.
    pub seconds: f64,
    /// Sample counts over all trainers.
    pub samples: SampleCounts,
    /// Trainer measurements by group.
    pub trainers: BTreeMap<String, TrainerReport>,
    /// Declared and received shares by group.
    pub share: BTreeMap<String, Share>,
    /// Results of the lending and look-up services.
    pub services: ServiceReport,
}

impl Report {
    /// Adds a trainer's record.
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

    /// Compares the caller's record with the number of executions of each loan.
    pub(crate) fn add_services(
        &mut self,
        caller: &CallerRecord,
        executions: &BTreeMap<String, u32>,
    ) {
        self.services = ServiceReport {
            sent: caller.sent,
            answered: caller.answered,
            run_twice: executions.values().filter(|count| **count > 1).count() as u64,
            answered_without_run: caller
                .successful_loans
                .iter()
                .filter(|key| !executions.contains_key(*key))
                .count() as u64,
            lookup_milliseconds: Quantiles::of(caller.lookup_milliseconds.iter().copied()),
        };
    }

    /// Whether every requested sample was delivered exactly once, fresh and correctly labelled, and
    /// no loan ran twice or was answered with success without a run.
    pub fn is_correct(&self) -> bool {
        let samples = &self.samples;
        let bad = samples.duplicates + samples.missing + samples.stale + samples.mislabelled;
        let services = self.services.run_twice + self.services.answered_without_run;
        samples.requested > 0 && samples.delivered == samples.requested && bad + services == 0
    }

    /// Human-readable summary.
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
