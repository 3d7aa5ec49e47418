//! Stand-in for clients: they submit, ask for and cancel jobs.

use std::time::Duration;

use crate::cell::Host;
use crate::http::Call;
use crate::json::{Value, object};
use crate::record::Record;
use crate::workers::StepPlan;

pub const HOST_NAME: &str = "desk.example";
pub const KEY: &str = "key-1";
/// How long clients wait for a response.
pub const TIME_BUDGET: Duration = Duration::from_millis(3_000);

/// A client.
pub struct Client<'a> {
    pub record: &'a Record,
    /// The prefix of the queue's paths.
    pub prefix: &'a str,
}

impl Client<'_> {
    /// Submits a job. None if there is no response in `patience`; the client then leaves.
    pub fn submit(
        &self,
        host: &Host,
        job: &str,
        steps: &[Value],
        patience: Duration,
    ) -> Option<u16> {
        let body = object([("spec", "cut".into()), ("steps", steps.to_vec().into())]).to_string();
        self.call(host, "POST", job, &body, patience).map(|(status, _)| status)
    }

    /// Cancels a job.
    pub fn cancel(&self, host: &Host, job: &str) -> Option<u16> {
        self.call(host, "DELETE", job, "", TIME_BUDGET).map(|(status, _)| status)
    }

    /// Asks for a job's state.
    pub fn state(&self, host: &Host, job: &str) -> Option<(u16, String)> {
        self.call(host, "GET", job, "", TIME_BUDGET)
    }

    fn call(
        &self,
        host: &Host,
        method: &str,
        job: &str,
        body: &str,
        patience: Duration,
    ) -> Option<(u16, String)> {
        let path = format!("{}{job}", self.prefix);
        let deadline_ms = TIME_BUDGET.as_millis().to_string();
        let headers = [
            ("host", HOST_NAME),
            ("x-api-key", KEY),
            ("content-type", "application/json"),
            ("persimmonpier-deadline-ms", deadline_ms.as_str()),
        ];
        self.record.write_detail(&format!("client: {method} {path} to {} {body}", host.name));
        let address = host.callers;
        let call =
            Call { method, address, path: &path, headers: &headers, body, timeout: patience };
        let response = call.send();
        let outcome = match &response {
            Some((status, body)) => format!("{status} {body}"),
            None => format!("no response within {} ms, the client leaves", patience.as_millis()),
        };
        self.record.write_detail(&format!("client: {method} {path}: {outcome}"));
        response
    }
}

/// A step as a client sends it.
pub fn step(plan: &StepPlan, estimate: Duration, after: &[u64]) -> Value {
    let count = u64::try_from(plan.tasks).expect("a small number");
    let estimate_ms = u64::try_from(estimate.as_millis()).expect("a short time");
    let after: Vec<Value> = after.iter().map(|step| Value::from(*step)).collect();
    let Value::Object(mut fields) = object([
        ("count", count.into()),
        ("cpu", plan.cpu.into()),
        ("mem_mb", 256.into()),
        ("est_runtime_ms", estimate_ms.into()),
    ]) else {
        unreachable!("an object was created");
    };
    // Fields whose value is false or empty are left out.
    if plan.gang {
        fields.insert("gang".to_owned(), true.into());
    }
    if let Some(kind) = plan.required_kind {
        fields.insert("requirements".to_owned(), kind.into());
    }
    if !after.is_empty() {
        fields.insert("after".to_owned(), after.into());
    }
    Value::Object(fields)
}
