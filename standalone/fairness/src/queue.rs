//! The fair queue of one engine.

use brasspond_types::{GroupName, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Priority class of a request. [`FairQueue`] serves interactive requests first over all groups and
/// orders the other classes only within a group. A full queue sheds the last variant first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// A caller waits for the answer.
    Interactive,
    /// The last samples of a step, for which a trainer waits.
    Tail,
    /// Samples of a step.
    #[default]
    Rollout,
}

/// A request that waits for admission to the engine.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueEntry<T> {
    /// Data that the user of the queue keeps with the request.
    pub item: T,
    /// Group that is charged.
    pub group: GroupName,
    /// Class of the request.
    pub priority: Priority,
    /// Expected cost in token-equivalents.
    pub cost: f64,
    /// When the request was queued.
    pub enqueued: Timestamp,
    /// When the request expires. The queue does not check it.
    pub deadline: Timestamp,
}

#[derive(Debug)]
struct GroupState<T> {
    weight: f64,
    /// Charged cost divided by weight; the group with the lowest counter is served next.
    counter: f64,
    waiting: BTreeMap<Priority, VecDeque<QueueEntry<T>>>,
    /// Number of waiting requests.
    length: usize,
}

impl<T> Default for GroupState<T> {
    fn default() -> Self {
        Self {
            weight: 1.0,
            counter: 0.0,
            waiting: BTreeMap::new(),
            length: 0,
        }
    }
}

impl<T> GroupState<T> {
    /// Highest priority class with a waiting request.
    fn best_priority(&self) -> Option<Priority> {
        let mut non_empty = self.waiting.iter().filter(|(_, queue)| !queue.is_empty());
        non_empty.next().map(|(priority, _)| *priority)
    }
}

/// Weighted fair queue over groups, with strict priority for
/// [`Priority::Interactive`].
#[derive(Debug)]
pub struct FairQueue<T> {
    groups: BTreeMap<GroupName, GroupState<T>>,
    capacity: usize,
    length: usize,
}

impl<T> FairQueue<T> {
    /// Creates a queue that holds at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            groups: BTreeMap::new(),
            capacity,
            length: 0,
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Total expected cost of the waiting requests.
    pub fn waiting_cost(&self) -> f64 {
        let queues = self
            .groups
            .values()
            .flat_map(|group| group.waiting.values());
        queues.flatten().map(|waiting| waiting.cost).sum()
    }

    /// Sets the weight of a group. Weights below `MIN_WEIGHT` are raised to it.
    pub fn set_weight(&mut self, group: &GroupName, weight: f64) {
        const MIN_WEIGHT: f64 = 1e-3;
        let state = self.groups.entry(group.clone()).or_default();
        state.weight = weight.max(MIN_WEIGHT);
    }

    /// Adds a request. If the queue is full and some requests have a lower class than the new one,
    /// one of the lowest class is shed: the newest of the last group by name. Otherwise a full
    /// queue rejects the new request. Returns the shed or rejected request.
    pub fn push(&mut self, waiting: QueueEntry<T>) -> Option<QueueEntry<T>> {
        let shed = if self.length >= self.capacity {
            match self.shed_lower(waiting.priority) {
                Some(shed) => Some(shed),
                None => return Some(waiting),
            }
        } else {
            None
        };
        self.insert(waiting);
        shed
    }

    fn insert(&mut self, waiting: QueueEntry<T>) {
        let floor = self.lowest_waiting_counter();
        let state = self.groups.entry(waiting.group.clone()).or_default();
        if state.length == 0
            && let Some(floor) = floor
        {
            state.counter = state.counter.max(floor);
        }
        state.length += 1;
        self.length += 1;
        let queue = state.waiting.entry(waiting.priority).or_default();
        queue.push_back(waiting);
    }

    /// Lowest counter of the groups with waiting requests.
    fn lowest_waiting_counter(&self) -> Option<f64> {
        let waiting = self.groups.values().filter(|group| group.length > 0);
        waiting.map(|group| group.counter).reduce(f64::min)
    }

    /// Removes a request of the lowest class, if that class is lower than `priority`.
    fn shed_lower(&mut self, priority: Priority) -> Option<QueueEntry<T>> {
        let (lowest, group) = self
            .groups
            .iter()
            .flat_map(|(name, group)| {
                let non_empty = group.waiting.iter().filter(|(_, queue)| !queue.is_empty());
                non_empty.map(move |(priority, _)| (*priority, name.clone()))
            })
            .max()?;
        if lowest <= priority {
            return None;
        }
        let state = self.groups.get_mut(&group)?;
        let shed = state.waiting.get_mut(&lowest)?.pop_back()?;
        state.length -= 1;
        self.length -= 1;
        Some(shed)
    }

    /// Takes the next request to serve and charges its expected cost to its group.
    pub fn pop(&mut self) -> Option<QueueEntry<T>> {
        let next = self
            .groups
            .iter()
            .filter_map(|(name, group)| Some((group.best_priority()?, group.counter, name)))
            .min_by(|left, right| {
                let by_class = is_group_local(left.0).cmp(&is_group_local(right.0));
                by_class.then(left.1.total_cmp(&right.1))
            });
        let (priority, _, name) = next?;
        let name = name.clone();
        let state = self.groups.get_mut(&name)?;
        let waiting = state.waiting.get_mut(&priority)?.pop_front()?;
        state.length -= 1;
        self.length -= 1;
        state.counter += waiting.cost / state.weight;
        Some(waiting)
    }

    /// Corrects the charge of a request that was taken, once its actual cost is known.
    pub fn correct_cost(&mut self, group: &GroupName, expected_cost: f64, actual_cost: f64) {
        if let Some(state) = self.groups.get_mut(group) {
            let correction = (actual_cost - expected_cost) / state.weight;
            state.counter = (state.counter + correction).max(0.0);
        }
    }

    /// Adjusts a group's counter by a cost above (positive) or below (negative) its share that this
    /// queue did not charge.
    pub fn adjust(&mut self, group: &GroupName, excess: f64) {
        if let Some(state) = self.groups.get_mut(group) {
            state.counter = (state.counter + excess / state.weight).max(0.0);
        }
    }

    /// Removes and returns all waiting requests that match `predicate`.
    pub fn remove_matching(
        &mut self,
        mut predicate: impl FnMut(&QueueEntry<T>) -> bool,
    ) -> Vec<QueueEntry<T>> {
        let mut removed = Vec::new();
        for state in self.groups.values_mut() {
            for queue in state.waiting.values_mut() {
                let mut remaining = VecDeque::with_capacity(queue.len());
                for waiting in queue.drain(..) {
                    if predicate(&waiting) {
                        state.length -= 1;
                        removed.push(waiting);
                    } else {
                        remaining.push_back(waiting);
                    }
                }
                *queue = remaining;
            }
        }
        self.length -= removed.len();
        removed
    }
}

/// Whether the class orders requests only within their group, as all but the interactive class do.
fn is_group_local(priority: Priority) -> bool {
    priority != Priority::Interactive
}
