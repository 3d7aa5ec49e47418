//! Which jobs this host owns.

use std::collections;
use std::time;

use pier_core::{caller, ids, task};

use super::{Jobs, job, split_task};
use crate::work::placement;
use crate::{cluster, outbox, record};

/// The number of ended jobs of which the history is kept.
const MAX_ENDED: usize = 1_000;
/// The interval between checks whether declared jobs are in the fold.
const DECLARED_INTERVAL: time::Duration = time::Duration::from_secs(1);

impl Jobs {
    /// Whether every member has told all attempts that it counts in this epoch.
    pub(super) fn all_told(&self, cluster: &cluster::Cluster) -> bool {
        let members = &cluster.member_hosts;
        !members.is_empty() && members.iter().all(|member| self.told.contains(member))
    }

    /// Takes over the jobs of which this host has become the owner and drops the others.
    pub(super) fn sync_epoch(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        orders: &mut placement::Commands,
    ) {
        if self.epoch == cluster.epoch {
            return;
        }
        // A host that did not see every epoch cannot know who owned its jobs in between.
        let gap = self.epoch + 1 != cluster.epoch;
        self.epoch = cluster.epoch;
        self.epoch_since = now;
        self.told.clear();
        let ids: Vec<ids::JobId> = self.owned.keys().cloned().collect();
        for id in ids {
            let removed = self.owned.get(&id).is_some_and(job::Job::is_gone);
            if gap || removed || !cluster.is_home_of(&id) {
                self.drop_job(now, &id, orders);
            }
        }
        let mut wanted: Vec<ids::JobId> = cluster.jobs.keys().cloned().collect();
        wanted.extend(self.intake.held_ids());
        for id in wanted {
            self.own_if_home(now, cluster, &id);
        }
        self.own_services(now, cluster);
    }

    /// Follows the declaration: services and the jobs that run once.
    pub(super) fn sync_declared(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        out: &mut outbox::Outbox,
    ) {
        if self.version != cluster.version {
            self.version = cluster.version;
            self.own_services(now, cluster);
        }
        if now < self.declared_checked_at + DECLARED_INTERVAL {
            return;
        }
        self.declared_checked_at = now;
        for declared in &cluster.declaration.jobs {
            if cluster.log_away
                || cluster.jobs.contains_key(&declared.name)
                || !cluster.is_home_of(&declared.name)
            {
                continue;
            }
            let queue = &declared.job.queue;
            let queues = &cluster.declaration.queues;
            let Some(queue) = queues.iter().find(|known| known.name == *queue) else {
                continue;
            };
            if !matches!(queue.class, task::Class::Batch | task::Class::Gang) {
                continue;
            }
            let last = self.declared_at.get(&declared.name);
            if last.is_some_and(|at| now < *at + job::APPEND_AGAIN) {
                continue;
            }
            self.declared_at.insert(declared.name.clone(), now);
            out.append(record::Entry::JobAccepted(record::JobRecord {
                job: declared.name.clone(),
                team: declared.team.clone(),
                class: queue.class,
                request: declared.job.clone(),
                wall_ms: 0,
            }));
        }
    }

    fn own_services(&mut self, now: time::Duration, cluster: &cluster::Cluster) {
        let mut declared = collections::BTreeSet::new();
        for service in &cluster.declaration.services {
            if !cluster.is_home_of(&service.name) {
                continue;
            }
            declared.insert(service.name.clone());
            let spec = job::Spec::of_service(service);
            match self.owned.get_mut(&service.name) {
                Some(job) if job.is_service() => {
                    let (old, new) = (job.spec.team.clone(), spec.team.clone());
                    job.redeclare(spec, now);
                    let queued = job.queued;
                    self.count_queued(&old, queued, 0);
                    self.count_queued(&new, 0, queued);
                    self.count_jobs(&old, 1, 0);
                    self.count_jobs(&new, 0, 1);
                }
                // A job of the log has the name; it goes first.
                Some(_) => {}
                None => self.own(cluster, &service.name, spec),
            }
        }
        // A removed service keeps its attempt numbers until the next epoch, in case it returns.
        for (id, job) in &mut self.owned {
            if job.is_service() && !declared.contains(id) {
                let spec = job::Spec { tasks: 0, ..job.spec.clone() };
                job.redeclare(spec, now);
            }
        }
    }

    fn own_if_home(&mut self, now: time::Duration, cluster: &cluster::Cluster, id: &ids::JobId) {
        if let Some(fold) = cluster.jobs.get(id) {
            if fold.phase.is_some() {
                self.seen.remove(id);
                return;
            }
            let seen = *self.seen.entry(id.clone()).or_insert(now);
            if self.owned.contains_key(id) || !cluster.is_home_of(id) {
                return;
            }
            let spec = job::Spec::of_record(&fold.record, seen);
            self.own(cluster, id, spec);
            return;
        }
        self.own_held(now, cluster, id);
    }

    /// Runs a job that is only held by peers while the log is away.
    pub(super) fn own_held(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        id: &ids::JobId,
    ) {
        if self.owned.contains_key(id) || !cluster.is_home_of(id) {
            return;
        }
        let Some(record) = self.intake.held(id) else {
            return;
        };
        let seen = *self.seen.entry(id.clone()).or_insert(now);
        let spec = job::Spec::of_record(record, seen);
        self.own(cluster, id, spec);
    }

    fn own(&mut self, cluster: &cluster::Cluster, id: &ids::JobId, spec: job::Spec) {
        let mut job = job::Job::new(id.clone(), spec, self.epoch_since);
        if let Some(fold) = cluster.jobs.get(id) {
            job.read_fold(fold);
        }
        // The character after the slash ends the range of the job's task ids.
        let first: placement::AttemptId = (format!("{id}/").into(), 0);
        let end: placement::AttemptId = (format!("{id}0").into(), 0);
        for ((task, attempt), lapse) in self.orphans.range(first..end) {
            if let Some((of, index)) = split_task(task)
                && of == *id
            {
                job.add_orphan(index, *attempt, *lapse);
            }
        }
        self.count_jobs(&job.spec.team, 0, 1);
        self.owned.insert(id.clone(), job);
    }

    pub(super) fn on_job_changed(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        id: &ids::JobId,
        out: &mut outbox::Outbox,
        orders: &mut placement::Commands,
    ) {
        let Some(fold) = cluster.jobs.get(id) else {
            return;
        };
        self.intake.on_folded(id, fold, out);
        self.declared_at.remove(id);
        self.own_if_home(now, cluster, id);
        if fold.phase.is_some() {
            if let Some(job) = self.owned.get_mut(id) {
                job.cancel_all(orders);
            }
            self.drop_job(now, id, orders);
            return;
        }
        let cancelled = fold.cancelled;
        self.step(now, cluster, id, out, orders, |job, step| {
            job.read_fold(fold);
            if cancelled {
                job.end(step.now, caller::JobPhase::Cancelled, None);
            }
        });
    }

    pub(super) fn drop_all(&mut self, now: time::Duration, orders: &mut placement::Commands) {
        let ids: Vec<ids::JobId> = self.owned.keys().cloned().collect();
        for id in ids {
            self.drop_job(now, &id, orders);
        }
        self.told.clear();
        self.epoch = 0;
    }

    pub(super) fn drop_job(
        &mut self,
        now: time::Duration,
        id: &ids::JobId,
        orders: &mut placement::Commands,
    ) {
        let Some(job) = self.owned.remove(id) else {
            return;
        };
        self.count_jobs(&job.spec.team, 1, 0);
        let cancelled = orders.cancel.len();
        job.cancel_queued(orders);
        // They may have started already, which matters if this host owns the job again.
        for attempt in &orders.cancel[cancelled..] {
            self.orphans
                .insert(attempt.clone(), now + self.options.task_lease + self.options.lease_margin);
        }
        self.count_queued(&job.spec.team, job.queued, 0);
        if self.ended.len() >= MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back((id.clone(), job.history()));
    }
}
