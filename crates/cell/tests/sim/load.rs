//! Cells that are too full: callers that submit rejected jobs again, and workers that leave.

use std::time;

use rand::Rng;

use crate::sim::{Scheduled, Sim};

/// A caller gives up a job whose next submission would be later than this after the first one.
const CALLER_PATIENCE_MS: u64 = 10_000;
/// The percentage of rejections after which the caller gives up the job at once.
const GIVEN_UP_PERCENT: u32 = 25;
/// The interval between checks of whether all jobs have ended.
const CHECK_INTERVAL_MS: u64 = 500;

/// The caller of a job.
#[derive(Debug)]
pub struct Caller {
    pub key: Option<String>,
    pub first_submitted_ms: u64,
}

impl Sim {
    /// Handles the rejection of a job: its caller submits it again after the promised time, or gives
    /// it up.
    pub(super) fn retry_later(&mut self, id: &str, retry_after: time::Duration) {
        let after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
        let until_ms = self.callers[id].first_submitted_ms + CALLER_PATIENCE_MS;
        let is_given_up = self.rng.random_range(0..100) < GIVEN_UP_PERCENT;
        if !is_given_up && self.now_ms.saturating_add(after_ms) <= until_ms {
            self.push(after_ms, Scheduled::SubmitAgain { id: id.to_owned() });
        }
    }

    /// Submits a rejected job again, with the same id and key, at any host.
    pub(super) fn submit_again(&mut self, id: &str) {
        let spec = self.specs[id].clone();
        let host = self.rng.random_range(0..self.hosts.len());
        let key = self.callers[id].key.clone();
        let current_key = std::mem::replace(&mut self.caller_key, key);
        self.submit(host, id, &spec.queue, spec.steps.clone());
        self.caller_key = current_key;
        self.observed.submitted_again += 1;
    }

    /// Lets a worker announce that it leaves after this time.
    pub fn drain_worker(&mut self, id: &str, remaining_ms: u64) {
        let now_ms = self.now_ms;
        let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.is_up) else {
            return;
        };
        if worker.leaving.is_some() {
            return;
        }
        let incarnation = worker.incarnation;
        worker.leaving =
            Some(Leaving { announced_ms: now_ms, leaves_at_ms: now_ms + remaining_ms });
        self.list_as_leaving(id);
        self.push(remaining_ms, Scheduled::Leave { id: id.to_owned(), incarnation });
    }

    /// Runs the simulation until all accepted jobs have ended, for at most this time.
    pub fn run_until_ended(&mut self, millis: u64) {
        let until_ms = self.now_ms + millis;
        while self.now_ms < until_ms && self.has_open_jobs() {
            self.run_for(CHECK_INTERVAL_MS);
        }
    }

    fn has_open_jobs(&self) -> bool {
        let stored = self.stored_cell_state();
        let is_open = |id: &String| stored.job_state(id).is_none_or(|state| !state.is_final());
        self.observed.accepted.iter().any(is_open)
    }

    /// Takes away a worker whose time is up, with what still runs there.
    pub(super) fn leave(&mut self, id: &str, incarnation: u64) {
        let worker = &self.workers[id];
        if !worker.is_up || worker.incarnation != incarnation {
            return;
        }
        let lost: Vec<_> =
            worker.running.iter().map(|(task, run)| (task.job.to_string(), run.need)).collect();
        for (job, need) in lost {
            self.record_lost_run(&job, need);
        }
        self.crash_worker(id);
        self.observed.workers_left += 1;
    }
}

/// The announcement of a worker that it leaves.
#[derive(Debug, Clone, Copy)]
pub struct Leaving {
    pub announced_ms: u64,
    pub leaves_at_ms: u64,
}
