//! Builds the forecasts of a scheduling pass from the runs and the waiting steps.

use std::time;

use pier_core::ids;
use pier_core::map::{Map, Set};
use pier_core::resources::Resources;
use pier_load::forecast::{Pool, WaitingWork};

use crate::decider::forecast::{PPM, RankedForecast, RankedWork, ServiceForecast, to_ppm};
use crate::decider::schedule::Candidate;
use crate::decider::{Context, Decider};
use crate::declaration::{Queue, ServiceId};
use crate::job::{AccountId, JobSpec, Label};
use crate::ranking::{self, Rank};
use crate::run::{Run, RunPhase};
use crate::speed::RunTimeModel;

/// The packing efficiency of a service before any is measured.
const INITIAL_EFFICIENCY: f64 = 0.93;
/// The lowest packing efficiency that is believed. Below it, work waits for other reasons.
const MIN_EFFICIENCY: f64 = 0.6;
/// The weight of a new measurement of the packing efficiency.
const EFFICIENCY_SHARE: f64 = 0.05;
/// How long a step must have waited to show that the workers are full.
const MIN_WAIT_FOR_FULL: time::Duration = time::Duration::from_millis(200);
/// The number of labels of a service that get a forecast of their own. For others, the service's
/// forecast is scaled by the part of the capacity that has the label.
const MAX_LABEL_FORECASTS: usize = 4;
/// How soon a run that is being stopped ends.
const STOP_TIME: time::Duration = time::Duration::from_millis(100);
/// A run that is overdue is expected to take this part of its time so far in addition.
const OVERDUE_DIVISOR: u32 = 4;

/// A waiting step as the forecasts see it.
struct Entry {
    rank: Rank,
    service: ServiceId,
    label: Option<Label>,
    account: Option<AccountId>,
    work: WaitingWork,
}

/// A run as the forecasts see it.
struct ExpectedEnd<'a> {
    at: time::Duration,
    run: &'a Run,
}

impl Decider {
    /// Builds the forecasts of a scheduling pass, before it places anything.
    pub(super) fn build_forecasts(&mut self, context: &Context<'_>, candidates: &[Candidate]) {
        if !context.options.load.is_any() {
            self.speeds.set_model(RunTimeModel::MeanRatio);
            self.forecasts.services.clear();
            self.forecasts.accounts.clear();
            self.forecasts.accepted.clear();
            return;
        }
        self.speeds.set_model(RunTimeModel::Learned);
        self.measure_efficiency(context, candidates);
        let (ends, job_ends) = self.expected_ends(context);
        let entries = self.waiting_entries(context, candidates, &job_ends);
        let accounts = self.account_forecasts(context, &entries, &ends);
        let entries = within_limits(&accounts, entries);
        self.forecasts.services = self.service_forecasts(context, &entries, &ends);
        self.forecasts.accounts = accounts;
    }

    /// Measures how much of a service is used while a step waits that could run anywhere.
    fn measure_efficiency(&mut self, context: &Context<'_>, candidates: &[Candidate]) {
        let mut full: Set<ServiceId> = Set::default();
        for candidate in candidates {
            let step = candidate.step();
            let Some(queue) = context.declaration.queue(&candidate.spec.queue) else {
                continue;
            };
            if step.gang
                || queue.advice.is_some()
                || step.required_label.is_some()
                || step.spread_limit.is_some()
                || full.contains(&queue.service)
            {
                continue;
            }
            let since = self.waiting_since.get(&candidate.key()).copied().unwrap_or(context.now);
            if context.now >= since.saturating_add(MIN_WAIT_FOR_FULL)
                && step.need.fits_in(&self.account_left(context, candidate))
            {
                full.insert(ServiceId::clone(&queue.service));
            }
        }
        for service in full {
            let (mut capacity, mut free) = (Resources::ZERO, Resources::ZERO);
            for worker in self.workers.values() {
                if worker.accepts_work(context.now) && worker.info.service == service {
                    capacity = capacity.plus(&worker.info.capacity);
                    free = free.plus(&worker.free());
                }
            }
            let used_ppm = capacity.minus(&free).dominant_share_ppm(&capacity).min(PPM);
            let used = f64::from(u32::try_from(used_ppm).unwrap_or(u32::MAX)) / 1e6;
            if used >= MIN_EFFICIENCY {
                let before = self.forecasts.efficiency.entry(service).or_insert(INITIAL_EFFICIENCY);
                *before += (used - *before) * EFFICIENCY_SHARE;
            }
        }
    }

    /// When the runs are expected to end, and for each job the last of these times.
    fn expected_ends(
        &self,
        context: &Context<'_>,
    ) -> (Vec<ExpectedEnd<'_>>, Map<ids::JobId, time::Duration>) {
        let mut ends = Vec::with_capacity(self.runs.len());
        let mut job_ends: Map<ids::JobId, time::Duration> = Map::default();
        // The runs of a step follow one another.
        let mut last = None;
        for (task, run) in &self.runs {
            let expected = match last {
                Some((job, step, expected)) if job == &task.job && step == task.step => expected,
                _ => {
                    let Some(job) = context.cell_state.live.get(&task.job) else {
                        continue;
                    };
                    let Some(step) = job.spec.steps.get(task.step) else {
                        continue;
                    };
                    self.expected_run_time(context, &job.spec.queue, step)
                }
            };
            last = Some((&task.job, task.step, expected));
            let at = expected_end(context.now, run, expected);
            match job_ends.get_mut(&task.job) {
                Some(latest) => *latest = at.max(*latest),
                None => _ = job_ends.insert(ids::JobId::clone(&task.job), at),
            }
            ends.push(ExpectedEnd { at, run });
        }
        (ends, job_ends)
    }

    /// The waiting steps in order of rank, each followed by the steps of its job that depend on it.
    fn waiting_entries(
        &self,
        context: &Context<'_>,
        candidates: &[Candidate],
        job_ends: &Map<ids::JobId, time::Duration>,
    ) -> Vec<Entry> {
        let mut entries = Vec::with_capacity(candidates.len());
        let mut seen: Set<&ids::JobId> = Set::default();
        for candidate in candidates {
            let Some(queue) = context.declaration.queue(&candidate.spec.queue) else {
                continue;
            };
            let mut entry =
                self.entry(context, queue, &candidate.spec, candidate.step, candidate.rank);
            entry.work.tasks = candidate.waiting.len();
            entries.push(entry);
            if seen.insert(&candidate.job) {
                self.push_later_steps(context, &candidate.job, candidate.rank, None, &mut entries);
            }
        }
        // Jobs of which tasks run and whose other steps wait for these.
        for (job, end) in job_ends {
            if seen.contains(job) {
                continue;
            }
            let Some(live) =
                context.cell_state.live.get(job).filter(|job| job.spec.steps.len() > 1)
            else {
                continue;
            };
            let Some(queue) = context.declaration.queue(&live.spec.queue) else {
                continue;
            };
            let remaining = self.remaining_critical_paths(context, &live.spec);
            let shortest = remaining.into_iter().min().unwrap_or_default();
            let is_beyond = self.shares.exceeded_bucket(job);
            let rank = ranking::rank(
                queue,
                &live.spec,
                live.accepted_wall_ms,
                context.wall_ms,
                shortest,
                is_beyond,
            );
            self.push_later_steps(context, job, rank, Some(*end), &mut entries);
        }
        entries.sort_by_key(|entry| entry.rank);
        entries
    }

    /// Adds the steps of a job that wait for other steps. They follow one another, from a time or
    /// from the step in front of them.
    fn push_later_steps(
        &self,
        context: &Context<'_>,
        id: &ids::JobId,
        rank: Rank,
        earliest: Option<time::Duration>,
        entries: &mut Vec<Entry>,
    ) {
        let Some(job) = context.cell_state.live.get(id) else {
            return;
        };
        let Some(queue) = context.declaration.queue(&job.spec.queue) else {
            return;
        };
        if job.progress.final_state.is_some() || job.spec.steps.len() == 1 {
            return;
        }
        let mut earliest = earliest;
        for step in 0..job.spec.steps.len() {
            if job.progress.is_ready(&job.spec, step) {
                continue;
            }
            let mut entry = self.entry(context, queue, &job.spec, step, rank);
            match earliest.take() {
                Some(earliest) => entry.work.earliest = earliest,
                None => entry.work.is_follow_up = true,
            }
            entries.push(entry);
        }
    }

    fn entry(
        &self,
        context: &Context<'_>,
        queue: &Queue,
        spec: &JobSpec,
        step: usize,
        rank: Rank,
    ) -> Entry {
        let step = &spec.steps[step];
        Entry {
            rank,
            service: ServiceId::clone(&queue.service),
            label: step.required_label.clone(),
            account: spec.account.clone(),
            work: WaitingWork {
                need: step.need,
                tasks: step.tasks,
                is_gang: step.gang,
                run_time: self.expected_run_time(context, &spec.queue, step),
                earliest: time::Duration::ZERO,
                is_follow_up: false,
            },
        }
    }

    /// The forecasts of the accounts whose use and waiting work exceed half of their limit. For
    /// others, the limit delays nothing.
    fn account_forecasts(
        &self,
        context: &Context<'_>,
        entries: &[Entry],
        ends: &[ExpectedEnd<'_>],
    ) -> Map<AccountId, RankedForecast> {
        let mut wanted: Map<&AccountId, Resources> = Map::default();
        for entry in entries {
            let Some(account) = &entry.account else {
                continue;
            };
            let tasks = u64::try_from(entry.work.tasks).unwrap_or(u64::MAX);
            let wanted = wanted.entry(account).or_default();
            *wanted = wanted.plus(&entry.work.need.scaled(tasks, 1));
        }
        let mut pools: Map<&AccountId, (Pool, Vec<RankedWork>)> = Map::default();
        for account in context.declaration.all_accounts() {
            let used = self.shares.used(&account.name);
            let wanted = wanted.get(&account.name).copied().unwrap_or_default();
            if used.plus(&wanted).fits_in(&account.cap.scaled(1, 2)) {
                continue;
            }
            let free = account.cap.minus(&used);
            let pool = Pool { capacity: account.cap, free, ..Pool::default() };
            pools.insert(&account.name, (pool, Vec::new()));
        }
        for end in ends {
            let account = end.run.account.as_ref();
            if let Some((pool, _)) = account.and_then(|account| pools.get_mut(account)) {
                pool.ends.push((end.at, end.run.need));
            }
        }
        for entry in entries {
            let account = entry.account.as_ref();
            if let Some((_, waiting)) = account.and_then(|account| pools.get_mut(account)) {
                waiting.push((entry.rank, entry.work.clone()));
            }
        }
        let mut forecasts = Map::default();
        for (account, (pool, waiting)) in pools {
            let forecast = RankedForecast::new(context.now, &pool, &waiting);
            forecasts.insert(AccountId::clone(account), forecast);
        }
        forecasts
    }

    fn service_forecasts(
        &self,
        context: &Context<'_>,
        entries: &[Entry],
        ends: &[ExpectedEnd<'_>],
    ) -> Map<ServiceId, ServiceForecast> {
        let mut forecasts = Map::default();
        let mut services: Set<&ServiceId> = Set::default();
        for queue in context.declaration.all_queues() {
            services.insert(&queue.service);
        }
        for service in services {
            let pool = self.pool(context, service, None, ends);
            let mut label_ppm = Map::default();
            let mut workers = 0;
            for worker in self.workers.values() {
                if !worker.is_usable() || worker.info.service != *service {
                    continue;
                }
                workers += 1;
                for label in &worker.info.labels {
                    let ppm = label_ppm.entry(Label::clone(label)).or_default();
                    *ppm += worker.info.capacity.dominant_share_ppm(&pool.capacity);
                }
            }
            let mut waiting = Vec::with_capacity(entries.len());
            let mut tasks_of_label: Map<&Label, usize> = Map::default();
            for entry in entries {
                if entry.service != *service {
                    continue;
                }
                waiting.push((entry.rank, entry.work.clone()));
                if let Some(label) = &entry.label {
                    *tasks_of_label.entry(label).or_default() += entry.work.tasks;
                }
            }
            let mut most_wanted: Vec<(usize, &Label)> = Vec::new();
            for (label, tasks) in tasks_of_label {
                most_wanted.push((tasks, label));
            }
            most_wanted.sort_unstable_by(|a, b| b.cmp(a));
            most_wanted.truncate(MAX_LABEL_FORECASTS);
            let mut labelled = Map::default();
            for (_, label) in most_wanted {
                let Some(ppm) = label_ppm.get(label).copied() else {
                    continue;
                };
                let pool = self.pool(context, service, Some(label), ends);
                let waiting = waiting_of_label(service, label, ppm, entries);
                let forecast = RankedForecast::new(context.now, &pool, &waiting);
                labelled.insert(Label::clone(label), forecast);
            }
            let all = RankedForecast::new(context.now, &pool, &waiting);
            let forecast = ServiceForecast { all, labelled, label_ppm, workers };
            forecasts.insert(ServiceId::clone(service), forecast);
        }
        forecasts
    }

    /// The workers of a service, or those of them with a label, as one pool.
    fn pool(
        &self,
        context: &Context<'_>,
        service: &ServiceId,
        label: Option<&Label>,
        ends: &[ExpectedEnd<'_>],
    ) -> Pool {
        let mut pool = Pool::default();
        let mut members: Set<&ids::WorkerId> = Set::default();
        for worker in self.workers.values() {
            let is_member = worker.is_usable()
                && worker.info.service == *service
                && !context.zones_out.contains(&worker.info.zone)
                && label.is_none_or(|label| worker.info.labels.contains(label));
            if !is_member {
                continue;
            }
            members.insert(&worker.info.id);
            pool.capacity = pool.capacity.plus(&worker.info.capacity);
            pool.free = pool.free.plus(&worker.free());
        }
        for end in ends {
            if members.contains(&end.run.worker) {
                pool.ends.push((end.at, end.run.need));
            }
        }
        let efficiency =
            self.forecasts.efficiency.get(service).copied().unwrap_or(INITIAL_EFFICIENCY);
        pool.unusable = pool.capacity.scaled(to_ppm(1.0 - efficiency), PPM);
        pool
    }
}

/// Replaces the steps of accounts with a forecast of their own by their parts that start together
/// under the account's limit.
fn within_limits(accounts: &Map<AccountId, RankedForecast>, entries: Vec<Entry>) -> Vec<Entry> {
    let mut next: Map<AccountId, (usize, usize)> = Map::default();
    let mut limited = Vec::with_capacity(entries.len());
    for mut entry in entries {
        let Some((name, account)) = entry
            .account
            .as_ref()
            .and_then(|name| accounts.get(name).map(|account| (AccountId::clone(name), account)))
        else {
            limited.push(entry);
            continue;
        };
        let (index, first) = next.entry(name).or_default();
        entry.work.is_follow_up = false;
        let starts = account.starts();
        while let Some(start) = starts.get(*first).filter(|start| start.index == *index) {
            let work = WaitingWork { earliest: start.at, tasks: start.tasks, ..entry.work.clone() };
            limited.push(Entry {
                rank: entry.rank,
                service: ServiceId::clone(&entry.service),
                label: entry.label.clone(),
                account: None,
                work,
            });
            *first += 1;
        }
        *index += 1;
    }
    limited
}

/// The waiting work of the workers with a label: steps that need it, and the part of the steps
/// without one that falls to these workers.
fn waiting_of_label(
    service: &ServiceId,
    label: &Label,
    ppm: u64,
    entries: &[Entry],
) -> Vec<RankedWork> {
    let mut waiting = Vec::new();
    for entry in entries {
        if entry.service != *service {
            continue;
        }
        match &entry.label {
            Some(other) if other == label => waiting.push((entry.rank, entry.work.clone())),
            Some(_) => {}
            None => {
                let mut work = entry.work.clone();
                work.need = work.need.scaled(ppm.min(PPM), PPM);
                waiting.push((entry.rank, work));
            }
        }
    }
    waiting
}

/// When a run is expected to end whose task takes `expected` as a whole.
pub(super) fn expected_end(
    now: time::Duration,
    run: &Run,
    expected: time::Duration,
) -> time::Duration {
    let since = match run.phase {
        RunPhase::Stopping { .. } | RunPhase::Stopped { .. } => {
            return now.saturating_add(STOP_TIME);
        }
        RunPhase::Running { since } => since,
        RunPhase::Recording | RunPhase::Sent | RunPhase::Unknown { .. } => run.decided_at,
    };
    let end = match run.progress {
        Some((percent, at)) if percent > 0 => {
            let left = u32::from(100_u8.saturating_sub(percent));
            at.saturating_add(expected.saturating_mul(left) / 100)
        }
        _ => since.saturating_add(expected),
    };
    if end > now {
        return end;
    }
    now.saturating_add(now.saturating_sub(since) / OVERDUE_DIVISOR)
}
