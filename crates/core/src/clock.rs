//! Clock abstraction.

use std::time;

/// A source of time, injected into the code that needs one.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time since the process started.
    fn now(&self) -> time::Duration;

    /// Returns the wall-clock time in milliseconds since the Unix epoch. It may step, so only audit
    /// records use it.
    fn wall_ms(&self) -> u64;
}

/// The clock of the operating system.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    started: time::Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts at zero now.
    pub fn start() -> Self {
        Self { started: time::Instant::now() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> time::Duration {
        self.started.elapsed()
    }

    #[allow(clippy::disallowed_methods, reason = "the only place that reads the wall clock")]
    fn wall_ms(&self) -> u64 {
        let since_epoch = time::SystemTime::now()
            .duration_since(time::UNIX_EPOCH)
            .unwrap_or(time::Duration::ZERO);
        millis(since_epoch)
    }
}

/// Converts a duration to whole milliseconds, saturating at `u64::MAX`.
pub fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
