//! Submits, queries, cancels and awaits jobs.

use std::thread;
use std::time;

use persimmonpier::core::caller;
use persimmonpier::link::worker;

use crate::{Error, Result, client, exit};

const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Parses a job request from JSON with comments.
///
/// # Errors
/// [`Error::InvalidFile`] with the position of the mistake.
pub fn parse_request(path: &str, text: &str) -> Result<caller::JobRequest> {
    json5::from_str(text)
        .map_err(|error| Error::InvalidFile { path: path.to_owned(), detail: error.to_string() })
}

/// Submits a job and returns its state.
///
/// # Errors
/// Returns the errors of [`client::send`] and [`client::parse_json`].
pub fn submit(
    target: &client::Target,
    request: &caller::JobRequest,
    idempotency_key: Option<&str>,
) -> Result<caller::JobStatus> {
    let mut headers = vec![("Content-Type", "application/json".to_owned())];
    if let Some(key) = idempotency_key {
        headers.push(("Idempotency-Key", key.to_owned()));
    }
    let body = serde_json::to_vec(request).expect("a job request can be written as JSON");
    let response = client::send(target, minreq::Method::Post, "/v1/jobs", &headers, body)?;
    client::parse_json(target, &response)
}

/// Returns the state of a job.
///
/// # Errors
/// Returns the errors of [`client::send`] and [`client::parse_json`].
pub fn query(target: &client::Target, job: &str) -> Result<caller::JobStatus> {
    let response = client::send(target, minreq::Method::Get, &job_path(job), &[], Vec::new())?;
    client::parse_json(target, &response)
}

/// Cancels a job and returns its state.
///
/// # Errors
/// Returns the errors of [`client::send`] and [`client::parse_json`].
pub fn cancel(target: &client::Target, job: &str) -> Result<caller::JobStatus> {
    let response = client::send(target, minreq::Method::Delete, &job_path(job), &[], Vec::new())?;
    client::parse_json(target, &response)
}

/// Polls a job until it has ended, with a progress line on standard error every two seconds.
/// Failed queries are retried until `limit` has passed.
///
/// # Errors
/// The error of the last query, or [`Error::UnknownOutcome`] if the job has not ended by then.
pub fn wait(
    target: &client::Target,
    job: &str,
    limit: time::Duration,
) -> Result<caller::JobStatus> {
    let started_at = time::Instant::now();
    let mut progress_at = started_at + PROGRESS_INTERVAL;
    loop {
        let result = query(target, job);
        if let Ok(status) = &result {
            if has_ended(status.phase) {
                return result;
            }
            if time::Instant::now() >= progress_at {
                progress_at += PROGRESS_INTERVAL;
                let caller::JobStatus { done, tasks, running, phase, .. } = status;
                eprintln!("{job}: {phase}, {done} of {tasks} done, {running} running");
            }
        }
        if started_at.elapsed() > limit {
            result?;
            let detail = format!("job {job} has not ended within {limit:?}");
            return Err(Error::UnknownOutcome { host: target.host.clone(), detail });
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Whether the phase is final.
pub fn has_ended(phase: caller::JobPhase) -> bool {
    use caller::JobPhase;
    matches!(phase, JobPhase::Done | JobPhase::Failed | JobPhase::Cancelled)
}

/// The exit code for the state of a job.
pub fn exit_code(status: &caller::JobStatus) -> u8 {
    match status.phase {
        caller::JobPhase::Failed | caller::JobPhase::Cancelled => exit::FAILED,
        _ => exit::OK,
    }
}

/// Formats the state of a job as one line of text.
pub fn describe(status: &caller::JobStatus) -> String {
    let caller::JobStatus { job, phase, tasks, done, running, reason } = status;
    let mut line = format!("{job} {phase}: {done} of {tasks} tasks done, {running} running");
    if let Some(reason) = reason {
        line.push_str(&format!("; {} ({})", reason.kind, reason.detail));
    }
    line
}

fn job_path(job: &str) -> String {
    format!("/v1/jobs/{}", worker::encode_segment(job))
}
