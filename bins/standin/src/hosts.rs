//! The host list, which is served with a lag.

use std::collections;
use std::time;

use pier_core::{clock, wire};

use crate::faults;

const MAX_VERSIONS: usize = 1_024;

/// The versions of the host list. Readers see the newest one that is at least as old as the lag.
pub(crate) struct Hosts {
    base: Vec<wire::HostEntry>,
    lag: time::Duration,
    /// The versions and the times of their changes, oldest first. Never empty.
    versions: collections::VecDeque<(time::Instant, Vec<wire::HostEntry>)>,
    /// The number of versions that were discarded.
    dropped: usize,
}

impl Hosts {
    pub fn new(now: time::Instant, base: Vec<wire::HostEntry>, lag: time::Duration) -> Self {
        let versions = collections::VecDeque::from([(now, base.clone())]);
        Self { base, lag, versions, dropped: 0 }
    }

    /// Adds a version with the changes of `faults` if it differs from the newest one.
    pub fn change(&mut self, now: time::Instant, faults: &faults::HostListFaults) {
        let mut entries = collections::BTreeMap::new();
        for entry in self.base.iter().chain(&faults.add) {
            entries.insert(entry.id.clone(), entry.clone());
        }
        for id in &faults.remove {
            entries.remove(id);
        }
        for id in &faults.leaving {
            if let Some(entry) = entries.get_mut(id) {
                entry.state = wire::HostState::Leaving;
            }
        }
        let entries: Vec<_> = entries.into_values().collect();
        if self.versions.back().is_some_and(|(_, last)| *last == entries) {
            return;
        }
        self.versions.push_back((now, entries));
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
            self.dropped += 1;
        }
    }

    /// The list as a reader sees it, with its entity tag.
    pub fn read(
        &self,
        now: time::Instant,
        faults: &faults::HostListFaults,
    ) -> (String, wire::HostList) {
        let lag = faults.lag_ms.map_or(self.lag, time::Duration::from_millis);
        let mut seen: &[wire::HostEntry] = &[];
        let mut version = 0;
        for (index, (changed_at, entries)) in self.versions.iter().enumerate() {
            // The oldest version is visible at any age.
            if index == 0 || now.saturating_duration_since(*changed_at) >= lag {
                seen = entries;
                version = self.dropped + index;
            }
        }
        let list = wire::HostList { age_ms: clock::millis(lag), hosts: seen.to_vec() };
        (format!("\"{version}\""), list)
    }
}
