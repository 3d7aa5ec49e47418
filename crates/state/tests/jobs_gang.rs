//! Gang jobs: either all tasks start together or none does.

mod jobs_support;

use pier_core::{caller, task};
use pier_state::work::placement;

use jobs_support::{Fixture, end, not_repeatable, not_run, request, secs, started};

/// Submits a gang of three tasks and returns their first attempts, which have just been placed.
fn gang() -> (Fixture, Vec<placement::AttemptId>) {
    let mut fixture = Fixture::single_member();
    fixture.submit("gang", task::Class::Gang, request(3));
    fixture.fold();
    let placed = fixture.take_placed();
    assert_eq!(placed.len(), 3);
    assert!(fixture.placed.iter().all(|placement| placement.reserve));
    (fixture, placed)
}

fn commit_all(fixture: &mut Fixture, placed: &[placement::AttemptId]) {
    for attempt in placed {
        fixture.on_attempt_event(attempt, placement::AttemptEvent::Reserved);
    }
    let commit = std::mem::take(&mut fixture.commands.commit);
    assert_eq!(commit, placed);
    for attempt in placed {
        fixture.on_attempt_event(attempt, started());
    }
}

/// Guards against a gang that starts only some of its tasks.
#[test]
fn a_gang_starts_completely_or_not_at_all() {
    // The event of the last task while capacity for the others is reserved.
    type Change = fn(&mut Fixture, &placement::AttemptId);
    let rows: [(&str, Change); 3] = [
        ("refused", |fixture, attempt| fixture.on_attempt_event(attempt, not_run())),
        ("no answer in time", |fixture, _| fixture.advance(secs(2))),
        ("reserved too late", |fixture, attempt| {
            fixture.now += secs(2);
            fixture.on_attempt_event(attempt, placement::AttemptEvent::Reserved);
        }),
    ];
    for (name, change) in rows {
        let (mut fixture, placed) = gang();
        fixture.on_attempt_event(&placed[0], placement::AttemptEvent::Reserved);
        fixture.on_attempt_event(&placed[1], placement::AttemptEvent::Reserved);
        assert!(fixture.commands.commit.is_empty(), "{name}");
        change(&mut fixture, &placed[2]);
        fixture.tick();
        assert!(fixture.commands.commit.is_empty(), "{name}: a part of the gang was started");
        let cancelled = fixture.take_cancelled();
        assert!(cancelled.contains(&placed[0]) && cancelled.contains(&placed[1]), "{name}");
        // The gang is retried only after every reservation has certainly ended.
        fixture.on_attempt_event(&placed[0], not_run());
        fixture.advance(secs(30));
        assert!(fixture.take_placed().is_empty(), "{name}");
        fixture.on_attempt_event(&placed[1], not_run());
        fixture.on_attempt_event(&placed[2], not_run());
        fixture.advance(secs(30));
        let again: Vec<_> = fixture.placed[3..].iter().map(|placed| placed.attempt).collect();
        assert!(again.len() >= 3, "{name}: not tried again");
    }
}

/// Guards against a gang that never ends, and against an end before every task is done.
#[test]
fn a_gang_is_done_when_all_its_tasks_are() {
    let (mut fixture, placed) = gang();
    commit_all(&mut fixture, &placed);
    fixture.on_attempt_event(&placed[0], end(task::EndKind::Done));
    fixture.on_attempt_event(&placed[2], end(task::EndKind::Done));
    fixture.advance(secs(60));
    assert!(fixture.entries.is_empty());
    fixture.on_attempt_event(&placed[1], end(task::EndKind::Done));
    fixture.fold();
    assert_eq!(fixture.folded("gang").phase, Some(caller::JobPhase::Done));
    assert!(fixture.take_placed().is_empty());
}

/// Guards against a gang whose remaining tasks continue after one of them has ended without being
/// done.
#[test]
fn a_gang_that_loses_a_task_restarts_completely() {
    let rows = [
        ("failed", end(task::EndKind::Failed)),
        ("lapsed", end(task::EndKind::Lapsed)),
        ("unknown", jobs_support::unknown_end()),
        ("not started after the commit", not_run()),
    ];
    for (name, event) in rows {
        let (mut fixture, placed) = gang();
        commit_all(&mut fixture, &placed);
        fixture.on_attempt_event(&placed[2], end(task::EndKind::Done));
        fixture.on_attempt_event(&placed[0], event);
        assert_eq!(fixture.take_cancelled(), [placed[1].clone()], "{name}");
        fixture.advance(secs(20));
        assert!(fixture.take_placed().is_empty(), "{name}: started beside its last run");
        fixture.on_attempt_event(&placed[1], end(task::EndKind::Stopped));
        fixture.advance(secs(5));
        let again = fixture.take_placed();
        assert!(again.len() >= 3, "{name}");
        for attempt in &again[..3] {
            assert!(!placed.contains(attempt), "{name}: attempt number repeats");
        }
    }
}

/// Guards against a gang that fails and is retried forever.
#[test]
fn a_gang_ends_after_max_attempts() {
    let (mut fixture, mut placed) = gang();
    for _ in 0..fixture.options.max_attempts {
        commit_all(&mut fixture, &placed);
        fixture.on_attempt_event(&placed[0], end(task::EndKind::Failed));
        fixture.on_attempt_event(&placed[1], end(task::EndKind::Stopped));
        fixture.on_attempt_event(&placed[2], end(task::EndKind::Stopped));
        for _ in 0..1_000 {
            fixture.advance(std::time::Duration::from_millis(50));
            if !fixture.commands.place.is_empty() || !fixture.entries.is_empty() {
                break;
            }
        }
        placed = fixture.take_placed();
    }
    fixture.fold();
    let fold = fixture.folded("gang");
    assert_eq!(fold.phase, Some(caller::JobPhase::Failed));
    let reason = fold.reason.as_ref().expect("a failed job has a reason");
    assert_eq!(reason.kind, caller::RefusalKind::AttemptsExhausted);
}

/// Guards against two gangs that collide and retry their reservations at the same times forever.
#[test]
fn colliding_gangs_back_off_for_different_times() {
    let mut fixture = Fixture::single_member();
    fixture.submit("gang1", task::Class::Gang, request(2));
    fixture.submit("gang2", task::Class::Gang, request(2));
    fixture.fold();
    let mut apart = 0;
    for _ in 0..10 {
        let mut times = Vec::new();
        while times.len() < 2 {
            fixture.advance(std::time::Duration::from_millis(50));
            let placed = fixture.take_placed();
            for attempt in &placed {
                fixture.on_attempt_event(attempt, not_run());
            }
            if !placed.is_empty() {
                times.extend(placed.iter().step_by(2).map(|_| fixture.now));
            }
        }
        apart += u32::from(times[0] != times[1]);
    }
    assert!(apart >= 5, "only {apart} of 10 rounds were apart");
}

/// Guards against a gang that is restarted although its run under the previous owner is complete,
/// and against one that keeps running with some of its tasks.
#[test]
fn a_new_owner_keeps_a_complete_gang_and_stops_a_partial_one() {
    let rows: [(&str, &[&str], usize, usize); 3] = [
        ("whole", &["gang/0", "gang/1", "gang/2"], 0, 0),
        ("in part", &["gang/0", "gang/2"], 2, 3),
        ("none", &[], 0, 3),
    ];
    for (name, runs, cancelled, placed) in rows {
        let mut fixture = Fixture::before_reports(&["h1"]);
        fixture.submit("gang", task::Class::Gang, request(3));
        fixture.fold();
        let held: Vec<(&str, u32)> = runs.iter().map(|task| (*task, 4)).collect();
        fixture.report_all_attempts("h1", &held);
        assert_eq!(fixture.commands.adopt.len(), runs.len(), "{name}");
        fixture.advance(secs(1));
        let stopped = fixture.take_cancelled();
        assert_eq!(stopped.len(), cancelled, "{name}");
        for attempt in &stopped {
            fixture.on_attempt_event(attempt, end(task::EndKind::Stopped));
        }
        fixture.advance(secs(1));
        assert_eq!(fixture.take_placed().len(), placed, "{name}");
    }
}

/// Guards against a second run of a non-repeatable gang.
#[test]
fn a_gang_that_is_not_repeatable_runs_once() {
    let mut fixture = Fixture::single_member();
    fixture.submit("gang", task::Class::Gang, not_repeatable(2));
    fixture.fold();
    fixture.advance(secs(1));
    fixture.fold();
    let placed = fixture.take_placed();
    assert_eq!(placed.len(), 2);
    commit_all(&mut fixture, &placed);
    fixture.on_attempt_event(&placed[0], end(task::EndKind::Stopped));
    fixture.on_attempt_event(&placed[1], end(task::EndKind::Stopped));
    fixture.advance(secs(60));
    fixture.fold();
    assert!(fixture.take_placed().is_empty());
    assert_eq!(fixture.folded("gang").phase, Some(caller::JobPhase::Failed));
}
