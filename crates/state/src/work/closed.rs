//! Remembers the outcome of attempts that a worker owner no longer tracks, so that repeated
//! messages about them are answered consistently and never start the attempt again.

use std::collections;
use std::time;

use pier_core::{caller, map};

use crate::work::placement::AttemptId;

/// How long the outcome of an attempt is kept. No message is delayed this long.
const RETENTION: time::Duration = time::Duration::from_secs(120);

/// How the owner stopped tracking an attempt.
#[derive(Debug, Clone)]
pub(super) enum Outcome {
    /// The attempt was refused and never ran.
    Refused(caller::Refusal),
    /// The attempt ended and its origin knows, or it was handed over with its worker.
    Closed,
}

/// Outcomes of attempts, kept for [`RETENTION`].
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
