//! The pending tasks of a host, indexed so that a decision reads only the first tasks of each team.

use std::collections;
use std::time;

use pier_core::{ids, map, resources, task};

use crate::view;

/// Slack below this counts as short; the threshold of a long task is half its run time.
const SHORT_SLACK_THRESHOLD: time::Duration = time::Duration::from_secs(60);

/// Slots ordered by a time, which is the sort key, and then by arrival number.
type SlotIndex = collections::BTreeSet<(time::Duration, u64, usize)>;

/// The pending tasks. A slot identifies each until it is removed.
///
/// Adding or removing a task takes logarithmic time.
#[derive(Debug, Default)]
pub struct Backlog {
    slots: Vec<Option<Entry>>,
    free: Vec<usize>,
    arrivals: collections::BTreeSet<(u64, usize)>,
    teams: collections::BTreeMap<ids::TeamId, TeamIndex>,
    /// The number of pending tasks with each resource demand.
    demand_counts: map::Map<resources::Resources, usize>,
    next_arrival: u64,
}

/// A pending task and its arrival number.
#[derive(Debug)]
struct Entry {
    arrival: u64,
    task: view::PendingTask,
}

/// The indexes of the pending tasks of a team.
#[derive(Debug, Default)]
pub(crate) struct TeamIndex {
    /// Urgent tasks by latest start time.
    pub(crate) urgent: SlotIndex,
    /// Tasks of services by arrival.
    pub(crate) service: SlotIndex,
    /// Batch and gang tasks by arrival.
    pub(crate) batch: SlotIndex,
    /// The batch and gang tasks with a deadline, by the time at which their slack becomes short.
    pub(crate) short_slack: SlotIndex,
}

impl TeamIndex {
    fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.service.is_empty() && self.batch.is_empty()
    }

    /// Returns the index for the class of a task, and the sort key of the task in it.
    fn class_index(&mut self, task: &view::PendingTask) -> (&mut SlotIndex, time::Duration) {
        match task.class {
            task::Class::Urgent => (&mut self.urgent, task.start_by.unwrap_or(time::Duration::MAX)),
            task::Class::Service => (&mut self.service, task.arrived),
            task::Class::Batch | task::Class::Gang => (&mut self.batch, task.arrived),
        }
    }

    /// Returns the index by slack and the sort key of the task in it. `None` if the task has no
    /// deadline or is neither a batch nor a gang task.
    fn short_slack_index(
        &mut self,
        task: &view::PendingTask,
    ) -> Option<(&mut SlotIndex, time::Duration)> {
        match task.class {
            task::Class::Urgent | task::Class::Service => None,
            task::Class::Batch | task::Class::Gang => {
                short_slack_since(task).map(|from| (&mut self.short_slack, from))
            }
        }
    }
}

impl Backlog {
    pub fn len(&self) -> usize {
        self.arrivals.len()
    }

    pub fn is_empty(&self) -> bool {
        self.arrivals.is_empty()
    }

    /// Adds a task that arrived after all others and returns its slot. Slots of removed tasks are
    /// reused; until the first removal, slots are in order of arrival.
    pub fn push(&mut self, task: view::PendingTask) -> usize {
        let slot = match self.free.pop() {
            Some(slot) => slot,
            None => {
                self.slots.push(None);
                self.slots.len() - 1
            }
        };
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        let indexes = self.teams.entry(task.team.clone()).or_default();
        let (index, key) = indexes.class_index(&task);
        index.insert((key, arrival, slot));
        if let Some((index, key)) = indexes.short_slack_index(&task) {
            index.insert((key, arrival, slot));
        }
        *self.demand_counts.entry(task.resources).or_default() += 1;
        self.arrivals.insert((arrival, slot));
        self.slots[slot] = Some(Entry { arrival, task });
        slot
    }

    /// Removes the task from a slot. Returns `None` if the slot is empty.
    pub fn remove(&mut self, slot: usize) -> Option<view::PendingTask> {
        let Entry { arrival, task } = self.slots.get_mut(slot)?.take()?;
        self.free.push(slot);
        self.arrivals.remove(&(arrival, slot));
        if let Some(indexes) = self.teams.get_mut(&task.team) {
            let (index, key) = indexes.class_index(&task);
            index.remove(&(key, arrival, slot));
            if let Some((index, key)) = indexes.short_slack_index(&task) {
                index.remove(&(key, arrival, slot));
            }
            if indexes.is_empty() {
                self.teams.remove(&task.team);
            }
        }
        if let Some(count) = self.demand_counts.get_mut(&task.resources) {
            *count -= 1;
            if *count == 0 {
                self.demand_counts.remove(&task.resources);
            }
        }
        Some(task)
    }

    /// Returns the task in a slot; `None` if the slot is empty.
    pub fn get(&self, slot: usize) -> Option<&view::PendingTask> {
        self.slots.get(slot)?.as_ref().map(|entry| &entry.task)
    }

    /// Iterates over the slots and their tasks in order of arrival.
    pub fn by_arrival(&self) -> impl Iterator<Item = (usize, &view::PendingTask)> {
        self.arrivals.iter().filter_map(|(_, slot)| Some((*slot, self.get(*slot)?)))
    }

    /// Iterates over the first task of each team and class with its slot, in ascending order of
    /// team. Batch and gang tasks count as one class.
    pub fn heads(&self) -> impl Iterator<Item = (usize, &view::PendingTask)> {
        self.teams
            .values()
            .flat_map(|indexes| [&indexes.urgent, &indexes.service, &indexes.batch])
            .filter_map(|index| index.first())
            .filter_map(|(_, _, slot)| Some((*slot, self.get(*slot)?)))
    }

    /// Iterates over the teams with pending tasks and their indexes, in ascending order of team.
    pub(crate) fn teams(&self) -> impl Iterator<Item = (&ids::TeamId, &TeamIndex)> {
        self.teams.iter()
    }

    /// Returns the smallest demand of any pending task in each dimension.
    pub(crate) fn min_demand(&self) -> resources::Resources {
        let mut min = resources::Resources::MAX;
        for demand in self.demand_counts.keys() {
            min = min.min(demand);
        }
        min
    }
}

/// The time after which the slack of a task is short, so that it may miss its deadline unless it
/// starts soon: when the slack falls below a minute or half its run time, whichever is longer.
/// `None` without a deadline.
fn short_slack_since(task: &view::PendingTask) -> Option<time::Duration> {
    let latest = task.deadline?.saturating_sub(task.run_estimate);
    Some(latest.saturating_sub(SHORT_SLACK_THRESHOLD.max(task.run_estimate / 2)))
}

/// Whether the slack of a task is short at the time `now`.
pub(crate) fn has_short_slack(now: time::Duration, task: &view::PendingTask) -> bool {
    short_slack_since(task).is_some_and(|from| from < now)
}
