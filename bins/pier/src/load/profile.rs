//! Load profiles: which requests and jobs arrive, and when.

use std::collections;
use std::time;

use persimmonpier::core::caller;
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// The maximum number of sending threads.
const MAX_THREADS: usize = 1_024;
/// The maximum expected number of requests in a load.
const MAX_PLANNED_REQUESTS: f64 = 10_000_000.0;

/// A load profile. The file format is JSON with comments.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// The addresses (`ip:port`) of the hosts' interfaces for callers.
    pub hosts: Vec<String>,
    /// The time span in which requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// The seed of all random numbers.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// The number of sending threads, which bounds the requests in flight. A request that finds no
    /// free thread is sent late, and the delay counts as part of its waiting time.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// The timeout of a call in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// The streams of requests.
    #[serde(default)]
    pub streams: Vec<Stream>,
    /// The series of jobs.
    #[serde(default)]
    pub jobs: Vec<JobSeries>,
    /// How long to wait for jobs to end after all requests have completed, in milliseconds.
    #[serde(default = "default_wait_for_jobs_ms")]
    pub wait_for_jobs_ms: u64,
    /// Access to the interface for operators, from which the teams' shares and the packing are
    /// read.
    #[serde(default)]
    pub operator: Option<Operator>,
    /// The weights of the teams, from which the distance from their shares is computed.
    #[serde(default)]
    pub team_weights: collections::BTreeMap<String, u32>,
    /// How long the cell must have been full, in milliseconds, before a sample counts towards the
    /// distances of a long-full cell.
    #[serde(default = "default_full_after_ms")]
    pub full_after_ms: u64,
    /// The address (`ip:port`) of the stand-in's control interface, from which the audit is read.
    #[serde(default)]
    pub standin_control: Option<String>,
}

/// Access to the hosts' interface for operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The addresses (`ip:port`) of the hosts' interfaces for operators.
    pub hosts: Vec<String>,
    /// The operator's token.
    pub token: String,
}

/// A stream of similar requests.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// The class under which the results are reported.
    #[serde(default = "default_class")]
    pub class: String,
    /// The team under which the results are reported.
    pub team: String,
    /// The API key of the team.
    #[serde(default)]
    pub key: Option<String>,
    /// The name of the queue.
    pub queue: String,
    /// The mean arrival rate in requests per second; arrivals form a Poisson process.
    pub rate_per_s: f64,
    /// Additional arrivals in bursts.
    #[serde(default)]
    pub burst: Option<Burst>,
    /// The minimum and maximum run time in milliseconds; run times are uniformly distributed.
    #[serde(default = "default_run_ms")]
    pub run_ms: [u64; 2],
    /// The size of an answer in bytes.
    #[serde(default)]
    pub answer_bytes: usize,
    /// The percentage of requests whose task fails.
    #[serde(default)]
    pub fail_percent: f64,
    /// The time from the arrival to the deadline in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether requests may run again.
    #[serde(default = "default_true")]
    pub repeatable: bool,
    /// Whether requests carry an idempotency key.
    #[serde(default)]
    pub idempotent: bool,
    /// The start of the arrivals, in milliseconds from the start of the load.
    #[serde(default)]
    pub from_ms: u64,
    /// The end of the arrivals, in milliseconds from the start of the load; none for its end.
    #[serde(default)]
    pub until_ms: Option<u64>,
}

/// A periodic burst of simultaneous arrivals.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// The interval between bursts in milliseconds.
    pub every_ms: u64,
    /// The number of requests in a burst.
    pub count: u32,
}

/// A series of equal jobs, submitted at a fixed interval.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSeries {
    /// The class under which the results are reported.
    #[serde(default = "default_job_class")]
    pub class: String,
    /// The team under which the results are reported.
    pub team: String,
    /// The API key of the team.
    #[serde(default)]
    pub key: Option<String>,
    /// When the first job is submitted, in milliseconds from the start of the load.
    #[serde(default)]
    pub at_ms: u64,
    /// The interval between submissions in milliseconds.
    #[serde(default)]
    pub every_ms: u64,
    /// The number of jobs.
    #[serde(default = "default_count")]
    pub count: u32,
    /// The run time of a task in milliseconds. If set, it replaces the payload of `request`.
    #[serde(default)]
    pub run_ms: Option<u64>,
    /// How long after its submission a job is cancelled, in milliseconds; none for never.
    #[serde(default)]
    pub cancel_after_ms: Option<u64>,
    /// The request that submits a job.
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
    /// Parses and validates a profile.
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

    /// The time span in which requests arrive.
    pub fn duration(&self) -> time::Duration {
        time::Duration::from_millis(self.duration_ms)
    }

    fn validate(&self) -> std::result::Result<(), &'static str> {
        if self.hosts.is_empty() {
            return Err("`hosts` must not be empty");
        }
        if self.threads == 0 || self.threads > MAX_THREADS {
            return Err("`threads` must be from 1 to 1024");
        }
        let mut rate_per_s = 0.0;
        for stream in &self.streams {
            if !stream.rate_per_s.is_finite() || stream.rate_per_s < 0.0 {
                return Err("`rate_per_s` must be finite and not negative");
            }
            if stream.run_ms[0] > stream.run_ms[1] {
                return Err("the minimum of `run_ms` exceeds its maximum");
            }
            rate_per_s += stream.rate_per_s;
            if let Some(burst) = stream.burst {
                if burst.every_ms == 0 {
                    return Err("`every_ms` of a burst must not be zero");
                }
                let interval = time::Duration::from_millis(burst.every_ms);
                rate_per_s += f64::from(burst.count) / interval.as_secs_f64();
            }
        }
        if rate_per_s * self.duration().as_secs_f64() > MAX_PLANNED_REQUESTS {
            return Err("the profile plans more than 10,000,000 requests");
        }
        Ok(())
    }
}
