//! The state that the records of the cell's log yield: the decider and every job.

use std::collections::BTreeMap;
use std::sync;

use pier_core::ids;

use crate::job::{JobSpec, JobState, Requester};
use crate::progress::Progress;
use crate::record::{Change, Claim, EndedJob, JobRecord, LoadRecord, Record, Withdrawal};
use crate::terms::Terms;

/// A job that has not ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveJob {
    /// Milliseconds since the Unix epoch at which it was accepted or, if admission control had
    /// rejected it before, at which it was first submitted.
    pub accepted_wall_ms: u64,
    /// What was submitted.
    pub spec: sync::Arc<JobSpec>,
    /// The job's progress.
    pub progress: Progress,
}

/// A claim and the fencing token from its position in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoggedClaim {
    /// The claim.
    pub claim: Claim,
    /// The fencing token: the claim's offset plus one, so at least one.
    pub token: u64,
}

/// The state of a cell, as derived from its log.
#[derive(Debug, Clone, Default)]
pub struct CellState {
    /// The current decider.
    pub decider: Option<LoggedClaim>,
    /// The jobs that may still have work.
    pub live: BTreeMap<ids::JobId, LiveJob>,
    /// The jobs that have ended and are still retained.
    pub ended: BTreeMap<ids::JobId, EndedJob>,
    /// The ids of jobs that were cancelled before a submission of them arrived. To callers
    /// these jobs do not exist.
    pub withdrawn: BTreeMap<ids::JobId, Withdrawal>,
    /// The terms of the queues and accounts of jobs.
    pub terms: Terms,
    /// What deciders have learned about the load.
    pub load: Option<LoadRecord>,
}

impl CellState {
    /// Applies the record at `offset`. Applying a record more than once is harmless.
    pub fn apply(&mut self, offset: ids::Offset, record: &Record) {
        match record.to_change() {
            Ok(Some(change)) => self.apply_change(offset, change),
            Ok(None) => {}
            Err(error) => {
                tracing::error!(%error, offset, "skipped an undecodable record")
            }
        }
    }

    fn apply_change(&mut self, offset: ids::Offset, change: Change) {
        match change {
            Change::Claim(claim) => {
                self.decider =
                    claim.map(|claim| LoggedClaim { claim, token: offset.saturating_add(1) });
            }
            Change::BatchHeader(_) => {}
            Change::Load(learned) => self.load = learned,
            Change::Queue(name, Some(queue)) => {
                self.terms.queues.insert(name, queue);
            }
            Change::Queue(name, None) => {
                self.terms.queues.remove(&name);
            }
            Change::Account(name, Some(account)) => {
                self.terms.accounts.insert(name, account);
            }
            Change::Account(name, None) => {
                self.terms.accounts.remove(&name);
            }
            Change::Job(id, None) => {
                self.live.remove(&id);
                self.ended.remove(&id);
                self.withdrawn.remove(&id);
            }
            Change::Job(id, Some(JobRecord::Withdrawn(withdrawal))) => {
                self.withdrawn.insert(id, withdrawal);
            }
            Change::Job(id, Some(JobRecord::Accepted { accepted_wall_ms, spec })) => {
                let progress = Progress::new(&spec);
                self.ended.remove(&id);
                self.withdrawn.remove(&id);
                self.live.insert(id, LiveJob { accepted_wall_ms, spec, progress });
            }
            Change::Job(id, Some(JobRecord::Ended(ended))) => {
                self.live.remove(&id);
                self.ended.insert(id, ended);
            }
            Change::Progress(_, None) => {}
            Change::Progress(id, Some(bytes)) => {
                let Some(job) = self.live.get_mut(&id) else {
                    return;
                };
                match Progress::decode(&job.spec, &bytes) {
                    Ok(progress) => job.progress = progress,
                    Err(error) => {
                        tracing::error!(%error, job = %id, offset, "skipped undecodable progress");
                    }
                }
            }
        }
    }

    /// The job's state as shown to callers; none for an unknown job.
    pub fn job_state(&self, id: &str) -> Option<JobState> {
        match self.live.get(id) {
            Some(job) => Some(job.progress.state()),
            None => self.ended.get(id).map(|job| job.state),
        }
    }

    /// Whether the job with this id belongs to another account than the requester's. An id that is
    /// not known belongs to nobody.
    pub fn belongs_to_another(&self, id: &str, requester: &Requester) -> bool {
        let (queue, account) = match (self.live.get(id), self.ended.get(id)) {
            (Some(job), _) => (&job.spec.queue, &job.spec.account),
            (None, Some(job)) => (&job.queue, &job.account),
            (None, None) => return false,
        };
        let is_same_queue =
            requester.queue == *queue || self.terms.are_at_same_path(&requester.queue, queue);
        !requester.may_access(account.as_ref(), is_same_queue)
    }

    /// The number of jobs of a queue that have not begun.
    pub fn pending_jobs(&self, queue: &str) -> usize {
        self.live
            .values()
            .filter(|job| &*job.spec.queue == queue && job.progress.state() == JobState::Queued)
            .count()
    }
}
