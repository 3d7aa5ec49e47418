//! Serializes attempts grouped by job: `[["job",[["0",1],["1",1]]]]`. The id of a job's task starts
//! with the id of the job, which would otherwise make up most of the list.

use std::collections;

use pier_core::ids;
use serde::{Deserialize, Deserializer, Serializer};

type Attempts = Vec<(ids::TaskId, ids::Attempt)>;

/// The id of a job, none for tasks without a job, and the rest of the id of each task with its
/// attempt.
type JobAttempts = (Option<String>, Vec<(String, ids::Attempt)>);

/// Serializes the attempts in ascending order of job.
///
/// # Errors
/// Returns the errors of the serializer.
pub(crate) fn serialize<S: Serializer>(tasks: &Attempts, to: S) -> Result<S::Ok, S::Error> {
    let mut jobs: collections::BTreeMap<Option<&str>, Vec<(&str, ids::Attempt)>> =
        collections::BTreeMap::new();
    for (task, attempt) in tasks {
        let (job, index) = match task.rsplit_once('/') {
            Some((job, index)) => (Some(job), index),
            None => (None, &**task),
        };
        jobs.entry(job).or_default().push((index, *attempt));
    }
    to.collect_seq(jobs)
}

/// Deserializes the attempts.
///
/// # Errors
/// Returns an error if the input is not a list of jobs with their attempts.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Attempts, D::Error> {
    let jobs: Vec<JobAttempts> = Vec::deserialize(from)?;
    let mut tasks = Vec::new();
    for (job, attempts) in jobs {
        for (index, attempt) in attempts {
            let task = match &job {
                Some(job) => format!("{job}/{index}"),
                None => index,
            };
            tasks.push((task.into(), attempt));
        }
    }
    Ok(tasks)
}
