//! Invariants of the decisions of every policy, checked on random views.

mod support;

use std::collections;

use pier_core::{resources, task};
use pier_policy::{Decision, PendingTask, RunningTask, Team, View, Worker};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use support::{NOW, batch, batch_running, cores, secs, team, worker_in};

/// The size and the seed of the random cases. Every run checks the same cases.
const GEN_SIZE: usize = 100;
const SEED: u64 = 1;

/// A random view.
#[derive(Debug, Clone)]
struct Case {
    pending: Vec<PendingTask>,
    workers: Vec<Worker>,
    teams: Vec<Team>,
}

fn random_below(source: &mut Gen, below: u64) -> u64 {
    u64::arbitrary(source) % below
}

fn random_class(source: &mut Gen) -> task::Class {
    let classes =
        [task::Class::Urgent, task::Class::Service, task::Class::Batch, task::Class::Gang];
    *source.choose(&classes).expect("there are classes")
}

fn random_demand(source: &mut Gen) -> resources::Resources {
    let accelerators = random_below(source, 8) / 7;
    resources::Resources {
        accelerators,
        connections: random_below(source, 3),
        ..cores(random_below(source, 17))
    }
}

fn random_team(source: &mut Gen) -> String {
    // The view does not contain the last one.
    (*source.choose(&["blue", "green", "red", "undeclared"]).expect("there are teams")).to_owned()
}

impl Arbitrary for Case {
    fn arbitrary(source: &mut Gen) -> Self {
        let mut workers = Vec::new();
        for index in 0..random_below(source, 6) {
            let zone = format!("z{}", random_below(source, 2));
            let rack = format!("r{}", random_below(source, 2));
            let mut worker = worker_in(&format!("w{index}"), &zone, &rack);
            worker.total.accelerators = random_below(source, 3);
            worker.free = worker.total;
            worker.schedulable = random_below(source, 5) > 0;
            worker.failures = u32::try_from(random_below(source, 4) / 3).expect("it is small");
            for number in 0..random_below(source, 5) {
                let resources = random_demand(source);
                if !resources.fits_in(&worker.free) {
                    continue;
                }
                let running = RunningTask {
                    class: random_class(source),
                    team: random_team(source).into(),
                    resources,
                    started: NOW - secs(random_below(source, 100)),
                    checkpoint_interval: secs(random_below(source, 3) * 10),
                    repeatable: random_below(source, 4) > 0,
                    preemption_requested: random_below(source, 4) == 0,
                    ..batch_running(&format!("w{index}-{number}"), 0)
                };
                support::add_running(&mut worker, running);
            }
            workers.push(worker);
        }
        let mut pending = Vec::new();
        for index in 0..random_below(source, 30) {
            let class = random_class(source);
            let bound = |source: &mut Gen| {
                (random_below(source, 2) == 0).then(|| NOW + secs(random_below(source, 100)))
            };
            pending.push(PendingTask {
                class,
                resources: random_demand(source),
                arrived: NOW - secs(random_below(source, 100)),
                start_by: bound(source),
                deadline: bound(source),
                run_estimate: secs(random_below(source, 100)),
                ..batch(&format!("p{index}"), &random_team(source), 0)
            });
        }
        let mut teams = Vec::new();
        for name in ["blue", "green", "red"] {
            let share = u32::try_from(random_below(source, 4)).expect("it is small");
            let headroom = random_demand(source).scaled(random_below(source, 6), 1);
            teams.push(Team { headroom, ..team(name, share, random_below(source, 1_000_000)) });
        }
        Self { pending, workers, teams }
    }
}

/// Checks the invariants of the decisions of one policy.
fn check(name: &str, case: &Case, decisions: &[Decision]) -> std::result::Result<(), String> {
    let mut free: Vec<_> = case.workers.iter().map(|worker| worker.free).collect();
    let mut headrooms: collections::BTreeMap<_, _> =
        case.teams.iter().map(|team| (team.team.clone(), team.headroom)).collect();
    let mut decided = collections::BTreeSet::new();
    let mut preempted = collections::BTreeSet::new();
    let mut started_on = vec![0; case.workers.len()];
    for decision in decisions {
        match decision {
            Decision::Start { pending, worker } => {
                let task = &case.pending[*pending];
                let target = &case.workers[*worker];
                if !decided.insert(*pending) {
                    return Err(format!("{name}: task {pending} is decided twice"));
                }
                if !target.schedulable {
                    return Err(format!("{name}: worker {worker} is not schedulable"));
                }
                started_on[*worker] += 1;
                if target.failures > 0 && started_on[*worker] > 1 {
                    return Err(format!(
                        "{name}: worker {worker} is on probation and gets a second task"
                    ));
                }
                if !task.resources.fits_in(&free[*worker]) {
                    return Err(format!(
                        "{name}: worker {worker} lacks resources for task {pending}"
                    ));
                }
                free[*worker] = free[*worker].minus(&task.resources);
                let Some(headroom) = headrooms.get_mut(&task.team) else {
                    continue;
                };
                if !task.resources.fits_in(headroom) {
                    return Err(format!("{name}: team {} exceeds its headroom", task.team));
                }
                *headroom = headroom.minus(&task.resources);
            }
            Decision::Refuse { pending, .. } => {
                if !decided.insert(*pending) {
                    return Err(format!("{name}: task {pending} is decided twice"));
                }
            }
            Decision::Preempt { worker, running, .. } => {
                let task = &case.workers[*worker].running[*running];
                if task.preemption_requested || !preempted.insert((*worker, *running)) {
                    return Err(format!("{name}: task {} is preempted twice", task.task));
                }
                if !task.repeatable {
                    return Err(format!(
                        "{name}: task {} is preempted but not repeatable",
                        task.task
                    ));
                }
                if task.class != task::Class::Batch {
                    return Err(format!("{name}: {} work is preempted", task.class));
                }
            }
        }
    }
    Ok(())
}

/// Guards against decisions that exceed the free resources of a worker or the headroom of a team,
/// that use an unschedulable worker, or that start a task twice.
#[test]
fn decisions_satisfy_the_invariants() {
    fn satisfies_invariants(case: Case) -> quickcheck::TestResult {
        for name in pier_policy::NAMES {
            let mut policy = pier_policy::by_name(name).expect("the policy is registered");
            // The second decision runs with the state that the first one left in the policy.
            for _ in 0..2 {
                let mut cell_total = resources::Resources::ZERO;
                for worker in &case.workers {
                    cell_total = cell_total.plus(&worker.total);
                }
                let view = View {
                    now: NOW,
                    pending: &support::backlog(&case.pending),
                    workers: &case.workers,
                    teams: &case.teams,
                    cell_total,
                };
                let decisions = policy.decide(&view);
                if let Err(reason) = check(name, &case, &decisions) {
                    return quickcheck::TestResult::error(reason);
                }
            }
        }
        quickcheck::TestResult::passed()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(2_000)
        .quickcheck(satisfies_invariants as fn(Case) -> quickcheck::TestResult);
}

/// Guards against a policy name that a declaration can select but that is not registered.
#[test]
fn policies_are_registered_under_their_names() {
    for name in pier_policy::NAMES {
        assert_eq!(pier_policy::by_name(name).expect("it is registered").name(), name);
    }
    assert!(pier_policy::by_name("unknown").is_none());
}

/// Guards against a random policy whose decisions are not reproducible.
#[test]
fn random_decisions_follow_the_seed() {
    let pending: Vec<PendingTask> = (0..20).map(|i| batch(&format!("p{i}"), "blue", 1)).collect();
    let workers: Vec<Worker> = (0..20).map(|i| support::worker(&format!("w{i:02}"))).collect();
    let mut seen = Vec::new();
    for seed in [1, 1, 2] {
        let mut policy = pier_policy::by_name("random").expect("it is registered");
        policy.configure(&pier_policy::Settings { seed, ..Default::default() });
        seen.push(support::decide(policy.as_mut(), &pending, &workers, &support::two_teams()));
    }
    assert_eq!(seen[0], seen[1]);
    assert_ne!(seen[0], seen[2]);
}
