//! Gangs in a cell with workers that are on probation after failures.

mod work_support;

use pier_core::task;

use work_support::{Cell, Mode, ms, request};

/// The number of tasks of the gang. All of them fit on one worker.
const TASKS: u32 = 4;

/// A cell in which the worker of the first host was unreachable, is reachable again and is on
/// probation.
fn cell_with_worker_on_probation(hosts: usize) -> Cell {
    let mut cell = Cell::new(hosts, hosts, 8);
    cell.task_duration = ms(60_000);
    let worker = cell.workers.keys().next().expect("a worker").clone();
    cell.workers.get_mut(&worker).expect("a worker").mode = Mode::Unreachable;
    for number in 0..5 {
        cell.send_request(0, request("open", &format!("request {number}")));
        cell.run(ms(1_500));
    }
    // No request is left that could be used as a probe task.
    cell.run(ms(10_000));
    assert_eq!(cell.status(0).waiting, 0);
    cell.workers.get_mut(&worker).expect("a worker").mode = Mode::Healthy;
    assert!(cell.status(0).workers[0].failures > 0, "the worker is not on trial");
    cell
}

/// How many seconds a gang of the first host takes to start; none if it does not start within
/// `limit_s`.
fn gang_start_delay_s(cell: &mut Cell, limit_s: u64) -> Option<u64> {
    let job = cell.job_at(0, "gang");
    cell.add_job_of(&job, TASKS, task::Class::Gang);
    let tasks = usize::try_from(TASKS).expect("few tasks");
    let before = cell.running();
    (1..=limit_s).find(|_| {
        cell.run(ms(1_000));
        cell.running() == before + tasks
    })
}

/// Guards against a gang that requests all its capacity on a worker that accepts one task at a
/// time, while the workers of other hosts are idle.
#[test]
fn a_gang_avoids_a_worker_on_probation() {
    let mut cell = cell_with_worker_on_probation(2);
    let took_s = gang_start_delay_s(&mut cell, 10);
    assert!(took_s.is_some(), "the gang waits beside an idle worker");
}

/// Guards against a probation that never ends because only gangs are waiting and no gang can start
/// on a worker that accepts one task at a time.
#[test]
fn probation_ends_when_only_a_gang_waits() {
    let mut cell = cell_with_worker_on_probation(1);
    let took_s = gang_start_delay_s(&mut cell, 60);
    assert!(took_s.is_some(), "the gang waits for a trial that nothing can end");
}
