//! Handoffs of workers to other members.

use std::collections;
use std::time;

use pier_core::{ids, task};

use super::{Control, takeover};
use crate::{Effect, cluster, effect, message, outbox};

/// The interval between repetitions of a handoff that is not acknowledged.
const HANDOFF_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// How long a leaving host waits for a new epoch before it chooses the receivers itself.
const LEAVE_EPOCH_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// A worker that its last owner offers.
#[derive(Debug)]
pub(super) struct Offer {
    pub(super) epoch: ids::Epoch,
    pub(super) worker: ids::WorkerId,
    pub(super) token: task::FencingToken,
    pub(super) body: message::HandoffBody,
}

/// A handoff that is sent until it is acknowledged.
#[derive(Debug)]
pub(super) struct OutgoingHandoff {
    to: ids::HostId,
    epoch: ids::Epoch,
    token: task::FencingToken,
    body: message::HandoffBody,
    next_at: time::Duration,
    until: time::Duration,
}

impl Control {
    /// Gives a worker up, so that the work part releases it. `handoff_seq` is zero if the current
    /// epoch names the receiver.
    pub(super) fn release_worker(
        &mut self,
        worker: ids::WorkerId,
        to: Option<ids::HostId>,
        handoff_seq: u64,
        out: &mut outbox::Outbox,
    ) {
        out.push(Effect::Log(effect::Notice::WorkerReleased { worker: worker.clone() }));
        self.refresh_worker(&worker);
        self.pending_releases.insert(worker.clone(), handoff_seq);
        self.changes.push(cluster::Change::WorkerLost { worker, to });
    }

    /// Continues the handoffs whose receivers the new epoch confirms, and drops the others: a
    /// worker that the epoch gives to another member is taken over by that member after the
    /// takeover wait.
    pub(super) fn update_handoffs(
        &mut self,
        owners: &collections::BTreeMap<ids::WorkerId, ids::HostId>,
    ) {
        let epoch = self.fold.state().epoch;
        self.handoffs.retain(|worker, outgoing| owners.get(worker) == Some(&outgoing.to));
        for outgoing in self.handoffs.values_mut() {
            outgoing.epoch = epoch;
            outgoing.token = task::FencingToken { epoch, handoff_seq: 0 };
        }
    }

    /// Queues a handoff of the state that the work part has released of a worker. It is sent until
    /// it is acknowledged.
    pub(super) fn queue_handoff(
        &mut self,
        now: time::Duration,
        worker: ids::WorkerId,
        to: ids::HostId,
        body: message::HandoffBody,
    ) {
        // Epochs that were folded since may have given the worker to another member, which must not
        // be bypassed.
        let Some(handoff_seq) = self.pending_releases.remove(&worker) else {
            return;
        };
        let epoch = self.fold.state().epoch;
        let token = task::FencingToken { epoch, handoff_seq };
        let until = now + self.options.drain_limit;
        let outgoing = OutgoingHandoff { to, epoch, token, body, next_at: now, until };
        self.handoffs.insert(worker, outgoing);
    }

    /// Sends or repeats the handoffs that are due.
    pub(super) fn send_due_handoffs(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        self.handoffs.retain(|_, outgoing| now < outgoing.until);
        let mut due = Vec::new();
        for (worker, outgoing) in &mut self.handoffs {
            if now < outgoing.next_at {
                continue;
            }
            outgoing.next_at = now + HANDOFF_RETRY_INTERVAL;
            let handoff = message::ControlMessage::Handoff {
                epoch: outgoing.epoch,
                worker: worker.clone(),
                token: outgoing.token,
                body: outgoing.body.clone(),
            };
            due.push((outgoing.to.clone(), handoff));
        }
        for (to, handoff) in due {
            self.send_control(&to, handoff, out);
        }
    }

    /// Accepts a worker from its last owner. The handoff is acknowledged once the worker is fenced.
    pub(super) fn on_handoff(
        &mut self,
        now: time::Duration,
        from: &ids::HostId,
        offer: Offer,
        out: &mut outbox::Outbox,
    ) {
        let Offer { epoch, worker, token, body } = offer;
        if matches!(self.ownerships.get(&worker), Some(takeover::Ownership::Held { .. })) {
            self.acknowledge(from, &worker, token, out);
            return;
        }
        let current = epoch == self.fold.state().epoch && token.epoch == epoch;
        if !current || !self.cluster.is_member || self.cluster.leaving {
            return;
        }
        let owner = self.fold.state().epoch_record.owners.get(&worker);
        let by_record = token.handoff_seq == 0 && owner == Some(&self.cluster.identity.host);
        let by_owner = token.handoff_seq > 0 && self.cluster.member_hosts.contains(from);
        if !by_record && !by_owner {
            return;
        }
        if let Some(takeover::Ownership::InTakeover(takeover)) = self.ownerships.get(&worker)
            && (takeover.token > token || takeover.token == token && takeover.handoff.is_some())
        {
            return;
        }
        let mut takeover = takeover::Takeover::new(now, token);
        takeover.handoff =
            Some(takeover::ReceivedHandoff { from: from.clone(), body, received_at: now });
        self.ownerships.insert(worker.clone(), takeover::Ownership::InTakeover(Box::new(takeover)));
        self.refresh_worker(&worker);
        self.fence_or_query_worker(now, worker, out);
    }

    pub(super) fn acknowledge(
        &self,
        to: &ids::HostId,
        worker: &ids::WorkerId,
        token: task::FencingToken,
        out: &mut outbox::Outbox,
    ) {
        let worker = worker.clone();
        let epoch = token.epoch;
        self.send_control(to, message::ControlMessage::HandoffAck { epoch, worker, token }, out);
    }

    pub(super) fn on_handoff_ack(
        &mut self,
        from: &ids::HostId,
        worker: &ids::WorkerId,
        token: task::FencingToken,
    ) {
        let Some(outgoing) = self.handoffs.get(worker) else {
            return;
        };
        if outgoing.to == *from && outgoing.token == token {
            self.handoffs.remove(worker);
        }
    }

    /// Hands over the workers of a leaving host without a new epoch, when the log cannot be reached
    /// or no epoch comes.
    pub(super) fn hand_over_when_leaving(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        let Some(since) = self.leaving_since else {
            return;
        };
        self.ownerships
            .retain(|_, ownership| matches!(ownership, takeover::Ownership::Held { .. }));
        let timed_out = now.saturating_sub(since) >= LEAVE_EPOCH_TIMEOUT;
        if self.ownerships.is_empty() || !(timed_out || self.cluster.log_unreachable) {
            return;
        }
        let receivers = self.leaving_receivers(now);
        for (worker, token) in self.held_workers() {
            let Some(to) = receivers.get(&worker) else {
                continue;
            };
            let in_epoch = token.epoch == self.fold.state().epoch;
            let last_seq = if in_epoch { token.handoff_seq } else { 0 };
            self.ownerships.remove(&worker);
            self.release_worker(worker, Some(to.clone()), last_seq + 1, out);
        }
    }
}
