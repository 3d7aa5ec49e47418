//! Records of the `control` stream of the log.

use std::collections;
use std::sync;

use pier_core::{caller, ids, task};
use serde::{Deserialize, Serialize};

/// The name of the stream that holds the records.
pub const CONTROL_STREAM: &str = "control";

/// A member of an epoch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    pub host: ids::HostId,
    /// The incarnation of the member process.
    pub incarnation: ids::Incarnation,
    pub availability_zone: ids::ZoneId,
    /// The address (`ip:port`) of the host's peer interface.
    pub peer_address: sync::Arc<str>,
}

/// An epoch of the cell's membership.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// The epoch on which the proposal is based. The record is ignored unless this epoch is
    /// current.
    pub base_epoch: ids::Epoch,
    /// The members in ascending order of host.
    pub members: Vec<Member>,
    /// The owner of each worker.
    pub owners: collections::BTreeMap<ids::WorkerId, ids::HostId>,
    /// The host that proposed the epoch.
    pub proposer: ids::HostId,
    /// A unique id of the proposal.
    pub proposal_id: u64,
}

/// A change of the declaration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclarationRecord {
    /// The version on which the change is based. The record is ignored unless this version is
    /// current.
    pub base_version: ids::Version,
    /// The operator who made the change.
    pub author: sync::Arc<str>,
    /// When the change was made, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// A unique id of the change.
    pub change_id: u64,
    /// The complete declaration as the operator wrote it.
    pub text: sync::Arc<str>,
}

/// A job as it is stored in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    pub job: ids::JobId,
    /// The team whose limit and share the job counts against.
    pub team: ids::TeamId,
    pub class: task::Class,
    /// The job as it was submitted.
    pub request: caller::JobRequest,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// A half-open range of task indices of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskRange {
    /// The first index.
    pub first: u32,
    /// The index after the last one.
    pub end: u32,
}

/// An entry of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Entry {
    /// A change of the declaration.
    Declaration(DeclarationRecord),
    /// A new epoch.
    Epoch(EpochRecord),
    /// A job was accepted. A later entry with the same id is ignored.
    JobAccepted(JobRecord),
    /// Tasks of a job are done.
    JobProgress { job: ids::JobId, done: Vec<TaskRange> },
    /// Tasks of a job that is not repeatable are about to start.
    JobAttempts {
        job: ids::JobId,
        /// The tasks that may run after this entry.
        started: Vec<TaskRange>,
    },
    /// A job ended.
    JobEnded {
        job: ids::JobId,
        /// `Done`, `Failed` or `Cancelled`.
        phase: caller::JobPhase,
        /// Why the job failed; none if it did not.
        reason: Option<caller::Refusal>,
    },
    /// A caller cancelled a job.
    JobCancelled { job: ids::JobId },
    /// The cell restarts because the history of the log is lost. A host that has the history
    /// ignores the entry, and every host ignores it unless its record is at `searched_to`.
    Restart {
        /// The offset up to which the writer has searched the log for a state.
        searched_to: ids::Offset,
        /// The first declaration of the restarted cell.
        declaration: DeclarationRecord,
    },
    /// The folded state after the record at `as_of_offset`.
    Snapshot {
        /// The offset of the last record that the state includes.
        as_of_offset: ids::Offset,
        fold: Box<FoldState>,
    },
}

/// A record of the log: the entries that one host appended together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The host that appended the record.
    pub host: ids::HostId,
    /// The incarnation of the process that appended the record.
    pub incarnation: ids::Incarnation,
    /// The sequence number of the record in its process.
    pub seq: u64,
    pub entries: Vec<Entry>,
}

/// The state of a job in the folded log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobFold {
    pub record: JobRecord,
    /// The final phase; none until the job has ended. An ended job is kept for a while.
    pub phase: Option<caller::JobPhase>,
    /// Why the job failed.
    pub reason: Option<caller::Refusal>,
    /// Whether a caller has cancelled the job.
    pub cancelled: bool,
    /// The tasks that are done, as sorted ranges with gaps between them.
    pub done: Vec<TaskRange>,
    /// The tasks that may have started, as sorted ranges with gaps between them. Only maintained
    /// for jobs that are not repeatable.
    pub started: Vec<TaskRange>,
}

/// A change of the declaration in the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The version that the change produced.
    pub version: ids::Version,
    /// The version on which the change was based.
    pub base_version: ids::Version,
    /// The operator who made the change.
    pub author: sync::Arc<str>,
    /// When the change was made, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// The changes, one per line.
    pub changes: Vec<String>,
}

/// The state that every host computes from the log by folding its records. At the same offset, all
/// hosts have the same state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoldState {
    /// The version of the declaration.
    pub version: ids::Version,
    /// The declaration as the operator wrote it.
    pub text: sync::Arc<str>,
    /// The current epoch; zero if there is none.
    pub epoch: ids::Epoch,
    /// The record of the current epoch.
    pub epoch_record: EpochRecord,
    /// The jobs by id.
    pub jobs: collections::BTreeMap<ids::JobId, JobFold>,
    /// The most recent changes of the declaration, oldest first.
    pub audit: Vec<AuditRecord>,
    /// The members of the most recent epochs before the current one, oldest first.
    #[serde(default)]
    pub lineage: Vec<Vec<Member>>,
    /// The first epoch in which each worker had an owner.
    #[serde(default)]
    pub first_owned: collections::BTreeMap<ids::WorkerId, ids::Epoch>,
    /// Whether the history was restarted, so that workers may have owners that are not known.
    #[serde(default)]
    pub restarted: bool,
    /// The jobs that have ended, oldest first.
    #[serde(default)]
    pub ended: Vec<ids::JobId>,
    /// The last record of each process, in ascending order of host and incarnation.
    #[serde(default)]
    pub writers: Vec<Writer>,
}

/// The last record of a process that the folded state includes. A record of the process with a
/// sequence number up to this one is a duplicate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writer {
    pub host: ids::HostId,
    /// The incarnation of the process.
    pub incarnation: ids::Incarnation,
    /// The sequence number of the record.
    pub seq: u64,
    /// The offset of the record.
    pub offset: ids::Offset,
}
