//! What no decision of any policy may do, over random views.

mod support;

use std::collections;

use pier_core::{resources, task};
use pier_policy::{Decision, PendingTask, RunningTask, Team, View, Worker};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use support::{NOW, batch, batch_running, cores, secs, team, worker_in};

/// The size and the seed of the random cases: every run of the checks draws the same ones.
const GEN_SIZE: usize = 100;
const SEED: u64 = 1;

/// A random view.
#[derive(Debug, Clone)]
struct Case {
    pending: Vec<PendingTask>,
    workers: Vec<Worker>,
    teams: Vec<Team>,
}

fn pick(source: &mut Gen, below: u64) -> u64 {
    u64::arbitrary(source) % below
}

fn class(source: &mut Gen) -> task::Class {
    let classes =
        [task::Class::Urgent, task::Class::Service, task::Class::Batch, task::Class::Gang];
    *source.choose(&classes).expect("there are classes")
}

fn need(source: &mut Gen) -> resources::Resources {
    let accelerators = pick(source, 8) / 7;
    resources::Resources { accelerators, connections: pick(source, 3), ..cores(pick(source, 17)) }
}

fn random_team(source: &mut Gen) -> String {
    // The last of them is not in the view.
    (*source.choose(&["blue", "green", "red", "undeclared"]).expect("there are teams")).to_owned()
}

impl Arbitrary for Case {
    fn arbitrary(source: &mut Gen) -> Self {
        let mut workers = Vec::new();
        for index in 0..pick(source, 6) {
            let zone = format!("z{}", pick(source, 2));
            let rack = format!("r{}", pick(source, 2));
            let mut worker = worker_in(&format!("w{index}"), &zone, &rack);
            worker.total.accelerators = pick(source, 3);
            worker.free = worker.total;
            worker.schedulable = pick(source, 5) > 0;
            worker.failures = u32::try_from(pick(source, 4) / 3).expect("it is small");
            for number in 0..pick(source, 5) {
                let resources = need(source);
                if !resources.fits_in(&worker.free) {
                    continue;
                }
                let running = RunningTask {
                    class: class(source),
                    team: random_team(source).into(),
                    resources,
                    started: NOW - secs(pick(source, 100)),
                    checkpoint_interval: secs(pick(source, 3) * 10),
                    repeatable: pick(source, 4) > 0,
                    preemption_requested: pick(source, 4) == 0,
                    ..batch_running(&format!("w{index}-{number}"), 0)
                };
                support::run(&mut worker, running);
            }
            workers.push(worker);
        }
        let mut pending = Vec::new();
        for index in 0..pick(source, 30) {
            let class = class(source);
            let bound =
                |source: &mut Gen| (pick(source, 2) == 0).then(|| NOW + secs(pick(source, 100)));
            pending.push(PendingTask {
                class,
                resources: need(source),
                arrived: NOW - secs(pick(source, 100)),
                start_by: bound(source),
                deadline: bound(source),
                run_estimate: secs(pick(source, 100)),
                ..batch(&format!("p{index}"), &random_team(source), 0)
            });
        }
        let mut teams = Vec::new();
        for name in ["blue", "green", "red"] {
            let share = u32::try_from(pick(source, 4)).expect("it is small");
            let room = need(source).scaled(pick(source, 6), 1);
            teams.push(Team { headroom: room, ..team(name, share, pick(source, 1_000_000)) });
        }
        Self { pending, workers, teams }
    }
}

/// Checks the decisions of one policy.
fn check(name: &str, case: &Case, decisions: &[Decision]) -> std::result::Result<(), String> {
    let mut free: Vec<_> = case.workers.iter().map(|worker| worker.free).collect();
    let mut rooms: collections::BTreeMap<_, _> =
        case.teams.iter().map(|team| (team.team.clone(), team.headroom)).collect();
    let mut decided = collections::BTreeSet::new();
    let mut yielded = collections::BTreeSet::new();
    let mut started_on = vec![0; case.workers.len()];
    for decision in decisions {
        match decision {
            Decision::Start { pending, worker } => {
                let task = &case.pending[*pending];
                let on = &case.workers[*worker];
                if !decided.insert(*pending) {
                    return Err(format!("{name}: task {pending} is decided twice"));
                }
                if !on.schedulable {
                    return Err(format!("{name}: worker {worker} is closed"));
                }
                started_on[*worker] += 1;
                if on.failures > 0 && started_on[*worker] > 1 {
                    return Err(format!("{name}: worker {worker} fails and gets a second task"));
                }
                if !task.resources.fits_in(&free[*worker]) {
                    return Err(format!("{name}: worker {worker} has no room for {pending}"));
                }
                free[*worker] = free[*worker].minus(&task.resources);
                let Some(room) = rooms.get_mut(&task.team) else {
                    continue;
                };
                if !task.resources.fits_in(room) {
                    return Err(format!("{name}: team {} has no room", task.team));
                }
                *room = room.minus(&task.resources);
            }
            Decision::Refuse { pending, .. } => {
                if !decided.insert(*pending) {
                    return Err(format!("{name}: task {pending} is decided twice"));
                }
            }
            Decision::Preempt { worker, running, .. } => {
                let task = &case.workers[*worker].running[*running];
                if task.preemption_requested || !yielded.insert((*worker, *running)) {
                    return Err(format!("{name}: task {} is asked twice", task.task));
                }
                if !task.repeatable {
                    return Err(format!("{name}: {} may not run again", task.task));
                }
                if task.class != task::Class::Batch {
                    return Err(format!("{name}: {} work is made to yield", task.class));
                }
            }
        }
    }
    Ok(())
}

/// Guards against decisions that exceed what a worker or a team has, that use a closed worker, or
/// that start a task twice.
#[test]
fn decisions_stay_within_room() {
    fn holds(case: Case) -> quickcheck::TestResult {
        for name in pier_policy::NAMES {
            let mut policy = pier_policy::by_name(name).expect("the policy is registered");
            // The second decision meets what the policy remembers of the first one.
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
        .quickcheck(holds as fn(Case) -> quickcheck::TestResult);
}

/// Guards against a declaration that names a policy that is not there.
#[test]
fn policies_are_registered_under_their_names() {
    for name in pier_policy::NAMES {
        assert_eq!(pier_policy::by_name(name).expect("it is registered").name(), name);
    }
    assert!(pier_policy::by_name("unknown").is_none());
}

/// Guards against a policy whose decisions cannot be repeated.
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
