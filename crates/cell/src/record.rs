//! The records of the cell's keyed log.
//!
//! The log keeps the newest record of each key for good, so the newest records alone give the whole
//! state, and a record may be folded any number of times.

use std::sync;

use pier_core::ids;
use serde::{Deserialize, Serialize};

use crate::job::{JobSpec, JobState};
use crate::progress::Progress;

const CLAIM_KEY: &str = "decider";
const BATCH_KEY: &str = "batch";
const JOB_PREFIX: &str = "job/";
const PROGRESS_PREFIX: &str = "progress/";

/// A record as the log stores it. A record without a value drops its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Option<Vec<u8>>,
}

/// The record that names the decider. Its offset is the decider's fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The host that decides.
    pub host: ids::HostId,
    /// Where it takes connections of other hosts.
    pub address: sync::Arc<str>,
    /// Its process.
    pub incarnation: ids::Incarnation,
    /// The part of a processor core that it may use, in thousandths.
    #[serde(default)]
    pub core_permille: u32,
    /// The decider gives up its place and any host may claim it at once.
    pub is_released: bool,
}

/// The announcement of a decider to hosts that do not follow the cell's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Who decides.
    pub claim: Claim,
    /// The fencing token that follows from the claim's offset in the cell's log.
    pub token: u64,
}

/// The first record of each append. It tells an append from a repeat by another process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchHeader {
    /// The process that appended.
    pub incarnation: ids::Incarnation,
    /// The number of the append within the process.
    pub sequence: u64,
}

/// A job's own record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobRecord {
    /// The job was accepted.
    Accepted {
        /// Milliseconds since the Unix epoch, by the decider's clock.
        accepted_wall_ms: u64,
        /// What was submitted.
        spec: sync::Arc<JobSpec>,
    },
    /// Nothing of the job runs any more.
    Ended {
        /// The queue that it was in.
        queue: ids::QueueId,
        /// How it ended.
        state: JobState,
        /// Milliseconds since the Unix epoch, by the decider's clock.
        ended_wall_ms: u64,
    },
}

/// A change that a record makes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Another decider, or none.
    Claim(Option<Claim>),
    /// The start of an append.
    BatchHeader(BatchHeader),
    /// A job, or its removal.
    Job(ids::JobId, Option<JobRecord>),
    /// A job's progress, still encoded because the job's specification is needed to read it.
    Progress(ids::JobId, Option<Vec<u8>>),
}

/// A record that this version cannot read.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the record with the key {key:?} cannot be read")]
pub struct UnreadableRecord {
    key: String,
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("log records have only string keys")
}

impl Record {
    /// The record that names the decider.
    pub fn claim(claim: &Claim) -> Self {
        Self { key: CLAIM_KEY.to_owned(), value: Some(to_json(claim)) }
    }

    /// The record that announces a decider, in a topic of its own.
    pub fn announcement(announcement: &Announcement) -> Self {
        Self { key: CLAIM_KEY.to_owned(), value: Some(to_json(announcement)) }
    }

    /// The announcement that the record holds.
    ///
    /// # Errors
    /// The value is not an announcement.
    pub fn to_announcement(&self) -> Result<Announcement, UnreadableRecord> {
        let unreadable = || UnreadableRecord { key: self.key.clone() };
        let value = self.value.as_deref().ok_or_else(unreadable)?;
        serde_json::from_slice(value).map_err(|_| unreadable())
    }

    /// The record at the start of an append.
    pub fn batch_header(header: &BatchHeader) -> Self {
        Self { key: BATCH_KEY.to_owned(), value: Some(to_json(header)) }
    }

    /// A job's own record; none removes the job.
    pub fn job(id: &str, record: Option<&JobRecord>) -> Self {
        Self { key: format!("{JOB_PREFIX}{id}"), value: record.map(to_json) }
    }

    /// A job's progress; none removes it.
    pub fn progress(id: &str, progress: Option<&Progress>) -> Self {
        Self { key: format!("{PROGRESS_PREFIX}{id}"), value: progress.map(Progress::encode) }
    }

    /// The change that the record makes; none for a key of another version.
    ///
    /// # Errors
    /// The value of a known key cannot be read.
    pub fn to_change(&self) -> Result<Option<Change>, UnreadableRecord> {
        let unreadable = |_| UnreadableRecord { key: self.key.clone() };
        let value = self.value.as_deref();
        if let Some(id) = self.key.strip_prefix(PROGRESS_PREFIX) {
            return Ok(Some(Change::Progress(id.into(), self.value.clone())));
        }
        if let Some(id) = self.key.strip_prefix(JOB_PREFIX) {
            let record = value.map(serde_json::from_slice).transpose().map_err(unreadable)?;
            return Ok(Some(Change::Job(id.into(), record)));
        }
        match self.key.as_str() {
            CLAIM_KEY => {
                let claim = value.map(serde_json::from_slice).transpose().map_err(unreadable)?;
                Ok(Some(Change::Claim(claim)))
            }
            BATCH_KEY => match value {
                Some(bytes) => {
                    let batch = serde_json::from_slice(bytes).map_err(unreadable)?;
                    Ok(Some(Change::BatchHeader(batch)))
                }
                None => Ok(None),
            },
            _ => Ok(None),
        }
    }
}
