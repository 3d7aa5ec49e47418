//! Advice requests under load: a gang's are made together, and the hosts are divided among gangs
//! and other steps.

use std::time;

use pier_core::ids;
use pier_core::resources::Resources;
use pier_load::advice::{self, CallCost, Hosts, MAX_WORKERS_PER_CALL};

use crate::advice::{MIN_TICKET_VALIDITY, StepAdvice};
use crate::decider::availability::is_suitable;
use crate::decider::gangs::{GangPass, start_limit};
use crate::decider::schedule::Candidate;
use crate::decider::{Context, Decider};
use crate::declaration::{AdviserTiming, Queue};
use crate::place;
use crate::ranking::DeadlineStatus;
use crate::worker::Worker;

/// The gangs of a queue that learn where they may run before it is their turn to reserve, so that
/// the next ones can begin at once. At least one call of 1 s goes before each start.
const MAX_LEARNERS_PER_QUEUE: usize = 24;
/// The gangs of a queue that know where they may run and wait for their turn to reserve. More would
/// only use up the adviser's time, because their tickets expire.
const MAX_WAITING_LEARNED: usize = 6;
/// A gang learns of more workers if those that may run it would hold less than this many percent of
/// it when they are empty.
const MIN_KNOWN_PERCENT: usize = 150;
/// The most steps that look for workers to name in a pass. It bounds the time of a pass.
const MAX_SEARCHES: usize = 16;
/// How long tickets have to be valid after the time at which a gang is expected to have room,
/// because that is uncertain.
const TICKET_MARGIN: time::Duration = time::Duration::from_millis(300);

/// How much earlier than needed tickets are renewed, because runs may end early and reserved capacity
/// is idle until the tickets arrive.
const EARLY_RENEWAL: time::Duration = time::Duration::from_millis(200);

/// What is known of the adviser's load.
#[derive(Debug, Default)]
pub(super) struct AdviserLoad {
    /// Whether steps that are not gangs wait for advice.
    do_others_wait: bool,
    /// The number of calls of a gang that waits for idle hosts. No gang behind it makes calls.
    waiting_calls: usize,
    searches: usize,
}

impl AdviserLoad {
    /// Prepares a scheduling pass.
    pub(super) fn begin_pass(&mut self, do_others_wait: bool) {
        self.do_others_wait = do_others_wait;
        self.waiting_calls = 0;
        self.searches = 0;
    }
}

fn call_cost(terms: AdviserTiming) -> CallCost {
    CallCost { base: terms.base, per_worker: terms.per_worker }
}

impl Decider {
    /// Prepares a scheduling pass.
    pub(super) fn begin_advice_pass(&mut self, context: &Context<'_>, candidates: &[Candidate]) {
        let mut do_others_wait = false;
        for candidate in candidates {
            if candidate.step().gang || candidate.rank.deadline_status == DeadlineStatus::Expired {
                continue;
            }
            let queue = context.declaration.queue(&candidate.spec.queue);
            if queue.is_some_and(|queue| queue.advice.is_some()) {
                do_others_wait = true;
                break;
            }
        }
        self.adviser_load.begin_pass(do_others_wait);
    }

    /// Requests advice for a step of a job that was just accepted. Gangs wait for their turn if
    /// others wait already.
    pub(super) fn advise_on_submit(
        &mut self,
        context: &mut Context<'_>,
        candidate: &Candidate,
        queue: &Queue,
        terms: AdviserTiming,
        limit: &Resources,
    ) {
        let hosts = self.adviser_hosts();
        if !hosts.are_half_idle() || !candidate.step().need.fits_in(limit) {
            return;
        }
        let mut pass = GangPass::default();
        pass.room.insert(queue.service.clone(), Resources::MAX);
        self.advise(context, &mut pass, candidate, queue, terms);
    }

    pub(super) fn adviser_hosts(&self) -> Hosts {
        let busy_for_gangs = self.advice_requests.values().filter(|request| request.is_gang);
        Hosts {
            total: self.peers.len() + 1,
            busy: self.busy_adviser_hosts.len(),
            busy_for_gangs: busy_for_gangs.count(),
        }
    }

    /// Requests advice for the step if that can help it to start.
    pub(super) fn advise(
        &mut self,
        context: &mut Context<'_>,
        pass: &mut GangPass,
        candidate: &Candidate,
        queue: &Queue,
        terms: AdviserTiming,
    ) {
        let advice = self.advice.get(&candidate.key());
        let is_open = advice.is_some_and(|advice| advice.open_requests() > 0);
        let may_request = advice.is_none_or(|advice| advice.may_request(context.now));
        let is_expired = candidate.rank.deadline_status == DeadlineStatus::Expired;
        let hosts = self.adviser_hosts();
        let has_turn = !is_expired || hosts.are_half_idle();
        if candidate.step().gang {
            let may_learn = self.may_learn(context, pass, candidate, queue, terms);
            if !is_open && may_request && has_turn && self.adviser_load.waiting_calls == 0 {
                self.advise_gang(context, pass, candidate, queue, terms, may_learn);
            }
            return;
        }
        let has_room = add_demand(pass, candidate, queue);
        let may_call = hosts.for_others(self.adviser_load.waiting_calls) > 0;
        if !is_open && may_request && has_turn && has_room && may_call {
            self.advise_tasks(context, pass, candidate, queue, terms);
        }
    }

    /// Whether it is the gang's turn to learn where it may run.
    fn may_learn(
        &self,
        context: &Context<'_>,
        pass: &mut GangPass,
        candidate: &Candidate,
        queue: &Queue,
        terms: AdviserTiming,
    ) -> bool {
        if self.gangs.get(&candidate.key()).is_some() {
            return true;
        }
        let is_expired = candidate.rank.deadline_status == DeadlineStatus::Expired;
        let earliest = call_cost(terms).of(call_cost(terms).min_named());
        if !is_expired && start_limit(context, candidate, queue) < earliest {
            return false;
        }
        let knows_workers = self
            .advice
            .get(&candidate.key())
            .is_some_and(|advice| advice.eligible().next().is_some());
        let learners = pass.learners.entry(ids::QueueId::clone(&queue.name)).or_default();
        let (waiting, learned) = learners;
        *waiting += 1;
        *learned += usize::from(knows_workers);
        *waiting <= MAX_LEARNERS_PER_QUEUE && *learned <= MAX_WAITING_LEARNED
    }

    /// Makes all calls that the gang needs at the same moment.
    fn advise_gang(
        &mut self,
        context: &mut Context<'_>,
        pass: &mut GangPass,
        candidate: &Candidate,
        queue: &Queue,
        terms: AdviserTiming,
        may_learn: bool,
    ) {
        let mut workers = self.tickets_due(context, pass, candidate, queue, terms);
        if workers.is_empty() && may_learn {
            workers = self.workers_to_learn(context, pass, candidate, queue, terms);
        }
        if workers.is_empty() {
            if let Some(advice) = self.advice.get_mut(&candidate.key()) {
                advice.delay_next_request(context.now);
            }
            return;
        }
        let hosts = self.adviser_hosts();
        let do_others_wait = self.adviser_load.do_others_wait;
        let sizes = advice::call_sizes(workers.len(), hosts.max_for_gangs(do_others_wait));
        if sizes.len() > hosts.for_gangs(do_others_wait) {
            self.adviser_load.waiting_calls = sizes.len();
            return;
        }
        let longest = sizes.iter().copied().max().unwrap_or_default();
        let tickets_until = context
            .now
            .saturating_add(call_cost(terms).of(longest))
            .saturating_add(terms.validity)
            .saturating_sub(MIN_TICKET_VALIDITY);
        if let Some(reservation) = self.gangs.get_mut(&candidate.key()) {
            reservation.tickets_until = tickets_until;
        }
        for size in sizes {
            let Some(host) = self.idle_adviser_host() else {
                return;
            };
            let named = workers.drain(..size).collect();
            self.send_advice_request(context, candidate, terms, host, named);
        }
    }

    /// The workers whose tickets are to be renewed because the gang can start within the time that
    /// the call takes.
    fn tickets_due(
        &self,
        context: &Context<'_>,
        pass: &mut GangPass,
        candidate: &Candidate,
        queue: &Queue,
        terms: AdviserTiming,
    ) -> Vec<ids::WorkerId> {
        let key = candidate.key();
        let Some(advice) = self.advice.get(&key) else {
            return Vec::new();
        };
        let mut slots = Vec::new();
        let mut spares = Vec::new();
        let ready_at;
        if let Some(reservation) = self.gangs.get(&key) {
            ready_at = reservation.ready_at;
            slots.extend(reservation.slots.iter().map(|(id, _)| ids::WorkerId::clone(id)));
            spares.extend(reservation.spares.iter().cloned());
        } else if candidate.rank.deadline_status == DeadlineStatus::Expired
            && pass.count_new_plan()
            && let Some((plan, names)) =
                self.plan_gang(context, pass, candidate, queue, time::Duration::ZERO)
        {
            ready_at = plan.ready_at;
            slots.extend(plan.slots.iter().map(|(index, _)| ids::WorkerId::clone(&names[*index])));
        } else {
            return Vec::new();
        }
        let valid_at = ready_at.max(context.now);
        let is_valid =
            |id: &ids::WorkerId| advice.usable_until(id, time::Duration::ZERO) >= valid_at;
        if slots.iter().all(is_valid) {
            return Vec::new();
        }
        slots.extend(spares);
        let call = call_cost(terms).of(slots.len().min(MAX_WORKERS_PER_CALL));
        if ready_at > context.now.saturating_add(call).saturating_add(EARLY_RENEWAL) {
            return Vec::new();
        }
        let needed_until = context.now.saturating_add(call).max(ready_at) + TICKET_MARGIN;
        slots.retain(|id| advice.usable_until(id, time::Duration::ZERO) < needed_until);
        slots
    }

    /// The workers that a gang's calls name to learn where it may run.
    fn workers_to_learn(
        &mut self,
        context: &Context<'_>,
        pass: &GangPass,
        candidate: &Candidate,
        queue: &Queue,
        terms: AdviserTiming,
    ) -> Vec<ids::WorkerId> {
        let step = candidate.step();
        let key = candidate.key();
        let tasks = candidate.waiting.len();
        let fits = |worker: &Worker| {
            let spread = step.spread_limit.unwrap_or(usize::MAX);
            place::fit_count(&step.need, &worker.info.capacity).min(spread)
        };
        let is_usable = |worker: &Worker| {
            worker.accepts_work(context.now)
                && is_suitable(context, step, queue, worker)
                && fits(worker) > 0
        };
        let advice = self.advice.get(&key);
        let mut known: usize = 0;
        for id in advice.into_iter().flat_map(StepAdvice::eligible) {
            if let Some(worker) = self.workers.get(id).filter(|worker| is_usable(worker)) {
                known = known.saturating_add(fits(worker).min(tasks));
            }
        }
        if known.saturating_mul(100) >= tasks.saturating_mul(MIN_KNOWN_PERCENT)
            || self.adviser_load.searches >= MAX_SEARCHES
        {
            return Vec::new();
        }
        self.adviser_load.searches += 1;
        self.sort_workers_by_free(context.now);
        let advice = self.advice.get(&key);
        let mut unknown = Vec::new();
        let mut failed = Vec::new();
        for id in &self.workers_by_free {
            let Some(worker) = self.workers.get(id).filter(|worker| is_usable(worker)) else {
                continue;
            };
            if advice.is_none_or(|advice| advice.is_unknown(id)) {
                let list = if pass.has_failed(id) { &mut failed } else { &mut unknown };
                list.push((ids::WorkerId::clone(id), fits(worker)));
            }
        }
        unknown.append(&mut failed);
        let share = self.forecasts.eligible.share(&queue.name);
        let by_worker = unknown.iter().map(|(_, fits)| *fits);
        let count = advice::workers_to_learn(tasks, known, share, by_worker, call_cost(terms));
        unknown.truncate(count);
        unknown.into_iter().map(|(id, _)| id).collect()
    }

    /// Requests advice for a step that is not a gang, about workers that have or will soon have
    /// room for one of its tasks.
    fn advise_tasks(
        &mut self,
        context: &mut Context<'_>,
        pass: &GangPass,
        candidate: &Candidate,
        queue: &Queue,
        terms: AdviserTiming,
    ) {
        if self.adviser_load.searches >= MAX_SEARCHES {
            return;
        }
        self.adviser_load.searches += 1;
        self.sort_workers_by_free(context.now);
        let key = candidate.key();
        let step = candidate.step();
        let cost = call_cost(terms);
        let soon = context.now.saturating_add(cost.base).saturating_add(terms.validity);
        let advice = self.advice.entry(key.clone()).or_default();
        let has_ticket = advice.has_ticket(context.now);
        let mut renewed = Vec::new();
        let mut unknown = Vec::new();
        let mut later = Vec::new();
        for id in &self.workers_by_free {
            if renewed.len() + unknown.len() >= MAX_WORKERS_PER_CALL {
                break;
            }
            let Some(worker) = self.workers.get(id) else {
                continue;
            };
            let has_room = step.need.fits_in(&worker.free());
            if !has_room && later.len() >= MAX_WORKERS_PER_CALL {
                continue;
            }
            let is_unknown = advice.is_unknown(id);
            let is_expired = advice.is_eligible(id)
                && !advice.is_requested(id)
                && advice.ticket(context.now, id).is_none();
            if !(is_unknown || is_expired)
                || !worker.accepts_work(context.now)
                || !is_suitable(context, step, queue, worker)
            {
                continue;
            }
            let Some((free, _)) = self.gangs.free_for(candidate, context.now, worker) else {
                continue;
            };
            if step.need.fits_in(&free) {
                let list = if is_expired { &mut renewed } else { &mut unknown };
                list.push(ids::WorkerId::clone(id));
            } else if later.len() < MAX_WORKERS_PER_CALL
                && let Some(worker) = pass.workers.get(id)
                && step.need.fits_in(&free_by(soon, free, &worker.ends))
            {
                later.push(ids::WorkerId::clone(id));
            }
        }
        let is_now = !renewed.is_empty() || !unknown.is_empty();
        let share = self.forecasts.eligible.share(&queue.name);
        let tasks = u32::try_from(candidate.waiting.len()).unwrap_or(u32::MAX);
        let wanted = (f64::from(tasks) / share.max(0.01)).ceil();
        // The number is at most that of the tasks of a job times 100.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "bounded")]
        let wanted = (wanted as usize).clamp(cost.min_named(), MAX_WORKERS_PER_CALL);
        renewed.append(&mut unknown);
        if renewed.len() < wanted {
            renewed.append(&mut later);
        }
        renewed.truncate(wanted);
        // Tickets for workers that are full now are worth nothing until one has room.
        let is_useful = is_now || !has_ticket;
        let host = self.idle_adviser_host();
        let (Some(host), true, false) = (host, is_useful, renewed.is_empty()) else {
            if let Some(advice) = self.advice.get_mut(&key) {
                advice.delay_next_request(context.now);
            }
            return;
        };
        self.send_advice_request(context, candidate, terms, host, renewed);
    }
}

/// Adds the step to the work that waits ahead of others. Returns whether room is left for it behind
/// the steps ahead. Each of those needs its own advice, and more advice than room is wasted.
fn add_demand(pass: &mut GangPass, candidate: &Candidate, queue: &Queue) -> bool {
    let room = pass.room.get(&queue.service).copied().unwrap_or_default();
    let ahead = pass.demand_ahead.entry(queue.service.clone()).or_default();
    let has_room = ahead.fits_in(&room);
    let tasks = u64::try_from(candidate.waiting.len()).unwrap_or(u64::MAX);
    *ahead = ahead.plus(&candidate.step().need.scaled(tasks, 1));
    has_room
}

/// The free resources when the runs have ended that end until then.
fn free_by(
    until: time::Duration,
    free: Resources,
    ends: &[(time::Duration, Resources)],
) -> Resources {
    let mut free = free;
    for (at, amount) in ends {
        if *at > until {
            break;
        }
        free = free.plus(amount);
    }
    free
}
