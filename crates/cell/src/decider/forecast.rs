//! Forecasts when jobs could start and end.
//!
//! The forecasts are built once in each scheduling pass, one for each service and one for each
//! account whose limit matters. A submission looks its place up in them.

use std::time;

use pier_core::ids;
use pier_core::map::Map;
use pier_core::resources::Resources;
use pier_load::forecast::{Correction, Forecast, Pool, Start, WaitingWork};

use crate::advice::MAX_WORKERS_PER_REQUEST;
use crate::decider::learned::EligibleShares;
use crate::decider::{Context, Decider};
use crate::declaration::ServiceId;
use crate::job::{AccountId, JobSpec, Label, Step};
use crate::ranking::{self, Rank};
use crate::record::LoadRecord;

/// Parts per million.
pub(super) const PPM: u64 = 1_000_000;
/// The number of steps of a job that are looked up, which bounds the cost of a submission. Later
/// steps are taken to start when their predecessors have ended.
const MAX_STEPS_LOOKED_UP: usize = 16;

/// When a job would start and end if it was accepted now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct JobForecast {
    /// The first start, since the start of the process.
    pub(super) start: time::Duration,
    /// The end of its last step, since the start of the process.
    pub(super) end: time::Duration,
}

/// The forecasts of the last scheduling pass, and what corrects them.
#[derive(Debug, Default)]
pub(super) struct Forecasts {
    pub(super) services: Map<ServiceId, ServiceForecast>,
    /// The forecasts of accounts by their limits alone, for those whose limit may be reached.
    pub(super) accounts: Map<AccountId, RankedForecast>,
    /// For accepted jobs that have not started: when that was forecast.
    pub(super) accepted: Map<ids::JobId, AcceptedForecast>,
    pub(super) corrections: Map<ids::QueueId, Correction>,
    pub(super) eligible: EligibleShares,
    /// The part of each service's capacity that is used while work waits for it.
    pub(super) efficiency: Map<ServiceId, f64>,
    pub(super) recorded_at: Option<time::Duration>,
    pub(super) last_record: Option<LoadRecord>,
}

impl Forecasts {
    /// Starts from what an earlier decider has learned.
    pub(super) fn new(learned: Option<&LoadRecord>) -> Self {
        let mut forecasts = Self::default();
        let Some(learned) = learned else {
            return forecasts;
        };
        for (queue, correction_ms) in &learned.corrections_ms {
            let correction = Correction::from_millis(*correction_ms);
            forecasts.corrections.insert(ids::QueueId::clone(queue), correction);
        }
        forecasts.eligible = EligibleShares::from_values(&learned.eligible);
        tracing::info!(queues = learned.run_times.len(), "took over what was learned of the load");
        forecasts
    }

    /// Forgets a job that has ended.
    pub(super) fn forget(&mut self, job: &ids::JobId) {
        self.accepted.remove(job);
    }
}

/// Waiting work with its rank.
pub(super) type RankedWork = (Rank, WaitingWork);

/// A forecast with the ranks of the work that it was made from, to find places in it.
#[derive(Debug)]
pub(super) struct RankedForecast {
    forecast: Forecast,
    ranks: Vec<Rank>,
    /// The work that was accepted since.
    accepted_since: Vec<(Rank, Resources)>,
}

impl RankedForecast {
    pub(super) fn new(now: time::Duration, pool: &Pool, entries: &[RankedWork]) -> Self {
        let ranks = entries.iter().map(|(rank, _)| *rank).collect();
        let work: Vec<WaitingWork> = entries.iter().map(|(_, work)| work.clone()).collect();
        let forecast = Forecast::new(now, pool, &work);
        Self { forecast, ranks, accepted_since: Vec::new() }
    }

    /// Which tasks of the work start when.
    pub(super) fn starts(&self) -> &[Start] {
        self.forecast.starts()
    }

    fn start(&self, rank: Rank, work: &WaitingWork) -> Option<time::Duration> {
        let position = self.ranks.partition_point(|other| *other <= rank);
        let mut ahead = Resources::ZERO;
        for (other, need) in &self.accepted_since {
            if *other <= rank {
                ahead = ahead.plus(need);
            }
        }
        self.forecast.start_behind(position, &ahead, work)
    }
}

/// The forecast of a service.
#[derive(Debug)]
pub(super) struct ServiceForecast {
    pub(super) all: RankedForecast,
    /// Forecasts of the workers with a label, for the labels that most of the waiting work needs.
    pub(super) labelled: Map<Label, RankedForecast>,
    /// The part of the capacity that has each label, in parts per million.
    pub(super) label_ppm: Map<Label, u64>,
    pub(super) workers: usize,
}

impl ServiceForecast {
    /// When work could start of which only a part of the workers may run tasks.
    fn start(
        &self,
        rank: Rank,
        label: Option<&Label>,
        eligible_ppm: u64,
        work: &WaitingWork,
    ) -> Option<time::Duration> {
        let mut part_ppm = eligible_ppm;
        let mut forecast = &self.all;
        if let Some(label) = label {
            match self.labelled.get(label) {
                Some(labelled) => forecast = labelled,
                None => part_ppm = part_ppm * self.label_ppm.get(label).copied()? / PPM,
            }
        }
        if part_ppm == 0 {
            return None;
        }
        // As much has to be free in the whole pool for the work to fit into its part.
        let need = work.need.scaled(PPM, part_ppm);
        forecast.start(rank, &WaitingWork { need, ..work.clone() })
    }
}

/// When the start of an accepted job was forecast.
#[derive(Debug, Clone, Copy)]
pub(super) struct AcceptedForecast {
    uncorrected: time::Duration,
    corrected: time::Duration,
}

impl Decider {
    /// The expected run time of a task of the step.
    pub(super) fn expected_run_time(
        &self,
        context: &Context<'_>,
        queue: &str,
        step: &Step,
    ) -> time::Duration {
        if context.options.load.is_any() {
            self.speeds.expected(queue, step.estimate())
        } else {
            step.estimate()
        }
    }

    /// For each step, the expected time from its start to the end of the job.
    pub(super) fn remaining_critical_paths(
        &self,
        context: &Context<'_>,
        spec: &JobSpec,
    ) -> Vec<time::Duration> {
        spec.remaining_critical_paths_by(|step| self.expected_run_time(context, &spec.queue, step))
    }

    /// Forecasts a job that is submitted now. A job within its account's share is judged only by
    /// the work within shares that ranks ahead of it. None without a forecast, for example before
    /// the worker list is read, or if a step does not fit into the workers that may run it.
    pub(super) fn forecast_job(
        &self,
        context: &Context<'_>,
        spec: &JobSpec,
        is_within_share: bool,
    ) -> Option<JobForecast> {
        let uncorrected = self.forecast_uncorrected(context, spec, is_within_share)?;
        Some(self.corrected(context.now, &spec.queue, uncorrected))
    }

    fn corrected(&self, now: time::Duration, queue: &str, forecast: JobForecast) -> JobForecast {
        let Some(correction) = self.forecasts.corrections.get(queue) else {
            return forecast;
        };
        let start = correction.apply(now, forecast.start);
        let run_time = forecast.end.saturating_sub(forecast.start);
        JobForecast { start, end: start.saturating_add(run_time) }
    }

    fn forecast_uncorrected(
        &self,
        context: &Context<'_>,
        spec: &JobSpec,
        is_within_share: bool,
    ) -> Option<JobForecast> {
        let queue = context.declaration.queue(&spec.queue)?;
        let service = self.forecasts.services.get(&queue.service)?;
        let account = spec.account.as_ref().and_then(|name| self.forecasts.accounts.get(name));
        let eligible_ppm = match queue.advice {
            Some(_) => to_ppm(self.forecasts.eligible.share(&queue.name)),
            None => PPM,
        };
        let advice_time = queue.advice.map_or(time::Duration::ZERO, |terms| {
            let named = MAX_WORKERS_PER_REQUEST.min(service.workers);
            let named = u32::try_from(named).unwrap_or(u32::MAX);
            terms.base.saturating_add(terms.per_worker.saturating_mul(named))
        });
        let remaining = self.remaining_critical_paths(context, spec);
        let mut first_start = time::Duration::MAX;
        let mut last_end = context.now;
        let mut ends: Vec<time::Duration> = Vec::with_capacity(spec.steps.len());
        for (index, step) in spec.steps.iter().enumerate() {
            let mut earliest = context.now;
            for before in &step.after {
                earliest = earliest.max(ends.get(*before).copied().unwrap_or_default());
            }
            let run_time = self.expected_run_time(context, &spec.queue, step);
            let mut start = earliest;
            if index < MAX_STEPS_LOOKED_UP {
                let wall_ms = context.wall_ms;
                let is_beyond = !is_within_share;
                let rank =
                    ranking::rank(queue, spec, wall_ms, wall_ms, remaining[index], is_beyond);
                let mut work = WaitingWork {
                    need: step.need,
                    tasks: step.tasks,
                    is_gang: step.gang,
                    run_time,
                    earliest,
                    is_follow_up: false,
                };
                let start_of = |work: &WaitingWork| {
                    let label = step.required_label.as_ref();
                    let mut start = service.start(rank, label, eligible_ppm, work)?;
                    if let Some(account) = account {
                        start = start.max(account.start(rank, work)?);
                    }
                    Some(start.saturating_add(advice_time))
                };
                start = start_of(&work)?;
                let mut first = start;
                if !step.gang && step.after.is_empty() {
                    work.tasks = 1;
                    first = start_of(&work)?;
                }
                first_start = first_start.min(first);
            }
            let end = start.saturating_add(run_time);
            last_end = last_end.max(end);
            ends.push(end);
        }
        (!spec.steps.is_empty()).then_some(JobForecast { start: first_start, end: last_end })
    }

    /// Remembers the forecast of a job that was just accepted, and counts it as waiting.
    pub(super) fn remember_forecast(
        &mut self,
        context: &Context<'_>,
        spec: &JobSpec,
        is_within_share: bool,
    ) {
        let Some(forecast) = self.forecast_uncorrected(context, spec, is_within_share) else {
            return;
        };
        let corrected = self.corrected(context.now, &spec.queue, forecast);
        let accepted = AcceptedForecast { uncorrected: forecast.start, corrected: corrected.start };
        self.forecasts.accepted.insert(ids::JobId::clone(&spec.id), accepted);
        let Some(queue) = context.declaration.queue(&spec.queue) else {
            return;
        };
        let remaining = self.remaining_critical_paths(context, spec);
        for (index, step) in spec.steps.iter().enumerate() {
            if !step.after.is_empty() {
                continue;
            }
            let wall_ms = context.wall_ms;
            let is_beyond = !is_within_share;
            let rank = ranking::rank(queue, spec, wall_ms, wall_ms, remaining[index], is_beyond);
            let need = step.need.scaled(u64::try_from(step.tasks).unwrap_or(u64::MAX), 1);
            if let Some(service) = self.forecasts.services.get_mut(&queue.service) {
                service.all.accepted_since.push((rank, need));
                let label = step.required_label.as_ref();
                if let Some(labelled) = label.and_then(|label| service.labelled.get_mut(label)) {
                    labelled.accepted_since.push((rank, need));
                }
            }
            let account = spec.account.as_ref();
            if let Some(account) =
                account.and_then(|account| self.forecasts.accounts.get_mut(account))
            {
                account.accepted_since.push((rank, need));
            }
        }
    }

    /// Compares the forecast of a job with its first start.
    pub(super) fn record_first_start(&mut self, context: &Context<'_>, job: &ids::JobId) {
        let Some(forecast) = self.forecasts.accepted.remove(job) else {
            return;
        };
        let Some(job) = context.cell_state.live.get(job) else {
            return;
        };
        let queue = ids::QueueId::clone(&job.spec.queue);
        let correction = self.forecasts.corrections.entry(ids::QueueId::clone(&queue)).or_default();
        correction.record(forecast.uncorrected, context.now);
        let error = context.now.abs_diff(forecast.corrected);
        self.load_report.forecast_errors.push((queue, error));
    }
}

/// A part as parts per million.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is between zero and a million"
)]
pub(super) fn to_ppm(part: f64) -> u64 {
    (part.clamp(0.0, 1.0) * 1e6) as u64
}
