//! Start of a new decider from the state in the log, before the workers have reported their runs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time;

use pier_core::ids;
use pier_core::map::Map;

use crate::decider::admission::JobAdmission;
use crate::decider::advice_calls::AdviserLoad;
use crate::decider::forecast::Forecasts;
use crate::decider::gangs::GangReservations;
use crate::decider::learned::{learned_run_times, run_time_model};
use crate::decider::reclaim::Reclaim;
use crate::decider::shares::AccountShares;
use crate::decider::{Context, Decider, Predecessor, Term};
use crate::event::WorkerRecord;
use crate::follower::FollowerUpdate;
use crate::job::TaskRef;
use crate::load_report::LoadReport;
use crate::peer::PeerInfo;
use crate::progress::Phase;
use crate::run::{Run, RunPhase};
use crate::speed::WorkerSpeeds;
use crate::worker::{Worker, WorkerIncarnation, WorkerInfo};

impl Decider {
    /// Creates the decider of this term. The cell state must include the whole log up to its `end`.
    pub fn new(context: &mut Context<'_>, term: Term) -> Self {
        let mut ended = Vec::new();
        for (id, job) in &context.cell_state.ended {
            ended.push((job.ended_wall_ms, ids::JobId::clone(id)));
        }
        let mut withdrawn = Vec::new();
        for (id, withdrawal) in &context.cell_state.withdrawn {
            withdrawn.push((withdrawal.withdrawn_wall_ms, ids::JobId::clone(id)));
        }
        let extended_until = term
            .earlier_records_read_at
            .saturating_add(context.options.lease_extension_without_log);
        let learned = context.cell_state.load.as_ref().filter(|_| context.options.load.is_any());
        let mut decider = Self {
            token: term.token,
            end: term.end,
            incarnation: term.incarnation,
            in_flight: None,
            last_append_at: context.now,
            last_stored_at: context.now,
            confirmed_at: term.confirmed_at,
            inherited_leases_end_at: lease_end(context, extended_until),
            predecessor: term.predecessor,
            last_schedule_at: context.now,
            log_loss_reported_at: time::Duration::ZERO,
            needs_scheduling: true,
            dirty: BTreeSet::new(),
            newly_accepted: BTreeSet::new(),
            ended_order: in_order(context.now, ended),
            withdrawn_order: in_order(context.now, withdrawn),
            pending_replies: Vec::new(),
            pending_starts: Vec::new(),
            pending_ends: Vec::new(),
            workers: BTreeMap::new(),
            has_worker_list: false,
            runs: BTreeMap::new(),
            poll_candidates: BTreeSet::new(),
            next_poll_pass_at: time::Duration::ZERO,
            last_lease_check_at: time::Duration::ZERO,
            stopping: BTreeSet::new(),
            shares: AccountShares::default(),
            reclaim: Reclaim::default(),
            limit_reservations: Map::default(),
            below_half_since: Map::default(),
            admission: JobAdmission::default(),
            applied_version: 0,
            changed_terms: VecDeque::new(),
            advice: BTreeMap::new(),
            advice_requests: BTreeMap::new(),
            busy_adviser_hosts: BTreeSet::new(),
            adviser_failures: BTreeMap::new(),
            speeds: WorkerSpeeds::new(run_time_model(context), learned_run_times(learned)),
            forecasts: Forecasts::new(learned),
            workers_by_free: Vec::new(),
            workers_sorted_at: time::Duration::ZERO,
            waiting_since: BTreeMap::new(),
            peers: BTreeMap::new(),
            gangs: GangReservations::default(),
            adviser_load: AdviserLoad::default(),
            local_outcomes: Vec::new(),
            load_report: LoadReport::default(),
            release: None,
            deposed: None,
        };
        decider.adopt_runs(context);
        decider
    }

    fn adopt_runs(&mut self, context: &mut Context<'_>) {
        let mut adopted = Vec::new();
        for (id, job) in &context.cell_state.live {
            for (step, tasks) in job.progress.steps.iter().enumerate() {
                for (index, task) in tasks.iter().enumerate() {
                    let Phase::Assigned { worker, incarnation } = &task.phase else {
                        continue;
                    };
                    let run = Run {
                        worker: ids::WorkerId::clone(worker),
                        incarnation: *incarnation,
                        number: task.last_run,
                        phase: RunPhase::Unknown { since: context.now, is_fenced: true },
                        need: job.spec.steps[step].need,
                        account: job.spec.account.clone(),
                        is_confirmed: false,
                        decided_at: context.now,
                        is_resumed: true,
                        expected_run_time: job.spec.steps[step].estimate(),
                        progress: None,
                    };
                    adopted.push((TaskRef { job: ids::JobId::clone(id), step, index }, run));
                }
            }
            // A job with a final state and no runs left still needs its last record.
            if job.progress.final_state.is_some() {
                self.dirty.insert(ids::JobId::clone(id));
            }
        }
        tracing::info!(
            token = self.token,
            jobs = context.cell_state.live.len(),
            runs = adopted.len(),
            "host became the decider"
        );
        for (task, run) in adopted {
            if !self.workers.contains_key(&run.worker) {
                let info = WorkerInfo::unknown(&run.worker, run.incarnation, "".into());
                let worker = Worker::new(info, false, self.inherited_leases_end_at);
                self.workers.insert(ids::WorkerId::clone(&run.worker), worker);
            }
            let is_stopped = context
                .cell_state
                .live
                .get(&task.job)
                .is_some_and(|job| job.progress.final_state.is_some());
            self.insert_run(task.clone(), run);
            if is_stopped {
                self.stop_run(&task);
            }
        }
    }

    /// Handles the greeting of a host. If it is another process than the preceding decider on the
    /// same host, that one has ended and extends no more leases.
    pub fn on_greeting(&mut self, context: &Context<'_>, info: &PeerInfo) {
        let is_successor = |predecessor: &mut Predecessor| {
            predecessor.host == info.host && predecessor.incarnation != info.incarnation
        };
        let Some(predecessor) = self.predecessor.take_if(is_successor) else {
            return;
        };
        // The deciders before it may still be alive. They stop without appends.
        let earlier_until =
            predecessor.claim_read_at.saturating_add(context.options.lease_extension_without_log);
        let leases_end_at = lease_end(context, context.now.max(earlier_until));
        if leases_end_at >= self.inherited_leases_end_at {
            return;
        }
        let sooner = self.inherited_leases_end_at.saturating_sub(leases_end_at);
        tracing::info!(host = %info.host, sooner_ms = pier_core::clock::millis(sooner),
            "the preceding decider's process has ended; its leases end sooner");
        self.inherited_leases_end_at = leases_end_at;
        for worker in self.workers.values_mut() {
            worker.shorten_inherited_leases(leases_end_at);
        }
    }

    /// Handles new records of the worker list.
    pub fn on_worker_records(&mut self, update: FollowerUpdate<WorkerRecord>) {
        if update.is_reset {
            let mut seen = BTreeSet::new();
            for (_, record) in &update.records {
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
        for (_, record) in update.records {
            self.on_worker_record(record);
        }
        if update.is_caught_up && !self.has_worker_list {
            self.has_worker_list = true;
            tracing::info!(workers = self.workers.len(), "worker list read");
        }
        self.workers.retain(|_, worker| worker.is_listed || !worker.runs.is_empty());
    }

    fn on_worker_record(&mut self, record: WorkerRecord) {
        let Some(info) = record.entry else {
            if let Some(worker) = self.workers.get_mut(&record.id)
                && std::mem::take(&mut worker.is_listed)
            {
                tracing::info!(worker = %record.id, "worker no longer listed");
            }
            return;
        };
        self.mark_poll_candidate(&record.id);
        self.reclaim.record_drain(&info);
        let Some(worker) = self.workers.get_mut(&record.id) else {
            tracing::info!(worker = %record.id, zone = %info.zone, life = info.incarnation,
                "worker listed");
            let worker = Worker::new(info, true, self.inherited_leases_end_at);
            self.workers.insert(record.id, worker);
            return;
        };
        worker.is_listed = true;
        if worker.info.incarnation != info.incarnation {
            tracing::info!(worker = %record.id, life = worker.info.incarnation,
                listed = info.incarnation, runs = worker.runs.len(),
                "worker list names another incarnation; polling the worker");
            worker.doubt_incarnation(info);
            return;
        }
        if info.is_draining && !worker.info.is_draining {
            tracing::info!(worker = %record.id, remaining = ?info.remaining, "worker is draining");
        }
        worker.describe(info);
    }

    /// Handles a new incarnation of a worker, of which a report has told. Runs that were confirmed in
    /// the earlier one are lost with it. For the others, a poll of the new one shows whether they are
    /// alive.
    pub(super) fn end_incarnation(
        &mut self,
        context: &mut Context<'_>,
        id: &ids::WorkerId,
        incarnation: WorkerIncarnation,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let tasks: Vec<TaskRef> = worker.runs.iter().cloned().collect();
        tracing::warn!(worker = %id, life = incarnation, lost_runs = tasks.len(),
            "worker has a new incarnation");
        self.speeds.forget(id);
        for advice in self.advice.values_mut() {
            advice.forget(id);
        }
        for task in tasks {
            let Some(run) = self.runs.get_mut(&task) else {
                continue;
            };
            if run.is_confirmed || run.phase == RunPhase::Recording {
                self.mark_run_lost(context, &task, "the worker has a new incarnation");
                continue;
            }
            run.incarnation = incarnation;
            run.phase = RunPhase::Unknown { since: context.now, is_fenced: false };
            self.stopping.remove(&task);
        }
    }

    /// Adds the host to those that send advice requests and relay calls.
    pub fn on_peer_connected(&mut self, context: &mut Context<'_>, info: &PeerInfo) {
        // Requests and calls in flight on an earlier connection are lost.
        self.on_peer_disconnected(context, &info.host);
        self.peers.insert(ids::HostId::clone(&info.host), info.clone());
    }

    /// Handles the loss of the connection to a host. Its advice requests and calls go to other
    /// hosts.
    pub fn on_peer_disconnected(&mut self, context: &mut Context<'_>, host: &ids::HostId) {
        self.peers.remove(host);
        self.remove_relay(context, host);
        let mut lost = Vec::new();
        for (ticket, request) in &self.advice_requests {
            if request.host.as_ref() == Some(host) {
                lost.push(*ticket);
            }
        }
        for ticket in lost {
            self.on_advice_response(context, ticket, None);
        }
        self.adviser_failures.remove(&Some(ids::HostId::clone(host)));
    }
}

/// When leases have certainly ended that were extended until then.
fn lease_end(context: &Context<'_>, extended_until: time::Duration) -> time::Duration {
    let lease = context.options.lease.min(context.options.max_lease);
    extended_until + lease * 105 / 100
}

/// Sorts retained jobs by wall clock. Their retention counts from now on.
fn in_order(
    now: time::Duration,
    mut jobs: Vec<(u64, ids::JobId)>,
) -> VecDeque<(time::Duration, ids::JobId)> {
    jobs.sort();
    jobs.into_iter().map(|(_, id)| (now, id)).collect()
}
