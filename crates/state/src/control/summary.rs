//! Which parts of the summary of the own workers a heartbeat carries.

use std::time;

use pier_core::resources;

use crate::cluster;

/// The room is sent at least this often, in case a heartbeat that told of a change is lost.
const ROOM_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// A change of the room by less than this fraction of what was sent waits for the interval.
const ROOM_FRACTION: u64 = 8;
/// The teams are sent as often as this bandwidth allows, in bytes per second to all peers, within
/// the bounds of the interval. A host may use 21 KB/s for control in all.
const TEAMS_BYTES_PER_SECOND: u64 = 2_000;
const TEAM_BYTES: u64 = 50;
const SHORTEST_TEAMS_INTERVAL: time::Duration = time::Duration::from_secs(1);
const LONGEST_TEAMS_INTERVAL: time::Duration = time::Duration::from_secs(30);

/// What heartbeats have carried, and when the next ones carry it again.
#[derive(Debug, Default)]
pub(super) struct News {
    room: cluster::HostLoad,
    load_at: time::Duration,
    teams_at: time::Duration,
}

impl News {
    /// Lets the next heartbeats carry everything.
    pub(super) fn renew(&mut self) {
        self.load_at = time::Duration::ZERO;
        self.teams_at = time::Duration::ZERO;
    }

    /// The room, if the next heartbeats carry it.
    pub(super) fn room(
        &mut self,
        now: time::Duration,
        room: &cluster::HostLoad,
    ) -> Option<cluster::HostLoad> {
        if now < self.load_at && !differs(room, &self.room) {
            return None;
        }
        self.room = *room;
        self.load_at = now + ROOM_INTERVAL;
        Some(*room)
    }

    /// The teams, if the next heartbeats to `peers` peers carry them.
    pub(super) fn teams(
        &mut self,
        now: time::Duration,
        teams: &[cluster::TeamUsage],
        peers: u64,
    ) -> Option<Vec<cluster::TeamUsage>> {
        if now < self.teams_at {
            return None;
        }
        let count = u64::try_from(teams.len()).unwrap_or(u64::MAX);
        let bytes = count.saturating_mul(peers).saturating_mul(TEAM_BYTES);
        let interval = time::Duration::from_secs(bytes / TEAMS_BYTES_PER_SECOND);
        self.teams_at = now + interval.clamp(SHORTEST_TEAMS_INTERVAL, LONGEST_TEAMS_INTERVAL);
        Some(teams.to_vec())
    }
}

/// Whether a peer would choose otherwise with the new room than with the room that it has.
fn differs(new: &cluster::HostLoad, sent: &cluster::HostLoad) -> bool {
    new.total != sent.total
        || moved(&new.free, &sent.free)
        || moved(&new.largest_free, &sent.largest_free)
        || amount_moved(new.waiting, sent.waiting)
}

fn moved(new: &resources::Resources, sent: &resources::Resources) -> bool {
    let pairs = new.to_array().into_iter().zip(sent.to_array());
    pairs.into_iter().any(|(new, sent)| amount_moved(new, sent))
}

/// Whether an amount has changed by a large part of the smaller one. When little is left every
/// change counts.
fn amount_moved(new: u64, sent: u64) -> bool {
    new.abs_diff(sent) > new.min(sent) / ROOM_FRACTION
}
