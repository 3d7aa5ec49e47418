//! A cell of `pierd` processes with the stand-in of the platform, and load generators for it.

#![allow(dead_code, reason = "each test file uses only a part of the support")]

pub mod call;
pub mod cell;
pub mod declaration;
pub mod host;
pub mod jobs;
pub mod load;
mod permit;

use std::thread;
use std::time;

/// The time limit for steps without a target of their own. It is generous, because the machine may
/// be busy.
pub const SETUP_LIMIT: time::Duration = time::Duration::from_secs(60);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Waits for a condition and returns how long that took.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) -> time::Duration {
    let started_at = time::Instant::now();
    while !holds() {
        assert!(started_at.elapsed() < SETUP_LIMIT, "not within the set-up limit: {what}");
        thread::sleep(POLL_INTERVAL);
    }
    started_at.elapsed()
}

/// Prints a measurement in the format that scripts parse.
pub fn print_measurement(case: &str, value: time::Duration) {
    println!("measured: case={case} value_ms={}", value.as_millis());
}
