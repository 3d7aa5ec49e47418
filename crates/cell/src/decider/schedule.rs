//! Which waiting steps are placed, in which order, and for which the adviser is asked.

use std::sync;
use std::time;

use pier_core::ids;
use pier_core::resources::Resources;

use crate::advice::Renewal;
use crate::decider::{Asked, Context, Decider};
use crate::directory::{AdviceTerms, Queue};
use crate::effect::Effect;
use crate::job::{JobSpec, Step, StepIndex, TaskIndex, TaskRef};
use crate::order::{self, Rank};
use crate::peer::{Advice, Message, Question};
use crate::place::{self, Room};
use crate::progress::Phase;
use crate::run::{Run, RunPhase};
use crate::worker::Life;

/// Added to the time that the adviser takes by its terms before a question is given up.
const ADVISER_SLACK: time::Duration = time::Duration::from_millis(800);
/// The most gangs that keep workers for themselves at the same time. More would leave too little
/// for the steps behind them.
const MOST_KEEPING: usize = 2;

/// A step with tasks that may start.
struct Candidate {
    rank: Rank,
    job: ids::JobId,
    step: StepIndex,
    spec: sync::Arc<JobSpec>,
    waiting: Vec<TaskIndex>,
}

impl Candidate {
    fn step(&self) -> &Step {
        &self.spec.steps[self.step]
    }

    fn key(&self) -> (ids::JobId, StepIndex) {
        (ids::JobId::clone(&self.job), self.step)
    }
}

impl Decider {
    /// Places what waits and asks the adviser where that is needed first.
    pub(super) fn schedule(&mut self, context: &mut Context<'_>) {
        if !self.has_worker_list {
            return;
        }
        let candidates = self.candidates(context);
        let mut keeping = 0;
        let mut still_keeping = Vec::new();
        for candidate in &candidates {
            let Some(queue) = context.directory.queue(&candidate.spec.queue) else {
                continue;
            };
            let limit = self.account_left(context, &candidate.spec);
            if !candidate.step().need.fits_in(&limit) {
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
            let open = self.rooms(context, candidate, queue);
            let mut rooms = open.clone();
            if queue.advice.is_some() {
                let key = candidate.key();
                rooms.retain(|room| {
                    self.advice
                        .get(&key)
                        .is_some_and(|advice| advice.ticket(context.now, &room.worker).is_some())
                });
            }
            let waiting = candidate.waiting.len();
            let placed = place::place(candidate.step(), waiting, &limit, &mut rooms);
            for (index, room) in candidate.waiting.iter().zip(&placed) {
                self.order(context, candidate, *index, &rooms[*room].worker);
            }
            if placed.len() == waiting {
                continue;
            }
            let mut is_keeping = false;
            if candidate.step().gang && keeping < MOST_KEEPING {
                is_keeping = self.keep_workers(candidate, &open, queue, &limit);
                if is_keeping {
                    keeping += 1;
                    still_keeping.push(candidate.key());
                }
            }
            if let Some(terms) = queue.advice {
                self.ask(context, candidate, terms, open, &limit, is_keeping);
            }
        }
        self.kept.retain(|_, (job, step, _)| {
            still_keeping.iter().any(|(kept_job, kept_step)| kept_job == job && kept_step == step)
        });
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

    fn push_candidates(
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
                let task_ref = TaskRef { job: ids::JobId::clone(id), step, index };
                if task.phase == Phase::Waiting && !self.runs.contains_key(&task_ref) {
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
            candidates.push(Candidate {
                rank,
                job: ids::JobId::clone(id),
                step,
                spec: sync::Arc::clone(&job.spec),
                waiting,
            });
        }
    }

    /// Asks the adviser about a job that was just taken, so that its tickets are there when the
    /// next append begins.
    pub(super) fn ask_early(&mut self, context: &mut Context<'_>, id: &ids::JobId) {
        if !self.has_worker_list {
            return;
        }
        let mut candidates = Vec::new();
        self.push_candidates(context, id, &mut candidates);
        for candidate in &candidates {
            let queue = context.directory.queue(&candidate.spec.queue);
            let Some((queue, terms)) = queue.and_then(|queue| Some((queue, queue.advice?))) else {
                continue;
            };
            let limit = self.account_left(context, &candidate.spec);
            let open = self.rooms(context, candidate, queue);
            self.ask(context, candidate, terms, open, &limit, false);
        }
    }

    fn account_left(&self, context: &Context<'_>, spec: &JobSpec) -> Resources {
        let Some(name) = &spec.account else {
            return Resources::MAX;
        };
        let Some(account) = context.directory.account(name) else {
            return Resources::ZERO;
        };
        account.cap.minus(&self.account_used.get(name).copied().unwrap_or_default())
    }

    /// The workers that may run the step's tasks, with tickets or without.
    fn rooms(&self, context: &Context<'_>, candidate: &Candidate, queue: &Queue) -> Vec<Room> {
        let step = candidate.step();
        let mut rooms = Vec::new();
        for worker in self.workers.values() {
            if worker.entry.service != queue.service
                || !worker.takes_work(context.now)
                || context.zones_out.contains(&worker.entry.zone)
            {
                continue;
            }
            if let Some(label) = &step.required_label
                && !worker.entry.labels.contains(label)
            {
                continue;
            }
            let holder = self.kept.get(&worker.entry.id);
            let is_kept = holder
                .is_some_and(|(job, step, _)| *job != candidate.job || *step != candidate.step);
            // More urgent steps may use kept workers if nothing else is left.
            if is_kept && holder.is_some_and(|(_, _, priority)| *priority <= queue.priority) {
                continue;
            }
            let spread_left = match step.spread_limit {
                None => usize::MAX,
                Some(limit) => {
                    let here = worker
                        .runs
                        .iter()
                        .filter(|task| task.job == candidate.job && task.step == candidate.step)
                        .count();
                    limit.saturating_sub(here)
                }
            };
            rooms.push(Room {
                worker: ids::WorkerId::clone(&worker.entry.id),
                free: worker.free(),
                capacity: worker.entry.capacity,
                is_near: step.data_rack.as_ref().is_none_or(|rack| worker.rack() == Some(rack)),
                spread_left,
                is_kept,
            });
        }
        rooms
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
        };
        self.dirty.insert(ids::JobId::clone(&candidate.job));
        self.orders.push(task.clone());
        self.insert_run(task, run);
    }

    /// Keeps workers for a gang that does not fit now. Returns whether it keeps any.
    fn keep_workers(
        &mut self,
        candidate: &Candidate,
        open: &[Room],
        queue: &Queue,
        limit: &Resources,
    ) -> bool {
        let key = candidate.key();
        let waiting = candidate.waiting.len();
        let held = self.kept.iter().filter(|(_, (job, step, _))| *job == key.0 && *step == key.1);
        let mut held_count = 0;
        let mut is_held_open = true;
        for (worker, _) in held {
            held_count += 1;
            is_held_open = is_held_open && open.iter().any(|room| room.worker == *worker);
        }
        if held_count > 0 && is_held_open {
            return true;
        }
        self.kept.retain(|_, (job, step, _)| *job != key.0 || *step != key.1);
        // Workers are of no use while the account's limit is in the way.
        if place::times(&candidate.step().need, limit) < waiting {
            return false;
        }
        let mut rooms = open.to_vec();
        if queue.advice.is_some() {
            rooms.retain(|room| {
                self.advice.get(&key).is_some_and(|advice| advice.is_eligible(&room.worker))
            });
        }
        let Some(kept) = place::keep(candidate.step(), waiting, &rooms) else {
            return false;
        };
        tracing::info!(job = %candidate.job, step = candidate.step, workers = kept.len(),
            "workers kept for a gang");
        for worker in kept {
            let holder = (ids::JobId::clone(&key.0), key.1, queue.priority);
            self.kept.insert(worker, holder);
        }
        true
    }

    /// Asks the adviser about the step, if that can help it to start.
    fn ask(
        &mut self,
        context: &mut Context<'_>,
        candidate: &Candidate,
        terms: AdviceTerms,
        mut open: Vec<Room>,
        limit: &Resources,
        is_keeping: bool,
    ) {
        let Some(host) = self.idle_adviser_host() else {
            return;
        };
        let step = candidate.step();
        let advice = self.advice.entry(candidate.key()).or_default();
        let is_first = advice.eligible().next().is_none();
        open.sort_by_key(|room| std::cmp::Reverse(room.free.dominant_share_ppm(&room.capacity)));
        if step.gang {
            open.retain(|room| place::times(&step.need, &room.capacity) > 0);
        } else if !is_first {
            open.retain(|room| step.need.fits_in(&room.free) && room.spread_left > 0);
        }
        let names: Vec<ids::WorkerId> =
            open.iter().map(|room| ids::WorkerId::clone(&room.worker)).collect();
        // Tickets of a gang are renewed only while they can be of use: it fits now, or workers are
        // kept for it. Workers that nothing is known of are always of interest.
        let renewal = if !step.gang {
            Renewal::Ahead(time::Duration::ZERO)
        } else if is_keeping {
            Renewal::Ahead(terms.base)
        } else {
            open.retain(|room| advice.is_eligible(&room.worker));
            let waiting = candidate.waiting.len();
            if place::place(step, waiting, limit, &mut open).len() == waiting {
                Renewal::Ahead(time::Duration::ZERO)
            } else {
                Renewal::No
            }
        };
        let Some(workers) = advice.next_question(context.now, renewal, &names) else {
            return;
        };
        advice.note_asked(workers.clone());
        let named = u32::try_from(workers.len()).unwrap_or(u32::MAX);
        let expected = terms.base.saturating_add(terms.per_worker.saturating_mul(named));
        let timeout = expected.saturating_add(ADVISER_SLACK);
        let ticket = self.ticket();
        let question = Question {
            ticket,
            job: ids::JobId::clone(&candidate.job),
            step: candidate.step,
            workers,
            timeout_ms: pier_core::clock::millis(timeout),
        };
        tracing::debug!(job = %candidate.job, step = candidate.step, workers = named,
            host = host.as_deref(), "adviser asked");
        let asked = Asked {
            job: ids::JobId::clone(&candidate.job),
            step: candidate.step,
            host: host.clone(),
            gives_up_at: context.now.saturating_add(timeout).saturating_add(ADVISER_SLACK),
        };
        self.asked.insert(ticket, asked);
        context.effects.push(match host {
            Some(to) => Effect::Send { to, message: Message::AskAdviser { question } },
            None => Effect::Advise(question),
        });
    }

    /// A host that is not asking: the adviser takes one question at a time from each. This host
    /// comes last, because it has the most other work. None when all are asking.
    fn idle_adviser_host(&self) -> Option<Option<ids::HostId>> {
        for host in &self.peers {
            if !self.asked.values().any(|asked| asked.host.as_ref() == Some(host)) {
                return Some(Some(ids::HostId::clone(host)));
            }
        }
        let is_own_busy = self.asked.values().any(|asked| asked.host.is_none());
        (!is_own_busy).then_some(None)
    }

    /// Takes an answer of the adviser; none when there is none.
    pub fn on_advice(
        &mut self,
        context: &mut Context<'_>,
        ticket: ids::Ticket,
        answer: Option<&Advice>,
    ) {
        let Some(asked) = self.asked.remove(&ticket) else {
            return;
        };
        if answer.is_none() {
            tracing::warn!(job = %asked.job, step = asked.step, host = asked.host.as_deref(),
                "no advice");
        }
        if let Some(advice) = self.advice.get_mut(&(asked.job, asked.step)) {
            advice.note_answer(context.now, answer);
        }
    }

    pub(super) fn give_up_questions(&mut self, context: &mut Context<'_>) {
        let mut lost = Vec::new();
        for (ticket, asked) in &self.asked {
            if context.now >= asked.gives_up_at {
                lost.push(*ticket);
            }
        }
        for ticket in lost {
            self.on_advice(context, ticket, None);
        }
    }
}
