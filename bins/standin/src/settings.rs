//! Settings of the stand-in.

use pier_core::{ids, resources, wire};
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// All settings, in JSON with comments.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Listen address (`ip:port`) of log, host list and workers.
    pub address: String,
    /// Listen address (`ip:port`) of the control port.
    pub control_address: String,
    /// The number of threads that handle requests.
    pub threads: usize,
    /// Seed of all random decisions.
    pub seed: u64,
    /// The workers.
    pub workers: Vec<WorkerGroup>,
    /// The entry hosts.
    pub entry_hosts: Vec<EntryHost>,
    /// Settings of the log.
    pub log: LogSettings,
    /// The age of the served host list in milliseconds.
    pub host_list_lag_ms: u64,
    /// The maximum age of a worker's report in milliseconds.
    pub report_lag_ms: u64,
    /// How long a worker remembers ended attempts, in milliseconds.
    pub remember_ended_ms: u64,
    /// Whether a worker that is marked as leaving refuses new tasks.
    pub leaving_workers_refuse: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:7400".to_owned(),
            control_address: "127.0.0.1:7401".to_owned(),
            threads: 4,
            seed: 1,
            workers: Vec::new(),
            entry_hosts: Vec::new(),
            log: LogSettings::default(),
            host_list_lag_ms: 1_000,
            report_lag_ms: 1_000,
            remember_ended_ms: 600_000,
            leaving_workers_refuse: true,
        }
    }
}

/// A group of identical workers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerGroup {
    /// Prefix of the workers' ids, which is followed by a hyphen and a number from 1.
    pub prefix: String,
    /// The number of workers.
    pub count: u32,
    /// The availability zone.
    pub availability_zone: ids::ZoneId,
    /// The number of workers in a rack.
    #[serde(default = "default_rack_size")]
    pub rack_size: u32,
    /// The capacity of each worker.
    pub resources: resources::Resources,
}

fn default_rack_size() -> u32 {
    6
}

/// An entry host.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryHost {
    /// The host's id.
    pub id: ids::HostId,
    /// The availability zone.
    pub availability_zone: ids::ZoneId,
    /// The address (`ip:port`) of its peer interface.
    pub peer_address: String,
    /// The address (`ip:port`) to which a relay at `peer_address` forwards. With the relay, a cut
    /// zone also cuts the host off from its peers. None without a relay.
    #[serde(default)]
    pub relay_to: Option<String>,
}

/// Settings of the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The age in milliseconds after which a record is dropped.
    pub retention_ms: u64,
    /// The number of records of a stream above which the oldest is dropped.
    pub retention_records: usize,
    /// The duration of an append in milliseconds.
    pub append_ms: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { retention_ms: 3_600_000, retention_records: 100_000, append_ms: 2 }
    }
}

impl Settings {
    /// Parses settings from JSON with comments.
    ///
    /// # Errors
    /// [`Error::InvalidSettings`] with the position of the error.
    pub fn parse(text: &str) -> Result<Self> {
        json5::from_str(text).map_err(|error| Error::InvalidSettings { detail: error.to_string() })
    }

    /// The availability zone of an entry host; none if the host is unknown.
    pub fn zone_of(&self, host: &str) -> Option<&ids::ZoneId> {
        let entry = self.entry_hosts.iter().find(|entry| &*entry.id == host);
        entry.map(|entry| &entry.availability_zone)
    }

    /// Builds the host list that these settings describe, with the workers at `address`
    /// (`ip:port`).
    pub fn to_hosts(&self, address: &str) -> Vec<wire::HostEntry> {
        let mut hosts = Vec::new();
        for host in &self.entry_hosts {
            hosts.push(wire::HostEntry {
                id: host.id.clone(),
                role: wire::HostRole::Entry,
                state: wire::HostState::Live,
                availability_zone: host.availability_zone.clone(),
                rack: "".into(),
                address: host.peer_address.as_str().into(),
                resources: resources::Resources::ZERO,
            });
        }
        for group in &self.workers {
            for number in 1..=group.count {
                let id = format!("{}-{number}", group.prefix);
                let rack = (number - 1) / group.rack_size.max(1) + 1;
                hosts.push(wire::HostEntry {
                    role: wire::HostRole::Worker,
                    state: wire::HostState::Live,
                    availability_zone: group.availability_zone.clone(),
                    rack: format!("{}-rack-{rack}", group.prefix).into(),
                    address: format!("http://{address}/workers/{id}").into(),
                    resources: group.resources,
                    id: id.into(),
                });
            }
        }
        hosts
    }
}
