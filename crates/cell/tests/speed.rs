//! Speed estimates of workers, and placement by these estimates.

use std::time;

use pier_cell::job::Step;
use pier_cell::place::{self, AvailableWorker, SpeedTolerance};
use pier_cell::speed::{RunTimeModel, SpeedClass, WorkerSpeeds};
use pier_core::ids;
use pier_core::resources::Resources;
use pier_load::run_times::RunTimes;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

const WORKERS: usize = 12;
/// The slowdown of every third worker.
const SLOW_FACTOR: f64 = 1.3;
/// Speeds are learned without any part of load control, and with one.
const MODELS: [RunTimeModel; 2] = [RunTimeModel::MeanRatio, RunTimeModel::Learned];

fn true_slowdown(worker: usize) -> f64 {
    if worker % 3 == 2 { SLOW_FACTOR } else { 1.0 }
}

fn id(worker: usize) -> ids::WorkerId {
    format!("w{worker:02}").as_str().into()
}

fn seconds(amount: f64) -> time::Duration {
    time::Duration::from_secs_f64(amount)
}

fn queue() -> ids::QueueId {
    "queue".into()
}

fn cores(count: u64) -> Resources {
    Resources { cpu_milli: count * 1_000, memory_mb: 1_000, ..Resources::ZERO }
}

fn available_worker(worker: usize, free: u64, slowdown: f64) -> AvailableWorker {
    AvailableWorker {
        worker: id(worker),
        free: Resources { memory_mb: 100_000, ..cores(free) },
        capacity: Resources { memory_mb: 100_000, ..cores(16) },
        rack: Some(format!("r{}", worker % 2).as_str().into()),
        slowdown,
        spread_left: usize::MAX,
        is_reserved: false,
    }
}

/// Speeds learned from run times on every worker, with estimates that are off by a factor of the
/// queue and by a random factor.
fn estimated_speeds(model: RunTimeModel, rng: &mut StdRng, runs_each: usize) -> WorkerSpeeds {
    let mut speeds = WorkerSpeeds::new(model, RunTimes::default());
    for run in 0..runs_each {
        // The last runs end after five seconds. Each worker finishes two per second.
        let at_s = 5.0 - 0.5 * f64::from(u32::try_from(runs_each - run).expect("few runs"));
        for worker in 0..WORKERS {
            let took = 0.8 * true_slowdown(worker);
            let estimate = took / true_slowdown(worker) * 0.6 * rng.random_range(0.8..1.25);
            speeds.record_run_time(
                seconds(at_s.max(0.0)),
                &queue(),
                &id(worker),
                seconds(took),
                seconds(estimate),
            );
        }
    }
    speeds
}

/// Guards against slow workers that are not detected because run time estimates are inaccurate.
#[test]
fn slow_workers_are_detected() {
    for model in MODELS {
        let mut rng = StdRng::seed_from_u64(3);
        let speeds = estimated_speeds(model, &mut rng, 10);
        for worker in 0..WORKERS {
            let slowdown = speeds.slowdown(time::Duration::from_secs(6), &id(worker));
            let is_slow = SpeedClass::of(slowdown) > SpeedClass::Normal;
            let is_truly_slow = true_slowdown(worker) > 1.0;
            assert_eq!(is_slow, is_truly_slow, "{model:?}, worker {worker}: {slowdown}");
        }
    }
}

/// Guards against a worker that is avoided permanently after it was slow for a few seconds.
#[test]
fn speed_estimates_decay() {
    for model in MODELS {
        let mut speeds = estimated_speeds(model, &mut StdRng::seed_from_u64(4), 10);
        for _ in 0..3 {
            let at = time::Duration::from_secs(6);
            speeds.record_run_time(at, &queue(), &id(0), seconds(4.0), seconds(0.48));
        }
        let slowdown = |secs| speeds.slowdown(time::Duration::from_secs(secs), &id(0));
        let (soon, later) = (slowdown(7), slowdown(90));
        assert_eq!(SpeedClass::of(soon), SpeedClass::VerySlow, "{model:?}: {soon}");
        assert_eq!(SpeedClass::of(later), SpeedClass::Normal, "{model:?}: {later}");
    }
}

/// Guards against new work for a worker that responds while its tasks are stalled, and against a
/// worker that counts as stalled after it has recovered.
#[test]
fn a_stall_lasts_until_a_task_makes_progress() {
    let mut speeds = WorkerSpeeds::default();
    let now = time::Duration::from_secs(1);
    speeds.mark_stalled(now, &id(0));
    assert!(speeds.slowdown(now, &id(0)) > 100.0);
    speeds.clear_stall(&id(0));
    assert!(speeds.slowdown(now, &id(0)) < 1.1);
}

/// Simulates urgent and relaxed tasks on workers of unequal speed that run one task each. Returns
/// the fraction of urgent tasks that finish in time.
fn simulate(speeds: &WorkerSpeeds) -> f64 {
    let urgent =
        SpeedTolerance { max_slowdown: 1.6, avoids_fast_workers: false, cross_rack_slowdown: 1.0 };
    let relaxed =
        SpeedTolerance { max_slowdown: 4.0, avoids_fast_workers: true, cross_rack_slowdown: 1.0 };
    let now = time::Duration::from_secs(6);
    let step = Step { tasks: 1, need: cores(16), ..Step::default() };
    let mut rng = StdRng::seed_from_u64(6);
    let mut busy_until_ms = [0_u64; WORKERS];
    let (mut in_time, mut total) = (0_u32, 0_u32);
    for now_ms in (0..60_000_u64).step_by(100) {
        // Urgent tasks keep four workers busy and relaxed ones five, which is three quarters of the
        // cell.
        let due = [(now_ms % 200 == 0, &urgent, 800), (now_ms % 500 == 0, &relaxed, 2_500)];
        for (is_due, speed_tolerance, work_ms) in due {
            if !is_due {
                continue;
            }
            let mut workers = Vec::new();
            for (worker, until_ms) in busy_until_ms.iter().enumerate() {
                if now_ms >= *until_ms {
                    workers.push(available_worker(worker, 16, speeds.slowdown(now, &id(worker))));
                }
            }
            workers.shuffle(&mut rng);
            let placed = place::place(&step, 1, &Resources::MAX, speed_tolerance, &mut workers);
            let Some(chosen) = placed.first().map(|index| &workers[*index].worker) else {
                continue;
            };
            let worker = (0..WORKERS).find(|worker| id(*worker) == *chosen).expect("a worker");
            let took_ms = if true_slowdown(worker) > 1.0 { work_ms * 13 / 10 } else { work_ms };
            busy_until_ms[worker] = now_ms + took_ms;
            if work_ms == 800 {
                total += 1;
                in_time += u32::from(took_ms <= 900);
            }
        }
    }
    f64::from(in_time) / f64::from(total)
}

/// Guards against urgent tasks that run on slow workers while relaxed tasks use the fast ones, in a
/// cell where a third of the workers is slower.
#[test]
fn urgent_tasks_get_the_fast_workers() {
    let unknown = simulate(&WorkerSpeeds::default());
    assert!(unknown < 0.8, "the load does not tell placements apart: {unknown}");
    for model in MODELS {
        let known = simulate(&estimated_speeds(model, &mut StdRng::seed_from_u64(5), 10));
        assert!(known > 0.95, "{model:?}: {known} in time, {unknown} with speeds unknown");
    }
}

/// Guards against a gang that waits for its slowest member. Workers of equal speed are preferred.
#[test]
fn a_gang_prefers_workers_of_equal_speed() {
    let step = Step { tasks: 4, need: cores(8), gang: true, ..Step::default() };
    // Best fit alone would choose the fullest workers, which differ in speed.
    let mut workers = vec![
        available_worker(0, 8, 1.0),
        available_worker(1, 8, 1.3),
        available_worker(2, 16, 1.0),
        available_worker(3, 16, 1.0),
    ];
    let placed = place::place(&step, 4, &Resources::MAX, &SpeedTolerance::ANY, &mut workers);
    assert_eq!(placed.len(), 4);
    assert!(!placed.contains(&1), "{placed:?}");
}

/// Guards against a gang that is spread over racks although it fits on one, and against a gang that
/// waits for a rack forever.
#[test]
fn a_same_rack_gang_is_placed_on_one_rack() {
    let step = Step { tasks: 4, need: cores(8), gang: true, same_rack: true, ..Step::default() };
    let strict =
        SpeedTolerance { max_slowdown: 2.0, avoids_fast_workers: false, cross_rack_slowdown: 3.0 };
    let mut workers = vec![
        available_worker(0, 16, 1.0),
        available_worker(1, 16, 1.0),
        available_worker(2, 8, 1.0),
        available_worker(3, 16, 1.0),
    ];
    let placed = place::place(&step, 4, &Resources::MAX, &strict, &mut workers);
    assert_eq!(placed.len(), 4);
    assert!(placed.iter().all(|index| index % 2 == 1), "{placed:?}");
    let mut workers = vec![available_worker(0, 16, 1.0), available_worker(1, 16, 1.0)];
    assert!(place::place(&step, 4, &Resources::MAX, &strict, &mut workers).is_empty());
    assert_eq!(
        place::place(&step, 4, &Resources::MAX, &SpeedTolerance::ANY, &mut workers).len(),
        4
    );
}

/// Guards against tasks that are placed where they would certainly be late.
#[test]
fn a_step_waits_if_workers_exceed_its_slowdown_limit() {
    let step = Step { tasks: 1, need: cores(8), ..Step::default() };
    let speed_tolerance =
        SpeedTolerance { max_slowdown: 2.0, avoids_fast_workers: false, cross_rack_slowdown: 1.0 };
    let mut workers = vec![available_worker(0, 16, 4.5)];
    assert!(place::place(&step, 1, &Resources::MAX, &speed_tolerance, &mut workers).is_empty());
    assert_eq!(
        place::place(&step, 1, &Resources::MAX, &SpeedTolerance::ANY, &mut workers),
        vec![0]
    );
}
