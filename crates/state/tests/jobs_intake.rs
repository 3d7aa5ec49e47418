//! Acceptance, queries and cancellation of jobs.

mod jobs_support;

use pier_core::{caller, resources, task};
use pier_decl::model;
use pier_state::message;

use jobs_support::{
    Fixture, TEAM, end, host, job_with_home, not_run, request, secs, small, started,
};

fn limited() -> pier_decl::Declaration {
    let limit = resources::Resources { cpu_milli: 2_000, memory_mb: 8_000, slots: 4, ..small() };
    let team = model::TeamDecl { name: TEAM.into(), share: 1, limit: Some(limit), keys: vec![] };
    let service = model::ServiceDecl {
        name: "web".into(),
        team: "green".into(),
        replicas: 0,
        resources: small(),
        spread: model::Spread::Rack,
        payload: String::new(),
    };
    pier_decl::Declaration { teams: vec![team], services: vec![service], ..Default::default() }
}

/// Guards against accepting jobs that can never run.
#[test]
fn jobs_that_can_never_run_are_refused() {
    use caller::RefusalKind::{BadRequest, DeadlinePassed, Duplicate, NeverFits, OverLimit};
    use caller::RefusalKind::{NoAuthority, ShuttingDown, WrongClass};
    use task::Class::{Batch, Gang, Service, Urgent};
    type Change = fn(&mut Fixture, &mut caller::JobRequest);
    let rows: [(&str, task::Class, caller::RefusalKind, Change); 13] = [
        ("no tasks", Batch, BadRequest, |_, job| job.tasks = 0),
        ("too many tasks", Batch, BadRequest, |_, job| job.tasks = u32::MAX),
        ("too large a gang", Gang, BadRequest, |_, job| job.tasks = 100_000),
        ("urgent queue", Urgent, WrongClass, |_, _| {}),
        ("service queue", Service, WrongClass, |_, _| {}),
        ("past deadline", Batch, DeadlinePassed, |_, job| job.deadline_ms = Some(0)),
        ("too much memory", Batch, NeverFits, |_, job| job.resources.memory_mb = 65_000),
        ("no accelerators", Batch, NeverFits, |_, job| job.resources.accelerators = 1),
        ("gang of 17 slots", Gang, NeverFits, |_, job| job.tasks = 17),
        ("task over the limit", Batch, OverLimit, |fixture, job| {
            fixture.declare(limited());
            job.resources.cpu_milli = 2_001;
        }),
        ("gang over the limit", Gang, OverLimit, |fixture, job| {
            fixture.declare(limited());
            job.tasks = 3;
        }),
        ("no workers known", Batch, NoAuthority, |fixture, _| fixture.cluster.workers.clear()),
        ("shutting down", Batch, ShuttingDown, |fixture, _| fixture.cluster.leaving = true),
    ];
    for (name, class, kind, change) in rows {
        let mut fixture = Fixture::single_member();
        let mut job = request(1);
        change(&mut fixture, &mut job);
        let ticket = fixture.submit("job", class, job);
        let refusal = fixture.refusal(ticket);
        assert_eq!((refusal.kind, refusal.outcome), (kind, caller::Outcome::NotRun), "{name}");
        assert!(fixture.entries.is_empty(), "{name}");
    }
    let mut fixture = Fixture::single_member();
    fixture.declare(limited());
    let ticket = fixture.submit("web", Batch, request(1));
    assert_eq!(fixture.refusal(ticket).kind, Duplicate);
}

/// Guards against a second job for a repeated submission, and against an answer before the job is
/// stored.
#[test]
fn a_repeated_submission_gets_the_status_of_the_job() {
    let mut fixture = Fixture::single_member();
    let first = fixture.submit("job", task::Class::Batch, request(2));
    let second = fixture.submit("job", task::Class::Batch, request(2));
    assert!(!fixture.jobs.is_drained());
    assert_eq!(fixture.entries.len(), 1);
    assert!(fixture.answers(first).is_empty() && fixture.answers(second).is_empty());
    fixture.fold();
    assert_eq!(fixture.status(first), fixture.status(second));
    assert!(fixture.jobs.is_drained());
    let placed = fixture.take_placed();
    fixture.on_attempt_event(&placed[0], started());
    let third = fixture.submit("job", task::Class::Batch, request(2));
    assert_eq!(fixture.status(third).running, 1);
    assert!(fixture.entries.is_empty());
}

/// Guards against returning the status of an earlier job for a different one when a team reuses an
/// idempotency key, before or after the earlier job is stored.
#[test]
fn an_idempotency_key_of_another_job_is_refused() {
    let mut fixture = Fixture::single_member();
    fixture.submit("job", task::Class::Batch, request(2));
    let before = fixture.submit("job", task::Class::Batch, request(3));
    fixture.fold();
    let after = fixture.submit("job", task::Class::Batch, request(3));
    for ticket in [before, after] {
        let refusal = fixture.refusal(ticket);
        assert_eq!(refusal.kind, caller::RefusalKind::Duplicate);
        assert_eq!(refusal.outcome, caller::Outcome::NotRun);
    }
}

/// Guards against answering "accepted" or "not run" while it is unknown whether the job was stored.
#[test]
fn a_job_that_is_not_stored_in_time_has_an_unknown_outcome() {
    let mut fixture = Fixture::single_member();
    let ticket = fixture.submit("job", task::Class::Batch, request(1));
    fixture.advance(secs(6));
    let refusal = fixture.refusal(ticket);
    assert_eq!(refusal.kind, caller::RefusalKind::NotStored);
    assert_eq!(refusal.outcome, caller::Outcome::Unknown);
    assert!(refusal.retry_after_ms.is_some());
    assert!(fixture.jobs.is_drained());
    // The append succeeded nevertheless: the job runs, and the caller is not answered twice.
    fixture.fold();
    assert_eq!(fixture.take_placed().len(), 1);
    assert_eq!(fixture.answers(ticket).len(), 1);
}

/// Guards against the loss of jobs because too few hosts hold them while the log is unreachable.
#[test]
fn while_the_log_is_unreachable_two_peers_in_other_zones_hold_a_job() {
    // The zones of h2 and h3, the hosts that acknowledge, and whether the job is accepted or
    // refused; none if neither happens before the timeout.
    type Row<'a> = (&'a str, [&'a str; 2], &'a [&'a str], Option<bool>);
    let rows: [Row<'_>; 6] = [
        ("both acknowledge", ["z2", "z3"], &["h2", "h3"], Some(true)),
        ("both in one zone", ["z2", "z2"], &["h2", "h3"], Some(true)),
        ("one acknowledges", ["z2", "z3"], &["h2"], None),
        ("one acknowledges twice", ["z2", "z3"], &["h2", "h2"], None),
        ("one in the caller's zone", ["z1", "z3"], &["h2", "h3"], Some(false)),
        ("nobody in another zone", ["z1", "z1"], &["h2", "h3"], Some(false)),
    ];
    for (name, zones, acks, accepted) in rows {
        let mut fixture = Fixture::single_member();
        fixture.cluster.log_unreachable = true;
        for (peer, zone) in ["h2", "h3"].into_iter().zip(zones) {
            let peer = fixture.cluster.peers.get_mut(&host(peer)).expect("a peer");
            peer.member.availability_zone = zone.into();
        }
        let ticket = fixture.submit("job", task::Class::Batch, request(1));
        for peer in acks {
            fixture.message(peer, message::JobMessage::HoldAck { job: "job".into() });
        }
        match accepted {
            Some(true) => {
                assert_eq!(fixture.status(ticket).phase, caller::JobPhase::Waiting, "{name}");
            }
            Some(false) => {
                let refusal = fixture.refusal(ticket);
                assert_eq!(refusal.kind, caller::RefusalKind::NotStored, "{name}");
                assert_eq!(refusal.outcome, caller::Outcome::Unknown, "{name}");
            }
            None => {
                assert!(fixture.answers(ticket).is_empty(), "{name}");
                fixture.advance(secs(6));
                assert_eq!(fixture.refusal(ticket).outcome, caller::Outcome::Unknown, "{name}");
            }
        }
        assert!(fixture.entries.is_empty(), "{name}: appended while the log is away");
    }
}

/// Guards against a held job that does not run while the log is unreachable, or that is lost when
/// the log is reachable again.
#[test]
fn a_held_job_runs_during_the_outage_and_is_appended_after_it() {
    let mut fixture = Fixture::single_member();
    fixture.cluster.log_unreachable = true;
    let ticket = fixture.submit("job", task::Class::Batch, request(1));
    let asked: Vec<_> = fixture.sent().into_iter().map(|(to, _)| to).collect();
    assert_eq!(asked, [host("h2"), host("h3")]);
    for peer in ["h2", "h3"] {
        fixture.message(peer, message::JobMessage::HoldAck { job: "job".into() });
    }
    fixture.status(ticket);
    fixture.advance(secs(1));
    let placed = fixture.take_placed();
    assert_eq!(placed.len(), 1);
    fixture.on_attempt_event(&placed[0], end(task::EndKind::Done));
    fixture.advance(secs(60));
    assert!(fixture.entries.is_empty());
    fixture.cluster.log_unreachable = false;
    fixture.advance(secs(1));
    fixture.fold();
    fixture.advance(secs(2));
    fixture.fold();
    assert_eq!(fixture.folded("job").phase, Some(caller::JobPhase::Done));
    assert_eq!(fixture.placed.len(), 1);
}

/// Guards against the loss of a job whose other holders have failed: every holder appends a held
/// job that is not in the log.
#[test]
fn a_holder_appends_what_the_log_does_not_have() {
    let mut fixture = Fixture::before_reports(&["h2"]);
    fixture.cluster.log_unreachable = true;
    let mut other = Fixture::single_member();
    other.submit("job", task::Class::Batch, request(1));
    let record = match other.entries.remove(0) {
        pier_state::record::Entry::JobAccepted(record) => record,
        entry => panic!("expected the acceptance, got {entry:?}"),
    };
    for _ in 0..2 {
        let hold = message::JobMessage::Hold { record: record.clone() };
        fixture.message("h2", hold);
    }
    assert_eq!(fixture.sent().len(), 2, "every request is acknowledged");
    fixture.advance(secs(30));
    assert!(fixture.entries.is_empty());
    fixture.cluster.log_unreachable = false;
    fixture.advance(secs(3));
    assert_eq!(fixture.entries.len(), 1);
    fixture.fold();
    fixture.advance(secs(60));
    assert!(fixture.entries.is_empty(), "appended again although the log has it");
}

/// Guards against a cancelled job that continues, and against an answer before the cancellation is
/// stored.
#[test]
fn a_cancelled_job_stops() {
    let mut fixture = Fixture::single_member();
    fixture.submit("job", task::Class::Batch, request(3));
    fixture.fold();
    let placed = fixture.take_placed();
    fixture.on_attempt_event(&placed[0], started());
    let ticket = fixture.cancel("job", TEAM);
    assert!(fixture.answers(ticket).is_empty());
    fixture.fold();
    assert_eq!(fixture.status(ticket).phase, caller::JobPhase::Cancelled);
    assert_eq!(fixture.take_cancelled(), placed);
    fixture.on_attempt_event(&placed[0], end(task::EndKind::Stopped));
    fixture.on_attempt_event(&placed[1], not_run());
    assert_eq!(fixture.folded("job").phase, None, "ended before its last task");
    fixture.on_attempt_event(&placed[2], not_run());
    fixture.fold();
    assert_eq!(fixture.folded("job").phase, Some(caller::JobPhase::Cancelled));
    fixture.advance(secs(120));
    assert!(fixture.take_placed().is_empty());
    let again = fixture.cancel("job", TEAM);
    assert_eq!(fixture.status(again).phase, caller::JobPhase::Cancelled);
}

/// Guards against a team that can query or cancel a job of another team.
#[test]
fn only_the_team_of_a_job_may_query_and_cancel_it() {
    let mut fixture = Fixture::single_member();
    fixture.submit("job", task::Class::Batch, request(1));
    fixture.fold();
    for (team, known) in [(TEAM, true), ("green", false)] {
        let query = fixture.query("job", team);
        let cancel = fixture.cancel("job", team);
        if known {
            fixture.status(query);
            continue;
        }
        for ticket in [query, cancel] {
            assert_eq!(fixture.refusal(ticket).kind, caller::RefusalKind::UnknownJob);
        }
    }
    let missing = fixture.query("missing", TEAM);
    assert_eq!(fixture.refusal(missing).kind, caller::RefusalKind::UnknownJob);
}

/// Guards against a caller that waits forever for the owner of the job, or is answered twice.
#[test]
fn a_query_goes_to_the_owner_of_the_job() {
    let both = ["h1", "h2"];
    let job = job_with_home("h2", &both);
    // The number of replies from the owner.
    for answers in [0, 1, 2] {
        let mut fixture = Fixture::before_reports(&both);
        fixture.submit(&job, task::Class::Batch, request(5));
        fixture.fold();
        let ticket = fixture.query(&job, TEAM);
        let sent = fixture.sent();
        let [(to, message::JobMessage::Query { ticket: number, .. })] = sent.as_slice() else {
            panic!("expected one query, got {sent:?}");
        };
        assert_eq!(*to, host("h2"));
        let status = caller::JobStatus {
            job: job.as_str().into(),
            phase: caller::JobPhase::Running,
            tasks: 5,
            done: 1,
            running: 2,
            reason: None,
        };
        for _ in 0..answers {
            let answer =
                message::JobMessage::Status { ticket: *number, status: Some(status.clone()) };
            fixture.message("h2", answer);
        }
        fixture.advance(secs(2));
        if answers == 0 {
            assert_eq!(fixture.refusal(ticket).kind, caller::RefusalKind::NoAuthority);
        } else {
            assert_eq!(fixture.status(ticket), status);
        }
        assert!(fixture.jobs.is_drained());
    }
}

/// Guards against a job that waits forever after the last worker on which it fits is gone.
#[test]
fn a_job_that_no_longer_fits_fails_with_a_reason() {
    let mut fixture = Fixture::single_member();
    fixture.submit("job", task::Class::Batch, request(1));
    for worker in fixture.cluster.workers.values_mut() {
        worker.entry.resources.cpu_milli = 1;
    }
    fixture.fold();
    for attempt in fixture.take_placed() {
        fixture.on_attempt_event(&attempt, not_run());
    }
    for _ in 0..700 {
        fixture.advance(secs(1));
        for attempt in fixture.take_placed() {
            fixture.on_attempt_event(&attempt, not_run());
        }
    }
    fixture.fold();
    let reason = fixture.folded("job").reason.as_ref().expect("the job has failed");
    assert_eq!(reason.kind, caller::RefusalKind::NeverFits);
}

/// Guards against cancellations whose cost grows with the square of their number. The limit of 5 s
/// is generous; a quadratic implementation takes minutes.
#[test]
fn many_cancellations_take_little_time() {
    let mut fixture = Fixture::single_member();
    let mut running = Vec::new();
    for job in 0..10 {
        fixture.submit(&format!("job{job}"), task::Class::Batch, request(1_000));
    }
    fixture.fold();
    while running.len() < 10_000 {
        for attempt in fixture.take_placed() {
            fixture.on_attempt_event(&attempt, started());
            running.push(attempt);
        }
        fixture.now += jobs_support::ONE_MS;
        fixture.tick();
    }
    let begun = std::time::Instant::now();
    for job in 0..10 {
        fixture.cancel(&format!("job{job}"), TEAM);
    }
    fixture.fold();
    assert_eq!(fixture.take_cancelled().len(), 10_000);
    for attempt in &running {
        fixture.on_attempt_event(attempt, end(task::EndKind::Stopped));
    }
    let took = begun.elapsed();
    fixture.fold();
    assert_eq!(fixture.jobs.unfinished(&fixture.cluster), 0);
    assert!(took < secs(5), "10,000 cancellations took {took:?}");
}
