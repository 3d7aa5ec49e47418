//! The duration of building a forecast, which each scheduling pass does once, and of a lookup, which
//! each submission does.
//!
//! Workers have 32 or 64 cores and run 3,000 tasks. A third of the waiting steps are gangs.

use std::hint;
use std::time;

use criterion::{Criterion, criterion_group, criterion_main};
use pier_core::resources::Resources;
use pier_load::forecast::{Forecast, Pool, WaitingWork};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const NOW: time::Duration = time::Duration::from_secs(1_000);
const RUNNING: usize = 3_000;
/// The numbers of workers and of waiting steps.
const SIZES: [(u64, usize); 4] = [(350, 500), (350, 2_000), (570, 500), (570, 2_000)];
/// The number of builds and of lookups whose percentiles are reported.
const RUNS: usize = 2_000;

fn need(rng: &mut StdRng) -> Resources {
    let cpu_milli = rng.random_range(1_000..9_000);
    Resources { cpu_milli, memory_mb: cpu_milli, ..Resources::ZERO }
}

fn work(rng: &mut StdRng) -> WaitingWork {
    let is_gang = rng.random_bool(0.33);
    WaitingWork {
        need: need(rng),
        tasks: rng.random_range(1..if is_gang { 40 } else { 50 }),
        is_gang,
        run_time: time::Duration::from_millis(rng.random_range(300..6_000)),
        earliest: time::Duration::ZERO,
        is_follow_up: rng.random_bool(0.2),
    }
}

fn cell(rng: &mut StdRng, workers: u64, waiting: usize) -> (Pool, Vec<WaitingWork>) {
    let cores = workers * 48;
    let capacity =
        Resources { cpu_milli: cores * 1_000, memory_mb: cores * 2_000, ..Resources::ZERO };
    let mut pool = Pool { capacity, unusable: capacity.scaled(7, 100), ..Pool::default() };
    pool.free = pool.capacity;
    for _ in 0..RUNNING {
        let need = need(rng);
        pool.free = pool.free.minus(&need);
        let end = NOW + time::Duration::from_millis(rng.random_range(1..6_000));
        pool.ends.push((end, need));
    }
    let mut steps = Vec::with_capacity(waiting);
    for _ in 0..waiting {
        steps.push(work(rng));
    }
    (pool, steps)
}

fn forecast(criterion: &mut Criterion) {
    let mut rng = StdRng::seed_from_u64(1);
    for (workers, waiting) in SIZES {
        let (pool, steps) = cell(&mut rng, workers, waiting);
        let name = format!("{workers} workers/{waiting} steps");
        criterion.bench_function(&format!("build/{name}"), |bencher| {
            bencher.iter(|| Forecast::new(NOW, &pool, hint::black_box(&steps)));
        });
        let built = Forecast::new(NOW, &pool, &steps);
        let query = work(&mut rng);
        criterion.bench_function(&format!("lookup/{name}"), |bencher| {
            bencher.iter(|| built.start_after(hint::black_box(waiting / 2), &query));
        });
        report_percentiles(&name, &pool, &steps, &mut rng);
    }
}

/// Prints percentiles, which criterion does not report.
fn report_percentiles(name: &str, pool: &Pool, steps: &[WaitingWork], rng: &mut StdRng) {
    let built = Forecast::new(NOW, pool, steps);
    let mut queries = Vec::with_capacity(RUNS);
    for _ in 0..RUNS {
        queries.push((rng.random_range(0..steps.len()), work(rng)));
    }
    let mut builds = Vec::with_capacity(RUNS);
    let mut lookups = Vec::with_capacity(RUNS);
    for (position, query) in &queries {
        let started_at = time::Instant::now();
        hint::black_box(Forecast::new(NOW, pool, steps));
        builds.push(started_at.elapsed());
        let started_at = time::Instant::now();
        hint::black_box(built.start_after(*position, query));
        lookups.push(started_at.elapsed());
    }
    for (kind, mut times) in [("build", builds), ("lookup", lookups)] {
        times.sort_unstable();
        let (median, p99) = (times[RUNS / 2], times[RUNS * 99 / 100]);
        println!("{kind}/{name}: median {median:?}, p99 {p99:?}, largest {:?}", times[RUNS - 1]);
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().without_plots().sample_size(20);
    targets = forecast
}
criterion_main!(benches);
