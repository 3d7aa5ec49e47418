//! Simple baseline policies for comparison. None of them preempts running tasks.

use std::cmp;

use rand::{Rng, SeedableRng, rngs};

use crate::{capacity, view};

/// First come, first served, each task on the first worker with enough free resources. A task that
/// fits nowhere does not block later ones.
#[derive(Debug)]
pub(crate) struct Fcfs;

impl view::Policy for Fcfs {
    fn name(&self) -> &'static str {
        "fcfs"
    }

    fn decide(&mut self, view: &view::View<'_>) -> Vec<view::Decision> {
        start_in_order(view, |capacity, task| {
            capacity.min_cost_worker(&task.resources, |_| true, |worker| worker)
        })
    }
}

/// First come, first served, each task on the worker with the most free resources.
#[derive(Debug)]
pub(crate) struct LeastLoaded;

impl view::Policy for LeastLoaded {
    fn name(&self) -> &'static str {
        "least_loaded"
    }

    fn decide(&mut self, view: &view::View<'_>) -> Vec<view::Decision> {
        start_in_order(view, |capacity, task| {
            let demand = &task.resources;
            capacity.min_cost_worker(
                demand,
                |_| true,
                |worker| cmp::Reverse(capacity.fit_cost(worker, demand)),
            )
        })
    }
}

/// First come, first served, each task on a random worker with enough free resources.
#[derive(Debug)]
pub(crate) struct Random {
    rng: rngs::StdRng,
}

impl Default for Random {
    fn default() -> Self {
        Self { rng: rngs::StdRng::seed_from_u64(view::Settings::default().seed) }
    }
}

impl view::Policy for Random {
    fn name(&self) -> &'static str {
        "random"
    }

    fn configure(&mut self, settings: &view::Settings) {
        self.rng = rngs::StdRng::seed_from_u64(settings.seed);
    }

    fn decide(&mut self, view: &view::View<'_>) -> Vec<view::Decision> {
        let rng = &mut self.rng;
        start_in_order(view, |capacity, task| {
            let mut fitting = Vec::new();
            for worker in capacity.candidates() {
                if capacity.fits(*worker, &task.resources) {
                    fitting.push(*worker);
                }
            }
            if fitting.is_empty() {
                return None;
            }
            Some(fitting[rng.random_range(0..fitting.len())])
        })
    }
}

/// Starts the pending tasks in order of arrival, each on the worker that `choose` returns.
fn start_in_order(
    view: &view::View<'_>,
    mut choose: impl FnMut(&capacity::FreeCapacity, &view::PendingTask) -> Option<usize>,
) -> Vec<view::Decision> {
    let mut capacity = capacity::FreeCapacity::from_view(view);
    let mut decisions = Vec::new();
    for (pending, task) in view.pending.by_arrival() {
        let team = capacity::team_index(view, &task.team);
        if !capacity.team_allows(team, &task.resources) {
            continue;
        }
        let Some(worker) = choose(&capacity, task) else {
            continue;
        };
        capacity.allocate(worker, team, &task.resources);
        decisions.push(view::Decision::Start { pending, worker });
    }
    decisions
}
