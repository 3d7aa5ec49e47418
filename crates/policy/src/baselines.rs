//! Simple policies to compare with. None makes running work yield.

use std::cmp;

use rand::{Rng, SeedableRng, rngs};

use crate::{room, view};

/// First come, first served, each task on the first worker that fits. A task that does not fit
/// lets later ones pass.
#[derive(Debug)]
pub(crate) struct Fcfs;

impl view::Policy for Fcfs {
    fn name(&self) -> &'static str {
        "fcfs"
    }

    fn decide(&mut self, view: &view::View<'_>) -> Vec<view::Decision> {
        in_order(view, |room, task| room.cheapest(&task.resources, |_| true, |worker| worker))
    }
}

/// First come, first served, each task on the worker with the most room.
#[derive(Debug)]
pub(crate) struct LeastLoaded;

impl view::Policy for LeastLoaded {
    fn name(&self) -> &'static str {
        "least_loaded"
    }

    fn decide(&mut self, view: &view::View<'_>) -> Vec<view::Decision> {
        in_order(view, |room, task| {
            let need = &task.resources;
            room.cheapest(need, |_| true, |worker| cmp::Reverse(room.score(worker, need)))
        })
    }
}

/// First come, first served, each task on a random worker that fits.
#[derive(Debug)]
pub(crate) struct Random {
    random: rngs::StdRng,
}

impl Default for Random {
    fn default() -> Self {
        Self { random: rngs::StdRng::seed_from_u64(view::Settings::default().seed) }
    }
}

impl view::Policy for Random {
    fn name(&self) -> &'static str {
        "random"
    }

    fn configure(&mut self, settings: &view::Settings) {
        self.random = rngs::StdRng::seed_from_u64(settings.seed);
    }

    fn decide(&mut self, view: &view::View<'_>) -> Vec<view::Decision> {
        let random = &mut self.random;
        in_order(view, |room, task| {
            let mut fitting = Vec::new();
            for worker in room.candidates() {
                if room.fits(*worker, &task.resources) {
                    fitting.push(*worker);
                }
            }
            if fitting.is_empty() {
                return None;
            }
            Some(fitting[random.random_range(0..fitting.len())])
        })
    }
}

/// Starts the pending tasks in order of arrival where `choose` says.
fn in_order(
    view: &view::View<'_>,
    mut choose: impl FnMut(&room::Room, &view::PendingTask) -> Option<usize>,
) -> Vec<view::Decision> {
    let mut room = room::Room::of(view);
    let mut decisions = Vec::new();
    for (pending, task) in view.pending.by_arrival() {
        let team = room::team_index(view, &task.team);
        if !room.team_allows(team, &task.resources) {
            continue;
        }
        let Some(worker) = choose(&room, task) else {
            continue;
        };
        room.take(worker, team, &task.resources);
        decisions.push(view::Decision::Start { pending, worker });
    }
    decisions
}
