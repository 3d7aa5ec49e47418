//! How a decider begins: with what the log says, until the workers have told what runs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync;
use std::time;

use pier_core::ids;
use pier_core::map::Map;
use pier_core::resources::Resources;

use crate::decider::{Context, Decider};
use crate::event::WorkerRecord;
use crate::follower::FollowerUpdate;
use crate::job::TaskRef;
use crate::pace::Paces;
use crate::peer::PeerInfo;
use crate::progress::Phase;
use crate::run::{Run, RunPhase};
use crate::worker::{Entry, Life, Worker};

impl Decider {
    /// The decider whose claim has the token. The ledger holds all that the log holds up to `end`.
    pub fn new(
        context: &mut Context<'_>,
        incarnation: ids::Incarnation,
        token: u64,
        end: ids::Offset,
    ) -> Self {
        let mut ended: Vec<(u64, ids::JobId)> = Vec::new();
        for (id, job) in &context.ledger.ended {
            ended.push((job.ended_wall_ms, ids::JobId::clone(id)));
        }
        ended.sort();
        let mut decider = Self {
            token,
            end,
            incarnation,
            // Tickets of a process are unique over its times as decider.
            next_ticket: token << 20,
            in_flight: None,
            last_append_at: context.now,
            last_stored_at: context.now,
            last_schedule_at: context.now,
            log_lost_told_at: time::Duration::ZERO,
            has_news: true,
            dirty: BTreeSet::new(),
            accepted: BTreeSet::new(),
            ended_order: ended.into(),
            replies: Vec::new(),
            orders: Vec::new(),
            ends: Vec::new(),
            workers: BTreeMap::new(),
            has_worker_list: false,
            runs: BTreeMap::new(),
            touched: BTreeSet::new(),
            look_timer_at: time::Duration::ZERO,
            leases_checked_at: time::Duration::ZERO,
            stopping: BTreeSet::new(),
            account_used: Map::default(),
            low_since: Map::default(),
            share_use: Map::default(),
            beyond_share: BTreeSet::new(),
            advice: BTreeMap::new(),
            asked: BTreeMap::new(),
            asking: BTreeSet::new(),
            paces: Paces::default(),
            by_free: Vec::new(),
            sorted_at: time::Duration::ZERO,
            waiting_since: BTreeMap::new(),
            peers: BTreeMap::new(),
            kept: Map::default(),
            local_verdicts: Vec::new(),
            release: None,
            deposed: None,
        };
        decider.adopt_runs(context);
        decider
    }

    fn adopt_runs(&mut self, context: &mut Context<'_>) {
        let mut adopted = Vec::new();
        for (id, job) in &context.ledger.live {
            for (step, tasks) in job.progress.steps.iter().enumerate() {
                for (index, task) in tasks.iter().enumerate() {
                    let Phase::Ordered { worker, life } = &task.phase else {
                        continue;
                    };
                    let run = Run {
                        worker: ids::WorkerId::clone(worker),
                        life: *life,
                        number: task.last_run,
                        phase: RunPhase::Unknown { since: context.now, is_fenced: true },
                        need: job.spec.steps[step].need,
                        account: job.spec.account.clone(),
                        is_listed: false,
                        decided_at: context.now,
                        is_resumed: true,
                        progress: None,
                    };
                    adopted.push((TaskRef { job: ids::JobId::clone(id), step, index }, run));
                }
            }
            // A verdict without a run left needs its last record.
            if job.progress.verdict.is_some() {
                self.dirty.insert(ids::JobId::clone(id));
            }
        }
        tracing::info!(
            token = self.token,
            jobs = context.ledger.live.len(),
            runs = adopted.len(),
            "decider begins"
        );
        let leases_end_at = Self::inherited_lease_end(context);
        for (task, run) in adopted {
            if !self.workers.contains_key(&run.worker) {
                let entry = unlisted_entry(&run.worker, run.life);
                let worker = Worker::new(entry, false, leases_end_at);
                self.workers.insert(ids::WorkerId::clone(&run.worker), worker);
            }
            let is_stopped = context
                .ledger
                .live
                .get(&task.job)
                .is_some_and(|job| job.progress.verdict.is_some());
            self.insert_run(task.clone(), run);
            if is_stopped {
                self.stop_run(&task);
            }
        }
    }

    /// By when the leases that an earlier decider gave have ended: it extends none when it has not
    /// appended for a while.
    fn inherited_lease_end(context: &Context<'_>) -> time::Duration {
        let lease = context.options.lease.min(context.options.max_lease);
        context.now + context.options.lease_extension_without_log + lease * 105 / 100
    }

    /// Takes what the workers' list says.
    pub fn on_workers(&mut self, context: &mut Context<'_>, learned: FollowerUpdate<WorkerRecord>) {
        if learned.is_reset {
            let mut seen = BTreeSet::new();
            for (_, record) in &learned.records {
                if record.entry.is_some() {
                    seen.insert(ids::WorkerId::clone(&record.id));
                }
            }
            for (id, worker) in &mut self.workers {
                if worker.is_listed && !seen.contains(id) {
                    worker.is_listed = false;
                    tracing::info!(worker = %id, "worker no longer listed");
                }
            }
        }
        for (_, record) in learned.records {
            self.on_worker(context, record);
        }
        if learned.is_caught_up && !self.has_worker_list {
            self.has_worker_list = true;
            tracing::info!(workers = self.workers.len(), "workers known");
        }
        self.workers.retain(|_, worker| worker.is_listed || !worker.runs.is_empty());
    }

    fn on_worker(&mut self, context: &mut Context<'_>, record: WorkerRecord) {
        let Some(entry) = record.entry else {
            if let Some(worker) = self.workers.get_mut(&record.id)
                && std::mem::take(&mut worker.is_listed)
            {
                tracing::info!(worker = %record.id, "worker no longer listed");
            }
            return;
        };
        let leases_end_at = Self::inherited_lease_end(context);
        self.touch(&record.id);
        let Some(worker) = self.workers.get_mut(&record.id) else {
            tracing::info!(worker = %record.id, zone = %entry.zone, life = entry.life, "worker listed");
            self.workers.insert(record.id, Worker::new(entry, true, leases_end_at));
            return;
        };
        if worker.entry.life != entry.life {
            self.end_life(context, &record.id, entry.life);
            if let Some(worker) = self.workers.get_mut(&record.id) {
                worker.begin_life(entry);
                worker.is_listed = true;
            }
            return;
        }
        if entry.is_draining && !worker.entry.is_draining {
            tracing::info!(worker = %record.id, remaining = ?entry.remaining, "worker drains");
        }
        worker.is_listed = true;
        worker.entry = entry;
    }

    /// A worker has begun another incarnation. What was seen in the earlier one is gone with it; for
    /// the rest a look at the new one tells.
    pub(super) fn end_life(&mut self, context: &mut Context<'_>, id: &ids::WorkerId, life: Life) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let tasks: Vec<TaskRef> = worker.runs.iter().cloned().collect();
        tracing::warn!(worker = %id, life, lost_runs = tasks.len(), "worker has a new incarnation");
        self.paces.forget(id);
        for advice in self.advice.values_mut() {
            advice.forget(id);
        }
        for task in tasks {
            let Some(run) = self.runs.get_mut(&task) else {
                continue;
            };
            if run.is_listed || run.phase == RunPhase::Recording {
                self.lose_run(context, &task, "the worker began another incarnation");
                continue;
            }
            run.life = life;
            run.phase = RunPhase::Unknown { since: context.now, is_fenced: false };
            self.stopping.remove(&task);
        }
    }

    /// Counts the host among those that ask the adviser and call workers.
    pub fn on_peer(&mut self, context: &mut Context<'_>, info: &PeerInfo) {
        // What was under way on an earlier connection is lost.
        self.on_peer_gone(context, &info.host);
        self.peers.insert(ids::HostId::clone(&info.host), info.clone());
    }

    /// The host's connection is gone: its questions and calls go to others.
    pub fn on_peer_gone(&mut self, context: &mut Context<'_>, host: &ids::HostId) {
        self.peers.remove(host);
        self.drop_carrier(context, host);
        let mut lost = Vec::new();
        for (ticket, asked) in &self.asked {
            if asked.host.as_ref() == Some(host) {
                lost.push(*ticket);
            }
        }
        for ticket in lost {
            self.on_advice(context, ticket, None);
        }
    }
}

/// What stands for a worker that the log names and the list does not.
fn unlisted_entry(id: &ids::WorkerId, life: Life) -> Entry {
    Entry {
        id: ids::WorkerId::clone(id),
        address: sync::Arc::from(""),
        service: sync::Arc::from(""),
        zone: sync::Arc::from(""),
        life,
        labels: Vec::new(),
        capacity: Resources::ZERO,
        is_draining: false,
        remaining: None,
    }
}
