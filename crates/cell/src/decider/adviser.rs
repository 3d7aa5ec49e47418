//! Advice requests: for which steps, about which workers, and from which host.

use std::time;

use pier_core::ids;
use pier_core::resources::Resources;

use crate::advice::{MAX_WORKERS_PER_REQUEST, StepAdvice, TicketRenewal};
use crate::decider::schedule::Candidate;
use crate::decider::{Context, Decider, PendingAdvice};
use crate::declaration::{AdviserTiming, Queue};
use crate::effect::Effect;
use crate::job::Step;
use crate::peer::{Advice, AdviceRequest, Message};
use crate::place::{self, AvailableWorker};

/// Added to the adviser's declared response time to get the timeout of a request.
const ADVISER_TIMEOUT_MARGIN: time::Duration = time::Duration::from_millis(800);

/// The number of workers that are worth naming for each task of a gang, because few are eligible
/// and fewer have free resources.
const WORKERS_PER_GANG_TASK: usize = 8;
/// The maximum number of open advice requests for one step.
const MAX_REQUESTS_PER_STEP: usize = 6;
/// The number of hosts that are left for other steps when a step uses several.
const MIN_IDLE_HOSTS: usize = 8;
/// How long a sorted list of the workers is used.
const SORT_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// How many advice requests for a step may be open at the same time.
fn max_requests(step: &Step, waiting: usize) -> usize {
    if !step.gang {
        return 1;
    }
    waiting
        .saturating_mul(WORKERS_PER_GANG_TASK)
        .div_ceil(MAX_WORKERS_PER_REQUEST)
        .clamp(1, MAX_REQUESTS_PER_STEP)
}

impl Decider {
    /// Requests advice for a job that was just accepted, so that its tickets are available when the
    /// next append begins.
    pub(super) fn request_advice_on_submit(&mut self, context: &mut Context<'_>, id: &ids::JobId) {
        if !self.has_worker_list {
            return;
        }
        let mut candidates = Vec::new();
        self.push_candidates(context, id, &mut candidates);
        for candidate in &candidates {
            let queue = context.declaration.queue(&candidate.spec.queue);
            let Some((queue, terms)) = queue.and_then(|queue| Some((queue, queue.advice?))) else {
                continue;
            };
            let limit = self.account_left(context, candidate);
            if context.options.load.gangs {
                self.advise_on_submit(context, candidate, queue, terms, &limit);
                continue;
            }
            self.request_advice(context, candidate, queue, terms, &limit, false);
        }
    }

    /// Requests advice for the step if that can help it to start. A wide gang needs many workers at
    /// once, so several hosts send requests for it at the same time.
    pub(super) fn request_advice(
        &mut self,
        context: &mut Context<'_>,
        candidate: &Candidate,
        queue: &Queue,
        terms: AdviserTiming,
        limit: &Resources,
        has_reservation: bool,
    ) {
        let max = max_requests(candidate.step(), candidate.waiting.len());
        loop {
            let advice = self.advice.get(&candidate.key());
            let open_requests = advice.map_or(0, StepAdvice::open_requests);
            let may_request = advice.is_none_or(|advice| advice.may_request(context.now));
            if open_requests >= max || !may_request {
                return;
            }
            let has_idle_hosts = self.busy_adviser_hosts.len() + MIN_IDLE_HOSTS <= self.peers.len();
            if open_requests > 0 && !has_idle_hosts {
                return;
            }
            let Some(host) = self.idle_adviser_host() else {
                return;
            };
            let Some(workers) =
                self.workers_to_request(context, candidate, queue, terms, limit, has_reservation)
            else {
                return;
            };
            self.send_advice_request(context, candidate, terms, host, workers);
        }
    }

    /// The workers that the next request names, or none if there is nothing to request now.
    fn workers_to_request(
        &mut self,
        context: &Context<'_>,
        candidate: &Candidate,
        queue: &Queue,
        terms: AdviserTiming,
        limit: &Resources,
        has_reservation: bool,
    ) -> Option<Vec<ids::WorkerId>> {
        self.sort_workers_by_free(context.now);
        let step = candidate.step();
        let key = candidate.key();
        let advice = self.advice.entry(key.clone()).or_default();
        let is_first = advice.eligible().next().is_none();
        let known: Vec<ids::WorkerId> = advice.eligible().cloned().collect();
        let may_run = |id: &ids::WorkerId| -> Option<AvailableWorker> {
            let worker = self.workers.get(id)?;
            let available = self.available_worker(context, candidate, queue, worker)?;
            let is_large_enough = if step.gang {
                place::fit_count(&step.need, &available.capacity) > 0
            } else {
                is_first || (step.need.fits_in(&available.free) && available.spread_left > 0)
            };
            is_large_enough.then_some(available)
        };
        let mut eligible = Vec::new();
        for id in &known {
            eligible.extend(may_run(id));
        }
        // Workers that are reserved for the gang come first, then those with the largest free
        // share.
        eligible.sort_by_key(|worker| {
            let is_own = self
                .gangs
                .whole_workers
                .get(&worker.worker)
                .is_some_and(|(job, step, _)| *job == key.0 && *step == key.1);
            (!is_own, std::cmp::Reverse(worker.free.dominant_share_ppm(&worker.capacity)))
        });
        let names: Vec<ids::WorkerId> =
            eligible.iter().map(|worker| ids::WorkerId::clone(&worker.worker)).collect();
        // Tickets of a gang are renewed only while they are useful: the gang fits now, or it has a
        // reservation. Workers of unknown eligibility are always named.
        let renewal = if !step.gang {
            TicketRenewal::ExpiringWithin(time::Duration::ZERO)
        } else if has_reservation {
            TicketRenewal::ExpiringWithin(terms.base)
        } else {
            let waiting = candidate.waiting.len();
            let placed =
                place::place(step, waiting, limit, &candidate.speed_tolerance, &mut eligible);
            if placed.len() == waiting {
                TicketRenewal::ExpiringWithin(time::Duration::ZERO)
            } else {
                TicketRenewal::None
            }
        };
        let advice = self.advice.get(&key)?;
        let mut workers = advice.expiring(context.now, renewal, &names);
        for id in &self.workers_by_free {
            if workers.len() >= MAX_WORKERS_PER_REQUEST {
                break;
            }
            if advice.is_unknown(id) && may_run(id).is_some() {
                workers.push(ids::WorkerId::clone(id));
            }
        }
        if workers.is_empty() {
            // Checked again after a short delay.
            if let Some(advice) = self.advice.get_mut(&key) {
                advice.delay_next_request(context.now);
            }
            return None;
        }
        Some(workers)
    }

    pub(super) fn send_advice_request(
        &mut self,
        context: &mut Context<'_>,
        candidate: &Candidate,
        terms: AdviserTiming,
        host: Option<ids::HostId>,
        workers: Vec<ids::WorkerId>,
    ) {
        self.advice.entry(candidate.key()).or_default().record_request(&workers);
        let named = u32::try_from(workers.len()).unwrap_or(u32::MAX);
        let expected = terms.base.saturating_add(terms.per_worker.saturating_mul(named));
        let timeout = expected.saturating_add(ADVISER_TIMEOUT_MARGIN);
        let ticket = context.tickets.issue();
        let request = AdviceRequest {
            ticket,
            job: ids::JobId::clone(&candidate.job),
            step: candidate.step,
            workers: workers.clone(),
            timeout_ms: pier_core::clock::millis(timeout),
        };
        tracing::debug!(job = %candidate.job, step = candidate.step, workers = named,
            host = host.as_deref(), "sending advice request");
        let pending = PendingAdvice {
            job: ids::JobId::clone(&candidate.job),
            step: candidate.step,
            is_gang: candidate.step().gang,
            host: host.clone(),
            workers,
            expires_at: context.now.saturating_add(timeout).saturating_add(ADVISER_TIMEOUT_MARGIN),
        };
        self.advice_requests.insert(ticket, pending);
        self.busy_adviser_hosts.insert(host.clone());
        context.effects.push(match host {
            Some(to) => Effect::Send { to, message: Message::AskAdviser { request } },
            None => Effect::RequestAdvice(request),
        });
    }

    /// Sorts the workers by their free share again if the last sort is too old.
    pub(super) fn sort_workers_by_free(&mut self, now: time::Duration) {
        if now < self.workers_sorted_at.saturating_add(SORT_INTERVAL)
            && !self.workers_by_free.is_empty()
        {
            return;
        }
        self.workers_sorted_at = now;
        let mut workers_by_free: Vec<(u64, &ids::WorkerId)> =
            Vec::with_capacity(self.workers.len());
        for (id, worker) in &self.workers {
            let share = worker.free().dominant_share_ppm(&worker.info.capacity);
            workers_by_free.push((u64::MAX - share, id));
        }
        workers_by_free.sort_unstable();
        self.workers_by_free =
            workers_by_free.into_iter().map(|(_, id)| ids::WorkerId::clone(id)).collect();
    }

    /// A host without an open advice request, because the adviser accepts one request at a time
    /// from each host. None if all hosts have one. Hosts whose last requests had no response come
    /// after the others, as they may not reach the adviser. Among equals this host comes last
    /// because it has the most other work.
    pub(super) fn idle_adviser_host(&self) -> Option<Option<ids::HostId>> {
        let peers = self.peers.keys().map(|host| Some(ids::HostId::clone(host)));
        let mut idle: Option<(u32, Option<ids::HostId>)> = None;
        for host in peers.chain([None]) {
            if self.busy_adviser_hosts.contains(&host) {
                continue;
            }
            let failures = self.adviser_failures.get(&host).copied().unwrap_or_default();
            if idle.as_ref().is_none_or(|(fewest, _)| failures < *fewest) {
                idle = Some((failures, host));
            }
        }
        idle.map(|(_, host)| host)
    }

    /// Handles the adviser's response, or none if there was no response.
    pub fn on_advice_response(
        &mut self,
        context: &mut Context<'_>,
        ticket: ids::Ticket,
        response: Option<&Advice>,
    ) {
        let Some(request) = self.advice_requests.remove(&ticket) else {
            return;
        };
        self.busy_adviser_hosts.remove(&request.host);
        if response.is_some() {
            self.adviser_failures.remove(&request.host);
        } else {
            let failures = self.adviser_failures.entry(request.host.clone()).or_default();
            *failures = failures.saturating_add(1);
            tracing::warn!(job = %request.job, step = request.step, host = request.host.as_deref(),
                "no response to the advice request");
        }
        if context.options.load.is_any()
            && let Some(response) = response
        {
            self.learn_eligible_share(
                context,
                &request.job,
                request.step,
                &request.workers,
                response,
            );
        }
        if let Some(advice) = self.advice.get_mut(&(request.job, request.step)) {
            advice.record_response(context.now, &request.workers, response);
        }
    }

    pub(super) fn expire_advice_requests(&mut self, context: &mut Context<'_>) {
        let mut lost = Vec::new();
        for (ticket, request) in &self.advice_requests {
            if context.now >= request.expires_at {
                lost.push(*ticket);
            }
        }
        for ticket in lost {
            self.on_advice_response(context, ticket, None);
        }
    }
}
