//! Idempotency keys: which request has a key, and how it ended.
//!
//! The home of a key decides who may run. It answers only when its backup, in another availability
//! zone where there is one, has the entry as well.

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

/// The interval between repeats of a copy.
const COPY_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// The most copies that are sent at a tick, so that a new epoch causes no flood.
const MAX_COPIES_PER_TICK: usize = 500;
/// How long a request that was not run is remembered. Questions are not delayed by as much.
const FREED_RETENTION: time::Duration = time::Duration::from_secs(30);
/// The largest number of entries. A key beyond is not answered, so that its request is not run.
const MAX_ENTRIES: usize = 40_000;
/// The largest sum of the answers that are kept. Beyond, the oldest answers are dropped and only
/// the fact that the request has run is kept.
const MAX_BODY_BYTES: usize = 8 << 20;

/// What is known of a key.
#[derive(Debug)]
struct Entry {
    task: ids::TaskId,
    end: Option<task::TaskEnd>,
    /// Whether the request has ended and its answer was dropped.
    body_dropped: bool,
    keep_until: time::Duration,
    /// The hosts that must get a copy, and whether they have it.
    copies: collections::BTreeMap<ids::HostId, bool>,
    next_copy: time::Duration,
    /// Who waits for the verdict or the acknowledgement that goes out when the copies are there.
    asker: Option<(ids::HostId, ids::Ticket)>,
    reporter: Option<ids::HostId>,
    /// The epoch in which a copy last came from another host; zero if none did.
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

/// The idempotency keys that this host keeps, and its own questions.
#[derive(Debug)]
pub(super) struct Dedupe {
    options: options::Options,
    entries: collections::BTreeMap<message::DedupeKey, Entry>,
    /// The keys in the order in which they ended, with the bytes of the answer.
    ended: collections::VecDeque<(message::DedupeKey, usize)>,
    body_bytes: usize,
    /// The keys of which a copy is missing.
    uncopied: collections::BTreeSet<message::DedupeKey>,
    /// Requests that were reported as not run, so that a late question does not take the key again.
    freed: map::Set<ids::TaskId>,
    freed_order: collections::VecDeque<(time::Duration, ids::TaskId)>,
    queries: queries::Queries,
    handover: handover::Handover,
    expired_at: time::Duration,
}

/// The interval between removals of entries that are over.
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

    /// Asks whether a request with a key may run.
    pub(super) fn ask(
        &mut self,
        step: &mut step::Step<'_>,
        key: message::DedupeKey,
        task: ids::TaskId,
    ) {
        self.queries.ask(step, key, task);
    }

    /// Reports the end of a request; none if it was not run and never will be.
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

    /// The next verdict that has come.
    pub(super) fn next_verdict(&mut self) -> Option<ReceivedVerdict> {
        self.queries.next_verdict()
    }

    /// Whether every end is reported.
    pub(super) fn is_drained(&self) -> bool {
        self.queries.is_drained()
    }

    /// Takes a message about keys.
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
                self.queries.on_answer(step, ticket, verdict);
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
            // Entries of earlier holders may still be on their way.
            let sure = self.handover.is_complete(step) && step.cluster.may_start(step.now);
            if !sure || self.entries.len() >= MAX_ENTRIES || self.freed.contains(&task) {
                return;
            }
            if self.handover.is_lost(step.now, &key) {
                answer(step, from, ticket, message::DedupeVerdict::Unknown);
                return;
            }
            let mut entry = self.new_entry(step, task, &holders);
            entry.asker = Some((from.clone(), ticket));
            self.entries.insert(key.clone(), entry);
            self.copy(step, &key);
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

    /// Takes the end of the request that has a key.
    fn on_ended(
        &mut self,
        step: &mut step::Step<'_>,
        from: &ids::HostId,
        key: message::DedupeKey,
        task: ids::TaskId,
        end: Option<task::TaskEnd>,
    ) {
        let holders = holders::of(step.cluster, &key);
        let home = holders.first() == Some(step.me());
        let known = self.entries.get(&key).is_some_and(|entry| entry.task == task);
        let Some(end) = end else {
            self.free(step, from, key, task, &holders);
            return;
        };
        if !home {
            return;
        }
        if !known {
            // An entry that is not here yet may come from an earlier holder.
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
        self.copy(step, &key);
        self.on_copy_confirmed(step, &key);
    }

    /// Frees a key whose request was not run.
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
        let running = self
            .entries
            .get(&key)
            .is_some_and(|entry| entry.task == task && entry.end.is_none() && !entry.body_dropped);
        if running {
            self.entries.remove(&key);
            self.uncopied.remove(&key);
        }
        if !self.handover.is_complete(step) {
            // The entry may still come from an earlier holder; the report is repeated.
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

    /// Keeps the end of a request and drops the oldest answers if there are too many.
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

    /// Acts on a new epoch: entries go to their new holders.
    pub(super) fn on_epoch(&mut self, step: &mut step::Step<'_>, removed: &[ids::HostId]) {
        if !step.cluster.is_member {
            return;
        }
        let mut same = collections::BTreeSet::new();
        for host in &step.cluster.member_hosts {
            if self.handover.is_same_process(step, host) && !removed.contains(host) {
                same.insert(host.clone());
            }
        }
        self.handover.on_epoch(step, removed);
        self.uncopied.clear();
        for (key, entry) in &mut self.entries {
            let holders = holders::of(step.cluster, key);
            let mut copies = copies_of(step, &holders);
            for (host, copied) in &mut copies {
                *copied = same.contains(host) && entry.copies.get(host) == Some(&true);
            }
            entry.copies = copies;
            entry.next_copy = step.now;
            // Entries that others keep are only kept until they are copied.
            if !entry.is_copied() || !holders.contains(step.me()) {
                self.uncopied.insert(key.clone());
            }
        }
        self.tick(step);
    }

    /// Drops everything, because this host is no longer a member.
    pub(super) fn on_expelled(&mut self) {
        self.entries.clear();
        self.uncopied.clear();
        self.ended.clear();
        self.body_bytes = 0;
        self.handover = handover::Handover::new(self.options.dedupe_window);
    }

    /// Acts on the passing of time.
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
            self.copy(step, &key);
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

/// The other holders, none of which has a copy yet.
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
