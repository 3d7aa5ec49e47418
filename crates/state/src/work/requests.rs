//! Urgent requests of callers: checks, attempts, answers.

mod attempts;

use std::collections;
use std::time;

use pier_core::{caller, ids, map, task};
use pier_decl::model;

use crate::work::placement::{self, AttemptId};
use crate::work::{limits, origin, step};
use crate::{Effect, cluster, effect, event, message, options, report};

/// The advice of refusals that pass soon.
const RETRY_AFTER_MS: u64 = 1_000;
/// How long a request whose caller's time is over waits for the owner to say that it was not run.
const CANCEL_GRACE: time::Duration = time::Duration::from_millis(250);
/// The allowance for messages in the bound of a request without a deadline.
const MESSAGE_MARGIN: time::Duration = time::Duration::from_secs(5);
/// Retries are counted in tenths, so that each request pays for a tenth of one.
const RETRY_COST: u32 = 10;
/// The retries that are saved up at most, and those there are at the start, in tenths.
const RETRY_BUDGET: u32 = 200;
/// The largest number of attempts of one request.
const MAX_ATTEMPTS: ids::Attempt = 8;

/// A request that is not finished.
#[derive(Debug)]
struct Request {
    /// The number under which the caller waits; none once it is answered or the caller has gone.
    ticket: Option<ids::Ticket>,
    spec: task::TaskSpec,
    attempt: ids::Attempt,
    start_by: time::Duration,
    deadline: Option<time::Duration>,
    give_up_at: time::Duration,
    key: Option<message::DedupeKey>,
    /// Whether the home of the key has not answered yet.
    awaiting_verdict: bool,
    /// Whether the owner was asked to take the request off its queue.
    cancelled: bool,
    started: bool,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
    refused_by: Vec<ids::HostId>,
    tried: Vec<String>,
}

/// An attempt to place and the owners that are not to be asked.
#[derive(Debug)]
pub(super) struct PlaceCommand {
    pub(super) placement: placement::Placement,
    pub(super) avoid: Vec<ids::HostId>,
}

/// What requests ask of placement.
#[derive(Debug, Default)]
pub(super) struct Commands {
    pub(super) place: Vec<PlaceCommand>,
    pub(super) cancel: Vec<AttemptId>,
    /// Idempotency keys to ask for, and the ends of requests with a key.
    pub(super) ask: Vec<(message::DedupeKey, ids::TaskId)>,
    pub(super) report: Vec<(message::DedupeKey, ids::TaskId, Option<task::TaskEnd>)>,
}

/// The urgent requests of the callers of this host.
#[derive(Debug)]
pub(super) struct Requests {
    options: options::Options,
    open: collections::BTreeMap<ids::TaskId, Request>,
    by_ticket: map::Map<ids::Ticket, ids::TaskId>,
    /// The requests by the time at which they are given up.
    timeouts: collections::BTreeSet<(time::Duration, ids::TaskId)>,
    /// The requests of each queue that have not started.
    backlog: collections::BTreeMap<ids::QueueId, u32>,
    next_number: u64,
    retry_budget: u32,
    pub(super) counters: report::Counters,
}

/// Who may use a queue, and for which team.
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

    /// The number of requests that callers wait for.
    pub(super) fn open(&self) -> usize {
        self.by_ticket.len()
    }

    /// Whether no caller waits.
    pub(super) fn is_drained(&self) -> bool {
        self.by_ticket.is_empty()
    }

    /// Whether the task is a request of this host.
    pub(super) fn contains(&self, task: &ids::TaskId) -> bool {
        self.open.contains_key(task)
    }

    /// A number that this process has not used.
    pub(super) fn next_id(&mut self, cluster: &cluster::Cluster) -> String {
        self.next_number += 1;
        format!("{}{}", id_prefix(&cluster.me.host, cluster.me.incarnation), self.next_number)
    }

    /// Takes a request of a caller.
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

    /// Takes the verdict of the home of a request's idempotency key.
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
                let detail = "a request with the same key runs or its end is not known";
                let refusal = caller::Refusal::unknown(kind, detail);
                let refusal = refusal.with_retry_after(RETRY_AFTER_MS);
                self.answer_task(step, task, effect::CallerAnswer::Refused(refusal));
                self.close(task);
            }
        }
        commands
    }

    /// Places a request whose key is free.
    fn place_checked(&mut self, task: &ids::TaskId, commands: &mut Commands) {
        let Some(request) = self.open.get_mut(task) else {
            return;
        };
        self.timeouts.remove(&(request.timeout_at(), task.clone()));
        request.awaiting_verdict = false;
        self.timeouts.insert((request.timeout_at(), task.clone()));
        commands.place.push(request.to_place_command());
    }

    /// Reports the end of a request with a key; none if it was not run and never will be.
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

    /// Whether a request may run, and for which team.
    fn check<'a>(
        &self,
        step: &step::Step<'a>,
        request: &event::CallerRequest,
    ) -> std::result::Result<Authorized<'a>, caller::Refusal> {
        let refusal = caller::Refusal::not_run;
        let authorized = authorize(step, &request.queue, request.key.as_deref())?;
        let queue = authorized.queue;
        if queue.class != task::Class::Urgent {
            return Err(refusal(caller::RefusalKind::WrongClass, "the queue takes jobs"));
        }
        if request.deadline.is_some_and(|deadline| deadline <= step.now) {
            let kind = caller::RefusalKind::DeadlinePassed;
            return Err(refusal(kind, "the deadline has passed"));
        }
        check_limit(step.cluster, authorized.team, &queue.resources)?;
        if !origin::ever_fits(step.cluster, &queue.resources) {
            let kind = caller::RefusalKind::NeverFits;
            return Err(refusal(kind, "no worker of the cell can hold the request"));
        }
        let waiting = self.backlog.get(&queue.name).copied().unwrap_or_default();
        if waiting >= queue.backlog || self.open.len() >= self.options.max_waiting {
            let kind = caller::RefusalKind::Overloaded;
            let refusal = refusal(kind, "too many requests wait on the host");
            return Err(refusal.with_retry_after(RETRY_AFTER_MS));
        }
        Ok(authorized)
    }

    /// Acts on a caller that has gone: what has not started is cancelled.
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

    fn note_started(&mut self, task: &ids::TaskId) {
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

    /// Answers the caller of a request, once.
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

    /// Forgets a request whose end is known.
    fn close(&mut self, task: &ids::TaskId) {
        self.note_started(task);
        if let Some(request) = self.open.remove(task) {
            self.timeouts.remove(&(request.timeout_at(), task.clone()));
        }
    }

    /// The team of a request that waits, and what it needs.
    pub(super) fn waiting_need(
        &self,
        task: &ids::TaskId,
    ) -> Option<(&ids::TeamId, pier_core::Resources)> {
        let request = self.open.get(task).filter(|request| !request.started)?;
        Some((&request.spec.team, request.spec.resources))
    }

    /// The attempt of a request that is open, whether it has started, and what was tried.
    pub(super) fn explain(&self, task: &ids::TaskId) -> Option<(AttemptId, bool, Vec<String>)> {
        let request = self.open.get(task)?;
        Some(((task.clone(), request.attempt), request.started, request.tried.clone()))
    }
}

impl Request {
    /// When something has to be done for the request without any message.
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

/// The start of the ids that a host gives to requests.
fn id_prefix(host: &ids::HostId, incarnation: ids::Incarnation) -> String {
    // A slash separates the job from the index in the id of a job task.
    let host = host.replace('/', "_");
    format!("{host}-{incarnation:x}-")
}

/// Whether the id is one of a request that came to this process of the host.
pub(super) fn was_received_by(
    task: &ids::TaskId,
    host: &ids::HostId,
    incarnation: ids::Incarnation,
) -> bool {
    task.starts_with(&id_prefix(host, incarnation))
}

/// Whether another owner may have room where one refused.
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

/// The queue and the team for which a key may use it.
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

/// Refuses what the limit of a team could never hold.
pub(super) fn check_limit(
    cluster: &cluster::Cluster,
    team: &ids::TeamId,
    amount: &pier_core::Resources,
) -> std::result::Result<(), caller::Refusal> {
    let limit = limits::declared(cluster, team).and_then(|declared| declared.limit);
    if limit.is_some_and(|limit| !amount.fits_in(&limit)) {
        let kind = caller::RefusalKind::OverLimit;
        let detail = "the limit of the team is below what one task needs";
        return Err(caller::Refusal::not_run(kind, detail));
    }
    Ok(())
}
