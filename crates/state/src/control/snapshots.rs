//! Snapshots of the fold in the log.

use std::time;

use pier_core::ids;

use super::Control;
use crate::record;

/// What is known of the last snapshot in the log.
#[derive(Debug, Default)]
pub(super) struct Snapshots {
    /// The first record that a new host needs: the one after the last snapshot's state.
    needed_from: ids::Offset,
    /// The position from which records count towards the next snapshot.
    counted_from: ids::Offset,
    /// When the last snapshot, or without one the oldest record, was appended.
    oldest_at: Option<time::Duration>,
    /// Whether the log no longer has all records that a new host needs.
    lost: bool,
    earliest: ids::Offset,
}

impl Control {
    /// Notes the age of a record that is folded next.
    pub(super) fn note_record_age(&mut self, now: time::Duration, age: time::Duration) {
        self.snapshots.oldest_at.get_or_insert(now.saturating_sub(age));
    }

    /// Notes a snapshot in the log whose state includes the record at `as_of_offset`.
    pub(super) fn note_snapshot(
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
        self.snapshots.lost = needed_from < self.snapshots.earliest;
    }

    /// Notes the oldest record that the log keeps.
    pub(super) fn note_retention(&mut self, earliest: ids::Offset) {
        self.snapshots.earliest = earliest;
        self.snapshots.lost = earliest > self.snapshots.needed_from;
    }

    /// Queues a snapshot when it is time and this host is the one that writes it: the first live
    /// member in the order of hosts.
    pub(super) fn write_snapshot(&mut self, now: time::Duration) {
        let offset = self.fold.offset();
        if !self.cluster.is_member || self.cluster.log_unreachable || self.fresh_until() <= now {
            return;
        }
        let records = offset.saturating_sub(self.snapshots.counted_from);
        let age =
            self.snapshots.oldest_at.map_or(time::Duration::ZERO, |at| now.saturating_sub(at));
        let due = self.snapshots.lost
            || records >= self.options.snapshot_every_records
            || age >= self.options.snapshot_max_age;
        if !due || offset == 0 || !self.is_first_live(now) || self.appender.has_snapshot() {
            return;
        }
        // The next one is due when this one is seen, or after as many records or as much time.
        self.snapshots.counted_from = offset;
        self.snapshots.oldest_at = Some(now);
        self.snapshots.lost = false;
        let fold = Box::new(self.fold.state().clone());
        self.appender.push(record::Entry::Snapshot { as_of_offset: offset - 1, fold });
    }

    fn is_first_live(&self, now: time::Duration) -> bool {
        for host in &self.cluster.member_hosts {
            if *host == self.cluster.identity.host {
                return true;
            }
            if self.hears(now, host) {
                return false;
            }
        }
        false
    }
}
