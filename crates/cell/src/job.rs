//! Jobs, steps and tasks as callers submit them.

use std::sync;
use std::time;

use pier_core::ids;
use pier_core::resources::{self, Resources};
use serde::{Deserialize, Deserializer, Serialize, de};

/// The name of a client account.
pub type AccountId = sync::Arc<str>;
/// The longest job id in bytes. Log keys and task names contain the id.
pub const MAX_JOB_ID_BYTES: usize = 64;
/// The greatest number of tasks of a job. A host allocates memory for each.
pub const MAX_TASKS_PER_JOB: usize = 4_096;
/// A label of a worker.
pub type Label = sync::Arc<str>;
/// The index of a step in its job.
pub type StepIndex = usize;
/// The index of a task in its step.
pub type TaskIndex = usize;
/// The number of a task's run. The first run is number one.
pub type RunNumber = u32;

/// A step: tasks of equal size that may start once all steps in `after` are done.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// The number of tasks.
    pub tasks: TaskIndex,
    /// The resources that each task uses on its worker.
    #[serde(with = "resources::positional")]
    pub need: Resources,
    /// The submitter's rough estimate of a task's run time.
    pub estimate_ms: u64,
    /// The indexes of the earlier steps that must be done before this step starts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<StepIndex>,
    /// The tasks can make progress only while all of them are running.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// The tasks of the gang run slower when they are spread over several racks.
    #[serde(skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// The tasks write checkpoints and can resume from them.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpointing: bool,
    /// A label that a worker must have to run the tasks.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub required_label: Option<Label>,
    /// The rack that holds the step's data. Tasks on other racks run slower.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<Label>,
    /// The maximum number of tasks of the step on one worker.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub spread_limit: Option<usize>,
    /// Several copies of a task may run at the same time.
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

/// Whether a job may have this id: one to [`MAX_JOB_ID_BYTES`] ASCII letters, digits, hyphens and
/// underscores. Names of tasks are composed of the id and numbers that are separated by dots.
pub fn is_valid_job_id(id: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    !id.is_empty() && id.len() <= MAX_JOB_ID_BYTES && id.bytes().all(is_allowed)
}

/// A job as it was submitted. It does not change once it is accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The id that the submitter chose. A repeated submission with the same id is the same job.
    pub id: ids::JobId,
    /// The queue that the job was submitted to.
    pub queue: ids::QueueId,
    /// The client account whose key the submission carried, or none on an open queue.
    pub account: Option<AccountId>,
    /// Opaque text that is passed unchanged to the worker with each task.
    pub payload: sync::Arc<str>,
    /// The steps in topological order: each comes after the steps that it depends on.
    #[serde(deserialize_with = "checked_steps")]
    pub steps: Vec<Step>,
}

/// Who a request for a job comes from: the queue that its path names, and the account of its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requester {
    /// The queue.
    pub queue: ids::QueueId,
    /// The client account, or none on an open queue.
    pub account: Option<AccountId>,
}

impl Requester {
    /// Whether it may see and change a job of this account. `is_same_queue` tells whether the job's
    /// queue is the one that the requester's path names, or was replaced by that one.
    pub fn may_access(&self, account: Option<&AccountId>, is_same_queue: bool) -> bool {
        match (account, &self.account) {
            // The job was submitted to an open queue.
            (None, _) => true,
            (Some(owner), Some(account)) => owner == account,
            // The job's queue has been opened since.
            (Some(_), None) => is_same_queue,
        }
    }
}

/// Decodes steps and checks their order and the number of their tasks.
fn checked_steps<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Step>, D::Error> {
    let steps = Vec::<Step>::deserialize(deserializer)?;
    let mut tasks: usize = 0;
    for (index, step) in steps.iter().enumerate() {
        tasks = tasks.saturating_add(step.tasks);
        if step.after.iter().any(|before| *before >= index) {
            return Err(de::Error::custom("a step may only depend on earlier steps"));
        }
    }
    if tasks > MAX_TASKS_PER_JOB {
        return Err(de::Error::custom("the job has too many tasks"));
    }
    Ok(steps)
}

impl JobSpec {
    /// Who the submission came from.
    pub fn requester(&self) -> Requester {
        Requester { queue: ids::QueueId::clone(&self.queue), account: self.account.clone() }
    }

    /// The estimated run time of the longest chain of dependent steps.
    pub fn critical_path(&self) -> time::Duration {
        let mut longest = time::Duration::ZERO;
        for left in self.remaining_critical_paths() {
            longest = longest.max(left);
        }
        longest
    }

    /// For each step, the estimated run time of the longest chain that starts with the step.
    pub fn remaining_critical_paths(&self) -> Vec<time::Duration> {
        self.remaining_critical_paths_by(Step::estimate)
    }

    /// The same with other run times of the steps than the estimated ones.
    pub fn remaining_critical_paths_by(
        &self,
        run_time: impl Fn(&Step) -> time::Duration,
    ) -> Vec<time::Duration> {
        let mut critical_paths: Vec<time::Duration> = self.steps.iter().map(&run_time).collect();
        // A step depends on earlier steps only, so in reverse order the paths of all its dependents
        // are complete.
        for index in (0..self.steps.len()).rev() {
            for before in &self.steps[index].after {
                let before_time = run_time(&self.steps[*before]);
                let through = before_time.saturating_add(critical_paths[index]);
                critical_paths[*before] = critical_paths[*before].max(through);
            }
        }
        critical_paths
    }
}

/// Identifies a task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskRef {
    /// The job.
    pub job: ids::JobId,
    /// The index of the step.
    pub step: StepIndex,
    /// The index of the task in the step.
    pub index: TaskIndex,
}

/// The state of a job as reported to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// The job is accepted and no task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task or a gang has failed as many times as its queue allows.
    Failed,
    /// The submitter cancelled the job.
    Cancelled,
}

impl JobState {
    /// Whether the state is final.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
