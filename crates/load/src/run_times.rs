//! Learns how long tasks of a queue run, given the callers' estimates.

use std::time;

use pier_core::ids;

/// The learned run times of all queues.
#[derive(Debug, Default)]
pub struct RunTimes {}

impl RunTimes {
    /// Records that a task of the queue ran for `took` with an estimate of `estimate`.
    pub fn record(
        &mut self,
        _queue: &ids::QueueId,
        _estimate: time::Duration,
        _took: time::Duration,
    ) {
    }

    /// The median run time of a task of the queue with this estimate.
    pub fn expected(&self, _queue: &str, estimate: time::Duration) -> time::Duration {
        estimate
    }
}
