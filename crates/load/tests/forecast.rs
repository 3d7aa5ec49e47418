//! Forecasts of the starts of waiting steps.

use std::time;

use pier_core::resources::Resources;
use pier_load::forecast::{Correction, Forecast, Pool, WaitingWork};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const NOW: time::Duration = time::Duration::from_secs(100);

fn cores(count: u64) -> Resources {
    Resources { cpu_milli: count * 1_000, ..Resources::ZERO }
}

fn after(millis: u64) -> time::Duration {
    NOW + time::Duration::from_millis(millis)
}

fn work(tasks: usize, need: u64, run_ms: u64) -> WaitingWork {
    WaitingWork {
        need: cores(need),
        tasks,
        is_gang: false,
        run_time: time::Duration::from_millis(run_ms),
        earliest: time::Duration::ZERO,
        is_follow_up: false,
    }
}

fn gang(tasks: usize, need: u64, run_ms: u64) -> WaitingWork {
    WaitingWork { is_gang: true, ..work(tasks, need, run_ms) }
}

/// A full pool of which one core becomes free every 20 ms.
fn pool(capacity: u64) -> Pool {
    let mut pool = Pool { capacity: cores(capacity), ..Pool::default() };
    for index in 1..=capacity {
        pool.ends.push((after(index * 20), cores(1)));
    }
    pool
}

/// Plays single cores through in steps of a millisecond. Returns when all tasks of each step have
/// started, in milliseconds.
fn play(pool: &Pool, waiting: &[WaitingWork]) -> Vec<u64> {
    let mut ends: Vec<(time::Duration, Resources)> = pool.ends.clone();
    let mut free = pool.free;
    let mut starts = Vec::new();
    let mut now_ms = 0;
    for work in waiting {
        let mut left = work.tasks;
        loop {
            ends.retain(|(end, need)| {
                let has_ended = *end <= after(now_ms);
                if has_ended {
                    free = free.plus(need);
                }
                !has_ended
            });
            let whole = work.need.scaled(u64::try_from(left).expect("few"), 1);
            while left > 0 && work.need.fits_in(&free) && (!work.is_gang || whole.fits_in(&free)) {
                let count = if work.is_gang { left } else { 1 };
                for _ in 0..count {
                    free = free.minus(&work.need);
                    ends.push((after(now_ms) + work.run_time, work.need));
                }
                left -= count;
            }
            if left == 0 {
                break;
            }
            now_ms += 1;
        }
        starts.push(now_ms);
    }
    starts
}

/// Guards against forecasts that differ from what happens when each step starts in its order, and
/// from the place that a step would have had in the list.
#[test]
fn forecasts_match_a_simulation() {
    let mut rng = StdRng::seed_from_u64(1);
    for case in 0..40 {
        let mut full = Pool { capacity: cores(60), ..Pool::default() };
        for _ in 0..20 {
            full.ends.push((after(rng.random_range(1..4_000)), cores(3)));
        }
        let mut waiting = Vec::new();
        for _ in 0..25 {
            let (tasks, need) = (rng.random_range(1..8), rng.random_range(1..6));
            let run_ms = rng.random_range(200..3_000);
            let is_gang = rng.random_bool(0.4);
            waiting.push(WaitingWork { is_gang, ..work(tasks, need, run_ms) });
        }
        let forecast = Forecast::new(NOW, &full, &waiting);
        let mut last = vec![time::Duration::ZERO; waiting.len()];
        for start in forecast.starts() {
            last[start.index] = start.at;
        }
        for (index, played_ms) in play(&full, &waiting).into_iter().enumerate() {
            let (at, played) = (last[index], after(played_ms));
            // Each round of work adds up to the spacing of the grid.
            let tolerance = time::Duration::from_millis(80 + played_ms * 6 / 100);
            assert!(at.abs_diff(played) <= tolerance, "case {case}: {index} at {at:?}, {played:?}");
            let found = forecast.start_after(index, &waiting[index]).expect("it fits");
            if waiting[index].is_gang {
                assert_eq!(found, at, "case {case}: {index}");
            }
        }
    }
}

/// Guards against a step that is told to start before what ranks ahead of it, and against one that
/// waits for what ranks behind it.
#[test]
fn only_work_ahead_delays_a_step() {
    let waiting = [work(10, 1, 5_000), work(20, 1, 5_000)];
    let forecast = Forecast::new(NOW, &pool(40), &waiting);
    let next = work(5, 1, 100);
    assert_eq!(forecast.start_after(0, &next), Some(after(100)));
    assert_eq!(forecast.start_after(1, &next), Some(after(300)));
    assert_eq!(forecast.start_after(2, &next), Some(after(700)));
    let behind_more = forecast.start_behind(1, &cores(10), &next);
    assert_eq!(behind_more, Some(after(500)), "ten more cores rank ahead");
}

/// Guards against a gang that is told to start when a part of it fits, and against one that is told
/// to start although it never fits.
#[test]
fn a_gang_starts_as_a_whole() {
    let mut pool = pool(40);
    pool.unusable = cores(8);
    let forecast = Forecast::new(NOW, &pool, &[]);
    assert_eq!(forecast.start_after(0, &work(1, 1, 100)), Some(after(180)));
    assert_eq!(forecast.start_after(0, &gang(10, 2, 100)), Some(after(560)));
    // It fits only if it may use all of the capacity.
    assert_eq!(forecast.start_after(0, &gang(10, 4, 100)), Some(after(800)));
    assert_eq!(forecast.start_after(0, &gang(11, 4, 100)), None);
    // Tasks that need not start together take turns.
    let rounds = forecast.start_after(0, &work(80, 1, 1_000)).expect("it fits");
    assert!(rounds > after(2_000), "{rounds:?}");
}

/// Guards against a step that waits for its account's limit and keeps work behind it from starting,
/// and against one whose later use of the workers is forgotten.
#[test]
fn a_step_that_may_not_start_yet_delays_nothing_before() {
    let limited = WaitingWork { earliest: after(400), ..work(20, 1, 800) };
    let forecast = Forecast::new(NOW, &pool(40), &[limited]);
    assert_eq!(forecast.start_after(1, &work(5, 1, 100)), Some(after(100)));
    assert_eq!(forecast.start_after(1, &work(30, 1, 100)), Some(after(1_200)));
    assert_eq!(forecast.start_after(0, &work(30, 1, 100)), Some(after(600)));
    // The second step of a job follows the first one.
    let second = WaitingWork { is_follow_up: true, ..work(30, 1, 5_000) };
    let forecast = Forecast::new(NOW, &pool(40), &[work(10, 1, 200), second]);
    let later = forecast.starts().last().expect("a start").at;
    assert_eq!(later, after(400));
}

/// Guards against forecasts that stay wrong in the same direction, and against a correction that
/// lasts when its cause has gone.
#[test]
fn the_median_of_the_last_errors_corrects_forecasts() {
    let mut correction = Correction::default();
    let record = |correction: &mut Correction, late_ms: u64| {
        correction.record(after(1_000), after(1_000 + late_ms));
    };
    record(&mut correction, 9_000);
    assert_eq!(correction.apply(NOW, after(10)), after(10), "a single error");
    for _ in 0..60 {
        record(&mut correction, 700);
    }
    assert_eq!(correction.apply(NOW, after(10)), after(710));
    for _ in 0..100 {
        correction.record(after(1_000), after(800));
    }
    assert_eq!(correction.to_millis(), -200);
    assert_eq!(correction.apply(NOW, after(10)), NOW, "never in the past");
}
