//! Tests of the decider alone, between its decisions, its appends and the responses to them.

mod fixture;

use std::sync;
use std::time;

use pier_cell::decider::{Decider, RequestOrigin};
use pier_cell::declaration::{Account, AdviserTiming, Declaration};
use pier_cell::effect::{Effect, WorkerOperation};
use pier_cell::event::{AppendResponse, ListedEnd, ListedRun, StartResponse};
use pier_cell::follower::{FollowerUpdate, ReadError};
use pier_cell::job::{JobSpec, JobState, TaskRef};
use pier_cell::peer::{Advice, Message, PeerInfo};
use pier_cell::record::Record;
use pier_cell::run::EndKind;
use pier_core::ids;

use fixture::{Fixture, cores, count_starts, queue, record, single_step, worker_call};

fn append_of(effects: &[Effect]) -> (ids::Ticket, ids::Offset, sync::Arc<Vec<Record>>) {
    let append = effects.iter().find_map(|effect| match effect {
        Effect::Append { ticket, at, records, .. } => Some((*ticket, *at, records.clone())),
        _ => None,
    });
    append.expect("an append")
}

fn read_of(effects: &[Effect]) -> ids::Ticket {
    let read = effects.iter().find_map(|effect| match effect {
        Effect::Read { ticket, .. } => Some(*ticket),
        _ => None,
    });
    read.expect("a read")
}

/// Guards against a start that is not recorded in the log. If the decider died, no other host would
/// know of the run, and the task would run twice.
#[test]
fn starts_are_sent_after_their_record_is_stored() {
    let mut fixture = Fixture::new(queue(None));
    fixture.list_workers(&["w0"]);
    fixture.submit(single_step(1, false));
    let effects = fixture.advance(30);
    assert_eq!(count_starts(&effects), 0);
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Append { .. })));
    assert_eq!(count_starts(&fixture.complete_appends(&effects)), 1);
}

/// Guards against a gang that is started only in part, whose members wait for the others in vain. A
/// worker starts to drain between the decision and the response of the log.
#[test]
fn a_gang_is_started_as_a_whole_or_not_at_all() {
    let mut fixture = Fixture::new(queue(None));
    fixture.list_workers(&["w0", "w1", "w2"]);
    fixture.submit(single_step(3, true));
    let effects = fixture.advance(30);
    let mut draining = record("w1");
    draining.entry.as_mut().expect("an entry").is_draining = true;
    let learned =
        FollowerUpdate { is_reset: false, records: vec![(1, draining)], is_caught_up: true };
    fixture.with_decider(|decider, _| decider.on_worker_records(learned));
    let mut stored = fixture.complete_appends(&effects);
    let sent = count_starts(&stored);
    stored.extend(fixture.advance(1));
    let stops = stored
        .iter()
        .filter(|effect| matches!(worker_call(effect), Some((_, WorkerOperation::Stop { .. }))))
        .count();
    assert_eq!(sent, stops, "each member that was started is stopped again");
    assert_eq!(sent, 0, "the decider knew of the drain before it sent the first start");
}

/// Guards against a second run of a task while the first may still start. A start request without a
/// response may be carried out seconds later, until a stop of that run is acknowledged.
#[test]
fn an_unanswered_start_is_stopped_before_the_task_runs_elsewhere() {
    let mut fixture = Fixture::new(queue(None));
    fixture.list_workers(&["w0", "w1"]);
    let task = fixture.submit(single_step(1, false));
    let effects = fixture.advance(30);
    let sent = fixture.complete_appends(&effects);
    let worker = sent
        .iter()
        .find_map(|effect| match worker_call(effect) {
            Some((target, WorkerOperation::Start(_))) => Some(target.worker.clone()),
            _ => None,
        })
        .expect("a start");
    fixture.with_decider(|decider, context| {
        decider.on_start_response(context, &task, 1, StartResponse::NoAnswer);
    });
    // The worker does not list the run: the start request may still arrive.
    for _ in 0..4 {
        let effects = fixture.advance(200);
        let mut stopped = false;
        for effect in &effects {
            match worker_call(effect) {
                Some((target, WorkerOperation::Poll { sent_at, .. })) => {
                    fixture.report_poll(&target.worker, *sent_at, Vec::new(), Vec::new());
                }
                Some((target, WorkerOperation::Stop { number, .. })) => {
                    assert_eq!((&target.worker, *number), (&worker, 1));
                    stopped = true;
                }
                _ => {}
            }
        }
        let stored = fixture.complete_appends(&effects);
        assert_eq!(count_starts(&stored), 0, "no second run before the stop is acknowledged");
        if stopped {
            break;
        }
    }
    fixture.with_decider(|decider, context| decider.on_stop_response(context, &task, 1, true));
    let mut second = 0;
    for _ in 0..4 {
        let effects = fixture.advance(200);
        for effect in &effects {
            if let Some((target, WorkerOperation::Poll { sent_at, .. })) = worker_call(effect) {
                fixture.report_poll(&target.worker, *sent_at, Vec::new(), Vec::new());
            }
        }
        second += count_starts(&fixture.complete_appends(&effects));
    }
    assert_eq!(second, 1, "the task runs elsewhere once the first run is barred");
}

/// Guards against counting a failure twice. A worker reports the end of a run again until it is
/// acknowledged, and once more after a change of the decider.
#[test]
fn a_failure_that_is_reported_again_counts_once() {
    let mut fixture = Fixture::new(queue(None));
    fixture.list_workers(&["w0"]);
    let task = fixture.submit(single_step(1, false));
    let effects = fixture.advance(30);
    fixture.complete_appends(&effects);
    let end = ListedEnd {
        sequence: 1,
        task: Some(task.clone()),
        number: 1,
        kind: Some(EndKind::Failed),
        checkpoint: None,
    };
    let again = ListedEnd { sequence: 2, ..end.clone() };
    let now = fixture.now;
    fixture.report_poll("w0", now, Vec::new(), vec![end, again]);
    assert_ne!(fixture.state(), Some(JobState::Failed), "one of two attempts has failed");
}

/// Guards against a job that fails too late or never. Its queue allows two attempts.
#[test]
fn a_job_fails_after_the_attempts_of_its_queue() {
    let mut fixture = Fixture::new(queue(None));
    fixture.list_workers(&["w0"]);
    let task = fixture.submit(single_step(1, false));
    for number in 1..=2 {
        let effects = fixture.advance(30);
        let stored = fixture.complete_appends(&effects);
        assert_eq!(count_starts(&stored), 1, "attempt {number}");
        let end = ListedEnd {
            sequence: u64::from(number),
            task: Some(task.clone()),
            number,
            kind: Some(EndKind::Failed),
            checkpoint: None,
        };
        let now = fixture.now;
        fixture.report_poll("w0", now, Vec::new(), vec![end]);
    }
    assert_eq!(fixture.state(), Some(JobState::Failed));
}

/// Guards against acknowledging the end of a run before it is stored. The worker would forget it,
/// and if the decider died no other host would know that the task is done.
#[test]
fn a_run_end_is_acknowledged_after_its_record_is_stored() {
    let mut fixture = Fixture::new(queue(None));
    fixture.list_workers(&["w0"]);
    let task = fixture.submit(single_step(2, false));
    let effects = fixture.advance(30);
    fixture.complete_appends(&effects);
    let end = ListedEnd {
        sequence: 1,
        task: Some(task),
        number: 1,
        kind: Some(EndKind::Done),
        checkpoint: None,
    };
    let now = fixture.now;
    fixture.report_poll("w0", now, Vec::new(), vec![end]);
    let effects = fixture.advance(30);
    let is_acknowledged = |effects: &[Effect]| {
        effects.iter().any(|effect| {
            let call = worker_call(effect);
            matches!(call, Some((_, WorkerOperation::Poll { ends_stored, .. })) if *ends_stored > 0)
        })
    };
    assert!(!is_acknowledged(&effects), "the append is only under way");
    fixture.complete_appends(&effects);
    let effects = fixture.advance(30);
    assert!(is_acknowledged(&effects));
}

/// Guards against start requests without a ticket or with a ticket that has expired.
#[test]
fn a_queue_with_a_policy_starts_only_with_valid_tickets() {
    let timing = AdviserTiming {
        base: time::Duration::from_millis(10),
        per_worker: time::Duration::from_millis(1),
        validity: time::Duration::from_millis(1_500),
    };
    let mut fixture = Fixture::new(queue(Some(timing)));
    fixture.list_workers(&["w0", "w1"]);
    fixture.submit(single_step(1, false));
    let effects = fixture.advance(30);
    let question = effects
        .iter()
        .find_map(|effect| match effect {
            Effect::RequestAdvice(question) => Some(question.clone()),
            _ => None,
        })
        .expect("the adviser is asked");
    fixture.complete_appends(&effects);
    let answer = Advice { eligible: vec![("w1".into(), "ticket".to_owned())], valid_ms: 1_500 };
    fixture.with_decider(|decider, context| {
        decider.on_advice_response(context, question.ticket, Some(&answer))
    });
    let effects = fixture.advance(30);
    // The log responds late, while the ticket is still valid for long enough.
    fixture.now += time::Duration::from_millis(950);
    let late = fixture.complete_appends(&effects);
    assert_eq!(count_starts(&late), 1, "the ticket is still valid");
    let Some((target, WorkerOperation::Start(order))) = late.iter().find_map(worker_call) else {
        unreachable!("a start was counted");
    };
    assert_eq!((&*target.worker, order.ticket.as_deref()), ("w1", Some("ticket")));
}

fn advice_question(effects: &[Effect]) -> Option<pier_cell::peer::AdviceRequest> {
    effects.iter().find_map(|effect| match effect {
        Effect::RequestAdvice(question) => Some(question.clone()),
        _ => None,
    })
}

fn adviser_timing() -> AdviserTiming {
    AdviserTiming {
        base: time::Duration::from_millis(10),
        per_worker: time::Duration::from_millis(1),
        validity: time::Duration::from_millis(1_500),
    }
}

/// Guards against a gang that waits forever in an empty cell. Advice was requested while most
/// workers were missing, and the few that were eligible then are not enough.
#[test]
fn a_gang_requests_advice_for_workers_that_join_later() {
    let mut fixture = Fixture::new(queue(Some(adviser_timing())));
    fixture.list_workers(&["w0"]);
    fixture.submit(single_step(2, true));
    let effects = fixture.advance(30);
    let first = advice_question(&effects).expect("the adviser is asked");
    fixture.complete_appends(&effects);
    let answer = Advice { eligible: vec![("w0".into(), "t0".to_owned())], valid_ms: 1_500 };
    fixture.with_decider(|decider, context| {
        decider.on_advice_response(context, first.ticket, Some(&answer))
    });
    let effects = fixture.list_workers(&["w0", "w1"]);
    let mut second = advice_question(&effects);
    for _ in 0..4 {
        let effects = fixture.advance(100);
        second = second.or(advice_question(&effects));
        fixture.complete_appends(&effects);
    }
    let second = second.expect("the adviser is asked about the new worker");
    assert_eq!(second.workers, vec![pier_core::ids::WorkerId::from("w1")]);
}

/// Guards against workers that stay reserved for a gang and are never used, because one of them has
/// left or the account of the gang is at its limit.
#[test]
fn reservations_are_released_when_a_reserved_worker_leaves() {
    let mut fixture = Fixture::new(queue(None));
    fixture.list_workers(&["w0", "w1"]);
    let mut wide = single_step(2, true);
    wide[0].estimate_ms = 1_000;
    // A single task fills a worker, so the gang has to wait and reserves both.
    let spec = JobSpec {
        id: "busy".into(),
        queue: "queue".into(),
        account: Some("team".into()),
        payload: "text".into(),
        steps: single_step(1, false),
    };
    fixture.with_decider(|decider, context| {
        decider.on_submit(context, RequestOrigin::Local(9), sync::Arc::new(spec));
    });
    let effects = fixture.advance(30);
    fixture.complete_appends(&effects);
    fixture.submit(wide);
    let effects = fixture.advance(30);
    fixture.complete_appends(&effects);
    // One of the two leaves and two others join, on which the gang fits.
    fixture.list_workers(&["w1", "w2", "w3"]);
    for _ in 0..4 {
        let effects = fixture.advance(100);
        fixture.complete_appends(&effects);
    }
    assert_eq!(fixture.start_count, 3, "the single task and both of the gang");
}

/// Guards against leases that end during an outage of the log. Run ends that were received cannot
/// be stored, and the other runs of the worker must continue.
#[test]
fn leases_are_extended_while_run_ends_cannot_be_stored() {
    let mut fixture = Fixture::new(queue(None));
    fixture.list_workers(&["w0"]);
    let mut steps = single_step(2, false);
    steps[0].need = cores(2);
    let task = fixture.submit(steps);
    let effects = fixture.advance(30);
    fixture.complete_appends(&effects);
    let end = ListedEnd {
        sequence: 1,
        task: Some(task),
        number: 1,
        kind: Some(EndKind::Done),
        checkpoint: None,
    };
    let effects = fixture.advance(30);
    let sent_at = effects
        .iter()
        .find_map(|effect| match worker_call(effect) {
            Some((_, WorkerOperation::Poll { sent_at, .. })) => Some(*sent_at),
            _ => None,
        })
        .unwrap_or(fixture.now);
    let other = TaskRef { job: "job".into(), step: 0, index: 1 };
    let running = vec![ListedRun { task: other, number: 1, checkpoint: None, percent: None }];
    fixture.report_poll("w0", sent_at, running, vec![end]);
    let mut extended = 0;
    // The log does not respond for four seconds.
    for _ in 0..40 {
        for effect in fixture.advance(100) {
            let Some((_, WorkerOperation::Poll { sent_at, ends_stored, lease_until_ms, .. })) =
                worker_call(&effect)
            else {
                continue;
            };
            assert_eq!(*ends_stored, 0, "nothing may be acknowledged");
            extended += usize::from(lease_until_ms.is_some());
            fixture.report_poll("w0", *sent_at, Vec::new(), Vec::new());
        }
    }
    assert!(extended >= 3, "{extended} polls extended the leases in four seconds");
}

/// Guards against a decider that steps down without cause. With a slow store, the response to a
/// read that it sent as a follower arrives while its first append is in flight (Kuiseb trouble-2).
#[test]
fn a_response_to_a_read_from_before_the_claim_is_ignored() {
    let mut fixture = Fixture::new(queue(None));
    fixture.list_workers(&["w0"]);
    fixture.submit(single_step(1, false));
    let effects = fixture.advance(30);
    let other = Record { key: "job/other".to_owned(), value: None };
    let earlier_read = 0;
    let records = [(99, other)];
    fixture.with_decider(|decider, context| {
        decider.on_append_check(context, earlier_read, Ok(&records));
    });
    assert_eq!(fixture.decider.as_ref().and_then(Decider::deposed), None);
    assert_eq!(count_starts(&fixture.complete_appends(&effects)), 1);
}

/// Guards against the same while the decider looks for its own append: the earlier read shows
/// records from the same offset on.
#[test]
fn only_the_response_to_its_own_read_tells_whether_an_append_was_stored() {
    let mut fixture = Fixture::new(queue(None));
    fixture.list_workers(&["w0"]);
    fixture.submit(single_step(1, false));
    let effects = fixture.advance(30);
    let (ticket, at, records) = append_of(&effects);
    let mut effects = Vec::new();
    for response in [AppendResponse::NoAnswer, AppendResponse::Conflict] {
        effects = fixture.with_decider(|decider, context| {
            decider.on_append_response(context, ticket, response);
        });
    }
    let check = read_of(&effects);
    let other = Record { key: "job/other".to_owned(), value: None };
    let earlier_read = 0;
    fixture.with_decider(|decider, context| {
        decider.on_append_check(context, earlier_read, Ok(&[(at, other)]));
    });
    assert_eq!(fixture.decider.as_ref().and_then(Decider::deposed), None);
    let mut stored = Vec::new();
    for (offset, record) in (at..).zip(records.iter()) {
        stored.push((offset, record.clone()));
    }
    let effects = fixture.with_decider(|decider, context| {
        decider.on_append_check(context, check, Ok(&stored));
    });
    assert_eq!(count_starts(&effects), 1);
}

/// Guards against a host that decides for ever and stores nothing (simulated cell, seed 10578): the
/// log has trimmed the records that would show whether its append was stored, so that it neither
/// takes the append for stored nor learns of another decider.
#[test]
fn a_decider_steps_down_when_the_log_has_trimmed_what_followed_its_last_append() {
    let mut fixture = Fixture::new(queue(None));
    fixture.list_workers(&["w0"]);
    fixture.submit(single_step(1, false));
    let effects = fixture.advance(30);
    let (ticket, ..) = append_of(&effects);
    let mut effects = Vec::new();
    for response in [AppendResponse::NoAnswer, AppendResponse::Conflict] {
        effects = fixture.with_decider(|decider, context| {
            decider.on_append_response(context, ticket, response);
        });
    }
    let check = read_of(&effects);
    fixture.with_decider(|decider, context| {
        decider.on_append_check(context, check, Err(ReadError::Trimmed));
    });
    assert!(fixture.decider.as_ref().and_then(Decider::deposed).is_some());
}

/// Guards against an account that exceeds its limit while workers are free.
#[test]
fn an_account_limit_applies_across_all_workers() {
    let mut fixture = Fixture::new(queue(None));
    let account =
        Account { name: "team".into(), keys: vec!["key".into()], weight: 1, cap: cores(8) };
    fixture.declaration = Declaration::new(2, vec![queue(None)], vec![account], 100_000);
    fixture.list_workers(&["w0", "w1", "w2", "w3"]);
    let task = fixture.submit(single_step(4, false));
    for _ in 0..4 {
        let effects = fixture.advance(50);
        fixture.complete_appends(&effects);
    }
    assert_eq!(fixture.start_count, 2, "two tasks of four cores are within eight");
    let end = ListedEnd {
        sequence: 1,
        task: Some(task),
        number: 1,
        kind: Some(EndKind::Done),
        checkpoint: None,
    };
    let worker = fixture
        .cell_state
        .live
        .get("job")
        .and_then(|job| match &job.progress.steps[0][0].phase {
            pier_cell::progress::Phase::Assigned { worker, .. } => Some(worker.clone()),
            _ => None,
        })
        .expect("the first task runs");
    let now = fixture.now;
    fixture.report_poll(&worker, now, Vec::new(), vec![end]);
    for _ in 0..2 {
        let effects = fixture.advance(50);
        fixture.complete_appends(&effects);
    }
    assert_eq!(fixture.start_count, 3, "an end makes room for one more");
}

/// Guards against accepted work that neither runs nor ends because its account's limit was lowered
/// below the size of a task (review/12), and against more of it than one task at a time.
#[test]
fn a_task_that_is_larger_than_a_lowered_limit_runs_alone() {
    let mut fixture = Fixture::new(queue(None));
    fixture.list_workers(&["w0", "w1"]);
    fixture.submit(single_step(2, false));
    let account = Account { cap: cores(3), ..fixture.declaration.accounts[0].clone() };
    fixture.declare(&Declaration::new(2, vec![queue(None)], vec![account], 100_000));
    let mut running: Vec<ListedRun> = Vec::new();
    for ended in 0_u64..=2 {
        for _ in 0..4 {
            let effects = fixture.advance(50);
            let sent = fixture.complete_appends(&effects);
            for effect in effects.iter().chain(&sent) {
                let Some((_, WorkerOperation::Start(start))) = worker_call(effect) else {
                    continue;
                };
                let (task, number) = (start.task.clone(), start.number);
                running.push(ListedRun { task, number, checkpoint: None, percent: None });
            }
        }
        assert_eq!(fixture.start_count as u64, 2.min(ended + 1), "after {ended} ends");
        let Some(run) = running.pop() else {
            break;
        };
        let phase = &fixture.cell_state.live["job"].progress.steps[0][run.task.index].phase;
        let pier_cell::progress::Phase::Assigned { worker, .. } = phase.clone() else {
            panic!("the task runs: {phase:?}");
        };
        let end = ListedEnd {
            sequence: ended + 1,
            task: Some(run.task),
            number: run.number,
            kind: Some(EndKind::Done),
            checkpoint: None,
        };
        let now = fixture.now;
        fixture.report_poll(&worker, now, Vec::new(), vec![end]);
    }
    assert_eq!(fixture.state(), Some(JobState::Completed));
}

/// Guards against start requests in a zone that operators took out of service, including runs that
/// were decided just before.
#[test]
fn a_zone_out_of_service_gets_no_starts() {
    let mut fixture = Fixture::new(queue(None));
    fixture.list_workers(&["w0", "w1"]);
    fixture.submit(single_step(1, false));
    let decided = fixture.advance(30);
    fixture.zones_out.insert("north".into());
    fixture.complete_appends(&decided);
    for _ in 0..4 {
        let effects = fixture.advance(50);
        fixture.complete_appends(&effects);
    }
    assert_eq!(fixture.start_count, 0);
    fixture.zones_out.clear();
    for _ in 0..2 {
        let effects = fixture.advance(50);
        fixture.complete_appends(&effects);
    }
    assert_eq!(fixture.start_count, 1, "work starts again when the zone is back");
}

/// Guards against a cancellation that is confirmed before it is stored. The end of the job is in an
/// append in flight, and a repeated request must wait for it like the first one (Kuiseb, own day
/// store-and-decider, seed 423532204955).
#[test]
fn a_repeated_cancellation_is_confirmed_when_it_is_stored() {
    let mut fixture = Fixture::new(queue(None));
    fixture.list_workers(&["w0"]);
    // The job waits because its only zone is out of service.
    fixture.zones_out.insert("north".into());
    fixture.submit(single_step(1, false));
    let effects = fixture.advance(30);
    fixture.complete_appends(&effects);
    let cancel = |fixture: &mut Fixture, ticket| {
        fixture.with_decider(|decider, context| {
            decider.on_cancel(context, RequestOrigin::Local(ticket), &"job".into(), None)
        });
    };
    let outcomes = |fixture: &mut Fixture| {
        fixture.decider.as_mut().expect("the fixture has a decider").take_local_outcomes()
    };
    outcomes(&mut fixture);
    cancel(&mut fixture, 2);
    let under_way = fixture.advance(30);
    cancel(&mut fixture, 3);
    assert_eq!(outcomes(&mut fixture), Vec::new(), "nothing is stored yet");
    fixture.complete_appends(&under_way);
    let tickets: Vec<u64> = outcomes(&mut fixture).iter().map(|(ticket, _)| *ticket).collect();
    assert_eq!(tickets, vec![2, 3]);
}

/// Guards against a task that is stuck on a worker that responds and makes no progress. The run is
/// stopped there and the task starts elsewhere.
#[test]
fn a_stalled_run_is_restarted_elsewhere() {
    let mut fixture = Fixture::new(queue(None));
    fixture.list_workers(&["w0", "w1"]);
    let task = fixture.submit(single_step(1, false));
    let effects = fixture.advance(30);
    let sent = fixture.complete_appends(&effects);
    let target = sent.iter().find_map(|effect| match worker_call(effect) {
        Some((target, WorkerOperation::Start(_))) => Some(target.worker.clone()),
        _ => None,
    });
    let first = target.expect("a start");
    fixture.with_decider(|decider, context| {
        decider.on_start_response(context, &task, 1, StartResponse::Started { clock_ms: 6_000 });
    });
    let (mut stopped, mut second) = (false, None);
    for _ in 0..12 {
        let effects = fixture.advance(500);
        for effect in &effects {
            match worker_call(effect) {
                Some((target, WorkerOperation::Poll { sent_at, .. }))
                    if target.worker == first && !stopped =>
                {
                    let listed = ListedRun {
                        task: task.clone(),
                        number: 1,
                        checkpoint: None,
                        percent: Some(0),
                    };
                    fixture.report_poll(&first, *sent_at, vec![listed], Vec::new());
                }
                Some((target, WorkerOperation::Poll { sent_at, .. })) => {
                    fixture.report_poll(&target.worker, *sent_at, Vec::new(), Vec::new());
                }
                Some((target, WorkerOperation::Stop { .. })) => {
                    assert_eq!(target.worker, first);
                    stopped = true;
                    fixture.with_decider(|decider, context| {
                        decider.on_stop_response(context, &task, 1, true);
                    });
                }
                _ => {}
            }
        }
        for effect in fixture.complete_appends(&effects) {
            if let Some((target, WorkerOperation::Start(_))) = worker_call(&effect) {
                second = Some(target.worker.clone());
            }
        }
    }
    assert!(stopped, "the run was stopped");
    assert_eq!(second, Some(if &*first == "w0" { "w1".into() } else { "w0".into() }));
}

/// Guards against a step that never gets a ticket because its requests all go through a host that
/// does not reach the adviser: the first idle host in the order of names.
#[test]
fn advice_requests_go_through_the_hosts_in_turn() {
    let mut fixture = Fixture::new(queue(Some(adviser_timing())));
    fixture.with_decider(|decider, context| {
        for host in ["h1", "h2", "h3"] {
            let info = PeerInfo {
                host: host.into(),
                incarnation: 1,
                zone: "north".into(),
                core_permille: 250,
            };
            decider.on_peer_connected(context, &info);
        }
    });
    fixture.list_workers(&["w0"]);
    fixture.submit(single_step(1, false));
    let mut asked = Vec::new();
    for _ in 0..30 {
        let effects = fixture.advance(100);
        fixture.complete_appends(&effects);
        for effect in &effects {
            let (host, request) = match effect {
                Effect::Send { to, message: Message::AskAdviser { request } } => {
                    (Some(to.to_string()), request.clone())
                }
                Effect::RequestAdvice(request) => (None, request.clone()),
                _ => continue,
            };
            asked.push(host);
            fixture.with_decider(|decider, context| {
                decider.on_advice_response(context, request.ticket, None);
            });
        }
    }
    let hosts = [Some("h1".to_owned()), Some("h2".to_owned()), Some("h3".to_owned()), None];
    assert!(asked.len() >= 8, "{} requests", asked.len());
    assert_eq!(asked[..4], hosts);
    assert_eq!(asked[4..8], hosts);
}
