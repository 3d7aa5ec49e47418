//! The context of one step of the work state.

use std::collections;
use std::time;

use pier_core::ids;

use crate::{Effect, cluster, effect, message, outbox};

/// The maximum number of attempt updates that are dispatched in one step, so that tasks that are
/// refused and placed again at once cannot block the reducer. The rest is dispatched in the next
/// step.
const MAX_UPDATES_PER_STEP: usize = 10_000;

/// The context of one step: the time, the state of the cell, the effects, and this host's messages
/// to itself.
pub(super) struct Step<'a> {
    pub(super) now: time::Duration,
    pub(super) cluster: &'a cluster::Cluster,
    pub(super) out: &'a mut outbox::Outbox,
    /// Whether this host is shutting down.
    pub(super) leaving: bool,
    /// The number of attempt updates that may still be dispatched in this step.
    pub(super) updates_left: usize,
    /// Messages of this host to itself. They are handled before the step ends.
    pub(super) local_messages: collections::VecDeque<message::Message>,
}

impl<'a> Step<'a> {
    pub(super) fn new(
        now: time::Duration,
        cluster: &'a cluster::Cluster,
        out: &'a mut outbox::Outbox,
        shutting_down: bool,
    ) -> Self {
        let leaving = shutting_down || cluster.leaving;
        Self {
            now,
            cluster,
            out,
            leaving,
            updates_left: MAX_UPDATES_PER_STEP,
            local_messages: collections::VecDeque::new(),
        }
    }

    pub(super) fn me(&self) -> &'a ids::HostId {
        &self.cluster.identity.host
    }

    /// Sends a message to a host, which may be this one.
    pub(super) fn send(&mut self, to: &ids::HostId, message: message::Message) {
        if to == self.me() {
            self.local_messages.push_back(message);
            return;
        }
        self.out.send(self.cluster, to, message);
    }

    pub(super) fn send_place(&mut self, to: &ids::HostId, message: message::PlaceMessage) {
        self.send(to, message::Message::Place(message));
    }

    /// The incarnation of a member's process; none if it is not known.
    pub(super) fn incarnation_of(&self, host: &ids::HostId) -> Option<ids::Incarnation> {
        if host == self.me() {
            return Some(self.cluster.identity.incarnation);
        }
        self.cluster.peers.get(host).map(|peer| peer.member.incarnation)
    }

    /// Writes a notice to the log of the process.
    pub(super) fn log_notice(&mut self, notice: effect::Notice) {
        self.out.push(Effect::Log(notice));
    }
}
