//! The output of one step of the reducer.

use pier_core::ids;

use crate::{Effect, cluster, message, record};

/// Collects effects for the runtime and entries for the log.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Effects in the order in which the runtime must execute them.
    pub effects: Vec<Effect>,
    /// Entries that the control state appends to the log as soon as possible.
    pub entries: Vec<record::Entry>,
}

impl Outbox {
    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Adds a message to a peer. Drops the message if the peer's address is not known.
    pub fn send(
        &mut self,
        cluster: &cluster::Cluster,
        to: &ids::HostId,
        message: message::Message,
    ) {
        self.effects.extend(cluster.send(to, message));
    }

    pub fn append(&mut self, entry: record::Entry) {
        self.entries.push(entry);
    }
}
