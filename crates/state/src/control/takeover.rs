//! Taking workers over.

use std::collections;
use std::sync;
use std::time;

use pier_core::{ids, resources, task, wire};

use super::Control;
use crate::{Effect, cluster, effect, event, message, outbox, record};

/// The waits before a worker that could not be fenced is fenced again.
const FIRST_RETRY: time::Duration = time::Duration::from_millis(200);
const LAST_RETRY: time::Duration = time::Duration::from_secs(5);
/// After how long a fence without a result is sent again.
const FENCE_GIVE_UP: time::Duration = time::Duration::from_secs(10);
/// The number of failures in a row after which the operators are told.
const FAILURES_NOTICED: u32 = 5;
/// How long a worker may be fenced before its takeover counts as held up. Most workers answer
/// sooner, so that most takeovers cause no reports of their room.
const HELD_UP_AFTER: time::Duration = time::Duration::from_secs(1);

/// A worker that this host owns or is about to own.
#[derive(Debug)]
pub(super) enum Own {
    /// The worker is being taken over.
    Taking(Box<Taking>),
    /// The worker is taken over.
    Held {
        /// The token with which this host acts.
        token: task::FencingToken,
    },
}

/// A takeover that is under way.
#[derive(Debug)]
pub(super) struct Taking {
    pub(super) token: task::FencingToken,
    started_at: time::Duration,
    /// Whether no member of an earlier epoch has ever owned the worker.
    fresh: bool,
    /// The members of each earlier epoch, some of whom may hold the worker.
    lineage: sync::Arc<Vec<Vec<record::Member>>>,
    /// Since when a predecessor certainly cannot get authority by rule (b) any more.
    evidence_at: Option<time::Duration>,
    pub(super) handed: Option<Handed>,
    /// The most that the host list has shown the worker to have; none if it never did.
    total: Option<resources::Resources>,
    fence_sent_at: Option<time::Duration>,
    next_at: time::Duration,
    retry: time::Duration,
    failures: u32,
}

/// What the last owner has handed over.
#[derive(Debug)]
pub(super) struct Handed {
    pub(super) from: ids::HostId,
    pub(super) body: message::HandoffBody,
    pub(super) at: time::Duration,
}

impl Taking {
    pub(super) fn new(now: time::Duration, token: task::FencingToken) -> Self {
        Self {
            token,
            started_at: now,
            fresh: false,
            lineage: sync::Arc::default(),
            evidence_at: None,
            handed: None,
            total: None,
            fence_sent_at: None,
            next_at: now,
            retry: time::Duration::ZERO,
            failures: 0,
        }
    }

    /// When the worker may be fenced; none while that is not known.
    fn ready_at(&self, wait: time::Duration) -> Option<time::Duration> {
        if let Some(handed) = &self.handed {
            return Some(handed.at);
        }
        if self.fresh {
            return Some(self.started_at);
        }
        let evidence_at = self.evidence_at?;
        Some(self.started_at.max(evidence_at) + wait)
    }
}

impl Control {
    /// The workers that this host has taken over, with the token of each.
    pub(super) fn held_workers(&self) -> Vec<(ids::WorkerId, task::FencingToken)> {
        let mut held = Vec::new();
        for (worker, own) in &self.owns {
            if let Own::Held { token } = own {
                held.push((worker.clone(), *token));
            }
        }
        held
    }

    /// The workers that this host holds by a handoff within the current epoch. The record of the
    /// epoch does not show them.
    pub(super) fn handed_workers(&self) -> Vec<(ids::WorkerId, task::FencingToken)> {
        let epoch = self.fold.state().epoch;
        let mut handed = self.held_workers();
        handed.retain(|(_, token)| token.epoch == epoch && token.handoff_seq > 0);
        handed
    }

    /// The token with which this host acts on a worker.
    pub(super) fn token_of(&self, worker: &str) -> Option<task::FencingToken> {
        match self.owns.get(worker)? {
            Own::Held { token } => Some(*token),
            Own::Taking(_) => None,
        }
    }

    /// Gives up and begins to take over workers as the current epoch says.
    pub(super) fn reassign(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        let owners = self.fold.state().epoch_record.owners.clone();
        let epoch = self.fold.state().epoch;
        let me = self.cluster.me.host.clone();
        self.releases.clear();
        let mut lost = Vec::new();
        for (worker, own) in &self.owns {
            let owner = owners.get(worker);
            if self.cluster.is_member && owner == Some(&me) {
                continue;
            }
            lost.push((worker.clone(), owner.cloned(), matches!(own, Own::Held { .. })));
        }
        for (worker, to, held) in lost {
            self.owns.remove(&worker);
            if held {
                let to = to.filter(|to| *to != me);
                self.lose(worker, to, 0, out);
            }
        }
        self.renew_handoffs(&owners);
        if !self.cluster.is_member || self.cluster.leaving {
            return;
        }
        let lineage = sync::Arc::new(self.fold.state().lineage.clone());
        for (worker, owner) in &owners {
            if *owner != me || self.owns.contains_key(worker) {
                continue;
            }
            let mut taking = Taking::new(now, task::FencingToken { epoch, handoff_seq: 0 });
            let state = self.fold.state();
            taking.fresh = !state.restarted && state.first_owned.get(worker) == Some(&epoch);
            taking.lineage = lineage.clone();
            self.owns.insert(worker.clone(), Own::Taking(Box::new(taking)));
        }
    }

    /// Drops everything without a handover.
    pub(super) fn drop_workers(&mut self) {
        self.owns.clear();
        self.handoffs.clear();
    }

    /// Moves the takeovers and handoffs on.
    pub(super) fn move_workers(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        self.leave(now, out);
        self.send_handoffs(now, out);
        self.collect_evidence(now);
        self.note_totals();
        let wait = self.options.takeover_wait();
        let mut due = Vec::new();
        for (worker, own) in &self.owns {
            let Own::Taking(taking) = own else {
                continue;
            };
            if taking.ready_at(wait).is_none_or(|ready_at| now < ready_at) || now < taking.next_at {
                continue;
            }
            if taking.fence_sent_at.is_some_and(|at| now.saturating_sub(at) < FENCE_GIVE_UP) {
                continue;
            }
            due.push(worker.clone());
        }
        for worker in due {
            self.ask_worker(now, worker, out);
        }
    }

    /// Notes for which takeovers no predecessor can get authority by rule (b) any more. The wait
    /// counts from then, because an answer that was given before still holds for `authority_ttl`.
    fn collect_evidence(&mut self, now: time::Duration) {
        let mut known = collections::BTreeMap::new();
        let mut found = Vec::new();
        for (worker, own) in &self.owns {
            let Own::Taking(taking) = own else {
                continue;
            };
            if taking.evidence_at.is_some() || taking.fresh {
                continue;
            }
            let epoch = taking.token.epoch;
            let evident =
                *known.entry(epoch).or_insert_with(|| self.is_evident(now, &taking.lineage, epoch));
            if evident {
                found.push(worker.clone());
            }
        }
        for worker in found {
            if let Some(Own::Taking(taking)) = self.owns.get_mut(&worker) {
                taking.evidence_at = Some(now);
            }
        }
    }

    /// Whether no member of any earlier epoch can get authority by rule (b) of that epoch.
    fn is_evident(
        &self,
        now: time::Duration,
        lineage: &[Vec<record::Member>],
        epoch: ids::Epoch,
    ) -> bool {
        lineage.iter().all(|members| self.is_outvoted(now, members, epoch))
    }

    /// Whether the members of an earlier epoch cannot get authority by rule (b) as long as this
    /// process lives: it is one of them, or half of them have ended or know the new epoch, so that
    /// the others never are a majority. One live member that knows it would not do: when it dies,
    /// the others excuse it.
    fn is_outvoted(
        &self,
        now: time::Duration,
        members: &[record::Member],
        epoch: ids::Epoch,
    ) -> bool {
        let me = &self.cluster.me;
        let mut refusing = 0;
        for member in members {
            if member.host == me.host && member.incarnation == me.incarnation {
                return true;
            }
            let peer = self.peers.get(&member.host).filter(|peer| peer.is(member));
            let knows = peer.is_some_and(|peer| peer.epoch >= epoch);
            refusing += usize::from(knows || self.is_dead(now, member));
        }
        refusing * 2 >= members.len()
    }

    /// Fences a worker, or asks for its report if workers do not support fencing.
    pub(super) fn ask_worker(
        &mut self,
        now: time::Duration,
        worker: ids::WorkerId,
        out: &mut outbox::Outbox,
    ) {
        let Some(entry) = self.hosts.worker(&worker) else {
            return;
        };
        let address = entry.address.clone();
        let Some(Own::Taking(taking)) = self.owns.get_mut(&worker) else {
            return;
        };
        if self.options.worker_fencing {
            taking.fence_sent_at = Some(now);
            out.push(Effect::WorkerFence { worker, address, token: taking.token });
        } else {
            taking.next_at = now + self.options.report_lag / 2;
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
                    self.owns.get(&worker),
                    Some(Own::Taking(taking))
                        if taking.token == token && taking.fence_sent_at.is_some()
                );
                if ready {
                    self.gain(worker, tasks, out);
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
        let Some(Own::Taking(taking)) = self.owns.get_mut(&worker) else {
            return;
        };
        if taking.token != token || taking.fence_sent_at.is_none() {
            return;
        }
        taking.fence_sent_at = None;
        taking.retry = (taking.retry * 2).clamp(FIRST_RETRY, LAST_RETRY);
        taking.next_at = now + taking.retry;
        taking.failures = taking.failures.saturating_add(1);
        if taking.failures == FAILURES_NOTICED {
            out.push(Effect::Log(effect::Notice::FenceFails { worker, stale }));
        }
    }

    /// Takes a worker without fencing over by a report that is later than the end of the wait.
    fn on_report(
        &mut self,
        worker: ids::WorkerId,
        asked_at: time::Duration,
        report: wire::WorkerReport,
        out: &mut outbox::Outbox,
    ) {
        let Some(Own::Taking(taking)) = self.owns.get(&worker) else {
            return;
        };
        let age = time::Duration::from_millis(report.as_of_age_ms);
        let Some(as_of) = asked_at.checked_sub(age) else {
            return;
        };
        let ready_at = taking.ready_at(self.options.takeover_wait());
        if ready_at.is_some_and(|ready_at| as_of > ready_at) {
            self.gain(worker, report.tasks, out);
        }
    }

    /// Owns a worker from now on.
    fn gain(&mut self, worker: ids::WorkerId, tasks: wire::WorkerTasks, out: &mut outbox::Outbox) {
        let Some(Own::Taking(taking)) = self.owns.remove(&worker) else {
            return;
        };
        let token = taking.token;
        self.owns.insert(worker.clone(), Own::Held { token });
        self.takeovers += 1;
        self.refresh_worker(&worker);
        out.push(Effect::Log(effect::Notice::WorkerTakenOver { worker: worker.clone() }));
        let basis = match taking.handed {
            Some(handed) => {
                self.acknowledge(&handed.from, &worker, token, out);
                cluster::TakeoverBasis::Handed { handoff: handed.body, listed: tasks }
            }
            None => cluster::TakeoverBasis::Listed(tasks),
        };
        self.changes.push(cluster::Change::WorkerGained { worker, basis });
    }

    /// Notes what the workers have, because the host list forgets a worker that is dead.
    fn note_totals(&mut self) {
        for (worker, own) in &mut self.owns {
            let Own::Taking(taking) = own else {
                continue;
            };
            if let Some(entry) = self.hosts.worker(worker) {
                let known = taking.total.unwrap_or_default();
                taking.total = Some(known.max(&entry.resources));
            }
        }
    }

    /// Whether all takeovers are finished, and the room of the workers whose takeover is held up. A
    /// worker that cannot be reached stops counting when every lease that its last owner can have
    /// given has lapsed.
    pub(super) fn update_settled(&mut self, now: time::Duration) {
        let lease = self.options.task_lease.max(self.options.request_lease);
        let lapse = self.options.takeover_wait() + lease + self.options.lease_margin;
        let wait = self.options.takeover_wait();
        let mut settled = self.cluster.is_member;
        let mut doubt = self.cluster.is_member.then_some(resources::Resources::ZERO);
        for own in self.owns.values() {
            let Own::Taking(taking) = own else {
                continue;
            };
            let evidence_at = taking.evidence_at.filter(|_| !taking.fresh);
            let since = evidence_at.unwrap_or(taking.started_at).max(taking.started_at);
            let known = taking.fresh || taking.handed.is_some() || taking.evidence_at.is_some();
            if !known || now.saturating_sub(since) < lapse {
                settled = false;
                let ready_at = taking.ready_at(wait);
                let held_up = ready_at.is_some_and(|at| now >= at + HELD_UP_AFTER);
                let total = taking.total.filter(|_| held_up);
                doubt = doubt.zip(total).map(|(doubt, total)| doubt.plus(&total));
            }
        }
        self.cluster.settled = settled;
        self.cluster.doubt = doubt;
    }

    /// The hosts of the members, by the workers that each owns by the current epoch.
    pub(super) fn worker_counts(&self) -> collections::BTreeMap<&ids::HostId, u64> {
        let mut counts = collections::BTreeMap::new();
        for owner in self.fold.state().epoch_record.owners.values() {
            *counts.entry(owner).or_insert(0) += 1;
        }
        counts
    }
}
