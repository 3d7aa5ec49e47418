//! What a step of the work part can see and produce.

use std::collections;
use std::time;

use pier_core::ids;

use crate::{Effect, cluster, effect, message, outbox};

/// The most news of attempts that is passed on in one step, so that work that is refused and asked
/// for again at once cannot hold up the reducer. The rest is passed on in the next step.
const MAX_UPDATES_PER_STEP: usize = 10_000;

/// One step: the time, the cell, the effects, and messages of this host to itself.
pub(super) struct Step<'a> {
    pub(super) now: time::Duration,
    pub(super) cluster: &'a cluster::Cluster,
    pub(super) out: &'a mut outbox::Outbox,
    /// Whether this host is shutting down.
    pub(super) leaving: bool,
    /// How much news of attempts may still be passed on in this step.
    pub(super) updates_left: usize,
    /// Messages to this host itself. They are handled before the step ends.
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

    /// This host.
    pub(super) fn me(&self) -> &'a ids::HostId {
        &self.cluster.me.host
    }

    /// Sends a message to a host, which may be this one.
    pub(super) fn send(&mut self, to: &ids::HostId, message: message::Message) {
        if to == self.me() {
            self.local_messages.push_back(message);
            return;
        }
        self.out.send(self.cluster, to, message);
    }

    /// Sends a message about placement.
    pub(super) fn send_place(&mut self, to: &ids::HostId, message: message::PlaceMessage) {
        self.send(to, message::Message::Place(message));
    }

    /// The process that runs on a member; none if it is not known.
    pub(super) fn incarnation_of(&self, host: &ids::HostId) -> Option<ids::Incarnation> {
        if host == self.me() {
            return Some(self.cluster.me.incarnation);
        }
        self.cluster.peers.get(host).map(|peer| peer.member.incarnation)
    }

    /// Writes a line to the log of the process.
    pub(super) fn log_notice(&mut self, notice: effect::Notice) {
        self.out.push(Effect::Log(notice));
    }
}
