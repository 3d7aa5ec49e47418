//! Takes over and releases workers.

use std::collections;
use std::time;

use pier_core::{clock, ids, map, task, wire};

use crate::work::placement::AttemptId;
use crate::work::{Work, ledger, step};
use crate::{cluster, message};

impl Work {
    /// Takes over a worker and accounts for the tasks on it.
    pub(super) fn take_over(
        &mut self,
        step: &mut step::Step<'_>,
        worker: &ids::WorkerId,
        basis: &cluster::TakeoverBasis,
    ) {
        let Some(info) = step.cluster.workers.get(worker) else {
            return;
        };
        // Entries of an earlier ownership are replaced by the new list.
        self.ledger.remove_worker(worker);
        self.ledger.add_worker(&info.entry);
        let mut handed: Vec<(AttemptId, ledger::Entry)> = Vec::new();
        let listed = match basis {
            cluster::TakeoverBasis::Listed(listed) => listed,
            cluster::TakeoverBasis::HandedOver { handoff, listed } => {
                for task in &handoff.tasks {
                    handed.push(self.entry_for_handed(step, task));
                }
                listed
            }
        };
        let mut running: map::Set<AttemptId> = map::Set::default();
        for task in &listed.running {
            running.insert((task.task.clone(), task.attempt));
        }
        let mut ended = collections::BTreeMap::new();
        for task in &listed.ended {
            ended.insert((task.task.clone(), task.attempt), task.outcome);
        }
        for (id, mut entry) in handed {
            if running.contains(&id) {
                entry.phase = ledger::Phase::Running;
                entry.seen_at = Some(step.now);
            }
            self.ledger.insert(worker, &id, entry);
        }
        for task in &listed.running {
            let (id, entry) = self.entry_for_running(step, task);
            self.ledger.insert(worker, &id, entry);
        }
        let holdings = match basis {
            cluster::TakeoverBasis::HandedOver { handoff, .. } => handoff.holdings.as_slice(),
            cluster::TakeoverBasis::Listed(_) => &[],
        };
        self.limits.on_worker_taken_over(holdings, &self.ledger);
        self.finish_absent(step, worker, &running, &ended);
        self.owner.report_listed_ends(step, worker, &ended);
        self.leases.restart_listing(step.now);
        self.owner.request_decision();
    }

    /// Finishes the handed-over attempts that the worker does not run.
    fn finish_absent(
        &mut self,
        step: &mut step::Step<'_>,
        worker: &ids::WorkerId,
        running: &map::Set<AttemptId>,
        ended: &collections::BTreeMap<AttemptId, task::EndKind>,
    ) {
        let Some(own) = self.ledger.workers().get(worker) else {
            return;
        };
        let mut absent = Vec::new();
        for (id, entry) in &own.entries {
            if running.contains(id) {
                continue;
            }
            if let Some(kind) = ended.get(id) {
                absent.push((id.clone(), super::leases::end_of(entry, *kind)));
            } else if self.options.worker_fencing {
                // The worker is fenced and refuses any start that the last owner may still send.
                absent.push((id.clone(), None));
            }
        }
        for (id, end) in absent {
            self.owner.finish(step, &mut self.ledger, id, end);
        }
    }

    fn entry_for_handed(
        &self,
        step: &step::Step<'_>,
        task: &message::HandoffTask,
    ) -> (AttemptId, ledger::Entry) {
        let origin = match &task.labels.job {
            Some(job) => step.cluster.home_of(job).unwrap_or(&task.origin),
            None => &task.origin,
        };
        let entry = self.new_entry(step, &task.labels, task.lease_left_ms, origin.clone());
        let entry = ledger::Entry { resources: task.resources, ..entry };
        ((task.task.clone(), task.attempt), entry)
    }

    fn entry_for_running(
        &self,
        step: &step::Step<'_>,
        task: &wire::RunningTask,
    ) -> (AttemptId, ledger::Entry) {
        let home = task.labels.job.as_ref().and_then(|job| step.cluster.home_of(job));
        // No caller on this host waits for the answer of a request that another host started.
        let origin = home.unwrap_or(step.me()).clone();
        let entry = self.new_entry(step, &task.labels, task.lease_left_ms, origin);
        let entry = ledger::Entry {
            resources: task.resources,
            phase: ledger::Phase::Running,
            seen_at: Some(step.now),
            ..entry
        };
        ((task.task.clone(), task.attempt), entry)
    }

    fn new_entry(
        &self,
        step: &step::Step<'_>,
        labels: &task::TaskLabels,
        lease_left_ms: u64,
        origin: ids::HostId,
    ) -> ledger::Entry {
        let left = time::Duration::from_millis(lease_left_ms);
        ledger::Entry {
            labels: labels.clone(),
            resources: pier_core::Resources::ZERO,
            origin,
            phase: ledger::Phase::Lost,
            own_call: false,
            seen_at: None,
            latest_end: step.now.saturating_add(left).saturating_add(self.options.lease_margin),
            end_seen_at: None,
            kept_at: step.now,
            renewed_at: time::Duration::ZERO,
            preemption: None,
            started: step.now,
            started_here: false,
            ends: None,
            checkpoint_interval: time::Duration::ZERO,
        }
    }

    /// Releases a worker and returns the tasks and quota that its new owner needs.
    pub(super) fn release_worker(
        &mut self,
        step: &mut step::Step<'_>,
        worker: &ids::WorkerId,
    ) -> message::HandoffBody {
        self.owner.expire_on_worker(step, &mut self.ledger, worker);
        let mut body = message::HandoffBody::default();
        let mut used: collections::BTreeMap<ids::TeamId, pier_core::Resources> =
            collections::BTreeMap::new();
        for (id, entry) in self.ledger.remove_worker(worker) {
            let sum = used.entry(entry.labels.team.clone()).or_default();
            *sum = sum.plus(&entry.resources);
            body.tasks.push(message::HandoffTask {
                task: id.0.clone(),
                attempt: id.1,
                labels: entry.labels.clone(),
                resources: entry.resources,
                origin: entry.origin.clone(),
                lease_left_ms: clock::millis(entry.latest_end.saturating_sub(step.now)),
            });
            self.owner.on_worker_released(step.now, id, &entry);
        }
        let info = step.cluster.workers.get(worker);
        let owner = info.and_then(|info| info.owner.as_ref());
        body.holdings = self.limits.release(&used, owner == Some(step.me()));
        body
    }

    /// Drops everything this host holds as a member after it was expelled.
    pub(super) fn on_expelled(&mut self, step: &mut step::Step<'_>) {
        let kind = pier_core::caller::RefusalKind::NoAuthority;
        self.owner.refuse_all(step, &mut self.ledger, kind);
        let workers: Vec<ids::WorkerId> = self.ledger.workers().keys().cloned().collect();
        for worker in workers {
            self.release_worker(step, &worker);
        }
        self.limits.on_expelled();
        self.dedupe.on_expelled();
    }
}
