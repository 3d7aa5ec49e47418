//! Appends to the cell's log: what has changed, and what may be done once it is stored.

use std::collections::BTreeSet;
use std::sync;
use std::time;

use pier_core::ids;

use crate::cell_state::EndedJob;
use crate::decider::{Context, Decider, Origin};
use crate::effect::Effect;
use crate::event::AppendResponse;
use crate::follower::{Read, Topic};
use crate::job::TaskRef;
use crate::options::Options;
use crate::peer::{Message, RequestOutcome};
use crate::record::{BatchHeader, Change, JobRecord, Record};
use crate::worker::Life;

/// The most ended jobs that one append forgets, so that appends stay small.
const MOST_FORGOTTEN: usize = 200;

/// An append that has not been answered for good.
#[derive(Debug)]
pub(super) struct InFlight {
    pub(super) ticket: ids::Ticket,
    pub(super) records: sync::Arc<Vec<Record>>,
    pub(super) jobs: BTreeSet<ids::JobId>,
    pub(super) replies: Vec<(Origin, RequestOutcome)>,
    pub(super) orders: Vec<TaskRef>,
    pub(super) ends: Vec<(ids::WorkerId, Life, u64)>,
    /// The decider's place is given up with it.
    pub(super) releases: bool,
    /// An attempt was not answered, so that the records may already be there.
    pub(super) is_unsure: bool,
    /// An attempt was refused or not answered.
    pub(super) has_failed: bool,
    /// A read is under way that tells whether an earlier attempt was carried out.
    pub(super) is_resolving: bool,
    /// When it was sent first.
    pub(super) sent_at: time::Duration,
    /// When it is to be sent again; none while a call is under way.
    pub(super) retry_at: Option<time::Duration>,
}

impl Decider {
    /// Tells the other hosts that this one does not reach the log, so that one that does can claim.
    pub(super) fn tell_log_lost(&mut self, context: &mut Context<'_>) {
        let Some(append) = &self.in_flight else {
            return;
        };
        let patience = if append.has_failed {
            context.options.log_failure_timeout
        } else {
            context.options.log_stall_timeout
        };
        let is_lost = context.now >= append.sent_at.saturating_add(patience);
        let is_told =
            context.now < self.log_lost_told_at.saturating_add(context.options.log_failure_timeout);
        if !is_lost || is_told {
            return;
        }
        self.log_lost_told_at = context.now;
        for host in self.peers.keys() {
            let message = Message::LogUnreachable { token: self.token };
            context.effects.push(Effect::Send { to: ids::HostId::clone(host), message });
        }
    }

    pub(super) fn append(&mut self, context: &mut Context<'_>) {
        let sequence = self.ticket();
        let mut records =
            vec![Record::batch_header(&BatchHeader { incarnation: self.incarnation, sequence })];
        let jobs = std::mem::take(&mut self.dirty);
        let accepted = std::mem::take(&mut self.accepted);
        for id in &jobs {
            self.push_job_records(context, id, accepted.contains(id), &mut records);
        }
        self.push_forgotten(context, &mut records);
        if let Some(claim) = &self.release {
            records.push(Record::claim(claim));
        }
        let append = InFlight {
            ticket: sequence,
            records: sync::Arc::new(records),
            jobs,
            replies: std::mem::take(&mut self.replies),
            orders: std::mem::take(&mut self.orders),
            ends: std::mem::take(&mut self.ends),
            releases: self.release.is_some(),
            is_unsure: false,
            is_resolving: false,
            has_failed: false,
            sent_at: context.now,
            retry_at: None,
        };
        self.last_append_at = context.now;
        context.effects.push(append_effect(&append, self.end, context.options));
        self.in_flight = Some(append);
    }

    fn push_job_records(
        &mut self,
        context: &mut Context<'_>,
        id: &ids::JobId,
        is_new: bool,
        records: &mut Vec<Record>,
    ) {
        let Some(job) = context.ledger.live.get(id) else {
            return;
        };
        if is_new {
            let record = JobRecord::Accepted {
                accepted_wall_ms: job.accepted_wall_ms,
                spec: sync::Arc::clone(&job.spec),
            };
            records.push(Record::job(id, Some(&record)));
        }
        let Some(state) = job.progress.verdict.filter(|_| !self.has_runs(id)) else {
            records.push(Record::progress(id, Some(&job.progress)));
            return;
        };
        let queue = ids::QueueId::clone(&job.spec.queue);
        context.ledger.live.remove(id);
        self.beyond_share.remove(id);
        let ended =
            EndedJob { queue: ids::QueueId::clone(&queue), state, ended_wall_ms: context.wall_ms };
        context.ledger.ended.insert(ids::JobId::clone(id), ended);
        self.ended_order.push_back((context.wall_ms, ids::JobId::clone(id)));
        let record = JobRecord::Ended { queue, state, ended_wall_ms: context.wall_ms };
        records.push(Record::job(id, Some(&record)));
        records.push(Record::progress(id, None));
        while let Some((key, _)) =
            self.advice.range((ids::JobId::clone(id), 0)..).next().filter(|(key, _)| key.0 == *id)
        {
            let key = key.clone();
            self.advice.remove(&key);
        }
    }

    fn push_forgotten(&mut self, context: &mut Context<'_>, records: &mut Vec<Record>) {
        let remember_ms = pier_core::clock::millis(context.options.ended_job_retention);
        for _ in 0..MOST_FORGOTTEN {
            let Some((ended_wall_ms, id)) = self.ended_order.front() else {
                return;
            };
            if context.wall_ms < ended_wall_ms.saturating_add(remember_ms) {
                return;
            }
            context.ledger.ended.remove(id);
            records.push(Record::job(id, None));
            self.ended_order.pop_front();
        }
    }

    /// Takes the answer to an append.
    pub fn on_appended(
        &mut self,
        context: &mut Context<'_>,
        ticket: ids::Ticket,
        answer: AppendResponse,
    ) {
        let Some(append) = self.in_flight.as_mut().filter(|append| append.ticket == ticket) else {
            return;
        };
        match answer {
            AppendResponse::Stored { end } => self.on_stored(context, end),
            AppendResponse::Refused => {
                append.has_failed = true;
                append.retry_at = Some(context.now.saturating_add(context.options.log_retry_delay));
                tracing::warn!(append = ticket, "append refused, to be repeated");
            }
            AppendResponse::NoAnswer => {
                append.is_unsure = true;
                append.has_failed = true;
                append.retry_at = Some(context.now.saturating_add(context.options.log_retry_delay));
                tracing::warn!(append = ticket, "append without an answer, to be repeated");
            }
            AppendResponse::Conflict if append.is_unsure => {
                // Either an earlier attempt was carried out after all, or another host has claimed.
                let read = Read::From { offset: self.end, wait: time::Duration::ZERO };
                append.is_resolving = true;
                let timeout = context.options.log_timeout;
                context.effects.push(Effect::Read { topic: Topic::Cell, read, timeout });
            }
            AppendResponse::Conflict => self.deposed = Some("another host has claimed"),
        }
    }

    /// Takes the records behind the last known end, after an append of which it is not known
    /// whether it was carried out. None stands for a failed read.
    pub fn on_resolved(
        &mut self,
        context: &mut Context<'_>,
        records: Option<&[(ids::Offset, Record)]>,
    ) {
        // A read from before the claim may be answered now.
        let Some(append) = self.in_flight.as_mut().filter(|append| append.is_resolving) else {
            return;
        };
        if records
            .is_some_and(|records| records.first().is_some_and(|(offset, _)| *offset < self.end))
        {
            return;
        }
        append.is_resolving = false;
        let Some(records) = records.filter(|records| !records.is_empty()) else {
            append.retry_at = Some(context.now.saturating_add(context.options.log_retry_delay));
            return;
        };
        let own = BatchHeader { incarnation: self.incarnation, sequence: append.ticket };
        let is_own = records.first().is_some_and(|(_, record)| {
            matches!(record.to_change(), Ok(Some(Change::BatchHeader(batch))) if batch == own)
        });
        if !is_own || records.len() > append.records.len() {
            self.deposed = Some("another host has claimed");
            return;
        }
        let added = u64::try_from(append.records.len()).unwrap_or(u64::MAX);
        self.on_stored(context, self.end.saturating_add(added));
    }

    fn on_stored(&mut self, context: &mut Context<'_>, end: ids::Offset) {
        let Some(append) = self.in_flight.take() else {
            return;
        };
        self.end = end;
        self.last_stored_at = context.now;
        tracing::debug!(
            append = append.ticket,
            records = append.records.len(),
            end,
            took_ms = pier_core::clock::millis(context.now.saturating_sub(append.sent_at)),
            "append stored"
        );
        for (origin, verdict) in append.replies {
            self.reply(context, origin, verdict);
        }
        for (worker, life, up_to) in append.ends {
            let Some(worker) = self.workers.get_mut(&worker) else {
                continue;
            };
            if worker.entry.life == life {
                worker.ends_stored = worker.ends_stored.max(up_to);
                self.touched.insert(ids::WorkerId::clone(&worker.entry.id));
            }
        }
        if append.releases {
            self.deposed = Some("the place was given up");
            return;
        }
        self.send_starts(context, &append.orders);
    }
}

pub(super) fn append_effect(append: &InFlight, at: ids::Offset, options: &Options) -> Effect {
    Effect::Append {
        ticket: append.ticket,
        at,
        records: sync::Arc::clone(&append.records),
        timeout: options.log_timeout,
    }
}
