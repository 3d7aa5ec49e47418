//! Learned run times of queues.

use std::time;

use pier_core::ids;
use pier_load::run_times::RunTimes;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn queue() -> ids::QueueId {
    "queue".into()
}

fn seconds(amount: f64) -> time::Duration {
    time::Duration::from_secs_f64(amount)
}

/// The run time of a task and its estimate, which is off by up to 0.9 of the true value.
fn task(rng: &mut StdRng) -> (time::Duration, time::Duration) {
    let took = rng.random_range(3.0..5.0);
    (seconds(took), seconds(took * rng.random_range(0.1..1.9)))
}

fn log_error(expected: time::Duration, took: time::Duration) -> f64 {
    (expected.as_secs_f64() / took.as_secs_f64()).ln().abs()
}

/// Guards against expected run times that are as wrong as the callers' estimates.
#[test]
fn run_times_are_learned_from_wrong_estimates() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut run_times = RunTimes::default();
    let (mut of_estimates, mut of_expected) = (0.0, 0.0);
    for run in 0..600 {
        let (took, estimate) = task(&mut rng);
        if run >= 200 {
            of_estimates += log_error(estimate, took);
            of_expected += log_error(run_times.expected("queue", estimate), took);
        }
        run_times.record(&queue(), estimate, took);
    }
    assert!(of_expected < of_estimates * 0.4, "{of_expected}, estimates {of_estimates}");
}

/// Guards against run times that follow a single run, and against an estimate that is replaced
/// before there are any.
#[test]
fn few_runs_change_little() {
    let mut run_times = RunTimes::default();
    assert_eq!(run_times.expected("queue", seconds(2.0)), seconds(2.0));
    run_times.record(&queue(), seconds(1.0), seconds(50.0));
    let expected = run_times.expected("queue", seconds(1.0));
    assert!(expected > seconds(1.1) && expected < seconds(2.0), "{expected:?}");
    assert_eq!(run_times.expected("other", seconds(2.0)), seconds(2.0));
}

/// Guards against run times that keep to what was learned long ago, and against an estimate of zero,
/// which has no logarithm.
#[test]
fn older_runs_decay() {
    let mut run_times = RunTimes::default();
    for _ in 0..1_000 {
        run_times.record(&queue(), seconds(1.0), seconds(4.0));
    }
    for _ in 0..600 {
        run_times.record(&queue(), seconds(1.0), seconds(0.5));
    }
    let expected = run_times.expected("queue", seconds(1.0));
    assert!(expected > seconds(0.45) && expected < seconds(0.65), "{expected:?}");
    run_times.record(&queue(), time::Duration::ZERO, time::Duration::ZERO);
    assert!(run_times.expected("queue", time::Duration::ZERO) < seconds(4.0));
    assert!(run_times.expected("queue", time::Duration::MAX) > seconds(0.5));
}

/// Guards against quantiles that do not bound the run times that they stand for.
#[test]
fn quantiles_bound_run_times() {
    let mut rng = StdRng::seed_from_u64(2);
    let mut run_times = RunTimes::default();
    let (mut below_half, mut below_most) = (0, 0);
    for run in 0..1_200 {
        let (took, estimate) = task(&mut rng);
        if run >= 200 {
            below_half += i32::from(took <= run_times.quantile("queue", estimate, 0.5));
            below_most += i32::from(took <= run_times.quantile("queue", estimate, 0.9));
        }
        run_times.record(&queue(), estimate, took);
    }
    assert!((400..=600).contains(&below_half), "{below_half} of 1,000");
    assert!((850..=980).contains(&below_most), "{below_most} of 1,000");
}

/// Guards against a record that changes what was learned, and against one with values that no runs
/// can yield.
#[test]
fn values_are_restored() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut run_times = RunTimes::default();
    for _ in 0..300 {
        let (took, estimate) = task(&mut rng);
        run_times.record(&queue(), estimate, took);
    }
    let mut values = run_times.to_values();
    let restored = RunTimes::from_values(&values);
    let difference = log_error(
        restored.expected("queue", seconds(2.0)),
        run_times.expected("queue", seconds(2.0)),
    );
    assert!(difference < 0.001, "{difference}");
    for (index, value) in [(0, 1e9), (1, f32::NAN), (2, 80.0), (3, -1.0), (5, f32::INFINITY)] {
        let mut invalid = values[&queue()];
        invalid[index] = value;
        values.insert("invalid".into(), invalid);
        let restored = RunTimes::from_values(&values);
        assert_eq!(restored.expected("invalid", seconds(2.0)), seconds(2.0), "value {index}");
    }
}
