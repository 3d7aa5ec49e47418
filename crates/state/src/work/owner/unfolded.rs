//! Tasks of batch jobs that are done and may be lost with the owner of their job.
//!
//! The owner of a job acknowledges an end at once and appends what is done at intervals. When it
//! dies in between, only the owner of the worker or the worker itself still knows of the end.
//! Without it the next owner would run a repeatable task again, and would fail a job that is not
//! repeatable.

use std::collections;
use std::time;

use pier_core::{body, ids, task};

use super::{Ending, Owner};
use crate::work::placement::AttemptId;
use crate::work::{jobs, step};

/// The most ends that are kept. In an outage of the log no progress is appended, so that they would
/// add up; tasks whose ends are dropped may run again if the owner of their job dies.
const MAX_ENDS: usize = 10_000;
/// The interval between looks for ends that the fold has.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Acknowledged ends of tasks that are done and that the fold does not show as done.
#[derive(Debug, Default)]
pub(super) struct UnfoldedEnds {
    ends: collections::BTreeMap<AttemptId, Ending>,
    checked_at: time::Duration,
}

impl UnfoldedEnds {
    /// Keeps an acknowledged end if it could be lost.
    pub(super) fn keep(&mut self, step: &step::Step<'_>, id: &AttemptId, ending: Ending) {
        let is_done = ending.end.as_ref().is_some_and(|end| end.kind == task::EndKind::Done);
        if !is_done || self.ends.len() >= MAX_ENDS || !may_be_lost(step, &id.0) {
            return;
        }
        self.ends.insert(id.clone(), ending);
    }

    /// Lets the ends go that the fold has.
    pub(super) fn tick(&mut self, step: &step::Step<'_>) {
        if self.ends.is_empty() || step.now < self.checked_at + CHECK_INTERVAL {
            return;
        }
        self.checked_at = step.now;
        self.ends.retain(|id, _| may_be_lost(step, &id.0));
    }

    /// Takes out the ends whose job has another owner than the one that acknowledged them.
    pub(super) fn take_moved(&mut self, step: &step::Step<'_>) -> Vec<(AttemptId, Ending)> {
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
    /// Tells the owners of batch jobs of the tasks that a worker which was taken over lists as
    /// done and the fold does not have.
    pub(in crate::work) fn report_listed_ends(
        &mut self,
        step: &mut step::Step<'_>,
        worker: &ids::WorkerId,
        ended: &collections::BTreeMap<AttemptId, task::EndKind>,
    ) {
        for (id, kind) in ended {
            let is_news = !self.ends.contains_key(id) && !self.unfolded.ends.contains_key(id);
            if *kind != task::EndKind::Done || !is_news || !may_be_lost(step, &id.0) {
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

/// Whether the end of a task as done would be lost with the owner of its job: the job is a batch
/// job that goes on, and the fold does not show the task as done.
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
    let behind = fold.done.partition_point(|range| range.end <= index);
    fold.done.get(behind).is_none_or(|range| index < range.first)
}
