//! Observed run times and resource usage of the tasks of each team and queue.

use std::collections;
use std::time;

use pier_core::{clock, ids, resources, task};

use crate::{effect, report};

/// The maximum number of queues with statistics. The least recently updated queue is replaced by a
/// new one.
const MAX_QUEUES: usize = 1_024;
/// The statistics of a queue are dropped after this time without a run or usage report, because the
/// queue may run different tasks by then.
const RETENTION: time::Duration = time::Duration::from_secs(6 * 3_600);
/// The minimum number of runs before the observed run time is used.
const MIN_RUNS: u64 = 5;
/// A new run has a weight of one part in this many, so that older runs lose weight.
const RUN_WEIGHT: u64 = 8;
/// The minimum number of usage reports before a notice is logged for a queue.
const MIN_USES: u64 = 16;
/// A new usage report has a weight of one part in this many. The same task appears in many reports.
const USE_WEIGHT: u64 = 32;
/// The usage in percent of the declared size above which a notice is logged. A report is a sample,
/// so a small excess proves nothing.
const OVER_SIZE_PERCENT: u64 = 110;
/// The maximum usage in percent that a single report counts as.
const MAX_USE_PERCENT: u64 = 1_000;
/// The minimum interval between two notices for the same queue.
const NOTICE_INTERVAL: time::Duration = time::Duration::from_secs(600);

/// Statistics of all queues.
#[derive(Debug, Default)]
pub struct QueueStats {
    queues: collections::BTreeMap<(ids::TeamId, ids::QueueId), Queue>,
}

/// Statistics of the tasks of one team and queue.
#[derive(Debug, Default)]
struct Queue {
    updated_at: time::Duration,
    runs: u64,
    mean_ms: u64,
    /// The mean absolute deviation of the run time from the mean.
    deviation_ms: u64,
    uses: u64,
    use_percent: u64,
    noticed_at: Option<time::Duration>,
}

impl QueueStats {
    /// Records the full run of a task that ended as done.
    pub fn record_run(
        &mut self,
        now: time::Duration,
        labels: &task::TaskLabels,
        ran: time::Duration,
    ) {
        let ran_ms = clock::millis(ran);
        let queue = self.queue(now, labels);
        queue.runs += 1;
        let weight = queue.runs.min(RUN_WEIGHT);
        let distance_ms = if queue.runs > 1 { queue.mean_ms.abs_diff(ran_ms) } else { 0 };
        queue.mean_ms = moving_mean(queue.mean_ms, ran_ms, weight);
        queue.deviation_ms = moving_mean(queue.deviation_ms, distance_ms, weight);
    }

    /// The expected run time of a task; zero if unknown. This is the declared run time, unless none
    /// is declared or enough runs contradict it.
    pub fn estimate(
        &self,
        now: time::Duration,
        team: &ids::TeamId,
        queue: &ids::QueueId,
        declared: time::Duration,
    ) -> time::Duration {
        let Some(known) = self.queues.get(&(team.clone(), queue.clone())) else {
            return declared;
        };
        if known.runs < MIN_RUNS || now > known.updated_at + RETENTION {
            return declared;
        }
        // Most runs end within the mean plus the mean deviation.
        let observed =
            time::Duration::from_millis(known.mean_ms.saturating_add(known.deviation_ms));
        let is_contradicted = observed > declared + declared / 2 || observed < declared / 2;
        if is_contradicted { observed } else { declared }
    }

    /// Records the reported usage of a running task. Returns a notice if the tasks of its queue
    /// have exceeded their declared size for long.
    pub fn record_use(
        &mut self,
        now: time::Duration,
        labels: &task::TaskLabels,
        declared: &resources::Resources,
        used: &resources::Resources,
    ) -> Option<effect::Notice> {
        let percent = use_percent(declared, used);
        let queue = self.queue(now, labels);
        queue.uses += 1;
        queue.use_percent = moving_mean(queue.use_percent, percent, queue.uses.min(USE_WEIGHT));
        let recently_noticed = queue.noticed_at.is_some_and(|at| now < at + NOTICE_INTERVAL);
        if queue.uses < MIN_USES || queue.use_percent <= OVER_SIZE_PERCENT || recently_noticed {
            return None;
        }
        queue.noticed_at = Some(now);
        Some(effect::Notice::QueueOverDeclaredSize {
            team: labels.team.clone(),
            queue: labels.queue.clone(),
            use_percent: queue.use_percent,
        })
    }

    /// The statistics as shown to operators, in ascending order of team and queue.
    pub fn statuses(&self) -> Vec<report::QueueStatus> {
        let mut statuses = Vec::with_capacity(self.queues.len());
        for ((team, queue), known) in &self.queues {
            statuses.push(report::QueueStatus {
                team: team.clone(),
                queue: queue.clone(),
                runs: known.runs,
                run_mean_ms: known.mean_ms,
                run_deviation_ms: known.deviation_ms,
                uses: known.uses,
                use_percent: known.use_percent,
            });
        }
        statuses
    }

    /// The statistics of a task's queue. They start anew if the queue was not updated for long.
    fn queue(&mut self, now: time::Duration, labels: &task::TaskLabels) -> &mut Queue {
        let key = (labels.team.clone(), labels.queue.clone());
        if !self.queues.contains_key(&key) && self.queues.len() >= MAX_QUEUES {
            let oldest = self.queues.iter().min_by_key(|(_, queue)| queue.updated_at);
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                self.queues.remove(&oldest);
            }
        }
        let queue = self.queues.entry(key).or_default();
        if now > queue.updated_at + RETENTION {
            *queue = Queue::default();
        }
        queue.updated_at = now;
        queue
    }
}

/// Moves a mean towards a new value that has a weight of one part in `weight`.
fn moving_mean(mean: u64, value: u64, weight: u64) -> u64 {
    if value >= mean { mean + (value - mean) / weight } else { mean - (mean - value) / weight }
}

/// The largest usage of any resource dimension in percent of its declared amount.
fn use_percent(declared: &resources::Resources, used: &resources::Resources) -> u64 {
    let mut largest = 0;
    for (declared, used) in declared.to_array().into_iter().zip(used.to_array()) {
        largest = largest.max(used.saturating_mul(100) / declared.max(1));
    }
    largest.min(MAX_USE_PERCENT)
}
