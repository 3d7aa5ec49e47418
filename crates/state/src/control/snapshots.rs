//! Snapshots of the fold that are written to the log.

use std::time;

use pier_core::ids;

use super::Control;
use crate::record;

/// What this host knows about the last snapshot in the log.
#[derive(Debug, Default)]
pub(super) struct Snapshots {
    /// The first record that a new host needs: the one after the state of the last snapshot.
    needed_from: ids::Offset,
    /// The position from which records count towards the next snapshot.
    counted_from: ids::Offset,
    /// When the last snapshot was appended, or without one the oldest record.
    oldest_at: Option<time::Duration>,
    /// Whether the log no longer has all records that a new host needs.
    is_incomplete: bool,
    earliest: ids::Offset,
}

impl Control {
    /// Takes the age of the record that is folded next.
    pub(super) fn observe_record_age(&mut self, now: time::Duration, age: time::Duration) {
        self.snapshots.oldest_at.get_or_insert(now.saturating_sub(age));
    }

    /// Takes notice of a snapshot in the log whose state includes the record at `as_of_offset`.
    pub(super) fn observe_snapshot(
        &mut self,
        now: time::Duration,
        as_of_offset: ids::Offset,
        age: time::Duration,
    ) {
        let needed_from = as_of_offset.saturating_add(1);
        if needed_from < self.snapshots.needed_from {
            return;
        }
        self.snapshots.needed_from = needed_from;
        self.snapshots.counted_from = needed_from;
        self.snapshots.oldest_at = Some(now.saturating_sub(age));
        self.snapshots.is_incomplete = needed_from < self.snapshots.earliest;
    }

    /// Takes the position of the oldest record that the log keeps.
    pub(super) fn observe_retention(&mut self, earliest: ids::Offset) {
        self.snapshots.earliest = earliest;
        self.snapshots.is_incomplete = earliest > self.snapshots.needed_from;
    }

    /// Queues a snapshot when one is due and this host is the writer: the first live member in the
    /// order of hosts.
    pub(super) fn write_snapshot(&mut self, now: time::Duration) {
        let offset = self.fold.offset();
        if !self.cluster.is_member || self.cluster.log_unreachable || self.fresh_until() <= now {
            return;
        }
        let records = offset.saturating_sub(self.snapshots.counted_from);
        let age =
            self.snapshots.oldest_at.map_or(time::Duration::ZERO, |at| now.saturating_sub(at));
        let due = self.snapshots.is_incomplete
            || records >= self.options.snapshot_every_records
            || age >= self.options.snapshot_max_age;
        if !due || offset == 0 || !self.is_first_live_member(now) || self.appender.has_snapshot() {
            return;
        }
        // The records and the time until the next snapshot count from here; they are set again when
        // this snapshot is seen in the log.
        self.snapshots.counted_from = offset;
        self.snapshots.oldest_at = Some(now);
        self.snapshots.is_incomplete = false;
        let fold = Box::new(self.fold.state().clone());
        self.appender.push(record::Entry::Snapshot { as_of_offset: offset - 1, fold });
    }

    fn is_first_live_member(&self, now: time::Duration) -> bool {
        for host in &self.cluster.member_hosts {
            if *host == self.cluster.identity.host {
                return true;
            }
            if self.heard_recently(now, host) {
                return false;
            }
        }
        false
    }
}
