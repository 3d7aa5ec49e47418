//! The cost of the reducers of eight hosts by number of workers, teams and running tasks.
//!
//! The cell runs with a virtual clock and without faults. The time is that of the reducers alone.
//! The bytes are given twice: those of the messages as JSON, and those with what the connections
//! add, which a test of `pier-link` measures on real connections. Every row is the mean of one host
//! over the measured span, after the cell has started everything. `PIER_LAST=1` measures the
//! largest size only, `PIER_DETAILS=1` prints the details of every size.

#[allow(dead_code, reason = "the measurement uses a part of the harness")]
#[path = "../tests/cell/mod.rs"]
mod cell;

use std::time;

use cell::{load, meter, scenario};

const HOSTS: usize = 8;
const SEED: u64 = 1;
/// Everything that is declared has started by then.
const WARM_UP: time::Duration = time::Duration::from_secs(60);
const STEP: time::Duration = time::Duration::from_secs(1);
const SPAN: time::Duration = time::Duration::from_secs(30);

#[derive(Clone, Copy)]
struct Size {
    workers: usize,
    teams: usize,
    running: usize,
    starts_per_s: u32,
}

/// Each dimension is varied alone from the largest size, and the last row is that size.
const SIZES: [Size; 9] = [
    Size { workers: 50, teams: 6, running: 290, starts_per_s: 4 },
    Size { workers: 285, teams: 100, running: 1_650, starts_per_s: 19 },
    Size { workers: 570, teams: 6, running: 3_300, starts_per_s: 38 },
    Size { workers: 570, teams: 100, running: 3_300, starts_per_s: 38 },
    Size { workers: 570, teams: 200, running: 330, starts_per_s: 38 },
    Size { workers: 570, teams: 200, running: 1_650, starts_per_s: 38 },
    Size { workers: 570, teams: 200, running: 3_300, starts_per_s: 2 },
    Size { workers: 570, teams: 200, running: 3_300, starts_per_s: 19 },
    Size { workers: 570, teams: 200, running: 3_300, starts_per_s: 38 },
];

fn measure(size: Size, details: bool) {
    let profile = load::Profile {
        teams: size.teams,
        workers_per_rack: 6,
        interval: time::Duration::from_secs(1) / size.starts_per_s,
        end: WARM_UP + SPAN,
        request_run_ms: 600,
        replicas: size.running,
        team_slots: 10_000,
        task_lease: pier_state::Options::default().task_lease,
    };
    let scenario =
        scenario::Scenario { seed: SEED, hosts: HOSTS, workers: size.workers, faults: Vec::new() };
    let mut cell = cell::Cell::with_profile(scenario, profile);
    run(&mut cell, WARM_UP);
    cell.meter = Some(meter::Meter::default());
    let starts_before = cell.checks.total_starts;
    run(&mut cell, WARM_UP + SPAN);
    let starts = cell.checks.total_starts - starts_before;
    let running: usize = cell.workers.values().map(|worker| worker.runs.len()).sum();
    let mut meter = cell.meter.take().expect("the meter was set");
    let hosts = u32::try_from(HOSTS).expect("few hosts");
    let span = SPAN * hosts;
    let core_percent = meter.total().as_secs_f64() / span.as_secs_f64() * 100.0;
    let sent = meter.total_sent();
    println!(
        "{:>7} {:>5} {:>7} {:>8.1} | {:>6.2} | {:>7.0} {:>7.0} {:>8.0} | {:>8.1} {:>8.1}",
        size.workers,
        size.teams,
        running,
        per_second(starts, 1),
        core_percent,
        micros(meter.percentile(500)),
        micros(meter.percentile(990)),
        micros(meter.percentile(1_000)),
        per_second(sent.bytes, hosts) / 1_000.0,
        per_second(sent.wire_bytes, hosts) / 1_000.0,
    );
    for violation in &cell.checks.violations {
        println!("  broken: {violation}");
    }
    if !details {
        return;
    }
    println!("  cost of a step, for one host a second:");
    for (kind, cost) in &meter.steps {
        println!(
            "    {kind:<18} {:>8.1} steps {:>9.1} us, longest {:>8.1} us",
            per_second(cost.count, hosts),
            micros(cost.total) / f64::from(hosts) / SPAN.as_secs_f64(),
            micros(cost.longest),
        );
    }
    println!("  traffic, for one host a second:");
    for (kind, traffic) in &meter.sent {
        println!(
            "    {kind:<18} {:>8.1} messages {:>9.1} bytes {:>9.1} on the connection",
            per_second(traffic.count, hosts),
            per_second(traffic.bytes, hosts),
            per_second(traffic.wire_bytes, hosts),
        );
    }
}

fn run(cell: &mut cell::Cell, end: time::Duration) {
    while cell.now < end {
        cell.record_limits();
        let until = cell.now + STEP;
        cell.run_until(until);
    }
}

fn per_second(count: u64, hosts: u32) -> f64 {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    f64::from(count) / f64::from(hosts) / SPAN.as_secs_f64()
}

fn micros(duration: time::Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

fn main() {
    println!(
        "workers teams running starts/s | core % | step p50 p99 max (us)    | KB/s, on the connection"
    );
    if std::env::var_os("PIER_LAST").is_some() {
        measure(SIZES[SIZES.len() - 1], true);
        return;
    }
    let last = SIZES.len() - 1;
    for (index, size) in SIZES.iter().enumerate() {
        measure(*size, index == last || std::env::var_os("PIER_DETAILS").is_some());
    }
}
