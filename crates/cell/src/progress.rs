//! How far an accepted job has come, as the log keeps it.

use pier_core::ids;
use serde::{Deserialize, Serialize};

use crate::job::{JobSpec, JobState, RunNumber, StepIndex, TaskIndex};
use crate::worker::WorkerIncarnation;

/// Where a task stands.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Phase {
    /// It has no run that may be alive.
    #[default]
    Waiting,
    /// A run of it was ordered and may be alive.
    Assigned {
        /// The worker that got the order.
        worker: ids::WorkerId,
        /// The worker's incarnation.
        incarnation: WorkerIncarnation,
    },
    /// A run ended as done.
    Done,
}

/// The durable state of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Task {
    /// Where it stands.
    pub phase: Phase,
    /// The highest run number that was ordered; zero before the first.
    pub last_run: RunNumber,
    /// How many runs ended as failed.
    pub failures: u32,
    /// The highest number of a run that ended as failed. Workers list an end again until a decider
    /// has acknowledged it, and a repeat must not count.
    pub last_failed: RunNumber,
    /// The newest checkpoint.
    pub checkpoint: Option<String>,
}

/// The durable state of a job that has not ended for good.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// The tasks of each step.
    pub steps: Vec<Vec<Task>>,
    /// The final state, once it is certain and while runs are still being stopped.
    pub final_state: Option<JobState>,
    /// Whether a task has ever started.
    pub has_begun: bool,
}

/// A task that differs from a new one: step, index, phase, last run, failures, last failed run,
/// worker, incarnation, checkpoint. The phase is 0 for waiting, 1 for ordered and 2 for done.
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

/// The form of a [`Progress`] in the log.
#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
struct Stored {
    #[serde(skip_serializing_if = "Option::is_none")]
    verdict: Option<JobState>,
    has_begun: bool,
    rows: Vec<Row>,
}

impl Progress {
    /// The state of a job that was just accepted.
    pub fn new(spec: &JobSpec) -> Self {
        let mut steps = Vec::with_capacity(spec.steps.len());
        for step in &spec.steps {
            steps.push(vec![Task::default(); step.tasks]);
        }
        Self { steps, final_state: None, has_begun: false }
    }

    /// What callers are told.
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

    /// Whether the steps that `step` depends on are done.
    pub fn is_ready(&self, spec: &JobSpec, step: StepIndex) -> bool {
        spec.steps
            .get(step)
            .is_some_and(|step| step.after.iter().all(|before| self.is_step_done(*before)))
    }

    /// The bytes for the log.
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
                // A checkpoint of a finished task is of no use any more.
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

    /// Reads what [`Progress::encode`] wrote.
    ///
    /// # Errors
    /// The bytes are not such a record. Rows of tasks that the job does not have are left out.
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
