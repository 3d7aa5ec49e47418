//! The pending tasks of a host, indexed so that a decision reads only the first ones of each team.

use std::collections;
use std::time;

use pier_core::{ids, map, resources, task};

use crate::view;

/// Slack below this is short.
const SHORT_SLACK: time::Duration = time::Duration::from_secs(60);

/// The tasks of one line, in order: the key, the number of the arrival, the slot.
type Line = collections::BTreeSet<(time::Duration, u64, usize)>;

/// The pending tasks. Each has a slot that names it until it is removed.
///
/// The host adds and removes single tasks, which costs a logarithm of their number.
#[derive(Debug, Default)]
pub struct Backlog {
    slots: Vec<Option<Entry>>,
    free: Vec<usize>,
    arrivals: collections::BTreeSet<(u64, usize)>,
    teams: collections::BTreeMap<ids::TeamId, Lines>,
    /// How many pending tasks need each amount.
    shapes: map::Map<resources::Resources, usize>,
    next_arrival: u64,
}

/// A pending task and the number of its arrival.
#[derive(Debug)]
struct Entry {
    arrival: u64,
    task: view::PendingTask,
}

/// The pending tasks of a team.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    /// Urgent tasks by latest start.
    pub(crate) urgent: Line,
    /// Tasks of services by arrival.
    pub(crate) service: Line,
    /// Batch and gang tasks by arrival.
    pub(crate) batch: Line,
    /// The batch and gang tasks with a deadline, by the time from which on their slack is short.
    pub(crate) short: Line,
}

impl Lines {
    fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.service.is_empty() && self.batch.is_empty()
    }

    /// The line by class of a task, and the task's key in it.
    fn line_of(&mut self, task: &view::PendingTask) -> (&mut Line, time::Duration) {
        match task.class {
            task::Class::Urgent => (&mut self.urgent, task.start_by.unwrap_or(time::Duration::MAX)),
            task::Class::Service => (&mut self.service, task.arrived),
            task::Class::Batch | task::Class::Gang => (&mut self.batch, task.arrived),
        }
    }

    /// The line of short slack and the task's key in it, if the task belongs there.
    fn short_line_of(&mut self, task: &view::PendingTask) -> Option<(&mut Line, time::Duration)> {
        match task.class {
            task::Class::Urgent | task::Class::Service => None,
            task::Class::Batch | task::Class::Gang => {
                short_from(task).map(|from| (&mut self.short, from))
            }
        }
    }
}

impl Backlog {
    /// The number of pending tasks.
    pub fn len(&self) -> usize {
        self.arrivals.len()
    }

    /// Whether no task is pending.
    pub fn is_empty(&self) -> bool {
        self.arrivals.is_empty()
    }

    /// Adds a task that arrived after all others and returns its slot. Slots of removed tasks are
    /// used again, so a backlog that was never removed from has them in order of arrival.
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
        let lines = self.teams.entry(task.team.clone()).or_default();
        let (line, key) = lines.line_of(&task);
        line.insert((key, arrival, slot));
        if let Some((line, key)) = lines.short_line_of(&task) {
            line.insert((key, arrival, slot));
        }
        *self.shapes.entry(task.resources).or_default() += 1;
        self.arrivals.insert((arrival, slot));
        self.slots[slot] = Some(Entry { arrival, task });
        slot
    }

    /// Takes the task out of a slot; none if the slot is empty.
    pub fn remove(&mut self, slot: usize) -> Option<view::PendingTask> {
        let Entry { arrival, task } = self.slots.get_mut(slot)?.take()?;
        self.free.push(slot);
        self.arrivals.remove(&(arrival, slot));
        if let Some(lines) = self.teams.get_mut(&task.team) {
            let (line, key) = lines.line_of(&task);
            line.remove(&(key, arrival, slot));
            if let Some((line, key)) = lines.short_line_of(&task) {
                line.remove(&(key, arrival, slot));
            }
            if lines.is_empty() {
                self.teams.remove(&task.team);
            }
        }
        if let Some(count) = self.shapes.get_mut(&task.resources) {
            *count -= 1;
            if *count == 0 {
                self.shapes.remove(&task.resources);
            }
        }
        Some(task)
    }

    /// The task in a slot; none if the slot is empty.
    pub fn get(&self, slot: usize) -> Option<&view::PendingTask> {
        self.slots.get(slot)?.as_ref().map(|entry| &entry.task)
    }

    /// The pending tasks with their slots, in order of arrival.
    pub fn by_arrival(&self) -> impl Iterator<Item = (usize, &view::PendingTask)> {
        self.arrivals.iter().filter_map(|(_, slot)| Some((*slot, self.get(*slot)?)))
    }

    /// The first task of each class and team with its slot, in ascending order of team. Batch and
    /// gang tasks count as one class.
    pub fn heads(&self) -> impl Iterator<Item = (usize, &view::PendingTask)> {
        self.teams
            .values()
            .flat_map(|lines| [&lines.urgent, &lines.service, &lines.batch])
            .filter_map(|line| line.first())
            .filter_map(|(_, _, slot)| Some((*slot, self.get(*slot)?)))
    }

    /// The teams with pending tasks and their tasks, in ascending order of team.
    pub(crate) fn teams(&self) -> impl Iterator<Item = (&ids::TeamId, &Lines)> {
        self.teams.iter()
    }

    /// The least that any pending task needs in each dimension.
    pub(crate) fn least(&self) -> resources::Resources {
        let mut least = resources::Resources::MAX;
        for shape in self.shapes.keys() {
            least = least.min(shape);
        }
        least
    }
}

/// The time from which on a task may miss its deadline unless it starts soon: when its slack falls
/// below a minute or half its run time, whichever is longer. None without a deadline.
fn short_from(task: &view::PendingTask) -> Option<time::Duration> {
    let latest = task.deadline?.saturating_sub(task.run_estimate);
    Some(latest.saturating_sub(SHORT_SLACK.max(task.run_estimate / 2)))
}

/// Whether the slack of a task is short.
pub(crate) fn is_short(now: time::Duration, task: &view::PendingTask) -> bool {
    short_from(task).is_some_and(|from| from < now)
}
