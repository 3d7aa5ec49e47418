//! The delays between the attempts of a call to a worker.

use std::time;

use pier_core::rendezvous;

/// Delays that grow with each failed attempt, up to a limit. They are spread, so that the calls that
/// failed together are not repeated together.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    /// The delay after the first failed attempt.
    pub first: time::Duration,
    /// The number of failed attempts up to which each adds the first delay again.
    pub max_steps: u32,
}

/// The greatest part of a delay that is added to it, in thousandths.
const MAX_SPREAD_PERMILLE: u64 = 250;

impl Backoff {
    /// The delay after this many failed attempts of the call that the key identifies.
    pub fn delay(&self, key: &str, failed_attempts: u32) -> time::Duration {
        let delay = self.first.saturating_mul(failed_attempts.clamp(1, self.max_steps));
        let weight = rendezvous::weight(key, &failed_attempts.to_string());
        let permille = u32::try_from(weight % (MAX_SPREAD_PERMILLE + 1)).unwrap_or_default();
        delay.saturating_add(delay.saturating_mul(permille) / 1_000)
    }
}
