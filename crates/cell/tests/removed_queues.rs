//! Tests of jobs whose queue is removed from the declaration, or declared with other limits, while
//! they wait, run and fail.

mod fixture;
mod sim;

use std::sync;

use pier_cell::decider::{Decider, RequestOrigin};
use pier_cell::declaration::{Declaration, Queue};
use pier_cell::effect::{Effect, WorkerOperation};
use pier_cell::event::{ListedEnd, ListedRun};
use pier_cell::job::{JobSpec, JobState, Step, TaskRef};
use pier_cell::peer::RequestOutcome;
use pier_cell::run::EndKind;
use pier_cell::terms::Terms;
use pier_core::resources::Resources;
use rand::Rng;

use fixture::{Fixture, cores, queue, single_step, term, worker_call};
use sim::invariants::{check_attempts, check_invariants};
use sim::{Sim, step};

/// Declares the queue with this number of attempts or, with none, no queue.
fn declare(fixture: &mut Fixture, attempts: Option<u32>) {
    let queues = attempts.map(|max_attempts| {
        let mut declared = queue(None);
        declared.max_attempts = max_attempts;
        declared
    });
    let version = fixture.declaration.version + 1;
    let accounts = fixture.declaration.accounts.clone();
    let queues = queues.into_iter().collect();
    fixture.declare(&Declaration::new(version, queues, accounts, 100_000));
}

/// Removes the terms from the log, as in one that an earlier version has written.
fn forget_terms(fixture: &mut Fixture) {
    fixture.cell_state.terms = Terms::default();
}

/// A decider of a queue with this number of attempts, with a job whose first run was sent.
fn fixture_with_run(attempts: u32) -> (Fixture, TaskRef) {
    let mut fixture = Fixture::new(queue(None));
    declare(&mut fixture, Some(attempts));
    fixture.list_workers(&["w0"]);
    let task = fixture.submit(single_step(1, false));
    let effects = fixture.advance(30);
    fixture.complete_appends(&effects);
    assert_eq!(fixture.start_count, 1);
    (fixture, task)
}

/// Advances for two seconds. The worker reports the runs that it has and this end, if any.
fn advance_with_end(fixture: &mut Fixture, end: Option<&ListedEnd>) {
    let mut running: Vec<ListedRun> = Vec::new();
    for _ in 0..40 {
        let effects = fixture.advance(50);
        let sent = fixture.complete_appends(&effects);
        for effect in effects.iter().chain(&sent) {
            match worker_call(effect) {
                Some((_, WorkerOperation::Start(start))) => running.push(ListedRun {
                    task: start.task.clone(),
                    number: start.number,
                    checkpoint: None,
                    percent: None,
                }),
                Some((target, WorkerOperation::Poll { sent_at, .. })) => {
                    let ended = end.cloned().into_iter().collect();
                    fixture.report_poll(&target.worker, *sent_at, running.clone(), ended);
                }
                _ => {}
            }
        }
    }
}

fn end(task: &TaskRef, number: u32, kind: EndKind) -> ListedEnd {
    ListedEnd {
        sequence: u64::from(number),
        task: Some(task.clone()),
        number,
        kind: Some(kind),
        checkpoint: None,
    }
}

/// Guards against a job that fails for good before its attempts are used up, because its queue was
/// removed for a moment when a run failed.
#[test]
fn a_failure_while_the_queue_is_removed_is_one_attempt() {
    let (mut fixture, task) = fixture_with_run(4);
    forget_terms(&mut fixture);
    declare(&mut fixture, None);
    advance_with_end(&mut fixture, Some(&end(&task, 1, EndKind::Failed)));
    assert_eq!(fixture.state(), Some(JobState::Running), "the job waits for its queue");
    assert_eq!(fixture.start_count, 1, "nothing is started for a queue of unknown terms");
    declare(&mut fixture, Some(4));
    advance_with_end(&mut fixture, None);
    assert_eq!(fixture.start_count, 2, "the second attempt");
    advance_with_end(&mut fixture, Some(&end(&task, 2, EndKind::Done)));
    assert_eq!(fixture.state(), Some(JobState::Completed));
}

/// Guards against a run after the last attempt: the attempts may be used up while the queue is
/// removed, by a decider that has been replaced since, or by a declaration that allows fewer.
#[test]
fn a_job_without_attempts_left_fails_when_its_queue_is_declared() {
    for is_decider_replaced in [false, true] {
        let (mut fixture, task) = fixture_with_run(1);
        forget_terms(&mut fixture);
        declare(&mut fixture, None);
        advance_with_end(&mut fixture, Some(&end(&task, 1, EndKind::Failed)));
        assert_eq!(fixture.state(), Some(JobState::Running));
        if is_decider_replaced {
            let mut effects = Vec::new();
            let term = term(2, 9, fixture.end, fixture.now);
            let successor = Decider::new(&mut fixture.context(&mut effects), term);
            fixture.decider = Some(successor);
        }
        declare(&mut fixture, Some(1));
        advance_with_end(&mut fixture, None);
        assert_eq!(fixture.state(), Some(JobState::Failed), "replaced: {is_decider_replaced}");
        assert_eq!(fixture.start_count, 1, "replaced: {is_decider_replaced}");
    }
    let (mut fixture, task) = fixture_with_run(4);
    forget_terms(&mut fixture);
    declare(&mut fixture, None);
    advance_with_end(&mut fixture, Some(&end(&task, 1, EndKind::Failed)));
    declare(&mut fixture, Some(1));
    advance_with_end(&mut fixture, None);
    assert_eq!(fixture.state(), Some(JobState::Failed));
    assert_eq!(fixture.start_count, 1, "no run beyond the attempts of the new declaration");
}

/// Guards against a start that was decided under a declaration with more attempts and is sent after
/// one with fewer has come into force.
#[test]
fn a_start_beyond_the_attempts_of_a_new_declaration_is_not_sent() {
    let (mut fixture, task) = fixture_with_run(4);
    let effects = fixture.advance(50);
    fixture.complete_appends(&effects);
    let failed = end(&task, 1, EndKind::Failed);
    fixture.report_poll("w0", fixture.now, Vec::new(), vec![failed]);
    let mut undecided = fixture.advance(50);
    while !undecided.iter().any(|effect| matches!(effect, Effect::Append { .. })) {
        undecided = fixture.advance(50);
    }
    declare(&mut fixture, Some(1));
    fixture.complete_appends(&undecided);
    assert_eq!(fixture.start_count, 1);
    advance_with_end(&mut fixture, None);
    assert_eq!(fixture.state(), Some(JobState::Failed));
    assert_eq!(fixture.start_count, 1);
}

/// Guards against callers who are told that no worker is large enough, and to come back late, when
/// the decider has not read the declaration of a new queue yet.
#[test]
fn a_submission_to_a_queue_that_the_decider_does_not_know_may_be_repeated_soon() {
    let mut fixture = Fixture::new(queue(None));
    fixture.list_workers(&["w0"]);
    declare(&mut fixture, None);
    let spec = JobSpec {
        id: "job".into(),
        queue: "queue".into(),
        account: Some("team".into()),
        payload: "text".into(),
        steps: vec![pier_cell::job::Step { tasks: 1, need: cores(1), ..Default::default() }],
    };
    fixture.with_decider(|decider, context| {
        decider.on_submit(context, RequestOrigin::Local(1), sync::Arc::new(spec));
    });
    let outcomes = fixture.decider.as_mut().expect("a decider").take_local_outcomes();
    let retry_after_ms = pier_core::clock::millis(fixture.options.retry_after);
    let reason = "the queue is not in the declaration".to_owned();
    assert_eq!(outcomes, [(1, RequestOutcome::Rejected { reason, retry_after_ms })]);
}

/// Guards against accepted jobs that neither run nor end after the operators have removed their queue
/// and their account (review/11): at any moment of the job, also when the decider or all hosts are
/// lost and the log has only the newest records.
#[test]
fn jobs_of_a_removed_queue_and_account_run_by_their_last_terms() {
    let mut accepted = 0;
    for seed in 0..30 {
        let mut sim = Sim::new(seed, 3, 4);
        sim.failed_runs_percent = 20;
        sim.run_for(2_000);
        let host = sim.rng.random_range(0..3);
        sim.submit(host, "job", "batch", vec![step(2, 1), Step { after: vec![0], ..step(2, 1) }]);
        let removed_after_ms = sim.rng.random_range(0..1_500);
        sim.run_for(removed_after_ms);
        let queues = vec![Queue { path_prefix: "/batch/".into(), ..sim::queue("new", 1, 3) }];
        let accounts = vec![sim::account("new team", "new key", Resources::MAX)];
        sim.declare(Declaration::new(2, queues, accounts, 100_000));
        let lost_after_ms = sim.rng.random_range(0..1_000);
        sim.run_for(lost_after_ms);
        let lost = match seed % 3 {
            0 => Vec::new(),
            1 => sim.decider().into_iter().collect(),
            _ => vec![0, 1, 2],
        };
        for host in &lost {
            sim.kill_host(*host);
        }
        sim.cell.trim();
        for host in lost {
            sim.start_host(host);
        }
        sim.run_for(25_000);
        accepted += sim.observed.accepted.len();
        check_invariants(&sim);
        check_attempts(&sim, 3);
    }
    assert!(accepted >= 20, "only {accepted} jobs were accepted before the removal");
}

/// Guards against a job whose terms are not in the log: the decider may have read another version of
/// the declaration than the host that took the submission, also before it knows the workers.
#[test]
fn a_submission_of_an_account_that_the_decider_does_not_know_is_rejected() {
    for account in ["team", "unknown"] {
        let mut fixture = Fixture::new(queue(None));
        fixture.submit_for("job", account, single_step(1, false));
        let outcomes = fixture.decider.as_mut().expect("a decider").take_local_outcomes();
        let is_rejected = matches!(*outcomes, [(1, RequestOutcome::Rejected { .. })]);
        assert_eq!(is_rejected, account == "unknown", "{account}: {outcomes:?}");
    }
}
