//! Declared services and declared jobs.

mod jobs_support;

use pier_core::{caller, task};
use pier_decl::model;

use jobs_support::{Fixture, end, job_at, request, secs, small, started};

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

/// Starts what was placed and returns the indices of the tasks.
fn start_placed(fixture: &mut Fixture) -> Vec<String> {
    let mut tasks = Vec::new();
    for attempt in fixture.take_placed() {
        fixture.tell(&attempt, started());
        tasks.push(attempt.0.to_string());
    }
    tasks
}

/// Guards against replicas that are missing, too many, or left after their service has gone.
#[test]
fn a_service_follows_its_declaration() {
    let mut fixture = Fixture::alone();
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
        fixture.tell(attempt, end(task::EndKind::Stopped));
    }
    fixture.pass(secs(5));
    assert!(fixture.take_placed().is_empty());
    // Removed and declared again in the same epoch: no attempt number repeats.
    fixture.declare(declaration(Vec::new()));
    let stopped = fixture.take_cancelled();
    assert_eq!(stopped.len(), 2);
    for attempt in &stopped {
        fixture.tell(attempt, end(task::EndKind::Stopped));
    }
    fixture.declare(declaration(vec![service("web", 2)]));
    let again = fixture.take_placed();
    assert_eq!(again.len(), 2);
    for attempt in &again {
        assert!(!stopped.contains(attempt));
    }
}

/// Guards against a service that is down after one failure, and against one that is restarted
/// without a pause.
#[test]
fn a_replica_that_ends_is_restarted_with_back_off() {
    let mut fixture = Fixture::alone();
    fixture.declare(declaration(vec![service("web", 1)]));
    for kind in [task::EndKind::Failed, task::EndKind::Done, task::EndKind::Failed] {
        for _ in 0..5 {
            fixture.pass(secs(61));
            let placed = fixture.take_placed();
            assert_eq!(placed.len(), 1);
            fixture.tell(&placed[0], started());
            fixture.tell(&placed[0], end(kind));
            fixture.tick();
            assert!(fixture.take_placed().is_empty(), "restarted at once");
        }
    }
}

/// Guards against a changed service that goes on with its old resources or stops as a whole.
#[test]
fn a_changed_service_is_replaced_one_task_at_a_time() {
    let mut fixture = Fixture::alone();
    fixture.declare(declaration(vec![service("web", 3)]));
    start_placed(&mut fixture);
    let changed = model::ServiceDecl { payload: "two".to_owned(), ..service("web", 3) };
    fixture.declare(declaration(vec![changed]));
    for _ in 0..3 {
        fixture.pass(secs(5));
        let stopped = fixture.take_cancelled();
        assert_eq!(stopped.len(), 1);
        fixture.tell(&stopped[0], end(task::EndKind::Stopped));
        fixture.pass(secs(1));
        assert!(fixture.take_cancelled().is_empty(), "a second task was stopped");
        let placed = fixture.orders.place.clone();
        assert_eq!(placed.len(), 1);
        assert_eq!(placed[0].spec.payload.as_bytes(), b"two");
        start_placed(&mut fixture);
    }
    fixture.pass(secs(5));
    assert!(fixture.take_cancelled().is_empty());
}

/// Guards against two hosts that run the same service.
#[test]
fn only_the_home_runs_a_service() {
    let both = ["h1", "h2"];
    let mut fixture = Fixture::unsettled(&both);
    fixture.held_by("h1", &[]);
    fixture.held_by("h2", &[]);
    let (mine, other) = (job_at("h1", &both), job_at("h2", &both));
    fixture.declare(declaration(vec![service(&mine, 1), service(&other, 1)]));
    assert_eq!(start_placed(&mut fixture), [format!("{mine}/0")]);
}

/// Guards against a declared job that is run twice, or by every host.
#[test]
fn a_declared_job_runs_once() {
    let both = ["h1", "h2"];
    let mut fixture = Fixture::unsettled(&both);
    fixture.held_by("h1", &[]);
    fixture.held_by("h2", &[]);
    let (mine, other) = (job_at("h1", &both), job_at("h2", &both));
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
    fixture.pass(secs(3));
    assert_eq!(fixture.entries.len(), 1, "appended again before the log could answer");
    fixture.fold();
    let placed = fixture.take_placed();
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].0.as_ref(), format!("{mine}/0"));
    fixture.tell(&placed[0], end(task::EndKind::Done));
    fixture.pass(secs(1));
    fixture.fold();
    assert_eq!(fixture.folded(&mine).phase, Some(caller::JobPhase::Done));
    fixture.pass(secs(60));
    assert!(fixture.entries.is_empty());
    assert!(fixture.take_placed().is_empty());
}
