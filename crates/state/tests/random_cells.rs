//! Simulations of random cells with two faults each: the guarantees hold, and the cell recovers.
//!
//! `PIER_SEEDS=first..end` selects the seeds; `PIER_TRACE=1` prints the events.

mod cell;

use std::collections;
use std::sync::atomic;
use std::thread;
use std::time;

use cell::scenario::Scenario;
use quickcheck::Arbitrary;

/// The seeds that every test run uses; among them are those that once failed.
const DEFAULT_SEEDS: std::ops::Range<u64> = 0..100;
/// The number of violations of a run that are shown.
const MAX_SHOWN_VIOLATIONS: usize = 3;
const STEP: time::Duration = time::Duration::from_secs(1);
/// The end of a run: by then every fault is over, every host is replaced, and there was time to
/// finish all work.
const END: time::Duration = time::Duration::from_secs(150);

fn run(scenario: Scenario) -> Result<(), String> {
    let mut cell = cell::Cell::new(scenario);
    let mut until = time::Duration::ZERO;
    while until < END {
        until += STEP;
        cell.record_limits();
        cell.run_until(until);
    }
    let now = cell.now;
    let requests = std::mem::take(&mut cell.load.requests);
    cell.checks.check_at_end(now, &requests);
    let mut violations = cell.checks.violations.clone();
    violations.extend(cell.unhealthy_hosts());
    violations.extend(cell.unfinished());
    // A run without any answer checks nothing.
    if cell.checks.answered == 0 {
        violations.push("no request was answered".to_owned());
    }
    let count = violations.len();
    violations.truncate(MAX_SHOWN_VIOLATIONS);
    if violations.is_empty() {
        Ok(())
    } else {
        Err(format!("{count} wrong: {}", violations.join("; ")))
    }
}

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("PIER_SEEDS") else {
        return DEFAULT_SEEDS;
    };
    let (first, end) = text.split_once("..").expect("PIER_SEEDS has the form first..end");
    first.parse().expect("a number")..end.parse().expect("a number")
}

/// Groups the seeds of the failures by their first violation.
fn group_by_kind(failures: &[(u64, String)]) -> collections::BTreeMap<String, Vec<u64>> {
    let mut kinds: collections::BTreeMap<String, Vec<u64>> = collections::BTreeMap::new();
    for (seed, reason) in failures {
        let first = reason.split_once(" wrong: ").map_or(reason.as_str(), |(_, first)| first);
        let kind = first.split(' ').find(|word| word.starts_with('P') && word.ends_with(':'));
        kinds.entry(kind.unwrap_or("other").to_owned()).or_default().push(*seed);
    }
    kinds
}

fn describe(seed: u64, reason: &str) -> String {
    let scenario = Scenario::from_seed(seed);
    let mut text = format!("seed {seed}: {reason}\n  {:?}", scenario.faults);
    for smaller in scenario.shrink() {
        let faults = format!("{:?}", smaller.faults);
        if let Err(reason) = run(smaller) {
            text.push_str(&format!("\n  also with {faults} alone: {reason}"));
        }
    }
    text
}

/// Guards against violations of the guarantees that two faults at once can cause.
#[test]
fn promises_hold_under_two_faults() {
    let seeds = seeds();
    let started = time::Instant::now();
    let next = atomic::AtomicU64::new(seeds.start);
    let threads = thread::available_parallelism().map_or(1, |n| n.get().min(8));
    let failures = std::sync::Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, atomic::Ordering::Relaxed);
                    if seed >= seeds.end {
                        break;
                    }
                    if let Err(reason) = run(Scenario::from_seed(seed)) {
                        failures.lock().expect("no thread panics").push((seed, reason));
                    }
                }
            });
        }
    });
    let mut failures = failures.into_inner().expect("no thread panics");
    failures.sort();
    let count = seeds.end - seeds.start;
    let rate = u128::from(count) * 1_000 / started.elapsed().as_millis().max(1);
    println!("{count} seeds, {} failed, {rate} seeds/s", failures.len());
    for (kind, seeds) in group_by_kind(&failures) {
        println!("  {kind}: {seeds:?}");
    }
    for (seed, reason) in failures.iter().take(5) {
        println!("{}", describe(*seed, reason));
    }
    let failed: Vec<u64> = failures.iter().map(|(seed, _)| *seed).collect();
    assert!(failed.is_empty(), "{} of {count} seeds failed: {failed:?}", failed.len());
}

/// Everything observable in a cell whose hosts have this wall clock.
fn observed_events(seed: u64, wall: cell::load::WallClock) -> String {
    let mut cell = cell::Cell::new(Scenario::from_seed(seed));
    cell.load.wall = wall;
    cell.run_until(END);
    let (checks, load) = (&cell.checks, &cell.load);
    assert!(checks.answered > 0, "no request was answered");
    format!(
        "{:?} {:?} {} {} {} {:?} {:?} {:?}",
        checks.violations,
        checks.starts,
        checks.answered,
        checks.refused,
        checks.unknown,
        load.accepted,
        load.ended,
        load.requests
    )
}

/// Guards against decisions that depend on the wall clock, which may step: with the same faults and
/// load, hosts whose wall clocks step behave the same as hosts whose wall clocks do not.
#[test]
fn steps_of_the_wall_clock_change_nothing() {
    use cell::load::WallClock;
    thread::scope(|scope| {
        for seed in 0..4 {
            scope.spawn(move || {
                let steady = observed_events(seed, WallClock::Steady);
                let is_same = steady == observed_events(seed, WallClock::Stepping);
                assert!(is_same, "the wall clock matters with seed {seed}");
            });
        }
    });
}

fn assert_seeds_pass(seeds: &[u64]) {
    for seed in seeds {
        if run(Scenario::from_seed(*seed)).is_err() {
            panic!("{}", describe(*seed, "it failed"));
        }
    }
}

/// Guards against an idempotency key that is lost, so that its request runs twice: a host that had
/// not yet begun the epoch passed its copy on to an earlier home and dropped it.
#[test]
fn keys_are_kept_by_hosts_that_begin_an_epoch_late() {
    assert_seeds_pass(&[6587, 8964, 9103]);
}

/// Guards against a service task that runs twice: one read of the log returned a declaration and an
/// epoch, and the new owner of the service assumed that it had never run.
#[test]
fn services_are_recovered_when_a_declaration_comes_with_an_epoch() {
    assert_seeds_pass(&[3428]);
}

/// Guards against a gang that never starts although its workers are back: its owner requested
/// resources for all of its tasks on a worker that takes one task at a time after failures.
#[test]
fn gangs_start_after_a_worker_was_away() {
    assert_seeds_pass(&[2687, 4226]);
}
