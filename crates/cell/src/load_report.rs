//! What the decider reports of its decisions under load, for metrics.

use std::time;

use pier_core::ids;

use crate::job::AccountId;

/// Why a run was preempted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum PreemptionCause {
    /// The result would come too late to be of use.
    #[display("no longer useful")]
    NoLongerUseful,
    /// The account uses more than its share.
    #[display("beyond share")]
    BeyondShare,
    /// The run's queue is less urgent.
    #[display("less urgent")]
    LessUrgent,
    /// The worker leaves before the run can end.
    #[display("worker leaves")]
    WorkerLeaves,
}

/// A run that was preempted.
#[derive(Debug, Clone, PartialEq)]
pub struct Preempted {
    /// Why.
    pub cause: PreemptionCause,
    /// The work since the last checkpoint, in core-seconds.
    pub lost_core_s: f64,
}

/// The division of the capacity at one moment, in parts per million.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareReport {
    /// The account.
    pub account: AccountId,
    /// What it is entitled to.
    pub entitled_ppm: u64,
    /// What it uses.
    pub used_ppm: u64,
}

/// The state of waiting gangs and of the adviser at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadLevels {
    /// Gangs that wait without holding room.
    pub waiting_gangs: usize,
    /// Gangs that hold room.
    pub reserving_gangs: usize,
    /// Hosts with an open advice request.
    pub busy_adviser_hosts: usize,
    /// The shares of the accounts, while capacity is divided.
    pub shares: Vec<ShareReport>,
}

/// What has happened since the last report.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadReport {
    /// Rejected submissions: the reason and the queue.
    pub rejections: Vec<(&'static str, ids::QueueId)>,
    /// For jobs that have started: the queue, and by how much the forecast was off.
    pub forecast_errors: Vec<(ids::QueueId, time::Duration)>,
    /// Runs of gangs that have ended before they were done, by cause.
    pub gang_ends: Vec<&'static str>,
    /// Preempted runs.
    pub preempted: Vec<Preempted>,
    /// The levels after the last scheduling pass, if there was one.
    pub levels: Option<LoadLevels>,
}
