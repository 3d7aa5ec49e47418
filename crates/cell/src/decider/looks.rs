//! Looks at workers: they extend the leases and tell what runs and what has ended.

use std::sync;
use std::time;

use pier_core::ids;
use pier_core::map::Set;

use crate::decider::{Context, Decider};
use crate::effect::{Effect, Target, WorkerOperation};
use crate::event::{ListedEnd, ListedRun, PollResponse};
use crate::job::TaskRef;
use crate::run::{Run, RunPhase};
use crate::worker::{Entry, Life, Worker};

/// The pause between looks while a run's fate is open.
const OPEN_RUN_PAUSE: time::Duration = time::Duration::from_millis(100);
/// The pause between looks while the log has not taken the ends that were read. The worker lists them
/// again at once, but its leases must be extended all the same.
const UNSTORED_PAUSE: time::Duration = time::Duration::from_millis(1_000);
/// How much later than its own time limit the answer to a call may come.
const REPLY_PATIENCE: time::Duration = time::Duration::from_millis(1_000);
/// The longest time between two passes over all workers.
const LONGEST_TIMER: time::Duration = time::Duration::from_millis(200);
/// The pause between passes over workers whose leases may have ended.
const LEASE_CHECK_PAUSE: time::Duration = time::Duration::from_millis(100);
/// A worker lists at most so many ends at once, so a run that is missing may be among the others.
const MOST_LISTED_ENDS: usize = 500;
/// After so many failed looks no lease is extended any more, so that it is known when they end.
const LOOKS_WITH_LEASE: u32 = 2;
/// The most pauses that are added up after failed looks.
const MOST_PAUSES: u32 = 4;

impl Decider {
    /// Sends the looks that are due: those at workers of which something was heard or that were sent
    /// something, and from time to time at all others.
    pub(super) fn send_looks(&mut self, context: &mut Context<'_>) {
        let touched = std::mem::take(&mut self.touched);
        if context.now < self.look_timer_at {
            for id in touched {
                self.send_look(context, &id);
            }
            return;
        }
        self.look_timer_at = context.now.saturating_add(LONGEST_TIMER);
        let all: Vec<ids::WorkerId> = self.workers.keys().cloned().collect();
        for id in all {
            self.send_look(context, &id);
        }
    }

    /// Sends a look at the worker if it is due, or notes when it will be.
    fn send_look(&mut self, context: &mut Context<'_>, id: &ids::WorkerId) {
        let options = context.options;
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if let Some(sent_at) = worker.look_sent_at {
            // A call that another host makes is answered by it in time, or it is gone.
            let overdue = options.poll_wait + options.worker_call_timeout + REPLY_PATIENCE;
            let overdue_at = sent_at.saturating_add(overdue);
            if context.now >= overdue_at {
                self.on_look_answered(context, id, sent_at, PollResponse::NoAnswer);
            }
            return;
        }
        let is_wanted = !worker.runs.is_empty() || (worker.is_listed && !worker.is_contacted);
        if !is_wanted || worker.entry.address.is_empty() {
            return;
        }
        let mut due_at = worker.look_due_at;
        if worker.ends_read > worker.ends_stored {
            due_at = due_at.max(worker.looked_at.saturating_add(UNSTORED_PAUSE));
        }
        if context.now < due_at {
            self.look_timer_at = self.look_timer_at.min(due_at);
            return;
        }
        let is_open = worker.runs.iter().any(|task| is_fate_open(self.runs.get(task)));
        let wait =
            if is_open || !worker.is_contacted { time::Duration::ZERO } else { options.poll_wait };
        let has_log =
            context.now <= self.last_stored_at.saturating_add(options.lease_extension_without_log);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let lease_until_ms = if has_log && worker.failed_looks < LOOKS_WITH_LEASE {
            worker.lease_until_ms(context.now, options)
        } else {
            None
        };
        worker.look_sent_at = Some(context.now);
        worker.looked_at = context.now;
        let operation = WorkerOperation::Poll {
            sent_at: context.now,
            // After a failed look another incarnation may answer, with ends of its own.
            ends_stored: if worker.failed_looks == 0 { worker.ends_stored } else { 0 },
            lease_until_ms,
            wait_ms: pier_core::clock::millis(wait),
        };
        let target = Target {
            worker: ids::WorkerId::clone(&worker.entry.id),
            address: sync::Arc::clone(&worker.entry.address),
            token: self.token,
        };
        context.effects.push(Effect::call(target, operation, options));
    }

    /// Takes the answer to a look.
    pub fn on_look_answered(
        &mut self,
        context: &mut Context<'_>,
        id: &ids::WorkerId,
        sent_at: time::Duration,
        answer: PollResponse,
    ) {
        self.touch(id);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.look_sent_at == Some(sent_at) {
            worker.look_sent_at = None;
        }
        match answer {
            PollResponse::Fenced => {
                self.deposed = Some("a worker has heard from a later decider");
            }
            PollResponse::NoAnswer => {
                worker.failed_looks = worker.failed_looks.saturating_add(1);
                if worker.carrier.take().is_some() {
                    worker.carrier_turn = worker.carrier_turn.wrapping_add(1);
                }
                let pauses = worker.failed_looks.min(MOST_PAUSES);
                worker.look_due_at =
                    context.now.saturating_add(context.options.poll_retry_delay * pauses);
                if worker.failed_looks == 1 {
                    tracing::warn!(worker = %id, runs = worker.runs.len(), "worker lost");
                }
            }
            PollResponse::Report { clock_ms, incarnation, running, ended } => {
                self.on_report(context, id, sent_at, clock_ms, incarnation, &running, &ended);
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one report")]
    fn on_report(
        &mut self,
        context: &mut Context<'_>,
        id: &ids::WorkerId,
        sent_at: time::Duration,
        clock_ms: u64,
        life: Option<Life>,
        running: &[ListedRun],
        ended: &[ListedEnd],
    ) {
        let is_other_life = match (self.workers.get(id), life) {
            (Some(worker), Some(life)) => worker.entry.life != life,
            _ => false,
        };
        if is_other_life {
            let life = life.unwrap_or_default();
            self.end_life(context, id, life);
            if let Some(worker) = self.workers.get_mut(id) {
                let entry = Entry { life, ..worker.entry.clone() };
                worker.begin_life(entry);
            }
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.failed_looks > 0 {
            tracing::info!(worker = %id, "worker regained");
        }
        worker.failed_looks = 0;
        worker.is_contacted = true;
        worker.look_due_at = context.now;
        worker.note_clock(context.now, clock_ms);
        let ends_read = worker.ends_read;
        let mut newest = ends_read;
        for end in ended {
            if end.sequence <= ends_read {
                continue;
            }
            newest = newest.max(end.sequence);
            self.on_end(context, id, end);
        }
        self.check_listed_runs(context, id, running);
        if ended.len() < MOST_LISTED_ENDS {
            self.check_missing_runs(context, id, sent_at, running);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.ends_read = newest;
        if newest > ends_read {
            self.ends.push((ids::WorkerId::clone(id), worker.entry.life, newest));
        }
        if worker.runs.iter().any(|task| is_fate_open(self.runs.get(task))) {
            worker.look_due_at = context.now.saturating_add(OPEN_RUN_PAUSE);
        }
    }

    fn check_listed_runs(
        &mut self,
        context: &mut Context<'_>,
        id: &ids::WorkerId,
        running: &[ListedRun],
    ) {
        for listed in running {
            let is_current = self
                .runs
                .get(&listed.task)
                .is_some_and(|run| run.number == listed.number && run.worker == *id);
            if !is_current {
                self.stop_stray(context, id, listed);
                continue;
            }
            if let Some(run) = self.runs.get_mut(&listed.task) {
                run.is_listed = true;
                if matches!(run.phase, RunPhase::Unknown { .. }) {
                    run.phase = RunPhase::Running { since: context.now };
                }
            }
            self.note_progress(context, listed);
            let Some(job) = context.ledger.live.get_mut(&listed.task.job) else {
                continue;
            };
            let is_gang = job.spec.steps[listed.task.step].gang;
            let keeper = if is_gang { 0 } else { listed.task.index };
            let kept = &mut job.progress.steps[listed.task.step][keeper];
            if listed.checkpoint.is_some() {
                // It goes to the log with the job's next record.
                kept.checkpoint.clone_from(&listed.checkpoint);
            }
        }
    }

    fn stop_stray(&mut self, context: &mut Context<'_>, id: &ids::WorkerId, listed: &ListedRun) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        tracing::warn!(job = %listed.task.job, step = listed.task.step, task = listed.task.index,
            run = listed.number, worker = %id, "stopping a run that is not in the ledger");
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
        let mut late = Vec::new();
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
                // Nothing was heard of the start, not even that no answer came.
                Some(RunPhase::Sent) if self.is_start_overdue(context, task) => {
                    late.push(task.clone());
                }
                Some(RunPhase::Unknown { since, is_fenced: false }) if sent_at > since => {
                    late.push(task.clone());
                }
                _ => {}
            }
        }
        for task in lost {
            self.lose_run(context, &task, "the worker does not list it");
        }
        // The order may still be under way; a stop bars it.
        for task in late {
            self.stop_run(&task);
        }
    }

    /// Notes that a look at the worker may be due.
    pub(super) fn touch(&mut self, id: &ids::WorkerId) {
        self.touched.insert(ids::WorkerId::clone(id));
    }

    fn is_start_overdue(&self, context: &Context<'_>, task: &TaskRef) -> bool {
        let options = context.options;
        let overdue = options.max_decision_age + options.worker_call_timeout + REPLY_PATIENCE;
        self.runs.get(task).is_some_and(|run| context.now > run.decided_at + overdue)
    }

    /// Gives up the runs of workers whose leases have certainly ended.
    pub(super) fn settle_leases(&mut self, context: &mut Context<'_>) {
        if context.now < self.leases_checked_at.saturating_add(LEASE_CHECK_PAUSE) {
            return;
        }
        self.leases_checked_at = context.now;
        let mut lapsed: Vec<TaskRef> = Vec::new();
        for worker in self.workers.values() {
            let is_silent = worker.failed_looks > 0 || worker.entry.address.is_empty();
            if is_silent && context.now > worker.leases_end_at {
                lapsed.extend(worker.runs.iter().cloned());
            }
        }
        for task in lapsed {
            let is_sent = self.runs.get(&task).is_some_and(|run| run.phase != RunPhase::Recording);
            if is_sent {
                self.lose_run(context, &task, "the lease has ended");
            }
        }
        self.workers.retain(|_, worker: &mut Worker| worker.is_listed || !worker.runs.is_empty());
    }
}

/// Whether only the next look tells if the run is alive.
fn is_fate_open(run: Option<&Run>) -> bool {
    run.is_some_and(|run| matches!(run.phase, RunPhase::Unknown { .. } | RunPhase::Stopped { .. }))
}
