//! Ownership of jobs: takes over and drops jobs as epochs, the log and the declaration change.

use std::collections;
use std::time;

use pier_core::{caller, ids, task};

use super::{Jobs, job, split_task};
use crate::work::placement;
use crate::{cluster, outbox, record};

/// The maximum number of jobs whose history is kept after this host has stopped tracking them.
const MAX_ENDED: usize = 1_000;
/// The interval between checks whether declared jobs are in the folded log.
const DECLARED_INTERVAL: time::Duration = time::Duration::from_secs(1);

impl Jobs {
    /// Whether every member has reported all attempts that it tracks in this epoch.
    pub(super) fn all_members_reported(&self, cluster: &cluster::Cluster) -> bool {
        let members = &cluster.member_hosts;
        !members.is_empty() && members.iter().all(|member| self.reported_members.contains(member))
    }

    /// Takes ownership of the jobs whose home this host has become and drops the others.
    pub(super) fn sync_epoch(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        commands: &mut placement::Commands,
    ) {
        if self.epoch == cluster.epoch {
            return;
        }
        // A host that missed an epoch does not know which host owned its jobs in between.
        let missed_epoch = self.epoch + 1 != cluster.epoch;
        self.epoch = cluster.epoch;
        self.epoch_started_at = now;
        self.reported_members.clear();
        let ids: Vec<ids::JobId> = self.owned.keys().cloned().collect();
        for id in ids {
            let removed = self.owned.get(&id).is_some_and(job::Job::is_removed_service);
            if missed_epoch || removed || !cluster.is_home_of(&id) {
                self.drop_job(now, &id, commands);
            }
        }
        let mut wanted: Vec<ids::JobId> = cluster.jobs.keys().cloned().collect();
        wanted.extend(self.intake.held_ids());
        for id in wanted {
            self.take_ownership_if_home(now, cluster, &id);
        }
        self.sync_services(now, cluster);
    }

    /// Applies the declaration: updates services, and appends declared jobs, which run once.
    pub(super) fn sync_declared(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        out: &mut outbox::Outbox,
    ) {
        if self.version != cluster.version {
            self.version = cluster.version;
            self.sync_services(now, cluster);
        }
        if now < self.declared_checked_at + DECLARED_INTERVAL {
            return;
        }
        self.declared_checked_at = now;
        for declared in &cluster.declaration.jobs {
            if cluster.log_unreachable
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
            let last = self.declared_appended_at.get(&declared.name);
            if last.is_some_and(|at| now < *at + job::APPEND_RETRY_INTERVAL) {
                continue;
            }
            self.declared_appended_at.insert(declared.name.clone(), now);
            out.append(record::Entry::JobAccepted(record::JobRecord {
                job: declared.name.clone(),
                team: declared.team.clone(),
                class: queue.class,
                request: declared.job.clone(),
                wall_ms: 0,
            }));
        }
    }

    fn sync_services(&mut self, now: time::Duration, cluster: &cluster::Cluster) {
        let mut declared = collections::BTreeSet::new();
        for service in &cluster.declaration.services {
            if !cluster.is_home_of(&service.name) {
                continue;
            }
            declared.insert(service.name.clone());
            let spec = job::Spec::from_service(service);
            match self.owned.get_mut(&service.name) {
                Some(job) if job.is_service() => {
                    let (old, new) = (job.spec.team.clone(), spec.team.clone());
                    job.update_spec(spec, now);
                    let queued = job.queued;
                    self.count_queued(&old, queued, 0);
                    self.count_queued(&new, 0, queued);
                    self.count_jobs(&old, 1, 0);
                    self.count_jobs(&new, 0, 1);
                }
                // A job in the log has the same name and takes precedence.
                Some(_) => {}
                None => self.take_ownership(cluster, &service.name, spec),
            }
        }
        // A removed service keeps its attempt numbers until the next epoch, in case it is declared
        // again.
        for (id, job) in &mut self.owned {
            if job.is_service() && !declared.contains(id) {
                let spec = job::Spec { tasks: 0, ..job.spec.clone() };
                job.update_spec(spec, now);
            }
        }
    }

    fn take_ownership_if_home(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        id: &ids::JobId,
    ) {
        if let Some(fold) = cluster.jobs.get(id) {
            if fold.phase.is_some() {
                self.first_seen.remove(id);
                return;
            }
            let first_seen = *self.first_seen.entry(id.clone()).or_insert(now);
            if self.owned.contains_key(id) || !cluster.is_home_of(id) {
                return;
            }
            let spec = job::Spec::from_record(&fold.record, first_seen);
            self.take_ownership(cluster, id, spec);
            return;
        }
        self.take_ownership_of_held(now, cluster, id);
    }

    /// Takes ownership of a job that is only held by peers while the log is unreachable.
    pub(super) fn take_ownership_of_held(
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
        let first_seen = *self.first_seen.entry(id.clone()).or_insert(now);
        let spec = job::Spec::from_record(record, first_seen);
        self.take_ownership(cluster, id, spec);
    }

    fn take_ownership(&mut self, cluster: &cluster::Cluster, id: &ids::JobId, spec: job::Spec) {
        let mut job = job::Job::new(id.clone(), spec, self.epoch_started_at);
        if let Some(fold) = cluster.jobs.get(id) {
            job.read_fold(fold);
        }
        // `0` is the character after `/`, so it ends the range of the job's task ids.
        let first: placement::AttemptId = (format!("{id}/").into(), 0);
        let end: placement::AttemptId = (format!("{id}0").into(), 0);
        for ((task, attempt), lapses_at) in self.orphans.range(first..end) {
            if let Some((of, index)) = split_task(task)
                && of == *id
            {
                job.add_orphan(index, *attempt, *lapses_at);
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
        commands: &mut placement::Commands,
    ) {
        let Some(fold) = cluster.jobs.get(id) else {
            return;
        };
        self.intake.on_job_folded(id, fold, out);
        self.declared_appended_at.remove(id);
        self.take_ownership_if_home(now, cluster, id);
        if fold.phase.is_some() {
            if let Some(job) = self.owned.get_mut(id) {
                job.cancel_all(commands);
            }
            self.drop_job(now, id, commands);
            return;
        }
        let cancelled = fold.cancelled;
        self.step(now, cluster, id, out, commands, |job, step| {
            job.read_fold(fold);
            if cancelled {
                job.end(step.now, caller::JobPhase::Cancelled, None);
            }
        });
    }

    pub(super) fn drop_all(&mut self, now: time::Duration, commands: &mut placement::Commands) {
        let ids: Vec<ids::JobId> = self.owned.keys().cloned().collect();
        for id in ids {
            self.drop_job(now, &id, commands);
        }
        self.reported_members.clear();
        self.epoch = 0;
    }

    pub(super) fn drop_job(
        &mut self,
        now: time::Duration,
        id: &ids::JobId,
        commands: &mut placement::Commands,
    ) {
        let Some(job) = self.owned.remove(id) else {
            return;
        };
        self.count_jobs(&job.spec.team, 1, 0);
        let cancelled = commands.cancel.len();
        job.cancel_queued(commands);
        // The cancelled attempts may have started already, which matters if this host becomes the
        // owner again.
        for attempt in &commands.cancel[cancelled..] {
            self.orphans
                .insert(attempt.clone(), now + self.options.task_lease + self.options.lease_margin);
        }
        self.count_queued(&job.spec.team, job.queued, 0);
        if self.ended_histories.len() >= MAX_ENDED {
            self.ended_histories.pop_front();
        }
        self.ended_histories.push_back((id.clone(), job.history()));
    }
}
