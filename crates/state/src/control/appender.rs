//! Appends records to the log, one at a time, and repeats each until it is certain to be in the
//! log.

use std::collections;
use std::time;

use pier_core::ids;

use super::Control;
use crate::record::{Entry, Record};
use crate::{Effect, outbox};

/// The largest number of entries of one record.
const MAX_RECORD_ENTRIES: usize = 256;
/// The size above which the entries of a record are split over several records.
const RECORD_SPLIT_BYTES: usize = 512 << 10;
/// The bounds of the delay before a failed append is repeated. The delay doubles with each failure.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(2);

/// The queue of entries and the record that is being appended.
#[derive(Debug, Default)]
pub(super) struct Appender {
    queue: collections::VecDeque<Entry>,
    current: Option<PendingRecord>,
    /// The writer and sequence number of own epoch proposals that are in the log but not yet
    /// folded.
    unfolded_proposals: Vec<(ids::Incarnation, u64)>,
    seq: u64,
    next_at: time::Duration,
    retry_delay: time::Duration,
    pub(super) appended_count: u64,
}

/// A record that is being appended.
#[derive(Debug)]
struct PendingRecord {
    record: Record,
    /// The ticket and the send time of the append whose result is awaited.
    sent: Option<(ids::Ticket, time::Duration)>,
    /// When it last became uncertain whether the record is in the log: an append failed or timed
    /// out without a clear result.
    uncertain_since: Option<time::Duration>,
}

impl PendingRecord {
    fn is_proposal(&self) -> bool {
        matches!(self.record.entries.first(), Some(Entry::Epoch(_)))
    }

    /// Whether the record is dropped, and made again from newer state, when it certainly is not in
    /// the log.
    fn is_regenerated(&self) -> bool {
        let first = self.record.entries.first();
        matches!(first, Some(Entry::Epoch(_) | Entry::Snapshot { .. }))
    }

    fn is_change(&self, change_id: u64) -> bool {
        match self.record.entries.first() {
            Some(entry) => has_change_id(entry, change_id),
            None => false,
        }
    }
}

/// Whether the entry is the change of the declaration with that id.
fn has_change_id(entry: &Entry, change_id: u64) -> bool {
    match entry {
        Entry::Declaration(record) => record.change_id == change_id,
        Entry::Restart { declaration, .. } => declaration.change_id == change_id,
        _ => false,
    }
}

/// Whether the entry gets a record of its own, so that it can be withdrawn without other entries.
/// Such an entry is only sent while the log answers, so that few outcomes are undecided when an
/// outage begins.
fn needs_own_record(entry: &Entry) -> bool {
    matches!(
        entry,
        Entry::Declaration(_) | Entry::Epoch(_) | Entry::Restart { .. } | Entry::Snapshot { .. }
    )
}

impl Appender {
    /// Queues an entry. Epoch proposals go to the front.
    pub(super) fn push(&mut self, entry: Entry) {
        if matches!(entry, Entry::Epoch(_)) {
            self.queue.push_front(entry);
        } else {
            self.queue.push_back(entry);
        }
    }

    /// Whether no entry is queued or being appended.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.current.is_none()
    }

    /// Whether an epoch proposal is queued, being appended, or not folded yet.
    pub(super) fn has_proposal(&self) -> bool {
        self.is_undecided()
            || self.current.as_ref().is_some_and(PendingRecord::is_proposal)
            || self.queue.iter().any(|entry| matches!(entry, Entry::Epoch(_)))
    }

    /// Whether an own epoch proposal may be in the log without having been folded.
    pub(super) fn is_undecided(&self) -> bool {
        let current = self.current.as_ref().is_some_and(|current| {
            current.is_proposal() && (current.sent.is_some() || current.uncertain_since.is_some())
        });
        current || !self.unfolded_proposals.is_empty()
    }

    /// Whether a snapshot is queued or being appended.
    pub(super) fn has_snapshot(&self) -> bool {
        let is_snapshot = |entry: &Entry| matches!(entry, Entry::Snapshot { .. });
        self.queue.iter().any(is_snapshot)
            || self
                .current
                .as_ref()
                .is_some_and(|current| current.record.entries.first().is_some_and(is_snapshot))
    }

    /// Withdraws epoch proposals that were not sent, and with `superseded`, after a new epoch, all
    /// of them.
    pub(super) fn withdraw_proposals(&mut self, superseded: bool) {
        self.queue.retain(|entry| !matches!(entry, Entry::Epoch(_)));
        let withdrawn = self.current.as_ref().is_some_and(|current| {
            let unsent = current.sent.is_none() && current.uncertain_since.is_none();
            current.is_proposal() && (superseded || unsent)
        });
        if withdrawn {
            self.current = None;
        }
        if superseded {
            self.unfolded_proposals.clear();
        }
    }

    /// Withdraws a change of the declaration. Returns whether it certainly was not and will not be
    /// appended. A change that may be in the log is not sent again either.
    pub(super) fn withdraw_change(&mut self, change_id: u64) -> bool {
        let before = self.queue.len();
        self.queue.retain(|entry| !has_change_id(entry, change_id));
        if self.queue.len() < before {
            return true;
        }
        let Some(current) = self.current.as_ref().filter(|current| current.is_change(change_id))
        else {
            return false;
        };
        let unsent = current.sent.is_none() && current.uncertain_since.is_none();
        self.current = None;
        unsent
    }

    /// Removes the entries of the next record from the queue.
    fn take_entries(&mut self, log_failing: bool) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut held_back = collections::VecDeque::new();
        while let Some(entry) = self.queue.pop_front() {
            if log_failing && needs_own_record(&entry) {
                held_back.push_back(entry);
                continue;
            }
            let needs_own = needs_own_record(&entry);
            if needs_own && !entries.is_empty() {
                self.queue.push_front(entry);
                break;
            }
            entries.push(entry);
            if needs_own || entries.len() >= MAX_RECORD_ENTRIES {
                break;
            }
        }
        for entry in held_back.into_iter().rev() {
            self.queue.push_front(entry);
        }
        entries
    }
}

impl Control {
    /// Sends the next append, or repeats a failed one, when it is due.
    pub(super) fn advance_appends(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        self.drop_folded();
        self.expire_append(now);
        if now < self.appender.next_at {
            return;
        }
        if self.appender.current.is_none() {
            let entries = self.appender.take_entries(self.reader.is_failing());
            if entries.is_empty() {
                return;
            }
            self.appender.seq += 1;
            let record = Record {
                host: self.cluster.identity.host.clone(),
                incarnation: self.cluster.identity.incarnation,
                seq: self.appender.seq,
                entries,
            };
            self.appender.current =
                Some(PendingRecord { record, sent: None, uncertain_since: None });
        }
        self.send_append(now, out);
    }

    fn send_append(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        let ticket = self.ticket();
        let tail_at = self.reader.tail_at();
        let Some(current) = self.appender.current.as_mut() else {
            return;
        };
        if current.sent.is_some() {
            return;
        }
        // A record that may be in the log is repeated only after a later read to the tail did not
        // find it.
        if let Some(since) = current.uncertain_since
            && tail_at.is_none_or(|at| at <= since)
        {
            return;
        }
        let unsent = current.uncertain_since.is_none();
        let mut bytes = serde_json::to_vec(&current.record).unwrap_or_default();
        // Only a record that was never sent may be split.
        while unsent && bytes.len() > RECORD_SPLIT_BYTES && current.record.entries.len() > 1 {
            let half = current.record.entries.len() / 2;
            for entry in current.record.entries.drain(half..).rev() {
                self.appender.queue.push_front(entry);
            }
            bytes = serde_json::to_vec(&current.record).unwrap_or_default();
        }
        current.sent = Some((ticket, now));
        self.appender.next_at = now + self.options.append_interval;
        out.push(Effect::Append { ticket, bytes: bytes.into() });
    }

    /// Drops the records that the fold already includes.
    fn drop_folded(&mut self) {
        let fold = &self.fold;
        let host = &self.cluster.identity.host;
        let includes = |incarnation, seq| fold.includes(host, incarnation, seq);
        let folded = self
            .appender
            .current
            .as_ref()
            .is_some_and(|current| includes(current.record.incarnation, current.record.seq));
        if folded {
            self.appender.current = None;
            self.appender.appended_count += 1;
            self.appender.retry_delay = time::Duration::ZERO;
        }
        self.appender.unfolded_proposals.retain(|(incarnation, seq)| !includes(*incarnation, *seq));
    }

    /// An append without a reply within `append_timeout` may or may not have taken effect.
    fn expire_append(&mut self, now: time::Duration) {
        let Some(current) = self.appender.current.as_mut() else {
            return;
        };
        let Some((_, sent_at)) = current.sent else {
            return;
        };
        if now.saturating_sub(sent_at) < self.options.append_timeout {
            return;
        }
        current.sent = None;
        current.uncertain_since = Some(now);
        self.reader.schedule_now(now);
    }

    pub(super) fn on_appended(&mut self, now: time::Duration, ticket: ids::Ticket) {
        let Some(current) = self.take_sent(ticket) else {
            return;
        };
        if current.is_proposal() {
            let proposal = (current.record.incarnation, current.record.seq);
            self.appender.unfolded_proposals.push(proposal);
        }
        self.appender.appended_count += 1;
        self.appender.retry_delay = time::Duration::ZERO;
        self.reader.schedule_now(now);
    }

    pub(super) fn on_append_failed(
        &mut self,
        now: time::Duration,
        ticket: ids::Ticket,
        certain: bool,
    ) {
        let Some(mut current) = self.take_sent(ticket) else {
            return;
        };
        let retry_delay = (self.appender.retry_delay * 2).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        self.appender.retry_delay = retry_delay;
        self.appender.next_at = now + retry_delay;
        if !certain {
            current.uncertain_since = Some(now);
            self.reader.schedule_now(now);
        }
        current.sent = None;
        // A proposal or a snapshot that certainly is not in the log is made again later, from the
        // state of that time.
        if certain && current.uncertain_since.is_none() && current.is_regenerated() {
            return;
        }
        self.appender.current = Some(current);
    }

    fn take_sent(&mut self, ticket: ids::Ticket) -> Option<PendingRecord> {
        let sent = self.appender.current.as_ref()?.sent?;
        if sent.0 != ticket {
            return None;
        }
        self.appender.current.take()
    }
}
