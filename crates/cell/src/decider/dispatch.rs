//! Start and stop requests to workers, and the outcomes of the runs.

use std::sync;
use std::time;

use pier_core::ids;

use crate::backoff::Backoff;
use crate::decider::{Context, Decider};
use crate::effect::{Effect, StartRequest, WorkerOperation};
use crate::event::{ListedEnd, RejectReason, StartResponse};
use crate::job::{RunNumber, StepIndex, TaskRef};
use crate::progress::Phase;
use crate::run::{EndKind, RunPhase};

/// The delays before a stop request without an acknowledgement is sent again.
const STOP_BACKOFF: Backoff = Backoff { first: time::Duration::from_millis(800), max_steps: 3 };

impl Decider {
    /// Sends the start requests whose records are stored. Each decision is checked again because
    /// the state may have changed since, and a gang is started only if all its members can start.
    pub(super) fn send_starts(&mut self, context: &mut Context<'_>, starts: &[TaskRef]) {
        for task in starts {
            if let Err(reason) = self.check_start(context, task) {
                self.mark_run_lost(context, task, reason);
            }
        }
        for task in starts {
            // Members of an abandoned gang have no run any more.
            if self.runs.get(task).is_some_and(|run| run.phase == RunPhase::Recording) {
                self.send_start(context, task);
            }
        }
    }

    fn check_start(&self, context: &Context<'_>, task: &TaskRef) -> Result<(), &'static str> {
        let job = context.cell_state.live.get(&task.job).ok_or("the job has ended")?;
        if job.progress.final_state.is_some() {
            return Err("the job has a final state");
        }
        let run = self.runs.get(task).ok_or("the run was removed")?;
        if context.now > run.decided_at.saturating_add(context.options.max_decision_age) {
            return Err("the placement decision is too old");
        }
        let worker = self.workers.get(&run.worker).ok_or("the worker has left")?;
        if worker.info.incarnation != run.incarnation || !worker.accepts_work(context.now) {
            return Err("the worker accepts no work");
        }
        if context.zones_out.contains(&worker.info.zone) {
            return Err("the zone is out of service");
        }
        let queue = context
            .declaration
            .queue(&job.spec.queue)
            .ok_or("the terms of the queue are unknown")?;
        if job.progress.is_exhausted(queue.attempts()) {
            return Err("the attempts are used up");
        }
        if queue.advice.is_some() && self.ticket_of(context, task, &run.worker).is_none() {
            return Err("the adviser's ticket has expired");
        }
        Ok(())
    }

    fn ticket_of(
        &self,
        context: &Context<'_>,
        task: &TaskRef,
        worker: &ids::WorkerId,
    ) -> Option<String> {
        let advice = self.advice.get(&(ids::JobId::clone(&task.job), task.step))?;
        advice.ticket(context.now, worker).map(|ticket| ticket.text.clone())
    }

    fn send_start(&mut self, context: &mut Context<'_>, task: &TaskRef) {
        let (Some(job), Some(run)) =
            (context.cell_state.live.get(&task.job), self.runs.get(task).cloned())
        else {
            return;
        };
        let ticket = self.ticket_of(context, task, &run.worker);
        let Some(lease_until_ms) = self
            .workers
            .get_mut(&run.worker)
            .and_then(|worker| worker.lease_until_ms(context.now, context.options))
        else {
            self.mark_run_lost(context, task, "the worker's clock is unknown");
            return;
        };
        let step = &job.spec.steps[task.step];
        let state_index = if step.gang { 0 } else { task.index };
        let request = StartRequest {
            task: task.clone(),
            number: run.number,
            payload: sync::Arc::clone(&job.spec.payload),
            lease_until_ms,
            checkpoint: job.progress.steps[task.step][state_index].checkpoint.clone(),
            ticket,
        };
        tracing::info!(job = %task.job, step = task.step, task = task.index, run = run.number,
            worker = %run.worker, token = self.token, version = context.declaration.version,
            waited_ms = context.wall_ms.saturating_sub(job.accepted_wall_ms),
            "sending start request");
        let target = self.target(&self.workers[&run.worker]);
        context.effects.push(Effect::call(
            target,
            WorkerOperation::Start(request),
            context.options,
        ));
        if let Some(run) = self.runs.get_mut(task) {
            run.phase = RunPhase::Sent;
        }
    }

    /// Handles the response to a start request.
    pub fn on_start_response(
        &mut self,
        context: &mut Context<'_>,
        task: &TaskRef,
        number: RunNumber,
        response: StartResponse,
    ) {
        let Some(run) = self.runs.get_mut(task).filter(|run| run.number == number) else {
            return;
        };
        let worker = ids::WorkerId::clone(&run.worker);
        match response {
            StartResponse::Started { clock_ms } => {
                // A response that arrives when the worker is known to have restarted may be from before,
                // and its clock that of the earlier incarnation.
                if run.phase == RunPhase::Sent {
                    run.phase = RunPhase::Running { since: context.now };
                    if let Some(worker) = self.workers.get_mut(&worker) {
                        run.is_confirmed = worker.is_of_known_incarnation(context.now, clock_ms);
                        worker.record_clock(context.now, clock_ms);
                    }
                }
                self.mark_job_started(context, task);
            }
            StartResponse::NoAnswer => {
                tracing::warn!(job = %task.job, step = task.step, task = task.index, run = number,
                    worker = %worker, "no response to the start request");
                if run.phase == RunPhase::Sent {
                    run.phase = RunPhase::Unknown { since: context.now, is_fenced: false };
                    // The other members of a gang wait for this one.
                    self.poll_at_once(context, &worker);
                }
            }
            StartResponse::Rejected { reason } => {
                tracing::warn!(job = %task.job, step = task.step, task = task.index, run = number,
                    worker = %worker, %reason, "worker rejected the start request");
                self.on_start_rejected(context, task, &worker, reason);
            }
        }
    }

    fn on_start_rejected(
        &mut self,
        context: &mut Context<'_>,
        task: &TaskRef,
        worker: &ids::WorkerId,
        reason: RejectReason,
    ) {
        if let Some(run) = self.runs.get(task).filter(|_| reason != RejectReason::Ticket) {
            let number = run.number;
            self.on_gang_broken(context, &key_of(task), number, Some(worker), "start rejected");
        }
        match reason {
            RejectReason::Fenced => {
                self.deposed = Some("a later decider has contacted a worker");
                return;
            }
            RejectReason::Ticket => {
                let key = (ids::JobId::clone(&task.job), task.step);
                if let Some(advice) = self.advice.get_mut(&key) {
                    advice.invalidate_ticket(worker);
                }
            }
            RejectReason::OtherIncarnation | RejectReason::NoRoom => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    // A poll shows what runs there now.
                    worker.has_answered = false;
                    worker.next_poll_at = context.now;
                    self.poll_candidates.insert(ids::WorkerId::clone(&worker.info.id));
                }
            }
            RejectReason::Refused => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.record_failure(context.now);
                }
            }
            RejectReason::StaleRun | RejectReason::Late => {}
        }
        self.mark_run_lost(context, task, "the worker rejected the start request");
    }

    /// Handles the response to a stop request.
    pub fn on_stop_response(
        &mut self,
        context: &mut Context<'_>,
        task: &TaskRef,
        number: RunNumber,
        is_acknowledged: bool,
    ) {
        let Some(run) = self.runs.get_mut(task).filter(|run| run.number == number) else {
            return;
        };
        if is_acknowledged && matches!(run.phase, RunPhase::Stopping { .. }) {
            run.phase = RunPhase::Stopped { since: context.now };
            let (worker, is_confirmed) = (ids::WorkerId::clone(&run.worker), run.is_confirmed);
            self.stopping.remove(task);
            if !is_confirmed {
                self.poll_at_once(context, &worker);
            }
        }
    }

    /// Sends the stop requests that are due.
    pub(super) fn send_stops(&mut self, context: &mut Context<'_>) {
        let mut due = Vec::new();
        for task in &self.stopping {
            let Some(run) = self.runs.get(task) else {
                continue;
            };
            let RunPhase::Stopping { attempts, due_at } = run.phase else {
                continue;
            };
            if context.now >= due_at {
                due.push((task.clone(), run.number, ids::WorkerId::clone(&run.worker), attempts));
            }
        }
        for (task, number, worker, attempts) in due {
            let Some(worker) = self.workers.get(&worker).filter(|w| !w.info.address.is_empty())
            else {
                continue;
            };
            tracing::info!(job = %task.job, step = task.step, task = task.index, run = number,
                worker = %worker.info.id, "sending stop request");
            let operation = WorkerOperation::Stop { task: task.clone(), number };
            context.effects.push(Effect::call(self.target(worker), operation, context.options));
            if let Some(run) = self.runs.get_mut(&task) {
                let attempts = attempts.saturating_add(1);
                let delay = STOP_BACKOFF.delay(&format!("{}/{}", task.job, task.index), attempts);
                let due_at = context.now.saturating_add(delay);
                run.phase = RunPhase::Stopping { attempts, due_at };
            }
        }
    }

    /// Stops a run that may be alive.
    pub(super) fn stop_run(&mut self, task: &TaskRef) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        // Start requests that are not sent yet are checked again before they are sent.
        let may_stop = matches!(
            run.phase,
            RunPhase::Sent | RunPhase::Unknown { .. } | RunPhase::Running { .. }
        );
        if may_stop {
            run.phase = RunPhase::Stopping { attempts: 0, due_at: time::Duration::ZERO };
            self.stopping.insert(task.clone());
        }
    }

    /// Stops the runs of a job, or of one of its steps.
    pub(super) fn stop_runs_of(&mut self, job: &ids::JobId, step: Option<StepIndex>) {
        let first = TaskRef { job: ids::JobId::clone(job), step: step.unwrap_or(0), index: 0 };
        let mut tasks = Vec::new();
        for (task, _) in self.runs.range(first..) {
            if task.job != *job || step.is_some_and(|step| task.step != step) {
                break;
            }
            tasks.push(task.clone());
        }
        for task in tasks {
            self.stop_run(&task);
        }
    }

    /// Removes a run that is certainly not alive and has no end that counts.
    pub(super) fn mark_run_lost(
        &mut self,
        context: &mut Context<'_>,
        task: &TaskRef,
        reason: &'static str,
    ) {
        let Some(run) = self.remove_run(context, task) else {
            return;
        };
        tracing::info!(job = %task.job, step = task.step, task = task.index, run = run.number,
            worker = %run.worker, reason, "run lost");
        if !matches!(run.phase, RunPhase::Stopping { .. } | RunPhase::Stopped { .. }) {
            // A worker that is gone takes no part anyway, and an expired ticket is not its fault.
            self.on_gang_broken(context, &key_of(task), run.number, None, "member lost");
        }
        self.stop_gang(context, task);
    }

    /// Members of a gang can make progress only together. When one is lost or will not start, the
    /// others are stopped and start requests that were not sent yet are dropped.
    pub(super) fn stop_gang(&mut self, context: &mut Context<'_>, task: &TaskRef) {
        let Some(job) = context.cell_state.live.get(&task.job) else {
            return;
        };
        let is_done = job.progress.steps[task.step][task.index].phase == Phase::Done;
        if !job.spec.steps[task.step].gang || is_done {
            return;
        }
        for index in 0..job.spec.steps[task.step].tasks {
            let member = TaskRef { index, ..task.clone() };
            if self.runs.get(&member).is_some_and(|run| run.phase == RunPhase::Recording) {
                self.remove_run(context, &member);
            }
        }
        self.stop_runs_of(&task.job, Some(task.step));
    }

    pub(super) fn mark_job_started(&mut self, context: &mut Context<'_>, task: &TaskRef) {
        if let Some(job) = context.cell_state.live.get_mut(&task.job)
            && !job.progress.has_begun
        {
            job.progress.has_begun = true;
            self.dirty.insert(ids::JobId::clone(&task.job));
            self.record_first_start(context, &task.job);
        }
    }

    /// Handles the end of a run that a worker reports. The same end may be reported again.
    pub(super) fn on_run_ended(
        &mut self,
        context: &mut Context<'_>,
        worker_id: &ids::WorkerId,
        end: &ListedEnd,
    ) {
        let (Some(task), Some(kind)) = (&end.task, end.kind) else {
            tracing::warn!(worker = %worker_id, sequence = end.sequence,
                "ignoring a run end of an unknown kind");
            return;
        };
        tracing::info!(job = %task.job, step = task.step, task = task.index, run = end.number,
            worker = %worker_id, sequence = end.sequence, how = %kind, "run ended");
        if let Some(worker) = self.workers.get_mut(worker_id) {
            match kind {
                EndKind::Done => worker.record_success(),
                EndKind::Failed => worker.record_failure(context.now),
                _ => {}
            }
        }
        self.mark_job_started(context, task);
        self.record_run_end(context, task, end, kind);
        let is_current = self
            .runs
            .get(task)
            .is_some_and(|run| run.number == end.number && run.worker == *worker_id);
        if is_current {
            if matches!(kind, EndKind::Failed | EndKind::Lapsed | EndKind::Alone) {
                let worker = (kind == EndKind::Failed).then_some(worker_id);
                self.on_gang_broken(context, &key_of(task), end.number, worker, gang_end(kind));
            }
            if kind == EndKind::Done {
                self.record_run_time(context, task);
            }
            self.remove_run(context, task);
            if !matches!(kind, EndKind::Done | EndKind::Broken) {
                self.stop_gang(context, task);
            }
        } else if kind == EndKind::Done {
            // A run that was considered lost has completed after all.
            self.stop_run(task);
        }
    }

    fn record_run_end(
        &mut self,
        context: &mut Context<'_>,
        task: &TaskRef,
        end: &ListedEnd,
        kind: EndKind,
    ) {
        let Some(job) = context.cell_state.live.get_mut(&task.job) else {
            return;
        };
        let is_gang = job.spec.steps.get(task.step).is_some_and(|step| step.gang);
        let Some(tasks) = job.progress.steps.get_mut(task.step) else {
            return;
        };
        let state_index = if is_gang { 0 } else { task.index };
        let Some(state) = tasks.get_mut(state_index) else {
            return;
        };
        if let Some(checkpoint) = &end.checkpoint {
            state.checkpoint = Some(checkpoint.clone());
        }
        match kind {
            EndKind::Done if is_gang => {
                for member in tasks {
                    member.phase = Phase::Done;
                }
            }
            EndKind::Done => state.phase = Phase::Done,
            EndKind::Failed if end.number > state.last_failed => {
                state.last_failed = end.number;
                state.failures = state.failures.saturating_add(1);
                self.fail_if_exhausted(context, &task.job);
            }
            _ => {}
        }
        self.dirty.insert(ids::JobId::clone(&task.job));
    }
}

/// The step that the task belongs to.
fn key_of(task: &TaskRef) -> (ids::JobId, StepIndex) {
    (ids::JobId::clone(&task.job), task.step)
}

/// Why a gang was broken, for metrics.
fn gang_end(kind: EndKind) -> &'static str {
    match kind {
        EndKind::Failed => "member failed",
        EndKind::Alone => "members did not start",
        _ => "lease lapsed",
    }
}
