//! The clock of a host process.

use std::time;

use pier_core::clock::{Clock, SystemClock};
use rustix::time::{ClockId, clock_gettime};

/// A clock that also advances while the machine is suspended (`CLOCK_BOOTTIME`). Decisions made
/// before a suspension then count as old, which the monotonic clock would hide.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    started: time::Duration,
    system: SystemClock,
}

impl BootClock {
    /// Creates a clock that starts at zero.
    pub fn start() -> Self {
        Self { started: since_boot(), system: SystemClock::start() }
    }
}

impl Clock for BootClock {
    fn now(&self) -> time::Duration {
        since_boot().saturating_sub(self.started)
    }

    fn wall_ms(&self) -> u64 {
        self.system.wall_ms()
    }
}

fn since_boot() -> time::Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    time::Duration::new(seconds, nanos)
}
