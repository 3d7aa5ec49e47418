//! Idempotency keys: which request holds a key and how it ended.
//!
//! The home of a key decides which request may run. It answers only after its backup has a copy of
//! the entry. The backup is in another availability zone if there is one.

mod handover;
mod holders;
mod queries;
mod replication;

use std::collections;
use std::time;

use pier_core::{ids, map, task};

use crate::work::step;
use crate::{message, options};

pub(super) use queries::ReceivedVerdict;

/// The interval between attempts to send a missing copy.
const COPY_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// The maximum number of copies sent per tick. It limits the burst of messages after a new epoch.
const MAX_COPIES_PER_TICK: usize = 500;
/// How long a request that did not run is remembered. No check is delayed this long.
const FREED_RETENTION: time::Duration = time::Duration::from_secs(30);
/// The maximum number of entries. A check for a new key beyond this number is not answered, so its
/// request does not run.
const MAX_ENTRIES: usize = 40_000;
/// The maximum total size of the stored answers. Beyond it the oldest answers are dropped, and only
/// the fact that the request ran is kept.
const MAX_BODY_BYTES: usize = 8 << 20;

/// The state of an idempotency key.
#[derive(Debug)]
struct Entry {
    task: ids::TaskId,
    end: Option<task::TaskEnd>,
    /// Whether the request has ended and its answer was dropped to save memory.
    body_dropped: bool,
    keep_until: time::Duration,
    /// The other holders, and whether each of them has confirmed its copy.
    copies: collections::BTreeMap<ids::HostId, bool>,
    next_copy: time::Duration,
    /// The host that waits for the verdict, and below it the host that waits for the
    /// acknowledgement of an end. Both are sent once all copies are confirmed.
    asker: Option<(ids::HostId, ids::Ticket)>,
    reporter: Option<ids::HostId>,
    /// The epoch in which a copy was last received from another host; zero if there was none.
    received_in: ids::Epoch,
}

impl Entry {
    fn is_copied(&self) -> bool {
        self.copies.values().all(|copied| *copied)
    }

    fn verdict_for(&self, task: &ids::TaskId) -> message::DedupeVerdict {
        match &self.end {
            Some(end) => message::DedupeVerdict::Ended { end: end.clone() },
            None if self.task == *task && !self.body_dropped => message::DedupeVerdict::Run,
            None => message::DedupeVerdict::Running,
        }
    }
}

/// The idempotency keys that this host holds, and the queries for requests that it received itself.
#[derive(Debug)]
pub(super) struct Dedupe {
    options: options::Options,
    entries: collections::BTreeMap<message::DedupeKey, Entry>,
    /// Ended keys, oldest first, with the size of the answer in bytes.
    ended: collections::VecDeque<(message::DedupeKey, usize)>,
    body_bytes: usize,
    /// Keys with at least one unconfirmed copy.
    uncopied: collections::BTreeSet<message::DedupeKey>,
    /// Requests that were reported as not run. A check for them that arrives late must not claim
    /// the key again.
    freed: map::Set<ids::TaskId>,
    freed_order: collections::VecDeque<(time::Duration, ids::TaskId)>,
    queries: queries::Queries,
    handover: handover::Handover,
    expired_at: time::Duration,
}

/// The interval between removals of expired entries.
const EXPIRE_INTERVAL: time::Duration = time::Duration::from_secs(1);

impl Dedupe {
    pub(super) fn new(options: options::Options) -> Self {
        Self {
            handover: handover::Handover::new(options.dedupe_window),
            options,
            entries: collections::BTreeMap::new(),
            ended: collections::VecDeque::new(),
            body_bytes: 0,
            uncopied: collections::BTreeSet::new(),
            freed: map::Set::default(),
            freed_order: collections::VecDeque::new(),
            queries: queries::Queries::default(),
            expired_at: time::Duration::ZERO,
        }
    }

    /// Asks the home of a key whether a request may run.
    pub(super) fn ask(
        &mut self,
        step: &mut step::Step<'_>,
        key: message::DedupeKey,
        task: ids::TaskId,
    ) {
        self.queries.ask(step, key, task);
    }

    /// Reports the end of a request to the home of its key. `end` is none if the request did not
    /// run and never will.
    pub(super) fn report(
        &mut self,
        step: &mut step::Step<'_>,
        key: message::DedupeKey,
        task: ids::TaskId,
        end: Option<task::TaskEnd>,
    ) {
        let until = step.now + self.options.dedupe_window;
        self.queries.report(step, key, task, end, until);
    }

    /// Takes the next verdict received from the home of a key.
    pub(super) fn next_verdict(&mut self) -> Option<ReceivedVerdict> {
        self.queries.next_verdict()
    }

    /// Whether every reported end has been acknowledged.
    pub(super) fn is_drained(&self) -> bool {
        self.queries.is_drained()
    }

    /// Handles a message about idempotency keys.
    pub(super) fn on_message(
        &mut self,
        step: &mut step::Step<'_>,
        from: &ids::HostId,
        message: message::DedupeMessage,
    ) {
        match message {
            message::DedupeMessage::Check { ticket, key, task } => {
                self.on_check(step, from, ticket, key, task);
            }
            message::DedupeMessage::Answer { ticket, verdict } => {
                self.queries.on_verdict(step, ticket, verdict);
            }
            message::DedupeMessage::Ended { key, task, end } => {
                self.on_ended(step, from, key, task, end);
            }
            message::DedupeMessage::EndedAck { key, task } => {
                self.queries.on_ended_ack(&key, &task)
            }
            message::DedupeMessage::Copy { key, task, end, keep_ms } => {
                self.on_copy(step, from, key, task, end, keep_ms);
            }
            message::DedupeMessage::CopyAck { key, task, ended } => {
                self.on_copy_ack(step, from, &key, &task, ended);
            }
            message::DedupeMessage::Ask { epoch } => {
                if epoch == step.cluster.epoch && self.has_handed_over_to(from) {
                    let message = self.handover.to_handed(step);
                    step.send(from, message::Message::Dedupe(message));
                }
            }
            message::DedupeMessage::Handed { epoch, new, lost } => {
                if epoch == step.cluster.epoch {
                    self.handover.on_handed(step, from, new, lost);
                }
            }
        }
    }

    fn on_check(
        &mut self,
        step: &mut step::Step<'_>,
        from: &ids::HostId,
        ticket: ids::Ticket,
        key: message::DedupeKey,
        task: ids::TaskId,
    ) {
        let holders = holders::of(step.cluster, &key);
        if holders.first() != Some(step.me()) {
            return;
        }
        let Some(entry) = self.entries.get_mut(&key) else {
            // Entries from earlier holders may not have arrived yet.
            let is_certain = self.handover.is_complete(step) && step.cluster.may_start(step.now);
            if !is_certain || self.entries.len() >= MAX_ENTRIES || self.freed.contains(&task) {
                return;
            }
            if self.handover.is_lost(step.now, &key) {
                answer(step, from, ticket, message::DedupeVerdict::Unknown);
                return;
            }
            let mut entry = self.new_entry(step, task, &holders);
            entry.asker = Some((from.clone(), ticket));
            self.entries.insert(key.clone(), entry);
            self.send_copies(step, &key);
            self.on_copy_confirmed(step, &key);
            return;
        };
        if entry.is_copied() || entry.task != task {
            let verdict = entry.verdict_for(&task);
            answer(step, from, ticket, verdict);
            return;
        }
        entry.asker = Some((from.clone(), ticket));
    }

    fn new_entry(
        &self,
        step: &step::Step<'_>,
        task: ids::TaskId,
        holders: &[ids::HostId],
    ) -> Entry {
        Entry {
            task,
            end: None,
            body_dropped: false,
            keep_until: step.now + self.options.dedupe_window,
            copies: copies_of(step, holders),
            next_copy: step.now,
            asker: None,
            reporter: None,
            received_in: 0,
        }
    }

    /// Records the end of the request that holds a key.
    fn on_ended(
        &mut self,
        step: &mut step::Step<'_>,
        from: &ids::HostId,
        key: message::DedupeKey,
        task: ids::TaskId,
        end: Option<task::TaskEnd>,
    ) {
        let holders = holders::of(step.cluster, &key);
        let is_home = holders.first() == Some(step.me());
        let is_known = self.entries.get(&key).is_some_and(|entry| entry.task == task);
        let Some(end) = end else {
            self.free(step, from, key, task, &holders);
            return;
        };
        if !is_home {
            return;
        }
        if !is_known {
            // The entry may still arrive from an earlier holder.
            if !self.handover.is_complete(step) {
                return;
            }
            if self.entries.contains_key(&key) || self.entries.len() >= MAX_ENTRIES {
                acknowledge(step, from, key, task);
                return;
            }
            let entry = self.new_entry(step, task.clone(), &holders);
            self.entries.insert(key.clone(), entry);
        }
        if let Some(entry) = self.entries.get_mut(&key)
            && (entry.end.is_some() || entry.body_dropped)
        {
            if entry.is_copied() {
                acknowledge(step, from, key, task);
            } else {
                entry.reporter = Some(from.clone());
            }
            return;
        }
        self.set_end(&key, end);
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.keep_until = step.now + self.options.dedupe_window;
            entry.copies = copies_of(step, &holders);
            entry.reporter = Some(from.clone());
        }
        self.send_copies(step, &key);
        self.on_copy_confirmed(step, &key);
    }

    /// Releases a key whose request did not run.
    fn free(
        &mut self,
        step: &mut step::Step<'_>,
        from: &ids::HostId,
        key: message::DedupeKey,
        task: ids::TaskId,
        holders: &[ids::HostId],
    ) {
        if self.freed.insert(task.clone()) {
            self.freed_order.push_back((step.now, task.clone()));
        }
        let is_running = self
            .entries
            .get(&key)
            .is_some_and(|entry| entry.task == task && entry.end.is_none() && !entry.body_dropped);
        if is_running {
            self.entries.remove(&key);
            self.uncopied.remove(&key);
        }
        if !self.handover.is_complete(step) {
            // The entry may still arrive from an earlier holder. The reporter repeats its report.
            return;
        }
        if holders.first() != Some(step.me()) {
            return;
        }
        for holder in &holders[1..] {
            let (key, task) = (key.clone(), task.clone());
            let message = message::DedupeMessage::Ended { key, task, end: None };
            step.send(holder, message::Message::Dedupe(message));
        }
        acknowledge(step, from, key, task);
    }

    /// Stores the end of a request and drops the oldest answers beyond [`MAX_BODY_BYTES`].
    fn set_end(&mut self, key: &message::DedupeKey, end: task::TaskEnd) {
        let bytes = end.body.len();
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.end = Some(end);
        self.body_bytes += bytes;
        self.ended.push_back((key.clone(), bytes));
        while self.body_bytes > MAX_BODY_BYTES {
            let Some((oldest, bytes)) = self.ended.pop_front() else {
                break;
            };
            self.body_bytes = self.body_bytes.saturating_sub(bytes);
            if let Some(entry) = self.entries.get_mut(&oldest)
                && entry.end.take().is_some()
            {
                entry.body_dropped = true;
            }
        }
    }

    /// Sends the entries to their holders in the new epoch.
    pub(super) fn on_epoch(&mut self, step: &mut step::Step<'_>, removed: &[ids::HostId]) {
        if !step.cluster.is_member {
            return;
        }
        let mut unchanged = collections::BTreeSet::new();
        for host in &step.cluster.member_hosts {
            if self.handover.is_same_process(step, host) && !removed.contains(host) {
                unchanged.insert(host.clone());
            }
        }
        self.handover.on_epoch(step, removed);
        self.uncopied.clear();
        for (key, entry) in &mut self.entries {
            let holders = holders::of(step.cluster, key);
            let mut copies = copies_of(step, &holders);
            for (host, copied) in &mut copies {
                *copied = unchanged.contains(host) && entry.copies.get(host) == Some(&true);
            }
            entry.copies = copies;
            entry.next_copy = step.now;
            // An entry that this host no longer holds is kept until the new holders have a copy.
            if !entry.is_copied() || !holders.contains(step.me()) {
                self.uncopied.insert(key.clone());
            }
        }
        self.tick(step);
    }

    /// Drops all entries because this host is no longer a member.
    pub(super) fn on_expelled(&mut self) {
        self.entries.clear();
        self.uncopied.clear();
        self.ended.clear();
        self.body_bytes = 0;
        self.handover = handover::Handover::new(self.options.dedupe_window);
    }

    /// Resends missing copies and removes expired entries.
    pub(super) fn tick(&mut self, step: &mut step::Step<'_>) {
        self.queries.tick(step);
        if !step.cluster.is_member {
            return;
        }
        self.handover.tick(step);
        let mut due = Vec::new();
        for key in &self.uncopied {
            if self.entries.get(key).is_none_or(|entry| entry.next_copy <= step.now) {
                due.push(key.clone());
            }
            if due.len() >= MAX_COPIES_PER_TICK {
                break;
            }
        }
        for key in due {
            self.uncopied.remove(&key);
            if self.entries.get(&key).is_some_and(Entry::is_copied) {
                self.on_copy_confirmed(step, &key);
                continue;
            }
            self.send_copies(step, &key);
        }
        if step.now >= self.expired_at + EXPIRE_INTERVAL {
            self.expired_at = step.now;
            self.entries.retain(|_, entry| entry.keep_until > step.now);
            while let Some((at, _)) = self.freed_order.front()
                && *at + FREED_RETENTION <= step.now
            {
                if let Some((_, task)) = self.freed_order.pop_front() {
                    self.freed.remove(&task);
                }
            }
            while let Some((key, bytes)) = self.ended.front()
                && !self.entries.contains_key(key)
            {
                self.body_bytes = self.body_bytes.saturating_sub(*bytes);
                self.ended.pop_front();
            }
        }
    }
}

/// The other holders of a key, all marked as not having a copy.
fn copies_of(
    step: &step::Step<'_>,
    holders: &[ids::HostId],
) -> collections::BTreeMap<ids::HostId, bool> {
    let mut copies = collections::BTreeMap::new();
    for holder in holders {
        if holder != step.me() {
            copies.insert(holder.clone(), false);
        }
    }
    copies
}

fn answer(
    step: &mut step::Step<'_>,
    to: &ids::HostId,
    ticket: ids::Ticket,
    verdict: message::DedupeVerdict,
) {
    let message = message::DedupeMessage::Answer { ticket, verdict };
    step.send(to, message::Message::Dedupe(message));
}

fn acknowledge(
    step: &mut step::Step<'_>,
    to: &ids::HostId,
    key: message::DedupeKey,
    task: ids::TaskId,
) {
    let message = message::DedupeMessage::EndedAck { key, task };
    step.send(to, message::Message::Dedupe(message));
}
