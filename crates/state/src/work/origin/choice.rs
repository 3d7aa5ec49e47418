//! Selects the worker owner that is asked to place an attempt.

use pier_core::{ids, resources};
use rand::Rng;

use super::{Candidate, LocalOwner, OWNER_CHOICES, Origin, Phase, UnreportedLoad};
use crate::work::step;

impl Origin {
    /// The owner to ask: this host if it has capacity, otherwise the better of two random
    /// candidates. `queued_ahead` is the number of tasks of the same gang that already wait for
    /// capacity here.
    pub(super) fn choose(
        &mut self,
        step: &step::Step<'_>,
        local: &LocalOwner<'_>,
        amount: &resources::Resources,
        queued_ahead: u64,
        avoid: &[ids::HostId],
    ) -> Option<(ids::HostId, ids::Incarnation)> {
        let cluster = step.cluster;
        let me = (step.me().clone(), cluster.identity.incarnation);
        let can_place_here = !avoid.contains(&me.0)
            && cluster.may_start(step.now)
            && !step.leaving
            && local.ledger.could_hold(amount);
        if can_place_here && local.ledger.schedulable_tasks(amount) > queued_ahead {
            return Some(me);
        }
        let mut with_capacity = Vec::new();
        let mut others = Vec::new();
        for (host, peer) in &cluster.peers {
            let is_fresh =
                peer.heard_at.is_some_and(|at| step.now < at + self.options.suspect_after);
            let is_member = cluster.member_hosts.binary_search(host).is_ok();
            if !is_fresh || !is_member || peer.leaving || avoid.contains(host) {
                continue;
            }
            let unreported = self.unreported.entry(host.clone()).or_default();
            if unreported.load_at != peer.load_at {
                *unreported = UnreportedLoad { load_at: peer.load_at, ..UnreportedLoad::default() };
            }
            let load = &peer.summary.load;
            let free = load.free.minus(&unreported.amount);
            let fits = amount.fits_in(&load.largest_free) && amount.fits_in(&free);
            let candidate = Candidate {
                host: host.clone(),
                incarnation: peer.member.incarnation,
                free_ppm: free.dominant_share_ppm(&load.total),
                waiting: load.waiting,
                oldest_wait_ms: load.oldest_wait_ms,
            };
            match fits {
                true => with_capacity.push(candidate),
                false if amount.fits_in(&load.total) => others.push(candidate),
                false => {}
            }
        }
        if let Some(best) = self.better_of_two(with_capacity) {
            return Some((best.host, best.incarnation));
        }
        if can_place_here {
            others.push(Candidate {
                host: me.0,
                incarnation: me.1,
                free_ppm: 0,
                waiting: local.waiting,
                oldest_wait_ms: local.oldest_wait_ms,
            });
        }
        self.better_of_two(others).map(|best| (best.host, best.incarnation))
    }

    /// The number of tasks of a job that wait for a reservation on this host's own workers.
    pub(super) fn waiting_reservations(&self, step: &step::Step<'_>, job: &ids::JobId) -> u64 {
        let prefix = format!("{job}/");
        let mut count = 0;
        for (id, tracked) in self.tracked.range((ids::TaskId::from(prefix.as_str()), 0)..) {
            if !id.0.starts_with(&prefix) {
                break;
            }
            if tracked.reserve && tracked.phase == Phase::Asked && tracked.owner == *step.me() {
                count += 1;
            }
        }
        count
    }

    pub(super) fn better_of_two(&mut self, mut candidates: Vec<Candidate>) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        for _ in 0..OWNER_CHOICES {
            if candidates.is_empty() {
                break;
            }
            let candidate = candidates.swap_remove(self.rng.random_range(0..candidates.len()));
            match &best {
                Some(best) if !candidate.is_better_than(best) => {}
                _ => best = Some(candidate),
            }
        }
        best
    }
}
