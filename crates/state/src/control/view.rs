//! The control part as the other parts and the operators see it.

use std::time;

use pier_core::{clock, ids, resources, wire};

use super::Control;
use crate::{cluster, report};

impl Control {
    /// Rebuilds the list of workers from the host list, the epoch and the declaration.
    pub(super) fn refresh_workers(&mut self) {
        let last = std::mem::take(&mut self.cluster.workers);
        let owners = &self.fold.state().epoch_record.owners;
        for (worker, entry) in self.hosts.workers() {
            self.cluster.workers.insert(worker.clone(), self.worker_info(worker, entry));
        }
        for worker in owners.keys() {
            if self.cluster.workers.contains_key(worker) {
                continue;
            }
            let known = self.hosts.worker(worker).or(last.get(worker).map(|info| &info.entry));
            let entry = known.cloned().unwrap_or_else(|| placeholder_entry(worker));
            let mut info = self.worker_info(worker, &entry);
            info.closed = true;
            self.cluster.workers.insert(worker.clone(), info);
        }
        let mut total = resources::Resources::ZERO;
        for (worker, info) in &self.cluster.workers {
            if !info.closed {
                total = total.plus(&info.entry.resources);
            }
            if last.get(worker).is_some_and(|last| last.closed != info.closed) {
                let worker = worker.clone();
                self.changes.push(cluster::Change::WorkerStatus { worker });
            }
        }
        self.cluster.cell_total = total;
    }

    /// Updates the fencing token of one worker.
    pub(super) fn refresh_worker(&mut self, worker: &str) {
        let token = self.acting_token(worker);
        if let Some(info) = self.cluster.workers.get_mut(worker) {
            info.token = token;
        }
    }

    fn worker_info(&self, worker: &ids::WorkerId, entry: &wire::HostEntry) -> cluster::WorkerInfo {
        let mut closed = entry.state == wire::HostState::Leaving;
        closed |= !self.hosts.workers().contains_key(worker);
        for zone in &self.fold.declaration().availability_zones {
            let out = zone.status == pier_decl::model::ZoneStatus::Out;
            closed |= out && zone.name == entry.availability_zone;
        }
        cluster::WorkerInfo {
            entry: entry.clone(),
            closed,
            owner: self.fold.state().epoch_record.owners.get(worker).cloned(),
            token: self.acting_token(worker),
        }
    }

    /// Fills in the fields of a status that the control part knows.
    pub fn fill_status(&self, now: time::Duration, status: &mut report::Status) {
        status.fold_offset = self.fold.offset();
        let counts = self.worker_counts();
        for member in &self.fold.state().epoch_record.members {
            let peer = self.peers.get(&member.host).filter(|peer| peer.matches(member));
            let is_self = member.host == self.cluster.identity.host;
            let heard_ms_ago = if is_self {
                Some(0)
            } else {
                peer.map(|peer| clock::millis(now.saturating_sub(peer.heard_at)))
            };
            status.members.push(report::MemberStatus {
                host: member.host.clone(),
                availability_zone: member.availability_zone.clone(),
                heard_ms_ago,
                workers: counts.get(&member.host).copied().unwrap_or(0),
            });
        }
    }

    /// Adds the counters of the control part.
    pub fn add_counters(&self, counters: &mut report::Counters) {
        counters.appends = counters.appends.saturating_add(self.appender.appended_count);
        counters.epochs = counters.epochs.saturating_add(self.epoch_count);
        counters.takeovers = counters.takeovers.saturating_add(self.takeover_count);
    }
}

/// A host-list entry for a worker that has an owner but was in no host list yet. It has no address,
/// so nothing can be sent to the worker.
fn placeholder_entry(worker: &ids::WorkerId) -> wire::HostEntry {
    wire::HostEntry {
        id: worker.clone(),
        role: wire::HostRole::Worker,
        state: wire::HostState::Live,
        availability_zone: ids::ZoneId::default(),
        rack: ids::RackId::default(),
        address: "".into(),
        resources: resources::Resources::ZERO,
    }
}
