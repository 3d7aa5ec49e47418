//! The duration of one decision of each policy, by number of workers and teams.
//!
//! Each worker runs eight tasks, and 200 tasks are pending.
//!
//! - `mixed`: every fifth worker has a free slot and every fifth pending task is urgent.
//! - `full`: no worker has a free slot and every pending task is urgent, so that each decision
//!   searches victims.
//! - `flood`: the cell of `mixed` with 10,000 pending tasks, nearly all of one team.
//! - `crowd`: the cell of `mixed` with 10,000 pending tasks of all teams.

use std::fs;
use std::hint;
use std::time;

use criterion::{Criterion, criterion_group, criterion_main};
use pier_core::{ids, resources, task};
use pier_policy::{Backlog, PendingTask, RunningTask, Team, View, Worker};

const NOW: time::Duration = time::Duration::from_secs(10_000);
const RUNNING_PER_WORKER: usize = 8;
const PENDING: usize = 200;
const PENDING_FLOOD: usize = 10_000;
const CASES: [Case; 4] = [Case::Mixed, Case::Full, Case::Flood, Case::Crowd];
const CLASSES: [task::Class; 5] = [
    task::Class::Urgent,
    task::Class::Service,
    task::Class::Batch,
    task::Class::Gang,
    task::Class::Batch,
];

/// The pending tasks and the utilization of the cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Case {
    Mixed,
    Full,
    Flood,
    Crowd,
}

impl Case {
    fn name(self) -> &'static str {
        match self {
            Self::Mixed => "mixed",
            Self::Full => "full",
            Self::Flood => "flood",
            Self::Crowd => "crowd",
        }
    }
}

/// The owned parts of a view.
struct Cell {
    pending: Backlog,
    workers: Vec<Worker>,
    teams: Vec<Team>,
    cell_total: resources::Resources,
}

impl Cell {
    fn view(&self) -> View<'_> {
        View {
            now: NOW,
            pending: &self.pending,
            workers: &self.workers,
            teams: &self.teams,
            cell_total: self.cell_total,
        }
    }
}

fn secs(seconds: usize) -> time::Duration {
    time::Duration::from_secs(u64::try_from(seconds).expect("it is small"))
}

fn number(index: usize) -> u64 {
    u64::try_from(index).expect("it is small")
}

fn team_name(index: usize) -> ids::TeamId {
    format!("team{index:03}").into()
}

fn size(index: usize) -> resources::Resources {
    resources::Resources {
        cpu_milli: 500 + 250 * number(index % 7),
        memory_mb: 1_000 + 500 * number(index % 5),
        accelerators: 0,
        slots: 1,
        connections: number(index % 3),
    }
}

fn worker(index: usize, teams: usize, case: Case) -> Worker {
    let total = resources::Resources {
        cpu_milli: 16_000,
        memory_mb: 64_000,
        accelerators: if index.is_multiple_of(2) { 4 } else { 0 },
        slots: 9,
        connections: 64,
    };
    let mut running = Vec::new();
    let mut free = total;
    for task in 0..RUNNING_PER_WORKER {
        let seed = index * RUNNING_PER_WORKER + task;
        let resources = size(seed);
        free = free.minus(&resources);
        running.push(RunningTask {
            task: format!("running{seed}").into(),
            job: Some(format!("job{}", seed % 500).into()),
            team: team_name(seed % teams),
            class: if seed.is_multiple_of(5) { task::Class::Service } else { task::Class::Batch },
            resources,
            started: NOW - secs(seed % 900),
            ends: Some(NOW + secs(seed % 300)),
            checkpoint_interval: secs(seed % 3 * 60),
            repeatable: true,
            preemption_requested: false,
        });
    }
    if case == Case::Full || !index.is_multiple_of(5) {
        free.slots = 0;
    }
    Worker {
        worker: format!("worker{index:04}").into(),
        availability_zone: format!("zone{}", index % 4).into(),
        rack: format!("rack{}", index / 6).into(),
        total,
        free,
        schedulable: true,
        failures: 0,
        running,
    }
}

fn pending(index: usize, teams: usize, case: Case) -> PendingTask {
    let class = match case {
        Case::Full => task::Class::Urgent,
        Case::Mixed | Case::Flood | Case::Crowd => CLASSES[index % CLASSES.len()],
    };
    let flooding = case == Case::Flood && index >= PENDING;
    let team = if flooding { 0 } else { index * 7 % teams };
    PendingTask {
        task: format!("pending{index}").into(),
        job: (class != task::Class::Urgent).then(|| format!("job{}", index % 40).into()),
        team: team_name(team),
        class,
        resources: size(index),
        arrived: NOW - secs(index % 20),
        start_by: (class == task::Class::Urgent).then(|| NOW + secs(2)),
        deadline: index.is_multiple_of(3).then(|| NOW + secs(index)),
        run_estimate: secs(30),
    }
}

fn cell(workers: usize, teams: usize, case: Case) -> Cell {
    let workers: Vec<Worker> = (0..workers).map(|index| worker(index, teams, case)).collect();
    let mut cell_total = resources::Resources::ZERO;
    for worker in &workers {
        cell_total = cell_total.plus(&worker.total);
    }
    let mut list = Vec::new();
    for index in 0..teams {
        list.push(Team {
            team: team_name(index),
            share: 1 + u32::try_from(index % 4).expect("it is small"),
            used: size(index).scaled(20, 1),
            decayed_ppm: number(index * 7_919 % 10_000),
            headroom: resources::Resources::MAX,
        });
    }
    let flooded = matches!(case, Case::Flood | Case::Crowd);
    let count = if flooded { PENDING_FLOOD } else { PENDING };
    let mut backlog = Backlog::default();
    for index in 0..count {
        backlog.push(pending(index, teams, case));
    }
    Cell { pending: backlog, workers, teams: list, cell_total }
}

fn decide(criterion: &mut Criterion) {
    for case in CASES {
        let mut group = criterion.benchmark_group(format!("decide/{}", case.name()));
        for name in pier_policy::NAMES {
            for workers in [50, 285, 570] {
                for teams in [6, 200] {
                    let cell = cell(workers, teams, case);
                    let id = format!("{name}/{workers} workers/{teams} teams");
                    group.bench_function(id, |bencher| {
                        // Each decision needs a new policy, because a policy remembers its
                        // preemptions.
                        bencher.iter_batched_ref(
                            || pier_policy::by_name(name).expect("the policy is registered"),
                            |policy| hint::black_box(policy.decide(&cell.view())),
                            criterion::BatchSize::SmallInput,
                        );
                    });
                }
            }
        }
        group.finish();
    }
    report_percentiles();
}

/// The number of involuntary context switches of this thread; zero if the system does not report
/// it.
fn involuntary_switches() -> u64 {
    let status = fs::read_to_string("/proc/thread-self/status").unwrap_or_default();
    for line in status.lines() {
        if let Some(count) = line.strip_prefix("nonvoluntary_ctxt_switches:") {
            return count.trim().parse().unwrap_or_default();
        }
    }
    0
}

/// The 99th percentile of sorted durations.
fn percentile_99(times: &[time::Duration]) -> time::Duration {
    times.get(times.len() * 99 / 100).copied().unwrap_or_default()
}

/// Prints percentiles, which criterion does not report. On a shared machine the percentiles of all
/// decisions mostly show how long other processes occupied the processor, so they are also computed
/// over the decisions without an involuntary context switch.
fn report_percentiles() {
    const RUNS: usize = 2_000;
    for case in CASES {
        let name = case.name();
        for workers in [50, 285, 570] {
            for teams in [6, 200] {
                let cell = cell(workers, teams, case);
                let mut times = Vec::with_capacity(RUNS);
                let mut undisturbed = Vec::with_capacity(RUNS);
                for _ in 0..RUNS {
                    let mut policy = pier_policy::by_name("fair").expect("it is registered");
                    let before = involuntary_switches();
                    let started_at = time::Instant::now();
                    hint::black_box(policy.decide(&cell.view()));
                    let elapsed = started_at.elapsed();
                    times.push(elapsed);
                    if involuntary_switches() == before {
                        undisturbed.push(elapsed);
                    }
                }
                times.sort_unstable();
                undisturbed.sort_unstable();
                let (median, p99) = (times[RUNS / 2], percentile_99(&times));
                let (count, undisturbed_p99) = (undisturbed.len(), percentile_99(&undisturbed));
                println!(
                    "fair/{name}/{workers} workers/{teams} teams: median {median:?}, p99 {p99:?}, \
                     largest {:?}; p99 of {count} undisturbed {undisturbed_p99:?}",
                    times[RUNS - 1]
                );
            }
        }
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .warm_up_time(time::Duration::from_millis(300))
        .measurement_time(time::Duration::from_secs(1));
    targets = decide
}
criterion_main!(benches);
