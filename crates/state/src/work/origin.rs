//! The origin of tasks. It selects a worker owner for each attempt and tracks the attempt until it
//! ends.

mod choice;
mod messages;

use std::collections;
use std::time;

use pier_core::{caller, clock, ids, resources, task};
use rand::SeedableRng;
use rand::rngs;

use crate::work::placement::{self, AttemptEvent, AttemptId};
use crate::work::{ledger, owner, step};
use crate::{cluster, message, options};

/// The interval between repeats of an unanswered message to an owner.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// The interval between repeats of a placement that the owner has accepted.
const ACCEPTED_RETRY_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// How often an owner is asked about a running request, in case the message that its answer was
/// lost did not arrive.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// The number of messages per lease duration that list the attempts still wanted, so that several
/// can be lost before a lease lapses.
const KEEPS_PER_LEASE: u32 = 6;
/// The interval between checks of all attempts.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// The suggested retry delay in a refusal when no owner can be asked.
const RETRY_AFTER_MS: u64 = 1_000;
/// The number of randomly chosen owners that are compared.
const OWNER_CHOICES: usize = 2;

/// The kind of an attempt update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum UpdateKind {
    /// An event that is also passed to jobs.
    Event(AttemptEvent),
    /// The attempt may have run or may still run. `Ended` follows once its end is certain.
    Lost,
}

/// An update on an attempt for the request or job it belongs to.
#[derive(Debug)]
pub(super) struct AttemptUpdate {
    pub(super) id: AttemptId,
    /// The owner that refused the attempt; none for all other updates.
    pub(super) owner: Option<ids::HostId>,
    pub(super) kind: UpdateKind,
}

/// The progress of an attempt as known to its origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The owner was asked to place it.
    Asked,
    /// The owner holds capacity for it.
    Reserved,
    /// The owner was asked to start it on the reserved capacity.
    Committed,
    /// A worker runs it.
    Started,
}

/// An attempt whose end is not known.
#[derive(Debug)]
struct TrackedAttempt {
    /// The task; none if the attempt was adopted or has started.
    spec: Option<task::TaskSpec>,
    is_job: bool,
    owner: ids::HostId,
    owner_incarnation: ids::Incarnation,
    phase: Phase,
    worker: Option<ids::WorkerId>,
    accepted: bool,
    next_send: time::Duration,
    start_by: Option<time::Duration>,
    deadline: Option<time::Duration>,
    reserve: bool,
    cancelled: bool,
    /// Whether the answer of a request was lost.
    answer_lost: bool,
    /// The time by which an attempt with a lost owner has certainly ended; none while the owner is
    /// known.
    latest_end: Option<time::Duration>,
}

/// This host as a candidate owner.
pub(super) struct LocalOwner<'a> {
    pub(super) ledger: &'a ledger::Ledger,
    pub(super) waiting: u64,
    pub(super) oldest_wait_ms: u64,
}

/// Attempts sent to an owner since it last reported its free capacity.
#[derive(Debug, Default)]
struct UnreportedLoad {
    load_at: Option<time::Duration>,
    amount: resources::Resources,
}

/// Places and tracks the attempts that this host originates.
#[derive(Debug)]
pub(super) struct Origin {
    options: options::Options,
    rng: rngs::StdRng,
    tracked: collections::BTreeMap<AttemptId, TrackedAttempt>,
    unreported: collections::BTreeMap<ids::HostId, UnreportedLoad>,
    /// The owners whose complete attempt list for this epoch has arrived.
    listed: collections::BTreeSet<ids::HostId>,
    /// Updates for requests and jobs, in order.
    pub(super) updates: collections::VecDeque<AttemptUpdate>,
    checked_at: time::Duration,
    keep_sent_at: time::Duration,
}

impl Origin {
    pub(super) fn new(options: options::Options, seed: u64) -> Self {
        Self {
            options,
            rng: rngs::StdRng::seed_from_u64(seed),
            tracked: collections::BTreeMap::new(),
            unreported: collections::BTreeMap::new(),
            listed: collections::BTreeSet::new(),
            updates: collections::VecDeque::new(),
            checked_at: time::Duration::ZERO,
            keep_sent_at: time::Duration::ZERO,
        }
    }

    /// Places an attempt at an owner that is not in `avoid`.
    pub(super) fn place(
        &mut self,
        step: &mut step::Step<'_>,
        local: &LocalOwner<'_>,
        placement: placement::Placement,
        avoid: &[ids::HostId],
    ) {
        let id = (placement.spec.task.clone(), placement.attempt);
        if self.tracked.contains_key(&id) {
            return;
        }
        let queued_ahead = match &placement.spec.job {
            Some(job) if placement.reserve => self.waiting_reservations(step, job),
            _ => 0,
        };
        let chosen = self.choose(step, local, &placement.spec.resources, queued_ahead, avoid);
        let Some((owner, owner_incarnation)) = chosen else {
            let kind = match step.cluster.is_member {
                true => caller::RefusalKind::NoRoom,
                false => caller::RefusalKind::NoAuthority,
            };
            let refusal = caller::Refusal::not_run(kind, "no host can place the task now")
                .with_retry_after(RETRY_AFTER_MS);
            self.push_event(id, None, AttemptEvent::NotRun { refusal });
            return;
        };
        if owner != *step.me() {
            let unreported = self.unreported.entry(owner.clone()).or_default();
            unreported.amount = unreported.amount.plus(&placement.spec.resources);
        }
        let mut tracked = TrackedAttempt {
            is_job: placement.spec.job.is_some(),
            spec: Some(placement.spec),
            owner,
            owner_incarnation,
            phase: Phase::Asked,
            worker: None,
            accepted: false,
            next_send: step.now,
            start_by: placement.start_by,
            deadline: placement.deadline,
            reserve: placement.reserve,
            cancelled: false,
            answer_lost: false,
            latest_end: None,
        };
        send_place(step, &id, &mut tracked);
        self.tracked.insert(id, tracked);
    }

    /// Starts an attempt for which capacity is reserved.
    pub(super) fn commit(&mut self, step: &mut step::Step<'_>, id: &AttemptId) {
        let Some(tracked) = self.tracked.get_mut(id) else {
            return;
        };
        if tracked.phase == Phase::Reserved {
            tracked.phase = Phase::Committed;
            tracked.next_send = step.now + RETRY_INTERVAL;
            send_commit(step, id, tracked);
        }
    }

    /// Cancels an attempt. Its end is still reported once it is known.
    pub(super) fn cancel(&mut self, step: &mut step::Step<'_>, id: &AttemptId) {
        let Some(tracked) = self.tracked.get_mut(id) else {
            return;
        };
        tracked.cancelled = true;
        tracked.next_send = step.now + RETRY_INTERVAL;
        send_cancel(step, id, tracked);
    }

    /// Asks an owner to cancel an attempt that this host does not track.
    pub(super) fn cancel_at(
        &mut self,
        step: &mut step::Step<'_>,
        owner: &ids::HostId,
        id: &AttemptId,
    ) {
        if self.tracked.contains_key(id) {
            return;
        }
        let (task, attempt) = id.clone();
        step.send_place(owner, message::PlaceMessage::Cancel { task, attempt });
    }

    /// Tracks an attempt that runs on a worker of `adoption.owner`.
    pub(super) fn adopt(&mut self, step: &step::Step<'_>, adoption: placement::Adoption) {
        let Some(owner_incarnation) = step.incarnation_of(&adoption.owner) else {
            return;
        };
        let tracked = self.tracked.entry(adoption.attempt).or_insert_with(|| TrackedAttempt {
            spec: None,
            is_job: true,
            owner: adoption.owner.clone(),
            owner_incarnation,
            phase: Phase::Started,
            worker: None,
            accepted: true,
            next_send: step.now,
            start_by: None,
            deadline: None,
            reserve: false,
            cancelled: false,
            answer_lost: false,
            latest_end: None,
        });
        tracked.owner = adoption.owner;
        tracked.owner_incarnation = owner_incarnation;
        tracked.phase = Phase::Started;
        tracked.worker = Some(adoption.worker);
        tracked.latest_end = None;
    }

    /// The owner and the worker of an attempt, as far as they are known.
    pub(super) fn location(
        &self,
        id: &AttemptId,
    ) -> Option<(&ids::HostId, Option<&ids::WorkerId>)> {
        let tracked = self.tracked.get(id)?;
        Some((&tracked.owner, tracked.worker.as_ref()))
    }

    fn push_event(&mut self, id: AttemptId, owner: Option<ids::HostId>, event: AttemptEvent) {
        self.updates.push_back(AttemptUpdate { id, owner, kind: UpdateKind::Event(event) });
    }

    fn push_lost(&mut self, id: AttemptId) {
        self.updates.push_back(AttemptUpdate { id, owner: None, kind: UpdateKind::Lost });
    }

    /// Drops attempts of jobs that moved to another host and marks attempts as lost whose owner is
    /// no longer a member.
    pub(super) fn on_epoch(&mut self, step: &step::Step<'_>, removed: &[ids::HostId]) {
        // The attempts of a job are tracked by the owner of the job.
        self.tracked.retain(|id, tracked| {
            !tracked.is_job || job_of(&id.0).is_some_and(|job| step.cluster.is_home_of(job))
        });
        let mut lost = Vec::new();
        for (id, tracked) in &mut self.tracked {
            if tracked.owner == *step.me() || tracked.latest_end.is_some() {
                continue;
            }
            let is_same_process =
                step.incarnation_of(&tracked.owner) == Some(tracked.owner_incarnation);
            if is_same_process && !removed.contains(&tracked.owner) {
                continue;
            }
            if !tracked.is_job
                && tracked.phase != Phase::Reserved
                && owner_may_finish(&self.options, step, tracked)
            {
                continue;
            }
            tracked.latest_end =
                Some(step.now + lost_attempt_timeout(&self.options, tracked.is_job));
            lost.push((id.clone(), tracked.phase));
        }
        for (id, phase) in lost {
            if phase != Phase::Reserved {
                self.push_lost(id);
                continue;
            }
            // Reserved capacity is never used without a commit.
            self.tracked.remove(&id);
            let kind = caller::RefusalKind::WorkerLost;
            let refusal = caller::Refusal::not_run(kind, "the owner of the reservation was lost");
            self.push_event(id, None, AttemptEvent::NotRun { refusal });
        }
        self.listed.clear();
        let members = &step.cluster.member_hosts;
        self.unreported.retain(|host, _| members.binary_search(host).is_ok());
    }

    /// Resends unanswered messages, ends lost attempts and sends the lists of wanted attempts.
    pub(super) fn tick(&mut self, step: &mut step::Step<'_>) {
        if step.now >= self.checked_at + CHECK_INTERVAL {
            self.checked_at = step.now;
            self.check_attempts(step);
        }
        let keep_interval = self.options.task_lease / KEEPS_PER_LEASE;
        if step.now >= self.keep_sent_at + keep_interval && step.cluster.may_start(step.now) {
            self.keep_sent_at = step.now;
            self.keep(step);
        }
    }

    fn check_attempts(&mut self, step: &mut step::Step<'_>) {
        let mut ended = Vec::new();
        let mut lost = Vec::new();
        for (id, tracked) in &mut self.tracked {
            let is_member = step.cluster.member_hosts.binary_search(&tracked.owner).is_ok();
            let owner_left = tracked.owner != *step.me() && !is_member;
            if owner_left
                && !tracked.is_job
                && tracked.latest_end.is_none()
                && !owner_may_finish(&self.options, step, tracked)
            {
                tracked.latest_end =
                    Some(step.now + lost_attempt_timeout(&self.options, tracked.is_job));
                lost.push(id.clone());
            }
            if let Some(until) = tracked.latest_end {
                if until <= step.now {
                    ended.push(id.clone());
                }
                continue;
            }
            if tracked.owner == *step.me() || step.now < tracked.next_send {
                continue;
            }
            if step.incarnation_of(&tracked.owner) != Some(tracked.owner_incarnation) {
                continue;
            }
            tracked.next_send = step.now + RETRY_INTERVAL;
            if tracked.cancelled {
                send_cancel(step, id, tracked);
                continue;
            }
            match tracked.phase {
                Phase::Asked => send_place(step, id, tracked),
                Phase::Committed => send_commit(step, id, tracked),
                Phase::Started if !tracked.is_job && !tracked.answer_lost => {
                    // The owner answers a repeated commit with the state of the attempt.
                    tracked.next_send = step.now + POLL_INTERVAL;
                    send_commit(step, id, tracked);
                }
                Phase::Reserved | Phase::Started => {}
            }
        }
        for id in lost {
            self.push_lost(id);
        }
        for id in ended {
            let worker = self.tracked.remove(&id).and_then(|tracked| tracked.worker);
            self.push_event(id, None, AttemptEvent::Ended { end: None, worker });
        }
    }

    /// Sends each owner the list of its job attempts that are still wanted. Attempts whose owner is
    /// uncertain are listed to all members.
    fn keep(&mut self, step: &mut step::Step<'_>) {
        let mut by_owner: collections::BTreeMap<ids::HostId, KeepList> =
            collections::BTreeMap::new();
        let members = &step.cluster.member_hosts;
        for (id, tracked) in &self.tracked {
            if !tracked.is_job || tracked.cancelled {
                continue;
            }
            if tracked.latest_end.is_none() {
                let keep_list = by_owner.entry(tracked.owner.clone()).or_default();
                keep_list.tasks.push(id.clone());
                keep_list.uncertain |= tracked.phase != Phase::Started;
                continue;
            }
            for member in members {
                let keep_list = by_owner.entry(member.clone()).or_default();
                keep_list.tasks.push(id.clone());
                keep_list.uncertain = true;
            }
        }
        for (owner, KeepList { tasks, uncertain }) in by_owner {
            let list = uncertain || !self.listed.contains(&owner);
            step.send_place(&owner, message::PlaceMessage::Keep { tasks, list });
        }
    }
}

/// A list of wanted attempts for one owner.
#[derive(Debug, Default)]
struct KeepList {
    tasks: Vec<AttemptId>,
    /// Whether it is uncertain that the owner has started all of them, so that its own list is
    /// needed even if it is the same.
    uncertain: bool,
}

/// A candidate owner.
#[derive(Debug)]
struct Candidate {
    host: ids::HostId,
    incarnation: ids::Incarnation,
    free_ppm: u64,
    waiting: u64,
    oldest_wait_ms: u64,
}

impl Candidate {
    fn is_better_than(&self, other: &Self) -> bool {
        let key = |candidate: &Self| {
            (candidate.waiting, candidate.oldest_wait_ms, std::cmp::Reverse(candidate.free_ppm))
        };
        key(self) < key(other)
    }
}

/// The job part of a job task's id; none for a request.
pub(super) fn job_of(task: &ids::TaskId) -> Option<&str> {
    task.rsplit_once('/').map(|(job, _)| job)
}

/// The maximum time an attempt may still run after its owner was lost. The owner may act on the old
/// epoch while its authority lasts, and a start may still be in transit.
fn lost_attempt_timeout(options: &options::Options, is_job: bool) -> time::Duration {
    let lease = match is_job {
        true => owner::job_lease(options),
        false => options.request_lease,
    };
    options.takeover_wait() + lease + options.lease_margin
}

/// Whether the owner of a request's attempt may still hold the call to the worker. A host that
/// shuts down is removed from the members at once but only exits after its calls are answered.
fn owner_may_finish(
    options: &options::Options,
    step: &step::Step<'_>,
    tracked: &TrackedAttempt,
) -> bool {
    let Some(peer) = step.cluster.peers.get(&tracked.owner) else {
        return false;
    };
    let heard_at = peer.heard_at.unwrap_or_default();
    let is_recently_heard = step.now.saturating_sub(heard_at) < options.suspect_after;
    peer.leaving && is_recently_heard && peer.member.incarnation == tracked.owner_incarnation
}

fn send_place(step: &mut step::Step<'_>, id: &AttemptId, tracked: &mut TrackedAttempt) {
    let Some(spec) = &tracked.spec else {
        return;
    };
    tracked.next_send =
        step.now + if tracked.accepted { ACCEPTED_RETRY_INTERVAL } else { RETRY_INTERVAL };
    let left = |until: time::Duration| clock::millis(until.saturating_sub(step.now));
    let message = message::PlaceMessage::Place {
        spec: Box::new(spec.clone()),
        attempt: id.1,
        wait_ms: tracked.start_by.map_or(u64::MAX, left),
        deadline_ms: tracked.deadline.map(left),
        reserve: tracked.reserve,
        to_incarnation: tracked.owner_incarnation,
    };
    step.send_place(&tracked.owner, message);
}

fn send_commit(step: &mut step::Step<'_>, id: &AttemptId, tracked: &TrackedAttempt) {
    let (task, attempt) = id.clone();
    step.send_place(&tracked.owner, message::PlaceMessage::Commit { task, attempt });
}

fn send_cancel(step: &mut step::Step<'_>, id: &AttemptId, tracked: &TrackedAttempt) {
    let (task, attempt) = id.clone();
    step.send_place(&tracked.owner, message::PlaceMessage::Cancel { task, attempt });
}

/// Whether any worker of the cell could hold `amount` when it is empty.
pub(super) fn ever_fits(cluster: &cluster::Cluster, amount: &resources::Resources) -> bool {
    cluster.workers.values().any(|worker| amount.fits_in(&worker.entry.resources))
}
