//! Free resources of workers and headroom of teams during a decision.

use pier_core::resources;

use crate::view;

/// Sizes are scaled so that the largest worker has two to this power in each dimension.
const SIZE_BITS: u32 = 40;
/// The additional cost of placing a task without accelerators on a worker with accelerators. It
/// exceeds the size of any free amount.
const ACCELERATOR_PENALTY: u64 = 1 << 50;

/// The free resources of one worker.
#[derive(Debug, Clone)]
pub(crate) struct WorkerCapacity {
    pub(crate) free: resources::Resources,
    pub(crate) schedulable: bool,
    /// Whether the worker may get only one task in this decision because starts on it have failed.
    single_start: bool,
    has_accelerators: bool,
    /// The scaled size of the free resources.
    size: u64,
}

/// The free resources of the workers and the headroom of the teams.
#[derive(Debug, Clone)]
pub(crate) struct FreeCapacity {
    pub(crate) workers: Vec<WorkerCapacity>,
    /// The workers that could hold at least the smallest demand, in ascending order. In a full cell
    /// they are few, which makes a decision fast.
    candidates: Vec<usize>,
    /// The smallest demand of any pending task in each dimension.
    min_demand: resources::Resources,
    team_headroom: Vec<resources::Resources>,
    scale: [u64; resources::DIMENSIONS],
}

impl FreeCapacity {
    /// Creates the free capacity at the start of a decision.
    pub(crate) fn from_view(view: &view::View<'_>) -> Self {
        let mut largest = resources::Resources::ZERO;
        let mut workers = Vec::with_capacity(view.workers.len());
        for worker in view.workers {
            largest = largest.max(&worker.total);
            workers.push(WorkerCapacity {
                free: worker.free,
                schedulable: worker.schedulable,
                single_start: worker.failures > 0,
                has_accelerators: worker.total.accelerators > 0,
                size: 0,
            });
        }
        let mut scale = [0; resources::DIMENSIONS];
        for (scale, largest) in scale.iter_mut().zip(largest.to_array()) {
            *scale = (1_u64 << SIZE_BITS).checked_div(largest).unwrap_or(0);
        }
        for capacity in &mut workers {
            capacity.size = size(&capacity.free, &scale);
        }
        let min_demand = view.pending.min_demand();
        let mut candidates = Vec::new();
        for (index, capacity) in workers.iter().enumerate() {
            if capacity.schedulable && can_hold(&capacity.free, &min_demand) {
                candidates.push(index);
            }
        }
        let team_headroom = view.teams.iter().map(|team| team.headroom).collect();
        Self { workers, candidates, min_demand, team_headroom, scale }
    }

    /// The workers that could hold at least the smallest demand, in ascending order.
    pub(crate) fn candidates(&self) -> &[usize] {
        &self.candidates
    }

    /// Whether a worker is schedulable and has enough free resources.
    pub(crate) fn fits(&self, worker: usize, demand: &resources::Resources) -> bool {
        let capacity = &self.workers[worker];
        capacity.schedulable && can_hold(&capacity.free, demand)
    }

    /// Whether the headroom of a team suffices for a task. A team that is not in the view has no
    /// limit here; the reducer checks its actual limit.
    pub(crate) fn team_allows(&self, team: Option<usize>, demand: &resources::Resources) -> bool {
        team.is_none_or(|team| can_hold(&self.team_headroom[team], demand))
    }

    /// Allocates the resources of a task on a worker and within the headroom of its team.
    pub(crate) fn allocate(
        &mut self,
        worker: usize,
        team: Option<usize>,
        demand: &resources::Resources,
    ) {
        let capacity = &mut self.workers[worker];
        capacity.free = capacity.free.minus(demand);
        capacity.size = size(&capacity.free, &self.scale);
        if capacity.single_start {
            capacity.schedulable = false;
        }
        if !capacity.schedulable || !can_hold(&capacity.free, &self.min_demand) {
            self.candidates.retain(|candidate| *candidate != worker);
        }
        if let Some(team) = team {
            self.team_headroom[team] = self.team_headroom[team].minus(demand);
        }
    }

    /// Returns the best-fit cost of a task on a worker with enough free resources: the less is
    /// free, the better the fit. The demand of the task is not subtracted because it is the same on
    /// every worker.
    pub(crate) fn fit_cost(&self, worker: usize, demand: &resources::Resources) -> u64 {
        let capacity = &self.workers[worker];
        if capacity.has_accelerators && demand.accelerators == 0 {
            return capacity.size.saturating_add(ACCELERATOR_PENALTY);
        }
        capacity.size
    }

    /// Returns the sum of the scaled dimensions of an amount.
    pub(crate) fn size(&self, amount: &resources::Resources) -> u64 {
        size(amount, &self.scale)
    }

    /// Returns the worker with the lowest `cost` among those that fit the demand and that `allowed`
    /// accepts; the first of several.
    pub(crate) fn min_cost_worker<C: Ord>(
        &self,
        demand: &resources::Resources,
        allowed: impl Fn(usize) -> bool,
        cost: impl Fn(usize) -> C,
    ) -> Option<usize> {
        let mut best = None;
        for worker in self.candidates.iter().copied() {
            let cost = cost(worker);
            if best.as_ref().is_some_and(|(min_cost, _)| cost >= *min_cost) {
                continue;
            }
            if self.fits(worker, demand) && allowed(worker) {
                best = Some((cost, worker));
            }
        }
        best.map(|(_, worker)| worker)
    }
}

/// The sum of the scaled dimensions of an amount.
fn size(amount: &resources::Resources, scale: &[u64; resources::DIMENSIONS]) -> u64 {
    let mut size: u64 = 0;
    for (amount, scale) in amount.to_array().into_iter().zip(scale) {
        size = amount.saturating_mul(*scale).saturating_add(size);
    }
    size
}

/// Whether `demand` fits in `capacity`. This is called for every pair of task and worker, so it
/// compares first the dimension that is exhausted most often.
pub(crate) fn can_hold(capacity: &resources::Resources, demand: &resources::Resources) -> bool {
    demand.slots <= capacity.slots
        && demand.cpu_milli <= capacity.cpu_milli
        && demand.memory_mb <= capacity.memory_mb
        && demand.accelerators <= capacity.accelerators
        && demand.connections <= capacity.connections
}

/// The largest fraction of `total` that an amount uses in any dimension, in parts per million. This
/// is `Resources::dominant_share_ppm` without 128-bit divisions.
pub(crate) fn dominant_share_ppm(
    amount: &resources::Resources,
    total: &resources::Resources,
) -> u64 {
    const PPM: u64 = 1_000_000;
    let mut largest = 0;
    for (amount, capacity) in amount.to_array().into_iter().zip(total.to_array()) {
        if amount > 0 && capacity > 0 {
            largest = largest.max(amount.saturating_mul(PPM) / capacity);
        }
    }
    largest
}

/// The index of a team in a view; `None` if the view does not list it.
pub(crate) fn team_index(view: &view::View<'_>, team: &str) -> Option<usize> {
    view.teams.binary_search_by(|known| known.team.as_ref().cmp(team)).ok()
}
