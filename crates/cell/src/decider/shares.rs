//! Divides the capacity among accounts while the workers are full.

use crate::decider::{Context, Decider};
use crate::job::JobSpec;

impl Decider {
    /// Whether a job that is submitted now lies within its account's share. Always true while the
    /// service is not full.
    pub(super) fn is_within_share(&self, _context: &Context<'_>, _spec: &JobSpec) -> bool {
        true
    }
}
