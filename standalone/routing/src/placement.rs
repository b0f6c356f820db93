//! Selection of an engine for one request.

use crate::health::Health;
use crate::load::{EngineLoad, MeanLoad, PoolLoad, SpeedEstimate};
use crate::prefix::BLOCK_TOKENS;
use crate::sent::SentPrefixes;
use brasspond_types::{EngineName, ModelName, Timestamp, WeightVersion, ZoneName, stable_hash};
use rand::Rng;
use std::collections::{BTreeMap, HashMap};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of candidates that rendezvous hashing selects by the prompt's prefix.
const AFFINITY_CANDIDATES: usize = 2;
/// Maximum number of candidates that are drawn at random.
const RANDOM_CANDIDATES: usize = 6;
/// Extra cost of an engine in another zone, for a round trip between zones of a region.
const CROSS_ZONE_COST_MICROS: f64 = 1_000.0;
/// Extra cost of an engine that another node owns. The owner must then be asked to admit the
/// request to the engine, and the reported load may be out of date.
const REMOTE_OWNER_COST_MICROS: f64 = 4_000.0;
/// Age at which a load report has half the weight in the estimated load; the mean load of all
/// engines has the other half. Equals the period of the fleet's load summaries (2 s).
const REPORT_HALF_LIFE_MICROS: f64 = 2_000_000.0;
/// Fraction of the prompt that is expected in the cache of an engine selected by the prompt's
/// prefix. Other nodes may have sent the same prefix to it, since they select the same engines.
const AFFINITY_HIT_RATE: f64 = 0.2;

/// State of an engine as one node knows it.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Name of the engine.
    pub name: EngineName,
    /// Hash of the name, for rendezvous hashing.
    name_hash: u64,
    /// Zone of the engine.
    pub zone: ZoneName,
    /// Models that the engine serves, each with a weight version. The engine can serve a request
    /// only if this version is at least the request's minimum version.
    pub models: BTreeMap<ModelName, WeightVersion>,
    /// Whether the engine is leaving and accepts no new work.
    pub leaving: bool,
    /// Last reported load.
    pub load: EngineLoad,
    /// When this node received the last load report, if any.
    pub load_at: Option<Timestamp>,
    /// Number of requests that this node sent to the engine since that report.
    pub sent_requests: u32,
    /// Expected tokens of the requests that this node sent to the engine since that report.
    pub sent_tokens: f64,
    /// Health as seen from this node.
    pub health: Health,
    /// Whether this node owns the engine, that is, admits all requests to it. The caller can then
    /// record the engine's current load before each choice.
    pub is_owned: bool,
}

impl EngineView {
    /// Creates a view without models and load.
    pub fn new(name: EngineName, zone: ZoneName) -> Self {
        Self {
            name_hash: stable_hash(&[name.as_str().as_bytes()]),
            name,
            zone,
            models: BTreeMap::new(),
            leaving: false,
            load: EngineLoad::default(),
            load_at: None,
            sent_requests: 0,
            sent_tokens: 0.0,
            health: Health::default(),
            is_owned: false,
        }
    }
}

/// A request that needs an engine.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Model that must be served.
    pub model: &'a ModelName,
    /// Oldest acceptable weight version.
    pub minimum_version: WeightVersion,
    /// Hashes of the prompt's full blocks, as [`crate::prefix_hashes`] returns them.
    pub prefix: &'a [u64],
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Expected number of tokens of the answer.
    pub expected_tokens: f64,
    /// Zone of this node.
    pub zone: &'a ZoneName,
    /// Engines to exclude, since they refused the request or failed to run it.
    pub avoid: &'a [EngineName],
    /// Extra cost of an engine that another node owns, as a fraction of the decoding time. Added to
    /// the fixed extra cost of such an engine.
    pub remote_penalty: f64,
}

/// The engine selected for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Engine that runs the request.
    pub engine: EngineName,
    /// Expected time to the end of the answer plus extra costs, in microseconds.
    pub cost: f64,
}

/// All engines known to a node.
#[derive(Clone, Debug, Default)]
pub struct EngineTable {
    engines: Vec<EngineView>,
    by_name: HashMap<EngineName, usize>,
    /// Indices of the engines that this node owns.
    owned: Vec<usize>,
    sent_prefixes: SentPrefixes,
    pool_load: PoolLoad,
    speed: SpeedEstimate,
}

impl EngineTable {
    /// Sets the speed used in the cost formula.
    pub fn set_speed(&mut self, speed: SpeedEstimate) {
        self.speed = speed;
    }

    /// View of an engine, if it is known.
    pub fn get(&self, name: &EngineName) -> Option<&EngineView> {
        self.by_name.get(name).map(|index| &self.engines[*index])
    }

    /// Mutable view of an engine, if it is known.
    pub fn get_mut(&mut self, name: &EngineName) -> Option<&mut EngineView> {
        let index = *self.by_name.get(name)?;
        self.engines.get_mut(index)
    }

    /// All engines.
    pub fn iter(&self) -> impl Iterator<Item = &EngineView> {
        self.engines.iter()
    }

    /// Number of engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether no engine is known.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Replaces the set of engines. An engine that was known before keeps its load, its counts of
    /// sent requests and tokens, its health and the versions of its remaining models. A new engine
    /// begins a slow start, unless the table was empty. The caller must set the owned engines again
    /// after the replacement.
    pub fn replace(&mut self, engines: Vec<EngineView>, now: Timestamp) {
        let mut replaced = Vec::with_capacity(engines.len());
        for mut engine in engines {
            if let Some(old) = self.get(&engine.name) {
                engine.load = old.load;
                engine.load_at = old.load_at;
                engine.sent_requests = old.sent_requests;
                engine.sent_tokens = old.sent_tokens;
                engine.health = old.health.clone();
                for (model, version) in &old.models {
                    engine
                        .models
                        .entry(model.clone())
                        .and_modify(|new| *new = *version);
                }
            } else if !self.engines.is_empty() {
                engine.health.begin_slow_start(now);
            }
            replaced.push(engine);
        }
        self.by_name = replaced
            .iter()
            .enumerate()
            .map(|(index, engine)| (engine.name.clone(), index))
            .collect();
        self.engines = replaced;
    }

    /// Marks the engines that this node owns.
    pub fn set_owned(&mut self, owned: impl Fn(&EngineName) -> bool) {
        self.owned.clear();
        for (index, engine) in self.engines.iter_mut().enumerate() {
            engine.is_owned = owned(&engine.name);
            if engine.is_owned {
                self.owned.push(index);
            }
        }
    }

    /// Sets the load of the whole pool, whose mean stands in for old load reports.
    pub fn set_pool_load(&mut self, pool_load: PoolLoad) {
        self.pool_load = pool_load;
    }

    /// Records a load report of an engine's owner that this node received at `now`.
    pub fn record_load(&mut self, name: &EngineName, load: EngineLoad, now: Timestamp) {
        if let Some(engine) = self.get_mut(name) {
            engine.load = load;
            engine.load_at = Some(now);
            engine.sent_requests = 0;
            engine.sent_tokens = 0.0;
        }
    }

    /// Chooses the cheapest candidate and records that the request is sent to it. Returns `None` if
    /// no engine can serve the request.
    pub fn choose(
        &mut self,
        request: &PlacementRequest<'_>,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Option<Placement> {
        let (index, cost) = self.choose_by_cost(request, now, random)?;
        let engine = &mut self.engines[index];
        engine.sent_requests += 1;
        engine.sent_tokens += request.expected_tokens;
        self.sent_prefixes.remember(request.prefix, &engine.name);
        Some(Placement {
            engine: engine.name.clone(),
            cost,
        })
    }

    /// Whether an engine can serve the request.
    fn is_eligible(&self, index: usize, request: &PlacementRequest<'_>, now: Timestamp) -> bool {
        let engine = &self.engines[index];
        let version = engine.models.get(request.model);
        version.is_some_and(|version| *version >= request.minimum_version)
            && !engine.leaving
            && engine.health.is_eligible(now)
            && !request.avoid.contains(&engine.name)
    }

    /// Draws up to `count` distinct eligible engines at random. If no draw finds one, takes
    /// the first eligible engines after a random start.
    fn sample(
        &self,
        count: usize,
        request: &PlacementRequest<'_>,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Vec<usize> {
        let total = self.engines.len();
        if total == 0 {
            return Vec::new();
        }
        let mut sample = Vec::with_capacity(count);
        // Some draws hit an engine twice or an ineligible one, so there are three draws per
        // requested engine.
        for _ in 0..count * 3 {
            let index = random.random_range(0..total);
            if sample.len() < count
                && !sample.contains(&index)
                && self.is_eligible(index, request, now)
            {
                sample.push(index);
            }
        }
        if sample.is_empty() {
            let start = random.random_range(0..total);
            let scan = (0..total).map(|offset| (start + offset) % total);
            let eligible = scan.filter(|index| self.is_eligible(*index, request, now));
            sample.extend(eligible.take(count));
        }
        sample
    }

    /// Returns the index and the cost of the cheapest candidate. The candidates are random engines,
    /// engines selected by the prompt's prefix, owned engines and the last recipient of the prefix.
    fn choose_by_cost(
        &self,
        request: &PlacementRequest<'_>,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Option<(usize, f64)> {
        let affinity = self.affinity_engines(request, now);
        let mut candidates = self.sample(RANDOM_CANDIDATES, request, now, random);
        candidates.extend(affinity.iter().copied());
        let owned = self.owned.iter().copied();
        candidates.extend(owned.filter(|index| self.is_eligible(*index, request, now)));
        let last_recipient =
            self.sent_prefixes
                .find(request.prefix)
                .and_then(|(engine, blocks)| {
                    let index = *self.by_name.get(engine)?;
                    self.is_eligible(index, request, now)
                        .then_some((index, blocks))
                });
        candidates.extend(last_recipient.map(|(index, _)| index));
        let mean = self.pool_load.mean();
        let priced = candidates.into_iter().map(|index| {
            let cached = self.cached_tokens(index, request, &affinity, last_recipient);
            (index, self.cost(index, request, cached, &mean, now))
        });
        priced.min_by(|left, right| left.1.total_cmp(&right.1))
    }

    /// The [`AFFINITY_CANDIDATES`] eligible engines that rendezvous hashing ranks highest for the
    /// prompt's last block hash. Empty if the prompt has no full block.
    fn affinity_engines(&self, request: &PlacementRequest<'_>, now: Timestamp) -> Vec<usize> {
        let Some(last_hash) = request.prefix.last() else {
            return Vec::new();
        };
        let key = last_hash.to_le_bytes();
        let mut top: Vec<(u64, usize)> = Vec::with_capacity(AFFINITY_CANDIDATES + 1);
        for (index, engine) in self.engines.iter().enumerate() {
            let score = xxh3_64_with_seed(&key, engine.name_hash);
            let ranks_higher = top.len() < AFFINITY_CANDIDATES
                || top.last().is_some_and(|(lowest, _)| score > *lowest);
            if ranks_higher && self.is_eligible(index, request, now) {
                top.push((score, index));
                top.sort_by(|left, right| right.cmp(left));
                top.truncate(AFFINITY_CANDIDATES);
            }
        }
        top.into_iter().map(|(_, index)| index).collect()
    }

    /// Number of prompt tokens that are expected in an engine's prefix cache. `last_recipient` is
    /// the engine that last received a prefix of the prompt, and that prefix's length in blocks.
    fn cached_tokens(
        &self,
        index: usize,
        request: &PlacementRequest<'_>,
        affinity: &[usize],
        last_recipient: Option<(usize, usize)>,
    ) -> f64 {
        match last_recipient {
            Some((engine, blocks)) if engine == index => blocks as f64 * f64::from(BLOCK_TOKENS),
            _ if affinity.contains(&index) => f64::from(request.prompt_tokens) * AFFINITY_HIT_RATE,
            _ => 0.0,
        }
    }

    /// Expected time to the end of the answer plus the extra costs of another zone or owner, in
    /// microseconds.
    fn cost(
        &self,
        index: usize,
        request: &PlacementRequest<'_>,
        cached_tokens: f64,
        mean: &MeanLoad,
        now: Timestamp,
    ) -> f64 {
        let engine = &self.engines[index];
        let age = engine.load_at.map(|at| now.since(at).as_micros() as f64);
        let report_weight = age.map_or(0.0, |age| 0.5f64.powf(age / REPORT_HALF_LIFE_MICROS));
        let blend =
            |reported: f64, mean: f64| report_weight * reported + (1.0 - report_weight) * mean;
        let load = &engine.load;
        let sent_requests = f64::from(engine.sent_requests);
        let pending = blend(f64::from(load.pending_tokens), mean.pending_tokens);
        let pending = pending + engine.sent_tokens;
        let limit = blend(f64::from(load.limit), mean.limit).max(1.0);
        let running = blend(f64::from(load.running), mean.running);
        let queued = blend(f64::from(load.queued), mean.queued);
        let batch = (running + sent_requests).min(limit);
        let decode_step_time = self.speed.step_base + self.speed.step_per_sequence * batch;
        let free_capacity = limit - running - queued - sent_requests;
        let queue_wait = if free_capacity > 0.0 {
            0.0
        } else {
            pending / limit * decode_step_time
        };
        let prompt_tokens = f64::from(request.prompt_tokens);
        let prefill = (prompt_tokens - cached_tokens).max(0.0) * self.speed.prefill_per_token;
        let decode = request.expected_tokens * decode_step_time;
        let is_cross_zone = engine.zone != *request.zone;
        let zone_cost = if is_cross_zone {
            CROSS_ZONE_COST_MICROS
        } else {
            0.0
        };
        let owner_cost = if engine.is_owned {
            0.0
        } else {
            REMOTE_OWNER_COST_MICROS + decode * request.remote_penalty
        };
        (queue_wait + prefill + decode) * engine.health.cost_factor(now) + zone_cost + owner_cost
    }
}
