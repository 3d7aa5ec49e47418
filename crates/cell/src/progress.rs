//! The durable progress of accepted jobs, as stored in the log.

use pier_core::ids;
use serde::{Deserialize, Serialize};

use crate::job::{JobSpec, JobState, RunNumber, StepIndex, TaskIndex};
use crate::worker::WorkerIncarnation;

/// The longest id of a worker in bytes. Ids are printable ASCII without quotes.
pub const MAX_WORKER_ID_BYTES: usize = 64;
/// The longest checkpoint in bytes. Checkpoints are printable ASCII without quotes.
pub const MAX_CHECKPOINT_BYTES: usize = 64;
/// The longest stored row of a task: nine values with their separators, of which two are strings.
const MAX_ROW_BYTES: usize = 80 + MAX_WORKER_ID_BYTES + MAX_CHECKPOINT_BYTES;
/// The longest stored progress without its rows.
const MAX_STORED_HEADER_BYTES: usize = 80;

/// Whether a text can be kept as a checkpoint.
pub fn is_valid_checkpoint(text: &str) -> bool {
    let is_allowed = |byte: u8| (b' '..=b'~').contains(&byte) && byte != b'"' && byte != b'\\';
    text.len() <= MAX_CHECKPOINT_BYTES && text.bytes().all(is_allowed)
}

/// The phase of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Phase {
    /// The task has no run that may be alive.
    #[default]
    Waiting,
    /// A run of the task was requested and may be alive.
    Assigned {
        /// The worker that was asked to run the task.
        worker: ids::WorkerId,
        /// The incarnation of the worker.
        incarnation: WorkerIncarnation,
    },
    /// A run of the task completed.
    Done,
}

/// The durable state of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Task {
    /// The phase of the task.
    pub phase: Phase,
    /// The highest run number that was requested, or zero before the first run.
    pub last_run: RunNumber,
    /// The number of runs that failed.
    pub failures: u32,
    /// The highest number of a failed run. Workers report the end of a run again until a decider
    /// has acknowledged it, and a repeated report must not count as another failure.
    pub last_failed: RunNumber,
    /// The latest checkpoint.
    pub checkpoint: Option<String>,
}

/// The durable state of a job that has not ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// The tasks of each step.
    pub steps: Vec<Vec<Task>>,
    /// The final state once it is determined. Runs of the job may still be stopping.
    pub final_state: Option<JobState>,
    /// Whether a task has ever started.
    pub has_begun: bool,
}

/// The stored form of a task that differs from a new one: step, index, phase, last run, failures,
/// last failed run, worker, incarnation, checkpoint. The phase is 0 for waiting, 1 for assigned and
/// 2 for done.
#[derive(Serialize, Deserialize)]
struct Row(
    StepIndex,
    TaskIndex,
    u8,
    RunNumber,
    u32,
    RunNumber,
    ids::WorkerId,
    WorkerIncarnation,
    Option<String>,
);

/// The stored form of a [`Progress`].
#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
struct Stored {
    #[serde(skip_serializing_if = "Option::is_none")]
    verdict: Option<JobState>,
    has_begun: bool,
    rows: Vec<Row>,
}

impl Progress {
    /// The progress of a job that was just accepted.
    pub fn new(spec: &JobSpec) -> Self {
        let mut steps = Vec::with_capacity(spec.steps.len());
        for step in &spec.steps {
            steps.push(vec![Task::default(); step.tasks]);
        }
        Self { steps, final_state: None, has_begun: false }
    }

    /// The state of the job as reported to callers.
    pub fn state(&self) -> JobState {
        match self.final_state {
            Some(final_state) => final_state,
            None if self.has_begun => JobState::Running,
            None => JobState::Queued,
        }
    }

    /// Whether every task of the step is done.
    pub fn is_step_done(&self, step: StepIndex) -> bool {
        self.steps.get(step).is_some_and(|tasks| tasks.iter().all(|task| task.phase == Phase::Done))
    }

    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        (0..self.steps.len()).all(|step| self.is_step_done(step))
    }

    /// Whether a task that is not done has failed this many times.
    pub fn is_exhausted(&self, attempts: u32) -> bool {
        let is_exhausted = |task: &Task| task.failures >= attempts && task.phase != Phase::Done;
        self.steps.iter().any(|tasks| tasks.iter().any(is_exhausted))
    }

    /// Whether all steps that `step` depends on are done.
    pub fn is_ready(&self, spec: &JobSpec, step: StepIndex) -> bool {
        spec.steps
            .get(step)
            .is_some_and(|step| step.after.iter().all(|before| self.is_step_done(*before)))
    }

    /// The longest that [`Progress::encode`] returns for the job at any time.
    pub fn max_encoded_bytes(spec: &JobSpec) -> usize {
        let mut tasks: usize = 0;
        for step in &spec.steps {
            tasks = tasks.saturating_add(step.tasks);
        }
        tasks.saturating_mul(MAX_ROW_BYTES).saturating_add(MAX_STORED_HEADER_BYTES)
    }

    /// Serializes the progress for the log.
    pub fn encode(&self) -> Vec<u8> {
        let mut stored =
            Stored { verdict: self.final_state, has_begun: self.has_begun, rows: Vec::new() };
        for (step, tasks) in self.steps.iter().enumerate() {
            for (index, task) in tasks.iter().enumerate() {
                if *task == Task::default() {
                    continue;
                }
                let (phase, worker, incarnation) = match &task.phase {
                    Phase::Waiting => (0, "".into(), 0),
                    Phase::Assigned { worker, incarnation } => {
                        (1, ids::WorkerId::clone(worker), *incarnation)
                    }
                    Phase::Done => (2, "".into(), 0),
                };
                // The checkpoint of a finished task is not needed any more.
                let checkpoint = if phase == 2 { None } else { task.checkpoint.clone() };
                stored.rows.push(Row(
                    step,
                    index,
                    phase,
                    task.last_run,
                    task.failures,
                    task.last_failed,
                    worker,
                    incarnation,
                    checkpoint,
                ));
            }
        }
        serde_json::to_vec(&stored).expect("a progress record has only string keys")
    }

    /// Deserializes the output of [`Progress::encode`]. Rows of tasks that the job does not have
    /// are ignored.
    ///
    /// # Errors
    /// The bytes are not a valid progress record.
    pub fn decode(spec: &JobSpec, bytes: &[u8]) -> serde_json::Result<Self> {
        let stored: Stored = serde_json::from_slice(bytes)?;
        let mut progress = Self::new(spec);
        progress.final_state = stored.verdict;
        progress.has_begun = stored.has_begun;
        for row in stored.rows {
            let Row(
                step,
                index,
                phase,
                last_run,
                failures,
                last_failed,
                worker,
                incarnation,
                checkpoint,
            ) = row;
            let Some(task) = progress.steps.get_mut(step).and_then(|tasks| tasks.get_mut(index))
            else {
                continue;
            };
            let phase = match phase {
                1 => Phase::Assigned { worker, incarnation },
                2 => Phase::Done,
                _ => Phase::Waiting,
            };
            *task = Task { phase, last_run, failures, last_failed, checkpoint };
        }
        Ok(progress)
    }
}
