//! Error type of the control state.

use derive_more::{Display, Error};
use pier_core::ids;

/// A broken invariant or an input that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// A worker would have been given more than it has.
    #[display("worker {worker} would be given more than it has")]
    WorkerOverCommitted {
        /// The worker.
        worker: ids::WorkerId,
    },
    /// A team would have had more running on this host than the host holds of its limit.
    #[display("team {team} would run more than this host holds of its limit")]
    TeamOverQuota {
        /// The team.
        team: ids::TeamId,
    },
    /// A home host would have lent more of a limit than there is.
    #[display("more than the limit of team {team} would be lent")]
    LimitOverLent {
        /// The team.
        team: ids::TeamId,
    },
    /// A record of the log cannot be read.
    #[display("record {offset} of the log cannot be read")]
    BadRecord {
        /// The position of the record.
        offset: ids::Offset,
    },
}

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;
