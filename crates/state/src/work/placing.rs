//! The origin of tasks: it chooses an owner of workers for each attempt and follows the attempt to
//! its end.

mod choice;
mod news;

use std::collections;
use std::time;

use pier_core::{caller, clock, ids, resources, task};
use rand::SeedableRng;
use rand::rngs;

use crate::work::placement::{self, AttemptEvent, AttemptId};
use crate::work::{ledger, owner, step};
use crate::{cluster, message, options};

/// After how long an unanswered message to an owner is repeated.
const REPEAT: time::Duration = time::Duration::from_millis(500);
/// After how long a place that the owner has accepted is repeated.
const ACCEPTED_REPEAT: time::Duration = time::Duration::from_secs(5);
/// How often an owner is asked about a request that runs, in case the news of its loss is lost.
const POLL: time::Duration = time::Duration::from_secs(2);
/// The number of messages in one lease that list the attempts that are still wanted. So several of
/// them may be lost before a lease lapses.
const KEEPS_PER_LEASE: u32 = 6;
/// The interval between looks at all attempts.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// The advice of refusals when no owner can be asked.
const RETRY_AFTER_MS: u64 = 1_000;
/// The number of owners that are compared.
const CHOICES: usize = 2;

/// What the origin learns of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Told {
    /// What jobs are told as well.
    Placed(AttemptEvent),
    /// The attempt may have run or may run; `Ended` follows when its end is certain.
    Lost,
}

/// News of an attempt.
#[derive(Debug)]
pub(super) struct News {
    pub(super) id: AttemptId,
    /// The owner that was asked, if there was one.
    pub(super) owner: Option<ids::HostId>,
    pub(super) told: Told,
}

/// How far an attempt is, as the origin knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The owner was asked to place it.
    Asked,
    /// The owner holds room for it.
    Reserved,
    /// The owner was asked to start it in the reserved room.
    Committed,
    /// A worker runs it.
    Started,
}

/// An attempt of which the end is not known.
#[derive(Debug)]
struct Wanted {
    /// The task; none for an attempt that was adopted.
    spec: Option<task::TaskSpec>,
    job: bool,
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
    /// Whether the answer of a request is lost.
    lost: bool,
    /// When an attempt whose owner is lost has certainly ended.
    lost_until: Option<time::Duration>,
}

/// This host as an owner of workers.
pub(super) struct Here<'a> {
    pub(super) ledger: &'a ledger::Ledger,
    pub(super) waiting: u64,
    pub(super) oldest_wait_ms: u64,
}

/// What an owner was sent since it last told of its room.
#[derive(Debug, Default)]
struct Sent {
    room_at: Option<time::Duration>,
    amount: resources::Resources,
}

/// The attempts that this host wants placed.
#[derive(Debug)]
pub(super) struct Placing {
    options: options::Options,
    rng: rngs::StdRng,
    wanted: collections::BTreeMap<AttemptId, Wanted>,
    sent: collections::BTreeMap<ids::HostId, Sent>,
    /// The owners whose whole list of this epoch has come.
    listed: collections::BTreeSet<ids::HostId>,
    /// News for requests and jobs, in order.
    pub(super) told: collections::VecDeque<News>,
    looked_at: time::Duration,
    kept_at: time::Duration,
}

impl Placing {
    pub(super) fn new(options: options::Options, seed: u64) -> Self {
        Self {
            options,
            rng: rngs::StdRng::seed_from_u64(seed),
            wanted: collections::BTreeMap::new(),
            sent: collections::BTreeMap::new(),
            listed: collections::BTreeSet::new(),
            told: collections::VecDeque::new(),
            looked_at: time::Duration::ZERO,
            kept_at: time::Duration::ZERO,
        }
    }

    /// Places an attempt at an owner that is not in `avoid`.
    pub(super) fn place(
        &mut self,
        step: &mut step::Step<'_>,
        here: &Here<'_>,
        placement: placement::Placement,
        avoid: &[ids::HostId],
    ) {
        let id = (placement.spec.task.clone(), placement.attempt);
        if self.wanted.contains_key(&id) {
            return;
        }
        let ahead = match &placement.spec.job {
            Some(job) if placement.reserve => self.reserving_here(step, job),
            _ => 0,
        };
        let chosen = self.choose(step, here, &placement.spec.resources, ahead, avoid);
        let Some((owner, owner_incarnation)) = chosen else {
            let kind = match step.cluster.is_member {
                true => caller::RefusalKind::NoRoom,
                false => caller::RefusalKind::NoAuthority,
            };
            let refusal = caller::Refusal::not_run(kind, "no host can place the task now")
                .with_retry_after(RETRY_AFTER_MS);
            self.tell(id, None, AttemptEvent::NotRun { refusal });
            return;
        };
        if owner != *step.me() {
            let sent = self.sent.entry(owner.clone()).or_default();
            sent.amount = sent.amount.plus(&placement.spec.resources);
        }
        let mut wanted = Wanted {
            job: placement.spec.job.is_some(),
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
            lost: false,
            lost_until: None,
        };
        send_place(step, &id, &mut wanted);
        self.wanted.insert(id, wanted);
    }

    /// Starts an attempt for which room is reserved.
    pub(super) fn commit(&mut self, step: &mut step::Step<'_>, id: &AttemptId) {
        let Some(wanted) = self.wanted.get_mut(id) else {
            return;
        };
        if wanted.phase == Phase::Reserved {
            wanted.phase = Phase::Committed;
            wanted.next_send = step.now + REPEAT;
            send_commit(step, id, wanted);
        }
    }

    /// Gives an attempt up. What placement knows of its end is still told.
    pub(super) fn cancel(&mut self, step: &mut step::Step<'_>, id: &AttemptId) {
        let Some(wanted) = self.wanted.get_mut(id) else {
            return;
        };
        wanted.cancelled = true;
        wanted.next_send = step.now + REPEAT;
        send_cancel(step, id, wanted);
    }

    /// Asks an owner to give up an attempt that this host does not follow.
    pub(super) fn cancel_at(
        &mut self,
        step: &mut step::Step<'_>,
        owner: &ids::HostId,
        id: &AttemptId,
    ) {
        if self.wanted.contains_key(id) {
            return;
        }
        let (task, attempt) = id.clone();
        step.send_place(owner, message::PlaceMessage::Cancel { task, attempt });
    }

    /// Follows an attempt that runs on a worker of `adoption.owner`.
    pub(super) fn adopt(&mut self, step: &step::Step<'_>, adoption: placement::Adoption) {
        let Some(owner_incarnation) = step.incarnation_of(&adoption.owner) else {
            return;
        };
        let wanted = self.wanted.entry(adoption.attempt).or_insert_with(|| Wanted {
            spec: None,
            job: true,
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
            lost: false,
            lost_until: None,
        });
        wanted.owner = adoption.owner;
        wanted.owner_incarnation = owner_incarnation;
        wanted.phase = Phase::Started;
        wanted.worker = Some(adoption.worker);
        wanted.lost_until = None;
    }

    /// The owner and the worker of an attempt, as far as they are known.
    pub(super) fn whereabouts(
        &self,
        id: &AttemptId,
    ) -> Option<(&ids::HostId, Option<&ids::WorkerId>)> {
        let wanted = self.wanted.get(id)?;
        Some((&wanted.owner, wanted.worker.as_ref()))
    }

    fn tell(&mut self, id: AttemptId, owner: Option<ids::HostId>, placed: AttemptEvent) {
        self.told.push_back(News { id, owner, told: Told::Placed(placed) });
    }

    fn tell_lost(&mut self, id: AttemptId) {
        self.told.push_back(News { id, owner: None, told: Told::Lost });
    }

    /// Acts on a new epoch: attempts at owners that are no longer members are lost.
    pub(super) fn on_epoch(&mut self, step: &step::Step<'_>, removed: &[ids::HostId]) {
        // The attempts of a job are followed by the owner of the job.
        self.wanted.retain(|id, wanted| {
            !wanted.job || job_of(&id.0).is_some_and(|job| step.cluster.is_home_of(job))
        });
        let mut lost = Vec::new();
        for (id, wanted) in &mut self.wanted {
            if wanted.owner == *step.me() || wanted.lost_until.is_some() {
                continue;
            }
            let present = step.incarnation_of(&wanted.owner) == Some(wanted.owner_incarnation);
            if present && !removed.contains(&wanted.owner) {
                continue;
            }
            if !wanted.job
                && wanted.phase != Phase::Reserved
                && may_finish(&self.options, step, wanted)
            {
                continue;
            }
            wanted.lost_until = Some(step.now + lost_after(&self.options, wanted.job));
            lost.push((id.clone(), wanted.phase));
        }
        for (id, phase) in lost {
            if phase != Phase::Reserved {
                self.tell_lost(id);
                continue;
            }
            // Room that was only reserved is never used without a commit.
            self.wanted.remove(&id);
            let kind = caller::RefusalKind::WorkerLost;
            let refusal = caller::Refusal::not_run(kind, "the owner of the reservation is lost");
            self.tell(id, None, AttemptEvent::NotRun { refusal });
        }
        self.listed.clear();
        let members = &step.cluster.member_hosts;
        self.sent.retain(|host, _| members.binary_search(host).is_ok());
    }

    /// Acts on the passing of time.
    pub(super) fn tick(&mut self, step: &mut step::Step<'_>) {
        if step.now >= self.looked_at + LOOK_INTERVAL {
            self.looked_at = step.now;
            self.look(step);
        }
        let keep_interval = self.options.task_lease / KEEPS_PER_LEASE;
        if step.now >= self.kept_at + keep_interval && step.cluster.may_start(step.now) {
            self.kept_at = step.now;
            self.keep(step);
        }
    }

    fn look(&mut self, step: &mut step::Step<'_>) {
        let mut ended = Vec::new();
        let mut lost = Vec::new();
        for (id, wanted) in &mut self.wanted {
            let is_member = step.cluster.member_hosts.binary_search(&wanted.owner).is_ok();
            let left = wanted.owner != *step.me() && !is_member;
            if left
                && !wanted.job
                && wanted.lost_until.is_none()
                && !may_finish(&self.options, step, wanted)
            {
                wanted.lost_until = Some(step.now + lost_after(&self.options, wanted.job));
                lost.push(id.clone());
            }
            if let Some(until) = wanted.lost_until {
                if until <= step.now {
                    ended.push(id.clone());
                }
                continue;
            }
            if wanted.owner == *step.me() || step.now < wanted.next_send {
                continue;
            }
            if step.incarnation_of(&wanted.owner) != Some(wanted.owner_incarnation) {
                continue;
            }
            wanted.next_send = step.now + REPEAT;
            if wanted.cancelled {
                send_cancel(step, id, wanted);
                continue;
            }
            match wanted.phase {
                Phase::Asked => send_place(step, id, wanted),
                Phase::Committed => send_commit(step, id, wanted),
                Phase::Started if !wanted.job && !wanted.lost => {
                    // The owner answers with where the attempt stands.
                    wanted.next_send = step.now + POLL;
                    send_commit(step, id, wanted);
                }
                Phase::Reserved | Phase::Started => {}
            }
        }
        for id in lost {
            self.tell_lost(id);
        }
        for id in ended {
            let worker = self.wanted.remove(&id).and_then(|wanted| wanted.worker);
            self.tell(id, None, AttemptEvent::Ended { end: None, worker });
        }
    }

    /// Lists the attempts of jobs that are still wanted to each owner. Attempts whose owner is in
    /// doubt are listed to all members.
    fn keep(&mut self, step: &mut step::Step<'_>) {
        let mut by_owner: collections::BTreeMap<ids::HostId, Kept> = collections::BTreeMap::new();
        let members = &step.cluster.member_hosts;
        for (id, wanted) in &self.wanted {
            if !wanted.job || wanted.cancelled {
                continue;
            }
            if wanted.lost_until.is_none() {
                let kept = by_owner.entry(wanted.owner.clone()).or_default();
                kept.tasks.push(id.clone());
                kept.unsure |= wanted.phase != Phase::Started;
                continue;
            }
            for member in members {
                let kept = by_owner.entry(member.clone()).or_default();
                kept.tasks.push(id.clone());
                kept.unsure = true;
            }
        }
        for (owner, Kept { tasks, unsure }) in by_owner {
            let list = unsure || !self.listed.contains(&owner);
            step.send_place(&owner, message::PlaceMessage::Keep { tasks, list });
        }
    }
}

/// The attempts that are listed to an owner.
#[derive(Debug, Default)]
struct Kept {
    tasks: Vec<AttemptId>,
    /// Whether it is not certain that the owner has started one of them, so that its list is needed
    /// even if it is the same.
    unsure: bool,
}

/// An owner that could be asked.
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

/// The job in the id of a job task; none for a request.
pub(super) fn job_of(task: &ids::TaskId) -> Option<&str> {
    task.rsplit_once('/').map(|(job, _)| job)
}

/// How long after the loss of its owner an attempt may still run at the most: the owner may act on
/// the old epoch while its authority lasts, and the start may be on its way.
fn lost_after(options: &options::Options, job: bool) -> time::Duration {
    let lease = match job {
        true => owner::job_lease(options),
        false => options.request_lease,
    };
    options.takeover_wait() + lease + options.lease_margin
}

/// Whether the owner of a request's attempt still holds the call to the worker: a host that shuts
/// down is removed from the members at once, and ends only when its calls have been answered.
fn may_finish(options: &options::Options, step: &step::Step<'_>, wanted: &Wanted) -> bool {
    let Some(peer) = step.cluster.peers.get(&wanted.owner) else {
        return false;
    };
    let heard_at = peer.heard_at.unwrap_or_default();
    let heard = step.now.saturating_sub(heard_at) < options.suspect_after;
    peer.leaving && heard && peer.member.incarnation == wanted.owner_incarnation
}

fn send_place(step: &mut step::Step<'_>, id: &AttemptId, wanted: &mut Wanted) {
    let Some(spec) = &wanted.spec else {
        return;
    };
    wanted.next_send = step.now + if wanted.accepted { ACCEPTED_REPEAT } else { REPEAT };
    let left = |until: time::Duration| clock::millis(until.saturating_sub(step.now));
    let message = message::PlaceMessage::Place {
        spec: Box::new(spec.clone()),
        attempt: id.1,
        wait_ms: wanted.start_by.map_or(u64::MAX, left),
        deadline_ms: wanted.deadline.map(left),
        reserve: wanted.reserve,
        to_incarnation: wanted.owner_incarnation,
    };
    step.send_place(&wanted.owner, message);
}

fn send_commit(step: &mut step::Step<'_>, id: &AttemptId, wanted: &Wanted) {
    let (task, attempt) = id.clone();
    step.send_place(&wanted.owner, message::PlaceMessage::Commit { task, attempt });
}

fn send_cancel(step: &mut step::Step<'_>, id: &AttemptId, wanted: &Wanted) {
    let (task, attempt) = id.clone();
    step.send_place(&wanted.owner, message::PlaceMessage::Cancel { task, attempt });
}

/// Whether `cluster` has a worker that could hold the amount when it is empty.
pub(super) fn ever_fits(cluster: &cluster::Cluster, amount: &resources::Resources) -> bool {
    cluster.workers.values().any(|worker| amount.fits_in(&worker.entry.resources))
}
