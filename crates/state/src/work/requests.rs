//! Urgent requests of callers: validation, attempts and answers.

mod attempts;

use std::collections;
use std::time;

use pier_core::{caller, ids, map, task};
use pier_decl::model;

use crate::work::placement::{self, AttemptId};
use crate::work::{limits, origin, step};
use crate::{Effect, cluster, effect, event, message, options, report};

/// The suggested retry delay in refusals for temporary reasons.
const RETRY_AFTER_MS: u64 = 1_000;
/// How long a request past its time limit waits for the owner to confirm that it did not run.
const CANCEL_GRACE: time::Duration = time::Duration::from_millis(250);
/// The allowance for message delays in the time limit of a request without a deadline.
const MESSAGE_MARGIN: time::Duration = time::Duration::from_secs(5);
/// The cost of a retry in tenths. Each request adds a tenth to the budget, so ten requests pay for
/// one retry.
const RETRY_COST: u32 = 10;
/// The maximum and initial retry budget, in tenths of a retry.
const RETRY_BUDGET: u32 = 200;
/// The maximum number of attempts of one request.
const MAX_ATTEMPTS: ids::Attempt = 8;

/// A request that is not finished.
#[derive(Debug)]
struct Request {
    /// The id under which the caller waits; none once it is answered or the caller has gone.
    ticket: Option<ids::Ticket>,
    spec: task::TaskSpec,
    attempt: ids::Attempt,
    start_by: time::Duration,
    deadline: Option<time::Duration>,
    give_up_at: time::Duration,
    key: Option<message::DedupeKey>,
    /// Whether the home of the idempotency key has not answered yet.
    awaiting_verdict: bool,
    /// Whether the owner was asked to cancel the request.
    cancelled: bool,
    started: bool,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
    refused_by: Vec<ids::HostId>,
    tried: Vec<String>,
}

/// An attempt to place and the owners that must not be asked.
#[derive(Debug)]
pub(super) struct PlaceCommand {
    pub(super) placement: placement::Placement,
    pub(super) avoid: Vec<ids::HostId>,
}

/// What requests ask of placement and of the homes of idempotency keys.
#[derive(Debug, Default)]
pub(super) struct Commands {
    pub(super) place: Vec<PlaceCommand>,
    pub(super) cancel: Vec<AttemptId>,
    /// Idempotency keys to check, and the ends of requests with a key to report.
    pub(super) ask: Vec<(message::DedupeKey, ids::TaskId)>,
    pub(super) report: Vec<(message::DedupeKey, ids::TaskId, Option<task::TaskEnd>)>,
}

/// The urgent requests that this host received from callers.
#[derive(Debug)]
pub(super) struct Requests {
    options: options::Options,
    open: collections::BTreeMap<ids::TaskId, Request>,
    by_ticket: map::Map<ids::Ticket, ids::TaskId>,
    /// Requests by the time at which they time out.
    timeouts: collections::BTreeSet<(time::Duration, ids::TaskId)>,
    /// The number of requests per queue that have not started.
    backlog: collections::BTreeMap<ids::QueueId, u32>,
    next_number: u64,
    retry_budget: u32,
    pub(super) counters: report::Counters,
}

/// The queue that a key may use and the team it acts for.
pub(super) struct Authorized<'a> {
    pub(super) queue: &'a model::QueueDecl,
    pub(super) team: &'a ids::TeamId,
}

impl Requests {
    pub(super) fn new(options: options::Options) -> Self {
        Self {
            options,
            open: collections::BTreeMap::new(),
            by_ticket: map::Map::default(),
            timeouts: collections::BTreeSet::new(),
            backlog: collections::BTreeMap::new(),
            next_number: 0,
            retry_budget: RETRY_BUDGET,
            counters: report::Counters::default(),
        }
    }

    /// The number of requests for which a caller waits.
    pub(super) fn open(&self) -> usize {
        self.by_ticket.len()
    }

    /// Whether no caller waits for an answer.
    pub(super) fn is_drained(&self) -> bool {
        self.by_ticket.is_empty()
    }

    /// Whether the task is an unfinished request of this host.
    pub(super) fn contains(&self, task: &ids::TaskId) -> bool {
        self.open.contains_key(task)
    }

    /// A task or job id that no other process uses and this process has not used before.
    pub(super) fn next_id(&mut self, cluster: &cluster::Cluster) -> String {
        self.next_number += 1;
        format!(
            "{}{}",
            id_prefix(&cluster.identity.host, cluster.identity.incarnation),
            self.next_number
        )
    }

    /// Handles a request of a caller.
    pub(super) fn submit(
        &mut self,
        step: &mut step::Step<'_>,
        ticket: ids::Ticket,
        request: event::CallerRequest,
    ) -> Commands {
        let mut commands = Commands::default();
        if self.by_ticket.contains_key(&ticket) {
            return commands;
        }
        self.counters.requests += 1;
        self.retry_budget = (self.retry_budget + 1).min(RETRY_BUDGET);
        let checked = self.check(step, &request);
        let authorized = match checked {
            Ok(authorized) => authorized,
            Err(refusal) => {
                self.answer(step, ticket, effect::CallerAnswer::Refused(refusal));
                return commands;
            }
        };
        let task: ids::TaskId = self.next_id(step.cluster).into();
        let queue = authorized.queue;
        let mut start_by = step.now.saturating_add(time::Duration::from_millis(queue.max_wait_ms));
        let latest_end = start_by.saturating_add(self.options.request_lease + MESSAGE_MARGIN);
        let give_up_at = request.deadline.map_or(latest_end, |deadline| deadline.min(latest_end));
        start_by = start_by.min(give_up_at);
        let spec = task::TaskSpec {
            task: task.clone(),
            job: None,
            team: authorized.team.clone(),
            queue: queue.name.clone(),
            class: task::Class::Urgent,
            resources: queue.resources,
            repeatable: request.repeatable,
            run_estimate_ms: queue.run_estimate_ms,
            checkpoint_interval_ms: 0,
            payload: request.body,
        };
        *self.backlog.entry(queue.name.clone()).or_default() += 1;
        self.by_ticket.insert(ticket, task.clone());
        let key = request
            .idempotency_key
            .map(|key| message::DedupeKey { team: authorized.team.clone(), key });
        let awaiting_verdict = key.is_some();
        let request = Request {
            ticket: Some(ticket),
            spec,
            attempt: 1,
            start_by,
            deadline: request.deadline,
            give_up_at,
            awaiting_verdict,
            key,
            cancelled: false,
            started: false,
            may_have_run: false,
            refused_by: Vec::new(),
            tried: Vec::new(),
        };
        self.timeouts.insert((request.timeout_at(), task.clone()));
        match &request.key {
            Some(key) => commands.ask.push((key.clone(), task.clone())),
            None => commands.place.push(request.to_place_command()),
        }
        self.open.insert(task, request);
        commands
    }

    /// Handles the verdict of the home of a request's idempotency key.
    pub(super) fn on_verdict(
        &mut self,
        step: &mut step::Step<'_>,
        task: &ids::TaskId,
        verdict: message::DedupeVerdict,
    ) -> Commands {
        let mut commands = Commands::default();
        let Some(request) = self.open.get_mut(task) else {
            return commands;
        };
        if !request.awaiting_verdict {
            return commands;
        }
        let repeatable = request.spec.repeatable;
        match verdict {
            message::DedupeVerdict::Run => {
                self.place_checked(task, &mut commands);
            }
            message::DedupeVerdict::Unknown if repeatable => {
                request.key = None;
                self.place_checked(task, &mut commands);
            }
            message::DedupeVerdict::Ended { end } => {
                let answer = effect::CallerAnswer::Task { task: task.clone(), end };
                self.answer_task(step, task, answer);
                self.close(task);
            }
            message::DedupeVerdict::Running | message::DedupeVerdict::Unknown => {
                let kind = caller::RefusalKind::Duplicate;
                let detail = "a request with the same key is running or its end is unknown";
                let refusal = caller::Refusal::unknown(kind, detail);
                let refusal = refusal.with_retry_after(RETRY_AFTER_MS);
                self.answer_task(step, task, effect::CallerAnswer::Refused(refusal));
                self.close(task);
            }
        }
        commands
    }

    /// Places a request whose idempotency key may be used.
    fn place_checked(&mut self, task: &ids::TaskId, commands: &mut Commands) {
        let Some(request) = self.open.get_mut(task) else {
            return;
        };
        self.timeouts.remove(&(request.timeout_at(), task.clone()));
        request.awaiting_verdict = false;
        self.timeouts.insert((request.timeout_at(), task.clone()));
        commands.place.push(request.to_place_command());
    }

    /// Reports the end of a request that has a key. `end` is none if the request did not run and
    /// never will.
    fn report_end(
        &mut self,
        task: &ids::TaskId,
        end: Option<task::TaskEnd>,
        commands: &mut Commands,
    ) {
        let key = self.open.get_mut(task).and_then(|request| request.key.take());
        if let Some(key) = key {
            commands.report.push((key, task.clone(), end));
        }
    }

    /// Checks whether a request may run, and for which team.
    fn check<'a>(
        &self,
        step: &step::Step<'a>,
        request: &event::CallerRequest,
    ) -> std::result::Result<Authorized<'a>, caller::Refusal> {
        let refusal = caller::Refusal::not_run;
        let authorized = authorize(step, &request.queue, request.key.as_deref())?;
        let queue = authorized.queue;
        if queue.class != task::Class::Urgent {
            return Err(refusal(caller::RefusalKind::WrongClass, "the queue accepts only jobs"));
        }
        if request.deadline.is_some_and(|deadline| deadline <= step.now) {
            let kind = caller::RefusalKind::DeadlinePassed;
            return Err(refusal(kind, "the deadline has passed"));
        }
        check_limit(step.cluster, authorized.team, &queue.resources)?;
        if !origin::ever_fits(step.cluster, &queue.resources) {
            let kind = caller::RefusalKind::NeverFits;
            return Err(refusal(kind, "no worker of the cell is large enough for the request"));
        }
        let waiting = self.backlog.get(&queue.name).copied().unwrap_or_default();
        if waiting >= queue.backlog || self.open.len() >= self.options.max_waiting {
            let kind = caller::RefusalKind::Overloaded;
            let refusal = refusal(kind, "too many requests are waiting on the host");
            return Err(refusal.with_retry_after(RETRY_AFTER_MS));
        }
        Ok(authorized)
    }

    /// Handles the disconnection of a caller. A request that has not started is cancelled.
    pub(super) fn on_caller_gone(&mut self, ticket: ids::Ticket) -> Commands {
        let mut commands = Commands::default();
        let Some(task) = self.by_ticket.remove(&ticket) else {
            return commands;
        };
        let Some(request) = self.open.get_mut(&task) else {
            return commands;
        };
        request.ticket = None;
        if request.awaiting_verdict {
            self.report_end(&task, None, &mut commands);
            self.close(&task);
            return commands;
        }
        if !request.started && !request.cancelled {
            request.cancelled = true;
            commands.cancel.push((task, request.attempt));
        }
        commands
    }

    fn mark_started(&mut self, task: &ids::TaskId) {
        let Some(request) = self.open.get_mut(task) else {
            return;
        };
        if request.started {
            return;
        }
        request.started = true;
        if let Some(waiting) = self.backlog.get_mut(&request.spec.queue) {
            *waiting = waiting.saturating_sub(1);
        }
    }

    /// Answers the caller of a request, at most once.
    fn answer_task(
        &mut self,
        step: &mut step::Step<'_>,
        task: &ids::TaskId,
        answer: effect::CallerAnswer,
    ) {
        let Some(ticket) = self.open.get_mut(task).and_then(|request| request.ticket.take()) else {
            return;
        };
        self.by_ticket.remove(&ticket);
        self.answer(step, ticket, answer);
    }

    fn answer(
        &mut self,
        step: &mut step::Step<'_>,
        ticket: ids::Ticket,
        answer: effect::CallerAnswer,
    ) {
        match &answer {
            effect::CallerAnswer::Refused(refusal) => match refusal.outcome {
                caller::Outcome::NotRun => self.counters.refused_not_run += 1,
                caller::Outcome::Unknown => self.counters.unknown += 1,
                caller::Outcome::Ran => {}
            },
            _ => self.counters.answered += 1,
        }
        step.out.push(Effect::AnswerCaller { ticket, answer });
    }

    /// Removes a request whose end is known.
    fn close(&mut self, task: &ids::TaskId) {
        self.mark_started(task);
        if let Some(request) = self.open.remove(task) {
            self.timeouts.remove(&(request.timeout_at(), task.clone()));
        }
    }

    /// The team and the resources of a request that has not started.
    pub(super) fn waiting_need(
        &self,
        task: &ids::TaskId,
    ) -> Option<(&ids::TeamId, pier_core::Resources)> {
        let request = self.open.get(task).filter(|request| !request.started)?;
        Some((&request.spec.team, request.spec.resources))
    }

    /// The current attempt of an unfinished request, whether it has started, and a log of its
    /// attempts.
    pub(super) fn explain(&self, task: &ids::TaskId) -> Option<(AttemptId, bool, Vec<String>)> {
        let request = self.open.get(task)?;
        Some(((task.clone(), request.attempt), request.started, request.tried.clone()))
    }
}

impl Request {
    /// When the request times out if no message arrives.
    fn timeout_at(&self) -> time::Duration {
        match self.awaiting_verdict {
            true => self.start_by,
            false => self.give_up_at,
        }
    }

    fn to_place_command(&self) -> PlaceCommand {
        PlaceCommand {
            placement: placement::Placement {
                spec: self.spec.clone(),
                attempt: self.attempt,
                start_by: Some(self.start_by),
                deadline: self.deadline,
                reserve: false,
            },
            avoid: self.refused_by.clone(),
        }
    }
}

/// The prefix of the ids that a host process gives to requests.
fn id_prefix(host: &ids::HostId, incarnation: ids::Incarnation) -> String {
    // A slash separates the job from the index in the id of a job task.
    let host = host.replace('/', "_");
    format!("{host}-{incarnation:x}-")
}

/// Whether the id belongs to a request that this process of the host received.
pub(super) fn was_received_by(
    task: &ids::TaskId,
    host: &ids::HostId,
    incarnation: ids::Incarnation,
) -> bool {
    task.starts_with(&id_prefix(host, incarnation))
}

/// Whether another owner may be able to place a task that one refused for this reason.
fn is_retryable(kind: caller::RefusalKind) -> bool {
    matches!(
        kind,
        caller::RefusalKind::NoRoom
            | caller::RefusalKind::Overloaded
            | caller::RefusalKind::NoAuthority
            | caller::RefusalKind::ShuttingDown
            | caller::RefusalKind::WorkerLost
            | caller::RefusalKind::NeverFits
    )
}

/// Checks that a key may use a queue, and returns the queue and the team the key acts for.
pub(super) fn authorize<'a>(
    step: &step::Step<'a>,
    queue: &ids::QueueId,
    key: Option<&str>,
) -> std::result::Result<Authorized<'a>, caller::Refusal> {
    let refusal = caller::Refusal::not_run;
    let cluster = step.cluster;
    // Keys are checked against the declaration in force, which only a host with authority knows.
    if !cluster.may_start(step.now) {
        let kind = caller::RefusalKind::NoAuthority;
        let refusal = refusal(kind, "the host's view of the cell is out of date");
        return Err(refusal.with_retry_after(RETRY_AFTER_MS));
    }
    let found = cluster.declaration.queues.iter().find(|declared| declared.name == *queue);
    let Some(queue) = found else {
        let kind = caller::RefusalKind::UnknownQueue;
        return Err(refusal(kind, "the queue is not declared"));
    };
    let Some(key) = key else {
        let Some(team) = &queue.open_for else {
            return Err(refusal(caller::RefusalKind::NoKey, "the queue needs a key"));
        };
        return Ok(Authorized { queue, team });
    };
    let team = team_of(step, key)?;
    if !queue.teams.is_empty() && !queue.teams.contains(team) {
        let kind = caller::RefusalKind::WrongTeam;
        return Err(refusal(kind, "the team may not use the queue"));
    }
    Ok(Authorized { queue, team })
}

/// The team of a key.
pub(super) fn team_of<'a>(
    step: &step::Step<'a>,
    key: &str,
) -> std::result::Result<&'a ids::TeamId, caller::Refusal> {
    match pier_decl::team_of_key(&step.cluster.declaration, key) {
        Some((team, _)) => Ok(team),
        None => {
            let kind = caller::RefusalKind::BadKey;
            Err(caller::Refusal::not_run(kind, "the key is unknown or withdrawn"))
        }
    }
}

/// Refuses a task that exceeds the limit of its team on its own.
pub(super) fn check_limit(
    cluster: &cluster::Cluster,
    team: &ids::TeamId,
    amount: &pier_core::Resources,
) -> std::result::Result<(), caller::Refusal> {
    let limit = limits::declared(cluster, team).and_then(|declared| declared.limit);
    if limit.is_some_and(|limit| !amount.fits_in(&limit)) {
        let kind = caller::RefusalKind::OverLimit;
        let detail = "one task needs more than the limit of the team";
        return Err(caller::Refusal::not_run(kind, detail));
    }
    Ok(())
}
