//! What is known of each replica: its load, its speed, its faults.

use crate::load_cost::{LoadCost, Means};
use crate::warming::Warming;
use brasspond_eligibility::{Standing, Weights, Work};
use brasspond_fleet::{FleetView, Lives, Regions};
use brasspond_units::Millis;
use brasspond_warmup::Budget;
use std::collections::{BTreeMap, HashMap};

/// First pause after a fault of a replica, in ms; it doubles with each more.
const FIRST_PAUSE: Millis = 150;
/// Longest pause, in ms.
const LONGEST_PAUSE: Millis = 2_000;
/// Weight of a new speed against what was known.
const SPEED_WEIGHT: f64 = 0.3;
/// Time after a load in which runs still tell of the pause it made, in ms.
const AFTER_LOAD: Millis = 400;

/// A replica. Of its id are places taken, the budget and what goes with it; the entry says
/// anew where it stands; all else is of its present life (`Replica::begin_life`).
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    /// What decides whether it takes work at all.
    pub standing: Standing,
    pub slots: usize,
    /// It was given notice, and is gone soon.
    pub leaves: bool,
    pub running: usize,
    /// Milliseconds an event takes while nothing else runs; none before any was seen.
    pub event_ms: Option<f64>,
    /// Its paces and fill lately.
    pub means: Option<Means>,
    pub faults: u32,
    pub paused_until: Millis,
    /// Paces told earlier say nothing: it loaded, or warmed up.
    pub paced_from: Millis,
    /// What it may be sent while it warms up; none: it never warmed up here, or its service
    /// names no bound.
    pub budget: Option<Budget>,
    /// Until when the budget is kept to.
    pub bounded_until: Millis,
    /// An earlier view had it too: it may have been sent requests.
    pub is_old: bool,
}

/// All replicas by id.
#[derive(Debug, Default)]
pub(crate) struct Replicas {
    pub by_id: BTreeMap<String, Replica>,
    /// Median time of an event by service, as of the last tick.
    typical: HashMap<String, f64>,
    /// What a full replica costs, by service.
    load_costs: HashMap<String, LoadCost>,
    /// Those that warm up.
    pub warming: Warming,
    /// The newest life of each that was heard of.
    pub lives: Lives,
}

/// What a run asks of a replica.
pub(crate) struct Need<'a> {
    pub service: &'a str,
    pub regions: &'a Regions,
    pub model: &'a str,
    pub min_version: u64,
    /// The one version that may go on with what was made.
    pub exact: Option<u64>,
}

impl<'a> Need<'a> {
    /// What is asked on every way to a replica. An item of a held content is withheld
    /// before any replica is looked for.
    pub fn work(&self, now: Millis) -> Work<'a> {
        Work {
            service: self.service,
            regions: self.regions,
            weights: Some(Weights {
                model: self.model,
                least: self.min_version,
                exact: self.exact,
            }),
            is_quarantined: false,
            now,
            permit: None,
        }
    }
}

impl Replicas {
    /// Takes a newer view whose lives were heard; an entry of an earlier life allows
    /// nothing.
    pub fn take_view(&mut self, view: &FleetView, now: Millis) {
        let unknown_until = self.unknown_until(now);
        self.by_id.retain(|id, replica| {
            let is_listed = view.replicas.contains_key(id);
            if !is_listed {
                replica.standing.draining = true;
            }
            is_listed || replica.running > 0 || replica.has_counted_grants(now)
        });
        for (id, info) in view.replicas.iter() {
            if !self.lives.may_say(id, info.life) {
                if let Some(known) = self.by_id.get_mut(id) {
                    known.standing.renew_limits(info, view, now);
                    known.renew_budget(view, unknown_until, now);
                }
                continue;
            }
            let replica = match self.by_id.get_mut(id) {
                Some(known) => known,
                None => self.by_id.entry(id.clone()).or_insert(Replica {
                    standing: Standing::new(info, view, now),
                    slots: info.slots as usize,
                    leaves: false,
                    running: 0,
                    event_ms: None,
                    means: None,
                    faults: 0,
                    paused_until: 0,
                    paced_from: 0,
                    budget: None,
                    bounded_until: 0,
                    is_old: false,
                }),
            };
            replica.standing.renew(info, view, now);
            replica.renew_budget(view, unknown_until, now);
            replica.is_old = true;
            replica.leaves = info.notice_ms.is_some();
            replica.slots = info.slots as usize;
        }
        self.note_budgets(now);
    }

    /// What a full replica of a service costs.
    pub fn load_cost(&self, service: &str) -> LoadCost {
        self.load_costs.get(service).copied().unwrap_or_default()
    }

    /// Time of an event on a replica with `more` runs than it has, in ms; none before
    /// anything is known.
    pub fn pace_with(&self, replica: &Replica, more: usize) -> Option<f64> {
        let typical = self.typical_event_ms(&replica.standing.service);
        let event_ms = replica.event_ms.or(typical)?;
        let fill = (replica.running + more) as f64 / replica.slots.max(1) as f64;
        Some(event_ms * self.load_cost(&replica.standing.service).factor(fill))
    }

    /// Median time of an event over the replicas of a service, in ms.
    pub fn typical_event_ms(&self, service: &str) -> Option<f64> {
        self.typical.get(service).copied()
    }

    /// Takes the medians anew: once a tick, not at each placement.
    pub fn renew_typical(&mut self) {
        let mut speeds: HashMap<&str, Vec<f64>> = HashMap::new();
        for replica in self.by_id.values() {
            if let Some(event_ms) = replica.event_ms {
                speeds
                    .entry(&replica.standing.service)
                    .or_default()
                    .push(event_ms);
            }
        }
        let medians = speeds.into_iter().map(|(service, mut speeds)| {
            speeds.sort_by(f64::total_cmp);
            (service.to_string(), speeds[speeds.len() / 2])
        });
        self.typical = medians.collect();
    }

    pub fn note_speed(&mut self, id: &str, event_ms: f64, now: Millis) {
        if let Some(replica) = self.by_id.get_mut(id) {
            if now < replica.paced_from {
                return;
            }
            let fill = replica.fill();
            let service = &*replica.standing.service;
            let load_cost = match self.load_costs.get_mut(service) {
                Some(load_cost) => load_cost,
                None => self.load_costs.entry(service.to_string()).or_default(),
            };
            load_cost.note(&mut replica.means, event_ms, fill);
            let alone = event_ms / load_cost.factor(fill);
            let known = replica.event_ms.unwrap_or(alone);
            replica.event_ms = Some(known + SPEED_WEIGHT * (alone - known));
            replica.faults = 0;
        }
    }

    pub fn note_fault(&mut self, id: &str, now: Millis) {
        if let Some(replica) = self.by_id.get_mut(id) {
            let pause = FIRST_PAUSE << replica.faults.min(4);
            replica.faults += 1;
            replica.paused_until = now + pause.min(LONGEST_PAUSE);
        }
    }

    /// A replica told which versions it holds, and nothing else is known of it.
    pub fn set_versions(&mut self, id: &str, told: &[(String, u64)]) {
        if let Some(replica) = self.by_id.get_mut(id) {
            replica.standing.versions = told.iter().cloned().collect();
        }
    }

    /// A stream showed that a replica does not hold a version. Where it tells no life, or told
    /// none yet, it may have lost it with its start: until this was noted, an item of that
    /// version was sent there every 2 s for good, and no load was due.
    pub fn disprove(&mut self, id: &str, model: &str, version: u64) {
        if let Some(replica) = self.by_id.get_mut(id) {
            let versions = &mut replica.standing.versions;
            if versions.get(model).is_some_and(|known| *known >= version) {
                versions.remove(model);
            }
        }
    }

    /// A replica holds a version; its runs stood still while it loaded.
    pub fn set_version(&mut self, id: &str, model: &str, version: u64, now: Millis) {
        if let Some(replica) = self.by_id.get_mut(id) {
            replica.paced_from = now + AFTER_LOAD;
            let versions = &mut replica.standing.versions;
            versions.insert(model.to_string(), version);
        }
    }
}

impl Replica {
    /// Part of its places that are taken, 0 to 1.
    pub fn fill(&self) -> f64 {
        self.running as f64 / self.slots.max(1) as f64
    }
}
