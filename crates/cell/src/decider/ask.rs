//! Questions to the adviser: for which steps, about which workers, from which host.

use std::time;

use pier_core::ids;
use pier_core::resources::Resources;

use crate::advice::{MOST_NAMED, Renewal, StepAdvice};
use crate::decider::schedule::Candidate;
use crate::decider::{Asked, Context, Decider};
use crate::declaration::{AdviserTiming, Queue};
use crate::effect::Effect;
use crate::job::Step;
use crate::peer::{Advice, AdviceRequest, Message};
use crate::place::{self, Room};

/// Added to the time that the adviser takes by its terms before a question is given up.
const ADVISER_SLACK: time::Duration = time::Duration::from_millis(800);

/// How many workers are worth asking about for each task of a gang: few are eligible, and fewer have
/// room.
const NAMED_PER_GANG_TASK: usize = 8;
/// The most questions that are under way for one step.
const MOST_QUESTIONS: usize = 6;
/// So many hosts are left to other steps while several ask for one.
const SPARE_HOSTS: usize = 8;
/// How long an order of the workers by free room is used.
const SORT_PAUSE: time::Duration = time::Duration::from_millis(40);

/// How many questions for a step may be under way together.
fn most_questions(step: &Step, waiting: usize) -> usize {
    if !step.gang {
        return 1;
    }
    waiting.saturating_mul(NAMED_PER_GANG_TASK).div_ceil(MOST_NAMED).clamp(1, MOST_QUESTIONS)
}

impl Decider {
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
            self.ask(context, candidate, queue, terms, &limit, false);
        }
    }

    /// Asks the adviser about the step, if that can help it to start. A wide gang needs many workers
    /// at once, so several hosts ask for it at the same time.
    pub(super) fn ask(
        &mut self,
        context: &mut Context<'_>,
        candidate: &Candidate,
        queue: &Queue,
        terms: AdviserTiming,
        limit: &Resources,
        is_keeping: bool,
    ) {
        let most = most_questions(candidate.step(), candidate.waiting.len());
        loop {
            let advice = self.advice.get(&candidate.key());
            let under_way = advice.map_or(0, StepAdvice::questions);
            let may_ask = advice.is_none_or(|advice| advice.may_ask(context.now));
            if under_way >= most || !may_ask {
                return;
            }
            let is_spare = self.asking.len() + SPARE_HOSTS <= self.peers.len();
            if under_way > 0 && !is_spare {
                return;
            }
            let Some(host) = self.idle_adviser_host() else {
                return;
            };
            let Some(workers) =
                self.workers_to_ask_about(context, candidate, queue, terms, limit, is_keeping)
            else {
                return;
            };
            self.send_question(context, candidate, terms, host, workers);
        }
    }

    /// The workers that the next question names. None when nothing is to be asked now.
    fn workers_to_ask_about(
        &mut self,
        context: &Context<'_>,
        candidate: &Candidate,
        queue: &Queue,
        terms: AdviserTiming,
        limit: &Resources,
        is_keeping: bool,
    ) -> Option<Vec<ids::WorkerId>> {
        self.sort_by_free(context.now);
        let step = candidate.step();
        let key = candidate.key();
        let advice = self.advice.entry(key.clone()).or_default();
        let is_first = advice.eligible().next().is_none();
        let known: Vec<ids::WorkerId> = advice.eligible().cloned().collect();
        let may_run = |id: &ids::WorkerId| -> Option<Room> {
            let worker = self.workers.get(id)?;
            let room = self.room(context, candidate, queue, worker)?;
            let is_large_enough = if step.gang {
                place::times(&step.need, &room.capacity) > 0
            } else {
                is_first || (step.need.fits_in(&room.free) && room.spread_left > 0)
            };
            is_large_enough.then_some(room)
        };
        let mut eligible = Vec::new();
        for id in &known {
            eligible.extend(may_run(id));
        }
        // What is kept for the gang comes first, then what has the most room.
        eligible.sort_by_key(|room| {
            let is_own = self
                .kept
                .get(&room.worker)
                .is_some_and(|(job, step, _)| *job == key.0 && *step == key.1);
            (!is_own, std::cmp::Reverse(room.free.dominant_share_ppm(&room.capacity)))
        });
        let names: Vec<ids::WorkerId> =
            eligible.iter().map(|room| ids::WorkerId::clone(&room.worker)).collect();
        // Tickets of a gang are renewed only while they can be of use: it fits now, or workers are
        // kept for it. Workers that nothing is known of are always of interest.
        let renewal = if !step.gang {
            Renewal::Ahead(time::Duration::ZERO)
        } else if is_keeping {
            Renewal::Ahead(terms.base)
        } else {
            let waiting = candidate.waiting.len();
            let placed = place::place(step, waiting, limit, &candidate.leeway, &mut eligible);
            if placed.len() == waiting { Renewal::Ahead(time::Duration::ZERO) } else { Renewal::No }
        };
        let advice = self.advice.get(&key)?;
        let mut workers = advice.lapsing(context.now, renewal, &names);
        for id in &self.by_free {
            if workers.len() >= MOST_NAMED {
                break;
            }
            if advice.is_unknown(id) && may_run(id).is_some() {
                workers.push(ids::WorkerId::clone(id));
            }
        }
        if workers.is_empty() {
            // Looked at again a little later.
            if let Some(advice) = self.advice.get_mut(&key) {
                advice.pause(context.now);
            }
            return None;
        }
        Some(workers)
    }

    fn send_question(
        &mut self,
        context: &mut Context<'_>,
        candidate: &Candidate,
        terms: AdviserTiming,
        host: Option<ids::HostId>,
        workers: Vec<ids::WorkerId>,
    ) {
        self.advice.entry(candidate.key()).or_default().note_asked(&workers);
        let named = u32::try_from(workers.len()).unwrap_or(u32::MAX);
        let expected = terms.base.saturating_add(terms.per_worker.saturating_mul(named));
        let timeout = expected.saturating_add(ADVISER_SLACK);
        let ticket = self.ticket();
        let request = AdviceRequest {
            ticket,
            job: ids::JobId::clone(&candidate.job),
            step: candidate.step,
            workers: workers.clone(),
            timeout_ms: pier_core::clock::millis(timeout),
        };
        tracing::debug!(job = %candidate.job, step = candidate.step, workers = named,
            host = host.as_deref(), "adviser asked");
        let asked = Asked {
            job: ids::JobId::clone(&candidate.job),
            step: candidate.step,
            host: host.clone(),
            workers,
            gives_up_at: context.now.saturating_add(timeout).saturating_add(ADVISER_SLACK),
        };
        self.asked.insert(ticket, asked);
        self.asking.insert(host.clone());
        context.effects.push(match host {
            Some(to) => Effect::Send { to, message: Message::AskAdviser { request } },
            None => Effect::RequestAdvice(request),
        });
    }

    /// Brings the order of the workers by free room up to date, if it is old.
    fn sort_by_free(&mut self, now: time::Duration) {
        if now < self.sorted_at.saturating_add(SORT_PAUSE) && !self.by_free.is_empty() {
            return;
        }
        self.sorted_at = now;
        let mut by_free: Vec<(u64, &ids::WorkerId)> = Vec::with_capacity(self.workers.len());
        for (id, worker) in &self.workers {
            let share = worker.free().dominant_share_ppm(&worker.entry.capacity);
            by_free.push((u64::MAX - share, id));
        }
        by_free.sort_unstable();
        self.by_free = by_free.into_iter().map(|(_, id)| ids::WorkerId::clone(id)).collect();
    }

    /// A host that is not asking: the adviser takes one question at a time from each. This host
    /// comes last, because it has the most other work. None when all are asking.
    pub(super) fn idle_adviser_host(&self) -> Option<Option<ids::HostId>> {
        for host in self.peers.keys() {
            if !self.asking.contains(&Some(ids::HostId::clone(host))) {
                return Some(Some(ids::HostId::clone(host)));
            }
        }
        (!self.asking.contains(&None)).then_some(None)
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
        self.asking.remove(&asked.host);
        if answer.is_none() {
            tracing::warn!(job = %asked.job, step = asked.step, host = asked.host.as_deref(),
                "no advice");
        }
        if let Some(advice) = self.advice.get_mut(&(asked.job, asked.step)) {
            advice.note_answer(context.now, &asked.workers, answer);
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
