//! Current and decayed resource usage of teams in the whole cell, as far as this host knows it.

use std::collections;
use std::time;

use pier_core::{clock, ids, resources};
use pier_policy::view;

use crate::cluster;
use crate::work::{ledger, limits};

/// The interval between updates. Shares change much more slowly.
const UPDATE_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// The fixed-point scale of a decayed usage, so that short intervals are not rounded to zero.
const SCALE: u128 = 1 << 24;
/// The natural logarithm of two in thousandths. It converts a half-life to a decay rate.
const LN_2_MILLI: u128 = 693;

/// The resource usage of teams.
#[derive(Debug, Default)]
pub(super) struct Usage {
    /// The decayed usage on this host's workers, scaled by [`SCALE`].
    decayed: collections::BTreeMap<ids::TeamId, u128>,
    /// The current usage on the workers of peers.
    used_on_peers: collections::BTreeMap<ids::TeamId, resources::Resources>,
    /// The decayed usage on the workers of peers.
    decayed_on_peers: collections::BTreeMap<ids::TeamId, u64>,
    updated_at: time::Duration,
}

impl Usage {
    /// Updates the decayed usage and the usage reported by peers.
    pub(super) fn tick(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        ledger: &ledger::Ledger,
    ) {
        let elapsed = now.saturating_sub(self.updated_at);
        if elapsed < UPDATE_INTERVAL {
            return;
        }
        self.updated_at = now;
        let half_life = u128::from(cluster.declaration.policy.share_half_life_ms.max(1));
        let elapsed_ms = u128::from(clock::millis(elapsed)).min(half_life);
        for team in ledger.usage().keys() {
            self.decayed.entry(team.clone()).or_default();
        }
        self.decayed.retain(|team, value| {
            let share = ledger.team_used(team).dominant_share_ppm(&cluster.cell_total);
            let grown = (u128::from(share) * SCALE).saturating_mul(elapsed_ms) / half_life;
            let lost = value.saturating_mul(elapsed_ms * LN_2_MILLI) / (half_life * 1_000);
            *value = value.saturating_add(grown).saturating_sub(lost);
            *value >= SCALE
        });
        self.used_on_peers.clear();
        self.decayed_on_peers.clear();
        for peer in cluster.peers.values() {
            for usage in &peer.summary.teams {
                let sum = self.used_on_peers.entry(usage.team.clone()).or_default();
                *sum = sum.plus(&usage.used);
                let sum = self.decayed_on_peers.entry(usage.team.clone()).or_default();
                *sum = sum.saturating_add(usage.decayed_ppm);
            }
        }
    }

    /// The current and decayed usage on this host's workers, in ascending order of team.
    pub(super) fn local_usage(&self, ledger: &ledger::Ledger) -> Vec<cluster::TeamUsage> {
        let mut teams = collections::BTreeMap::new();
        for team in self.decayed.keys().chain(ledger.usage().keys()) {
            teams.entry(team).or_insert_with(|| cluster::TeamUsage {
                team: team.clone(),
                used: ledger.team_used(team),
                decayed_ppm: self.decayed_locally(team),
            });
        }
        teams.into_values().collect()
    }

    fn decayed_locally(&self, team: &ids::TeamId) -> u64 {
        let decayed = self.decayed.get(team).copied().unwrap_or_default() / SCALE;
        u64::try_from(decayed).unwrap_or(u64::MAX)
    }

    /// The current usage of a team in the whole cell.
    pub(super) fn used(&self, team: &ids::TeamId, ledger: &ledger::Ledger) -> resources::Resources {
        let local = ledger.team_used(team);
        match self.used_on_peers.get(team) {
            Some(on_peers) => local.plus(on_peers),
            None => local,
        }
    }

    /// The declared teams as seen by policies, in ascending order of name.
    pub(super) fn teams(
        &self,
        cluster: &cluster::Cluster,
        ledger: &ledger::Ledger,
        limits: &limits::Limits,
    ) -> Vec<view::Team> {
        let mut teams = Vec::with_capacity(cluster.declaration.teams.len());
        for declared in &cluster.declaration.teams {
            let team = &declared.name;
            let local = self.decayed_locally(team);
            let on_peers = self.decayed_on_peers.get(team).copied().unwrap_or_default();
            teams.push(view::Team {
                team: team.clone(),
                share: declared.share,
                used: self.used(team, ledger),
                decayed_ppm: local.saturating_add(on_peers),
                headroom: limits.headroom_of(declared, &ledger.team_used(team)),
            });
        }
        teams.sort_by(|a, b| a.team.cmp(&b.team));
        teams.dedup_by(|a, b| a.team == b.team);
        teams
    }
}
