//! Decides which parts of the summary of this host's workers a heartbeat carries.

use std::time;

use pier_core::resources;

use crate::cluster;

/// The free capacity is sent at least this often, in case a heartbeat with a change is lost.
const CAPACITY_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// A change of the capacity by at most one part in this number of what was sent waits for the
/// interval.
const CAPACITY_CHANGE_FRACTION: u64 = 8;
/// The usage of teams is sent as often as this bandwidth allows, in bytes per second to all peers
/// together, within the bounds of the interval. A host may use 21 KB/s for control in all.
const TEAMS_BYTES_PER_SECOND: u64 = 2_000;
const BYTES_PER_TEAM: u64 = 50;
const MIN_TEAMS_INTERVAL: time::Duration = time::Duration::from_secs(1);
const MAX_TEAMS_INTERVAL: time::Duration = time::Duration::from_secs(30);

/// What heartbeats have carried last, and when they carry it again.
#[derive(Debug, Default)]
pub(super) struct SummarySchedule {
    capacity: cluster::HostLoad,
    next_capacity_at: time::Duration,
    next_teams_at: time::Duration,
}

impl SummarySchedule {
    /// Makes the next heartbeats carry everything.
    pub(super) fn reset(&mut self) {
        self.next_capacity_at = time::Duration::ZERO;
        self.next_teams_at = time::Duration::ZERO;
    }

    /// Returns the capacity if the next heartbeats carry it.
    pub(super) fn capacity(
        &mut self,
        now: time::Duration,
        capacity: &cluster::HostLoad,
    ) -> Option<cluster::HostLoad> {
        if now < self.next_capacity_at && !capacity_changed(capacity, &self.capacity) {
            return None;
        }
        self.capacity = *capacity;
        self.next_capacity_at = now + CAPACITY_INTERVAL;
        Some(*capacity)
    }

    /// Returns the usage of teams if the next heartbeats, to `peers` peers, carry it.
    pub(super) fn teams(
        &mut self,
        now: time::Duration,
        teams: &[cluster::TeamUsage],
        peers: u64,
    ) -> Option<Vec<cluster::TeamUsage>> {
        if now < self.next_teams_at {
            return None;
        }
        let count = u64::try_from(teams.len()).unwrap_or(u64::MAX);
        let bytes = count.saturating_mul(peers).saturating_mul(BYTES_PER_TEAM);
        let interval = time::Duration::from_secs(bytes / TEAMS_BYTES_PER_SECOND);
        self.next_teams_at = now + interval.clamp(MIN_TEAMS_INTERVAL, MAX_TEAMS_INTERVAL);
        Some(teams.to_vec())
    }
}

/// Whether the capacity has changed so much that a peer may choose another host for a task.
fn capacity_changed(new: &cluster::HostLoad, sent: &cluster::HostLoad) -> bool {
    new.total != sent.total
        || resources_changed(&new.free, &sent.free)
        || resources_changed(&new.largest_free, &sent.largest_free)
        || amount_changed(new.waiting, sent.waiting)
}

fn resources_changed(new: &resources::Resources, sent: &resources::Resources) -> bool {
    let pairs = new.to_array().into_iter().zip(sent.to_array());
    pairs.into_iter().any(|(new, sent)| amount_changed(new, sent))
}

/// Whether an amount has changed by more than 1/8 of the smaller value. When little is left, every
/// change counts.
fn amount_changed(new: u64, sent: u64) -> bool {
    new.abs_diff(sent) > new.min(sent) / CAPACITY_CHANGE_FRACTION
}
