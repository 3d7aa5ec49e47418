//! Submits jobs and queries their state.

use std::net;

use persimmonpier::core::caller;

use super::call::CALL_TIMEOUT;
use super::declaration::{KEY, amounts};

/// A job whose tasks are all equal.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    pub queue: &'static str,
    pub tasks: u32,
    pub run_ms: u64,
    pub repeatable: bool,
}

/// Submits a job and returns its id.
pub fn submit(address: net::SocketAddr, job: &Job) -> String {
    let body = format!(
        r#"{{ "queue": "{}", "tasks": {}, "resources": {}, "repeatable": {},
            "payload": "{{\"run_ms\":{}}}" }}"#,
        job.queue,
        job.tasks,
        amounts(1),
        job.repeatable,
        job.run_ms
    );
    let request = minreq::post(format!("http://{address}/v1/jobs"))
        .with_header("authorization", format!("Bearer {KEY}"))
        .with_timeout(CALL_TIMEOUT.as_secs())
        .with_body(body);
    let answer = request.send().expect("an answer to the submission");
    assert_eq!(answer.status_code, 202, "{answer:?}");
    let state: caller::JobStatus = serde_json::from_slice(answer.as_bytes()).expect("a job");
    state.job.to_string()
}

/// The state of a job. None if the host does not answer or refuses the query.
pub fn state(address: net::SocketAddr, job: &str) -> Option<caller::JobStatus> {
    let request = minreq::get(format!("http://{address}/v1/jobs/{job}"))
        .with_header("authorization", format!("Bearer {KEY}"))
        .with_timeout(CALL_TIMEOUT.as_secs());
    let answer = request.send().ok()?;
    serde_json::from_slice(answer.as_bytes()).ok()
}
