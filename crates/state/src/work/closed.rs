//! Attempts that an owner of workers is done with, so that repeated messages do no harm.

use std::collections;
use std::time;

use pier_core::{caller, map};

use crate::work::placement::AttemptId;

/// How long an attempt is remembered. Messages are not delayed by as much.
const RETENTION: time::Duration = time::Duration::from_secs(120);

/// What became of an attempt.
#[derive(Debug, Clone)]
pub(super) enum Outcome {
    /// It was refused and never ran.
    Refused(caller::Refusal),
    /// It has ended and the origin knows, or it was handed over with its worker.
    Closed,
}

/// The attempts with their outcomes, for a bounded time.
#[derive(Debug, Default)]
pub(super) struct ClosedAttempts {
    outcomes: map::Map<AttemptId, Outcome>,
    by_age: collections::VecDeque<(time::Duration, AttemptId)>,
}

impl ClosedAttempts {
    pub(super) fn get(&self, id: &AttemptId) -> Option<&Outcome> {
        self.outcomes.get(id)
    }

    pub(super) fn put(&mut self, now: time::Duration, id: AttemptId, outcome: Outcome) {
        if self.outcomes.insert(id.clone(), outcome).is_none() {
            self.by_age.push_back((now, id));
        }
    }

    pub(super) fn expire(&mut self, now: time::Duration) {
        while let Some((at, _)) = self.by_age.front()
            && *at + RETENTION <= now
        {
            if let Some((_, id)) = self.by_age.pop_front() {
                self.outcomes.remove(&id);
            }
        }
    }
}
