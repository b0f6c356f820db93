//! Orders to replicas to load a version.
//!
//! One holder gives them all. Each order states how many orders the replica has
//! taken, so that one carried out late changes nothing after a newer one.
//! A step allows the version before the newest. So replicas older than that
//! load at once, and the others only while no item waits for a place; runs on
//! a replica about to load go on elsewhere.

use crate::demand::Demand;
use crate::dispatcher::{Action, Dispatcher, OrderLeases};
use crate::loads::LoadLimit;
use crate::replicas::Replica;
use brasspond_fleet::{FleetView, Identity, Life, LifeChange};
use brasspond_units::Millis;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

/// Pause between questions to a replica that loads, in ms.
const ASK_AGAIN: Millis = 120;
/// A replica that neither took nor finished an order by then is left alone for
/// a while, in ms.
const ORDER_LOST: Millis = 2_500;
/// Longest time a replica may be at work on an order, its runs included, in ms.
const LONGEST_LOAD: Millis = 20_000;
/// Replicas that are looked through for a ms of pause before they are again, or a
/// leader of thousands does nothing else (300 machines, 3,000 replicas: it stood still
/// for seconds).
const PLANNED_A_MS: u64 = 16;
/// Pause before a replica is ordered again after that, in ms.
const LEFT_ALONE: Millis = 500;

/// What a replica says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaReport {
    /// Versions by model.
    pub versions: Vec<(String, u64)>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Orders taken.
    pub sequence: u64,
    /// The life that says it.
    pub life: Life,
}

/// What a replica said to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being done.
    Taken,
    /// It holds already.
    Holds,
    /// Another order is under way, or another number of orders was taken.
    Conflict,
    /// A newer holder gave orders.
    Fenced,
    /// It is no such order, or another replica.
    Refused,
    /// No answer: it may be done at any time.
    Unknown,
    /// The order was not sent.
    NotSent,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// Its state is asked for, to learn how many orders it took.
    Asking,
    /// The order is on its way.
    Sent,
    /// It loads; asked for its state from time to time.
    Loading,
}

#[derive(Clone, Debug)]
struct Load {
    model: String,
    version: u64,
    stage: Stage,
    since: Millis,
    /// When the replica took the order, where it said so.
    taken_at: Option<Millis>,
    ask_at: Option<Millis>,
}

/// Orders under way, and which model each replica serves first.
#[derive(Debug)]
pub(crate) struct Orders {
    /// By id; stages and times are of its present life.
    loads: BTreeMap<String, Load>,
    limit: LoadLimit,
    /// Of the life: its counts start anew.
    sequences: HashMap<String, u64>,
    /// Of the id: what it is there for.
    pub serves_first: BTreeMap<String, String>,
    /// Of the life.
    not_before: HashMap<String, Millis>,
    /// Of the id: an order of another holder may reach the next life.
    leases: OrderLeases,
    /// When loads were last planned.
    planned_at: Option<Millis>,
}

impl Orders {
    /// Orders of a new holder, which respects the leases of those before.
    pub fn new(leases: OrderLeases) -> Self {
        Self {
            loads: BTreeMap::new(),
            limit: LoadLimit::new(),
            sequences: HashMap::new(),
            serves_first: BTreeMap::new(),
            not_before: HashMap::new(),
            leases,
            planned_at: None,
        }
    }

    /// A replica may have started again unnoticed: it is asked how many orders it took.
    pub fn forget_count(&mut self, id: &str) {
        self.sequences.remove(id);
    }

    /// A replica started again: an order under way begins anew, and its counts are asked for.
    pub fn begin_life(&mut self, id: &str, now: Millis) {
        self.sequences.remove(id);
        self.not_before.remove(id);
        let Some(load) = self.loads.get_mut(id) else {
            return;
        };
        log::info!(
            "event=load_anew replica={id} model={} version={} stage={:?} elapsed_ms={}",
            load.model,
            load.version,
            load.stage,
            now - load.since
        );
        load.stage = Stage::Asking;
        load.since = now;
        load.taken_at = None;
        load.ask_at = Some(now);
    }

    fn is_leased(&self, replica: &str, now: Millis) -> bool {
        self.leases.is_leased(replica, now)
    }

    pub fn under_way(&self) -> usize {
        self.loads.len()
    }

    /// Whether a replica is about to load, or loads, a version of a model.
    pub fn is_loading(&self, replica: &str, model: &str) -> bool {
        let load = self.loads.get(replica);
        load.is_some_and(|load| load.model == model)
    }

    /// Whether a replica loads anything at all.
    pub fn is_busy(&self, replica: &str) -> bool {
        self.loads.contains_key(replica)
    }

    /// Divides the replicas of each service among its models by demand, changing
    /// as few as possible.
    pub fn assign(&mut self, view: &FleetView, demand: &Demand) {
        self.serves_first.retain(|id, _| {
            view.replicas
                .get(id)
                .is_some_and(|replica| view.takes_work(replica))
        });
        let Some(configuration) = &view.configuration else {
            return;
        };
        for service in &configuration.services {
            if service.models.is_empty() {
                continue;
            }
            let ready: Vec<_> = view.working_replicas(&service.name).collect();
            let mut counts = self.counts(&service.models);
            let new = ready.iter();
            let new = new.filter(|replica| !self.serves_first.contains_key(&replica.id));
            let mut new: Vec<_> = new.collect();
            new.sort_by(|a, b| (&a.zone, &a.id).cmp(&(&b.zone, &b.id)));
            for replica in new {
                let needy = demand.neediest(&service.models, &counts, ready.len());
                counts[needy] += 1;
                let model = service.models[needy].clone();
                self.serves_first.insert(replica.id.clone(), model);
            }
            self.level(&service.models, counts, demand, view);
        }
    }

    /// Replicas that serve each of these models first.
    fn counts(&self, models: &[String]) -> Vec<usize> {
        let mut counts = vec![0; models.len()];
        for first in self.serves_first.values() {
            if let Some(number) = models.iter().position(|model| model == first) {
                counts[number] += 1;
            }
        }
        counts
    }

    /// Moves replicas until each model has about its part; first those that
    /// hold the newest weights of the model they move to.
    fn level(
        &mut self,
        models: &[String],
        mut counts: Vec<usize>,
        demand: &Demand,
        view: &FleetView,
    ) {
        // Of each pair of models the replicas that may move, the freshest last.
        let mut leaving: HashMap<(usize, usize), Vec<String>> = HashMap::new();
        while let Some((from, to)) = demand.shift(models, &counts) {
            let movable = leaving
                .entry((from, to))
                .or_insert_with(|| self.movable(&models[from], &models[to], view));
            let Some(id) = movable.pop() else {
                return;
            };
            let still_serves = self.serves_first.get(&id) == Some(&models[from]);
            if !still_serves {
                continue;
            }
            log::info!(
                "event=replica_reassigned replica={id} from={} to={}",
                models[from],
                models[to]
            );
            self.serves_first.insert(id, models[to].clone());
            counts[from] -= 1;
            counts[to] += 1;
        }
    }

    /// Replicas that serve one model first, by the version that they hold of another.
    fn movable(&self, from: &str, to: &str, view: &FleetView) -> Vec<String> {
        let version = |id: &str| view.replicas.get(id)?.version_of(to);
        let serving = self.serves_first.iter();
        let serving = serving.filter(|(_, model)| *model == from);
        let mut movable: Vec<_> = serving.map(|(id, _)| (version(id), id.clone())).collect();
        movable.sort();
        movable.into_iter().map(|(_, id)| id).collect()
    }
}

/// A load that is due; of one model the lesser goes first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueLoad {
    /// It can still serve the newest step.
    is_fit: bool,
    running: usize,
    replica: String,
    slots: usize,
}

/// What a model needs of its replicas.
struct ModelNeed<'a> {
    model: &'a str,
    /// The newest version.
    target: u64,
    /// The oldest version that serves every job under way.
    oldest_fit: u64,
    /// So many more replicas are to load the newest, though they still serve.
    wants_more: usize,
    /// Items that wait, less the places on replicas that serve them now or after
    /// the load that is under way.
    shortage: i64,
    /// Free places on replicas that are not loading.
    free: usize,
    /// Some replica serves, or will after the load that is under way.
    has_server: bool,
}

/// Replicas of a model, and those of them that have its newest version or load it.
#[derive(Clone, Copy, Debug, Default)]
struct Freshness {
    replicas: usize,
    fresh: usize,
}

impl Freshness {
    /// How many more are to have it.
    fn wanted(self, share: f64) -> usize {
        let wanted = (self.replicas as f64 * share).ceil() as usize;
        wanted.saturating_sub(self.fresh)
    }
}

impl Dispatcher {
    /// Begins loads that are due and asks after those under way.
    pub(crate) fn plan_orders(&mut self, now: Millis) {
        let pause = self.orders.serves_first.len() as Millis / PLANNED_A_MS;
        let planned_at = self.orders.planned_at;
        if planned_at.is_some_and(|planned_at| now < planned_at + pause) {
            return;
        }
        self.orders.planned_at = Some(now);
        self.drop_vain_orders();
        self.ask_after_loads(now);
        if !self.view.knows_evacuated() {
            return;
        }
        let room = self.most_loads().saturating_sub(self.orders.loads.len());
        if room == 0 {
            return;
        }
        for (replica, model, version) in self.next_loads(room, now) {
            self.begin_load(replica, model, version, now);
        }
    }

    /// Replicas that may load at a time.
    fn most_loads(&mut self) -> usize {
        let replicas = self.orders.serves_first.len();
        let share = (replicas as f64 * self.settings.loading_share) as usize;
        let least = self.settings.loads_at_once;
        let most = self.settings.most_loads;
        let limit = self.orders.limit.limit(share.min(most).max(least));
        limit.clamp(least, most)
    }

    /// Forgets orders to replicas that take no work. One whose zone is evacuated may load on,
    /// and is asked for its state once it takes work again; until then it holds up no other.
    fn drop_vain_orders(&mut self) {
        let replicas = &self.replicas.by_id;
        let is_live = |id: &String| {
            replicas.get(id).is_some_and(|replica| {
                let standing = &replica.standing;
                !standing.draining && !standing.is_evacuated
            })
        };
        self.orders.loads.retain(|id, load| {
            let stays = is_live(id);
            if !stays {
                log::info!(
                    "event=load_forgotten replica={id} model={} version={} reason=takes_no_work",
                    load.model,
                    load.version
                );
            }
            stays
        });
        self.orders.not_before.retain(|id, _| is_live(id));
        self.orders.sequences.retain(|id, _| is_live(id));
    }

    /// Up to `most` replicas to load next, with their model and version: first those
    /// too old for the newest step, of the model that lacks most places; then, while
    /// nothing waits, the others; the idlest first. The fleet is looked through once.
    fn next_loads(&self, most: usize, now: Millis) -> Vec<(String, String, u64)> {
        let mut needs = self.model_needs();
        let mut due = self.due_loads(&needs, now);
        let mut chosen = Vec::new();
        while chosen.len() < most {
            let heads = due.iter().enumerate();
            let heads = heads.filter_map(|(model, due)| Some((model, due.last()?)));
            let next = heads
                .min_by_key(|(model, load)| (load.is_fit, Reverse(needs[*model].shortage), *model));
            let Some((model, _)) = next else {
                break;
            };
            let Some(load) = due[model].pop() else {
                break;
            };
            let need = &mut needs[model];
            need.shortage -= load.slots as i64;
            chosen.push((load.replica, need.model.to_string(), need.target));
        }
        chosen
    }

    /// Loads that are due by the number of their model, the next of each last.
    fn due_loads(&self, needs: &[ModelNeed<'_>], now: Millis) -> Vec<Vec<DueLoad>> {
        let lasting = self.runs.lasting();
        let mut due: Vec<Vec<DueLoad>> = needs.iter().map(|_| Vec::new()).collect();
        for (id, first, replica) in self.served() {
            let Some(number) = needs.iter().position(|need| need.model == first) else {
                continue;
            };
            let need = &needs[number];
            let version = replica.standing.versions.get(first).copied().unwrap_or(0);
            let is_fit = version >= need.oldest_fit;
            let is_due = version < need.target && (need.wants_more > 0 || !is_fit);
            let runs = lasting.get(id).copied().unwrap_or(0);
            if is_due && self.may_load(id, now) && self.may_pause_runs(id, runs, need) {
                due[number].push(DueLoad {
                    is_fit,
                    running: replica.running,
                    replica: id.to_string(),
                    slots: replica.slots,
                });
            }
        }
        for (loads, need) in due.iter_mut().zip(needs) {
            loads.sort_unstable();
            let unfit = loads.iter().filter(|load| !load.is_fit).count();
            loads.truncate(unfit.max(need.wants_more));
            loads.reverse();
        }
        due
    }

    /// What each model with a named version needs: the fleet is looked through once.
    fn model_needs(&self) -> Vec<ModelNeed<'_>> {
        let needs = self.view.versions.iter().map(|(model, target)| ModelNeed {
            model,
            target: *target,
            oldest_fit: self.oldest_fit(model, *target),
            wants_more: 0,
            shortage: self.jobs.waiting_of(model) as i64,
            free: 0,
            has_server: false,
        });
        let mut needs: Vec<ModelNeed<'_>> = needs.collect();
        let mut counts = vec![Freshness::default(); needs.len()];
        for (id, first, replica) in self.served() {
            let number = needs.iter().position(|need| need.model == first);
            if let Some(number) = number {
                self.count_replica(id, replica, &mut needs[number], &mut counts[number]);
            }
        }
        for (need, count) in needs.iter_mut().zip(counts) {
            if self.jobs.waiting_of(need.model) == 0 {
                need.wants_more = count.wanted(self.settings.fresh_share);
            }
        }
        needs
    }

    /// Replicas with the model that each serves first, by identity. Both maps are in
    /// that order, so none is looked up.
    fn served(&self) -> impl Iterator<Item = (&str, &str, &Replica)> {
        let mut replicas = self.replicas.by_id.iter().peekable();
        self.orders
            .serves_first
            .iter()
            .filter_map(move |(id, first)| {
                while replicas.next_if(|(other, _)| *other < id).is_some() {}
                let (_, replica) = replicas.next_if(|(other, _)| *other == id)?;
                Some((id.as_str(), first.as_str(), replica))
            })
    }

    /// Counts the places that a model has on a replica, or will have after a load that
    /// is under way.
    fn count_replica(
        &self,
        id: &str,
        replica: &Replica,
        need: &mut ModelNeed<'_>,
        count: &mut Freshness,
    ) {
        let free = replica.slots.saturating_sub(replica.running);
        let version = replica
            .standing
            .versions
            .get(need.model)
            .copied()
            .unwrap_or(0);
        let load = self.orders.loads.get(id);
        if load.is_some() || version >= need.oldest_fit {
            need.shortage -= free as i64;
            need.has_server = true;
        }
        if load.is_none() {
            need.free += free;
        }
        let loads_newest =
            load.is_some_and(|load| load.model == need.model && load.version >= need.target);
        count.replicas += 1;
        count.fresh += usize::from(loads_newest || version >= need.target);
    }

    /// Whether a replica may load though it runs items. They stand still for the
    /// length of a load unless they go on elsewhere, and runs that are still under
    /// way when the next step comes are the long ones that end their step: they
    /// are not held up while another replica serves that step.
    fn may_pause_runs(&self, id: &str, runs: usize, need: &ModelNeed<'_>) -> bool {
        if runs == 0 || !need.has_server || self.runs_finish_first(id) {
            return true;
        }
        let own = self.replicas.by_id.get(id);
        let own_free = own.map_or(0, |one| one.slots.saturating_sub(one.running));
        need.free.saturating_sub(own_free) >= runs
    }

    /// The oldest version that serves every job under way: the one before the
    /// newest, or a newer one where a job allows nothing older.
    fn oldest_fit(&self, model: &str, target: u64) -> u64 {
        let asked = self.jobs.newest_asked(model);
        asked.max(target.saturating_sub(1)).min(target)
    }

    fn may_load(&self, id: &str, now: Millis) -> bool {
        let is_due = self.orders.not_before.get(id).is_none_or(|at| *at <= now);
        is_due && !self.orders.is_leased(id, now) && !self.orders.loads.contains_key(id)
    }

    fn begin_load(&mut self, replica: String, model: String, version: u64, now: Millis) {
        let sequence = self.orders.sequences.get(&replica).copied();
        let stage = if sequence.is_some() {
            Stage::Sent
        } else {
            Stage::Asking
        };
        let load = Load {
            model,
            version,
            stage,
            since: now,
            taken_at: None,
            ask_at: None,
        };
        self.orders.loads.insert(replica.clone(), load);
        self.move_from_loading(&replica, now);
        match sequence {
            Some(sequence) => self.send_order(&replica, sequence),
            None => self.ask(&replica),
        }
    }

    fn ask(&mut self, replica: &str) {
        if let Some(known) = self.replicas.by_id.get(replica) {
            self.actions.push(Action::AskReport {
                replica: replica.to_string(),
                address: known.standing.address,
            });
        }
    }

    fn send_order(&mut self, replica: &str, sequence: u64) {
        let known = self.replicas.by_id.get(replica);
        let load = self.orders.loads.get(replica);
        if let (Some(known), Some(load)) = (known, load) {
            self.actions.push(Action::Order {
                replica: self.replicas.lives.identity(replica),
                address: known.standing.address,
                model: load.model.clone(),
                version: load.version,
                expected_orders: sequence,
                runs_finish: self.runs_finish_first(replica),
            });
        }
    }

    /// Whether runs on a replica must end under their version: a route to its
    /// service wants samples of a single one.
    pub(crate) fn runs_finish_first(&self, replica: &str) -> bool {
        let Some(replica) = self.replicas.by_id.get(replica) else {
            return false;
        };
        let configuration = self.view.configuration.as_ref();
        configuration.is_some_and(|configuration| {
            configuration.routes.iter().any(|route| {
                let mut targets = route.targets.iter();
                route.single_version && targets.any(|one| *one.service == *replica.standing.service)
            })
        })
    }

    fn ask_after_loads(&mut self, now: Millis) {
        let mut due = Vec::new();
        for (id, load) in &mut self.orders.loads {
            if load.ask_at.is_some_and(|at| at <= now) {
                load.ask_at = None;
                due.push(id.clone());
            }
        }
        for id in due {
            self.ask(&id);
        }
    }

    /// Hears the life that a report is of; none: no answer, or one of an earlier life,
    /// which counts as none.
    fn hear_report(
        &mut self,
        id: &str,
        report: Option<ReplicaReport>,
        now: Millis,
    ) -> Option<ReplicaReport> {
        let report = report?;
        match self.replicas.lives.hear(id, report.life, now) {
            LifeChange::Same | LifeChange::First => {}
            LifeChange::Older => return None,
            LifeChange::Reborn { .. } => {
                self.begin_life(id, now);
                self.replicas.set_versions(id, &report.versions);
                self.replicas.assume_warming(id, &self.view, now);
                if let Some(load) = self.orders.loads.get_mut(id) {
                    // It has just been asked.
                    load.ask_at = None;
                }
            }
        }
        Some(report)
    }

    pub(crate) fn on_report(&mut self, id: &str, report: Option<ReplicaReport>, now: Millis) {
        let report = self.hear_report(id, report, now);
        let Some(load) = self.orders.loads.get_mut(id) else {
            return;
        };
        let Some(report) = report else {
            load.ask_at = Some(now + ASK_AGAIN);
            if now >= load.since + ORDER_LOST {
                self.abandon_load(id, now);
            }
            return;
        };
        self.orders
            .sequences
            .insert(id.to_string(), report.sequence);
        let mut versions = report.versions.iter();
        let version = versions.find(|(model, _)| *model == load.model);
        let version = version.map_or(0, |(_, version)| *version);
        if version >= load.version && !report.busy {
            let model = load.model.clone();
            let took = load.taken_at.map(|taken_at| now - taken_at);
            self.learn_from_load(id, took, now);
            self.orders.loads.remove(id);
            self.replicas.set_version(id, &model, version, now);
            self.placement.freed(id);
            let took = took.unwrap_or(0);
            log::info!(
                "event=version_loaded replica={id} model={model} version={version} took_ms={took}"
            );
            return;
        }
        if report.busy && now < load.since + LONGEST_LOAD {
            load.stage = Stage::Loading;
            load.ask_at = Some(now + ASK_AGAIN);
        } else if now >= load.since + ORDER_LOST {
            self.abandon_load(id, now);
        } else if load.stage == Stage::Asking && !report.busy {
            load.stage = Stage::Sent;
            self.send_order(id, report.sequence);
        } else {
            load.stage = Stage::Loading;
            load.ask_at = Some(now + ASK_AGAIN);
        }
    }

    /// Learns from the time of a load, where it is known and holds no runs' time.
    fn learn_from_load(&mut self, id: &str, took: Option<Millis>, now: Millis) {
        let Some(took) = took else {
            return;
        };
        if self.runs_finish_first(id) {
            return;
        }
        let under_way = self.orders.loads.len();
        let least = self.settings.loads_at_once;
        self.orders.limit.finished(took, under_way, least, now);
    }

    pub(crate) fn on_ordered(&mut self, replica: &Identity, answer: OrderAnswer, now: Millis) {
        let id = &*replica.id;
        let ask_after = self.orders.limit.ask_after();
        let is_void = !self.is_present(replica);
        log::info!(
            "event=order_answered replica={id} life={} answer={answer:?} is_void={is_void}",
            replica.life
        );
        if is_void {
            // The load began anew with the newer life.
            return;
        }
        let Some(load) = self.orders.loads.get_mut(id) else {
            return;
        };
        match answer {
            OrderAnswer::Taken => {
                load.stage = Stage::Loading;
                load.since = now;
                load.taken_at = Some(now);
                load.ask_at = Some(now + ask_after);
                let sequence = self.orders.sequences.entry(id.to_string()).or_default();
                *sequence += 1;
            }
            OrderAnswer::Holds => {
                let (model, version) = (load.model.clone(), load.version);
                self.orders.loads.remove(id);
                self.replicas.set_version(id, &model, version, now);
                self.placement.freed(id);
            }
            OrderAnswer::Unknown | OrderAnswer::Conflict => {
                self.orders.sequences.remove(id);
                load.stage = Stage::Asking;
                load.ask_at = Some(now + ASK_AGAIN);
            }
            OrderAnswer::Fenced | OrderAnswer::Refused | OrderAnswer::NotSent => {
                self.abandon_load(id, now);
            }
        }
    }

    fn abandon_load(&mut self, id: &str, now: Millis) {
        self.orders.loads.remove(id);
        self.placement.freed(id);
        self.orders.sequences.remove(id);
        let again = now + LEFT_ALONE;
        self.orders.not_before.insert(id.to_string(), again);
        log::warn!("event=load_abandoned replica={id}");
    }
}
