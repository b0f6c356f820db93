//! Which replica of a plain service takes a request.

use crate::clock::Moment;
use crate::link::LinkContext;
use brasspond_distance::Distance;
use brasspond_eligibility::{Clearance, Standing, Unfit, Work};
use brasspond_fleet::{FleetView, Identity, LifeChange, Lives, ReplicaInfo};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Weight of a new answer's time against what was known.
const TIME_WEIGHT: f64 = 0.3;
/// Time assumed of a replica that has not answered yet, in ms.
const UNKNOWN_MS: f64 = 20.0;
/// What a crossing costs at the least, in ms, by distance: bytes between zones and regions
/// are paid for, and such ways are cut more often, however short they are.
const LEAST_CROSSING_MS: [f64; 3] = [0.0, 3.0, 5.0];
/// First pause after a fault; it doubles with each more.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// Share of a replica's slots in use from which work of no hurry waits.
const BUSY_SHARE: f64 = 0.67;
/// Reported load older than this says nothing.
const LOAD_LIFE: Duration = Duration::from_millis(500);

/// A replica as an edge sees it: of its present life, but for the requests in flight.
#[derive(Clone, Debug)]
pub(super) struct Known {
    standing: Standing,
    distance: Distance,
    slots: u32,
    in_flight: u32,
    answer_ms: Option<f64>,
    faults: u32,
    paused_until: Option<Moment>,
    /// Requests there as it told, our own not counted.
    others: (u32, Moment),
    /// When its present life was first heard of: what was sent before tells nothing of it.
    since: Moment,
}

/// What a newer view changed.
#[derive(Debug)]
pub(super) struct Taken {
    /// Replicas that took work before.
    pub was_ready: usize,
    /// Replicas that started again under their ids, with where their earlier lives listened.
    pub reborn: Vec<(Identity, SocketAddr)>,
}

impl Known {
    fn new(info: &ReplicaInfo, view: &FleetView, links: &LinkContext, now: u64) -> Self {
        Self {
            standing: Standing::new(info, view, now),
            distance: links.distance_to(&info.zone, info.region.as_deref()),
            slots: info.slots,
            in_flight: 0,
            answer_ms: None,
            faults: 0,
            paused_until: None,
            others: (0, Moment::now()),
            since: Moment::now(),
        }
    }

    /// It started again. Requests of ours that are there end soon, and are counted until then.
    fn begin_life(&mut self, info: &ReplicaInfo, view: &FleetView, links: &LinkContext, now: u64) {
        let in_flight = self.in_flight;
        *self = Self::new(info, view, links, now);
        self.in_flight = in_flight;
    }

    /// Requests there, of this edge and of others as far as told lately.
    fn there(&self, now: Moment) -> u32 {
        let is_fresh = now.saturating_duration_since(self.others.1) < LOAD_LIFE;
        self.in_flight + if is_fresh { self.others.0 } else { 0 }
    }
}

/// All replicas by id.
pub(super) struct Balance {
    /// Where this edge is, and how long round trips take.
    links: Rc<LinkContext>,
    replicas: HashMap<String, Known>,
    /// The newest life of each that was heard of.
    lives: Lives,
}

impl Balance {
    pub fn new(links: Rc<LinkContext>) -> Self {
        Self {
            links,
            replicas: HashMap::new(),
            lives: Lives::default(),
        }
    }

    /// Takes a newer view. The entry of an earlier life allows nothing.
    pub fn take_view(&mut self, view: &FleetView, now: u64) -> Taken {
        let was_ready = self.ready();
        let mut reborn = Vec::new();
        self.replicas.retain(|id, _| view.replicas.contains_key(id));
        self.lives
            .forget_gone(|id| view.replicas.contains_key(id), now);
        let links = &self.links;
        for (id, info) in view.replicas.iter() {
            let heard = self.lives.hear_entry(id, info.life, info.revision, now);
            if heard == LifeChange::Older {
                if let Some(known) = self.replicas.get_mut(id) {
                    known.standing.renew_limits(info, view, now);
                }
                continue;
            }
            let known = self.replicas.entry(id.clone());
            let known = known.or_insert_with(|| Known::new(info, view, links, now));
            if matches!(heard, LifeChange::Reborn { .. }) {
                reborn.push((self.lives.identity(id), known.standing.address));
                known.begin_life(info, view, links, now);
            }
            known.standing.renew(info, view, now);
            known.slots = info.slots;
        }
        Taken { was_ready, reborn }
    }

    /// The replica expected to answer first; those in `tried` only if there is
    /// no other, and not at all where `again` is false.
    pub fn choose(&self, work: &Work<'_>, tried: &[String], again: bool) -> Option<Clearance> {
        let now = Moment::now();
        let costed = self.replicas.iter().filter_map(|(id, known)| {
            let clearance = known.standing.clear(work).ok()?;
            let was_tried = tried.contains(id);
            if was_tried && !again {
                return None;
            }
            let is_paused = known.paused_until.is_some_and(|until| until > now);
            let cost = self.cost(known, now);
            Some(((was_tried, is_paused), cost, clearance))
        });
        let by_identity = |a: &Clearance, b: &Clearance| a.replica().cmp(b.replica());
        let best = costed.min_by(|a, b| {
            let by_cost = (a.0).cmp(&b.0).then(a.1.total_cmp(&b.1));
            by_cost.then_with(|| by_identity(&a.2, &b.2))
        });
        best.map(|(_, _, clearance)| clearance)
    }

    /// Time until one of the replicas that may take a request has room: until the first pause is
    /// over, or until one of its requests is answered. None: none may take it.
    pub fn next_room(&self, work: &Work<'_>) -> Option<Duration> {
        let now = Moment::now();
        let replicas = self.replicas.values();
        let replicas = replicas.filter(|known| known.standing.takes(work).is_ok());
        let room = replicas.map(|known| {
            let paused = known
                .paused_until
                .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
            let answer_ms = known.answer_ms.unwrap_or(UNKNOWN_MS);
            paused.max(Duration::from_secs_f64(answer_ms / 1_000.0))
        });
        room.min()
    }

    /// Whether a replica of a service has room for work of no hurry.
    pub fn has_room(&self, work: &Work<'_>) -> bool {
        let now = Moment::now();
        self.replicas.values().any(|known| {
            let is_paused = known.paused_until.is_some_and(|until| until > now);
            let busy = f64::from(known.slots.max(1)) * BUSY_SHARE;
            known.standing.takes(work).is_ok() && !is_paused && f64::from(known.there(now)) < busy
        })
    }

    /// Whether a replica's places are taken, as far as known.
    pub fn is_full(&self, id: &str) -> bool {
        let now = Moment::now();
        let known = self.replicas.get(id);
        known.is_some_and(|known| known.there(now) >= known.slots)
    }

    /// Whether a replica would take a request but that it warms up.
    pub fn has_warming(&self, work: &Work<'_>) -> bool {
        let mut replicas = self.replicas.values();
        replicas.any(|known| known.standing.takes(work) == Err(Unfit::WarmingUp))
    }

    /// Expected time to an answer, in ms: the replica's own time, once for each
    /// round of requests before this one, and a round trip to it where it is not in this
    /// zone. The time of one that has answered contains a round trip already: it stands for
    /// the bytes, too, which cost more the farther they go.
    fn cost(&self, known: &Known, now: Moment) -> f64 {
        let own = known.answer_ms.unwrap_or(UNKNOWN_MS);
        let there = f64::from(known.there(now));
        let rounds = 1.0 + there / f64::from(known.slots.max(1));
        let crossing = match known.distance {
            Distance::SameZone => 0.0,
            farther => self.links.round_trip_ms(farther),
        };
        own * rounds + crossing.max(LEAST_CROSSING_MS[known.distance as usize])
    }

    /// How far a replica is; none: nothing is known of it.
    pub fn distance(&self, id: &str) -> Option<Distance> {
        self.replicas.get(id).map(|known| known.distance)
    }

    /// Replicas that take work.
    pub fn ready(&self) -> usize {
        let replicas = self.replicas.values();
        replicas.filter(|known| known.standing.takes_work()).count()
    }

    /// What is known of a replica's right to requests; none: nothing.
    pub fn standing(&self, id: &str) -> Option<&Standing> {
        self.replicas.get(id).map(|known| &known.standing)
    }

    /// Whether a lower life was heard that may yet be the present one.
    pub fn is_uncertain(&self) -> bool {
        self.lives.is_uncertain()
    }

    /// A replica in the life that is known.
    pub fn identity(&self, id: &str) -> Identity {
        self.lives.identity(id)
    }

    /// Why no replica takes a request: the reason that lies nearest to taking it, with how
    /// many have it. None: no replica is known.
    pub fn why_none(&self, work: &Work<'_>) -> Option<(Unfit, usize)> {
        let mut reasons: BTreeMap<Unfit, usize> = BTreeMap::new();
        for known in self.replicas.values() {
            if let Err(unfit) = known.standing.takes(work) {
                *reasons.entry(unfit).or_default() += 1;
            }
        }
        reasons.into_iter().next_back()
    }

    pub fn begin(&mut self, id: &str) {
        if let Some(known) = self.replicas.get_mut(id) {
            known.in_flight += 1;
        }
    }

    pub fn end(&mut self, id: &str) {
        if let Some(known) = self.replicas.get_mut(id) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }

    /// A replica answered a request that was sent at `begun`, after `time`.
    pub fn note_answer(&mut self, id: &str, begun: Moment, time: Duration) {
        if let Some(known) = self.replicas.get_mut(id)
            && begun >= known.since
        {
            let time = time.as_secs_f64() * 1_000.0;
            let before = known.answer_ms.unwrap_or(time);
            known.answer_ms = Some(before + TIME_WEIGHT * (time - before));
            if known.faults > 0 {
                log::info!(
                    "event=replica_regained replica={id} faults={}",
                    known.faults
                );
            }
            known.faults = 0;
            known.paused_until = None;
        }
    }

    pub fn note_load(&mut self, id: &str, running: u32, waiting: u32) {
        if let Some(known) = self.replicas.get_mut(id) {
            let others = (running + waiting).saturating_sub(known.in_flight);
            known.others = (others, Moment::now());
        }
    }

    /// A request that was sent at `begun` found a fault.
    pub fn note_fault(&mut self, id: &str, begun: Moment) {
        if let Some(known) = self.replicas.get_mut(id)
            && begun >= known.since
        {
            let pause = FIRST_PAUSE * (1 << known.faults.min(4));
            known.faults += 1;
            let pause = pause.min(LONGEST_PAUSE);
            known.paused_until = Some(Moment::now() + pause);
            log::info!(
                "event=replica_paused replica={id} faults={} pause_ms={}",
                known.faults,
                pause.as_millis()
            );
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/balance.rs"]
mod tests;
