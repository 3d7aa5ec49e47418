//! Kinds of work for which a host keeps quota ahead.

use std::time;

use pier_core::resources;

/// How long quota is kept ahead after the last start of a team.
const SPARE_QUOTA_DURATION: time::Duration = time::Duration::from_secs(3);

/// Work of one kind that a team starts.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// When a task was last started or held back, and what it needs.
    used_at: Option<time::Duration>,
    pub(super) unit: resources::Resources,
}

impl Demand {
    pub(super) fn record(&mut self, now: time::Duration, unit: &resources::Resources) {
        self.used_at = Some(now);
        self.unit = *unit;
    }

    pub(super) fn is_active(&self, now: time::Duration) -> bool {
        self.used_at.is_some_and(|at| now < at + SPARE_QUOTA_DURATION)
    }
}
