//! The error type of this crate.

use derive_more::{Display, Error};
use pier_core::ids;

/// An invariant that a step would violate, or a log record that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The tasks on a worker would need more resources than it has.
    #[display("the tasks of worker {worker} would exceed its resources")]
    WorkerOverCommitted { worker: ids::WorkerId },
    /// The tasks of a team on this host would exceed the quota that the host holds for the team.
    #[display("the tasks of team {team} would exceed the quota that this host holds")]
    TeamOverQuota { team: ids::TeamId },
    /// The home of a team limit would lend more than the limit.
    #[display("the quota lent for team {team} would exceed its limit")]
    LimitOverLent { team: ids::TeamId },
    /// A record of the log cannot be decoded.
    #[display("log record {offset} cannot be decoded")]
    BadRecord { offset: ids::Offset },
}

/// The result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
