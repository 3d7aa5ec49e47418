//! Fakes of the platform's log and host list.

use std::time;

use base64::Engine;
use base64::engine::general_purpose;
use pier_core::{clock, wire};

/// A log with one stream.
#[derive(Debug, Default)]
pub struct Log {
    pub outage: bool,
    /// Whether the replies to some appends that took effect are lost.
    pub loses_replies: bool,
    pub earliest: u64,
    pub records: Vec<(time::Duration, Vec<u8>)>,
}

impl Log {
    pub fn append(&mut self, now: time::Duration, bytes: &[u8]) -> u64 {
        self.records.push((now, bytes.to_vec()));
        u64::try_from(self.records.len() - 1).expect("a test log is small")
    }

    pub fn read(&self, now: time::Duration, from: u64, max: u32) -> wire::LogPage {
        let next = u64::try_from(self.records.len()).expect("a test log is small");
        let mut records = Vec::new();
        let first = from.max(self.earliest);
        for offset in first..next.min(first.saturating_add(u64::from(max))) {
            let index = usize::try_from(offset).expect("a test log is small");
            let (at, bytes) = &self.records[index];
            let age_ms = clock::millis(now - *at);
            let data = general_purpose::STANDARD.encode(bytes);
            records.push(wire::LogRecord { offset, age_ms, data });
        }
        wire::LogPage { earliest: self.earliest, next, records }
    }
}

/// A host list that lags.
#[derive(Debug, Default)]
pub struct HostList {
    pub outage: bool,
    /// Hosts that the list omits although they are live.
    pub omitted_hosts: Vec<pier_core::ids::HostId>,
    history: Vec<(time::Duration, Vec<wire::HostEntry>)>,
}

impl HostList {
    /// Records what the list will show once the lag has passed.
    pub fn record(&mut self, now: time::Duration, hosts: Vec<wire::HostEntry>) {
        self.history.push((now, hosts));
        self.history.retain(|(at, _)| *at + time::Duration::from_secs(30) > now);
    }

    pub fn read(&self, now: time::Duration, lag: time::Duration) -> Option<wire::HostList> {
        if self.outage {
            return None;
        }
        let as_of = now.saturating_sub(lag);
        let seen = self.history.iter().rev().find(|(at, _)| *at <= as_of);
        let (at, hosts) = seen.or(self.history.first())?;
        let mut hosts = hosts.clone();
        hosts.retain(|host| !self.omitted_hosts.contains(&host.id));
        Some(wire::HostList { age_ms: clock::millis(now - *at), hosts })
    }
}
