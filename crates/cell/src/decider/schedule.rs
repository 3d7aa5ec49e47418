//! Which waiting steps are placed, and in which order.

use std::collections::BTreeMap;
use std::sync;
use std::time;

use pier_core::ids;
use pier_core::map::Map;
use pier_core::resources::Resources;

use crate::decider::{Context, Decider};
use crate::job::{AccountId, JobSpec, Step, StepIndex, TaskIndex, TaskRef};
use crate::order::{self, Rank};
use crate::place::{self, Leeway};
use crate::progress::Phase;
use crate::run::{Run, RunPhase};
use crate::worker::Life;

/// The most gangs that keep workers for themselves at the same time. More would leave too little
/// for the steps behind them.
const MOST_KEEPING: usize = 2;

/// How long a step waits for a worker that is fast enough for it. After that any will do: it must
/// not wait where there is room.
const FAST_WORKER_PATIENCE: time::Duration = time::Duration::from_millis(1_200);

/// How long an account that uses less than half of its limit is held back for a gang of its own.
const RESERVED_BELOW_HALF: time::Duration = time::Duration::from_millis(1_500);

/// A step with tasks that may start.
pub(super) struct Candidate {
    pub(super) rank: Rank,
    pub(super) leeway: Leeway,
    pub(super) job: ids::JobId,
    pub(super) step: StepIndex,
    pub(super) spec: sync::Arc<JobSpec>,
    pub(super) waiting: Vec<TaskIndex>,
}

impl Candidate {
    pub(super) fn step(&self) -> &Step {
        &self.spec.steps[self.step]
    }

    pub(super) fn key(&self) -> (ids::JobId, StepIndex) {
        (ids::JobId::clone(&self.job), self.step)
    }
}

impl Decider {
    /// Places what waits and asks the adviser where that is needed first.
    pub(super) fn schedule(&mut self, context: &mut Context<'_>) {
        if !self.has_worker_list {
            return;
        }
        let mut candidates = self.candidates(context);
        self.note_waiting(context.now, &mut candidates);
        let mut reserved: Map<AccountId, Resources> = Map::default();
        let mut keeping = 0;
        let mut still_keeping = Vec::new();
        for candidate in &candidates {
            let Some(queue) = context.directory.queue(&candidate.spec.queue) else {
                continue;
            };
            let mut limit = self.account_left(context, &candidate.spec);
            if let Some(account) = &candidate.spec.account
                && let Some(reserved) = reserved.get(account)
            {
                limit = self.unreserved(context, account, reserved);
            }
            let step = candidate.step();
            if !step.need.fits_in(&limit) {
                continue;
            }
            let waiting = candidate.waiting.len();
            if step.gang && place::times(&step.need, &limit) < waiting {
                // The steps behind it must not take the account's limit bit by bit.
                if let Some(account) = &candidate.spec.account {
                    let whole = step.need.scaled(u64::try_from(waiting).unwrap_or(u64::MAX), 1);
                    reserved.entry(AccountId::clone(account)).or_insert(whole);
                }
                continue;
            }
            // Without a ticket and a host to ask, nothing can be done for the step now.
            let has_ticket = queue.advice.is_none()
                || self
                    .advice
                    .get(&candidate.key())
                    .is_some_and(|advice| advice.has_ticket(context.now));
            if !has_ticket && self.idle_adviser_host().is_none() {
                continue;
            }
            let mut rooms = self.ready_rooms(context, candidate, queue);
            let placed =
                place::place(candidate.step(), waiting, &limit, &candidate.leeway, &mut rooms);
            for (index, room) in candidate.waiting.iter().zip(&placed) {
                self.order(context, candidate, *index, &rooms[*room].worker);
            }
            if placed.len() == waiting {
                continue;
            }
            let mut is_keeping = false;
            if candidate.step().gang && keeping < MOST_KEEPING {
                is_keeping = self.keep_workers(context, candidate, queue, &limit);
                if is_keeping {
                    keeping += 1;
                    still_keeping.push(candidate.key());
                }
            }
            if let Some(terms) = queue.advice {
                self.ask(context, candidate, queue, terms, &limit, is_keeping);
            }
        }
        self.low_since.retain(|account, _| reserved.contains_key(account));
        self.kept.retain(|_, (job, step, _)| {
            still_keeping.iter().any(|(kept_job, kept_step)| kept_job == job && kept_step == step)
        });
    }

    /// Notes since when each step waits, and lets those that have waited long go anywhere.
    fn note_waiting(&mut self, now: time::Duration, candidates: &mut [Candidate]) {
        let before = std::mem::take(&mut self.waiting_since);
        let mut waiting_since = BTreeMap::new();
        for candidate in candidates {
            let key = candidate.key();
            let since = before.get(&key).copied().unwrap_or(now);
            if now >= since.saturating_add(FAST_WORKER_PATIENCE) {
                candidate.leeway.worst_slowness = f64::INFINITY;
                candidate.leeway.split_slowness = 1.0;
            }
            waiting_since.insert(key, since);
        }
        self.waiting_since = waiting_since;
    }

    /// The steps that may start, in the order in which they are placed.
    fn candidates(&self, context: &Context<'_>) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for id in context.ledger.live.keys() {
            self.push_candidates(context, id, &mut candidates);
        }
        candidates.sort_by(|a, b| (a.rank, &a.job, a.step).cmp(&(b.rank, &b.job, b.step)));
        candidates
    }

    pub(super) fn push_candidates(
        &self,
        context: &Context<'_>,
        id: &ids::JobId,
        candidates: &mut Vec<Candidate>,
    ) {
        let Some(job) = context.ledger.live.get(id) else {
            return;
        };
        let Some(queue) = context.directory.queue(&job.spec.queue) else {
            return;
        };
        if job.progress.verdict.is_some() {
            return;
        }
        let mut chains = None;
        for (step, tasks) in job.progress.steps.iter().enumerate() {
            let mut waiting = Vec::new();
            for (index, task) in tasks.iter().enumerate() {
                if task.phase != Phase::Waiting {
                    continue;
                }
                let task_ref = TaskRef { job: ids::JobId::clone(id), step, index };
                if !self.runs.contains_key(&task_ref) {
                    waiting.push(index);
                }
            }
            let is_whole = !job.spec.steps[step].gang || waiting.len() == tasks.len();
            if waiting.is_empty() || !is_whole || !job.progress.is_ready(&job.spec, step) {
                continue;
            }
            let chains = chains.get_or_insert_with(|| job.spec.chains());
            let rank = order::rank(
                queue,
                &job.spec,
                job.accepted_wall_ms,
                context.wall_ms,
                chains[step],
                self.beyond_share.contains(id),
            );
            let leeway =
                order::leeway(rank, context.wall_ms, chains[step], context.options.remote_slowdown);
            candidates.push(Candidate {
                rank,
                leeway,
                job: ids::JobId::clone(id),
                step,
                spec: sync::Arc::clone(&job.spec),
                waiting,
            });
        }
    }

    /// What is left to an account while a gang of it waits for its limit. Nothing of the account
    /// stands still for the gang for long: half of the limit can be used again after a while.
    fn unreserved(
        &mut self,
        context: &Context<'_>,
        name: &AccountId,
        reserved: &Resources,
    ) -> Resources {
        let Some(account) = context.directory.account(name) else {
            return Resources::ZERO;
        };
        let used = self.account_used.get(name).copied().unwrap_or_default();
        let half = account.cap.scaled(1, 2);
        let mut open = account.cap.minus(reserved);
        if used.fits_in(&half) {
            let since = *self.low_since.entry(AccountId::clone(name)).or_insert(context.now);
            if context.now >= since.saturating_add(RESERVED_BELOW_HALF) {
                open = open.max(&half);
            }
        } else {
            self.low_since.remove(name);
        }
        open.minus(&used)
    }

    pub(super) fn account_left(&self, context: &Context<'_>, spec: &JobSpec) -> Resources {
        let Some(name) = &spec.account else {
            return Resources::MAX;
        };
        let Some(account) = context.directory.account(name) else {
            return Resources::ZERO;
        };
        account.cap.minus(&self.account_used.get(name).copied().unwrap_or_default())
    }

    fn order(
        &mut self,
        context: &mut Context<'_>,
        candidate: &Candidate,
        index: TaskIndex,
        worker: &ids::WorkerId,
    ) {
        let task = TaskRef { job: ids::JobId::clone(&candidate.job), step: candidate.step, index };
        let life: Life = self.workers.get(worker).map_or(0, |worker| worker.entry.life);
        let mut number = Self::next_run_number(context, &task);
        let Some(job) = context.ledger.live.get_mut(&candidate.job) else {
            return;
        };
        let tasks = &mut job.progress.steps[candidate.step];
        if candidate.step().gang {
            // The members of a gang start under one number.
            for member in tasks.iter() {
                if member.phase == Phase::Waiting {
                    number = number.max(member.last_run.saturating_add(1));
                } else {
                    number = number.max(member.last_run);
                }
            }
        }
        let state = &mut tasks[index];
        state.phase = Phase::Ordered { worker: ids::WorkerId::clone(worker), life };
        state.last_run = number;
        let run = Run {
            worker: ids::WorkerId::clone(worker),
            life,
            number,
            phase: RunPhase::Recording,
            need: candidate.step().need,
            account: candidate.spec.account.clone(),
            is_listed: false,
            decided_at: context.now,
            is_resumed: state.checkpoint.is_some(),
            progress: None,
        };
        self.dirty.insert(ids::JobId::clone(&candidate.job));
        self.orders.push(task.clone());
        self.insert_run(task, run);
    }
}
