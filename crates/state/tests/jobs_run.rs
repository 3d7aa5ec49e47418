//! Execution of batch jobs: queued tasks, retries, progress and ends.

mod jobs_support;

use pier_core::{caller, task};

use jobs_support::{Fixture, end, not_run, request, secs, started, unknown_end};

/// Starts and ends attempts until no more are placed. Returns their number.
fn run_all(fixture: &mut Fixture) -> u32 {
    let mut runs = 0;
    loop {
        let placed = fixture.take_placed();
        if placed.is_empty() {
            return runs;
        }
        for attempt in placed {
            fixture.on_attempt_event(&attempt, started());
            fixture.on_attempt_event(&attempt, end(task::EndKind::Done));
            runs += 1;
        }
    }
}

/// Guards against a job that never ends, or whose tasks run twice or not at all.
#[test]
fn every_task_of_a_job_runs_once() {
    let mut fixture = Fixture::single_member();
    let ticket = fixture.submit("job", task::Class::Batch, request(100));
    assert!(fixture.answers(ticket).is_empty(), "answered before the job is stored");
    assert!(fixture.take_placed().is_empty(), "placed before the job is stored");
    fixture.fold();
    assert_eq!(fixture.status(ticket).phase, caller::JobPhase::Waiting);
    assert_eq!(run_all(&mut fixture), 100);
    fixture.advance(secs(1));
    fixture.fold();
    assert_eq!(fixture.folded("job").phase, Some(caller::JobPhase::Done));
    fixture.advance(secs(60));
    assert_eq!(fixture.placed.len(), 100);
    assert_eq!(fixture.jobs.unfinished(&fixture.cluster), 0);
}

/// Guards against a job that fills the queues of all worker owners at once.
#[test]
fn the_number_of_queued_tasks_is_bounded() {
    let mut fixture = Fixture::single_member();
    fixture.submit("job", task::Class::Batch, request(50_000));
    fixture.fold();
    fixture.advance(secs(10));
    assert!(fixture.placed.len() <= 64, "{} tasks were placed", fixture.placed.len());
}

/// Guards against a job that waits for other jobs of its team that use up the limit of queued
/// tasks.
#[test]
fn every_job_of_a_team_gets_a_share_of_the_queue() {
    let mut fixture = Fixture::single_member();
    for job in 0..100 {
        fixture.submit(&format!("job{job:02}"), task::Class::Batch, request(1_000));
    }
    fixture.fold();
    // The first jobs have used up the limit of queued tasks; each task that ends makes room for the
    // other jobs.
    let mut queue = std::collections::VecDeque::new();
    for _ in 0..200 {
        queue.extend(fixture.take_placed());
        for _ in 0..4 {
            let attempt = queue.pop_front().expect("tasks are placed");
            fixture.on_attempt_event(&attempt, end(task::EndKind::Done));
        }
        fixture.advance(std::time::Duration::from_millis(50));
    }
    let mut jobs = std::collections::BTreeSet::new();
    for placement in &fixture.placed {
        jobs.insert(placement.spec.job.clone());
    }
    assert_eq!(jobs.len(), 100);
}

/// Guards against a job that fails although its attempts may be retried, and against retries
/// without a limit. Each row has the end of the attempts, their number and the reason if the job
/// fails.
#[test]
fn attempts_that_do_not_end_as_done_are_retried() {
    let stopped = || end(task::EndKind::Stopped);
    let lapsed = || end(task::EndKind::Lapsed);
    let checkpointed = || end(task::EndKind::Checkpointed);
    let failed = || end(task::EndKind::Failed);
    type Make = fn() -> pier_state::work::placement::AttemptEvent;
    let rows: [(&str, Make, u32, Option<caller::RefusalKind>); 8] = [
        ("failed four times", failed, 4, None),
        ("failed five times", failed, 5, Some(caller::RefusalKind::AttemptsExhausted)),
        ("stopped often", stopped, 30, None),
        ("lapsed often", lapsed, 30, None),
        ("checkpointed often", checkpointed, 30, None),
        ("refused often", not_run, 30, None),
        ("unknown a few times", unknown_end, 10, None),
        ("unknown always", unknown_end, 20, Some(caller::RefusalKind::WorkerLost)),
    ];
    for (name, make, times, fails) in rows {
        let mut fixture = Fixture::single_member();
        fixture.submit("job", task::Class::Batch, request(1));
        fixture.fold();
        let mut last_attempt = 0;
        for _ in 0..times {
            fixture.advance(secs(61));
            let placed = fixture.take_placed();
            assert_eq!(placed.len(), 1, "{name}");
            assert!(placed[0].1 > last_attempt, "{name}: attempt number repeats");
            last_attempt = placed[0].1;
            fixture.on_attempt_event(&placed[0], make());
        }
        fixture.advance(secs(61));
        fixture.fold();
        let fold = fixture.folded("job");
        assert_eq!(fold.reason.as_ref().map(|reason| reason.kind), fails, "{name}");
        assert_eq!(fold.phase, fails.map(|_| caller::JobPhase::Failed), "{name}");
        assert_eq!(fixture.take_placed().len(), usize::from(fails.is_none()), "{name}");
    }
}

/// Guards against a failing task that is retried without a pause.
#[test]
fn failures_back_off_exponentially() {
    let mut fixture = Fixture::single_member();
    fixture.submit("job", task::Class::Batch, request(1));
    fixture.fold();
    let mut waits = Vec::new();
    for _ in 0..4 {
        let placed = fixture.take_placed();
        fixture.on_attempt_event(&placed[0], end(task::EndKind::Failed));
        let since = fixture.now;
        while fixture.commands.place.is_empty() {
            fixture.advance(std::time::Duration::from_millis(50));
        }
        waits.push((fixture.now - since).as_secs());
    }
    assert_eq!(waits, [1, 2, 4, 8]);
}

/// Guards against lost and duplicate events that end a later attempt, or end a task twice.
#[test]
fn delayed_and_duplicate_events_change_nothing() {
    let mut fixture = Fixture::single_member();
    fixture.submit("job", task::Class::Batch, request(2));
    fixture.fold();
    let first = fixture.take_placed();
    // The end of task 0 arrives without a start, then a second time, and then with different
    // results.
    fixture.on_attempt_event(&first[0], end(task::EndKind::Done));
    fixture.on_attempt_event(&first[0], end(task::EndKind::Done));
    fixture.on_attempt_event(&first[0], end(task::EndKind::Failed));
    fixture.on_attempt_event(&first[0], not_run());
    fixture.on_attempt_event(&first[0], started());
    // The first attempt of task 1 fails, and its events are repeated during the second attempt.
    fixture.on_attempt_event(&first[1], started());
    fixture.on_attempt_event(&first[1], end(task::EndKind::Failed));
    fixture.advance(secs(2));
    let second = fixture.take_placed();
    assert_eq!(second.len(), 1);
    fixture.on_attempt_event(&first[1], end(task::EndKind::Failed));
    fixture.on_attempt_event(&first[1], not_run());
    fixture.advance(secs(5));
    assert!(fixture.take_placed().is_empty());
    fixture.on_attempt_event(&second[0], end(task::EndKind::Done));
    fixture.advance(secs(2));
    fixture.fold();
    assert_eq!(fixture.folded("job").phase, Some(caller::JobPhase::Done));
}

/// Guards against a log entry for each finished task.
#[test]
fn progress_is_appended_at_most_once_a_second() {
    let mut fixture = Fixture::single_member();
    fixture.submit("job", task::Class::Batch, request(2_000));
    fixture.fold();
    let mut appended = 0;
    for _ in 0..200 {
        let placed = fixture.take_placed();
        for attempt in placed.into_iter().take(8) {
            fixture.on_attempt_event(&attempt, end(task::EndKind::Done));
        }
        fixture.advance(std::time::Duration::from_millis(50));
        appended += fixture.entries.len();
        fixture.fold();
    }
    assert!((8..=11).contains(&appended), "{appended} entries in 10 s");
}

/// Guards against missing or wrong explanations of tasks that wait.
#[test]
fn tasks_and_jobs_are_explained() {
    let mut fixture = Fixture::single_member();
    fixture.submit("job", task::Class::Batch, request(100));
    fixture.fold();
    let placed = fixture.take_placed();
    fixture.on_attempt_event(&placed[0], started());
    fixture.on_attempt_event(&placed[1], end(task::EndKind::Failed));
    fixture.on_attempt_event(&placed[2], not_run());
    fixture.on_attempt_event(&placed[3], end(task::EndKind::Done));
    let explain = |name: &str| fixture.jobs.explain(fixture.now, &fixture.cluster, &name.into());
    let rows = [
        ("job/0", "running", None, 0),
        ("job/1", "waiting to be tried again", Some(caller::RefusalKind::NoRoom), 1),
        ("job/2", "waiting to be tried again", Some(caller::RefusalKind::NoRoom), 1),
        ("job/3", "done", None, 0),
        ("job/4", "looking for a worker", None, 0),
        ("job/99", "waiting for earlier tasks of the job", Some(caller::RefusalKind::NoRoom), 0),
    ];
    for (name, state, waits_for, tried) in rows {
        let found = explain(name).expect("the task is known");
        assert_eq!((found.state.as_ref(), found.waits_for), (state, waits_for), "{name}");
        assert_eq!(found.tried.len(), tried, "{name}");
    }
    assert_eq!(explain("job/0").and_then(|found| found.worker), Some("w1".into()));
    assert!(explain("job").is_some_and(|found| found.state.starts_with("running, 1 of 100")));
    for name in ["job/100", "other", "other/1", "job/x"] {
        assert!(explain(name).is_none(), "{name}");
    }
}
