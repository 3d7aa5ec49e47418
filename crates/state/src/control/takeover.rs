//! Takeovers of workers.

use std::collections;
use std::sync;
use std::time;

use pier_core::{ids, resources, task, wire};

use super::Control;
use crate::{Effect, cluster, effect, event, message, outbox, record};

/// The bounds of the delay before a worker that could not be fenced is fenced again. The delay
/// doubles with each failure.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(200);
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(5);
/// After how long a fence without a result is repeated.
const FENCE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// The number of failures in a row that is reported to the operators.
const REPORTED_FAILURE_COUNT: u32 = 5;
/// How long a worker may be fenced before its takeover counts as delayed. Most workers answer
/// sooner, so that most takeovers cause no reports of what may still run on the worker.
const DELAYED_TAKEOVER_AFTER: time::Duration = time::Duration::from_secs(1);

/// A worker that this host owns or is taking over.
#[derive(Debug)]
pub(super) enum Ownership {
    /// The worker is being taken over.
    InTakeover(Box<Takeover>),
    /// The worker has been taken over.
    Held {
        /// The fencing token with which this host acts on the worker.
        token: task::FencingToken,
    },
}

/// A takeover in progress.
#[derive(Debug)]
pub(super) struct Takeover {
    pub(super) token: task::FencingToken,
    started_at: time::Duration,
    /// Whether no member of an earlier epoch has ever owned the worker.
    never_owned: bool,
    /// The members of each earlier epoch. Any of them may still hold the worker.
    lineage: sync::Arc<Vec<Vec<record::Member>>>,
    /// Since when no predecessor can get authority by rule (b) any more.
    predecessors_excluded_at: Option<time::Duration>,
    pub(super) handoff: Option<ReceivedHandoff>,
    /// The most that the host list has shown the worker to have; none if it never did.
    total: Option<resources::Resources>,
    fence_sent_at: Option<time::Duration>,
    next_at: time::Duration,
    retry_delay: time::Duration,
    failures: u32,
}

/// The handoff that the last owner has sent.
#[derive(Debug)]
pub(super) struct ReceivedHandoff {
    pub(super) from: ids::HostId,
    pub(super) body: message::HandoffBody,
    pub(super) received_at: time::Duration,
}

impl Takeover {
    pub(super) fn new(now: time::Duration, token: task::FencingToken) -> Self {
        Self {
            token,
            started_at: now,
            never_owned: false,
            lineage: sync::Arc::default(),
            predecessors_excluded_at: None,
            handoff: None,
            total: None,
            fence_sent_at: None,
            next_at: now,
            retry_delay: time::Duration::ZERO,
            failures: 0,
        }
    }

    /// When the worker may be fenced; none while that is unknown.
    fn ready_at(&self, wait: time::Duration) -> Option<time::Duration> {
        if let Some(handoff) = &self.handoff {
            return Some(handoff.received_at);
        }
        if self.never_owned {
            return Some(self.started_at);
        }
        let predecessors_excluded_at = self.predecessors_excluded_at?;
        Some(self.started_at.max(predecessors_excluded_at) + wait)
    }
}

impl Control {
    /// The workers that this host has taken over, with the token of each.
    pub(super) fn held_workers(&self) -> Vec<(ids::WorkerId, task::FencingToken)> {
        let mut held = Vec::new();
        for (worker, ownership) in &self.ownerships {
            if let Ownership::Held { token } = ownership {
                held.push((worker.clone(), *token));
            }
        }
        held
    }

    /// The workers that this host holds by a handoff within the current epoch. The record of the
    /// epoch does not show them.
    pub(super) fn workers_held_by_handoff(&self) -> Vec<(ids::WorkerId, task::FencingToken)> {
        let epoch = self.fold.state().epoch;
        let mut handed = self.held_workers();
        handed.retain(|(_, token)| token.epoch == epoch && token.handoff_seq > 0);
        handed
    }

    /// The fencing token with which this host acts on a worker; none unless it holds the worker.
    pub(super) fn acting_token(&self, worker: &str) -> Option<task::FencingToken> {
        match self.ownerships.get(worker)? {
            Ownership::Held { token } => Some(*token),
            Ownership::InTakeover(_) => None,
        }
    }

    /// Gives up workers and begins takeovers as the owners of the current epoch require.
    pub(super) fn reconcile_owners(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        let owners = self.fold.state().epoch_record.owners.clone();
        let epoch = self.fold.state().epoch;
        let me = self.cluster.identity.host.clone();
        self.pending_releases.clear();
        let mut lost = Vec::new();
        for (worker, ownership) in &self.ownerships {
            let owner = owners.get(worker);
            if self.cluster.is_member && owner == Some(&me) {
                continue;
            }
            lost.push((
                worker.clone(),
                owner.cloned(),
                matches!(ownership, Ownership::Held { .. }),
            ));
        }
        for (worker, to, held) in lost {
            self.ownerships.remove(&worker);
            if held {
                let to = to.filter(|to| *to != me);
                self.release_worker(worker, to, 0, out);
            }
        }
        self.update_handoffs(&owners);
        if !self.cluster.is_member || self.cluster.leaving {
            return;
        }
        let lineage = sync::Arc::new(self.fold.state().lineage.clone());
        for (worker, owner) in &owners {
            if *owner != me || self.ownerships.contains_key(worker) {
                continue;
            }
            let mut takeover = Takeover::new(now, task::FencingToken { epoch, handoff_seq: 0 });
            let state = self.fold.state();
            takeover.never_owned =
                !state.restarted && state.first_owned.get(worker) == Some(&epoch);
            takeover.lineage = lineage.clone();
            self.ownerships.insert(worker.clone(), Ownership::InTakeover(Box::new(takeover)));
        }
    }

    /// Drops all workers and handoffs without handing them over.
    pub(super) fn drop_workers(&mut self) {
        self.ownerships.clear();
        self.handoffs.clear();
    }

    /// Advances the takeovers and handoffs.
    pub(super) fn advance_transfers(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        self.hand_over_when_leaving(now, out);
        self.send_due_handoffs(now, out);
        self.exclude_predecessors(now);
        self.update_worker_totals();
        let wait = self.options.takeover_wait();
        let mut due = Vec::new();
        for (worker, ownership) in &self.ownerships {
            let Ownership::InTakeover(takeover) = ownership else {
                continue;
            };
            if takeover.ready_at(wait).is_none_or(|ready_at| now < ready_at)
                || now < takeover.next_at
            {
                continue;
            }
            if takeover.fence_sent_at.is_some_and(|at| now.saturating_sub(at) < FENCE_TIMEOUT) {
                continue;
            }
            due.push(worker.clone());
        }
        for worker in due {
            self.fence_or_query_worker(now, worker, out);
        }
    }

    /// Finds the takeovers for which no predecessor can get authority by rule (b) any more. The
    /// takeover wait counts from then, because an answer that was given before still holds for
    /// `authority_ttl`.
    fn exclude_predecessors(&mut self, now: time::Duration) {
        let mut excluded_by_epoch = collections::BTreeMap::new();
        let mut newly_excluded = Vec::new();
        for (worker, ownership) in &self.ownerships {
            let Ownership::InTakeover(takeover) = ownership else {
                continue;
            };
            if takeover.predecessors_excluded_at.is_some() || takeover.never_owned {
                continue;
            }
            let epoch = takeover.token.epoch;
            let excluded = *excluded_by_epoch
                .entry(epoch)
                .or_insert_with(|| self.are_predecessors_excluded(now, &takeover.lineage, epoch));
            if excluded {
                newly_excluded.push(worker.clone());
            }
        }
        for worker in newly_excluded {
            if let Some(Ownership::InTakeover(takeover)) = self.ownerships.get_mut(&worker) {
                takeover.predecessors_excluded_at = Some(now);
            }
        }
    }

    /// Whether no member of any earlier epoch can get authority by rule (b) of that epoch.
    fn are_predecessors_excluded(
        &self,
        now: time::Duration,
        lineage: &[Vec<record::Member>],
        epoch: ids::Epoch,
    ) -> bool {
        lineage.iter().all(|members| self.are_members_excluded(now, members, epoch))
    }

    /// Whether the members of an earlier epoch cannot get authority by rule (b) as long as this
    /// process lives: it is one of them, or half of them have ended or know the new epoch, so that
    /// the others never are a majority. One live member that knows the new epoch is not enough:
    /// when it dies, the others no longer need its answer.
    fn are_members_excluded(
        &self,
        now: time::Duration,
        members: &[record::Member],
        epoch: ids::Epoch,
    ) -> bool {
        let me = &self.cluster.identity;
        let mut excluded = 0;
        for member in members {
            if member.host == me.host && member.incarnation == me.incarnation {
                return true;
            }
            let peer = self.peers.get(&member.host).filter(|peer| peer.matches(member));
            let knows = peer.is_some_and(|peer| peer.epoch >= epoch);
            excluded += usize::from(knows || self.is_dead(now, member));
        }
        excluded * 2 >= members.len()
    }

    /// Fences a worker, or asks for its report if workers do not support fencing.
    pub(super) fn fence_or_query_worker(
        &mut self,
        now: time::Duration,
        worker: ids::WorkerId,
        out: &mut outbox::Outbox,
    ) {
        let Some(entry) = self.hosts.worker(&worker) else {
            return;
        };
        let address = entry.address.clone();
        let Some(Ownership::InTakeover(takeover)) = self.ownerships.get_mut(&worker) else {
            return;
        };
        if self.options.worker_fencing {
            takeover.fence_sent_at = Some(now);
            out.push(Effect::WorkerFence { worker, address, token: takeover.token });
        } else {
            takeover.next_at = now + self.options.report_lag / 2;
            out.push(Effect::WorkerReport { worker, address });
        }
    }

    pub(super) fn on_worker(
        &mut self,
        now: time::Duration,
        event: event::WorkerEvent,
        out: &mut outbox::Outbox,
    ) {
        match event {
            event::WorkerEvent::Fenced { worker, token, tasks } => {
                let ready = matches!(
                    self.ownerships.get(&worker),
                    Some(Ownership::InTakeover(takeover))
                        if takeover.token == token && takeover.fence_sent_at.is_some()
                );
                if ready {
                    self.complete_takeover(worker, tasks, out);
                }
            }
            event::WorkerEvent::FenceFailed { worker, token, stale } => {
                self.on_fence_failed(now, worker, token, stale, out);
            }
            event::WorkerEvent::Report { worker, asked_at, report }
                if !self.options.worker_fencing =>
            {
                self.on_report(worker, asked_at, report, out);
            }
            _ => {}
        }
    }

    fn on_fence_failed(
        &mut self,
        now: time::Duration,
        worker: ids::WorkerId,
        token: task::FencingToken,
        stale: bool,
        out: &mut outbox::Outbox,
    ) {
        let Some(Ownership::InTakeover(takeover)) = self.ownerships.get_mut(&worker) else {
            return;
        };
        if takeover.token != token || takeover.fence_sent_at.is_none() {
            return;
        }
        takeover.fence_sent_at = None;
        takeover.retry_delay = (takeover.retry_delay * 2).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        takeover.next_at = now + takeover.retry_delay;
        takeover.failures = takeover.failures.saturating_add(1);
        if takeover.failures == REPORTED_FAILURE_COUNT {
            out.push(Effect::Log(effect::Notice::FencingFailed { worker, stale }));
        }
    }

    /// Takes a worker without fencing over if its report is later than the end of the takeover
    /// wait.
    fn on_report(
        &mut self,
        worker: ids::WorkerId,
        asked_at: time::Duration,
        report: wire::WorkerReport,
        out: &mut outbox::Outbox,
    ) {
        let Some(Ownership::InTakeover(takeover)) = self.ownerships.get(&worker) else {
            return;
        };
        let age = time::Duration::from_millis(report.as_of_age_ms);
        let Some(as_of) = asked_at.checked_sub(age) else {
            return;
        };
        let ready_at = takeover.ready_at(self.options.takeover_wait());
        if ready_at.is_some_and(|ready_at| as_of > ready_at) {
            self.complete_takeover(worker, report.tasks, out);
        }
    }

    /// Completes a takeover: this host owns the worker from now on.
    fn complete_takeover(
        &mut self,
        worker: ids::WorkerId,
        tasks: wire::WorkerTasks,
        out: &mut outbox::Outbox,
    ) {
        let Some(Ownership::InTakeover(takeover)) = self.ownerships.remove(&worker) else {
            return;
        };
        let token = takeover.token;
        self.ownerships.insert(worker.clone(), Ownership::Held { token });
        self.takeover_count += 1;
        self.refresh_worker(&worker);
        out.push(Effect::Log(effect::Notice::WorkerTakenOver { worker: worker.clone() }));
        let basis = match takeover.handoff {
            Some(handoff) => {
                self.acknowledge(&handoff.from, &worker, token, out);
                cluster::TakeoverBasis::HandedOver { handoff: handoff.body, listed: tasks }
            }
            None => cluster::TakeoverBasis::Listed(tasks),
        };
        self.changes.push(cluster::Change::WorkerGained { worker, basis });
    }

    /// Records the resources of the workers, because the host list drops a worker that is dead.
    fn update_worker_totals(&mut self) {
        for (worker, ownership) in &mut self.ownerships {
            let Ownership::InTakeover(takeover) = ownership else {
                continue;
            };
            if let Some(entry) = self.hosts.worker(worker) {
                let known = takeover.total.unwrap_or_default();
                takeover.total = Some(known.max(&entry.resources));
            }
        }
    }

    /// Updates whether all takeovers are finished, and the resources of the workers whose takeover
    /// is delayed. A worker that cannot be reached stops counting when every lease that its last
    /// owner can have given has lapsed.
    pub(super) fn update_settled(&mut self, now: time::Duration) {
        let lease = self.options.task_lease.max(self.options.request_lease);
        let lapse_after = self.options.takeover_wait() + lease + self.options.lease_margin;
        let wait = self.options.takeover_wait();
        let mut settled = self.cluster.is_member;
        let mut uncertain_usage = self.cluster.is_member.then_some(resources::Resources::ZERO);
        for ownership in self.ownerships.values() {
            let Ownership::InTakeover(takeover) = ownership else {
                continue;
            };
            let predecessors_excluded_at =
                takeover.predecessors_excluded_at.filter(|_| !takeover.never_owned);
            let since =
                predecessors_excluded_at.unwrap_or(takeover.started_at).max(takeover.started_at);
            let known = takeover.never_owned
                || takeover.handoff.is_some()
                || takeover.predecessors_excluded_at.is_some();
            if !known || now.saturating_sub(since) < lapse_after {
                settled = false;
                let ready_at = takeover.ready_at(wait);
                let is_delayed = ready_at.is_some_and(|at| now >= at + DELAYED_TAKEOVER_AFTER);
                let total = takeover.total.filter(|_| is_delayed);
                uncertain_usage = uncertain_usage
                    .zip(total)
                    .map(|(uncertain_usage, total)| uncertain_usage.plus(&total));
            }
        }
        self.cluster.settled = settled;
        self.cluster.uncertain_usage = uncertain_usage;
    }

    /// The number of workers that each member owns by the record of the current epoch.
    pub(super) fn worker_counts(&self) -> collections::BTreeMap<&ids::HostId, u64> {
        let mut counts = collections::BTreeMap::new();
        for owner in self.fold.state().epoch_record.owners.values() {
            *counts.entry(owner).or_insert(0) += 1;
        }
        counts
    }
}
