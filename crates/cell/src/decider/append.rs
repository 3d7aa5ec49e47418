//! Appends of changes to the cell's log, and the actions that follow once an append is stored.

use std::collections::BTreeSet;
use std::sync;
use std::time;

use pier_core::ids;

use crate::decider::{Context, Decider, RequestOrigin};
use crate::effect::Effect;
use crate::event::AppendResponse;
use crate::follower::{Read, ReadError, Topic};
use crate::job::TaskRef;
use crate::options::Options;
use crate::peer::{Message, RequestOutcome};
use crate::record::{BatchHeader, Change, EndedJob, JobRecord, Record};
use crate::worker::WorkerIncarnation;

/// The maximum number of ended jobs that one append removes, so that appends stay small.
const MAX_FORGOTTEN_JOBS: usize = 200;

/// The maximum number of ended jobs that are retained, which bounds the memory after many changes of
/// the decider.
const MAX_ENDED_JOBS: usize = 50_000;
/// The maximum number of withdrawn job ids that are retained. Any caller can withdraw ids.
const MAX_WITHDRAWN_JOBS: usize = 10_000;
/// The records of changed jobs fill this fraction of the longest append. The rest is for the last
/// job, which may take two records of the greatest length, and for other records.
const APPEND_FILL_DIVISOR: usize = 2;

/// An append whose outcome is not known yet.
#[derive(Debug)]
pub(super) struct InFlightAppend {
    pub(super) ticket: ids::Ticket,
    pub(super) records: sync::Arc<Vec<Record>>,
    pub(super) jobs: BTreeSet<ids::JobId>,
    pub(super) replies: Vec<(RequestOrigin, RequestOutcome)>,
    pub(super) starts: Vec<TaskRef>,
    pub(super) ends: Vec<(ids::WorkerId, WorkerIncarnation, u64)>,
    /// Whether it releases the decider role.
    pub(super) releases: bool,
    /// Whether an attempt had no response, so that its records may be stored.
    pub(super) may_be_stored: bool,
    /// Whether an attempt was refused or had no response.
    pub(super) has_failed: bool,
    /// The read in progress that shows if an earlier attempt was stored.
    pub(super) check: Option<ids::Ticket>,
    /// When the first attempt was sent.
    pub(super) sent_at: time::Duration,
    /// When the next attempt is sent. None while a call is in flight.
    pub(super) retry_at: Option<time::Duration>,
}

impl Decider {
    /// Tells the other hosts that this one cannot reach the log, so that a host that can reach it
    /// may claim the decider role.
    pub(super) fn report_log_loss(&mut self, context: &mut Context<'_>) {
        let Some(append) = &self.in_flight else {
            return;
        };
        let patience = if append.has_failed {
            context.options.log_failure_timeout
        } else {
            context.options.log_stall_timeout
        };
        let is_lost = context.now >= append.sent_at.saturating_add(patience);
        let is_reported = context.now
            < self.log_loss_reported_at.saturating_add(context.options.log_failure_timeout);
        if !is_lost || is_reported {
            return;
        }
        self.log_loss_reported_at = context.now;
        for host in self.peers.keys() {
            let message = Message::LogUnreachable { token: self.token };
            context.effects.push(Effect::Send { to: ids::HostId::clone(host), message });
        }
    }

    pub(super) fn append(&mut self, context: &mut Context<'_>) {
        let sequence = context.tickets.issue();
        let mut records =
            vec![Record::batch_header(&BatchHeader { incarnation: self.incarnation, sequence })];
        let jobs = self.push_changes(context, &mut records);
        let starts = self.take_starts_of(&jobs);
        let mut replies = Vec::new();
        let mut ends = Vec::new();
        let is_complete = self.dirty.is_empty() && self.changed_terms.is_empty();
        if is_complete {
            replies = std::mem::take(&mut self.pending_replies);
            ends = std::mem::take(&mut self.pending_ends);
        }
        self.push_forgotten(context, &mut records);
        self.push_forgotten_withdrawals(context, &mut records);
        self.push_load_record(context, &mut records);
        let release = self.release.as_ref().filter(|_| is_complete);
        if let Some(claim) = release {
            records.push(Record::claim(claim));
        }
        let append = InFlightAppend {
            ticket: sequence,
            records: sync::Arc::new(records),
            releases: release.is_some(),
            jobs,
            replies,
            starts,
            ends,
            may_be_stored: false,
            check: None,
            has_failed: false,
            sent_at: context.now,
            retry_at: None,
        };
        self.last_append_at = context.now;
        context.effects.push(append_effect(&append, self.end, context.options));
        self.in_flight = Some(append);
    }

    /// Adds the records of changed terms and jobs, and returns the jobs. Changes that would make the
    /// append too long wait for the next one, and with them all replies and acknowledgements of run
    /// ends: these do not name the jobs that they depend on.
    fn push_changes(
        &mut self,
        context: &mut Context<'_>,
        records: &mut Vec<Record>,
    ) -> BTreeSet<ids::JobId> {
        let max_bytes = context.options.max_append_bytes / APPEND_FILL_DIVISOR;
        let mut jobs = BTreeSet::new();
        let mut bytes = self.push_changed_terms(max_bytes, records);
        while bytes < max_bytes {
            let Some(id) = self.dirty.pop_first() else {
                break;
            };
            let is_new = self.newly_accepted.remove(&id);
            let first = records.len();
            self.push_job_records(context, &id, is_new, records);
            for record in &records[first..] {
                bytes += record.stored_bytes();
            }
            jobs.insert(id);
        }
        jobs
    }

    /// Takes the starts whose jobs are among those of an append.
    fn take_starts_of(&mut self, jobs: &BTreeSet<ids::JobId>) -> Vec<TaskRef> {
        let mut starts = std::mem::take(&mut self.pending_starts);
        self.pending_starts = starts.extract_if(.., |task| !jobs.contains(&task.job)).collect();
        starts
    }

    fn push_job_records(
        &mut self,
        context: &mut Context<'_>,
        id: &ids::JobId,
        is_new: bool,
        records: &mut Vec<Record>,
    ) {
        if let Some(withdrawal) = context.cell_state.withdrawn.get(id) {
            let record = JobRecord::Withdrawn(withdrawal.clone());
            records.push(Record::job(id, Some(&record)));
            return;
        }
        let Some(job) = context.cell_state.live.get(id) else {
            return;
        };
        if is_new {
            let record = JobRecord::Accepted {
                accepted_wall_ms: job.accepted_wall_ms,
                spec: sync::Arc::clone(&job.spec),
            };
            records.push(Record::job(id, Some(&record)));
        }
        let Some(state) = job.progress.final_state.filter(|_| !self.has_runs(id)) else {
            records.push(Record::progress(id, Some(&job.progress)));
            return;
        };
        let ended = EndedJob {
            queue: ids::QueueId::clone(&job.spec.queue),
            account: job.spec.account.clone(),
            state,
            ended_wall_ms: context.wall_ms,
        };
        context.cell_state.live.remove(id);
        self.forecasts.forget(id);
        self.shares.forget_job(id);
        self.admission.forget(id);
        context.cell_state.ended.insert(ids::JobId::clone(id), ended.clone());
        self.ended_order.push_back((context.now, ids::JobId::clone(id)));
        let record = JobRecord::Ended(ended);
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
        let retention = context.options.ended_job_retention;
        for _ in 0..MAX_FORGOTTEN_JOBS {
            let Some((ended_at, id)) = self.ended_order.front() else {
                return;
            };
            let is_expired = context.now >= ended_at.saturating_add(retention);
            if !is_expired && self.ended_order.len() <= MAX_ENDED_JOBS {
                return;
            }
            context.cell_state.ended.remove(id);
            records.push(Record::job(id, None));
            self.ended_order.pop_front();
        }
    }

    fn push_forgotten_withdrawals(&mut self, context: &mut Context<'_>, records: &mut Vec<Record>) {
        let retention = context.options.ended_job_retention;
        for _ in 0..MAX_FORGOTTEN_JOBS {
            let Some((withdrawn_at, id)) = self.withdrawn_order.front() else {
                return;
            };
            let is_expired = context.now >= withdrawn_at.saturating_add(retention);
            if !is_expired && self.withdrawn_order.len() <= MAX_WITHDRAWN_JOBS {
                return;
            }
            context.cell_state.withdrawn.remove(id);
            // The record may not be part of an append yet.
            self.dirty.remove(id);
            records.push(Record::job(id, None));
            self.withdrawn_order.pop_front();
        }
    }

    /// Handles the response to an append.
    pub fn on_append_response(
        &mut self,
        context: &mut Context<'_>,
        ticket: ids::Ticket,
        response: AppendResponse,
    ) {
        let Some(append) = self.in_flight.as_mut().filter(|append| append.ticket == ticket) else {
            return;
        };
        match response {
            AppendResponse::Stored { end } => self.on_stored(context, end),
            AppendResponse::Refused => {
                append.has_failed = true;
                append.retry_at = Some(context.now.saturating_add(context.options.log_retry_delay));
                tracing::warn!(append = ticket, "log refused the append; retrying");
            }
            AppendResponse::NoAnswer => {
                append.may_be_stored = true;
                append.has_failed = true;
                append.retry_at = Some(context.now.saturating_add(context.options.log_retry_delay));
                tracing::warn!(append = ticket, "no response to the append; retrying");
            }
            AppendResponse::Conflict if append.may_be_stored => {
                // Either an earlier attempt was stored after all, or another host has claimed the
                // decider role.
                let read = Read::From { offset: self.end, wait: time::Duration::ZERO };
                let ticket = context.tickets.issue();
                append.check = Some(ticket);
                let timeout = context.options.log_timeout;
                context.effects.push(Effect::Read { ticket, topic: Topic::Cell, read, timeout });
            }
            AppendResponse::Conflict => {
                self.deposed = Some("another host has claimed the decider role")
            }
        }
    }

    /// Handles the records after the last known end of the log, which show whether an append
    /// without a response was stored.
    pub fn on_append_check(
        &mut self,
        context: &mut Context<'_>,
        ticket: ids::Ticket,
        records: Result<&[(ids::Offset, Record)], ReadError>,
    ) {
        // Other responses are to reads of the log that were sent before the claim.
        let Some(append) = self.in_flight.as_mut().filter(|append| append.check == Some(ticket))
        else {
            return;
        };
        append.check = None;
        // The records show nothing any more. The newest record of each key names the decider.
        if records == Err(ReadError::Trimmed) {
            self.deposed = Some("the log no longer has the records after the last known append");
            return;
        }
        let Some(records) = records.ok().filter(|records| !records.is_empty()) else {
            append.retry_at = Some(context.now.saturating_add(context.options.log_retry_delay));
            return;
        };
        let own = BatchHeader { incarnation: self.incarnation, sequence: append.ticket };
        let is_own = records.first().is_some_and(|(_, record)| {
            matches!(record.to_change(), Ok(Some(Change::BatchHeader(batch))) if batch == own)
        });
        if !is_own || records.len() > append.records.len() {
            self.deposed = Some("another host has claimed the decider role");
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
        self.confirmed_at = append.sent_at;
        tracing::debug!(
            append = append.ticket,
            records = append.records.len(),
            end,
            took_ms = pier_core::clock::millis(context.now.saturating_sub(append.sent_at)),
            "append stored"
        );
        for (origin, outcome) in append.replies {
            self.reply(context, origin, outcome);
        }
        for (worker, incarnation, up_to) in append.ends {
            let Some(worker) = self.workers.get_mut(&worker) else {
                continue;
            };
            if worker.info.incarnation == incarnation {
                worker.ends_stored = worker.ends_stored.max(up_to);
                self.poll_candidates.insert(ids::WorkerId::clone(&worker.info.id));
            }
        }
        if append.releases {
            self.deposed = Some("the host released the decider role");
            return;
        }
        self.send_starts(context, &append.starts);
    }
}

pub(super) fn append_effect(append: &InFlightAppend, at: ids::Offset, options: &Options) -> Effect {
    Effect::Append {
        ticket: append.ticket,
        at,
        records: sync::Arc::clone(&append.records),
        timeout: if append.has_failed { options.log_probe_timeout } else { options.log_timeout },
    }
}
