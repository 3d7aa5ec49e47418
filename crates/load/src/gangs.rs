//! Plans where and when a gang that does not fit now has room.
//!
//! The plan covers all workers that may run the gang, because runs end everywhere: a gang gathers
//! its slots on many workers much sooner than on a few that are emptied for it.

use std::cmp;
use std::time;

use pier_core::resources::Resources;

/// How much later a gang may start for each of its members if that spares it the workers with a
/// recent failure. Each of these may break the gang, and a wide gang loses more work.
const RELIABILITY_WAIT_PER_MEMBER: time::Duration = time::Duration::from_millis(50);
/// The spare slots of a plan are the gang's members divided by this.
const SPARE_DIVISOR: usize = 5;
/// A run that should have ended counts as ending after at least its expected time divided by this.
const OVERDUE_DIVISOR: u32 = 20;

/// What a worker offers to a gang over time.
#[derive(Debug, Clone, Copy)]
pub struct WorkerRoom<'a> {
    /// The free resources.
    pub free: Resources,
    /// The part of its resources that is reserved for others.
    pub reserved: Resources,
    /// The expected ends of its runs in order of time, with the resources that they free.
    pub ends: &'a [(time::Duration, Resources)],
    /// How many members the worker may run under the spread limit.
    pub spread_left: usize,
    /// Whether a run has failed on it recently.
    pub has_failed: bool,
}

impl WorkerRoom<'_> {
    fn fits(&self, need: &Resources, free: &Resources, tasks: usize) -> usize {
        fit_count(need, &free.minus(&self.reserved)).min(self.spread_left).min(tasks)
    }
}

/// Where and when a gang has room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GangPlan {
    /// When all slots are free.
    pub ready_at: time::Duration,
    /// The workers by their index, with the number of members of each.
    pub slots: Vec<(usize, usize)>,
    /// The workers that have room soonest after that, for a fifth of the gang.
    pub spares: Vec<usize>,
    /// Whether it uses workers with a recent failure.
    pub uses_failed: bool,
}

/// When a run is expected to end. Expected run times are uncertain: a run that is overdue counts as
/// ending soon, and later the longer it is overdue.
pub fn expected_end(
    now: time::Duration,
    started_at: time::Duration,
    expected: time::Duration,
) -> time::Duration {
    let ends_at = started_at.saturating_add(expected);
    if ends_at > now {
        return ends_at;
    }
    let overdue = now.saturating_sub(ends_at);
    now.saturating_add((overdue / 2).max(expected / OVERDUE_DIVISOR))
}

/// The earliest time at which `tasks` members of a gang have room, and on which workers. Slots that
/// are free now come first. Workers with a recent failure are used if the gang would otherwise wait
/// long, in proportion to its width. None if the gang never fits.
pub fn plan(
    now: time::Duration,
    tasks: usize,
    need: &Resources,
    rooms: &[WorkerRoom<'_>],
) -> Option<GangPlan> {
    let mut reliable = Vec::with_capacity(rooms.len());
    for (index, room) in rooms.iter().enumerate() {
        if !room.has_failed {
            reliable.push(index);
        }
    }
    let plan = plan_on(now, tasks, need, rooms, &reliable);
    if reliable.len() == rooms.len() || plan.as_ref().is_some_and(|plan| plan.ready_at <= now) {
        return plan;
    }
    let all: Vec<usize> = (0..rooms.len()).collect();
    let on_all = plan_on(now, tasks, need, rooms, &all)?;
    let members = u32::try_from(tasks).unwrap_or(u32::MAX);
    let may_wait = RELIABILITY_WAIT_PER_MEMBER.saturating_mul(members);
    match plan {
        Some(plan) if plan.ready_at <= on_all.ready_at.saturating_add(may_wait) => Some(plan),
        _ => Some(on_all),
    }
}

fn plan_on(
    now: time::Duration,
    tasks: usize,
    need: &Resources,
    rooms: &[WorkerRoom<'_>],
    usable: &[usize],
) -> Option<GangPlan> {
    // The index, the free resources and the number of members that fit.
    let mut states = Vec::with_capacity(usable.len());
    let mut total: usize = 0;
    for index in usable {
        let room = &rooms[*index];
        let fits = room.fits(need, &room.free, tasks);
        total = total.saturating_add(fits);
        states.push((*index, room.free, fits));
    }
    let spare_tasks = tasks.div_ceil(SPARE_DIVISOR);
    let mut plan = None;
    let mut spare_count = 0;
    if total >= tasks {
        plan = Some(plan_now(now, tasks, &states, rooms, spare_tasks, &mut spare_count));
    }
    if plan.is_some() && spare_count >= spare_tasks {
        return plan;
    }
    let mut events = Vec::new();
    for (position, (index, _, _)) in states.iter().enumerate() {
        for (at, amount) in rooms[*index].ends {
            events.push((*at, position, *amount));
        }
    }
    events.sort_unstable_by_key(|(at, position, _)| (*at, *position));
    for (at, position, amount) in events {
        let (index, free, fits) = &mut states[position];
        *free = free.plus(&amount);
        let after = rooms[*index].fits(need, free, tasks);
        let added = after.saturating_sub(*fits);
        if added == 0 {
            continue;
        }
        *fits = after;
        let index = *index;
        let Some(plan) = &mut plan else {
            total = total.saturating_add(added);
            if total >= tasks {
                plan = Some(plan_later(at.max(now), tasks, &states, rooms, position, total));
            }
            continue;
        };
        if !plan.spares.contains(&index) {
            plan.spares.push(index);
        }
        spare_count = spare_count.saturating_add(added);
        if spare_count >= spare_tasks {
            break;
        }
    }
    plan
}

/// The plan for a gang that fits now: as few workers as possible, because each may break it.
fn plan_now(
    now: time::Duration,
    tasks: usize,
    states: &[(usize, Resources, usize)],
    rooms: &[WorkerRoom<'_>],
    spare_tasks: usize,
    spare_count: &mut usize,
) -> GangPlan {
    let mut by_fits: Vec<(usize, usize)> = Vec::with_capacity(states.len());
    for (index, _, fits) in states {
        if *fits > 0 {
            by_fits.push((*index, *fits));
        }
    }
    by_fits.sort_by_key(|(index, fits)| (rooms[*index].has_failed, cmp::Reverse(*fits)));
    let mut plan =
        GangPlan { ready_at: now, slots: Vec::new(), spares: Vec::new(), uses_failed: false };
    let mut left = tasks;
    for (index, fits) in by_fits {
        let taken = fits.min(left);
        if taken > 0 {
            plan.slots.push((index, taken));
            plan.uses_failed |= rooms[index].has_failed;
            left -= taken;
        }
        if taken < fits && *spare_count < spare_tasks {
            *spare_count = spare_count.saturating_add(fits - taken);
            if taken == 0 {
                plan.spares.push(index);
            }
        }
    }
    plan
}

/// The plan for a gang that has just enough room when a run on the worker at `last` has ended.
fn plan_later(
    ready_at: time::Duration,
    tasks: usize,
    states: &[(usize, Resources, usize)],
    rooms: &[WorkerRoom<'_>],
    last: usize,
    total: usize,
) -> GangPlan {
    let mut plan = GangPlan { ready_at, slots: Vec::new(), spares: Vec::new(), uses_failed: false };
    for (position, (index, _, fits)) in states.iter().enumerate() {
        let surplus = if position == last { total - tasks } else { 0 };
        let taken = fits.saturating_sub(surplus);
        if taken > 0 {
            plan.slots.push((*index, taken));
            plan.uses_failed |= rooms[*index].has_failed;
        }
    }
    plan
}

/// How many times `need` fits in `capacity`.
fn fit_count(need: &Resources, capacity: &Resources) -> usize {
    let mut max = u64::MAX;
    for (need, capacity) in need.to_array().into_iter().zip(capacity.to_array()) {
        if let Some(fits) = capacity.checked_div(need) {
            max = max.min(fits);
        }
    }
    usize::try_from(max).unwrap_or(usize::MAX)
}
