//! Recent demand of a team, for which its holder keeps spare quota.

use std::time;

use pier_core::resources;

/// How long spare quota is kept after the last start of a team.
const SPARE_QUOTA_DURATION: time::Duration = time::Duration::from_secs(3);

/// The recent demand of a team's urgent tasks or of its other tasks.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// When a task last started or was blocked, and what it needs.
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
