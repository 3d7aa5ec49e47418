//! Polls of workers, which extend their leases and report running and ended runs.

use std::sync;
use std::time;

use pier_core::ids;
use pier_core::map::Set;

use crate::backoff::Backoff;
use crate::decider::{Context, Decider};
use crate::effect::{Effect, Target, WorkerOperation};
use crate::event::{ListedEnd, ListedRun, PollResponse};
use crate::job::TaskRef;
use crate::run::{Run, RunPhase};
use crate::worker::{Worker, WorkerIncarnation};

/// The interval between polls while it is unknown whether a run is alive.
const UNRESOLVED_RUN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// The delay of a poll that must have been sent later than what it is to show.
const NEXT_INSTANT: time::Duration = time::Duration::from_millis(1);
/// The interval between polls while run ends that were received are not stored in the log. The
/// worker would report them again at once, but its leases must still be extended.
const UNSTORED_ENDS_POLL_INTERVAL: time::Duration = time::Duration::from_millis(1_000);
/// How long after its timeout the response to a call may still arrive.
const RESPONSE_MARGIN: time::Duration = time::Duration::from_millis(1_000);
/// The maximum interval between checks of all workers.
const MAX_POLL_PASS_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// The interval between checks for leases that have ended.
const LEASE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// The maximum number of run ends in a worker's report. If a report is full, the end of a run that
/// it does not list may be among those left out.
const MAX_LISTED_ENDS: usize = 500;
/// The greatest age of the last report at which a poll acknowledges ends while there are runs that no
/// report has listed. A worker does not restart, run a task and end it in this time.
const MAX_ACKNOWLEDGED_REPORT_AGE: time::Duration = time::Duration::from_millis(100);
/// The number of failed polls up to which the delay before the next one grows.
const MAX_POLL_BACKOFF_STEPS: u32 = 4;

impl Decider {
    /// Sends the polls that are due. Workers with recent events are checked at once, and all
    /// workers are checked at regular intervals.
    pub(super) fn send_polls(&mut self, context: &mut Context<'_>) {
        let poll_candidates = std::mem::take(&mut self.poll_candidates);
        if context.now < self.next_poll_pass_at {
            for id in poll_candidates {
                self.send_poll(context, &id);
            }
            return;
        }
        self.next_poll_pass_at = context.now.saturating_add(MAX_POLL_PASS_INTERVAL);
        let all: Vec<ids::WorkerId> = self.workers.keys().cloned().collect();
        for id in all {
            self.send_poll(context, &id);
        }
    }

    /// Polls the worker if it is due, or updates the time of the next check.
    fn send_poll(&mut self, context: &mut Context<'_>, id: &ids::WorkerId) {
        let options = context.options;
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if let Some(sent_at) = worker.poll_sent_at {
            // A relay host responds to a call within this time unless it has failed.
            let overdue = options.poll_wait + options.worker_call_timeout + RESPONSE_MARGIN;
            let overdue_at = sent_at.saturating_add(overdue);
            if context.now >= overdue_at {
                self.on_poll_response(context, id, sent_at, PollResponse::NoAnswer);
            }
            return;
        }
        if !worker.needs_polls() || worker.info.address.is_empty() {
            return;
        }
        let has_unresolved_run = worker.has_unknown_runs
            || worker.runs.iter().any(|task| is_unresolved(self.runs.get(task)));
        let mut due_at = worker.next_poll_at;
        if worker.ends_received > worker.ends_stored && !has_unresolved_run {
            due_at = due_at.max(worker.last_poll_at.saturating_add(UNSTORED_ENDS_POLL_INTERVAL));
        }
        if context.now < due_at {
            self.next_poll_pass_at = self.next_poll_pass_at.min(due_at);
            return;
        }
        let wait = if has_unresolved_run || worker.awaits_response() {
            time::Duration::ZERO
        } else {
            options.poll_wait
        };
        let is_log_available =
            context.now <= self.confirmed_at.saturating_add(options.lease_extension_without_log);
        // The worker may have restarted since its last report and numbers its ends anew then. Ends of
        // runs that no report has listed must not be acknowledged unseen.
        let is_confirmed = |task| self.runs.get(task).is_some_and(|run| run.is_confirmed);
        let has_recent_report = worker
            .reported_at
            .is_some_and(|at| context.now <= at.saturating_add(MAX_ACKNOWLEDGED_REPORT_AGE));
        let acknowledges_ends = !worker.awaits_response()
            && (has_recent_report || worker.runs.iter().all(is_confirmed));
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        // After a failed poll no lease is extended until the worker responds, so that the end of the
        // leases is known.
        let lease_until_ms = if is_log_available && worker.failed_polls == 0 {
            worker.lease_until_ms(context.now, options)
        } else {
            None
        };
        worker.poll_sent_at = Some(context.now);
        worker.last_poll_at = context.now;
        let operation = WorkerOperation::Poll {
            sent_at: context.now,
            ends_stored: if acknowledges_ends { worker.ends_stored } else { 0 },
            lease_until_ms,
            wait_ms: pier_core::clock::millis(wait),
        };
        let target = Target {
            worker: ids::WorkerId::clone(&worker.info.id),
            incarnation: worker.addressed_incarnation(),
            address: sync::Arc::clone(&worker.info.address),
            token: self.token,
        };
        context.effects.push(Effect::call(target, operation, options));
    }

    /// Handles the response to a poll.
    pub fn on_poll_response(
        &mut self,
        context: &mut Context<'_>,
        id: &ids::WorkerId,
        sent_at: time::Duration,
        response: PollResponse,
    ) {
        self.mark_poll_candidate(id);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let is_current = worker.poll_sent_at == Some(sent_at);
        if is_current {
            worker.poll_sent_at = None;
        }
        match response {
            PollResponse::Report { .. } if worker.last_report_of.is_some_and(|of| of > sent_at) => {
                tracing::info!(worker = %id, "ignored a report that arrived after a later one");
            }
            PollResponse::Fenced => {
                self.deposed = Some("a later decider has contacted a worker");
            }
            // The poll was counted as failed when it became overdue, or was replaced.
            PollResponse::NoAnswer if !is_current => {}
            PollResponse::NoAnswer => {
                worker.failed_polls = worker.failed_polls.saturating_add(1);
                if worker.relay.take().is_some() {
                    worker.relay_failures = worker.relay_failures.wrapping_add(1);
                }
                let backoff = Backoff {
                    first: context.options.poll_retry_delay,
                    max_steps: MAX_POLL_BACKOFF_STEPS,
                };
                let delay = backoff.delay(id, worker.failed_polls);
                worker.next_poll_at = context.now.saturating_add(delay);
                if worker.failed_polls == 1 {
                    tracing::warn!(worker = %id, runs = worker.runs.len(),
                        "worker does not respond");
                }
            }
            PollResponse::Report { clock_ms, incarnation, running, ended, is_incomplete } => {
                worker.last_report_of = Some(sent_at);
                worker.reported_at = Some(context.now);
                self.on_report_header(context, id, sent_at, clock_ms, incarnation);
                self.on_listed_ends(context, id, &ended);
                self.check_listed_runs(context, id, &running);
                // A full report leaves out ends.
                if !is_incomplete && ended.len() < MAX_LISTED_ENDS {
                    self.check_missing_runs(context, id, sent_at, &running);
                }
                self.schedule_poll_of_unresolved_runs(context, id);
            }
        }
    }

    fn on_report_header(
        &mut self,
        context: &mut Context<'_>,
        id: &ids::WorkerId,
        sent_at: time::Duration,
        clock_ms: u64,
        incarnation: Option<WorkerIncarnation>,
    ) {
        let is_other_incarnation = match (self.workers.get(id), incarnation) {
            (Some(worker), Some(incarnation)) => worker.info.incarnation != incarnation,
            _ => false,
        };
        if is_other_incarnation {
            let incarnation = incarnation.unwrap_or_default();
            self.end_incarnation(context, id, incarnation);
            if let Some(worker) = self.workers.get_mut(id) {
                worker.begin_incarnation(incarnation);
            }
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.failed_polls > 0 {
            tracing::info!(worker = %id, "worker responds again");
        }
        worker.failed_polls = 0;
        let is_first_report = !std::mem::replace(&mut worker.has_answered, true);
        worker.confirm_incarnation();
        worker.next_poll_at = context.now;
        worker.record_clock(context.now, clock_ms);
        if is_first_report {
            let address = sync::Arc::clone(&worker.info.address);
            self.end_replaced_workers(context, id, &address, sent_at);
        }
    }

    /// Gives up the workers that served this address before the worker which has just reported. An
    /// address belongs to one process at a time.
    fn end_replaced_workers(
        &mut self,
        context: &mut Context<'_>,
        id: &ids::WorkerId,
        address: &str,
        sent_at: time::Duration,
    ) {
        let mut lost = Vec::new();
        for (other, worker) in &mut self.workers {
            let is_earlier = worker.reported_at.is_none_or(|at| at < sent_at);
            if other == id || *worker.info.address != *address || !is_earlier {
                continue;
            }
            worker.is_replaced = true;
            tracing::info!(worker = %other, by = %id, runs = worker.runs.len(),
                "another worker serves the address");
            lost.extend(worker.runs.iter().cloned());
        }
        for task in lost {
            self.mark_run_lost(context, &task, "another worker serves the address");
        }
    }

    fn on_listed_ends(
        &mut self,
        context: &mut Context<'_>,
        id: &ids::WorkerId,
        ended: &[ListedEnd],
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let ends_received = worker.ends_received;
        let mut newest = ends_received;
        for end in ended {
            if end.sequence <= ends_received {
                continue;
            }
            newest = newest.max(end.sequence);
            self.on_run_ended(context, id, end);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.ends_received = newest;
        if newest > ends_received {
            self.pending_ends.push((ids::WorkerId::clone(id), worker.info.incarnation, newest));
        }
    }

    /// Polls the worker now, in place of the poll in progress, which may wait for an end. The adapter
    /// ends that one when it gets the next.
    pub(super) fn poll_at_once(&mut self, context: &Context<'_>, id: &ids::WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.failed_polls > 0 {
            return;
        }
        worker.poll_sent_at = None;
        worker.next_poll_at = context.now.saturating_add(NEXT_INSTANT);
        self.next_poll_pass_at = self.next_poll_pass_at.min(worker.next_poll_at);
        self.mark_poll_candidate(id);
    }

    fn schedule_poll_of_unresolved_runs(&mut self, context: &Context<'_>, id: &ids::WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let has_unresolved_run = worker.has_unknown_runs
            || worker.runs.iter().any(|task| is_unresolved(self.runs.get(task)));
        if has_unresolved_run {
            worker.next_poll_at = context.now.saturating_add(UNRESOLVED_RUN_POLL_INTERVAL);
        }
    }

    fn check_listed_runs(
        &mut self,
        context: &mut Context<'_>,
        id: &ids::WorkerId,
        running: &[ListedRun],
    ) {
        let mut has_unknown_runs = false;
        for listed in running {
            let is_current = self
                .runs
                .get(&listed.task)
                .is_some_and(|run| run.number == listed.number && run.worker == *id);
            if !is_current {
                has_unknown_runs = true;
                self.stop_unknown_run(context, id, listed);
                continue;
            }
            self.mark_job_started(context, &listed.task);
            if let Some(run) = self.runs.get_mut(&listed.task) {
                run.is_confirmed = true;
                if matches!(run.phase, RunPhase::Unknown { .. }) {
                    run.phase = RunPhase::Running { since: context.now };
                }
            }
            self.check_progress(context, listed);
            let Some(job) = context.cell_state.live.get_mut(&listed.task.job) else {
                continue;
            };
            let is_gang = job.spec.steps[listed.task.step].gang;
            let state_index = if is_gang { 0 } else { listed.task.index };
            let state = &mut job.progress.steps[listed.task.step][state_index];
            if listed.checkpoint.is_some() {
                // The checkpoint is stored with the job's next record.
                state.checkpoint.clone_from(&listed.checkpoint);
            }
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.has_unknown_runs = has_unknown_runs;
        }
    }

    fn stop_unknown_run(
        &mut self,
        context: &mut Context<'_>,
        id: &ids::WorkerId,
        listed: &ListedRun,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        tracing::warn!(job = %listed.task.job, step = listed.task.step, task = listed.task.index,
            run = listed.number, worker = %id, "stopping a run that is not in the cell state");
        let operation = WorkerOperation::Stop { task: listed.task.clone(), number: listed.number };
        context.effects.push(Effect::call(self.target(worker), operation, context.options));
    }

    fn check_missing_runs(
        &mut self,
        context: &mut Context<'_>,
        id: &ids::WorkerId,
        sent_at: time::Duration,
        running: &[ListedRun],
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let listed: Set<&TaskRef> = running.iter().map(|run| &run.task).collect();
        let mut lost = Vec::new();
        let mut unconfirmed = Vec::new();
        for task in &worker.runs {
            if listed.contains(task) {
                continue;
            }
            match self.runs.get(task).map(|run| run.phase) {
                Some(RunPhase::Running { since } | RunPhase::Stopped { since })
                    if sent_at > since =>
                {
                    lost.push(task.clone());
                }
                Some(RunPhase::Unknown { is_fenced: true, .. }) => lost.push(task.clone()),
                // There was neither a response to the start request nor a report that it failed.
                Some(RunPhase::Sent) if self.is_start_overdue(context, task) => {
                    unconfirmed.push(task.clone());
                }
                Some(RunPhase::Unknown { since, is_fenced: false }) if sent_at > since => {
                    unconfirmed.push(task.clone());
                }
                _ => {}
            }
        }
        for task in lost {
            self.mark_run_lost(context, &task, "the worker does not list the run");
        }
        // The start request may still arrive. A stop request prevents the run. The other members of a
        // gang do not wait until it is acknowledged: this one will not join them.
        for task in unconfirmed {
            self.stop_run(&task);
            self.stop_gang(context, &task);
        }
    }

    /// Marks the worker as possibly due for a poll.
    pub(super) fn mark_poll_candidate(&mut self, id: &ids::WorkerId) {
        self.poll_candidates.insert(ids::WorkerId::clone(id));
    }

    fn is_start_overdue(&self, context: &Context<'_>, task: &TaskRef) -> bool {
        let options = context.options;
        let overdue = options.max_decision_age + options.worker_call_timeout + RESPONSE_MARGIN;
        self.runs.get(task).is_some_and(|run| context.now > run.decided_at + overdue)
    }

    /// Removes the runs of unreachable workers whose leases have certainly ended.
    pub(super) fn expire_leases(&mut self, context: &mut Context<'_>) {
        if context.now < self.last_lease_check_at.saturating_add(LEASE_CHECK_INTERVAL) {
            return;
        }
        self.last_lease_check_at = context.now;
        let mut expired: Vec<TaskRef> = Vec::new();
        for worker in self.workers.values() {
            let is_unreachable = worker.failed_polls > 0 || worker.info.address.is_empty();
            if !is_unreachable || context.now <= worker.leases_end_at {
                continue;
            }
            for task in &worker.runs {
                // A run that no report has listed may be in another incarnation.
                let is_confirmed = self.runs.get(task).is_some_and(|run| run.is_confirmed);
                if is_confirmed || context.now > worker.longest_leases_end_at {
                    expired.push(task.clone());
                }
            }
        }
        for task in expired {
            let is_sent = self.runs.get(&task).is_some_and(|run| run.phase != RunPhase::Recording);
            if is_sent {
                self.mark_run_lost(context, &task, "the lease has ended");
            }
        }
        self.workers.retain(|_, worker: &mut Worker| worker.is_listed || !worker.runs.is_empty());
    }
}

/// Whether only a poll can show if the run is alive. The end of a run that a poll has listed is
/// reported at once, also by a long poll.
fn is_unresolved(run: Option<&Run>) -> bool {
    run.is_some_and(|run| match run.phase {
        RunPhase::Unknown { .. } | RunPhase::Stopped { .. } => true,
        RunPhase::Stopping { .. } => !run.is_confirmed,
        _ => false,
    })
}
