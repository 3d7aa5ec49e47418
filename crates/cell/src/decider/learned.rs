//! What the decider learns about the load and records for the next one.

use std::collections::BTreeMap;
use std::time;

use pier_core::ids;
use pier_core::map::Map;
use pier_load::advice::EligibleShare;
use pier_load::run_times::RunTimes;

use crate::decider::{Context, Decider};
use crate::job::StepIndex;
use crate::peer::Advice;
use crate::record::{LoadRecord, Record};
use crate::speed::RunTimeModel;

/// The shortest time between two records of what was learned.
const LOAD_RECORD_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// The greatest length of the record.
const MAX_LOAD_RECORD_BYTES: usize = 4_096;

/// The learned shares of eligible workers by queue.
#[derive(Debug, Default)]
pub(super) struct EligibleShares {
    queues: Map<ids::QueueId, EligibleShare>,
}

impl EligibleShares {
    /// Records a response about workers whose eligibility was not known.
    pub(super) fn record_advice(&mut self, queue: &ids::QueueId, named: usize, eligible: usize) {
        self.queues.entry(ids::QueueId::clone(queue)).or_default().record(named, eligible);
    }

    /// The share of workers that may run a step of the queue.
    pub(super) fn share(&self, queue: &str) -> f64 {
        self.queues.get(queue).copied().unwrap_or_default().share()
    }

    /// The shares for a record.
    #[expect(clippy::cast_possible_truncation, reason = "seven digits are enough for a record")]
    pub(super) fn to_values(&self) -> BTreeMap<ids::QueueId, [f32; 2]> {
        let mut values = BTreeMap::new();
        for (queue, share) in &self.queues {
            let (answered, eligible) = share.counts();
            values.insert(ids::QueueId::clone(queue), [answered as f32, eligible as f32]);
        }
        values
    }

    /// Restores the shares from a record. Values that no responses can yield are skipped.
    pub(super) fn from_values(values: &BTreeMap<ids::QueueId, [f32; 2]>) -> Self {
        let mut queues = Map::default();
        for (queue, counts) in values {
            let [answered, eligible] = counts.map(f64::from);
            if let Some(share) = EligibleShare::from_counts(answered, eligible) {
                queues.insert(ids::QueueId::clone(queue), share);
            }
        }
        Self { queues }
    }
}

impl Decider {
    /// Learns which share of the workers an adviser allows, from a response about workers of which
    /// some may have been known to be eligible.
    pub(super) fn learn_eligible_share(
        &mut self,
        context: &Context<'_>,
        job: &ids::JobId,
        step: StepIndex,
        workers: &[ids::WorkerId],
        response: &Advice,
    ) {
        let Some(spec) = context.cell_state.live.get(job).map(|job| &job.spec) else {
            return;
        };
        let known = self.advice.get(&(ids::JobId::clone(job), step));
        let (mut named, mut eligible) = (0, 0);
        for worker in workers {
            if known.is_some_and(|advice| advice.is_eligible(worker)) {
                continue;
            }
            named += 1;
            eligible += usize::from(response.eligible.iter().any(|(id, _)| id == worker));
        }
        self.forecasts.eligible.record_advice(&spec.queue, named, eligible);
    }

    /// Adds the record of what was learned to an append if it is due.
    pub(super) fn push_load_record(
        &mut self,
        context: &mut Context<'_>,
        records: &mut Vec<Record>,
    ) {
        if !context.options.load.is_any() {
            return;
        }
        let is_due = self
            .forecasts
            .recorded_at
            .is_none_or(|at| context.now >= at.saturating_add(LOAD_RECORD_INTERVAL));
        if !is_due {
            return;
        }
        let mut corrections_ms = BTreeMap::new();
        for (queue, correction) in &self.forecasts.corrections {
            corrections_ms.insert(ids::QueueId::clone(queue), correction.to_millis());
        }
        let mut learned = LoadRecord {
            run_times: self.speeds.run_times().to_values(),
            eligible: self.forecasts.eligible.to_values(),
            corrections_ms,
        };
        learned.retain_queues(|queue| context.declaration.queue(queue).is_some());
        if learned == LoadRecord::default() || self.forecasts.last_record.as_ref() == Some(&learned)
        {
            return;
        }
        self.forecasts.recorded_at = Some(context.now);
        self.forecasts.last_record = Some(learned.clone());
        let mut record = Record::load(&learned);
        while record.stored_bytes() > MAX_LOAD_RECORD_BYTES && learned.remove_least_known() {
            record = Record::load(&learned);
        }
        context.cell_state.load = Some(learned);
        records.push(record);
    }
}

/// The learned run times of an earlier decider.
pub(super) fn learned_run_times(learned: Option<&LoadRecord>) -> RunTimes {
    learned.map(|learned| RunTimes::from_values(&learned.run_times)).unwrap_or_default()
}

/// What run times are compared with under these options.
pub(super) fn run_time_model(context: &Context<'_>) -> RunTimeModel {
    if context.options.load.is_any() { RunTimeModel::Learned } else { RunTimeModel::MeanRatio }
}
