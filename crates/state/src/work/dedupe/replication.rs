//! Replicates entries to the other holders of their keys.

use std::time;

use pier_core::{clock, ids, task};

use super::{COPY_RETRY_INTERVAL, Dedupe, MAX_ENTRIES, acknowledge, answer, copies_of, holders};
use crate::message;
use crate::work::step;

impl Dedupe {
    /// Sends the entry to every holder that has not confirmed its copy.
    pub(super) fn send_copies(&mut self, step: &mut step::Step<'_>, key: &message::DedupeKey) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.next_copy = step.now + COPY_RETRY_INTERVAL;
        let message = message::DedupeMessage::Copy {
            key: key.clone(),
            task: entry.task.clone(),
            end: entry.end.clone(),
            keep_ms: clock::millis(entry.keep_until.saturating_sub(step.now)),
        };
        for (host, copied) in &entry.copies {
            if !*copied {
                step.send(host, message::Message::Dedupe(message.clone()));
            }
        }
        self.uncopied.insert(key.clone());
    }

    /// Stores a copy from the home of the key or from an earlier holder.
    pub(super) fn on_copy(
        &mut self,
        step: &mut step::Step<'_>,
        from: &ids::HostId,
        key: message::DedupeKey,
        task: ids::TaskId,
        end: Option<task::TaskEnd>,
        keep_ms: u64,
    ) {
        // Only members hand over entries, so a host that was removed must not add to them.
        if step.cluster.member_hosts.binary_search(from).is_err()
            || self.entries.len() >= 2 * MAX_ENTRIES
        {
            return;
        }
        let holders = holders::of(step.cluster, &key);
        let is_from_home = holders.first() == Some(from);
        let keep_until = step.now.saturating_add(time::Duration::from_millis(keep_ms));
        let has_ended = end.is_some();
        if let Some(entry) = self.entries.get(&key)
            && entry.task != task
            && (entry.end.is_some() || entry.body_dropped)
            && is_from_home
            && !has_ended
        {
            // Another request with this key has run, so this one must not.
            return;
        }
        match self.entries.get_mut(&key) {
            None => {
                let mut entry = self.new_entry(step, task.clone(), &holders);
                entry.keep_until = keep_until;
                self.entries.insert(key.clone(), entry);
            }
            Some(entry) if entry.end.is_some() || entry.body_dropped => {}
            Some(entry) if entry.task == task || is_from_home => {
                entry.task = task.clone();
                entry.keep_until = entry.keep_until.max(keep_until);
            }
            Some(_) => {}
        }
        let entry = self.entries.get_mut(&key);
        if let Some(entry) = entry
            && entry.task == task
            && let Some(end) = end
            && entry.end.is_none()
            && !entry.body_dropped
        {
            // If the home learns of the end from an earlier holder, it must send it to its backup.
            entry.copies = copies_of(step, &holders);
            self.set_end(&key, end);
        }
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.received_in = step.cluster.epoch;
        }
        let entry = self.entries.get_mut(&key);
        if let Some(entry) = entry
            && entry.task == task
            && has_ended == entry.end.is_some()
            && let Some(copied) = entry.copies.get_mut(from)
        {
            *copied = true;
        }
        if self.entries.get(&key).is_some_and(|entry| !entry.is_copied()) {
            self.uncopied.insert(key.clone());
        }
        let message = message::DedupeMessage::CopyAck { key, task, ended: has_ended };
        step.send(from, message::Message::Dedupe(message));
    }

    pub(super) fn on_copy_ack(
        &mut self,
        step: &mut step::Step<'_>,
        from: &ids::HostId,
        key: &message::DedupeKey,
        task: &ids::TaskId,
        ended: bool,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if entry.task != *task || ended != entry.end.is_some() {
            return;
        }
        if let Some(copied) = entry.copies.get_mut(from) {
            *copied = true;
        }
        self.on_copy_confirmed(step, key);
    }

    /// Sends the answers that waited until all copies were confirmed.
    pub(super) fn on_copy_confirmed(
        &mut self,
        step: &mut step::Step<'_>,
        key: &message::DedupeKey,
    ) {
        let holders = holders::of(step.cluster, key);
        let is_home = holders.first() == Some(step.me());
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if !entry.is_copied() {
            return;
        }
        self.uncopied.remove(key);
        if is_home && let Some((host, ticket)) = entry.asker.take() {
            let verdict = entry.verdict_for(&entry.task);
            answer(step, &host, ticket, verdict);
        }
        if let Some(host) = entry.reporter.take() {
            acknowledge(step, &host, key.clone(), entry.task.clone());
        }
        // This host is not a holder in its current epoch. A copy received in this epoch therefore
        // comes from a sender in a later epoch, in which this host is a holder.
        let is_from_later_epoch = entry.received_in == step.cluster.epoch;
        if !holders.contains(step.me()) && !is_from_later_epoch {
            // The new holders have the entry.
            self.entries.remove(key);
        }
    }

    /// Whether every entry that `host` must hold has been copied to it.
    pub(super) fn has_handed_over_to(&self, host: &ids::HostId) -> bool {
        for key in &self.uncopied {
            let entry = self.entries.get(key);
            if entry.is_some_and(|entry| entry.copies.get(host) == Some(&false)) {
                return false;
            }
        }
        true
    }
}
