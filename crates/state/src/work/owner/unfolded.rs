//! Ends of finished batch job tasks that could be lost with the owner of the job.
//!
//! A job owner acknowledges an end at once but appends the finished tasks to the log at intervals.
//! If it fails in between, only the worker owner or the worker itself still knows of the end.
//! Without it the next job owner would run a repeatable task again, and would fail a job that is
//! not repeatable.

use std::collections;
use std::time;

use pier_core::{body, ids, task};

use super::{AttemptEnd, Owner};
use crate::work::placement::AttemptId;
use crate::work::{jobs, step};

/// The maximum number of ends that are kept. No progress is appended during an outage of the log,
/// so ends would accumulate. Tasks whose ends are dropped may run again if their job owner fails.
const MAX_ENDS: usize = 10_000;
/// The interval between checks for ends that the folded log includes.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Acknowledged ends of finished tasks that the folded log does not show as done.
#[derive(Debug, Default)]
pub(super) struct UnfoldedEnds {
    ends: collections::BTreeMap<AttemptId, AttemptEnd>,
    checked_at: time::Duration,
}

impl UnfoldedEnds {
    /// Keeps an acknowledged end if it could be lost.
    pub(super) fn keep(&mut self, step: &step::Step<'_>, id: &AttemptId, ending: AttemptEnd) {
        let is_done = ending.end.as_ref().is_some_and(|end| end.kind == task::EndKind::Done);
        if !is_done || self.ends.len() >= MAX_ENDS || !may_be_lost(step, &id.0) {
            return;
        }
        self.ends.insert(id.clone(), ending);
    }

    /// Drops the ends that the folded log now includes.
    pub(super) fn tick(&mut self, step: &step::Step<'_>) {
        if self.ends.is_empty() || step.now < self.checked_at + CHECK_INTERVAL {
            return;
        }
        self.checked_at = step.now;
        self.ends.retain(|id, _| may_be_lost(step, &id.0));
    }

    /// Removes and returns the ends whose job has moved away from the owner that acknowledged them.
    pub(super) fn take_moved(&mut self, step: &step::Step<'_>) -> Vec<(AttemptId, AttemptEnd)> {
        let mut moved = Vec::new();
        for (id, ending) in std::mem::take(&mut self.ends) {
            let home = ending.job.as_ref().and_then(|job| step.cluster.home_of(job));
            if home == Some(&ending.origin) {
                self.ends.insert(id, ending);
            } else if may_be_lost(step, &id.0) {
                moved.push((id, ending));
            }
        }
        moved
    }
}

impl Owner {
    /// Reports to the owners of batch jobs the tasks that a taken-over worker lists as done and the
    /// folded log does not.
    pub(in crate::work) fn report_listed_ends(
        &mut self,
        step: &mut step::Step<'_>,
        worker: &ids::WorkerId,
        ended: &collections::BTreeMap<AttemptId, task::EndKind>,
    ) {
        for (id, kind) in ended {
            let is_unknown = !self.ends.contains_key(id) && !self.unfolded.ends.contains_key(id);
            if *kind != task::EndKind::Done || !is_unknown || !may_be_lost(step, &id.0) {
                continue;
            }
            let Some((job, _)) = jobs::split_task(&id.0) else {
                continue;
            };
            let Some(home) = step.cluster.home_of(&job).cloned() else {
                continue;
            };
            let end = task::TaskEnd { kind: *kind, body: body::Body::default() };
            self.report_end(step, id.clone(), home, Some(job), Some(end), worker.clone());
        }
    }
}

/// Whether a finished task would be forgotten if the owner of its job failed: the job is an
/// unfinished batch job, and the folded log does not show the task as done.
fn may_be_lost(step: &step::Step<'_>, id: &ids::TaskId) -> bool {
    let Some((job, index)) = jobs::split_task(id) else {
        return false;
    };
    let Some(fold) = step.cluster.jobs.get(&job) else {
        return false;
    };
    if fold.phase.is_some() || fold.record.class != task::Class::Batch {
        return false;
    }
    // The ranges are sorted and do not touch.
    let next = fold.done.partition_point(|range| range.end <= index);
    fold.done.get(next).is_none_or(|range| index < range.first)
}
