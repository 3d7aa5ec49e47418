//! Handles caller events and explains to operators why a task waits.

use std::sync;

use pier_core::{caller, ids, keys, task};

use crate::work::{Work, jobs, limits, requests, step};
use crate::{Effect, cluster, effect, event, report};

/// The number of hexadecimal digits of the key hash in the id of a job that has an idempotency key.
const JOB_ID_DIGITS: usize = 32;

impl Work {
    pub(super) fn on_caller(&mut self, step: &mut step::Step<'_>, event: event::CallerEvent) {
        match event {
            event::CallerEvent::Request { ticket, request } => {
                let commands = self.requests.submit(step, ticket, request);
                self.execute_for_requests(step, commands);
            }
            event::CallerEvent::Disconnected { ticket } => {
                let commands = self.requests.on_caller_gone(ticket);
                self.execute_for_requests(step, commands);
            }
            event::CallerEvent::SubmitJob { ticket, key, idempotency_key, request, wall_ms } => {
                let key = key.as_deref();
                match self.submission(step, ticket, key, idempotency_key, request, wall_ms) {
                    Ok(submission) => {
                        self.jobs.submit(step.now, step.cluster, submission, step.out);
                    }
                    Err(refusal) => refuse(step, ticket, refusal),
                }
            }
            event::CallerEvent::QueryJob { ticket, key, job } => {
                match team_for_job(step, key.as_deref(), &job) {
                    Ok(team) => {
                        self.jobs.query(step.now, step.cluster, ticket, team, job, step.out);
                    }
                    Err(refusal) => refuse(step, ticket, refusal),
                }
            }
            event::CallerEvent::CancelJob { ticket, key, job } => {
                match team_for_job(step, key.as_deref(), &job) {
                    Ok(team) => {
                        self.jobs.cancel(step.now, step.cluster, ticket, team, job, step.out);
                    }
                    Err(refusal) => refuse(step, ticket, refusal),
                }
            }
        }
    }

    /// Validates a job submission and determines its id, team and class.
    fn submission(
        &mut self,
        step: &step::Step<'_>,
        ticket: ids::Ticket,
        key: Option<&str>,
        idempotency_key: Option<std::sync::Arc<str>>,
        request: caller::JobRequest,
        wall_ms: u64,
    ) -> std::result::Result<jobs::Submission, caller::Refusal> {
        let authorized = requests::authorize(step, &request.queue, key)?;
        let class = authorized.queue.class;
        if class == task::Class::Urgent {
            let kind = caller::RefusalKind::WrongClass;
            return Err(caller::Refusal::not_run(kind, "the queue accepts only urgent requests"));
        }
        if step.cluster.leaving {
            let kind = caller::RefusalKind::ShuttingDown;
            return Err(caller::Refusal::not_run(kind, "the host is shutting down"));
        }
        requests::check_limit(step.cluster, authorized.team, &request.resources)?;
        let job = match idempotency_key {
            Some(key) => job_id(authorized.team, &key),
            None => self.requests.next_id(step.cluster).into(),
        };
        let team = authorized.team.clone();
        Ok(jobs::Submission { ticket, job, team, class, request, wall_ms })
    }

    /// Answers an operator's question about the state of a task or job.
    pub(super) fn explain(
        &mut self,
        step: &mut step::Step<'_>,
        ticket: ids::Ticket,
        task: ids::TaskId,
    ) {
        let ask = peer_to_ask(step.cluster, &task);
        let mut explanation = self.explanation(step, &task);
        if explanation.is_none() && ask.is_some() {
            let state = "known to another host".into();
            let task = task.clone();
            explanation = Some(report::Explanation { task, state, ..Default::default() });
        }
        if let Some(explanation) = &mut explanation
            && let Some(limit) = self.blocking_limit(step, &task)
        {
            explanation.limit = Some(Box::new(limit));
            explanation.waits_for = None;
        }
        let answer = match explanation {
            Some(explanation) => {
                let explanation = report::Explanation { ask_address: ask, ..explanation };
                effect::OperatorAnswer::Explanation(Box::new(explanation))
            }
            None => effect::OperatorAnswer::Refused(caller::Refusal::not_run(
                caller::RefusalKind::UnknownJob,
                "the task is not known on this host",
            )),
        };
        step.out.push(Effect::AnswerOperator { ticket, answer });
    }

    fn explanation(
        &self,
        step: &step::Step<'_>,
        task: &ids::TaskId,
    ) -> Option<report::Explanation> {
        if let Some(explanation) = self.jobs.explain(step.now, step.cluster, task) {
            return Some(explanation);
        }
        let mut explanation = report::Explanation {
            task: task.clone(),
            state: "not known".into(),
            ..Default::default()
        };
        if let Some((id, started, tried)) = self.requests.explain(task) {
            explanation.tried = tried;
            explanation.state = if started { "runs" } else { "waits" }.into();
            if let Some((owner, worker)) = self.origin.location(&id) {
                explanation.worker = worker.cloned();
                explanation.tried.push(format!("attempt {}: placed at {owner}", id.1));
            }
            explanation.waits_for = (!started).then_some(caller::RefusalKind::NoRoom);
            return Some(explanation);
        }
        if let Some(worker) = self.ledger.worker_of_task(task) {
            explanation.state = "occupies capacity on a worker of this host".into();
            explanation.worker = Some(worker.clone());
            return Some(explanation);
        }
        let waiting = self.owner.waiting_task(task)?;
        let waited = step.now.saturating_sub(waiting.arrived).as_millis();
        explanation.state = format!("waits at this host for {waited} ms").into();
        explanation.waits_for = Some(caller::RefusalKind::NoRoom);
        Some(explanation)
    }
}

/// The address of the peer to ask about a task or job: the host that received the request, or the
/// owner of the job. None if this host is the best source or no such peer is known.
fn peer_to_ask(cluster: &cluster::Cluster, task: &ids::TaskId) -> Option<sync::Arc<str>> {
    for peer in cluster.peers.values() {
        let member = &peer.member;
        if requests::was_received_by(task, &member.host, member.incarnation) {
            return Some(member.peer_address.clone());
        }
    }
    if requests::was_received_by(task, &cluster.identity.host, cluster.identity.incarnation) {
        return None;
    }
    let job = jobs::job_of(task);
    let is_running = match cluster.jobs.get(&job) {
        Some(fold) => fold.phase.is_none(),
        None => cluster.declaration.services.iter().any(|service| service.name == job),
    };
    let home =
        cluster.home_of(&job).filter(|home| is_running && **home != cluster.identity.host)?;
    cluster.peers.get(home).map(|peer| peer.member.peer_address.clone())
}

impl Work {
    /// The team limit that keeps a task from starting. Either starting the task would exceed the
    /// limit in the whole cell, or a worker of this host has capacity but the host holds too little
    /// of the limit.
    fn blocking_limit(
        &self,
        step: &step::Step<'_>,
        task: &ids::TaskId,
    ) -> Option<report::LimitCause> {
        let waiting_here = self.owner.waiting_task(task);
        let (team, needed) = waiting_here
            .map(|pending| (&pending.team, pending.resources))
            .or_else(|| self.requests.waiting_need(task))
            .or_else(|| self.jobs.waiting_need(task))?;
        let declared = limits::declared(step.cluster, team)?;
        let limit = declared.limit?;
        let used = self.usage.used(team, &self.ledger);
        let exceeds_limit = !used.plus(&needed).fits_in(&limit);
        let headroom = self.limits.headroom_of(declared, &self.ledger.team_used(team));
        let quota_missing = waiting_here.is_some()
            && !needed.fits_in(&headroom)
            && self.ledger.has_capacity(&needed);
        (exceeds_limit || quota_missing).then(|| report::LimitCause {
            team: team.clone(),
            limit,
            used,
            held_here: self.limits.held(team),
            needed,
        })
    }
}

/// The id of a job with an idempotency key. Equal keys of the same team give the same id.
fn job_id(team: &ids::TeamId, key: &str) -> ids::JobId {
    let mut hash = keys::KeyHash::of(&format!("{}:{team}:{key}", team.len())).to_hex();
    hash.truncate(JOB_ID_DIGITS);
    format!("key-{hash}").into()
}

/// The team on whose behalf a caller queries or cancels a job.
fn team_for_job<'a>(
    step: &step::Step<'a>,
    key: Option<&str>,
    job: &ids::JobId,
) -> std::result::Result<&'a ids::TeamId, caller::Refusal> {
    if let Some(key) = key {
        return requests::team_of(step, key);
    }
    // Jobs of an open queue can be queried and cancelled without a key.
    let cluster = step.cluster;
    let known = cluster.jobs.get(job);
    for queue in &cluster.declaration.queues {
        let Some(team) = &queue.open_for else {
            continue;
        };
        if known.is_some_and(|job| job.record.request.queue == queue.name) {
            return Ok(team);
        }
    }
    Err(caller::Refusal::not_run(caller::RefusalKind::NoKey, "the job needs a key"))
}

fn refuse(step: &mut step::Step<'_>, ticket: ids::Ticket, refusal: caller::Refusal) {
    let answer = effect::CallerAnswer::Refused(refusal);
    step.out.push(Effect::AnswerCaller { ticket, answer });
}
