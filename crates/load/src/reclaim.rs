//! Which runs are stopped so that the tasks of a step fit.
//!
//! For each task the worker is chosen on which the least has to be stopped, until all tasks fit.
//! Nothing is stopped unless all of them will fit.

use std::cmp;
use std::collections::BinaryHeap;

use pier_core::resources::Resources;

/// Why a run may be stopped. Runs are stopped in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The result would be of no use any more.
    NoLongerUseful,
    /// The account uses more than its share.
    BeyondShare,
    /// The queue is less urgent, and the run has a new checkpoint.
    LessUrgent,
}

/// The tasks that are to start.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    /// How many.
    pub tasks: usize,
    /// What each one needs.
    pub need: Resources,
}

/// What a worker has for the claim.
#[derive(Debug, Clone, Copy)]
pub struct Room {
    /// What is free.
    pub free: Resources,
    /// How many of the tasks may run there. Zero if the worker may not run them.
    pub max_tasks: usize,
}

/// Runs that can only be stopped together: a single one, or all members of a gang.
#[derive(Debug, Clone)]
pub struct Victim {
    /// The work that a stop loses, in core-seconds.
    pub lost_core_s: f64,
    /// The positions of their workers, with what a stop frees there.
    pub frees: Vec<(usize, Resources)>,
}

/// Why a victim may be stopped for a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grounds {
    /// The cause.
    pub cause: Cause,
    /// The account that uses more than its share, by its position in [`Limits::excess_ppm`].
    pub account: Option<usize>,
}

/// The bounds of a decision.
#[derive(Debug, Clone, Copy)]
pub struct Limits<'a> {
    /// The most work that may be lost, in core-seconds.
    pub lost_core_s: f64,
    /// The capacity against which amounts are measured.
    pub capacity: Resources,
    /// The most that may be freed, in parts per million of the capacity.
    pub freed_ppm: u64,
    /// What each account uses beyond its share, in parts per million of the capacity.
    pub excess_ppm: &'a [u64],
}

/// The runs to stop, and where the tasks go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Positions of victims.
    pub victims: Vec<usize>,
    /// Positions of workers, with the number of tasks there. The numbers add up to that of the
    /// claim.
    pub slots: Vec<(usize, usize)>,
}

/// The victims that make room for one more task on a worker.
#[derive(Debug, PartialEq)]
struct Choice {
    cause: Cause,
    lost_core_s: f64,
    worker: usize,
    victims: Vec<usize>,
}

impl Eq for Choice {}

impl Ord for Choice {
    /// The choice that costs least is the greatest.
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        let by_loss = other.lost_core_s.total_cmp(&self.lost_core_s);
        other.cause.cmp(&self.cause).then(by_loss).then(other.worker.cmp(&self.worker))
    }
}

impl PartialOrd for Choice {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Chooses what to stop so that all tasks of the claim fit. None if that is not possible within the
/// limits, or if they fit without a stop. Victims without grounds are not stopped.
pub fn plan(
    claim: &Claim,
    rooms: &[Room],
    victims: &[Victim],
    grounds: &[Option<Grounds>],
    limits: &Limits<'_>,
) -> Option<Plan> {
    let mut search = Search::new(claim, rooms, victims, grounds, limits);
    if search.fitting() >= claim.tasks {
        return None;
    }
    let mut choices = BinaryHeap::new();
    for worker in 0..rooms.len() {
        choices.extend(search.cheapest_choice(worker));
    }
    while search.fitting() < claim.tasks {
        let choice = choices.pop()?;
        // Earlier choices may have taken a part of it.
        if choice.victims.iter().any(|victim| search.is_chosen[*victim]) {
            choices.extend(search.cheapest_choice(choice.worker));
            continue;
        }
        if !search.try_add(&choice.victims) {
            continue;
        }
        choices.extend(search.cheapest_choice(choice.worker));
    }
    search.drop_needless();
    Some(search.into_plan())
}

struct Search<'a> {
    claim: &'a Claim,
    rooms: &'a [Room],
    victims: &'a [Victim],
    grounds: &'a [Option<Grounds>],
    limits: &'a Limits<'a>,
    /// The victims of each worker, those to be stopped first in front.
    victims_of: Vec<Vec<usize>>,
    free: Vec<Resources>,
    is_chosen: Vec<bool>,
    chosen: Vec<usize>,
    lost_core_s: f64,
    freed: Resources,
    left_excess_ppm: Vec<u64>,
}

impl<'a> Search<'a> {
    fn new(
        claim: &'a Claim,
        rooms: &'a [Room],
        victims: &'a [Victim],
        grounds: &'a [Option<Grounds>],
        limits: &'a Limits<'a>,
    ) -> Self {
        let mut order: Vec<(Cause, usize)> = Vec::new();
        for (index, victim) in victims.iter().enumerate() {
            let can_use = victim.frees.iter().any(|(worker, _)| rooms[*worker].max_tasks > 0);
            if let Some(grounds) = grounds[index]
                && can_use
                && victim.lost_core_s <= limits.lost_core_s
            {
                order.push((grounds.cause, index));
            }
        }
        order.sort_by(|(a_cause, a), (b_cause, b)| {
            let by_loss = victims[*a].lost_core_s.total_cmp(&victims[*b].lost_core_s);
            a_cause.cmp(b_cause).then(by_loss)
        });
        let mut victims_of = vec![Vec::new(); rooms.len()];
        for (_, index) in order {
            for (worker, _) in &victims[index].frees {
                let of_worker = &mut victims_of[*worker];
                if of_worker.last() != Some(&index) {
                    of_worker.push(index);
                }
            }
        }
        Self {
            claim,
            rooms,
            victims,
            grounds,
            limits,
            victims_of,
            free: rooms.iter().map(|room| room.free).collect(),
            is_chosen: vec![false; victims.len()],
            chosen: Vec::new(),
            lost_core_s: 0.0,
            freed: Resources::ZERO,
            left_excess_ppm: limits.excess_ppm.to_vec(),
        }
    }

    fn fitting_with(&self, worker: usize, free: &Resources) -> usize {
        fit_count(&self.claim.need, free).min(self.rooms[worker].max_tasks)
    }

    fn fitting(&self) -> usize {
        let mut fitting: usize = 0;
        for (worker, free) in self.free.iter().enumerate() {
            fitting = fitting.saturating_add(self.fitting_with(worker, free));
        }
        fitting
    }

    /// The victims to stop first that make room for one more task on the worker.
    fn cheapest_choice(&self, worker: usize) -> Option<Choice> {
        let before = self.fitting_with(worker, &self.free[worker]);
        let mut free = self.free[worker];
        let mut chosen: Vec<usize> = Vec::new();
        for victim in &self.victims_of[worker] {
            if self.is_chosen[*victim] || !self.is_within_excess(*victim) {
                continue;
            }
            free = free.plus(&self.freed_on(*victim, worker));
            chosen.push(*victim);
            if self.fitting_with(worker, &free) > before {
                break;
            }
        }
        if self.fitting_with(worker, &free) <= before {
            return None;
        }
        // Some of the first ones may not be needed with the last one.
        let mut position = chosen.len();
        while position > 0 {
            position -= 1;
            let without = free.minus(&self.freed_on(chosen[position], worker));
            if self.fitting_with(worker, &without) > before {
                free = without;
                chosen.remove(position);
            }
        }
        let mut cause = Cause::NoLongerUseful;
        let mut lost_core_s = 0.0;
        for victim in &chosen {
            cause = cause.max(self.cause(*victim));
            lost_core_s += self.victims[*victim].lost_core_s;
        }
        Some(Choice { cause, lost_core_s, worker, victims: chosen })
    }

    fn cause(&self, victim: usize) -> Cause {
        self.grounds[victim].map_or(Cause::LessUrgent, |grounds| grounds.cause)
    }

    fn account(&self, victim: usize) -> Option<usize> {
        self.grounds[victim].and_then(|grounds| grounds.account)
    }

    fn freed_on(&self, victim: usize, worker: usize) -> Resources {
        let mut freed = Resources::ZERO;
        for (other, amount) in &self.victims[victim].frees {
            if *other == worker {
                freed = freed.plus(amount);
            }
        }
        freed
    }

    fn amount(&self, victim: usize) -> Resources {
        let mut amount = Resources::ZERO;
        for (_, freed) in &self.victims[victim].frees {
            amount = amount.plus(freed);
        }
        amount
    }

    /// Whether the victim's account stays at its share without it, rounded to the nearest run.
    fn is_within_excess(&self, victim: usize) -> bool {
        let Some(account) = self.account(victim) else {
            return true;
        };
        let ppm = self.amount(victim).dominant_share_ppm(&self.limits.capacity);
        self.left_excess_ppm.get(account).is_some_and(|left| ppm / 2 < *left)
    }

    /// Adds victims if the limits allow all of them.
    fn try_add(&mut self, victims: &[usize]) -> bool {
        let mut lost_core_s = self.lost_core_s;
        let mut freed = self.freed;
        let mut left_excess_ppm = self.left_excess_ppm.clone();
        for victim in victims {
            let amount = self.amount(*victim);
            lost_core_s += self.victims[*victim].lost_core_s;
            freed = freed.plus(&amount);
            if let Some(account) = self.account(*victim) {
                let ppm = amount.dominant_share_ppm(&self.limits.capacity);
                let Some(left) = left_excess_ppm.get_mut(account).filter(|left| ppm / 2 < **left)
                else {
                    return false;
                };
                *left = left.saturating_sub(ppm);
            }
        }
        let freed_ppm = freed.dominant_share_ppm(&self.limits.capacity);
        if lost_core_s > self.limits.lost_core_s || freed_ppm > self.limits.freed_ppm {
            return false;
        }
        self.lost_core_s = lost_core_s;
        self.freed = freed;
        self.left_excess_ppm = left_excess_ppm;
        for victim in victims {
            self.is_chosen[*victim] = true;
            self.chosen.push(*victim);
            for (worker, amount) in &self.victims[*victim].frees {
                self.free[*worker] = self.free[*worker].plus(amount);
            }
        }
        true
    }

    /// Drops the victims without which all tasks fit as well, those that cost most first.
    fn drop_needless(&mut self) {
        let mut order = self.chosen.clone();
        order.sort_by(|a, b| {
            let (a_lost, b_lost) = (self.victims[*a].lost_core_s, self.victims[*b].lost_core_s);
            self.cause(*b).cmp(&self.cause(*a)).then(b_lost.total_cmp(&a_lost))
        });
        for victim in order {
            let before = self.free.clone();
            for (worker, amount) in &self.victims[victim].frees {
                self.free[*worker] = self.free[*worker].minus(amount);
            }
            if self.fitting() >= self.claim.tasks {
                self.is_chosen[victim] = false;
                self.chosen.retain(|other| *other != victim);
            } else {
                self.free = before;
            }
        }
    }

    /// Tasks go first to the workers on which something is stopped.
    fn into_plan(self) -> Plan {
        let mut workers: Vec<usize> = Vec::new();
        for victim in &self.chosen {
            for (worker, _) in &self.victims[*victim].frees {
                workers.push(*worker);
            }
        }
        workers.extend(0..self.rooms.len());
        let mut has_slots = vec![false; self.rooms.len()];
        let mut slots = Vec::new();
        let mut left = self.claim.tasks;
        for worker in workers {
            if std::mem::replace(&mut has_slots[worker], true) {
                continue;
            }
            let tasks = self.fitting_with(worker, &self.free[worker]).min(left);
            if tasks > 0 {
                slots.push((worker, tasks));
                left -= tasks;
            }
        }
        Plan { victims: self.chosen, slots }
    }
}

/// How many times `need` fits in `free`.
fn fit_count(need: &Resources, free: &Resources) -> usize {
    let mut count = u64::MAX;
    for (need, free) in need.to_array().into_iter().zip(free.to_array()) {
        if let Some(fits) = free.checked_div(need) {
            count = count.min(fits);
        }
    }
    usize::try_from(count).unwrap_or(usize::MAX)
}
