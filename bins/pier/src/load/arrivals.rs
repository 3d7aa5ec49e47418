//! Planning of the arrivals of a load.

use std::time;

use rand::{Rng, SeedableRng, rngs};

use crate::load::profile;

/// A planned arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// The time of the arrival, from the start of the load.
    pub at: time::Duration,
    /// Whether a request or a job arrives.
    pub kind: ArrivalKind,
}

/// The kind of an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalKind {
    /// A request of a stream.
    Request {
        /// The index of the stream in the profile.
        stream: usize,
        /// The run time of the task in milliseconds.
        run_ms: u64,
        /// Whether the task fails.
        fail: bool,
    },
    /// A job of a series.
    Job {
        /// The index of the series in the profile.
        series: usize,
    },
}

/// Returns all arrivals of a load, sorted by time. Equal profiles have equal plans.
pub fn plan(profile: &profile::Profile) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (index, stream) in profile.streams.iter().enumerate() {
        // Each stream has its own random number generator, so that a change to one stream does not
        // affect the others.
        let number = u64::try_from(index).unwrap_or(u64::MAX);
        let mut rng = rngs::StdRng::seed_from_u64(profile.seed.wrapping_add(number << 32));
        let end = profile.duration_ms.min(stream.until_ms.unwrap_or(u64::MAX));
        let end = time::Duration::from_millis(end);
        let start = time::Duration::from_millis(stream.from_ms);
        for at in poisson_times(&mut rng, stream.rate_per_s, start, end) {
            arrivals.push(Arrival { at, kind: draw_request(&mut rng, index, stream) });
        }
        let Some(burst) = stream.burst else {
            continue;
        };
        let mut at = start;
        while at < end {
            for _ in 0..burst.count {
                arrivals.push(Arrival { at, kind: draw_request(&mut rng, index, stream) });
            }
            at += time::Duration::from_millis(burst.every_ms);
        }
    }
    for (series, job) in profile.jobs.iter().enumerate() {
        for number in 0..job.count {
            let at_ms = job.at_ms + job.every_ms * u64::from(number);
            let at = time::Duration::from_millis(at_ms);
            arrivals.push(Arrival { at, kind: ArrivalKind::Job { series } });
        }
    }
    // The stable sort keeps the order of simultaneous arrivals deterministic.
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn poisson_times(
    rng: &mut rngs::StdRng,
    rate_per_s: f64,
    start: time::Duration,
    end: time::Duration,
) -> Vec<time::Duration> {
    let mut times = Vec::new();
    if rate_per_s <= 0.0 {
        return times;
    }
    let mut at_s = start.as_secs_f64();
    loop {
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        at_s += -uniform.ln() / rate_per_s;
        let Ok(at) = time::Duration::try_from_secs_f64(at_s) else {
            return times;
        };
        if at >= end {
            return times;
        }
        times.push(at);
    }
}

fn draw_request(rng: &mut rngs::StdRng, index: usize, stream: &profile::Stream) -> ArrivalKind {
    let run_ms = rng.random_range(stream.run_ms[0]..=stream.run_ms[1]);
    let fail = rng.random_range(0.0..100.0) < stream.fail_percent;
    ArrivalKind::Request { stream: index, run_ms, fail }
}
