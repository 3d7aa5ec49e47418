//! Declared services and declared jobs.

mod jobs_support;

use pier_core::{caller, task};
use pier_decl::model;

use jobs_support::{Fixture, end, job_with_home, request, secs, small, started};

fn service(name: &str, replicas: u32) -> model::ServiceDecl {
    model::ServiceDecl {
        name: name.into(),
        team: jobs_support::TEAM.into(),
        replicas,
        resources: small(),
        spread: model::Spread::AvailabilityZone,
        payload: "one".to_owned(),
    }
}

fn declaration(services: Vec<model::ServiceDecl>) -> pier_decl::Declaration {
    pier_decl::Declaration { services, ..Default::default() }
}

/// Starts the placed attempts and returns the ids of their tasks.
fn start_placed(fixture: &mut Fixture) -> Vec<String> {
    let mut tasks = Vec::new();
    for attempt in fixture.take_placed() {
        fixture.on_attempt_event(&attempt, started());
        tasks.push(attempt.0.to_string());
    }
    tasks
}

/// Guards against missing or surplus replicas, and against replicas that keep running after their
/// service was removed.
#[test]
fn a_service_follows_its_declaration() {
    let mut fixture = Fixture::single_member();
    fixture.declare(declaration(vec![service("web", 3)]));
    assert_eq!(start_placed(&mut fixture), ["web/0", "web/1", "web/2"]);
    assert!(fixture.entries.is_empty(), "services are not in the log");
    fixture.declare(declaration(vec![service("web", 4)]));
    assert_eq!(start_placed(&mut fixture), ["web/3"]);
    fixture.declare(declaration(vec![service("web", 2)]));
    let surplus = fixture.take_cancelled();
    let tasks: Vec<&str> = surplus.iter().map(|attempt| attempt.0.as_ref()).collect();
    assert_eq!(tasks, ["web/2", "web/3"]);
    for attempt in &surplus {
        fixture.on_attempt_event(attempt, end(task::EndKind::Stopped));
    }
    fixture.advance(secs(5));
    assert!(fixture.take_placed().is_empty());
    // The service is removed and declared again in the same epoch; its attempt numbers do not
    // repeat.
    fixture.declare(declaration(Vec::new()));
    let stopped = fixture.take_cancelled();
    assert_eq!(stopped.len(), 2);
    for attempt in &stopped {
        fixture.on_attempt_event(attempt, end(task::EndKind::Stopped));
    }
    fixture.declare(declaration(vec![service("web", 2)]));
    let again = fixture.take_placed();
    assert_eq!(again.len(), 2);
    for attempt in &again {
        assert!(!stopped.contains(attempt));
    }
}

/// Guards against a service that is not restarted after a failure, and against restarts without a
/// pause.
#[test]
fn a_replica_that_ends_is_restarted_with_backoff() {
    let mut fixture = Fixture::single_member();
    fixture.declare(declaration(vec![service("web", 1)]));
    for kind in [task::EndKind::Failed, task::EndKind::Done, task::EndKind::Failed] {
        for _ in 0..5 {
            fixture.advance(secs(61));
            let placed = fixture.take_placed();
            assert_eq!(placed.len(), 1);
            fixture.on_attempt_event(&placed[0], started());
            fixture.on_attempt_event(&placed[0], end(kind));
            fixture.tick();
            assert!(fixture.take_placed().is_empty(), "restarted at once");
        }
    }
}

/// Guards against a changed service that keeps its old specification, and against stopping all its
/// tasks at once.
#[test]
fn a_changed_service_is_replaced_one_task_at_a_time() {
    let mut fixture = Fixture::single_member();
    fixture.declare(declaration(vec![service("web", 3)]));
    start_placed(&mut fixture);
    let changed = model::ServiceDecl { payload: "two".to_owned(), ..service("web", 3) };
    fixture.declare(declaration(vec![changed]));
    for _ in 0..3 {
        fixture.advance(secs(5));
        let stopped = fixture.take_cancelled();
        assert_eq!(stopped.len(), 1);
        fixture.on_attempt_event(&stopped[0], end(task::EndKind::Stopped));
        fixture.advance(secs(1));
        assert!(fixture.take_cancelled().is_empty(), "a second task was stopped");
        let placed = fixture.commands.place.clone();
        assert_eq!(placed.len(), 1);
        assert_eq!(placed[0].spec.payload.as_bytes(), b"two");
        start_placed(&mut fixture);
    }
    fixture.advance(secs(5));
    assert!(fixture.take_cancelled().is_empty());
}

/// Guards against two hosts that run the same service.
#[test]
fn only_the_home_runs_a_service() {
    let both = ["h1", "h2"];
    let mut fixture = Fixture::before_reports(&both);
    fixture.report_all_attempts("h1", &[]);
    fixture.report_all_attempts("h2", &[]);
    let (mine, other) = (job_with_home("h1", &both), job_with_home("h2", &both));
    fixture.declare(declaration(vec![service(&mine, 1), service(&other, 1)]));
    assert_eq!(start_placed(&mut fixture), [format!("{mine}/0")]);
}

/// Guards against a declared job that runs twice or on every host.
#[test]
fn a_declared_job_runs_once() {
    let both = ["h1", "h2"];
    let mut fixture = Fixture::before_reports(&both);
    fixture.report_all_attempts("h1", &[]);
    fixture.report_all_attempts("h2", &[]);
    let (mine, other) = (job_with_home("h1", &both), job_with_home("h2", &both));
    let queue = model::QueueDecl {
        name: "queue".into(),
        class: task::Class::Batch,
        teams: Vec::new(),
        open_for: None,
        resources: small(),
        max_wait_ms: 1_000,
        run_estimate_ms: 0,
        backlog: 1,
    };
    let mut jobs = Vec::new();
    for name in [&mine, &other] {
        let job = request(1);
        jobs.push(model::JobDecl {
            name: name.as_str().into(),
            team: jobs_support::TEAM.into(),
            job,
        });
    }
    let declaration = pier_decl::Declaration { queues: vec![queue], jobs, ..Default::default() };
    fixture.declare(declaration);
    assert_eq!(fixture.entries.len(), 1);
    fixture.advance(secs(3));
    assert_eq!(fixture.entries.len(), 1, "appended again before the log could answer");
    fixture.fold();
    let placed = fixture.take_placed();
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].0.as_ref(), format!("{mine}/0"));
    fixture.on_attempt_event(&placed[0], end(task::EndKind::Done));
    fixture.advance(secs(1));
    fixture.fold();
    assert_eq!(fixture.folded(&mine).phase, Some(caller::JobPhase::Done));
    fixture.advance(secs(60));
    assert!(fixture.entries.is_empty());
    assert!(fixture.take_placed().is_empty());
}
