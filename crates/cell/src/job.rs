//! What callers submit.

use std::sync;
use std::time;

use pier_core::ids;
use pier_core::resources::{self, Resources};
use serde::{Deserialize, Serialize};

/// The name of a client account.
pub type AccountId = sync::Arc<str>;
/// A worker's label.
pub type Label = sync::Arc<str>;
/// The position of a step in its job.
pub type StepIndex = usize;
/// The position of a task in its step.
pub type TaskIndex = usize;
/// The number of a task's start, counted from one.
pub type RunNumber = u32;

/// A step: tasks of one size that may start when the steps in `after` are done.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// How many tasks the step has.
    pub tasks: TaskIndex,
    /// What each task takes of its worker.
    #[serde(with = "resources::positional")]
    pub need: Resources,
    /// The submitter's rough estimate of a task's run time.
    pub estimate_ms: u64,
    /// Earlier steps all of whose tasks must be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<StepIndex>,
    /// The tasks work only while all of them are present.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// The gang is slower when it spans racks.
    #[serde(skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// The tasks save checkpoints.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpointing: bool,
    /// A label that the worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub required_label: Option<Label>,
    /// The rack of the step's data; tasks elsewhere are slower.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<Label>,
    /// The most tasks of the step on one worker.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub spread_limit: Option<usize>,
    /// Copies of a task may run side by side.
    #[serde(skip_serializing_if = "is_false")]
    pub allow_duplicates: bool,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_false(value: &bool) -> bool {
    !*value
}

impl Step {
    /// The estimated run time of a task.
    pub fn estimate(&self) -> time::Duration {
        time::Duration::from_millis(self.estimate_ms)
    }
}

/// A job as it was submitted. It never changes after it was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The id that the submitter chose; a repeat with the same id is the same job.
    pub id: ids::JobId,
    /// The queue that it was submitted to.
    pub queue: ids::QueueId,
    /// The client account whose key came with it; none on an open queue.
    pub account: Option<AccountId>,
    /// Text that workers get unchanged with each task.
    pub payload: sync::Arc<str>,
    /// The steps, each after those that it depends on.
    pub steps: Vec<Step>,
}

impl JobSpec {
    /// The work of the longest chain of dependent steps, by the estimates.
    pub fn critical_path(&self) -> time::Duration {
        let mut longest = time::Duration::ZERO;
        for left in self.remaining_critical_paths() {
            longest = longest.max(left);
        }
        longest
    }

    /// For each step the work of the longest chain that begins with it, by the estimates.
    pub fn remaining_critical_paths(&self) -> Vec<time::Duration> {
        let mut critical_paths: Vec<time::Duration> =
            self.steps.iter().map(Step::estimate).collect();
        // A step comes after earlier ones only, so the later ones are complete.
        for index in (0..self.steps.len()).rev() {
            for before in &self.steps[index].after {
                let through = self.steps[*before].estimate().saturating_add(critical_paths[index]);
                critical_paths[*before] = critical_paths[*before].max(through);
            }
        }
        critical_paths
    }
}

/// A task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskRef {
    /// The job.
    pub job: ids::JobId,
    /// The step.
    pub step: StepIndex,
    /// The task's position in the step.
    pub index: TaskIndex,
}

/// What callers are told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Accepted; no task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task or a gang has failed as often as its queue allows.
    Failed,
    /// Cancelled by its submitter.
    Cancelled,
}

impl JobState {
    /// Whether the state is final.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
