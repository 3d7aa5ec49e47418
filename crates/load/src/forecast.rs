//! Forecasts when a waiting step could start.
//!
//! The forecast plays the waiting steps through in order of rank on the workers of a service, taken
//! as one pool: each takes resources when as much is free, and gives them back after its expected
//! run time. Times are rounded up to a grid that gets coarser with their distance, so that the cost
//! depends on the number of steps rather than on that of tasks.

use std::collections::{BTreeMap, VecDeque};
use std::time;

use pier_core::resources::{DIMENSIONS, Resources};

/// The spacing of the grid of times in the near future.
const MIN_GRID_MS: u64 = 10;
/// Times are rounded to about one in this many of their distance at least.
const GRID_STEPS: u64 = 128;
/// The shortest run time in the forecast.
const MIN_RUN_TIME: time::Duration = time::Duration::from_millis(1);
/// The greatest amount of a resource. Larger ones stand for "no limit"; sums of them must not
/// overflow.
const MAX_AMOUNT: i64 = i64::MAX / 1_048_576;
/// The number of forecast errors whose median is the correction of a queue.
const CORRECTION_WINDOW: usize = 100;
/// The number of errors from which on there is a correction. Fewer may all come from one burst.
const MIN_CORRECTION_ERRORS: usize = 5;

/// The workers of a service as one pool.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    /// The total resources of the workers that accept work.
    pub capacity: Resources,
    /// The part of it that is free.
    pub free: Resources,
    /// The part of the capacity that stays free although work waits, because tasks do not fill the
    /// workers exactly.
    pub unusable: Resources,
    /// The expected ends of runs, with the resources that they free, in any order.
    pub ends: Vec<(time::Duration, Resources)>,
}

/// A step that waits for room.
#[derive(Debug, Clone)]
pub struct WaitingWork {
    /// The resources that each task needs.
    pub need: Resources,
    /// The number of tasks that wait.
    pub tasks: usize,
    /// Whether all tasks have to start together.
    pub is_gang: bool,
    /// The expected run time of a task.
    pub run_time: time::Duration,
    /// The time before which it cannot start for other reasons, such as its account's limit. Work
    /// behind it does not wait for that.
    pub earliest: time::Duration,
    /// Whether it cannot start before the work in front of it in the list has ended.
    pub is_follow_up: bool,
}

/// The forecast of one scheduling pass.
#[derive(Debug, Clone, Default)]
pub struct Forecast {
    room: Room,
    /// The state when the first steps have started, by their number.
    positions: Vec<Position>,
    /// All changes of the free resources, in order of time.
    changes: Vec<Change>,
    /// Which tasks of which step start when, in the order of the steps.
    starts: Vec<Start>,
}

/// Tasks that start together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    /// The index of the step in the waiting work.
    pub index: usize,
    /// When.
    pub at: time::Duration,
    /// The number of tasks.
    pub tasks: usize,
}

/// The state when some steps have started.
#[derive(Debug, Clone, Copy, Default)]
struct Position {
    at: time::Duration,
    free: Amounts,
}

/// How much of the pool tasks can use.
#[derive(Debug, Clone, Copy, Default)]
struct Room {
    capacity: Amounts,
    unusable: Amounts,
}

impl Room {
    /// How many tasks of this need fit when nothing else runs; zero if the work cannot start at all.
    /// Work that only fits into the whole capacity may use all of it.
    fn most_at_once(&self, work: &WaitingWork) -> usize {
        let need = Amounts::of(&work.need);
        let least = if work.is_gang { work.tasks } else { 1 };
        let usable = need.fit_count(&self.capacity.minus(&self.unusable));
        if usable >= least {
            return usable;
        }
        let most = need.fit_count(&self.capacity);
        if most >= least { most } else { 0 }
    }

    /// The part of the free resources that work can use of which this amount starts together.
    fn available(&self, at_once: &Amounts, free: &Amounts) -> Amounts {
        if at_once.fits_in(&self.capacity.minus(&self.unusable)) {
            free.minus(&self.unusable)
        } else {
            *free
        }
    }
}

/// A change of the free resources.
#[derive(Debug, Clone, Copy)]
struct Change {
    at: time::Duration,
    /// It concerns all work that ranks behind this many steps.
    behind: usize,
    amounts: Amounts,
}

impl Forecast {
    /// Forecasts the starts of `waiting`, which is in order of rank. Steps that cannot fit into the
    /// pool are left out.
    pub fn new(now: time::Duration, pool: &Pool, waiting: &[WaitingWork]) -> Self {
        let mut simulation = Simulation::new(now, pool);
        let mut positions = Vec::with_capacity(waiting.len() + 1);
        positions.push(simulation.position);
        for (index, work) in waiting.iter().enumerate() {
            simulation.place(index, work);
            positions.push(simulation.position);
        }
        let Simulation { room, mut changes, starts, .. } = simulation;
        changes.sort_unstable_by_key(|change| change.at);
        Self { room, positions, changes, starts }
    }

    /// When all tasks of the work could have started if it ranked behind the first `position`
    /// waiting steps. None if it does not fit into the pool.
    pub fn start_after(&self, position: usize, work: &WaitingWork) -> Option<time::Duration> {
        self.start_behind(position, &Resources::ZERO, work)
    }

    /// The same if work of the total size `ahead`, of which the forecast does not know, ranks ahead
    /// as well.
    pub fn start_behind(
        &self,
        position: usize,
        ahead: &Resources,
        work: &WaitingWork,
    ) -> Option<time::Duration> {
        let start = self.positions.get(position).or(self.positions.last())?;
        let most = self.room.most_at_once(work);
        if most == 0 {
            return None;
        }
        let at_once = work.tasks.min(most);
        let own = Amounts::of(&work.need).times(at_once);
        let demand = own.plus(&Amounts::of(ahead));
        let is_available = |free: &Amounts| demand.fits_in(&self.room.available(&own, free));
        let mut at = start.at.max(work.earliest);
        let mut free = start.free;
        let mut is_started = is_available(&free);
        let first = self.changes.partition_point(|change| change.at <= start.at);
        for change in &self.changes[first..] {
            if is_started && change.at > at {
                break;
            }
            if change.behind > position {
                continue;
            }
            free = free.plus(&change.amounts);
            is_started = is_available(&free);
            at = at.max(change.at);
        }
        // What is still missing after everything known has ended has to run first, as have further
        // tasks than fit at a time.
        let mut rounds = work.tasks.div_ceil(at_once.max(1)).saturating_sub(1);
        if !is_started {
            let missing = demand.minus(&free).dominant_rounds(&self.room.capacity);
            rounds = rounds.saturating_add(missing);
        }
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        Some(at.saturating_add(work.run_time.saturating_mul(rounds)))
    }

    /// Which tasks of the waiting work start when.
    pub fn starts(&self) -> &[Start] {
        &self.starts
    }
}

/// The play of the waiting steps on the pool.
struct Simulation {
    now: time::Duration,
    room: Room,
    position: Position,
    /// The end of the step that was placed last.
    last_end: time::Duration,
    /// The changes of the free resources that are still to come.
    pending: BTreeMap<time::Duration, Amounts>,
    changes: Vec<Change>,
    starts: Vec<Start>,
}

impl Simulation {
    fn new(now: time::Duration, pool: &Pool) -> Self {
        let mut simulation = Self {
            now,
            room: Room {
                capacity: Amounts::of(&pool.capacity),
                unusable: Amounts::of(&pool.unusable),
            },
            position: Position { at: now, free: Amounts::of(&pool.free) },
            last_end: now,
            pending: BTreeMap::new(),
            changes: Vec::new(),
            starts: Vec::new(),
        };
        for (end, amounts) in &pool.ends {
            let at = simulation.on_grid((*end).max(now.saturating_add(MIN_RUN_TIME)));
            let pending = simulation.pending.entry(at).or_default();
            *pending = pending.plus(&Amounts::of(amounts));
        }
        for (at, amounts) in &simulation.pending {
            simulation.changes.push(Change { at: *at, behind: 0, amounts: *amounts });
        }
        simulation
    }

    fn place(&mut self, index: usize, work: &WaitingWork) {
        let need = Amounts::of(&work.need);
        if self.room.most_at_once(work) == 0 {
            return;
        }
        let earliest =
            if work.is_follow_up { work.earliest.max(self.last_end) } else { work.earliest };
        if earliest > self.position.at {
            let at = self.on_grid(earliest);
            self.add_change(index, at, Amounts::default().minus(&need.times(work.tasks)));
            self.add_start(index, at, work, &need, work.tasks);
            return;
        }
        let at_once = if work.is_gang { work.tasks } else { 1 };
        let own = need.times(at_once);
        let mut left = work.tasks;
        loop {
            let available = self.room.available(&own, &self.position.free);
            let count = need.fit_count(&available).min(left);
            if count >= at_once && count > 0 {
                self.position.free = self.position.free.minus(&need.times(count));
                self.add_start(index, self.position.at, work, &need, count);
                left -= count;
            }
            if left == 0 {
                return;
            }
            let Some((at, amounts)) = self.pending.pop_first() else {
                return;
            };
            self.position.at = at;
            self.position.free = self.position.free.plus(&amounts);
        }
    }

    fn add_start(
        &mut self,
        index: usize,
        at: time::Duration,
        work: &WaitingWork,
        need: &Amounts,
        tasks: usize,
    ) {
        self.starts.push(Start { index, at, tasks });
        let end = self.on_grid(at.saturating_add(work.run_time.max(MIN_RUN_TIME)));
        self.add_change(index, end, need.times(tasks));
        self.last_end = end;
    }

    fn add_change(&mut self, index: usize, at: time::Duration, amounts: Amounts) {
        let pending = self.pending.entry(at).or_default();
        *pending = pending.plus(&amounts);
        self.changes.push(Change { at, behind: index + 1, amounts });
    }

    /// Rounds a time up to the grid.
    fn on_grid(&self, at: time::Duration) -> time::Duration {
        let distance = at.saturating_sub(self.now).as_micros().div_ceil(1_000);
        let distance = u64::try_from(distance).unwrap_or(u64::MAX / 2);
        let mut grid = MIN_GRID_MS;
        while distance / grid >= GRID_STEPS {
            grid = grid.saturating_mul(2);
        }
        let rounded = distance.div_ceil(grid).saturating_mul(grid);
        self.now.saturating_add(time::Duration::from_millis(rounded))
    }
}

/// Amounts of resources that may be negative: more can be promised than is free.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Amounts([i64; DIMENSIONS]);

impl Amounts {
    fn of(resources: &Resources) -> Self {
        Self(
            resources
                .to_array()
                .map(|amount| i64::try_from(amount).unwrap_or(i64::MAX).min(MAX_AMOUNT)),
        )
    }

    fn zip_with(&self, other: &Self, combine: impl Fn(i64, i64) -> i64) -> Self {
        let mut amounts = self.0;
        for (amount, other) in amounts.iter_mut().zip(other.0) {
            *amount = combine(*amount, other);
        }
        Self(amounts)
    }

    fn plus(&self, other: &Self) -> Self {
        self.zip_with(other, i64::saturating_add)
    }

    fn minus(&self, other: &Self) -> Self {
        self.zip_with(other, i64::saturating_sub)
    }

    fn times(&self, count: usize) -> Self {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        Self(self.0.map(|amount| amount.saturating_mul(count).min(MAX_AMOUNT)))
    }

    /// Whether the free amounts cover these. Resources that are not needed do not matter.
    fn fits_in(&self, free: &Self) -> bool {
        self.0.iter().zip(free.0).all(|(amount, free)| *amount <= 0 || *amount <= free)
    }

    /// How many times these amounts fit into the free ones.
    fn fit_count(&self, free: &Self) -> usize {
        let mut count = usize::MAX;
        for (amount, free) in self.0.iter().zip(free.0) {
            if *amount > 0 {
                count = count.min(usize::try_from(free / amount).unwrap_or(0));
            }
        }
        count
    }

    /// How many times the capacity has to be used to cover these amounts.
    fn dominant_rounds(&self, capacity: &Self) -> usize {
        let mut rounds = 0;
        for (amount, capacity) in self.0.iter().zip(capacity.0) {
            if *amount > 0 && capacity > 0 {
                let whole = amount / capacity + i64::from(amount % capacity > 0);
                rounds = rounds.max(usize::try_from(whole).unwrap_or(0));
            }
        }
        rounds
    }
}

/// Learns by how much the forecasts of a queue are off.
#[derive(Debug, Clone, Default)]
pub struct Correction {
    errors_ms: VecDeque<i64>,
    median_ms: i64,
}

impl Correction {
    /// Starts from the correction of an earlier decider, until there are errors of its own.
    pub fn from_millis(median_ms: i64) -> Self {
        Self { errors_ms: VecDeque::new(), median_ms }
    }

    /// Records when the work has started and when that was forecast without the correction.
    pub fn record(&mut self, forecast: time::Duration, start: time::Duration) {
        let error_ms = signed_millis(start).saturating_sub(signed_millis(forecast));
        if self.errors_ms.len() == CORRECTION_WINDOW {
            self.errors_ms.pop_front();
        }
        self.errors_ms.push_back(error_ms);
        if self.errors_ms.len() < MIN_CORRECTION_ERRORS {
            return;
        }
        let mut sorted: Vec<i64> = self.errors_ms.iter().copied().collect();
        sorted.sort_unstable();
        self.median_ms = sorted[sorted.len() / 2];
    }

    /// The median error in milliseconds. Positive if work starts later than forecast.
    pub fn to_millis(&self) -> i64 {
        self.median_ms
    }

    /// The corrected forecast, not before `now`.
    pub fn apply(&self, now: time::Duration, forecast: time::Duration) -> time::Duration {
        let shift = time::Duration::from_millis(self.median_ms.unsigned_abs());
        if self.median_ms < 0 {
            forecast.saturating_sub(shift).max(now)
        } else {
            forecast.saturating_add(shift)
        }
    }
}

fn signed_millis(time: time::Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
