//! The description of a load.

use std::collections;
use std::time;

use persimmonpier::core::caller;
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// The largest number of threads that send requests.
const MAX_THREADS: usize = 1_024;
/// The largest number of planned requests.
const MAX_PLANNED_REQUESTS: f64 = 10_000_000.0;

/// A load. It is written in JSON with comments.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// The addresses (`ip:port`) of the hosts' caller interfaces.
    pub hosts: Vec<String>,
    /// For how long requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// Feeds all random numbers.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// The number of threads, which bounds the requests in progress. A request that finds none
    /// free waits, and its wait counts.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// The longest time of a call in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// The requests.
    #[serde(default)]
    pub streams: Vec<Stream>,
    /// The jobs.
    #[serde(default)]
    pub jobs: Vec<JobPlan>,
    /// How long to wait for the end of the jobs after the last arrival, in milliseconds.
    #[serde(default = "default_wait_for_jobs_ms")]
    pub wait_for_jobs_ms: u64,
    /// The operators' interface, from which shares and packing are read.
    #[serde(default)]
    pub operator: Option<Operator>,
    /// The weights of the teams, for the distance from their shares.
    #[serde(default)]
    pub team_weights: collections::BTreeMap<String, u32>,
    /// For how long the cell must have been full, in milliseconds, before the distance from the
    /// shares in a full cell is measured.
    #[serde(default = "default_full_after_ms")]
    pub full_after_ms: u64,
    /// The address of the stand-in's control port, from which the audit is read.
    #[serde(default)]
    pub standin_control: Option<String>,
}

/// The operators' interface.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The addresses (`ip:port`) of the hosts.
    pub hosts: Vec<String>,
    /// The operator's token.
    pub token: String,
}

/// Requests of one kind.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// The class under which the results are listed.
    #[serde(default = "default_class")]
    pub class: String,
    /// The team under which the results are listed.
    pub team: String,
    /// The team's key.
    #[serde(default)]
    pub key: Option<String>,
    /// The queue.
    pub queue: String,
    /// The mean number of arrivals in a second; their intervals are exponential.
    pub rate_per_s: f64,
    /// Further arrivals that come together.
    #[serde(default)]
    pub burst: Option<Burst>,
    /// The shortest and the longest run time in milliseconds; it is drawn evenly.
    #[serde(default = "default_run_ms")]
    pub run_ms: [u64; 2],
    /// The size of an answer in bytes.
    #[serde(default)]
    pub answer_bytes: usize,
    /// The percentage of requests whose task fails.
    #[serde(default)]
    pub fail_percent: f64,
    /// The time to the deadline in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether requests may run again.
    #[serde(default = "default_true")]
    pub repeatable: bool,
    /// Whether requests carry an idempotency key.
    #[serde(default)]
    pub idempotent: bool,
    /// When the first request may arrive, in milliseconds.
    #[serde(default)]
    pub from_ms: u64,
    /// When the last request may arrive, in milliseconds; none for the end of the load.
    #[serde(default)]
    pub until_ms: Option<u64>,
}

/// Arrivals that come together.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// The interval between bursts in milliseconds.
    pub every_ms: u64,
    /// The number of requests of a burst.
    pub count: u32,
}

/// Jobs of one kind.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobPlan {
    /// The class under which the results are listed.
    #[serde(default = "default_job_class")]
    pub class: String,
    /// The team under which the results are listed.
    pub team: String,
    /// The team's key.
    #[serde(default)]
    pub key: Option<String>,
    /// When the first job is submitted, in milliseconds.
    #[serde(default)]
    pub at_ms: u64,
    /// The interval to the next job in milliseconds.
    #[serde(default)]
    pub every_ms: u64,
    /// The number of jobs.
    #[serde(default = "default_count")]
    pub count: u32,
    /// The run time of a task in milliseconds. It replaces the payload of the request.
    #[serde(default)]
    pub run_ms: Option<u64>,
    /// After how many milliseconds the job is cancelled.
    #[serde(default)]
    pub cancel_after_ms: Option<u64>,
    /// The job.
    pub request: caller::JobRequest,
}

fn default_seed() -> u64 {
    1
}

fn default_threads() -> usize {
    128
}

fn default_timeout_ms() -> u64 {
    60_000
}

fn default_wait_for_jobs_ms() -> u64 {
    60_000
}

fn default_full_after_ms() -> u64 {
    60_000
}

fn default_class() -> String {
    "urgent".to_owned()
}

fn default_job_class() -> String {
    "batch".to_owned()
}

fn default_run_ms() -> [u64; 2] {
    [10, 10]
}

fn default_true() -> bool {
    true
}

fn default_count() -> u32 {
    1
}

impl Profile {
    /// Reads and checks a profile.
    ///
    /// # Errors
    /// [`Error::InvalidFile`] with the first mistake.
    pub fn parse(path: &str, text: &str) -> Result<Self> {
        let invalid_file = |detail: String| Error::InvalidFile { path: path.to_owned(), detail };
        let profile: Self =
            json5::from_str(text).map_err(|error| invalid_file(error.to_string()))?;
        profile.validate().map_err(|detail| invalid_file(detail.to_owned()))?;
        Ok(profile)
    }

    /// For how long requests arrive.
    pub fn duration(&self) -> time::Duration {
        time::Duration::from_millis(self.duration_ms)
    }

    fn validate(&self) -> std::result::Result<(), &'static str> {
        if self.hosts.is_empty() {
            return Err("`hosts` is empty");
        }
        if self.threads == 0 || self.threads > MAX_THREADS {
            return Err("`threads` is not from 1 to 1024");
        }
        let mut rate_per_s = 0.0;
        for stream in &self.streams {
            if !stream.rate_per_s.is_finite() || stream.rate_per_s < 0.0 {
                return Err("`rate_per_s` is negative or not a number");
            }
            if stream.run_ms[0] > stream.run_ms[1] {
                return Err("the shortest `run_ms` is above the longest");
            }
            rate_per_s += stream.rate_per_s;
            if let Some(burst) = stream.burst {
                if burst.every_ms == 0 {
                    return Err("`every_ms` of a burst is zero");
                }
                let interval = time::Duration::from_millis(burst.every_ms);
                rate_per_s += f64::from(burst.count) / interval.as_secs_f64();
            }
        }
        if rate_per_s * self.duration().as_secs_f64() > MAX_PLANNED_REQUESTS {
            return Err("more than ten million requests are planned");
        }
        Ok(())
    }
}
