//! Changes of the owner of a job.

mod jobs_support;

use pier_core::{caller, task};
use pier_state::work::jobs;
use pier_state::{cluster, record};

use jobs_support::{
    Fixture, end, host, job_with_home, not_repeatable, not_run, request, secs, started,
};

const BOTH: [&str; 2] = ["h1", "h2"];

/// Adds a job to the folded log, as if accepted before this host became its owner.
fn with_job(fixture: &mut Fixture, job: &str, request: caller::JobRequest) {
    let record = record::JobRecord {
        job: job.into(),
        team: jobs_support::TEAM.into(),
        class: task::Class::Batch,
        request,
        wall_ms: 1,
    };
    fixture.entries.push(record::Entry::JobAccepted(record));
    fixture.fold();
}

/// Guards against a task that runs twice because the new owner does not wait for the reports of the
/// members.
#[test]
fn a_new_owner_waits_for_every_member_or_the_leases() {
    // The members that report their attempts, and after how many seconds tasks may be placed.
    let rows: [(&str, &[&str], u64, u64); 4] = [
        ("all members tell", &["h1", "h2"], 0, 1),
        ("one member is silent", &["h1"], 34, 35),
        ("a member tells twice", &["h1", "h1"], 34, 35),
        ("nobody tells", &[], 34, 35),
    ];
    for (name, reporters, not_before, by) in rows {
        let mut fixture = Fixture::before_reports(&BOTH);
        with_job(&mut fixture, &job_with_home("h1", &BOTH), request(4));
        for owner in reporters {
            fixture.report_all_attempts(owner, &[]);
        }
        fixture.advance(secs(not_before));
        if not_before > 0 {
            assert!(fixture.placed.is_empty(), "{name}: placed too early");
        }
        fixture.advance(secs(by - not_before));
        assert_eq!(fixture.placed.len(), 4, "{name}");
    }
}

/// Guards against a new owner that places running tasks again or reuses attempt numbers.
#[test]
fn a_new_owner_adopts_running_attempts() {
    let mut fixture = Fixture::before_reports(&BOTH);
    let job = job_with_home("h1", &BOTH);
    with_job(&mut fixture, &job, request(3));
    let range = record::TaskRange { first: 0, end: 1 };
    let done = record::Entry::JobProgress { job: job.as_str().into(), done: vec![range] };
    fixture.entries.push(done);
    fixture.fold();
    let (task0, task1) = (format!("{job}/0"), format!("{job}/1"));
    // Task 0 is done; task 1 runs; task 2 does not.
    fixture.report_all_attempts("h1", &[(task0.as_str(), 7)]);
    fixture.report_all_attempts("h2", &[(task1.as_str(), 9)]);
    assert_eq!(fixture.take_cancelled(), [(task0.as_str().into(), 7)]);
    assert_eq!(fixture.commands.adopt.len(), 1);
    assert_eq!(fixture.commands.adopt[0].attempt, (task1.as_str().into(), 9));
    assert_eq!(fixture.commands.adopt[0].owner, host("h2"));
    let placed = fixture.take_placed();
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].0.as_ref(), format!("{job}/2"));
    // A duplicate of the list has no effect.
    fixture.report_all_attempts("h2", &[(task1.as_str(), 9)]);
    assert_eq!(fixture.commands.adopt.len(), 1);
    // The lease of the adopted attempt expires; the next attempt has a larger number.
    fixture.on_attempt_event(&(task1.as_str().into(), 9), end(task::EndKind::Lapsed));
    let again = fixture.take_placed();
    assert_eq!(again.len(), 1);
    assert!(again[0].1 > 9);
    // A list that was sent before the end arrives late.
    fixture.on_attempt_event(&again[0], not_run());
    fixture.report_all_attempts("h2", &[(task1.as_str(), 9)]);
    assert_eq!(fixture.commands.adopt.len(), 1, "adopted an attempt that has ended");
}

/// Guards against attempt numbers that two owners of a job both use.
#[test]
fn owners_in_different_epochs_use_different_attempt_numbers() {
    let mut numbers = std::collections::BTreeSet::new();
    for epoch in 2..6 {
        let mut fixture = Fixture::before_reports(&["h1"]);
        with_job(&mut fixture, "job", request(1));
        fixture.epoch(epoch, &["h1"]);
        fixture.report_all_attempts("h1", &[]);
        for _ in 0..20 {
            fixture.advance(secs(11));
            for attempt in fixture.take_placed() {
                assert!(numbers.insert(attempt.1), "number {} in epoch {epoch}", attempt.1);
                fixture.on_attempt_event(&attempt, not_run());
            }
        }
    }
    assert_eq!(numbers.len(), 80);
}

/// Guards against a previous owner that continues a job, or that stops attempts that the new owner
/// adopts.
#[test]
fn a_host_drops_jobs_that_it_no_longer_owns() {
    let mut fixture = Fixture::single_member();
    let job = job_with_home("h2", &BOTH);
    fixture.submit(&job, task::Class::Batch, request(3));
    fixture.fold();
    let placed = fixture.take_placed();
    fixture.on_attempt_event(&placed[0], started());
    fixture.epoch(2, &BOTH);
    let cancelled = fixture.take_cancelled();
    assert_eq!(cancelled, placed[1..], "only attempts that do not run are cancelled");
    fixture.report_all_attempts("h1", &[]);
    fixture.report_all_attempts("h2", &[]);
    fixture.on_attempt_event(&placed[0], end(task::EndKind::Failed));
    fixture.advance(secs(120));
    assert!(fixture.take_placed().is_empty());
    assert!(fixture.entries.is_empty());
    assert_eq!(fixture.jobs.unfinished(&fixture.cluster), 0);
}

/// Guards against a host that keeps its state of a job although another host owned the job in
/// between.
#[test]
fn an_owner_that_missed_an_epoch_rebuilds_its_jobs_from_the_lists() {
    let mut fixture = Fixture::single_member();
    fixture.submit("job", task::Class::Batch, request(2));
    fixture.fold();
    let placed = fixture.take_placed();
    fixture.on_attempt_event(&placed[0], started());
    fixture.epoch(3, &["h1"]);
    assert_eq!(fixture.take_cancelled(), placed[1..]);
    fixture.advance(secs(5));
    assert!(fixture.take_placed().is_empty());
    fixture.report_all_attempts("h1", &[("job/0", placed[0].1)]);
    assert_eq!(fixture.commands.adopt.len(), 1);
    // The cancelled attempt may have started in the meantime, so the host waits for its end.
    fixture.advance(secs(5));
    assert!(fixture.take_placed().is_empty());
    fixture.on_attempt_event(&placed[1], not_run());
    let again = fixture.take_placed();
    assert_eq!(again.len(), 1);
    assert!(again[0].1 > placed[1].1);
}

/// Guards against attempts of unknown jobs that keep running, and against a host that stops
/// attempts of jobs that another host owns.
#[test]
fn attempts_of_unknown_jobs_are_cancelled_by_the_home_only() {
    let mut fixture = Fixture::before_reports(&BOTH);
    let mine = format!("{}/0", job_with_home("h1", &BOTH));
    let other = format!("{}/0", job_with_home("h2", &BOTH));
    fixture.report_all_attempts("h2", &[(mine.as_str(), 3), (other.as_str(), 4)]);
    assert_eq!(fixture.take_cancelled(), [(mine.as_str().into(), 3)]);
}

/// Guards against a second run of a non-repeatable task.
#[test]
fn tasks_that_are_not_repeatable_never_run_again() {
    // How the only attempt ends, and the outcome in the job's failure reason; none if the job
    // succeeds.
    let rows = [
        ("done", end(task::EndKind::Done), None),
        ("failed", end(task::EndKind::Failed), Some(caller::Outcome::Ran)),
        ("stopped", end(task::EndKind::Stopped), Some(caller::Outcome::Ran)),
        ("lapsed", end(task::EndKind::Lapsed), Some(caller::Outcome::Ran)),
        ("unknown", jobs_support::unknown_end(), Some(caller::Outcome::Unknown)),
    ];
    for (name, end_event, outcome) in rows {
        let mut fixture = Fixture::single_member();
        fixture.submit("job", task::Class::Batch, not_repeatable(1));
        fixture.fold();
        let placed = fixture.take_placed();
        assert_eq!(placed.len(), 1, "{name}");
        fixture.on_attempt_event(&placed[0], started());
        fixture.on_attempt_event(&placed[0], end_event);
        fixture.advance(secs(120));
        fixture.fold();
        assert!(fixture.take_placed().is_empty(), "{name}");
        let fold = fixture.folded("job");
        assert_eq!(fold.reason.as_ref().map(|reason| reason.outcome), outcome, "{name}");
        assert!(fold.phase.is_some(), "{name}");
    }
}

/// Guards against starting a non-repeatable task before the log records that it may run.
#[test]
fn tasks_that_are_not_repeatable_wait_for_the_log() {
    let mut fixture = Fixture::single_member();
    fixture.submit("job", task::Class::Batch, not_repeatable(8));
    fixture.fold_once();
    fixture.advance(secs(1));
    assert!(fixture.placed.is_empty(), "placed before the entry is in the fold");
    assert_eq!(fixture.entries.len(), 1);
    fixture.fold_once();
    let started = &fixture.folded("job").started;
    assert_eq!(started, &[record::TaskRange { first: 0, end: 8 }]);
    assert_eq!(fixture.placed.len(), 8);
    // A refused task has certainly not run, so it may be placed again.
    let placed = fixture.take_placed();
    fixture.on_attempt_event(&placed[0], not_run());
    fixture.advance(secs(1));
    fixture.fold();
    assert!(fixture.take_placed().iter().any(|again| again.0 == placed[0].0));
}

/// Guards against a second run under a new owner. The log records that a task may have started, and
/// the attempts that the members report decide whether the job fails.
#[test]
fn a_new_owner_fails_a_job_with_a_task_of_unknown_end() {
    let rows: [(&str, bool, bool); 2] =
        [("the task runs", true, false), ("no member counts the task", false, true)];
    for (name, runs, fails) in rows {
        let mut fixture = Fixture::before_reports(&["h1"]);
        with_job(&mut fixture, "job", not_repeatable(2));
        let range = record::TaskRange { first: 0, end: 1 };
        let entry = record::Entry::JobAttempts { job: "job".into(), started: vec![range] };
        fixture.entries.push(entry);
        fixture.fold();
        let attempts: &[(&str, u32)] = if runs { &[("job/0", 5)] } else { &[] };
        fixture.report_all_attempts("h1", attempts);
        fixture.advance(secs(1));
        fixture.fold();
        let fold = fixture.folded("job");
        assert_eq!(fold.phase.is_some(), fails, "{name}");
        let outcome = fold.reason.as_ref().map(|reason| reason.outcome);
        assert_eq!(outcome, fails.then_some(caller::Outcome::Unknown), "{name}");
        assert!(fixture.placed.iter().all(|placed| placed.spec.task.as_ref() == "job/1"), "{name}");
    }
}

/// Guards against starts by a host that has lost its authority or its membership, or that is
/// leaving.
#[test]
fn nothing_is_placed_without_authority() {
    type Change = fn(&mut Fixture);
    let rows: [(&str, Change); 4] = [
        ("authority is gone", |fixture| fixture.cluster.authority = cluster::Authority::None),
        ("authority is over", |fixture| fixture.cluster.authority_until = fixture.now),
        ("leaving", |fixture| fixture.cluster.leaving = true),
        ("expelled", |fixture| {
            fixture.cluster.is_member = false;
            fixture.change(cluster::Change::Expelled);
        }),
    ];
    for (name, change) in rows {
        let mut fixture = Fixture::single_member();
        fixture.submit("job", task::Class::Batch, request(4));
        change(&mut fixture);
        fixture.fold();
        fixture.advance(secs(60));
        assert!(fixture.placed.is_empty(), "{name}");
    }
}

/// Guards against repeated work, or a failed job, because the end of an attempt of the previous
/// owner arrives before the list that contains the attempt.
#[test]
fn an_end_that_arrives_before_the_list_is_recorded() {
    // Whether the job is repeatable, how the attempt ended, whether the task is placed again, and
    // the outcome in the job's failure reason.
    let rows = [
        ("repeatable, done", true, task::EndKind::Done, false, None),
        ("repeatable, failed", true, task::EndKind::Failed, true, None),
        ("once, done", false, task::EndKind::Done, false, None),
        ("once, failed", false, task::EndKind::Failed, false, Some(caller::Outcome::Ran)),
    ];
    for (name, repeatable, kind, again, outcome) in rows {
        let mut fixture = Fixture::before_reports(&["h1"]);
        with_job(&mut fixture, "job", caller::JobRequest { repeatable, ..request(1) });
        if !repeatable {
            let range = record::TaskRange { first: 0, end: 1 };
            let entry = record::Entry::JobAttempts { job: "job".into(), started: vec![range] };
            fixture.entries.push(entry);
            fixture.fold();
        }
        let attempt = ("job/0".into(), 5);
        fixture.on_attempt_event(&attempt, end(kind));
        fixture.on_attempt_event(&attempt, end(kind));
        // A list that was sent earlier still contains the attempt.
        fixture.report_all_attempts("h1", &[("job/0", 5)]);
        assert!(fixture.commands.adopt.is_empty(), "{name}");
        fixture.advance(secs(2));
        fixture.fold();
        assert_eq!(fixture.placed.len(), usize::from(again), "{name}");
        let fold = fixture.folded("job");
        assert_eq!(fold.phase.is_some(), !again, "{name}");
        assert_eq!(fold.reason.as_ref().map(|reason| reason.outcome), outcome, "{name}");
    }
}

/// Guards against a worker owner that accepts a placement request older than its epoch, and against
/// one that refuses requests of its own epoch.
#[test]
fn attempt_numbers_identify_the_epoch_in_which_they_were_placed() {
    let mut numbers = Vec::new();
    for epoch in [2, 3] {
        let mut fixture = Fixture::before_reports(&["h1"]);
        with_job(&mut fixture, "job", request(1));
        fixture.epoch(epoch, &["h1"]);
        fixture.report_all_attempts("h1", &[]);
        numbers.push(fixture.placed[0].attempt);
    }
    let first_again = (1 << 18) + 1;
    // The attempt number, the epoch of the worker owner, and whether the attempt is from an earlier
    // epoch.
    let rows = [
        (numbers[0], 1, false),
        (numbers[0], 2, false),
        (numbers[0], 3, true),
        (numbers[1], 2, false),
        (numbers[1], 3, false),
        (numbers[1], 100, true),
        // The numbers wrap around after 2^18 epochs.
        (numbers[0], first_again + 1, false),
        (u32::MAX, first_again, true),
        // A number that no owner of a job assigns.
        (1, 3, false),
    ];
    for (attempt, epoch, before) in rows {
        assert_eq!(
            jobs::is_from_earlier_epoch(attempt, epoch),
            before,
            "{attempt} in epoch {epoch}"
        );
    }
}
