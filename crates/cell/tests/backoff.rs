//! Tests of the delays between the attempts of a call to a worker.

use std::collections::BTreeSet;
use std::time;

use pier_cell::backoff::Backoff;

const BACKOFF: Backoff = Backoff { first: time::Duration::from_millis(800), max_steps: 3 };

/// Guards against calls to a worker that accepts none which are repeated as fast as ever, and against
/// delays that grow without end: the worker's recovery would be noticed late.
#[test]
fn delays_grow_up_to_a_limit() {
    for key in ["w0", "w1", "i-00f3"] {
        let mut last = time::Duration::ZERO;
        for attempts in 1..=3 {
            let delay = BACKOFF.delay(key, attempts);
            assert!(delay > last, "{key}: {delay:?} after {last:?}");
            last = delay;
        }
        for attempts in [0, 1, 2, 3, 4, 10, u32::MAX] {
            let delay = BACKOFF.delay(key, attempts);
            let steps = attempts.clamp(1, 3);
            assert!(delay >= BACKOFF.first * steps, "{key}, {attempts}: {delay:?}");
            assert!(delay <= BACKOFF.first * steps * 5 / 4, "{key}, {attempts}: {delay:?}");
        }
    }
}

/// Guards against calls that failed together and are repeated together.
#[test]
fn delays_of_different_calls_differ() {
    let mut delays = BTreeSet::new();
    for index in 0..50 {
        delays.insert(BACKOFF.delay(&format!("job/{index}"), 1));
    }
    assert!(delays.len() > 40, "{} delays for 50 calls", delays.len());
}
