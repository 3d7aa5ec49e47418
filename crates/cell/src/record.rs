//! The records of the cell's keyed log.
//!
//! The log retains the newest record of each key permanently. The newest records alone therefore
//! yield the whole state, and a record may be applied any number of times.

use std::collections::BTreeMap;
use std::sync;

use pier_core::ids;
use pier_load::run_times;
use serde::{Deserialize, Serialize};

use crate::declaration::{Account, Queue};
use crate::job::{AccountId, JobSpec, JobState, Requester};
use crate::progress::Progress;

const CLAIM_KEY: &str = "decider";
const BATCH_KEY: &str = "batch";
const LOAD_KEY: &str = "load";
const JOB_PREFIX: &str = "job/";
const PROGRESS_PREFIX: &str = "progress/";
const QUEUE_PREFIX: &str = "queue/";
const ACCOUNT_PREFIX: &str = "account/";
/// The length of a key is stored in one byte.
const MAX_KEY_BYTES: usize = 255;

/// A record as the log stores it. A record without a value deletes its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Option<Vec<u8>>,
}

/// The record that names the decider. Its offset determines the decider's fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The decider's host.
    pub host: ids::HostId,
    /// The address at which the host accepts connections from other hosts.
    pub address: sync::Arc<str>,
    /// The incarnation of the host's process.
    pub incarnation: ids::Incarnation,
    /// The part of a processor core that the host may use, in thousandths.
    #[serde(default)]
    pub core_permille: u32,
    /// Whether the decider has resigned, so that any host may claim the role at once.
    pub is_released: bool,
}

/// The announcement of a decider to hosts that do not read the cell's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The decider's claim.
    pub claim: Claim,
    /// The decider's fencing token, which follows from the claim's offset in the cell's log.
    pub token: u64,
}

/// The first record of each append. It identifies the append, so that an append without a response
/// can be told from that of another process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchHeader {
    /// The incarnation of the process that appended.
    pub incarnation: ids::Incarnation,
    /// The sequence number of the append within the process.
    pub sequence: u64,
}

/// The value of a job's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobRecord {
    /// The job was accepted.
    Accepted {
        /// Milliseconds since the Unix epoch, by the decider's clock; see
        /// [`crate::cell_state::LiveJob::accepted_wall_ms`].
        accepted_wall_ms: u64,
        /// The submitted job.
        spec: sync::Arc<JobSpec>,
    },
    /// The job has ended, and no run of it is left.
    Ended(EndedJob),
    /// The job was cancelled before a submission of it arrived. One that arrives later is rejected.
    Withdrawn(Withdrawal),
}

/// A job that has ended and of which no run is left.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJob {
    /// The queue that the job was in.
    pub queue: ids::QueueId,
    /// The client account that the job belongs to; none if it was submitted to an open queue, or
    /// ended under a version that did not keep the account.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountId>,
    /// How the job ended.
    pub state: JobState,
    /// Milliseconds since the Unix epoch, by the decider's clock.
    pub ended_wall_ms: u64,
}

/// The cancelling of a job id that is not known.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdrawal {
    /// Milliseconds since the Unix epoch, by the decider's clock.
    pub withdrawn_wall_ms: u64,
    /// The accounts that have cancelled the id, with none for an open queue. An empty list stands
    /// for all accounts: versions that did not keep the account have written it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub accounts: Vec<Option<AccountId>>,
}

impl Withdrawal {
    /// Creates the withdrawal by a requester; by all accounts if it is not known.
    pub fn new(withdrawn_wall_ms: u64, requester: Option<&Requester>) -> Self {
        let accounts = requester.map(|requester| vec![requester.account.clone()]);
        Self { withdrawn_wall_ms, accounts: accounts.unwrap_or_default() }
    }

    /// Adds a withdrawal by another requester. Returns whether that changes anything.
    pub fn add(&mut self, requester: Option<&Requester>) -> bool {
        let Some(requester) = requester else {
            return !std::mem::take(&mut self.accounts).is_empty();
        };
        if self.applies_to(requester.account.as_ref()) {
            return false;
        }
        self.accounts.push(requester.account.clone());
        true
    }

    /// Whether a submission of this account is rejected.
    pub fn applies_to(&self, account: Option<&AccountId>) -> bool {
        self.accounts.is_empty() || self.accounts.iter().any(|by| by.as_ref() == account)
    }
}

/// What the decider has learned about the load, for the next decider. Versions that do not know the
/// record skip it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadRecord {
    /// The learned run times of each queue, see [`run_times::RunTimes::to_values`].
    #[serde(default)]
    pub run_times: BTreeMap<ids::QueueId, [f32; run_times::QUEUE_VALUES]>,
    /// For each queue with an adviser, the workers named in requests and those of them that were
    /// eligible. Older ones have decayed.
    #[serde(default)]
    pub eligible: BTreeMap<ids::QueueId, [f32; 2]>,
    /// By how many milliseconds jobs of each queue start later than forecast.
    #[serde(default)]
    pub corrections_ms: BTreeMap<ids::QueueId, i64>,
}

impl LoadRecord {
    /// Keeps only these queues.
    pub fn retain_queues(&mut self, is_kept: impl Fn(&ids::QueueId) -> bool) {
        self.run_times.retain(|queue, _| is_kept(queue));
        self.eligible.retain(|queue, _| is_kept(queue));
        self.corrections_ms.retain(|queue, _| is_kept(queue));
    }

    /// Removes the queue of which the fewest runs are known. Returns whether there was one.
    pub fn remove_least_known(&mut self) -> bool {
        let mut least: Option<(f32, &ids::QueueId)> = None;
        let others = self.eligible.keys().chain(self.corrections_ms.keys());
        for queue in self.run_times.keys().chain(others) {
            let runs = self.run_times.get(queue).map_or(0.0, |values| values[0]);
            if least.is_none_or(|(fewest, _)| runs < fewest) {
                least = Some((runs, queue));
            }
        }
        let Some((_, queue)) = least else {
            return false;
        };
        let removed = ids::QueueId::clone(queue);
        self.retain_queues(|queue| *queue != removed);
        true
    }
}

/// A decoded record.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A claim of the decider role, or its removal.
    Claim(Option<Claim>),
    /// The first record of an append.
    BatchHeader(BatchHeader),
    /// A job's record, or its removal.
    Job(ids::JobId, Option<JobRecord>),
    /// A job's progress, still encoded because decoding requires the job's specification.
    Progress(ids::JobId, Option<Vec<u8>>),
    /// What deciders have learned about the load, or its removal.
    Load(Option<LoadRecord>),
    /// The terms of a queue, or their removal.
    Queue(ids::QueueId, Option<Queue>),
    /// The terms of an account, or their removal.
    Account(AccountId, Option<Account>),
}

/// A record that this version cannot decode.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the record with the key {key:?} cannot be decoded")]
pub struct UndecodableRecord {
    key: String,
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("log records have only string keys")
}

impl Record {
    /// Creates the record that names the decider.
    pub fn claim(claim: &Claim) -> Self {
        Self { key: CLAIM_KEY.to_owned(), value: Some(to_json(claim)) }
    }

    /// Creates the record that announces a decider, for the topic of decider announcements.
    pub fn announcement(announcement: &Announcement) -> Self {
        Self { key: CLAIM_KEY.to_owned(), value: Some(to_json(announcement)) }
    }

    /// Decodes a decider announcement.
    ///
    /// # Errors
    /// Fails if the value is not an announcement.
    pub fn to_announcement(&self) -> Result<Announcement, UndecodableRecord> {
        let undecodable = || UndecodableRecord { key: self.key.clone() };
        let value = self.value.as_deref().ok_or_else(undecodable)?;
        serde_json::from_slice(value).map_err(|_| undecodable())
    }

    /// Creates the first record of an append.
    pub fn batch_header(header: &BatchHeader) -> Self {
        Self { key: BATCH_KEY.to_owned(), value: Some(to_json(header)) }
    }

    /// Creates the record of what the decider has learned about the load.
    pub fn load(learned: &LoadRecord) -> Self {
        Self { key: LOAD_KEY.to_owned(), value: Some(to_json(learned)) }
    }

    /// Creates the record of a queue's terms; none removes them.
    pub fn queue(name: &str, queue: Option<&Queue>) -> Self {
        Self { key: format!("{QUEUE_PREFIX}{name}"), value: queue.map(to_json) }
    }

    /// Creates the record of an account's terms; none removes them.
    pub fn account(name: &str, account: Option<&Account>) -> Self {
        Self { key: format!("{ACCOUNT_PREFIX}{name}"), value: account.map(to_json) }
    }

    /// Whether the log takes the record, which may be at most `max_bytes` long.
    pub fn is_storable(&self, max_bytes: usize) -> bool {
        self.key.len() <= MAX_KEY_BYTES && self.stored_bytes() <= max_bytes
    }

    /// Creates a job's record; none removes the job.
    pub fn job(id: &str, record: Option<&JobRecord>) -> Self {
        Self { key: format!("{JOB_PREFIX}{id}"), value: record.map(to_json) }
    }

    /// Whether all records of the job are at most `max_bytes` long.
    pub fn fits_job(spec: &sync::Arc<JobSpec>, max_bytes: usize) -> bool {
        let accepted =
            JobRecord::Accepted { accepted_wall_ms: u64::MAX, spec: sync::Arc::clone(spec) };
        let longest = Self::job(&spec.id, Some(&accepted))
            .stored_bytes()
            .max(Progress::max_encoded_bytes(spec) + Self::progress(&spec.id, None).stored_bytes());
        longest <= max_bytes
    }

    /// The length of the stored record: the key with its length, and the value.
    pub fn stored_bytes(&self) -> usize {
        1 + self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }

    /// Creates the record of a job's progress; none removes it.
    pub fn progress(id: &str, progress: Option<&Progress>) -> Self {
        Self { key: format!("{PROGRESS_PREFIX}{id}"), value: progress.map(Progress::encode) }
    }

    /// Decodes the record; none for a key that this version does not know.
    ///
    /// # Errors
    /// Fails if the value of a known key cannot be decoded.
    pub fn to_change(&self) -> Result<Option<Change>, UndecodableRecord> {
        let undecodable = |_| UndecodableRecord { key: self.key.clone() };
        let value = self.value.as_deref();
        if let Some(id) = self.key.strip_prefix(PROGRESS_PREFIX) {
            return Ok(Some(Change::Progress(id.into(), self.value.clone())));
        }
        if let Some(id) = self.key.strip_prefix(JOB_PREFIX) {
            let record = value.map(serde_json::from_slice).transpose().map_err(undecodable)?;
            return Ok(Some(Change::Job(id.into(), record)));
        }
        if let Some(name) = self.key.strip_prefix(QUEUE_PREFIX) {
            let queue = value.map(serde_json::from_slice).transpose().map_err(undecodable)?;
            return Ok(Some(Change::Queue(name.into(), queue)));
        }
        if let Some(name) = self.key.strip_prefix(ACCOUNT_PREFIX) {
            let account = value.map(serde_json::from_slice).transpose().map_err(undecodable)?;
            return Ok(Some(Change::Account(name.into(), account)));
        }
        match self.key.as_str() {
            CLAIM_KEY => {
                let claim = value.map(serde_json::from_slice).transpose().map_err(undecodable)?;
                Ok(Some(Change::Claim(claim)))
            }
            LOAD_KEY => {
                let learned = value.map(serde_json::from_slice).transpose().map_err(undecodable)?;
                Ok(Some(Change::Load(learned)))
            }
            BATCH_KEY => match value {
                Some(bytes) => {
                    let header = serde_json::from_slice(bytes).map_err(undecodable)?;
                    Ok(Some(Change::BatchHeader(header)))
                }
                None => Ok(None),
            },
            _ => Ok(None),
        }
    }
}
