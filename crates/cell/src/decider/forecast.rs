//! Forecasts when jobs could start and end.

use std::time;

use crate::decider::{Context, Decider};
use crate::job::JobSpec;

/// When a job would start and end if it was accepted now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct JobForecast {
    /// The first start, since the start of the process.
    pub(super) start: time::Duration,
    /// The end of its last step, since the start of the process.
    pub(super) end: time::Duration,
}

impl Decider {
    /// Forecasts a job that is submitted now. A job within its account's share is judged only by
    /// the work within shares that ranks ahead of it. None without a forecast, for example before
    /// the worker list is read.
    pub(super) fn forecast_job(
        &self,
        _context: &Context<'_>,
        _spec: &JobSpec,
        _is_within_share: bool,
    ) -> Option<JobForecast> {
        None
    }
}
