//! Explanations of tasks by hosts that are not responsible for them.

#[allow(dead_code, reason = "the test uses a part of the harness")]
mod cell;

use std::sync;
use std::time;

use pier_core::ids;
use pier_state::effect::OperatorAnswer;
use pier_state::{Effect, Event, event, report};

const SERVICE: &str = "desk";

fn explain(cell: &mut cell::Cell, host: usize, task: &str) -> Option<report::Explanation> {
    let now = cell.now;
    let state = cell.hosts[host].state.as_mut().expect("no host is down");
    let request = event::OperatorRequest::Explain { task: task.into() };
    let event = Event::Operator(event::OperatorEvent { ticket: 0, request });
    for effect in state.apply(now, event) {
        if let Effect::AnswerOperator { answer: OperatorAnswer::Explanation(found), .. } = effect {
            return Some(*found);
        }
    }
    None
}

/// Guards against an operator who has to know which host owns a job.
#[test]
fn every_host_names_the_host_that_knows_a_job() {
    let scenario = cell::scenario::Scenario { seed: 1, hosts: 4, workers: 8, faults: Vec::new() };
    let mut cell = cell::Cell::new(scenario);
    cell.run_until(time::Duration::from_secs(10));
    let state = cell.hosts[0].state.as_ref().expect("no host is down");
    let home: ids::HostId = state.cluster().home_of(SERVICE).expect("members").clone();
    let owner = cell.hosts.iter().find(|host| host.id == home).expect("the home is a host");
    let address: sync::Arc<str> = sync::Arc::clone(&owner.address);
    for host in 0..cell.hosts.len() {
        for task in [SERVICE.to_owned(), format!("{SERVICE}/0")] {
            let found = explain(&mut cell, host, &task).expect("every host has an answer");
            let is_owner = cell.hosts[host].id == home;
            let expected = (!is_owner).then(|| sync::Arc::clone(&address));
            assert_eq!(found.ask_address, expected, "host {host}, {task}: {found:?}");
        }
        assert_eq!(explain(&mut cell, host, "nothing/0"), None);
    }
}

/// Guards against a request id from which its entry host cannot be found.
#[test]
fn the_id_of_a_request_leads_to_its_entry_host() {
    let scenario = cell::scenario::Scenario { seed: 1, hosts: 4, workers: 8, faults: Vec::new() };
    let mut cell = cell::Cell::new(scenario);
    cell.run_until(time::Duration::from_secs(10));
    for index in 0..cell.hosts.len() {
        let entry = &cell.hosts[index];
        let (id, address) = (entry.id.clone(), sync::Arc::clone(&entry.address));
        let task = format!("{id}-{:x}-1", entry.incarnation);
        for host in 0..cell.hosts.len() {
            let found = explain(&mut cell, host, &task);
            let ask = found.and_then(|found| found.ask_address);
            assert_eq!(ask, (host != index).then(|| sync::Arc::clone(&address)), "host {host}");
        }
    }
}
