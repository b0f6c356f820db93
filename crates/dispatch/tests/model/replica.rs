//! A replica of the model: streams of numbered events, loads of weights counted by sequence,
//! orders that are applied late.

use brasspond_cluster_protocol::AttemptId;
use brasspond_dispatch::OrderAnswer;
use brasspond_fleet::Life;

/// When the first lives began, by the clocks of their machines.
pub const FIRST_BORN: u64 = 1_000_000;
/// Time a load takes, in ms.
const LOAD_MS: u64 = 900;

/// An order as it reaches a replica.
#[derive(Clone, Debug)]
pub struct ArrivedOrder {
    pub version: u64,
    pub expected_orders: u64,
}

/// A stream that a replica makes for an edge.
#[derive(Clone, Debug)]
pub struct Stream {
    pub edge: usize,
    pub attempt: AttemptId,
    pub next_at: u64,
    /// The replica has read the request.
    pub is_taken: bool,
}

#[derive(Clone, Debug)]
pub struct Replica {
    pub id: String,
    pub number: usize,
    pub slots: usize,
    pub version: u64,
    pub sequence: u64,
    pub event_ms: u64,
    pub draining: bool,
    /// Silent: nothing is answered and no event is made.
    pub dark_until: u64,
    pub loading: Option<(u64, u64)>,
    pub streams: Vec<Stream>,
    /// Orders that were accepted and are applied later.
    pub late: Vec<(u64, ArrivedOrder)>,
    /// Share of orders, in 256ths, that are not answered and are applied late.
    pub late_orders: u8,
    /// Until when it warms up.
    pub warming_until: u64,
    /// From when on its bound must be kept: all that was sent before it was known has arrived.
    pub bounded_from: u64,
    /// When its present life began.
    pub born: u64,
    /// When the first life under its id began.
    pub first_born: u64,
    /// Lives under its id so far.
    pub lives: u64,
    /// Whether it reports its lives at all.
    pub reports_life: bool,
    /// Until when its entry is the one of the life before.
    pub entry_from: u64,
    /// Its entry has its present life, which can be known to be the newest.
    pub is_life_known: bool,
    /// Its present life is reported, and higher than those before.
    pub is_ordered: bool,
    /// It has loaded an older version than it had: an order was applied late.
    pub went_back: bool,
    /// Whether the expected count is checked; a built-in fault turns it off.
    pub checks_count: bool,
}

impl Replica {
    pub fn new(number: usize, incarnation: u64, slots: usize, version: u64) -> Self {
        Self {
            id: format!("replica-{number}-{incarnation}"),
            number,
            slots,
            version,
            sequence: 0,
            event_ms: 30 + 10 * (number as u64 % 2),
            draining: false,
            dark_until: 0,
            loading: None,
            streams: Vec::new(),
            late: Vec::new(),
            late_orders: 0,
            warming_until: 0,
            bounded_from: 0,
            born: FIRST_BORN,
            first_born: FIRST_BORN,
            lives: 1,
            reports_life: true,
            entry_from: 0,
            is_life_known: false,
            is_ordered: true,
            went_back: false,
            checks_count: true,
        }
    }

    pub fn is_warming(&self, now: u64) -> bool {
        now < self.warming_until
    }

    pub fn is_dark(&self, now: u64) -> bool {
        now < self.dark_until
    }

    /// It starts again under its id: it knows nothing of before, but for the version it had
    /// if it `keeps` that. What was sent to the life before may still reach this one.
    pub fn start_again(&mut self, born: u64, keeps: bool) {
        self.born = born;
        self.lives += 1;
        self.sequence = 0;
        self.loading = None;
        self.dark_until = 0;
        self.is_life_known = false;
        self.went_back = false;
        if !keeps {
            self.version = 1;
        }
    }

    /// The life that it reports.
    pub fn life(&self) -> Life {
        if self.reports_life {
            Life::reported(self.born)
        } else {
            Life::UNKNOWN
        }
    }

    /// Receives an order; returns its answer.
    pub fn order(&mut self, order: &ArrivedOrder, now: u64) -> OrderAnswer {
        if self.loading.is_some() || (self.checks_count && order.expected_orders != self.sequence) {
            return OrderAnswer::Conflict;
        }
        if self.version == order.version {
            return OrderAnswer::Holds;
        }
        self.sequence += 1;
        self.loading = Some((now + LOAD_MS, order.version));
        OrderAnswer::Taken
    }

    /// Lets time pass: late orders and the end of a load.
    pub fn tick(&mut self, now: u64) {
        if let Some((until, version)) = self.loading
            && until <= now
        {
            self.loading = None;
            self.went_back |= version < self.version;
            self.version = version;
        }
        let due = self.late.iter().position(|(at, _)| *at <= now);
        if let Some(place) = due {
            let (_, order) = self.late.remove(place);
            self.order(&order, now);
        }
    }
}
