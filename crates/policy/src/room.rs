//! What is left on workers and of the limits of teams while a policy decides.

use pier_core::resources;

use crate::view;

/// Each dimension of a score is a part of two to this power of the largest worker.
const SCORE_BITS: u32 = 40;
/// What a worker with accelerators costs a task that needs none. It is more than any left-over.
const ACCELERATOR_COST: u64 = 1 << 50;

/// What is left on one worker.
#[derive(Debug, Clone)]
pub(crate) struct Left {
    pub(crate) free: resources::Resources,
    pub(crate) open: bool,
    /// Whether the worker may get no second task, because starts on it have failed.
    single: bool,
    has_accelerators: bool,
    /// The size of what is free.
    size: u64,
}

/// What is left on the workers and of the limits of teams.
#[derive(Debug, Clone)]
pub(crate) struct Room {
    pub(crate) workers: Vec<Left>,
    /// The workers that could hold some pending task, in ascending order. In a full cell they are
    /// few, which makes a decision short.
    candidates: Vec<usize>,
    /// The least that any pending task needs in each dimension.
    least: resources::Resources,
    teams: Vec<resources::Resources>,
    scale: [u64; resources::DIMENSIONS],
}

impl Room {
    /// The room of a view.
    pub(crate) fn of(view: &view::View<'_>) -> Self {
        let mut largest = resources::Resources::ZERO;
        let mut workers = Vec::with_capacity(view.workers.len());
        for worker in view.workers {
            largest = largest.max(&worker.total);
            workers.push(Left {
                free: worker.free,
                open: worker.schedulable,
                single: worker.failures > 0,
                has_accelerators: worker.total.accelerators > 0,
                size: 0,
            });
        }
        let mut scale = [0; resources::DIMENSIONS];
        for (scale, largest) in scale.iter_mut().zip(largest.to_array()) {
            *scale = (1_u64 << SCORE_BITS).checked_div(largest).unwrap_or(0);
        }
        for left in &mut workers {
            left.size = size(&left.free, &scale);
        }
        let least = view.pending.least();
        let mut candidates = Vec::new();
        for (index, left) in workers.iter().enumerate() {
            if left.open && holds(&left.free, &least) {
                candidates.push(index);
            }
        }
        let teams = view.teams.iter().map(|team| team.headroom).collect();
        Self { workers, candidates, least, teams, scale }
    }

    /// The workers that could hold some pending task, in ascending order.
    pub(crate) fn candidates(&self) -> &[usize] {
        &self.candidates
    }

    /// Whether a worker may get a task and has room for it.
    pub(crate) fn fits(&self, worker: usize, need: &resources::Resources) -> bool {
        let left = &self.workers[worker];
        left.open && holds(&left.free, need)
    }

    /// Whether the limit of a team leaves room for a task. A team that is not in the view has no
    /// limit here; the reducer knows better.
    pub(crate) fn team_allows(&self, team: Option<usize>, need: &resources::Resources) -> bool {
        team.is_none_or(|team| holds(&self.teams[team], need))
    }

    /// Takes what a task needs from a worker and its team.
    pub(crate) fn take(&mut self, worker: usize, team: Option<usize>, need: &resources::Resources) {
        let left = &mut self.workers[worker];
        left.free = left.free.minus(need);
        left.size = size(&left.free, &self.scale);
        if left.single {
            left.open = false;
        }
        if !left.open || !holds(&left.free, &self.least) {
            self.candidates.retain(|candidate| *candidate != worker);
        }
        if let Some(team) = team {
            self.teams[team] = self.teams[team].minus(need);
        }
    }

    /// How well a task fits on a worker with room for it: the less is free there, the less remains
    /// and the better is the fit. All workers lose the same to the task.
    pub(crate) fn score(&self, worker: usize, need: &resources::Resources) -> u64 {
        let left = &self.workers[worker];
        if left.has_accelerators && need.accelerators == 0 {
            return left.size.saturating_add(ACCELERATOR_COST);
        }
        left.size
    }

    /// How large an amount is, summed over the dimensions.
    pub(crate) fn size(&self, amount: &resources::Resources) -> u64 {
        size(amount, &self.scale)
    }

    /// The open worker with room that `allowed` accepts and that `cost` finds cheapest; the first
    /// of several.
    pub(crate) fn cheapest<C: Ord>(
        &self,
        need: &resources::Resources,
        allowed: impl Fn(usize) -> bool,
        cost: impl Fn(usize) -> C,
    ) -> Option<usize> {
        let mut best = None;
        for worker in self.candidates.iter().copied() {
            let cost = cost(worker);
            if best.as_ref().is_some_and(|(least, _)| cost >= *least) {
                continue;
            }
            if self.fits(worker, need) && allowed(worker) {
                best = Some((cost, worker));
            }
        }
        best.map(|(_, worker)| worker)
    }
}

/// How large an amount is, summed over the dimensions.
fn size(amount: &resources::Resources, scale: &[u64; resources::DIMENSIONS]) -> u64 {
    let mut size: u64 = 0;
    for (amount, scale) in amount.to_array().into_iter().zip(scale) {
        size = amount.saturating_mul(*scale).saturating_add(size);
    }
    size
}

/// Whether `room` holds `need`. It is called for every pair of task and worker, so it compares the
/// dimension first that most often is used up.
pub(crate) fn holds(room: &resources::Resources, need: &resources::Resources) -> bool {
    need.slots <= room.slots
        && need.cpu_milli <= room.cpu_milli
        && need.memory_mb <= room.memory_mb
        && need.accelerators <= room.accelerators
        && need.connections <= room.connections
}

/// The largest fraction that an amount is of `total` in any dimension, in parts per million. It is
/// the same as `Resources::dominant_share_ppm` without divisions of 128 bits.
pub(crate) fn dominant_ppm(amount: &resources::Resources, total: &resources::Resources) -> u64 {
    const PPM: u64 = 1_000_000;
    let mut largest = 0;
    for (amount, whole) in amount.to_array().into_iter().zip(total.to_array()) {
        if amount > 0 && whole > 0 {
            largest = largest.max(amount.saturating_mul(PPM) / whole);
        }
    }
    largest
}

/// The index of a team in a view; none if the view does not have it.
pub(crate) fn team_index(view: &view::View<'_>, team: &str) -> Option<usize> {
    view.teams.binary_search_by(|known| known.team.as_ref().cmp(team)).ok()
}
