//! The clock of a host's process.

use std::time;

use pier_core::clock::{Clock, SystemClock};
use rustix::time::{ClockId, clock_gettime};

/// A clock that goes on while the machine is suspended. Decisions that were made before a
/// suspension then count as old, which the steady clock would hide.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    started: time::Duration,
    system: SystemClock,
}

impl BootClock {
    /// A clock that counts from now.
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
    let read = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(read.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(read.tv_nsec).unwrap_or_default();
    time::Duration::new(seconds, nanos)
}
