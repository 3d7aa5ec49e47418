//! The policy used when the declared policy is not registered.

use pier_policy::view;

/// Starts tasks in order of arrival on the first worker with enough capacity.
#[derive(Debug)]
pub(super) struct FirstFit;

impl view::Policy for FirstFit {
    fn name(&self) -> &'static str {
        "first_fit"
    }

    fn decide(&mut self, view: &view::View<'_>) -> Vec<view::Decision> {
        let mut free: Vec<_> = view.workers.iter().map(|worker| worker.free).collect();
        let mut team_headroom: Vec<_> = view.teams.iter().map(|team| team.headroom).collect();
        let mut decisions = Vec::new();
        for (index, task) in view.pending.by_arrival() {
            let team = view.teams.binary_search_by(|team| team.team.cmp(&task.team));
            let Ok(team) = team else {
                continue;
            };
            if !task.resources.fits_in(&team_headroom[team]) {
                continue;
            }
            for (slot, worker) in view.workers.iter().enumerate() {
                if !worker.schedulable || !task.resources.fits_in(&free[slot]) {
                    continue;
                }
                free[slot] = free[slot].minus(&task.resources);
                team_headroom[team] = team_headroom[team].minus(&task.resources);
                decisions.push(view::Decision::Start { pending: index, worker: slot });
                break;
            }
        }
        decisions
    }
}
