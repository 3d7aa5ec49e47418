//! Faults that tests inject through the control port.

use std::collections;

use pier_core::{ids, wire};
use serde::{Deserialize, Serialize};

/// The key for the faults of all workers that have no entry of their own.
pub const ALL_WORKERS: &str = "*";

/// All faults. The default has none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults of the log.
    pub log: LogFaults,
    /// Faults and changes of the host list.
    pub host_list: HostListFaults,
    /// Faults by worker id. `*` applies to every worker without an entry of its own.
    pub workers: collections::BTreeMap<String, WorkerFaults>,
    /// What entry hosts are cut off from, by the id that they send in the `Pier-Host` header.
    pub cut_off: collections::BTreeMap<String, CutOff>,
    /// The availability zones that are cut off from everything outside of them. Calls from their
    /// entry hosts to the outside, and calls from the outside to their workers and to their entry
    /// hosts behind a relay, have no effect and no answer.
    pub cut_zones: Vec<ids::ZoneId>,
}

/// Faults of the log.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Whether every call is answered with 503.
    pub outage: bool,
    /// The delay of every answer in milliseconds.
    pub slow_ms: u64,
    /// The number of upcoming appends that take effect but get no reply.
    pub lose_next_replies: u64,
    /// The percentage of appends that take effect but get no reply.
    pub lose_replies_percent: f64,
    /// The number of newest records of each stream that are kept. The others are dropped when the
    /// fault is set.
    pub keep_records: Option<usize>,
}

/// Faults and changes of the host list.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostListFaults {
    /// Whether every call is answered with 503.
    pub outage: bool,
    /// The age of the list in milliseconds; none for the age in the settings.
    pub lag_ms: Option<u64>,
    /// Entries that are added or replace the entry with the same id.
    pub add: Vec<wire::HostEntry>,
    /// The ids of entries that are removed.
    pub remove: Vec<ids::HostId>,
    /// The ids of entries that are marked as leaving.
    pub leaving: Vec<ids::HostId>,
}

/// Faults of a worker.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Whether every task fails immediately after its start.
    pub fail_all: bool,
    /// Whether requests take effect but are never answered.
    pub black_hole: bool,
    /// Whether requests have no effect and are never answered.
    pub unreachable: bool,
    /// The delay of every answer in milliseconds.
    pub slow_ms: u64,
    /// Whether the answer of a task is sent twice.
    pub answer_twice: bool,
    /// Whether the answers of two consecutive tasks are swapped.
    pub swap_answers: bool,
    /// Whether the answer of a task breaks off in the middle.
    pub cut_answers: bool,
    /// Whether the response with the answer of a task states half of its length.
    pub wrong_length: bool,
    /// The percentage of its resources that the worker reports; none for all.
    pub reported_percent: Option<u64>,
}

/// The services that an entry host is cut off from. Its calls to them have no effect and no answer.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CutOff {
    /// Cut off from the log.
    pub log: bool,
    /// Cut off from the host list.
    pub host_list: bool,
    /// Cut off from all workers.
    pub workers: bool,
}

impl Faults {
    /// The faults that apply to a worker.
    pub fn of_worker(&self, worker: &str) -> WorkerFaults {
        let faults = self.workers.get(worker).or_else(|| self.workers.get(ALL_WORKERS));
        faults.cloned().unwrap_or_default()
    }

    /// The services that a host is cut off from.
    pub fn of_host(&self, host: &str) -> CutOff {
        self.cut_off.get(host).cloned().unwrap_or_default()
    }

    /// Whether calls between two locations are cut off. A location is an availability zone, or none
    /// for the log, the host list and clients that are not entry hosts.
    pub fn is_cut(&self, one: Option<&ids::ZoneId>, other: Option<&ids::ZoneId>) -> bool {
        one != other && self.cut_zones.iter().any(|zone| Some(zone) == one || Some(zone) == other)
    }

    /// Applies a JSON merge patch: members of the patch replace members of the same name, objects
    /// are merged, and null removes a member.
    ///
    /// # Errors
    /// The patch has an unknown member or a value of the wrong type.
    pub fn patched(&self, patch: serde_json::Value) -> serde_json::Result<Self> {
        let mut document = serde_json::to_value(self)?;
        merge(&mut document, patch);
        serde_json::from_value(document)
    }
}

fn merge(target: &mut serde_json::Value, patch: serde_json::Value) {
    let serde_json::Value::Object(members) = patch else {
        *target = patch;
        return;
    };
    if !target.is_object() {
        *target = serde_json::Value::Object(serde_json::Map::new());
    }
    let Some(object) = target.as_object_mut() else {
        return;
    };
    for (name, value) in members {
        if value.is_null() {
            object.remove(&name);
            continue;
        }
        merge(object.entry(name).or_insert(serde_json::Value::Null), value);
    }
}
