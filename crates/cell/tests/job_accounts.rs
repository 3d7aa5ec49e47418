//! Jobs of several accounts: an account neither sees nor changes a job of another one, also if both
//! choose the same job id.

mod fixture;
mod sim;

use std::sync;

use pier_cell::cell_state::CellState;
use pier_cell::decider::RequestOrigin;
use pier_cell::declaration::{Account, Declaration};
use pier_cell::effect::{CallerResponse, Effect};
use pier_cell::job::{JobSpec, JobState, Requester};
use pier_cell::peer::{Message, RequestOutcome};
use pier_cell::record::Record;
use pier_core::resources::Resources;

use fixture::{Fixture, queue, single_step};
use sim::invariants::check_invariants;
use sim::{Sim, account, step};

const JOB: &str = "00000000000000a1";

/// A cell with two accounts, and with an open queue beside the others.
fn cell_with_two_accounts(seed: u64) -> Sim {
    let mut sim = Sim::new(seed, 4, 4);
    let accounts =
        vec![account("team", "key", Resources::MAX), account("other", "other key", Resources::MAX)];
    let mut open = sim::queue("open", 1, 3);
    open.is_public = true;
    let queues = vec![sim::queue("urgent", 0, 3), sim::queue("batch", 1, 3), open];
    sim.declare(Declaration::new(2, queues, accounts, 100_000));
    sim.run_for(3_000);
    sim
}

fn use_key(sim: &mut Sim, key: Option<&str>) {
    sim.caller_key = key.map(str::to_owned);
}

/// Checks that callers with this key, under this queue, find no job and cannot cancel it.
fn check_hidden(sim: &mut Sim, key: Option<&str>, queue: &str) {
    use_key(sim, key);
    for host in 0..4 {
        let shown = sim.show_for(host, JOB, queue, 1_000);
        assert_eq!(shown, Some(CallerResponse::UnknownJob), "{key:?}, {queue}, host {host}");
    }
    let cancelled = sim.cancel_for(1, JOB, queue, 1_000);
    assert_eq!(cancelled, Some(CallerResponse::UnknownJob), "{key:?}, {queue}");
    // That cancelling is not one of the account's own job.
    sim.observed.cancelled.clear();
    sim.observed.cancel_acknowledged_ms.clear();
}

/// Guards against an account that reads, cancels or takes over a job of another account by its id,
/// while the job runs and after its end, on every host.
#[test]
fn a_job_of_another_account_does_not_exist() {
    let mut sim = cell_with_two_accounts(1);
    sim.run_ms = 20_000;
    sim.submit(0, JOB, "urgent", vec![step(1, 1)]);
    sim.run_for(1_000);
    check_hidden(&mut sim, Some("other key"), "urgent");
    check_hidden(&mut sim, Some("other key"), "batch");
    check_hidden(&mut sim, None, "open");
    use_key(&mut sim, Some("other key"));
    sim.submit(2, JOB, "batch", vec![step(3, 2)]);
    sim.run_for(1_000);
    let response = &sim.observed.responses[JOB];
    assert!(matches!(response, CallerResponse::Rejected { .. }), "{response:?}");
    // The account itself sees its job as before.
    use_key(&mut sim, Some("key"));
    assert_eq!(sim.show(3, JOB, "urgent"), Some(CallerResponse::State(JobState::Running)));
    sim.run_for(35_000);
    for host in 0..4 {
        let shown = sim.show_for(host, JOB, "urgent", 1_000);
        assert_eq!(shown, Some(CallerResponse::State(JobState::Completed)), "host {host}");
    }
    check_hidden(&mut sim, Some("other key"), "urgent");
    check_hidden(&mut sim, None, "open");
    assert_eq!(sim.observed.starts, 1);
}

/// Guards against callers who are told that their accepted job does not exist because its queue was
/// replaced by an open one of another name at the same path.
#[test]
fn a_job_of_a_replaced_queue_is_found_at_the_same_path() {
    let mut sim = cell_with_two_accounts(3);
    sim.failed_runs_percent = 0;
    sim.run_ms = 15_000;
    use_key(&mut sim, Some("key"));
    sim.submit(0, JOB, "batch", vec![step(1, 1)]);
    sim.run_for(500);
    let mut replacement = sim::queue("replacement", 1, 3);
    replacement.path_prefix = "/batch/".into();
    replacement.is_public = true;
    let accounts = sim.declaration.accounts.clone();
    let queues = vec![sim::queue("urgent", 0, 3), replacement];
    sim.declare(Declaration::new(3, queues, accounts, 100_000));
    sim.run_for(2_000);
    use_key(&mut sim, None);
    for expected in [JobState::Running, JobState::Completed] {
        for host in 0..4 {
            let shown = sim.show_for(host, JOB, "batch", 1_000);
            assert_eq!(shown, Some(CallerResponse::State(expected)), "host {host}");
        }
        sim.run_for(15_000);
    }
    check_hidden(&mut sim, Some("other key"), "urgent");
}

/// Guards against an account that keeps another one from submitting a job by cancelling its id
/// before. The account that has cancelled the id itself still cannot submit it.
#[test]
fn cancelling_an_unknown_id_concerns_the_callers_own_account() {
    let mut sim = cell_with_two_accounts(2);
    sim.run_ms = 20_000;
    use_key(&mut sim, Some("other key"));
    assert_eq!(sim.cancel_for(1, JOB, "urgent", 1_000), Some(CallerResponse::UnknownJob));
    sim.observed.cancelled.clear();
    sim.observed.cancel_acknowledged_ms.clear();
    sim.submit(1, JOB, "urgent", vec![step(1, 1)]);
    sim.run_for(1_000);
    let response = &sim.observed.responses[JOB];
    assert!(matches!(response, CallerResponse::Rejected { .. }), "{response:?}");
    use_key(&mut sim, Some("key"));
    sim.submit(2, JOB, "urgent", vec![step(1, 1)]);
    sim.run_for(5_000);
    assert_eq!(sim.observed.responses[JOB], CallerResponse::Accepted);
    // The withdrawal is forgotten; that must not remove the job.
    sim.run_for(125_000);
    assert_eq!(sim.stored_state(JOB), Some(JobState::Completed));
    check_invariants(&sim);
}

fn requester(account: &str) -> Requester {
    Requester { queue: "queue".into(), account: Some(account.into()) }
}

fn submit_for(fixture: &mut Fixture, account: &str) -> Vec<Effect> {
    let spec = JobSpec {
        id: JOB.into(),
        queue: "queue".into(),
        account: Some(account.into()),
        payload: "text".into(),
        steps: single_step(1, false),
    };
    fixture.with_decider(|decider, context| {
        decider.on_submit(context, RequestOrigin::Remote("host".into(), 1), sync::Arc::new(spec));
    })
}

fn cancel_for(fixture: &mut Fixture, requester: Option<&Requester>) {
    fixture.with_decider(|decider, context| {
        let origin = RequestOrigin::Remote("host".into(), 2);
        decider.on_cancel(context, origin, &JOB.into(), requester);
    });
}

fn is_rejected(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| {
        matches!(effect, Effect::Send { message: Message::Outcome { outcome, .. }, .. }
            if matches!(outcome, RequestOutcome::Rejected { .. }))
    })
}

/// Guards against a cancelling that is lost because another account has cancelled the same id
/// before.
#[test]
fn each_account_that_cancels_an_unknown_id_withdraws_it() {
    let mut fixture = Fixture::new(queue(None));
    let team = fixture.declaration.accounts[0].clone();
    let named = |name: &str| Account { name: name.into(), ..team.clone() };
    let accounts = ["team", "other", "third"].map(named).to_vec();
    fixture.declare(&Declaration::new(2, vec![queue(None)], accounts, 100_000));
    fixture.list_workers(&["w0"]);
    cancel_for(&mut fixture, Some(&requester("other")));
    cancel_for(&mut fixture, Some(&requester("team")));
    assert!(is_rejected(&submit_for(&mut fixture, "other")));
    assert!(is_rejected(&submit_for(&mut fixture, "team")));
    assert!(!is_rejected(&submit_for(&mut fixture, "third")));
    assert_eq!(fixture.cell_state.withdrawn.len(), 0);
}

/// Guards against a cancelling from a host of an earlier version that has no effect: such a host
/// does not state the account, so that all accounts count as meant.
#[test]
fn a_cancelling_without_an_account_applies_to_all() {
    let mut fixture = Fixture::new(queue(None));
    fixture.list_workers(&["w0"]);
    cancel_for(&mut fixture, Some(&requester("other")));
    cancel_for(&mut fixture, None);
    assert!(is_rejected(&submit_for(&mut fixture, "team")));
}

/// Guards against a successor that forgets to which account an ended job belongs, or who has
/// cancelled an unknown id, and against one that cannot read the records of earlier versions.
#[test]
fn the_log_keeps_the_accounts() {
    let mut state = CellState::default();
    let ended =
        r#"{"Ended":{"queue":"queue","account":"team","state":"Failed","ended_wall_ms":5}}"#;
    let earlier = r#"{"Ended":{"queue":"queue","state":"Failed","ended_wall_ms":5}}"#;
    let withdrawn = r#"{"Withdrawn":{"withdrawn_wall_ms":5,"accounts":["other"]}}"#;
    let earlier_withdrawn = r#"{"Withdrawn":{"withdrawn_wall_ms":5}}"#;
    for (offset, value) in [ended, earlier, withdrawn, earlier_withdrawn].iter().enumerate() {
        let record =
            Record { key: format!("job/{offset}"), value: Some(value.as_bytes().to_vec()) };
        state.apply(u64::try_from(offset).expect("a small number"), &record);
    }
    assert!(state.belongs_to_another("0", &requester("other")));
    assert!(!state.belongs_to_another("0", &requester("team")));
    assert!(!state.belongs_to_another("1", &requester("other")));
    let applies = |id: &str, account: &str| {
        state.withdrawn.get(id).is_some_and(|by| by.applies_to(Some(&account.into())))
    };
    assert!(applies("2", "other") && !applies("2", "team"));
    assert!(applies("3", "other") && applies("3", "team"));
}
