//! Accepts and stores jobs, and tracks the callers that wait for an answer about a job.

use std::collections;
use std::time;

use pier_core::{caller, ids};

use super::admission;
use crate::{cluster, effect, message, outbox, record};

/// The number of peers in other availability zones that must hold a job while the log is
/// unreachable.
const REQUIRED_HOLDERS: usize = 2;
/// The number of peers that are asked to hold a job. It is larger than the number of required
/// holders so that the loss of a peer does no harm.
const ASKED_HOLDERS: usize = 4;
/// The interval between requests to peers that have not acknowledged a job.
const HOLD_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// How long a peer may be silent and still be asked to hold a job.
const PEER_ALIVE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// How long a caller waits for a job or its cancellation to be stored.
const STORE_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// How long a query waits for the reply of the job's owner.
const QUERY_TIMEOUT: time::Duration = time::Duration::from_millis(1_900);
/// How long a holder waits for the host that received the job to append it, before the holder
/// appends it itself.
const HELD_APPEND_DELAY: time::Duration = time::Duration::from_secs(2);
/// The maximum number of jobs that are held until the log is reachable again.
const MAX_HELD: usize = 10_000;
/// The suggested retry delay in a refusal.
pub(super) const RETRY_AFTER_MS: u64 = 1_000;

/// The answer to a caller.
pub(super) type Answer = std::result::Result<caller::JobStatus, caller::Refusal>;

/// A job that is being stored.
#[derive(Debug)]
struct PendingSubmission {
    record: record::JobRecord,
    /// The callers that wait, and the time until which they wait.
    callers: Vec<(ids::Ticket, time::Duration)>,
    /// Whether the job was passed on for an append to the log.
    appended: bool,
    asked_peers: Vec<ids::HostId>,
    asked_at: Option<time::Duration>,
    /// The hosts in other availability zones that hold the job.
    holders: collections::BTreeSet<ids::HostId>,
}

/// A job that this host holds until it is in the log.
#[derive(Debug)]
struct HeldJob {
    record: record::JobRecord,
    /// How long after the log becomes reachable this host appends the job. The host that received
    /// the job appends it first; the other holders append only what that host did not.
    delay: time::Duration,
    append_at: time::Duration,
}

/// The jobs that are being stored or held, and the callers that wait for an answer.
#[derive(Debug)]
pub(super) struct Intake {
    max_waiting: usize,
    pending_submissions: collections::BTreeMap<ids::JobId, PendingSubmission>,
    held: collections::BTreeMap<ids::JobId, HeldJob>,
    cancelling: collections::BTreeMap<ids::JobId, Vec<(ids::Ticket, time::Duration)>>,
    /// The time until which each query waits, by the caller's ticket. The ticket also matches the
    /// reply to the query.
    queries: collections::BTreeMap<ids::Ticket, time::Duration>,
}

impl Intake {
    pub(super) fn new(max_waiting: usize) -> Self {
        Self {
            max_waiting,
            pending_submissions: collections::BTreeMap::new(),
            held: collections::BTreeMap::new(),
            cancelling: collections::BTreeMap::new(),
            queries: collections::BTreeMap::new(),
        }
    }

    /// Whether no caller waits.
    pub(super) fn is_drained(&self) -> bool {
        self.pending_submissions.is_empty() && self.cancelling.is_empty() && self.queries.is_empty()
    }

    /// The record of a job that this host holds until it is in the log.
    pub(super) fn held(&self, job: &ids::JobId) -> Option<&record::JobRecord> {
        self.held.get(job).map(|held| &held.record)
    }

    pub(super) fn held_ids(&self) -> Vec<ids::JobId> {
        self.held.keys().cloned().collect()
    }

    fn waiting(&self) -> usize {
        self.pending_submissions.len() + self.cancelling.len() + self.queries.len()
    }

    /// Accepts or refuses a job that is known neither to this host nor in the folded log.
    pub(super) fn submit(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        submission: super::Submission,
        out: &mut outbox::Outbox,
    ) {
        let ticket = submission.ticket;
        if let Some(pending) = self.pending_submissions.get_mut(&submission.job) {
            if pending.callers.len() >= self.max_waiting {
                answer(ticket, Err(overloaded()), out);
            } else if pending.record.team != submission.team {
                answer(ticket, Err(id_taken(&submission.job)), out);
            } else if pending.record.request == submission.request {
                pending.callers.push((ticket, now + STORE_TIMEOUT));
            } else {
                answer(ticket, Err(request_mismatch(&submission.job)), out);
            }
            return;
        }
        if let Err(refusal) = admission::check(cluster, &submission) {
            answer(ticket, Err(refusal), out);
            return;
        }
        if self.waiting() >= self.max_waiting {
            answer(ticket, Err(overloaded()), out);
            return;
        }
        let record = record::JobRecord {
            job: submission.job.clone(),
            team: submission.team,
            class: submission.class,
            request: submission.request,
            wall_ms: submission.wall_ms,
        };
        if cluster.log_unreachable && holder_candidates(now, cluster).len() < REQUIRED_HOLDERS {
            let detail = "the log is unreachable and too few peers in other zones can hold the job";
            answer(ticket, Err(not_stored(detail)), out);
            return;
        }
        let mut pending = PendingSubmission {
            record,
            callers: vec![(ticket, now + STORE_TIMEOUT)],
            appended: false,
            asked_peers: Vec::new(),
            asked_at: None,
            holders: collections::BTreeSet::new(),
        };
        pending.store(now, cluster, out);
        self.pending_submissions.insert(submission.job, pending);
    }

    /// Holds a job for a peer until it is in the log.
    pub(super) fn hold(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        from: &ids::HostId,
        record: record::JobRecord,
        out: &mut outbox::Outbox,
    ) {
        let job = record.job.clone();
        let known = cluster.jobs.contains_key(&job) || self.held.contains_key(&job);
        if !known {
            if self.held.len() >= MAX_HELD || cluster.leaving {
                return;
            }
            let delay = HELD_APPEND_DELAY;
            self.held.insert(job.clone(), HeldJob { record, delay, append_at: now + delay });
        }
        out.send(cluster, from, message::Message::Job(message::JobMessage::HoldAck { job }));
    }

    /// Handles a peer's acknowledgement that it holds a job.
    pub(super) fn on_hold_ack(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        from: &ids::HostId,
        job: &ids::JobId,
        out: &mut outbox::Outbox,
    ) {
        let Some(pending) = self.pending_submissions.get_mut(job) else {
            return;
        };
        let Some(peer) = cluster.peers.get(from) else {
            return;
        };
        if peer.member.availability_zone == cluster.identity.availability_zone {
            return;
        }
        pending.holders.insert(from.clone());
        if pending.holders.len() < REQUIRED_HOLDERS || !cluster.log_unreachable {
            return;
        }
        let Some(pending) = self.pending_submissions.remove(job) else {
            return;
        };
        for (ticket, _) in pending.callers {
            answer(ticket, Ok(held_status(&pending.record)), out);
        }
        let record = pending.record;
        let delay = time::Duration::ZERO;
        self.held.insert(job.clone(), HeldJob { record, delay, append_at: now });
    }

    /// Appends the cancellation of a job and answers once it is in the folded log.
    pub(super) fn cancel(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        ticket: ids::Ticket,
        job: ids::JobId,
        out: &mut outbox::Outbox,
    ) {
        if cluster.declaration.services.iter().any(|service| service.name == job) {
            let detail = "a declared service ends when it is removed from the declaration";
            let refusal = caller::Refusal::not_run(caller::RefusalKind::BadRequest, detail);
            answer(ticket, Err(refusal), out);
            return;
        }
        if cluster.log_unreachable || !cluster.jobs.contains_key(&job) {
            let detail = "the cancellation cannot be stored while the log is unreachable";
            let refusal = caller::Refusal::not_run(caller::RefusalKind::NotStored, detail);
            answer(ticket, Err(refusal.with_retry_after(RETRY_AFTER_MS)), out);
            return;
        }
        if self.waiting() >= self.max_waiting {
            answer(ticket, Err(overloaded()), out);
            return;
        }
        let callers = self.cancelling.entry(job.clone()).or_default();
        if callers.is_empty() {
            out.append(record::Entry::JobCancelled { job });
        }
        callers.push((ticket, now + STORE_TIMEOUT));
    }

    /// Asks the owner of a job for its status.
    pub(super) fn ask_owner(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        ticket: ids::Ticket,
        job: ids::JobId,
        out: &mut outbox::Outbox,
    ) {
        let home = cluster.home_of(&job).filter(|home| cluster.peers.contains_key(*home));
        let Some(home) = home.cloned() else {
            answer(ticket, Err(owner_unresponsive()), out);
            return;
        };
        if self.waiting() >= self.max_waiting {
            answer(ticket, Err(overloaded()), out);
            return;
        }
        self.queries.insert(ticket, now + QUERY_TIMEOUT);
        let query = message::JobMessage::Query { ticket, job };
        out.send(cluster, &home, message::Message::Job(query));
    }

    /// Handles the reply of a job's owner to a query.
    pub(super) fn on_status(
        &mut self,
        ticket: ids::Ticket,
        status: Option<caller::JobStatus>,
        out: &mut outbox::Outbox,
    ) {
        if self.queries.remove(&ticket).is_none() {
            return;
        }
        answer(ticket, status.ok_or_else(owner_unresponsive), out);
    }

    /// Handles a job that is new or has changed in the folded log.
    pub(super) fn on_job_folded(
        &mut self,
        job: &ids::JobId,
        fold: &record::JobFold,
        out: &mut outbox::Outbox,
    ) {
        self.held.remove(job);
        if let Some(pending) = self.pending_submissions.remove(job) {
            for (ticket, _) in pending.callers {
                if pending.record.team == fold.record.team {
                    answer(ticket, Ok(fold_status(job, fold)), out);
                } else {
                    answer(ticket, Err(id_taken(job)), out);
                }
            }
        }
        if !fold.cancelled && fold.phase.is_none() {
            return;
        }
        for (ticket, _) in self.cancelling.remove(job).unwrap_or_default() {
            answer(ticket, Ok(fold_status(job, fold)), out);
        }
    }

    /// Runs the periodic work.
    pub(super) fn tick(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        out: &mut outbox::Outbox,
    ) {
        self.append_held(now, cluster, out);
        for pending in self.pending_submissions.values_mut() {
            pending.store(now, cluster, out);
        }
        let detail = "the job could not be stored in time";
        self.pending_submissions.retain(|_, pending| {
            refuse_expired(&mut pending.callers, now, detail, out);
            !pending.callers.is_empty()
        });
        let detail = "the cancellation could not be stored in time";
        self.cancelling.retain(|_, callers| {
            refuse_expired(callers, now, detail, out);
            !callers.is_empty()
        });
        self.queries.retain(|ticket, until| {
            if now >= *until {
                answer(*ticket, Err(owner_unresponsive()), out);
            }
            now < *until
        });
    }

    /// Appends held jobs once the log is reachable again.
    fn append_held(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        out: &mut outbox::Outbox,
    ) {
        for (job, held) in &mut self.held {
            if cluster.log_unreachable {
                held.append_at = now + held.delay;
                continue;
            }
            if now < held.append_at || cluster.jobs.contains_key(job) {
                continue;
            }
            held.append_at = now + super::job::APPEND_RETRY_INTERVAL;
            out.append(record::Entry::JobAccepted(held.record.clone()));
        }
    }
}

impl PendingSubmission {
    /// Appends the job to the log, or asks peers to hold it while the log is unreachable.
    fn store(&mut self, now: time::Duration, cluster: &cluster::Cluster, out: &mut outbox::Outbox) {
        if !cluster.log_unreachable {
            if !self.appended {
                self.appended = true;
                out.append(record::Entry::JobAccepted(self.record.clone()));
            }
            return;
        }
        if self.asked_at.is_some_and(|at| now < at + HOLD_RETRY_INTERVAL) {
            return;
        }
        self.asked_at = Some(now);
        if self.asked_peers.len() < ASKED_HOLDERS {
            for host in holder_candidates(now, cluster) {
                if self.asked_peers.len() < ASKED_HOLDERS && !self.asked_peers.contains(&host) {
                    self.asked_peers.push(host);
                }
            }
            // The owner runs the job while the log is unreachable. An owner in the same zone as this
            // host does not count as a holder.
            if let Some(home) = cluster.home_of(&self.record.job)
                && *home != cluster.identity.host
                && !self.asked_peers.contains(home)
            {
                self.asked_peers.push(home.clone());
            }
        }
        for host in &self.asked_peers {
            if !self.holders.contains(host) {
                let hold = message::JobMessage::Hold { record: self.record.clone() };
                out.send(cluster, host, message::Message::Job(hold));
            }
        }
    }
}

/// The live peers in other availability zones, taken from the zones in turn.
fn holder_candidates(now: time::Duration, cluster: &cluster::Cluster) -> Vec<ids::HostId> {
    let mut by_zone: collections::BTreeMap<&ids::ZoneId, Vec<&ids::HostId>> =
        collections::BTreeMap::new();
    for (host, peer) in &cluster.peers {
        let alive = peer.heard_at.is_some_and(|at| now < at + PEER_ALIVE_TIMEOUT);
        let zone = &peer.member.availability_zone;
        if !alive || peer.leaving || *zone == cluster.identity.availability_zone {
            continue;
        }
        by_zone.entry(zone).or_default().push(host);
    }
    let max_per_zone = by_zone.values().map(Vec::len).max().unwrap_or(0);
    let mut candidates = Vec::new();
    for round in 0..max_per_zone {
        for hosts in by_zone.values() {
            candidates.extend(hosts.get(round).map(|host| (*host).clone()));
        }
    }
    candidates
}

/// Refuses the callers whose wait has expired.
fn refuse_expired(
    callers: &mut Vec<(ids::Ticket, time::Duration)>,
    now: time::Duration,
    detail: &str,
    out: &mut outbox::Outbox,
) {
    callers.retain(|(ticket, until)| {
        if now >= *until {
            answer(*ticket, Err(not_stored(detail)), out);
        }
        now < *until
    });
}

/// The refusal of a request about a job that does not exist or belongs to another team.
pub(super) fn unknown_job(job: &ids::JobId) -> caller::Refusal {
    caller::Refusal::not_run(caller::RefusalKind::UnknownJob, format!("job {job} is not known"))
}

/// The refusal of a job whose id is used by another team.
pub(super) fn id_taken(job: &ids::JobId) -> caller::Refusal {
    let detail = format!("the job id {job} is used by another team");
    caller::Refusal::not_run(caller::RefusalKind::Duplicate, detail)
}

/// The refusal of a job whose idempotency key the team has used for a different job.
pub(super) fn request_mismatch(job: &ids::JobId) -> caller::Refusal {
    let detail = format!("the idempotency key was used for a different job, {job}");
    caller::Refusal::not_run(caller::RefusalKind::Duplicate, detail)
}

fn not_stored(detail: &str) -> caller::Refusal {
    caller::Refusal::unknown(caller::RefusalKind::NotStored, detail)
        .with_retry_after(RETRY_AFTER_MS)
}

fn overloaded() -> caller::Refusal {
    let detail = "too many callers are waiting on this host";
    caller::Refusal::not_run(caller::RefusalKind::Overloaded, detail)
        .with_retry_after(RETRY_AFTER_MS)
}

fn owner_unresponsive() -> caller::Refusal {
    let detail = "the owner of the job did not answer";
    caller::Refusal::not_run(caller::RefusalKind::NoAuthority, detail)
        .with_retry_after(RETRY_AFTER_MS)
}

/// Answers a caller.
pub(super) fn answer(ticket: ids::Ticket, answer: Answer, out: &mut outbox::Outbox) {
    let answer = match answer {
        Ok(status) => effect::CallerAnswer::Job(status),
        Err(refusal) => effect::CallerAnswer::Refused(refusal),
    };
    out.push(crate::Effect::AnswerCaller { ticket, answer });
}

/// The status of a job according to the folded log.
pub(super) fn fold_status(job: &ids::JobId, fold: &record::JobFold) -> caller::JobStatus {
    let mut done: u32 = 0;
    for range in &fold.done {
        done = done.saturating_add(range.end.saturating_sub(range.first));
    }
    let tasks = fold.record.request.tasks;
    let phase = match fold.phase {
        Some(phase) => phase,
        None if fold.cancelled => caller::JobPhase::Cancelled,
        None if done > 0 || !fold.started.is_empty() => caller::JobPhase::Running,
        None => caller::JobPhase::Waiting,
    };
    if phase == caller::JobPhase::Done {
        done = tasks;
    }
    let reason = fold.reason.clone();
    caller::JobStatus { job: job.clone(), phase, tasks, done, running: 0, reason }
}

/// The status of a job that peers hold while the log is unreachable.
pub(super) fn held_status(record: &record::JobRecord) -> caller::JobStatus {
    caller::JobStatus {
        job: record.job.clone(),
        phase: caller::JobPhase::Waiting,
        tasks: record.request.tasks,
        done: 0,
        running: 0,
        reason: None,
    }
}
