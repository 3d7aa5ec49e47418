//! What the tasks of each team and queue were seen to need: their run times, and their use against
//! their declared size.

use std::collections;
use std::time;

use pier_core::{clock, ids, resources, task};

use crate::{effect, report};

/// The number of queues that are remembered. The one that was not seen for longest is forgotten for
/// a new one.
const MAX_QUEUES: usize = 1_024;
/// After how long without a run or a report of use a queue is forgotten. What it runs by then may
/// be something else.
const RETENTION: time::Duration = time::Duration::from_secs(6 * 3_600);
/// The number of runs from which on the observed run time counts.
const MIN_RUNS: u64 = 5;
/// A new run counts as one of this many, so that older ones lose their weight.
const RUN_WEIGHT: u64 = 8;
/// The number of reports of use from which on a queue may be reported.
const MIN_USES: u64 = 16;
/// A new report of use counts as one of this many. One task is in many reports.
const USE_WEIGHT: u64 = 32;
/// The use of the declared size, in percent, above which a queue is reported. A report is a sample,
/// so a small excess proves nothing.
const OVER_SIZE_PERCENT: u64 = 110;
/// The largest use that one report counts as, in percent.
const MAX_USE_PERCENT: u64 = 1_000;
/// The interval between two notices of one queue.
const NOTICE_INTERVAL: time::Duration = time::Duration::from_secs(600);

/// What is known of all queues.
#[derive(Debug, Default)]
pub struct QueueStats {
    queues: collections::BTreeMap<(ids::TeamId, ids::QueueId), Queue>,
}

/// What is known of the tasks of one team and queue.
#[derive(Debug, Default)]
struct Queue {
    updated_at: time::Duration,
    runs: u64,
    mean_ms: u64,
    /// The mean distance of a run from the mean.
    deviation_ms: u64,
    uses: u64,
    use_percent: u64,
    noticed_at: Option<time::Duration>,
}

impl QueueStats {
    /// Takes the whole run of a task that ended as done.
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

    /// The run time that is expected of a task: the declared one, unless there is none or enough
    /// runs contradict it. Zero when unknown.
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
        // Most runs end before the mean and its deviation.
        let observed =
            time::Duration::from_millis(known.mean_ms.saturating_add(known.deviation_ms));
        let contradicted = observed > declared + declared / 2 || observed < declared / 2;
        if contradicted { observed } else { declared }
    }

    /// Takes what a running task was reported to use. Returns a notice if the tasks of its queue
    /// have used more than their declared size for long.
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
        Some(effect::Notice::QueueOverSize {
            team: labels.team.clone(),
            queue: labels.queue.clone(),
            use_percent: queue.use_percent,
        })
    }

    /// What operators are shown, in ascending order of team and queue.
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

    /// The entry of the queue of a task, which is new if the queue was not seen for long.
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

/// A mean that has moved towards a new value, which counts as one of `weight`.
fn moving_mean(mean: u64, value: u64, weight: u64) -> u64 {
    if value >= mean { mean + (value - mean) / weight } else { mean - (mean - value) / weight }
}

/// The largest part of the declared amount that is used in any dimension, in percent.
fn use_percent(declared: &resources::Resources, used: &resources::Resources) -> u64 {
    let mut largest = 0;
    for (declared, used) in declared.to_array().into_iter().zip(used.to_array()) {
        largest = largest.max(used.saturating_mul(100) / declared.max(1));
    }
    largest.min(MAX_USE_PERCENT)
}
