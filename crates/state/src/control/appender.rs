//! Appending to the log: one append at a time, repeated until the record is certainly there.

use std::collections;
use std::time;

use pier_core::ids;

use super::Control;
use crate::record::{Entry, Record};
use crate::{Effect, outbox};

/// The largest number of entries of one record.
const RECORD_ENTRIES: usize = 256;
/// The size above which the entries of a record are spread over several.
const RECORD_BYTES: usize = 512 << 10;
/// The waits before a failed append is sent again.
const FIRST_RETRY: time::Duration = time::Duration::from_millis(100);
const LAST_RETRY: time::Duration = time::Duration::from_secs(2);

/// The queue of entries and the append that is under way.
#[derive(Debug, Default)]
pub(super) struct Appender {
    queue: collections::VecDeque<Entry>,
    current: Option<Current>,
    /// Epoch proposals that are in the log and not folded yet.
    unfolded_proposals: Vec<(ids::Incarnation, u64)>,
    seq: u64,
    next_at: time::Duration,
    retry: time::Duration,
    pub(super) appended: u64,
}

/// A record that is being appended.
#[derive(Debug)]
struct Current {
    record: Record,
    /// The append whose result is awaited.
    sent: Option<(ids::Ticket, time::Duration)>,
    /// Since when the record may be in the log although no reply said so.
    maybe_since: Option<time::Duration>,
}

impl Current {
    fn is_proposal(&self) -> bool {
        matches!(self.record.entries.first(), Some(Entry::Epoch(_)))
    }

    /// Whether the record is dropped when it certainly is not in the log.
    fn is_made_again(&self) -> bool {
        let first = self.record.entries.first();
        matches!(first, Some(Entry::Epoch(_) | Entry::Snapshot { .. }))
    }

    fn is_change(&self, change_id: u64) -> bool {
        match self.record.entries.first() {
            Some(entry) => changes(entry, change_id),
            None => false,
        }
    }
}

/// Whether the entry is the change of the declaration with that number.
fn changes(entry: &Entry, change_id: u64) -> bool {
    match entry {
        Entry::Declaration(record) => record.change_id == change_id,
        Entry::Restart { declaration, .. } => declaration.change_id == change_id,
        _ => false,
    }
}

/// Whether the entry gets a record of its own, so that it can be withdrawn by itself. Such an entry
/// is only sent while the log answers, so that little is left undecided when an outage begins.
fn stands_alone(entry: &Entry) -> bool {
    matches!(
        entry,
        Entry::Declaration(_) | Entry::Epoch(_) | Entry::Restart { .. } | Entry::Snapshot { .. }
    )
}

impl Appender {
    /// Queues an entry. A proposal goes first.
    pub(super) fn push(&mut self, entry: Entry) {
        if matches!(entry, Entry::Epoch(_)) {
            self.queue.push_front(entry);
        } else {
            self.queue.push_back(entry);
        }
    }

    /// Whether nothing waits to be appended.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.current.is_none()
    }

    /// Whether a proposal is queued, under way or not folded yet.
    pub(super) fn has_proposal(&self) -> bool {
        self.is_undecided()
            || self.current.as_ref().is_some_and(Current::is_proposal)
            || self.queue.iter().any(|entry| matches!(entry, Entry::Epoch(_)))
    }

    /// Whether an own proposal may be in the log and was not folded.
    pub(super) fn is_undecided(&self) -> bool {
        let current = self.current.as_ref().is_some_and(|current| {
            current.is_proposal() && (current.sent.is_some() || current.maybe_since.is_some())
        });
        current || !self.unfolded_proposals.is_empty()
    }

    /// Whether a snapshot is queued or under way.
    pub(super) fn has_snapshot(&self) -> bool {
        let is_snapshot = |entry: &Entry| matches!(entry, Entry::Snapshot { .. });
        self.queue.iter().any(is_snapshot)
            || self
                .current
                .as_ref()
                .is_some_and(|current| current.record.entries.first().is_some_and(is_snapshot))
    }

    /// Withdraws proposals that were not sent, or that a new epoch has made void.
    pub(super) fn withdraw_proposals(&mut self, void: bool) {
        self.queue.retain(|entry| !matches!(entry, Entry::Epoch(_)));
        let withdrawn = self.current.as_ref().is_some_and(|current| {
            let unsent = current.sent.is_none() && current.maybe_since.is_none();
            current.is_proposal() && (void || unsent)
        });
        if withdrawn {
            self.current = None;
        }
        if void {
            self.unfolded_proposals.clear();
        }
    }

    /// Withdraws a change of the declaration. Returns whether it certainly was not and will not be
    /// appended. A change that may be in the log is not sent again either.
    pub(super) fn withdraw_change(&mut self, change_id: u64) -> bool {
        let before = self.queue.len();
        self.queue.retain(|entry| !changes(entry, change_id));
        if self.queue.len() < before {
            return true;
        }
        let Some(current) = self.current.as_ref().filter(|current| current.is_change(change_id))
        else {
            return false;
        };
        let unsent = current.sent.is_none() && current.maybe_since.is_none();
        self.current = None;
        unsent
    }

    /// Takes the entries of the next record off the queue.
    fn take_entries(&mut self, log_fails: bool) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut held_back = collections::VecDeque::new();
        while let Some(entry) = self.queue.pop_front() {
            if log_fails && stands_alone(&entry) {
                held_back.push_back(entry);
                continue;
            }
            let alone = stands_alone(&entry);
            if alone && !entries.is_empty() {
                self.queue.push_front(entry);
                break;
            }
            entries.push(entry);
            if alone || entries.len() >= RECORD_ENTRIES {
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
    /// Sends the next append, or a failed one again, when it is time.
    pub(super) fn pump_appends(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
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
            self.appender.current = Some(Current { record, sent: None, maybe_since: None });
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
        // A record that may be in the log is looked for there before it is sent again.
        if let Some(since) = current.maybe_since
            && tail_at.is_none_or(|at| at <= since)
        {
            return;
        }
        let unsent = current.maybe_since.is_none();
        let mut bytes = serde_json::to_vec(&current.record).unwrap_or_default();
        // Only a record that was never sent may change.
        while unsent && bytes.len() > RECORD_BYTES && current.record.entries.len() > 1 {
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

    /// Drops what the fold already includes.
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
            self.appender.appended += 1;
            self.appender.retry = time::Duration::ZERO;
        }
        self.appender.unfolded_proposals.retain(|(incarnation, seq)| !includes(*incarnation, *seq));
    }

    /// Treats an append without a reply as one that may or may not have taken effect.
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
        current.maybe_since = Some(now);
        self.reader.hurry(now);
    }

    pub(super) fn on_appended(&mut self, now: time::Duration, ticket: ids::Ticket) {
        let Some(current) = self.take_sent(ticket) else {
            return;
        };
        if current.is_proposal() {
            let proposal = (current.record.incarnation, current.record.seq);
            self.appender.unfolded_proposals.push(proposal);
        }
        self.appender.appended += 1;
        self.appender.retry = time::Duration::ZERO;
        self.reader.hurry(now);
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
        let retry = (self.appender.retry * 2).clamp(FIRST_RETRY, LAST_RETRY);
        self.appender.retry = retry;
        self.appender.next_at = now + retry;
        if !certain {
            current.maybe_since = Some(now);
            self.reader.hurry(now);
        }
        current.sent = None;
        // A proposal or a snapshot that certainly is not in the log is made again from the state
        // of that time.
        if certain && current.maybe_since.is_none() && current.is_made_again() {
            return;
        }
        self.appender.current = Some(current);
    }

    fn take_sent(&mut self, ticket: ids::Ticket) -> Option<Current> {
        let sent = self.appender.current.as_ref()?.sent?;
        if sent.0 != ticket {
            return None;
        }
        self.appender.current.take()
    }
}
