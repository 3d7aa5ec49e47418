//! Explanations of waiting tasks for operators.

mod work_support;

use pier_core::{caller, ids};
use pier_state::report;
use pier_state::work::WorkEvent;

use work_support::{Cell, amount, ms};

fn explain(cell: &mut Cell, host: usize, task: &str) -> report::Explanation {
    cell.explanations.clear();
    cell.handle(host, WorkEvent::Explain { ticket: 0, task: task.into() });
    cell.explanations.pop().expect("the task is known")
}

/// The explanation of the first task of a job that has no worker.
fn waiting_task(cell: &mut Cell, job: &ids::JobId, tasks: u32) -> Option<report::Explanation> {
    for index in 0..tasks {
        let found = explain(cell, 0, &format!("{job}/{index}"));
        if found.worker.is_none() {
            return Some(found);
        }
    }
    None
}

/// Guards against an explanation that names a lack of capacity as the cause when the task waits
/// because of the limit of its team, and the reverse.
#[test]
fn the_limit_is_named_where_it_is_the_cause() {
    let rows = [
        ("at the limit", Some(amount(2)), 8, true),
        ("no limit, no room", None, 2, false),
        ("below the limit, no room", Some(amount(6)), 2, false),
    ];
    for (name, limit, slots, expected) in rows {
        let mut cell = Cell::new(1, 1, slots);
        cell.task_duration = ms(600_000);
        cell.declare([limit, None]);
        cell.run(ms(500));
        let job = cell.job_at(0, "job");
        cell.add_job(&job, 4);
        cell.run(ms(3_000));
        assert_eq!(cell.running(), 2, "{name}");
        let task = waiting_task(&mut cell, &job, 4).expect("two tasks wait");
        let job_explanation = explain(&mut cell, 0, &job);
        for found in [&task, &job_explanation] {
            assert_eq!(found.limit.is_some(), expected, "{name}: {found:?}");
            let Some(cause) = &found.limit else {
                continue;
            };
            assert_eq!((&*cause.team, cause.limit), ("red", amount(2)), "{name}");
            assert_eq!((cause.used, cause.needed), (amount(2), amount(1)), "{name}");
            assert_eq!(found.waits_for, None, "{name}");
        }
        if !expected {
            assert_ne!(task.waits_for, Some(caller::RefusalKind::OverLimit), "{name}");
        }
        let running = explain(&mut cell, 0, &format!("{job}/0"));
        assert!(running.worker.is_some() && running.limit.is_none(), "{name}: {running:?}");
    }
}

/// Guards against an explanation of an urgent request that does not name the limit of its team as
/// the cause.
#[test]
fn the_limit_is_named_for_a_request() {
    let mut cell = Cell::new(1, 1, 8);
    cell.task_duration = ms(600_000);
    cell.declare([Some(amount(1)), None]);
    cell.run(ms(500));
    let mut named = 0;
    for number in 0..2 {
        cell.send_request(0, work_support::request("open", &format!("body {number}")));
        cell.run(ms(100));
    }
    let started: Vec<ids::TaskId> =
        cell.start_counts.keys().map(|(task, _)| task.clone()).collect();
    assert_eq!(started.len(), 1);
    // The ids of requests of a host differ only in their last digit.
    for digit in 0..10 {
        let task = format!("{}{digit}", &started[0][..started[0].len() - 1]);
        cell.explanations.clear();
        cell.handle(0, WorkEvent::Explain { ticket: 0, task: task.into() });
        let Some(found) = cell.explanations.pop() else {
            continue;
        };
        named += usize::from(found.limit.is_some_and(|cause| cause.limit == amount(1)));
    }
    assert_eq!(named, 1);
}
