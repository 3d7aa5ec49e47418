//! Tasks at the worker owner and at their origin: leases, lost messages, lost owners, moves of
//! workers.

mod work_support;

use pier_core::{caller, ids, task};
use pier_state::cluster;
use pier_state::effect::CallerAnswer;
use pier_state::event::{CallerRequest, NotStarted, WorkerEvent};
use pier_state::message::{Message, PlaceMessage};
use pier_state::work::WorkEvent;

use work_support::{Cell, Mode, Network, amount, ms, request};

type Id = (ids::TaskId, ids::Attempt);

/// A cell of two hosts, the second of which is scripted by the test, with a job task whose origin
/// is the scripted host. The first host owns all workers.
fn cell_with_scripted_host(workers: usize, slots: u64) -> (Cell, task::TaskSpec, Id) {
    let mut cell = Cell::new(2, 0, 0);
    for index in 0..workers {
        cell.add_worker(index, 0, slots);
    }
    cell.run(ms(250));
    cell.hosts[1].is_scripted = true;
    let spec = cell.job_task(1, "job");
    let id = (spec.task.clone(), 1);
    (cell, spec, id)
}

fn place(cell: &mut Cell, spec: &task::TaskSpec, reserve: bool) {
    let message = cell.place_message(0, spec.clone(), reserve);
    cell.deliver(1, 0, message);
}

fn deliver(cell: &mut Cell, message: PlaceMessage) {
    cell.deliver(1, 0, Message::Place(message));
}

/// The kinds of messages about attempts that the scripted host has received, without consecutive
/// duplicates.
fn received(cell: &mut Cell) -> Vec<&'static str> {
    let mut received = Vec::new();
    for message in cell.hosts[1].inbox.drain(..) {
        received.push(match message {
            PlaceMessage::Accepted { .. } => "accepted",
            PlaceMessage::Reserved { .. } => "reserved",
            PlaceMessage::Refused { .. } => "refused",
            PlaceMessage::Started { .. } => "started",
            PlaceMessage::Ended { end: Some(_), .. } => "ended",
            PlaceMessage::Ended { end: None, .. } => "gone",
            _ => continue,
        });
    }
    received.dedup();
    received
}

/// Guards against a second start of an attempt when its placement message is repeated, at any time.
#[test]
fn a_repeated_placement_starts_once() {
    let (mut cell, spec, id) = cell_with_scripted_host(1, 4);
    cell.task_duration = ms(1_000);
    for _ in 0..3 {
        place(&mut cell, &spec, false);
    }
    cell.run(ms(100));
    place(&mut cell, &spec, false);
    cell.run(ms(3_000));
    assert_eq!(received(&mut cell), ["accepted", "started", "ended"]);
    let (task, attempt) = id.clone();
    deliver(&mut cell, PlaceMessage::EndedAck { task, attempt });
    cell.run(ms(1_000));
    place(&mut cell, &spec, false);
    cell.run(ms(60_000));
    assert_eq!(cell.start_counts.get(&id), Some(&1));
    assert!(received(&mut cell).is_empty());
}

/// Guards against accepting a placement message in a process that cannot know whether the previous
/// process started the attempt.
#[test]
fn a_placement_for_another_process_is_ignored() {
    let (mut cell, spec, id) = cell_with_scripted_host(1, 4);
    cell.hosts[0].cluster.identity.incarnation += 1;
    let Message::Place(PlaceMessage::Place { attempt, wait_ms, .. }) =
        cell.place_message(0, spec.clone(), false)
    else {
        panic!("a place message was expected");
    };
    deliver(
        &mut cell,
        PlaceMessage::Place {
            spec: Box::new(spec),
            attempt,
            wait_ms,
            deadline_ms: None,
            reserve: false,
            to_incarnation: 1,
        },
    );
    cell.run(ms(500));
    assert_eq!(cell.start_counts.get(&id), None);
    assert!(received(&mut cell).is_empty());
}

/// Guards against a cancelled attempt that starts because its placement message arrives after the
/// cancellation.
#[test]
fn a_cancellation_that_arrives_before_the_placement_takes_effect() {
    let (mut cell, spec, id) = cell_with_scripted_host(1, 4);
    let (task, attempt) = id.clone();
    deliver(&mut cell, PlaceMessage::Cancel { task, attempt });
    place(&mut cell, &spec, false);
    cell.run(ms(500));
    assert_eq!(cell.start_counts.get(&id), None);
    assert_eq!(received(&mut cell), ["refused"]);
}

/// Guards against a reservation that occupies capacity forever, and against a start on capacity
/// that was released.
#[test]
fn a_reservation_is_committed_in_time_or_released() {
    for (wait, committed) in [(ms(1_000), true), (ms(2_500), false)] {
        let (mut cell, spec, id) = cell_with_scripted_host(1, 1);
        place(&mut cell, &spec, true);
        cell.run(ms(100));
        assert_eq!(received(&mut cell), ["reserved"]);
        assert_eq!(cell.status(0).workers[0].free, amount(0));
        cell.run(wait);
        let (task, attempt) = id.clone();
        deliver(&mut cell, PlaceMessage::Commit { task, attempt });
        let (task, attempt) = id.clone();
        deliver(&mut cell, PlaceMessage::Commit { task, attempt });
        cell.run(ms(3_000));
        let expected =
            if committed { vec!["accepted", "started", "ended"] } else { vec!["refused"] };
        assert_eq!(received(&mut cell), expected);
        assert_eq!(cell.start_counts.contains_key(&id), committed);
        assert_eq!(cell.status(0).workers[0].free, amount(1));
    }
}

/// Guards against a lease that is renewed although the owner of the job no longer wants the
/// attempt, and against one that expires although it does.
#[test]
fn only_kept_attempts_are_renewed() {
    let (mut cell, spec, id) = cell_with_scripted_host(1, 4);
    cell.task_duration = ms(600_000);
    place(&mut cell, &spec, false);
    for _ in 0..90 {
        cell.run(ms(1_000));
        cell.keep(1, 0, vec![id.clone()]);
    }
    assert_eq!(cell.running(), 1);
    assert_eq!(received(&mut cell), ["started"]);
    // A new owner of the job may start the task again after `task_lease` and a margin.
    cell.run(ms(30_000));
    assert_eq!(cell.running(), 0);
    cell.run(ms(5_000));
    assert_eq!(received(&mut cell), ["ended"]);
}

/// Guards against an end that is reported before the lease of an unreachable worker has expired,
/// and against one that is never reported.
#[test]
fn an_attempt_on_a_lost_worker_counts_until_its_lease_ends() {
    let (mut cell, spec, id) = cell_with_scripted_host(1, 4);
    cell.task_duration = ms(600_000);
    place(&mut cell, &spec, false);
    for second in 0..90 {
        if second == 20 {
            let worker = cell.workers.values_mut().next().expect("a worker");
            worker.mode = Mode::Unreachable;
        }
        cell.run(ms(1_000));
        cell.keep(1, 0, vec![id.clone()]);
        let kinds = received(&mut cell);
        if kinds.contains(&"gone") {
            assert_eq!(cell.running(), 0, "the attempt was told to be gone while it ran");
            assert!(second < 75);
            return;
        }
    }
    panic!("the end was never told");
}

/// Guards against an end that is lost because its message or the acknowledgement is lost.
#[test]
fn an_end_is_repeated_until_it_is_acknowledged() {
    let (mut cell, spec, id) = cell_with_scripted_host(1, 4);
    place(&mut cell, &spec, false);
    cell.run(ms(5_000));
    let ends = cell.hosts[1].inbox.iter().filter(|m| matches!(m, PlaceMessage::Ended { .. }));
    assert!(ends.count() > 3);
    assert!(!cell.hosts[0].work.is_drained());
    let (task, attempt) = id;
    deliver(&mut cell, PlaceMessage::EndedAck { task, attempt });
    assert!(cell.hosts[0].work.is_drained());
}

/// Guards against tasks that the previous owner of a job places after a new epoch.
#[test]
fn tasks_of_a_job_with_another_owner_are_refused() {
    let (mut cell, _, _) = cell_with_scripted_host(1, 4);
    let spec = cell.job_task(0, "mine");
    place(&mut cell, &spec, false);
    cell.run(ms(100));
    assert_eq!(received(&mut cell), ["refused"]);
    assert!(cell.start_counts.is_empty());
}

/// Guards against a start on a worker that is closed or was released, and against a start without
/// authority.
#[test]
fn a_start_is_checked_against_the_current_cell() {
    type Change = fn(&mut cluster::Cluster);
    let cases: [Change; 4] = [
        |cluster| cluster.workers.values_mut().for_each(|worker| worker.closed = true),
        |cluster| cluster.workers.values_mut().for_each(|worker| worker.token = None),
        |cluster| cluster.authority = cluster::Authority::None,
        |cluster| cluster.authority_until = ms(0),
    ];
    for change in cases {
        let (mut cell, spec, id) = cell_with_scripted_host(1, 4);
        change(&mut cell.hosts[0].cluster);
        place(&mut cell, &spec, false);
        cell.run(ms(50));
        assert_eq!(cell.start_counts.get(&id), None);
    }
}

/// Guards against worker events that are duplicate, late or for unknown attempts.
#[test]
fn unexpected_worker_events_are_ignored() {
    let (mut cell, spec, id) = cell_with_scripted_host(2, 4);
    cell.task_duration = ms(10_000);
    place(&mut cell, &spec, false);
    cell.run(ms(100));
    let workers: Vec<ids::WorkerId> = cell.workers.keys().cloned().collect();
    let end = task::TaskEnd { kind: task::EndKind::Done, body: "odd".into() };
    for (worker, task) in [(&workers[1], id.0.clone()), (&workers[0], "nobody/0".into())] {
        let (worker, attempt) = (worker.clone(), 1);
        let events = [
            WorkerEvent::Started { worker: worker.clone(), task: task.clone(), attempt },
            WorkerEvent::Answered {
                worker: worker.clone(),
                task: task.clone(),
                attempt,
                end: end.clone(),
            },
            WorkerEvent::NotStarted {
                worker: worker.clone(),
                task: task.clone(),
                attempt,
                reason: NotStarted::NoConnection,
            },
            WorkerEvent::StartUnknown { worker: worker.clone(), task: task.clone(), attempt },
            WorkerEvent::Unreachable { worker: "nowhere".into() },
        ];
        for event in events {
            cell.handle(0, WorkEvent::Worker(event));
        }
    }
    // A refusal that arrives after the worker has confirmed the start is outdated.
    let late = WorkerEvent::NotStarted {
        worker: workers[0].clone(),
        task: id.0.clone(),
        attempt: 1,
        reason: NotStarted::Expired,
    };
    cell.handle(0, WorkEvent::Worker(late));
    cell.run(ms(500));
    assert_eq!(received(&mut cell), ["started"]);
    assert_eq!(cell.status(0).workers[0].free, amount(3));
}

/// Guards against a request that runs twice, or is reported as not run, when the owner of its
/// worker is lost.
#[test]
fn a_request_at_a_lost_owner_is_unknown_or_runs_again_after_the_lease() {
    let mut cell = Cell::new(3, 0, 0);
    cell.add_worker(0, 0, 4);
    cell.run(ms(250));
    cell.task_duration = ms(2_000);
    let once = cell.send_request(1, request("open", "once"));
    let again =
        cell.send_request(1, CallerRequest { repeatable: true, ..request("open", "again") });
    cell.run(ms(500));
    assert_eq!(cell.running(), 2);
    cell.hosts[0].is_up = false;
    cell.new_epoch(&[0], 2);
    cell.run(ms(100));
    match cell.answer(1, once) {
        Some(CallerAnswer::Refused(refusal)) => {
            assert_eq!(refusal.outcome, caller::Outcome::Unknown);
        }
        other => panic!("a refusal was expected, not {other:?}"),
    }
    let worker = cell.workers.keys().next().expect("a worker").clone();
    cell.take_over(&worker, 2);
    cell.run(ms(50_000));
    assert_eq!(cell.run_counts.get(&"again".into()), Some(&1));
    cell.run(ms(20_000));
    assert!(matches!(cell.answer(1, again), Some(CallerAnswer::Task { .. }) | Some(_)));
    assert_eq!(cell.run_counts.get(&"once".into()), Some(&1));
}

/// Guards against callers that get no answer because the worker of their request is handed over to
/// another host, and against capacity that is counted at neither host or at both.
#[test]
fn a_request_is_answered_although_its_worker_moves() {
    let mut cell = Cell::new(3, 0, 0);
    cell.add_worker(0, 0, 4);
    cell.run(ms(250));
    cell.task_duration = ms(3_000);
    let local = cell.send_request(0, request("open", "near"));
    let remote = cell.send_request(1, request("open", "far"));
    cell.run(ms(500));
    let worker = cell.workers.keys().next().expect("a worker").clone();
    cell.hand_over(&worker, 2);
    assert_eq!(cell.status(2).workers[0].free, amount(2));
    assert!(!cell.hosts[0].work.is_drained());
    cell.run(ms(4_000));
    for (host, ticket) in [(0, local), (1, remote)] {
        assert!(matches!(cell.answer(host, ticket), Some(CallerAnswer::Task { .. })));
    }
    cell.run(ms(2_000));
    assert_eq!(cell.status(2).workers[0].free, amount(4));
    assert!(cell.hosts[0].work.is_drained());
}

/// Guards against job tasks that are lost, run twice at the same time, or are stopped when hosts
/// fail and messages are lost.
#[test]
fn jobs_survive_moves_of_workers_and_owners() {
    let networks = [
        Network::default(),
        Network { lost_percent: 20, repeated_percent: 20, delayed_percent: 20 },
    ];
    for network in networks {
        let mut cell = Cell::new(4, 4, 4);
        cell.run(ms(500));
        cell.task_duration = ms(20_000);
        cell.network = network;
        for home in 0..4 {
            let job = cell.job_at(home, "job");
            cell.add_job(&job, 3);
        }
        cell.run(ms(8_000));
        assert_eq!(cell.running(), 12);
        // One worker is handed over, and one host fails.
        let workers: Vec<ids::WorkerId> = cell.workers.keys().cloned().collect();
        cell.hand_over(&workers[1], 2);
        cell.hosts[3].is_up = false;
        cell.new_epoch(&[3], 0);
        cell.run(ms(3_500));
        cell.take_over(&workers[3], 0);
        cell.run(ms(120_000));
        assert_eq!(cell.running(), 0);
        for (id, count) in &cell.start_counts {
            assert_eq!(*count, 1, "attempt {id:?} was carried out more than once");
        }
        let tasks: std::collections::BTreeSet<_> =
            cell.start_counts.keys().map(|(task, _)| task.clone()).collect();
        assert_eq!(tasks.len(), 12);
        assert!(cell.start_counts.len() <= 15, "{:?}", cell.start_counts);
    }
}

/// Guards against done tasks that run again because the owner of their job failed between its
/// acknowledgement of their ends and the log entry of its progress, or failed together with a
/// worker that it owned.
#[test]
fn done_tasks_do_not_run_again_when_the_owner_of_their_job_dies() {
    for delay in (0..1_000).step_by(100) {
        let mut cell = Cell::new(4, 4, 4);
        cell.run(ms(500));
        cell.task_duration = ms(1_000);
        let job = cell.job_at(3, "job");
        cell.add_job(&job, 12);
        for _ in 0..200 {
            if cell.running() == 0 && cell.start_counts.len() == 12 {
                break;
            }
            cell.run(ms(50));
        }
        assert_eq!((cell.running(), cell.start_counts.len()), (0, 12));
        cell.run(ms(delay));
        let workers: Vec<ids::WorkerId> = cell.workers.keys().cloned().collect();
        cell.hosts[3].is_up = false;
        cell.new_epoch(&[3], 0);
        cell.run(ms(3_500));
        cell.take_over(&workers[3], 0);
        cell.run(ms(120_000));
        let mut runs = std::collections::BTreeMap::<ids::TaskId, u32>::new();
        for ((task, _), count) in &cell.start_counts {
            *runs.entry(task.clone()).or_default() += count;
        }
        assert_eq!(runs.len(), 12);
        assert!(runs.values().all(|runs| *runs == 1), "killed after {delay} ms: {runs:?}");
    }
}

/// Guards against two attempts of a task that run at the same time.
#[test]
fn no_task_runs_in_two_places() {
    let mut cell = Cell::new(4, 4, 4);
    cell.run(ms(500));
    cell.task_duration = ms(15_000);
    cell.network = Network { lost_percent: 30, repeated_percent: 20, delayed_percent: 30 };
    for home in 0..4 {
        let job = cell.job_at(home, "job");
        cell.add_job(&job, 3);
    }
    for second in 0..200 {
        cell.run(ms(1_000));
        if second == 10 {
            cell.hosts[2].is_up = false;
            cell.new_epoch(&[2], 1);
        }
        if second == 14 {
            let workers: Vec<ids::WorkerId> = cell.workers.keys().cloned().collect();
            cell.take_over(&workers[2], 1);
        }
        let mut running = std::collections::BTreeSet::new();
        for worker in cell.workers.values() {
            for (task, _) in worker.running.keys() {
                assert!(running.insert(task.clone()), "task {task} runs in two places");
            }
        }
    }
}

/// Guards against a host that accepts new work while it shuts down, and against callers that get no
/// answer.
#[test]
fn a_host_that_shuts_down_finishes_and_takes_nothing_new() {
    let mut cell = Cell::new(2, 2, 1);
    cell.run(ms(250));
    cell.task_duration = ms(1_000);
    let running = cell.send_request(0, request("open", "running"));
    cell.handle(0, WorkEvent::Shutdown);
    cell.hosts[0].cluster.leaving = true;
    let other = cell.send_request(0, request("open", "other"));
    assert!(!cell.hosts[0].work.is_drained());
    cell.run(ms(3_000));
    for ticket in [running, other] {
        assert!(matches!(cell.answer(0, ticket), Some(CallerAnswer::Task { .. })));
    }
    assert!(cell.hosts[0].work.is_drained());
    assert_eq!(cell.counters(0).starts, 1);
}

/// Guards against callers that are told that their answer is lost because a new epoch removes a
/// host that is shutting down and still waits for that answer, and against callers that are told
/// nothing when that host fails in the meantime.
#[test]
fn a_removed_host_that_shuts_down_still_answers() {
    for dies in [false, true] {
        let mut cell = Cell::new(3, 0, 0);
        cell.add_worker(0, 0, 4);
        cell.run(ms(250));
        cell.task_duration = ms(4_000);
        let ticket = cell.send_request(1, request("open", "far"));
        cell.run(ms(500));
        cell.hosts[0].cluster.leaving = true;
        cell.handle(0, WorkEvent::Shutdown);
        let leaving = cell.host_id(0);
        for index in [1, 2] {
            let peers = &mut cell.hosts[index].cluster.peers;
            peers.get_mut(&leaving).expect("a peer").leaving = true;
        }
        let worker = cell.workers.keys().next().expect("a worker").clone();
        cell.hand_over(&worker, 2);
        for index in 0..3 {
            let cluster = &mut cell.hosts[index].cluster;
            cluster.epoch += 1;
            cluster.is_member = index != 0;
            cluster.member_hosts.retain(|host| *host != leaving);
            cell.change(index, cluster::Change::Epoch { removed: vec![leaving.clone()] });
        }
        cell.run(ms(500));
        assert!(cell.answer(1, ticket).is_none(), "dies: {dies}");
        cell.hosts[0].is_up = !dies;
        cell.run(ms(5_000));
        let answer = cell.answer(1, ticket);
        match answer {
            Some(CallerAnswer::Task { .. }) => assert!(!dies),
            Some(CallerAnswer::Refused(refusal)) => {
                assert!(dies && refusal.outcome == caller::Outcome::Unknown, "{refusal:?}");
            }
            other => panic!("dies: {dies}, {other:?}"),
        }
    }
}
