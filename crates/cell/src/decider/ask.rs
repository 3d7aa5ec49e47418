//! Questions to the adviser: for which steps, about which workers, from which host.

use std::time;

use pier_core::ids;
use pier_core::resources::Resources;

use crate::advice::Renewal;
use crate::decider::schedule::Candidate;
use crate::decider::{Asked, Context, Decider};
use crate::directory::{AdviceTerms, Queue};
use crate::effect::Effect;
use crate::peer::{Advice, Message, Question};
use crate::place;

/// Added to the time that the adviser takes by its terms before a question is given up.
const ADVISER_SLACK: time::Duration = time::Duration::from_millis(800);

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

    /// Asks the adviser about the step, if that can help it to start.
    pub(super) fn ask(
        &mut self,
        context: &mut Context<'_>,
        candidate: &Candidate,
        queue: &Queue,
        terms: AdviceTerms,
        limit: &Resources,
        is_keeping: bool,
    ) {
        let may_ask =
            self.advice.get(&candidate.key()).is_none_or(|advice| advice.may_ask(context.now));
        if !may_ask {
            return;
        }
        let Some(host) = self.idle_adviser_host() else {
            return;
        };
        let step = candidate.step();
        let mut open = self.open_rooms(context, candidate, queue);
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
            if place::place(step, waiting, limit, &candidate.leeway, &mut open).len() == waiting {
                Renewal::Ahead(time::Duration::ZERO)
            } else {
                Renewal::No
            }
        };
        let Some(workers) = advice.next_question(context.now, renewal, &names) else {
            // Nothing to ask about: looked at again a little later.
            advice.pause(context.now);
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
        self.asking.insert(host.clone());
        context.effects.push(match host {
            Some(to) => Effect::Send { to, message: Message::AskAdviser { question } },
            None => Effect::Advise(question),
        });
    }

    /// A host that is not asking: the adviser takes one question at a time from each. This host
    /// comes last, because it has the most other work. None when all are asking.
    pub(super) fn idle_adviser_host(&self) -> Option<Option<ids::HostId>> {
        for host in &self.peers {
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
