//! The HTTP interface of the workers.

use std::sync;
use std::time;

use pier_core::{body, ids, task, wire};
use serde::de;

use crate::{answer, faults, http, platform, worker};

/// A response to be sent after the lock on the state is released.
struct PendingResponse {
    responder: http::Responder,
    response: Vec<u8>,
}

/// Status and body of a response.
type StatusAndBody = (u16, Vec<u8>);

pub(crate) fn handle(shared: &sync::Arc<platform::Shared>, call: http::Call) {
    let now = time::Instant::now();
    let Some(id) = call.path.get(1).cloned() else {
        return call.responder.send(http::NOT_FOUND, &"no such path");
    };
    let mut state = shared.lock();
    let faults = state.faults.of_worker(&id);
    let zone = state.workers.get(id.as_str()).map(|worker| &worker.zone);
    let is_cut = state.faults.is_cut(shared.settings.zone_of(&call.host), zone);
    if is_cut || faults.unreachable || state.faults.of_host(&call.host).workers {
        return state.leave_unanswered(now, call.responder);
    }
    let subpath: Vec<&str> = call.path.iter().skip(2).map(String::as_str).collect();
    let response = match (subpath.as_slice(), state.workers.get_mut(id.as_str())) {
        (_, None) => (http::NOT_FOUND, b"\"no such worker\"".to_vec()),
        (["tasks"], Some(_)) => {
            let start = parse::<wire::StartTask>(&call.body);
            let Ok(start) = start else {
                drop(state);
                return call.responder.send(http::BAD_REQUEST, &"the request cannot be read");
            };
            drop(state);
            let waiter = worker::Waiter { host: call.host, responder: call.responder };
            return handle_start(shared, &id, start, waiter);
        }
        (["fence"], Some(worker)) => match parse::<wire::Fence>(&call.body) {
            Ok(fence) => match worker.check_token(fence.token) {
                Ok(()) => (http::OK, platform::to_json(&worker.to_tasks(now))),
                Err(kind) => refusal(kind),
            },
            Err(response) => response,
        },
        (["leases"], Some(worker)) => match parse::<wire::RenewLeases>(&call.body) {
            Ok(renew) => renew_leases(shared, now, worker, &renew),
            Err(response) => response,
        },
        (["report"], Some(worker)) => {
            let lag = time::Duration::from_millis(shared.settings.report_lag_ms / 2);
            let percent = faults.reported_percent.unwrap_or(100);
            (http::OK, platform::to_json(&worker.report(now, lag, percent)))
        }
        (["tasks", task, attempt, how], Some(_)) => {
            let fence = parse::<wire::Fence>(&call.body);
            match (fence, attempt.parse()) {
                (Ok(fence), Ok(attempt)) => {
                    let key = ((*task).into(), attempt);
                    let yielded =
                        handle_yield(shared, &mut state, now, &id, &key, fence.token, how);
                    drop(state);
                    for pending in yielded.1 {
                        pending.responder.send_raw(&pending.response);
                    }
                    return respond(shared, now, call.responder, &faults, &yielded.0);
                }
                _ => (http::BAD_REQUEST, b"\"the request cannot be read\"".to_vec()),
            }
        }
        _ => (http::NOT_FOUND, b"\"no such path\"".to_vec()),
    };
    drop(state);
    respond(shared, now, call.responder, &faults, &response);
}

/// Sends a response that is available immediately, subject to the worker's faults.
fn respond(
    shared: &sync::Arc<platform::Shared>,
    now: time::Instant,
    responder: http::Responder,
    faults: &faults::WorkerFaults,
    (status, body): &StatusAndBody,
) {
    if faults.black_hole {
        return shared.lock().leave_unanswered(now, responder);
    }
    let delay = time::Duration::from_millis(faults.slow_ms);
    platform::send_after(shared, delay, responder, http::response(*status, body));
}

fn handle_start(
    shared: &sync::Arc<platform::Shared>,
    id: &str,
    start: wire::StartTask,
    waiter: worker::Waiter,
) {
    let now = time::Instant::now();
    let mut guard = shared.lock();
    let state = &mut *guard;
    let faults = state.faults.of_worker(id);
    let progress = state.progress.get(&start.task).copied().unwrap_or_default();
    let Some(worker) = state.workers.get_mut(id) else {
        return;
    };
    // A task that fails immediately is not a refused start: it runs and ends.
    let refusal_kind = worker.refusal_of(&start);
    if let Some(kind) = refusal_kind {
        state.audit.record_refusal(kind);
        if kind == wire::WorkerRefusalKind::Leaving {
            state.audit.count_in_marks(now, &worker.id, &worker.zone, false);
        }
        drop(guard);
        return respond(shared, now, waiter.responder, &faults, &refusal(kind));
    }
    state.audit.count_in_marks(now, &worker.id, &worker.zone, true);
    state.audit.record_start(&start);
    let key = (start.task.clone(), start.attempt);
    let (answer_waiter, start_responder) = match start.kind {
        wire::StartKind::Answer => (Some(waiter), None),
        wire::StartKind::Run => (None, Some(waiter.responder)),
    };
    let running = worker::Running::new(now, &start, progress, answer_waiter, faults.fail_all);
    schedule_end_check(shared, id, &key, running.ends_at().min(running.lease_until));
    worker.add(key, running);
    drop(guard);
    if let Some(responder) = start_responder {
        let started = wire::TaskStarted { task: start.task, attempt: start.attempt, started: true };
        respond(shared, now, responder, &faults, &(http::OK, platform::to_json(&started)));
    }
}

/// Schedules a check at `at` whether an attempt has ended.
fn schedule_end_check(
    shared: &sync::Arc<platform::Shared>,
    id: &str,
    key: &worker::AttemptKey,
    at: time::Instant,
) {
    let (action_shared, id, key) = (sync::Arc::clone(shared), id.to_owned(), key.clone());
    shared.timer.run_at(at, move || {
        let now = time::Instant::now();
        let mut state = action_shared.lock();
        let Some(running) = state.workers.get(id.as_str()).and_then(|w| w.running.get(&key)) else {
            return;
        };
        let Some(end) = running.end_at(now) else {
            return;
        };
        let responses = end_task(&action_shared, &mut state, now, &id, &key, end);
        drop(state);
        for pending in responses {
            pending.responder.send_raw(&pending.response);
        }
    });
}

/// Ends an attempt and returns the responses to be sent.
fn end_task(
    shared: &sync::Arc<platform::Shared>,
    state: &mut platform::State,
    now: time::Instant,
    id: &str,
    key: &worker::AttemptKey,
    end: task::EndKind,
) -> Vec<PendingResponse> {
    let faults = state.faults.of_worker(id);
    let Some(worker) = state.workers.get_mut(id) else {
        return Vec::new();
    };
    let zone = worker.zone.clone();
    let Some(running) = worker.remove(now, key, end) else {
        return Vec::new();
    };
    let held = now.saturating_duration_since(running.started_at);
    state.audit.record_end(&key.0, &running.labels.team, &running.resources, held, end);
    if end == task::EndKind::Checkpointed {
        *state.progress.entry(key.0.clone()).or_default() += running.progress_at(now);
    }
    if end == task::EndKind::Done {
        state.progress.remove(&key.0);
    }
    let Some(worker::Waiter { host, responder }) = running.waiter else {
        return Vec::new();
    };
    if state.faults.is_cut(shared.settings.zone_of(&host), Some(&zone)) {
        state.leave_unanswered(now, responder);
        return Vec::new();
    }
    let bytes = match end {
        task::EndKind::Done => answer::build(&key.0, running.payload.as_bytes()),
        _ => Vec::new(),
    };
    let answer = wire::TaskAnswer {
        task: key.0.clone(),
        attempt: key.1,
        outcome: end,
        body: body::Body::from(bytes),
    };
    let response = answer_response(&faults, &platform::to_json(&answer));
    if faults.black_hole {
        state.leave_unanswered(now, responder);
        return Vec::new();
    }
    if faults.swap_answers {
        let Some((earlier_responder, earlier_response)) = worker.answer_to_swap.take() else {
            worker.answer_to_swap = Some((responder, response));
            return Vec::new();
        };
        return vec![
            PendingResponse { responder, response: earlier_response },
            PendingResponse { responder: earlier_responder, response },
        ];
    }
    if faults.slow_ms > 0 {
        let delay = time::Duration::from_millis(faults.slow_ms);
        platform::send_after(shared, delay, responder, response);
        return Vec::new();
    }
    vec![PendingResponse { responder, response }]
}

/// Builds the response with a task's answer, damaged as the worker's faults demand.
fn answer_response(faults: &faults::WorkerFaults, body: &[u8]) -> Vec<u8> {
    if faults.cut_answers {
        return http::cut_response(body);
    }
    if faults.wrong_length {
        return http::response_with_length(http::OK, body, body.len() / 2);
    }
    let mut response = http::response(http::OK, body);
    if faults.answer_twice {
        response.extend_from_within(..);
    }
    response
}

fn renew_leases(
    shared: &sync::Arc<platform::Shared>,
    now: time::Instant,
    worker: &mut worker::Worker,
    renew: &wire::RenewLeases,
) -> StatusAndBody {
    if let Err(kind) = worker.check_token(renew.token) {
        return refusal(kind);
    }
    let mut renewed = Vec::new();
    let mut ended = Vec::new();
    let mut missing = Vec::new();
    for renewal in &renew.tasks {
        let key = (renewal.task.clone(), renewal.attempt);
        let Some(running) = worker.running.get_mut(&key) else {
            let end = worker.end_of(&key);
            match end {
                Some(outcome) => {
                    let (task, attempt) = key;
                    ended.push(wire::EndedTask { task, attempt, outcome });
                }
                None => missing.push(key),
            }
            continue;
        };
        running.lease_until = now + time::Duration::from_millis(renewal.lease_ms);
        schedule_end_check(shared, &worker.id, &key, running.lease_until);
        renewed.push(key);
    }
    (http::OK, platform::to_json(&wire::LeasesRenewed { renewed, ended, missing }))
}

/// Throttles, checkpoints or stops a running attempt. Returns the response, and those to other
/// clients that its end releases.
fn handle_yield(
    shared: &sync::Arc<platform::Shared>,
    state: &mut platform::State,
    now: time::Instant,
    id: &str,
    key: &worker::AttemptKey,
    token: task::FencingToken,
    how: &str,
) -> (StatusAndBody, Vec<PendingResponse>) {
    let Some(worker) = state.workers.get_mut(id) else {
        return (refusal(wire::WorkerRefusalKind::UnknownTask), Vec::new());
    };
    if let Err(kind) = worker.check_token(token) {
        return (refusal(kind), Vec::new());
    }
    let Some(running) = worker.running.get_mut(key) else {
        return (refusal(wire::WorkerRefusalKind::UnknownTask), Vec::new());
    };
    let acknowledged = (http::OK, platform::to_json(&yield_body(key)));
    let end = match how {
        "throttle" => {
            running.throttle(now);
            schedule_end_check(shared, id, key, running.ends_at());
            return (acknowledged, Vec::new());
        }
        "checkpoint" => task::EndKind::Checkpointed,
        "stop" => task::EndKind::Stopped,
        _ => return ((http::NOT_FOUND, b"\"no such path\"".to_vec()), Vec::new()),
    };
    (acknowledged, end_task(shared, state, now, id, key, end))
}

fn yield_body((task, attempt): &worker::AttemptKey) -> (ids::TaskId, ids::Attempt) {
    (task.clone(), *attempt)
}

fn refusal(kind: wire::WorkerRefusalKind) -> StatusAndBody {
    (http::CONFLICT, platform::to_json(&wire::WorkerRefusal { error: kind }))
}

fn parse<T: de::DeserializeOwned>(body: &[u8]) -> std::result::Result<T, StatusAndBody> {
    serde_json::from_slice(body)
        .map_err(|_| (http::BAD_REQUEST, b"\"the request cannot be read\"".to_vec()))
}
