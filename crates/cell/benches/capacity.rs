//! Measures the processor time of a decider's step by the size of the cell. The hosts are real
//! state machines in simulated time; the time is measured around each step of the decider.
//!
//! `cargo bench -p pier-cell --bench capacity`

#[path = "../tests/sim/mod.rs"]
mod sim;

use pier_cell::declaration::AdviserTiming;
use rand::Rng;

use sim::{Sim, step};

/// Workers, hosts and jobs per second; a job has five tasks on average.
const SIZES: [(usize, usize, u64); 3] = [(48, 8, 40), (350, 44, 140), (570, 44, 8)];
const SECONDS: u64 = 20;

fn main() {
    println!(
        "workers hosts jobs/s | steps  mean us  p99 us  longest us | part of a core | starts/s"
    );
    for (workers, hosts, jobs_per_s) in SIZES {
        let mut sim = Sim::new(1, hosts, workers);
        let mut declaration = sim.declaration.clone();
        declaration.version = 2;
        for queue in &mut declaration.queues {
            queue.advice = Some(AdviserTiming {
                base: std::time::Duration::from_millis(100),
                per_worker: std::time::Duration::from_millis(1),
                validity: std::time::Duration::from_millis(1_500),
            });
        }
        sim.advice_ms = 150;
        sim.declare(declaration);
        sim.run_for(3_000);
        sim.step_durations.clear();
        let starts_before = sim.observed.starts;
        let mut count: u64 = 0;
        for _ in 0..SECONDS * jobs_per_s {
            let host = sim.rng.random_range(0..hosts);
            let tasks = sim.rng.random_range(1..10);
            let need = sim.rng.random_range(1..5);
            let mut steps = vec![step(tasks, need)];
            steps[0].gang = sim.rng.random_range(0..4) == 0;
            let queue = if sim.rng.random_range(0..2) == 0 { "urgent" } else { "batch" };
            count += 1;
            sim.submit(host, &format!("{count:016x}"), queue, steps);
            sim.run_for(1_000 / jobs_per_s);
        }
        let mut durations = std::mem::take(&mut sim.step_durations);
        durations.sort_unstable();
        let total: std::time::Duration = durations.iter().sum();
        let steps = durations.len().max(1);
        let mean = total / u32::try_from(steps).expect("few steps");
        let p99 = durations.get(steps * 99 / 100).copied().unwrap_or_default();
        let longest = durations.last().copied().unwrap_or_default();
        let span_s = f64::from(u32::try_from(sim.now_ms - 3_000).expect("a short time")) / 1_000.0;
        let starts = sim.observed.starts - starts_before;
        println!(
            "{workers:7} {hosts:5} {jobs_per_s:6} | {steps:6} {:7} {:7} {:11} | {:14.4} | {:.0}",
            mean.as_micros(),
            p99.as_micros(),
            longest.as_micros(),
            total.as_secs_f64() / span_s,
            f64::from(u32::try_from(starts).expect("few starts")) / span_s,
        );
    }
}
