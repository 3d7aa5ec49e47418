//! The control port, through which tests set faults and marks and read the audit.

use std::sync;
use std::time;

use tiny_http::Method;

use crate::{audit, http, platform};

pub(crate) fn handle(shared: &sync::Arc<platform::Shared>, call: http::Call) {
    let path: Vec<&str> = call.path.iter().map(String::as_str).collect();
    match (path.as_slice(), &call.method) {
        (["control", "audit"], Method::Get) => {
            let prefix = call.query_parameter("prefix");
            let report = to_report(shared, prefix.as_deref());
            call.responder.send(http::OK, &report);
        }
        (["control", "largest"], Method::Delete) => {
            shared.lock().audit.reset_largest();
            call.responder.send(http::OK, &"counted anew");
        }
        (["control", "faults"], Method::Get) => {
            let faults = shared.lock().faults.clone();
            call.responder.send(http::OK, &faults);
        }
        (["control", "faults"], Method::Post) => match patch_faults(shared, &call.body) {
            Ok(()) => call.responder.send(http::OK, &"set"),
            Err(error) => call.responder.send(http::BAD_REQUEST, &error.to_string()),
        },
        (["control", "faults"], Method::Delete) => {
            set_faults(shared, crate::faults::Faults::default());
            call.responder.send(http::OK, &"cleared");
        }
        (["control", "marks"], Method::Post) => match serde_json::from_slice(&call.body) {
            Ok(request) => {
                shared.lock().audit.mark(time::Instant::now(), request);
                call.responder.send(http::OK, &"marked");
            }
            Err(error) => call.responder.send(http::BAD_REQUEST, &error.to_string()),
        },
        (["control", "marks"], Method::Delete) => {
            let name = call.query_parameter("name").unwrap_or_default();
            shared.lock().audit.unmark(&name);
            call.responder.send(http::OK, &"removed");
        }
        _ => call.responder.send(http::NOT_FOUND, &"no such path"),
    }
}

fn patch_faults(shared: &sync::Arc<platform::Shared>, body: &[u8]) -> serde_json::Result<()> {
    let patch = serde_json::from_slice(body)?;
    let faults = shared.lock().faults.patched(patch)?;
    set_faults(shared, faults);
    Ok(())
}

fn set_faults(shared: &sync::Arc<platform::Shared>, faults: crate::faults::Faults) {
    let now = time::Instant::now();
    let mut guard = shared.lock();
    let state = &mut *guard;
    state.hosts.change(now, &faults.host_list);
    if let Some(keep) = faults.log.keep_records {
        state.log.keep_last(now, keep);
    }
    // Workers that are newly listed as leaving get a mark in the audit. The mark is removed when
    // they are no longer listed so.
    for worker in state.workers.values_mut() {
        let leaves = faults.host_list.leaving.contains(&worker.id);
        let was_leaving = state.faults.host_list.leaving.contains(&worker.id);
        worker.leaving = leaves && shared.settings.leaving_workers_refuse;
        let name = format!("leaving {}", worker.id);
        if leaves && !was_leaving {
            let workers = vec![worker.id.clone()];
            state.audit.mark(now, audit::MarkRequest { name, availability_zone: None, workers });
        } else if !leaves {
            state.audit.unmark(&name);
        }
    }
    state.faults = faults;
}

fn to_report(shared: &sync::Arc<platform::Shared>, prefix: Option<&str>) -> audit::Report {
    let state = shared.lock();
    let mut report = state.audit.to_report(time::Instant::now(), prefix);
    for worker in state.workers.values() {
        if !worker.largest_used.fits_in(&worker.total) {
            report.over_committed_workers.push(worker.id.clone());
        }
        let usage = audit::WorkerUsage {
            total: worker.total,
            used: worker.used,
            largest_used: worker.largest_used,
            running: u64::try_from(worker.running.len()).unwrap_or(u64::MAX),
            starts: worker.starts,
        };
        report.workers.insert(worker.id.clone(), usage);
    }
    report
}
