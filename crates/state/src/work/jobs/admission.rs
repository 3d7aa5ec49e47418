//! Admission control: decides whether a submitted job can be accepted.

use pier_core::{caller, task};

use super::{gang, intake};
use crate::cluster;

/// The maximum number of tasks of a job.
const MAX_TASKS: u32 = 100_000;
/// The maximum number of tasks of a gang, which are all placed at once.
pub(super) const MAX_GANG_TASKS: u32 = 1_000;

/// Returns the refusal of a job that cannot be accepted.
pub(super) fn check(
    cluster: &cluster::Cluster,
    submission: &super::Submission,
) -> std::result::Result<(), caller::Refusal> {
    let request = &submission.request;
    let gang = match submission.class {
        task::Class::Batch => false,
        task::Class::Gang => true,
        task::Class::Urgent | task::Class::Service => {
            return refuse(caller::RefusalKind::WrongClass, "the queue does not accept jobs");
        }
    };
    let declaration = &cluster.declaration;
    let is_declared = declaration.services.iter().any(|service| service.name == submission.job)
        || declaration.jobs.iter().any(|job| job.name == submission.job);
    if is_declared {
        return refuse(caller::RefusalKind::Duplicate, "the id is used in the declaration");
    }
    if cluster.leaving {
        let detail = "the host is shutting down";
        let refusal = caller::Refusal::not_run(caller::RefusalKind::ShuttingDown, detail);
        return Err(refusal.with_retry_after(0));
    }
    if request.tasks == 0 {
        return refuse(caller::RefusalKind::BadRequest, "the job has no tasks");
    }
    let max_tasks = if gang { MAX_GANG_TASKS } else { MAX_TASKS };
    if request.tasks > max_tasks {
        let detail =
            format!("the job has {} tasks; at most {max_tasks} are allowed", request.tasks);
        return refuse(caller::RefusalKind::BadRequest, detail);
    }
    if request.deadline_ms == Some(0) {
        return refuse(caller::RefusalKind::DeadlinePassed, "the deadline has passed");
    }
    check_limit(cluster, submission, gang)?;
    if cluster.workers.is_empty() {
        let detail = "the workers of the cell are not known yet";
        let refusal = caller::Refusal::not_run(caller::RefusalKind::NoAuthority, detail);
        return Err(refusal.with_retry_after(intake::RETRY_AFTER_MS));
    }
    if !fits_some_worker(cluster, &request.resources) {
        let detail = "a task of the job does not fit on any worker of the cell";
        return refuse(caller::RefusalKind::NeverFits, detail);
    }
    if gang && !gang::fits_cell(cluster, request.tasks, &request.resources) {
        let detail = "the tasks of the gang do not all fit on the workers of the cell at once";
        return refuse(caller::RefusalKind::NeverFits, detail);
    }
    Ok(())
}

/// Refuses a job if one of its tasks, or the whole gang, exceeds the limit of the team.
fn check_limit(
    cluster: &cluster::Cluster,
    submission: &super::Submission,
    gang: bool,
) -> std::result::Result<(), caller::Refusal> {
    let teams = &cluster.declaration.teams;
    let Some(team) = teams.iter().find(|team| team.name == submission.team) else {
        return Ok(());
    };
    let Some(limit) = team.limit else {
        return Ok(());
    };
    let at_once = if gang { u64::from(submission.request.tasks) } else { 1 };
    if submission.request.resources.scaled(at_once, 1).fits_in(&limit) {
        return Ok(());
    }
    let what = if gang { "the whole gang" } else { "one task" };
    refuse(caller::RefusalKind::OverLimit, format!("the team's limit is below {what}"))
}

/// Whether a task would fit on some worker of the host list if it were empty. Closed workers count,
/// because they may open again.
pub(super) fn fits_some_worker(
    cluster: &cluster::Cluster,
    resources: &pier_core::Resources,
) -> bool {
    cluster.workers.values().any(|info| resources.fits_in(&info.entry.resources))
}

fn refuse(
    kind: caller::RefusalKind,
    detail: impl Into<String>,
) -> std::result::Result<(), caller::Refusal> {
    Err(caller::Refusal::not_run(kind, detail))
}
