//! The platform's host list, and which hosts it shows as gone.

use std::collections;
use std::time;

use pier_core::{ids, wire};

/// The last host list, and when hosts went missing from it.
#[derive(Debug, Default)]
pub(super) struct Hosts {
    received_at: Option<time::Duration>,
    first_received_at: Option<time::Duration>,
    entry_hosts: collections::BTreeMap<ids::HostId, wire::HostEntry>,
    workers: collections::BTreeMap<ids::WorkerId, wire::HostEntry>,
    /// Workers that were listed before, with the time at which they went missing.
    missing_workers: collections::BTreeMap<ids::WorkerId, (wire::HostEntry, time::Duration)>,
    /// Entry hosts that were listed before, with the time at which they went missing.
    missing_hosts: collections::BTreeMap<ids::HostId, time::Duration>,
}

impl Hosts {
    /// Takes a new list. Returns whether it is the first or differs from the last one.
    pub(super) fn update(&mut self, now: time::Duration, list: wire::HostList) -> bool {
        self.received_at = Some(now);
        let first = self.first_received_at.is_none();
        self.first_received_at.get_or_insert(now);
        let mut entry_hosts = collections::BTreeMap::new();
        let mut workers = collections::BTreeMap::new();
        for entry in list.hosts {
            match entry.role {
                wire::HostRole::Entry => entry_hosts.insert(entry.id.clone(), entry),
                wire::HostRole::Worker => workers.insert(entry.id.clone(), entry),
            };
        }
        if !first && entry_hosts == self.entry_hosts && workers == self.workers {
            return false;
        }
        for (host, _) in std::mem::replace(&mut self.entry_hosts, entry_hosts) {
            if !self.entry_hosts.contains_key(&host) {
                self.missing_hosts.insert(host, now);
            }
        }
        for (worker, entry) in std::mem::replace(&mut self.workers, workers) {
            if !self.workers.contains_key(&worker) {
                self.missing_workers.insert(worker, (entry, now));
            }
        }
        self.missing_hosts.retain(|host, _| !self.entry_hosts.contains_key(host));
        self.missing_workers.retain(|worker, _| !self.workers.contains_key(worker));
        true
    }

    /// Drops workers that have been missing for at least `after`.
    pub(super) fn drop_missing_workers(&mut self, now: time::Duration, after: time::Duration) {
        self.missing_workers.retain(|_, (_, since)| now.saturating_sub(*since) < after);
    }

    /// Whether a list was ever received.
    pub(super) fn has_list(&self) -> bool {
        self.received_at.is_some()
    }

    /// Whether the first list was received at least `after` ago.
    pub(super) fn has_lists_for(&self, now: time::Duration, after: time::Duration) -> bool {
        self.first_received_at.is_some_and(|first| now.saturating_sub(first) >= after)
    }

    pub(super) fn entry_hosts(&self) -> &collections::BTreeMap<ids::HostId, wire::HostEntry> {
        &self.entry_hosts
    }

    pub(super) fn workers(&self) -> &collections::BTreeMap<ids::WorkerId, wire::HostEntry> {
        &self.workers
    }

    /// The entry of a worker that is or was in the list.
    pub(super) fn worker(&self, worker: &str) -> Option<&wire::HostEntry> {
        let missing = || self.missing_workers.get(worker).map(|(entry, _)| entry);
        self.workers.get(worker).or_else(missing)
    }

    /// Whether the list shows that an entry host is gone. A host that this process never saw in a
    /// list may be too new for it, so it counts as gone only when the list has not shown it for
    /// longer than its lag since `known_since`, when this process learned of the host. A list that
    /// is itself older than `lag` shows nothing.
    pub(super) fn is_gone(
        &self,
        now: time::Duration,
        host: &str,
        known_since: time::Duration,
        lag: time::Duration,
    ) -> bool {
        let Some(received_at) = self.received_at else {
            return false;
        };
        if now.saturating_sub(received_at) > lag || self.entry_hosts.contains_key(host) {
            return false;
        }
        self.missing_hosts.contains_key(host) || now.saturating_sub(known_since) > lag
    }

    /// Whether an entry host has been missing from the list for longer than the lag of the list.
    pub(super) fn is_long_gone(
        &self,
        now: time::Duration,
        host: &str,
        known_since: time::Duration,
        lag: time::Duration,
    ) -> bool {
        let since = self.missing_hosts.get(host).copied().unwrap_or(known_since);
        self.is_gone(now, host, known_since, lag) && now.saturating_sub(since) > lag
    }
}
