//! Orders to workers, and what becomes of the runs.

use std::sync;
use std::time;

use pier_core::ids;

use crate::decider::{Context, Decider};
use crate::declaration::Queue;
use crate::effect::{Effect, StartRequest, WorkerOperation};
use crate::event::{ListedEnd, RejectReason, StartResponse};
use crate::job::{JobState, RunNumber, StepIndex, TaskRef};
use crate::progress::Phase;
use crate::run::{EndKind, RunPhase};

/// How long until a stop that was not acknowledged is sent again.
const STOP_REPEAT: time::Duration = time::Duration::from_millis(800);
/// The attempts of a queue that no known declaration has.
const DEFAULT_ATTEMPTS: u32 = 1;

impl Decider {
    /// Sends the starts whose records are stored. What has changed since they were decided counts,
    /// and a gang is started only if all its members can be.
    pub(super) fn send_starts(&mut self, context: &mut Context<'_>, orders: &[TaskRef]) {
        for task in orders {
            if let Err(reason) = self.check_start(context, task) {
                self.lose_run(context, task, reason);
            }
        }
        for task in orders {
            // Members of a gang that was given up are gone by now.
            if self.runs.get(task).is_some_and(|run| run.phase == RunPhase::Recording) {
                self.send_start(context, task);
            }
        }
    }

    fn check_start(&self, context: &Context<'_>, task: &TaskRef) -> Result<(), &'static str> {
        let job = context.ledger.live.get(&task.job).ok_or("the job has ended")?;
        if job.progress.verdict.is_some() {
            return Err("the job has a verdict");
        }
        let run = self.runs.get(task).ok_or("there is no such run")?;
        if context.now > run.decided_at.saturating_add(context.options.max_decision_age) {
            return Err("the decision is too old");
        }
        let worker = self.workers.get(&run.worker).ok_or("the worker is gone")?;
        if worker.entry.life != run.life || !worker.takes_work(context.now) {
            return Err("the worker takes no work");
        }
        if context.zones_out.contains(&worker.entry.zone) {
            return Err("the zone is out of service");
        }
        let queue = context.directory.queue(&job.spec.queue).ok_or("the queue is gone")?;
        if queue.advice.is_some() && self.ticket_of(context, task, &run.worker).is_none() {
            return Err("the ticket lapsed");
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
            (context.ledger.live.get(&task.job), self.runs.get(task).cloned())
        else {
            return;
        };
        let ticket = self.ticket_of(context, task, &run.worker);
        let Some(lease_until_ms) = self
            .workers
            .get_mut(&run.worker)
            .and_then(|worker| worker.lease_until_ms(context.now, context.options))
        else {
            self.lose_run(context, task, "the worker's clock is not known");
            return;
        };
        let step = &job.spec.steps[task.step];
        let keeper = if step.gang { 0 } else { task.index };
        let order = StartRequest {
            task: task.clone(),
            number: run.number,
            payload: sync::Arc::clone(&job.spec.payload),
            lease_until_ms,
            checkpoint: job.progress.steps[task.step][keeper].checkpoint.clone(),
            ticket,
        };
        tracing::info!(job = %task.job, step = task.step, task = task.index, run = run.number,
            worker = %run.worker, token = self.token, version = context.directory.version,
            waited_ms = context.wall_ms.saturating_sub(job.accepted_wall_ms), "start ordered");
        let target = self.target(&self.workers[&run.worker]);
        context.effects.push(Effect::call(target, WorkerOperation::Start(order), context.options));
        if let Some(run) = self.runs.get_mut(task) {
            run.phase = RunPhase::Sent;
        }
    }

    /// Takes the answer to a start.
    pub fn on_start_answered(
        &mut self,
        context: &mut Context<'_>,
        task: &TaskRef,
        number: RunNumber,
        answer: StartResponse,
    ) {
        let Some(run) = self.runs.get_mut(task).filter(|run| run.number == number) else {
            return;
        };
        let worker = ids::WorkerId::clone(&run.worker);
        match answer {
            StartResponse::Started { clock_ms } => {
                if run.phase == RunPhase::Sent {
                    run.phase = RunPhase::Running { since: context.now };
                }
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.note_clock(context.now, clock_ms);
                }
                self.note_begun(context, task);
            }
            StartResponse::NoAnswer => {
                tracing::warn!(job = %task.job, step = task.step, task = task.index, run = number,
                    worker = %worker, "start without an answer");
                if run.phase == RunPhase::Sent {
                    run.phase = RunPhase::Unknown { since: context.now, is_fenced: false };
                }
            }
            StartResponse::Rejected { reason } => {
                tracing::warn!(job = %task.job, step = task.step, task = task.index, run = number,
                    worker = %worker, %reason, "start rejected");
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
        match reason {
            RejectReason::Fenced => {
                self.deposed = Some("a worker has heard from a later decider");
                return;
            }
            RejectReason::Ticket => {
                let key = (ids::JobId::clone(&task.job), task.step);
                if let Some(advice) = self.advice.get_mut(&key) {
                    advice.drop_ticket(worker);
                }
            }
            RejectReason::OtherIncarnation | RejectReason::NoRoom => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    // A look tells what runs there now.
                    worker.is_contacted = false;
                    worker.look_due_at = context.now;
                    self.touched.insert(ids::WorkerId::clone(&worker.entry.id));
                }
            }
            RejectReason::Refused => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.note_failure(context.now);
                }
            }
            RejectReason::StaleRun | RejectReason::Late => {}
        }
        self.lose_run(context, task, "the start was rejected");
    }

    /// Takes the answer to a stop.
    pub fn on_stop_answered(
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
            self.stopping.remove(task);
        }
    }

    /// Sends the stops that are due.
    pub(super) fn send_stops(&mut self, context: &mut Context<'_>) {
        let mut due = Vec::new();
        for task in &self.stopping {
            let Some(run) = self.runs.get(task) else {
                continue;
            };
            let RunPhase::Stopping { sent_at } = run.phase else {
                continue;
            };
            if sent_at.is_none_or(|at| context.now >= at.saturating_add(STOP_REPEAT)) {
                due.push((task.clone(), run.number, ids::WorkerId::clone(&run.worker)));
            }
        }
        for (task, number, worker) in due {
            let Some(worker) = self.workers.get(&worker).filter(|w| !w.entry.address.is_empty())
            else {
                continue;
            };
            tracing::info!(job = %task.job, step = task.step, task = task.index, run = number,
                worker = %worker.entry.id, "stop ordered");
            let ask = WorkerOperation::Stop { task: task.clone(), number };
            context.effects.push(Effect::call(self.target(worker), ask, context.options));
            if let Some(run) = self.runs.get_mut(&task) {
                run.phase = RunPhase::Stopping { sent_at: Some(context.now) };
            }
        }
    }

    /// Stops a run that may be alive.
    pub(super) fn stop_run(&mut self, task: &TaskRef) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        // A start that is not sent yet is checked once more before it is sent.
        let may_stop = matches!(
            run.phase,
            RunPhase::Sent | RunPhase::Unknown { .. } | RunPhase::Running { .. }
        );
        if may_stop {
            run.phase = RunPhase::Stopping { sent_at: None };
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

    /// A run is certainly not alive and has not ended in a way that counts.
    pub(super) fn lose_run(
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
        self.break_gang(context, task);
    }

    /// The members of a gang work only together: without one of them the others are stopped, and
    /// those that were not sent yet are given up.
    fn break_gang(&mut self, context: &mut Context<'_>, task: &TaskRef) {
        let Some(job) = context.ledger.live.get(&task.job) else {
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

    fn note_begun(&mut self, context: &mut Context<'_>, task: &TaskRef) {
        if let Some(job) = context.ledger.live.get_mut(&task.job)
            && !job.progress.has_begun
        {
            job.progress.has_begun = true;
            self.dirty.insert(ids::JobId::clone(&task.job));
        }
    }

    /// Takes an end that a worker lists. The same end may be listed again.
    pub(super) fn on_end(
        &mut self,
        context: &mut Context<'_>,
        worker_id: &ids::WorkerId,
        end: &ListedEnd,
    ) {
        let (Some(task), Some(kind)) = (&end.task, end.kind) else {
            tracing::warn!(worker = %worker_id, sequence = end.sequence, "end of an unknown kind");
            return;
        };
        tracing::info!(job = %task.job, step = task.step, task = task.index, run = end.number,
            worker = %worker_id, sequence = end.sequence, how = %kind, "run ended");
        if let Some(worker) = self.workers.get_mut(worker_id) {
            match kind {
                EndKind::Done => worker.note_success(),
                EndKind::Failed => worker.note_failure(context.now),
                _ => {}
            }
        }
        self.note_begun(context, task);
        self.note_outcome(context, task, end, kind);
        let is_current = self
            .runs
            .get(task)
            .is_some_and(|run| run.number == end.number && run.worker == *worker_id);
        if is_current {
            if kind == EndKind::Done {
                self.note_run_time(context, task);
            }
            self.remove_run(context, task);
            if !matches!(kind, EndKind::Done | EndKind::Broken) {
                self.break_gang(context, task);
            }
        } else if kind == EndKind::Done {
            // An earlier run was taken for lost and has finished after all.
            self.stop_run(task);
        }
    }

    fn note_outcome(
        &mut self,
        context: &mut Context<'_>,
        task: &TaskRef,
        end: &ListedEnd,
        kind: EndKind,
    ) {
        let Some(job) = context.ledger.live.get_mut(&task.job) else {
            return;
        };
        let is_gang = job.spec.steps.get(task.step).is_some_and(|step| step.gang);
        let Some(tasks) = job.progress.steps.get_mut(task.step) else {
            return;
        };
        let keeper = if is_gang { 0 } else { task.index };
        let Some(kept) = tasks.get_mut(keeper) else {
            return;
        };
        if let Some(checkpoint) = &end.checkpoint {
            kept.checkpoint = Some(checkpoint.clone());
        }
        match kind {
            EndKind::Done if is_gang => {
                for member in tasks {
                    member.phase = Phase::Done;
                }
            }
            EndKind::Done => kept.phase = Phase::Done,
            EndKind::Failed if end.number > kept.last_failed => {
                kept.last_failed = end.number;
                kept.failures = kept.failures.saturating_add(1);
                let most = context
                    .directory
                    .queue(&job.spec.queue)
                    .map_or(DEFAULT_ATTEMPTS, Queue::attempts);
                if kept.failures >= most && kept.phase != Phase::Done {
                    self.set_verdict(context, &task.job, JobState::Failed);
                }
            }
            _ => {}
        }
        self.dirty.insert(ids::JobId::clone(&task.job));
    }
}
