//! Simulations with many seeds.

/// The number of seeds without `PIER_CELL_SEEDS`.
const DEFAULT_SEEDS: u64 = 24;

/// Runs a simulation with the seeds of `PIER_CELL_SEEDS`, or with a few.
pub fn run_seeds(run: impl Fn(u64) + std::panic::RefUnwindSafe) {
    run_seeds_or(DEFAULT_SEEDS, run);
}

/// Runs a simulation with the seeds of `PIER_CELL_SEEDS`, or with this many.
pub fn run_seeds_or(count: u64, run: impl Fn(u64) + std::panic::RefUnwindSafe) {
    if std::env::var("PIER_CELL_TRACE").is_ok() {
        let lines = tracing_subscriber::fmt().without_time().with_ansi(false).with_target(false);
        // Another test may already have installed a subscriber.
        let _ = lines.try_init();
    }
    let seeds = match std::env::var("PIER_CELL_SEEDS") {
        Ok(range) => {
            let (first, end) = range.split_once("..").expect("FIRST..END");
            first.parse().expect("a seed")..end.parse().expect("a seed")
        }
        Err(_) => 0..count,
    };
    let mut failed = Vec::new();
    for seed in seeds {
        let result = std::panic::catch_unwind(|| run(seed));
        if result.is_err() {
            failed.push(seed);
        }
    }
    assert_eq!(failed, Vec::<u64>::new(), "seeds that failed");
}
