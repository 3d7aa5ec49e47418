//! The batch jobs, gang jobs and services that this host owns.
//!
//! The owner of a job is the home of the job's id among the members. Jobs return commands that place
//! and cancel attempts of their tasks, and receive the events of these attempts. They do not
//! communicate with workers.

mod admission;
mod attempts;
mod batch;
mod explain;
mod gang;
mod intake;
mod job;
mod ownership;
mod ranges;
mod service;

pub use attempts::is_from_earlier_epoch;

use std::collections;
use std::time;

use pier_core::{caller, ids, task};

use crate::work::placement;
use crate::{cluster, message, options, outbox, report};

/// The maximum number of tasks per team that wait for a worker on behalf of this host. The limit is
/// per team so that a team with many jobs does not delay the tasks of another team.
const MAX_QUEUED_PER_TEAM: usize = 512;
/// The maximum number of attempts of unknown jobs that are remembered until their leases expire.
const MAX_ORPHANS: usize = 100_000;

/// The jobs that this host owns, and the callers that wait for an answer about a job.
#[derive(Debug)]
pub struct Jobs {
    options: options::Options,
    intake: intake::Intake,
    owned: collections::BTreeMap<ids::JobId, job::Job>,
    /// The number of tasks of each team that wait for a worker.
    queued_by_team: collections::BTreeMap<ids::TeamId, usize>,
    /// The number of jobs of each team that this host owns.
    jobs_by_team: collections::BTreeMap<ids::TeamId, usize>,
    /// When this host first saw each unfinished job. Deadlines are relative to this time.
    first_seen: collections::BTreeMap<ids::JobId, time::Duration>,
    epoch: ids::Epoch,
    epoch_started_at: time::Duration,
    /// The members that have reported all attempts that they track in this epoch.
    reported_members: collections::BTreeSet<ids::HostId>,
    /// Cancelled attempts that no known job tracks, with the time at which their leases have
    /// certainly expired.
    orphans: collections::BTreeMap<placement::AttemptId, time::Duration>,
    /// The histories of jobs that this host has stopped tracking, oldest first.
    ended_histories: collections::VecDeque<(ids::JobId, Vec<String>)>,
    /// When the acceptance of each declared job was last appended to the log.
    declared_appended_at: collections::BTreeMap<ids::JobId, time::Duration>,
    declared_checked_at: time::Duration,
    /// The version of the declaration that was last applied to the services.
    version: ids::Version,
}

/// A job submission from a caller that is authorized to act for `team`.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Identifies the caller's request; the answer carries it.
    pub ticket: ids::Ticket,
    /// The id of the new job.
    pub job: ids::JobId,
    /// The team whose limit and share the job counts against.
    pub team: ids::TeamId,
    /// The class of the queue.
    pub class: task::Class,
    pub request: caller::JobRequest,
    /// The wall clock in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

impl Jobs {
    pub fn new(options: options::Options) -> Self {
        Self {
            intake: intake::Intake::new(options.max_waiting),
            options,
            owned: collections::BTreeMap::new(),
            queued_by_team: collections::BTreeMap::new(),
            jobs_by_team: collections::BTreeMap::new(),
            first_seen: collections::BTreeMap::new(),
            epoch: 0,
            epoch_started_at: time::Duration::ZERO,
            reported_members: collections::BTreeSet::new(),
            orphans: collections::BTreeMap::new(),
            ended_histories: collections::VecDeque::new(),
            declared_appended_at: collections::BTreeMap::new(),
            declared_checked_at: time::Duration::ZERO,
            version: 0,
        }
    }

    /// Accepts or refuses a job. The caller of an accepted job is answered once the job is stored.
    pub fn submit(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        submission: Submission,
        out: &mut outbox::Outbox,
    ) {
        if let Some(status) = self.status(cluster, &submission.job) {
            let same_team = self.team_of(cluster, &submission.job) == Some(&submission.team);
            let stored = self.request_of(cluster, &submission.job);
            let same = stored.is_none_or(|request| *request == submission.request);
            let answer = match (same_team, same) {
                (true, true) => Ok(status),
                (true, false) => Err(intake::request_mismatch(&submission.job)),
                (false, _) => Err(intake::id_taken(&submission.job)),
            };
            intake::answer(submission.ticket, answer, out);
            return;
        }
        self.intake.submit(now, cluster, submission, out);
    }

    /// Answers a caller of `team` with the status of a job.
    pub fn query(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        ticket: ids::Ticket,
        team: &ids::TeamId,
        job: ids::JobId,
        out: &mut outbox::Outbox,
    ) {
        if self.team_of(cluster, &job) != Some(team) {
            intake::answer(ticket, Err(intake::unknown_job(&job)), out);
            return;
        }
        if !self.has_latest_status(cluster, &job) {
            self.intake.ask_owner(now, cluster, ticket, job, out);
            return;
        }
        let status = self.status(cluster, &job).ok_or_else(|| intake::unknown_job(&job));
        intake::answer(ticket, status, out);
    }

    /// Cancels a job for a caller of `team`.
    pub fn cancel(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        ticket: ids::Ticket,
        team: &ids::TeamId,
        job: ids::JobId,
        out: &mut outbox::Outbox,
    ) {
        if self.team_of(cluster, &job) != Some(team) {
            intake::answer(ticket, Err(intake::unknown_job(&job)), out);
            return;
        }
        let fold = cluster.jobs.get(&job);
        if fold.is_some_and(|fold| fold.phase.is_some() || fold.cancelled) {
            let status = self.status(cluster, &job).ok_or_else(|| intake::unknown_job(&job));
            intake::answer(ticket, status, out);
            return;
        }
        self.intake.cancel(now, cluster, ticket, job, out);
    }

    /// Handles an event of an attempt.
    pub fn on_attempt_event(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        attempt: &placement::AttemptId,
        event: placement::AttemptEvent,
        out: &mut outbox::Outbox,
    ) -> placement::Commands {
        let mut commands = placement::Commands::default();
        let (task, number) = attempt;
        let Some((job, index)) = split_task(task) else {
            return commands;
        };
        if matches!(
            event,
            placement::AttemptEvent::NotRun { .. } | placement::AttemptEvent::Ended { .. }
        ) {
            self.orphans.remove(attempt);
        }
        self.step(now, cluster, &job, out, &mut commands, |job, step| {
            job.on_attempt_event(index, *number, event, step);
        });
        commands
    }

    /// Handles the list of attempts of this host's jobs that a worker owner still tracks.
    /// `is_complete` is set if the owner has finished the takeovers of the current epoch.
    pub fn on_held(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        owner: &ids::HostId,
        is_complete: bool,
        tasks: &[(ids::TaskId, ids::Attempt, ids::WorkerId)],
        out: &mut outbox::Outbox,
    ) -> placement::Commands {
        let mut commands = placement::Commands::default();
        self.sync_epoch(now, cluster, &mut commands);
        let lapses_at = now + self.options.task_lease + self.options.lease_margin;
        let mut changed = collections::BTreeSet::new();
        for (task, attempt, worker) in tasks {
            let Some((id, index)) = split_task(task) else {
                continue;
            };
            if !cluster.is_home_of(&id) {
                // Another host owns the job and decides on the attempt.
                continue;
            }
            if !self.owned.contains_key(&id) {
                commands.cancel.push((task.clone(), *attempt));
                if self.orphans.len() < MAX_ORPHANS {
                    self.orphans.insert((task.clone(), *attempt), lapses_at);
                }
                continue;
            }
            let Some(job) = self.owned.get_mut(&id) else {
                continue;
            };
            let mut step = job::Step {
                now,
                cluster,
                options: &self.options,
                all_members_reported: false,
                team_queue_left: 0,
                job_queue_share: 0,
                out,
                commands: &mut commands,
            };
            let before = job.queued;
            job.on_held(index, *attempt, owner, worker, &mut step);
            let (team, after) = (job.spec.team.clone(), job.queued);
            self.count_queued(&team, before, after);
            changed.insert(id);
        }
        if is_complete
            && self.reported_members.insert(owner.clone())
            && self.all_members_reported(cluster)
        {
            changed.extend(self.owned.keys().cloned());
        }
        for id in changed {
            self.step(now, cluster, &id, out, &mut commands, |_, _| {});
        }
        commands
    }

    /// Handles a message from a peer.
    pub fn on_message(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        from: &ids::HostId,
        message: message::JobMessage,
        out: &mut outbox::Outbox,
    ) {
        match message {
            message::JobMessage::Hold { record } => {
                let job = record.job.clone();
                self.intake.hold(now, cluster, from, record, out);
                self.take_ownership_of_held(now, cluster, &job);
            }
            message::JobMessage::HoldAck { job } => {
                self.intake.on_hold_ack(now, cluster, from, &job, out);
                self.take_ownership_of_held(now, cluster, &job);
            }
            message::JobMessage::Query { ticket, job } => {
                let status =
                    if cluster.is_home_of(&job) { self.status(cluster, &job) } else { None };
                let answer = message::JobMessage::Status { ticket, status };
                out.send(cluster, from, message::Message::Job(answer));
            }
            message::JobMessage::Status { ticket, status } => {
                self.intake.on_status(ticket, status, out);
            }
        }
    }

    /// Applies a change of the cell.
    pub fn on_change(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        change: &cluster::Change,
        out: &mut outbox::Outbox,
    ) -> placement::Commands {
        let mut commands = placement::Commands::default();
        match change {
            cluster::Change::Epoch { .. } => self.sync_epoch(now, cluster, &mut commands),
            cluster::Change::Declaration => {
                // One read of the log can contain a declaration and an epoch. If the declaration
                // were applied first, a service of a removed owner would be treated as a new one.
                self.sync_epoch(now, cluster, &mut commands);
                self.sync_declared(now, cluster, out);
            }
            cluster::Change::Job { job } => {
                self.sync_epoch(now, cluster, &mut commands);
                self.on_job_changed(now, cluster, job, out, &mut commands);
            }
            cluster::Change::Expelled => self.drop_all(now, &mut commands),
            cluster::Change::WorkerGained { .. }
            | cluster::Change::WorkerLost { .. }
            | cluster::Change::WorkerStatus { .. } => {}
        }
        commands
    }

    /// Runs the periodic work.
    pub fn tick(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        out: &mut outbox::Outbox,
    ) -> placement::Commands {
        let mut commands = placement::Commands::default();
        self.sync_epoch(now, cluster, &mut commands);
        self.orphans.retain(|_, lapses_at| *lapses_at > now);
        self.intake.tick(now, cluster, out);
        self.sync_declared(now, cluster, out);
        let ids: Vec<ids::JobId> = self.owned.keys().cloned().collect();
        for id in ids {
            self.step(now, cluster, &id, out, &mut commands, |_, _| {});
        }
        commands
    }

    /// Whether no caller waits for an answer about a job.
    pub fn is_drained(&self) -> bool {
        self.intake.is_drained()
    }

    /// Explains the state of a job or of a task of a job; none if it is not known here.
    pub fn explain(
        &self,
        _now: time::Duration,
        cluster: &cluster::Cluster,
        task: &ids::TaskId,
    ) -> Option<report::Explanation> {
        if let Some(found) = self.explain_job(cluster, task) {
            return Some(found);
        }
        let (id, index) = split_task(task)?;
        let job = self.owned.get(&id)?;
        (index < job.spec.tasks).then(|| job.explain_task(index))
    }

    /// The number of unfinished jobs that this host owns.
    pub fn unfinished(&self, _cluster: &cluster::Cluster) -> u64 {
        let mut unfinished = 0;
        for job in self.owned.values() {
            unfinished += u64::from(!job.is_service() && job.ending.is_none());
        }
        unfinished
    }

    fn explain_job(
        &self,
        cluster: &cluster::Cluster,
        id: &ids::JobId,
    ) -> Option<report::Explanation> {
        if let Some(job) = self.owned.get(id) {
            return Some(job.explain());
        }
        let fold = cluster.jobs.get(id)?;
        let status = intake::fold_status(id, fold);
        let history = self.ended_histories.iter().find(|(ended, _)| ended == id);
        let state = match (fold.phase, cluster.home_of(id)) {
            (Some(phase), _) => phase.to_string(),
            (None, Some(home)) => format!("owned by {home}"),
            (None, None) => "without an owner".to_owned(),
        };
        Some(report::Explanation {
            task: id.clone(),
            state: state.into(),
            worker: None,
            waits_for: status.reason.map(|reason| reason.kind),
            limit: None,
            tried: history.map(|(_, lines)| lines.clone()).unwrap_or_default(),
            ask_address: None,
        })
    }

    /// Applies `update` to a job that this host owns, then advances the job.
    fn step(
        &mut self,
        now: time::Duration,
        cluster: &cluster::Cluster,
        id: &ids::JobId,
        out: &mut outbox::Outbox,
        commands: &mut placement::Commands,
        update: impl FnOnce(&mut job::Job, &mut job::Step<'_>),
    ) {
        let all_members_reported = self.all_members_reported(cluster);
        let Some(job) = self.owned.get_mut(id) else {
            return;
        };
        let team = job.spec.team.clone();
        let queued = self.queued_by_team.get(&team).copied().unwrap_or(0);
        let team_queue_left = MAX_QUEUED_PER_TEAM.saturating_sub(queued);
        let jobs = self.jobs_by_team.get(&team).copied().unwrap_or(1);
        let job_queue_share = MAX_QUEUED_PER_TEAM / jobs.max(1);
        let options = &self.options;
        let mut step = job::Step {
            now,
            cluster,
            options,
            all_members_reported,
            team_queue_left,
            job_queue_share,
            out,
            commands,
        };
        let before = job.queued;
        update(job, &mut step);
        job.advance(&mut step);
        let after = job.queued;
        self.count_queued(&team, before, after);
    }

    fn count_queued(&mut self, team: &ids::TeamId, before: usize, after: usize) {
        adjust_count(&mut self.queued_by_team, team, before, after);
    }

    fn count_jobs(&mut self, team: &ids::TeamId, before: usize, after: usize) {
        adjust_count(&mut self.jobs_by_team, team, before, after);
    }

    /// The team of a job; none if this host does not know the job.
    fn team_of<'a>(
        &'a self,
        cluster: &'a cluster::Cluster,
        id: &ids::JobId,
    ) -> Option<&'a ids::TeamId> {
        if let Some(job) = self.owned.get(id) {
            return Some(&job.spec.team);
        }
        if let Some(fold) = cluster.jobs.get(id) {
            return Some(&fold.record.team);
        }
        if let Some(record) = self.intake.held(id) {
            return Some(&record.team);
        }
        let service = cluster.declaration.services.iter().find(|service| service.name == *id)?;
        Some(&service.team)
    }

    /// The request of a stored job; none for a service.
    fn request_of<'a>(
        &'a self,
        cluster: &'a cluster::Cluster,
        id: &ids::JobId,
    ) -> Option<&'a caller::JobRequest> {
        if let Some(fold) = cluster.jobs.get(id) {
            return Some(&fold.record.request);
        }
        self.intake.held(id).map(|record| &record.request)
    }

    /// The status of a job as far as this host knows it.
    fn status(&self, cluster: &cluster::Cluster, id: &ids::JobId) -> Option<caller::JobStatus> {
        let owned = self.owned.get(id);
        if let Some(fold) = cluster.jobs.get(id)
            && (fold.phase.is_some() || fold.cancelled || owned.is_none())
        {
            return Some(intake::fold_status(id, fold));
        }
        if let Some(job) = owned {
            return Some(job.status());
        }
        self.intake.held(id).map(intake::held_status)
    }

    /// Whether no other host has a more recent status of the job.
    fn has_latest_status(&self, cluster: &cluster::Cluster, id: &ids::JobId) -> bool {
        let ended = cluster.jobs.get(id).is_some_and(|fold| fold.phase.is_some());
        ended || cluster.is_home_of(id)
    }
}

/// Splits the id of a job's task into the job id and the task index; none for other ids.
pub(super) fn split_task(task: &ids::TaskId) -> Option<(ids::JobId, u32)> {
    let (job, index) = task.rsplit_once('/')?;
    Some((job.into(), index.parse().ok()?))
}

/// The job id of a job's task; any other id is returned as it is.
pub(in crate::work) fn job_of(task: &ids::TaskId) -> ids::JobId {
    split_task(task).map_or_else(|| task.clone(), |(job, _)| job)
}

/// Changes a team's count by the difference between `before` and `after`.
fn adjust_count(
    counts: &mut collections::BTreeMap<ids::TeamId, usize>,
    team: &ids::TeamId,
    before: usize,
    after: usize,
) {
    let count = counts.entry(team.clone()).or_default();
    *count = (*count + after).saturating_sub(before);
    if *count == 0 {
        counts.remove(team);
    }
}
