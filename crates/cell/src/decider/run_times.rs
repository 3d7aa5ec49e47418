//! Learns the speed of workers from run times and progress, and stops stalled runs.

use std::time;

use pier_core::ids;

use crate::decider::{Context, Decider};
use crate::event::ListedRun;
use crate::job::TaskRef;
use crate::run::RunPhase;

/// A run counts as stalled if its progress has not changed for this long, provided that it should
/// have made visible progress by then.
const STALL_AFTER: time::Duration = time::Duration::from_millis(1_000);
/// The fraction of the expected run time within which progress must be visible. Workers report
/// whole percentages.
const MIN_VISIBLE_PROGRESS: f64 = 0.1;
/// A run that is stalled for this long is stopped and restarted on another worker.
const RESTART_AFTER: time::Duration = time::Duration::from_millis(2_000);

impl Decider {
    /// Updates the estimated speeds from a run that has completed.
    pub(super) fn record_run_time(&mut self, context: &Context<'_>, task: &TaskRef) {
        let (Some(run), Some(job)) = (self.runs.get(task), context.cell_state.live.get(&task.job))
        else {
            return;
        };
        let (RunPhase::Running { since }, Some(step)) = (run.phase, job.spec.steps.get(task.step))
        else {
            return;
        };
        let rack = self.workers.get(&run.worker).and_then(|worker| worker.rack());
        let is_data_local = step.data_rack.is_none() || step.data_rack.as_ref() == rack;
        if step.gang {
            if context.options.load.is_any()
                && let Some(took) = self.gang_run_time(context, task, step.tasks)
            {
                self.speeds.record_gang_run_time(&job.spec.queue, took, step.estimate());
            }
            return;
        }
        // A resumed run takes only the rest of its time, and a task away from its data is slower on
        // any worker.
        if run.is_resumed || !is_data_local {
            return;
        }
        let took = context.now.saturating_sub(since);
        self.speeds.record_run_time(
            context.now,
            &job.spec.queue,
            &run.worker,
            took,
            step.estimate(),
        );
    }

    /// How long the members of a gang have run together. None if a member has resumed, if its start
    /// is not known, or if the end of another one was reported before.
    fn gang_run_time(
        &self,
        context: &Context<'_>,
        task: &TaskRef,
        tasks: usize,
    ) -> Option<time::Duration> {
        let mut last_start = time::Duration::ZERO;
        for index in 0..tasks {
            let run = self.runs.get(&TaskRef { index, ..task.clone() })?;
            let RunPhase::Running { since } = run.phase else {
                return None;
            };
            if run.is_resumed {
                return None;
            }
            last_start = last_start.max(since);
        }
        Some(context.now.saturating_sub(last_start))
    }

    /// Updates the estimated speeds from the reported progress of a run, and stops the run if it is
    /// stalled.
    pub(super) fn check_progress(&mut self, context: &Context<'_>, listed: &ListedRun) {
        let (Some(run), Some(job)) =
            (self.runs.get_mut(&listed.task), context.cell_state.live.get(&listed.task.job))
        else {
            return;
        };
        let (RunPhase::Running { since }, Some(percent), Some(step)) =
            (run.phase, listed.percent, job.spec.steps.get(listed.task.step))
        else {
            return;
        };
        // Members of a gang also make no progress while they wait for one another.
        if step.gang {
            return;
        }
        let first = if percent == 0 { since } else { context.now };
        let (last_percent, moved_at) = *run.progress.get_or_insert((percent, first));
        if percent != last_percent {
            run.progress = Some((percent, context.now));
            self.speeds.clear_stall(&run.worker);
            return;
        }
        let stalled_for = context.now.saturating_sub(moved_at);
        let expected = self.speeds.expected(&job.spec.queue, step.estimate());
        if stalled_for < STALL_AFTER || stalled_for < expected.mul_f64(MIN_VISIBLE_PROGRESS) {
            return;
        }
        let worker = ids::WorkerId::clone(&run.worker);
        let still_ms = pier_core::clock::millis(stalled_for);
        let is_stopped = stalled_for >= RESTART_AFTER;
        tracing::warn!(job = %listed.task.job, step = listed.task.step, task = listed.task.index,
            run = listed.number, worker = %worker, percent, still_ms, is_stopped,
            "run is stalled");
        self.speeds.mark_stalled(context.now, &worker);
        if is_stopped {
            self.stop_run(&listed.task);
        }
    }
}
