//! Membership, log replication, authority to start work, and ownership of workers.

pub mod assign;

mod appender;
mod authority;
mod epoch;
mod fold;
mod handoff;
mod hosts;
mod operators;
mod peers;
mod reader;
mod restart;
mod snapshots;
mod summary;
mod takeover;
mod view;

use std::collections;
use std::time;

use pier_core::{ids, wire};
use rand::{Rng, SeedableRng, rngs};

use crate::{Effect, cluster, effect, event, message, options, outbox, record};

/// A longer gap between two events counts as a pause of this process: peers that it did not hear
/// from meanwhile are not suspected. Ticks come at least every 50 ms.
const PAUSE_THRESHOLD: time::Duration = time::Duration::from_millis(1_000);

/// The control part of the state: everything that decides membership and ownership.
#[derive(Debug)]
pub struct Control {
    cluster: cluster::Cluster,
    options: options::Options,
    random: rngs::StdRng,
    fold: fold::Fold,
    reader: reader::Reader,
    appender: appender::Appender,
    snapshots: snapshots::Snapshots,
    hosts: hosts::Hosts,
    heartbeats: peers::Heartbeats,
    peers: collections::BTreeMap<ids::HostId, peers::Peer>,
    /// When this process first learned of each entry host.
    known_since: collections::BTreeMap<ids::HostId, time::Duration>,
    proposals: epoch::Proposals,
    ownerships: collections::BTreeMap<ids::WorkerId, takeover::Ownership>,
    handoffs: collections::BTreeMap<ids::WorkerId, handoff::OutgoingHandoff>,
    /// The workers that this host gave up in the current epoch and has not handed over yet, with
    /// the sequence number of the handoff.
    pending_releases: collections::BTreeMap<ids::WorkerId, u64>,
    pending_applies: Vec<operators::PendingApply>,
    summary: cluster::Summary,
    changes: Vec<cluster::Change>,
    epoch_folded_at: time::Duration,
    /// Start of the time for which this host has listened to its peers without a pause.
    listening_since: time::Duration,
    leaving_since: Option<time::Duration>,
    drain_expired: bool,
    last_tick: time::Duration,
    last_ticket: ids::Ticket,
    epoch_count: u64,
    takeover_count: u64,
}

/// An input of the control part.
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// A regular tick.
    Tick,
    /// The result of a read from or an append to the log.
    Log(event::LogEvent),
    /// The host list was read; none if the read failed.
    HostList(Option<wire::HostList>),
    /// A message from a peer.
    Peer {
        /// The sending host.
        from: ids::HostId,
        /// The incarnation of the sending process.
        incarnation: ids::Incarnation,
        /// The message.
        message: message::ControlMessage,
    },
    /// A request of an operator.
    Operator(event::OperatorEvent),
    /// A worker was fenced, could not be fenced, or sent a report.
    Worker(event::WorkerEvent),
    /// The process was told to shut down.
    Shutdown,
}

impl Control {
    /// Creates the control part of a process that has just started. `seed` seeds its random
    /// numbers.
    pub fn new(identity: options::HostIdentity, options: options::Options, seed: u64) -> Self {
        Self {
            cluster: cluster::Cluster::new(identity),
            options,
            random: rngs::StdRng::seed_from_u64(seed),
            fold: fold::Fold::default(),
            reader: reader::Reader::default(),
            appender: appender::Appender::default(),
            snapshots: snapshots::Snapshots::default(),
            hosts: hosts::Hosts::default(),
            heartbeats: peers::Heartbeats::default(),
            peers: collections::BTreeMap::new(),
            known_since: collections::BTreeMap::new(),
            proposals: epoch::Proposals::default(),
            ownerships: collections::BTreeMap::new(),
            handoffs: collections::BTreeMap::new(),
            pending_releases: collections::BTreeMap::new(),
            pending_applies: Vec::new(),
            summary: cluster::Summary::default(),
            changes: Vec::new(),
            epoch_folded_at: time::Duration::ZERO,
            listening_since: time::Duration::ZERO,
            leaving_since: None,
            drain_expired: false,
            last_tick: time::Duration::ZERO,
            last_ticket: 0,
            epoch_count: 0,
            takeover_count: 0,
        }
    }

    /// What this host knows about the cell.
    pub fn cluster(&self) -> &cluster::Cluster {
        &self.cluster
    }

    /// Sets the summary that the next heartbeats carry.
    pub fn set_summary(&mut self, summary: cluster::Summary) {
        self.summary = summary;
    }

    /// Handles an event. Returns the changes for the work part, in order.
    pub fn handle(
        &mut self,
        now: time::Duration,
        event: ControlEvent,
        out: &mut outbox::Outbox,
    ) -> Vec<cluster::Change> {
        self.detect_pause(now);
        match event {
            ControlEvent::Tick => self.tick(now, out),
            ControlEvent::Log(event) => {
                self.on_log(now, event, out);
                self.poll_log(now, out);
                self.advance_appends(now, out);
            }
            ControlEvent::HostList(Some(list)) => {
                if self.hosts.update(now, list) {
                    self.proposals.renew(false);
                    self.refresh_workers();
                }
            }
            ControlEvent::HostList(None) => {}
            ControlEvent::Peer { from, incarnation, message } => {
                self.on_peer(now, from, incarnation, message, out);
            }
            ControlEvent::Operator(event) => {
                self.on_operator(now, event, out);
                self.advance_appends(now, out);
            }
            ControlEvent::Worker(event) => self.on_worker(now, event, out),
            ControlEvent::Shutdown => {
                self.cluster.leaving = true;
                self.leaving_since.get_or_insert(now);
                self.heartbeats.schedule_now(now);
            }
        }
        self.update_authority(now, out);
        self.update_settled(now);
        std::mem::take(&mut self.changes)
    }

    /// Queues entries to be appended to the log.
    pub fn append(
        &mut self,
        now: time::Duration,
        entries: Vec<record::Entry>,
        out: &mut outbox::Outbox,
    ) {
        for entry in entries {
            self.appender.push(entry);
        }
        self.advance_appends(now, out);
    }

    /// Takes the state of a worker that the work part has released after
    /// [`cluster::Change::WorkerLost`], and sends it to the new owner until that acknowledges it.
    pub fn hand_over(
        &mut self,
        now: time::Duration,
        worker: ids::WorkerId,
        to: ids::HostId,
        body: message::HandoffBody,
        out: &mut outbox::Outbox,
    ) {
        self.queue_handoff(now, worker, to, body);
        self.send_due_handoffs(now, out);
    }

    /// Whether the control part has nothing left to hand over, append or announce, so that the
    /// process can exit.
    pub fn is_drained(&self) -> bool {
        if self.drain_expired {
            return true;
        }
        let holds_workers = !self.ownerships.is_empty() && self.has_handoff_receiver();
        let unappended = !self.appender.is_empty() && !self.cluster.log_unreachable;
        self.handoffs.is_empty()
            && !holds_workers
            && !unappended
            && self.heartbeats.announced_leaving()
    }

    /// Whether a live member that is not leaving could take over this host's workers.
    fn has_handoff_receiver(&self) -> bool {
        self.cluster.member_hosts.iter().any(|host| {
            let peer = self.peers.get(host);
            peer.is_some_and(|peer| !peer.leaving && self.heard_recently(self.last_tick, host))
        })
    }

    fn tick(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        if let Some(since) = self.leaving_since {
            self.drain_expired = now.saturating_sub(since) >= self.options.drain_limit;
        }
        self.update_authority(now, out);
        self.poll_log(now, out);
        self.catch_up_from_peer(now, out);
        self.advance_transfers(now, out);
        self.propose(now);
        self.write_snapshot(now);
        self.advance_appends(now, out);
        self.answer_expired_applies(now, out);
        self.send_heartbeats(now, out);
    }

    fn detect_pause(&mut self, now: time::Duration) {
        if now.saturating_sub(self.last_tick) > PAUSE_THRESHOLD {
            self.listening_since = now;
        }
        self.last_tick = now;
    }

    fn ticket(&mut self) -> ids::Ticket {
        self.last_ticket += 1;
        self.last_ticket
    }

    /// Acts on the changes that folding a record has made.
    fn on_fold_changes(
        &mut self,
        now: time::Duration,
        fold_changes: Vec<fold::FoldChange>,
        out: &mut outbox::Outbox,
    ) {
        for fold_change in fold_changes {
            match fold_change {
                fold::FoldChange::Epoch { last } => self.on_epoch(now, &last, out),
                fold::FoldChange::Declaration { change_id, version, author, changes } => {
                    self.on_declaration(version, author, out);
                    self.answer_applied(change_id, version, changes, out);
                }
                fold::FoldChange::DeclarationRejected { change_id, errors } => {
                    self.answer_rejected(change_id, &errors, out);
                }
                fold::FoldChange::Job(job) => self.on_job(job),
            }
        }
    }

    /// Acts on a fold state that was loaded from a snapshot or a peer and replaces `last`.
    fn on_fold_loaded(
        &mut self,
        now: time::Duration,
        last: record::FoldState,
        out: &mut outbox::Outbox,
    ) {
        let state = self.fold.state();
        if state.version != last.version {
            let author = state.audit.last().map(|change| change.author.clone());
            self.on_declaration(state.version, author.unwrap_or_default(), out);
        }
        let mut changed = Vec::new();
        for (job, fold) in &self.fold.state().jobs {
            if last.jobs.get(job) != Some(fold) {
                changed.push(job.clone());
            }
        }
        for job in last.jobs.keys() {
            if !self.fold.state().jobs.contains_key(job) {
                changed.push(job.clone());
            }
        }
        for job in changed {
            self.on_job(job);
        }
        let epoch = self.fold.state().epoch;
        if epoch == last.epoch {
            return;
        }
        // Another host may have owned this host's workers in an epoch that this host has skipped.
        if epoch > last.epoch + 1 && !self.ownerships.is_empty() {
            self.expel(out);
        }
        self.on_epoch(now, &last.epoch_record, out);
    }

    fn on_declaration(
        &mut self,
        version: ids::Version,
        author: std::sync::Arc<str>,
        out: &mut outbox::Outbox,
    ) {
        self.cluster.version = version;
        self.cluster.declaration = self.fold.declaration().clone();
        out.push(Effect::Log(effect::Notice::DeclarationInForce { version, author }));
        self.changes.push(cluster::Change::Declaration);
        self.refresh_workers();
    }

    fn on_job(&mut self, job: ids::JobId) {
        match self.fold.state().jobs.get(&job) {
            Some(fold) => {
                self.cluster.jobs.insert(job.clone(), fold.clone());
            }
            None => {
                self.cluster.jobs.remove(&job);
            }
        }
        self.changes.push(cluster::Change::Job { job });
    }

    /// Acts on a new epoch.
    fn on_epoch(
        &mut self,
        now: time::Duration,
        last: &record::EpochRecord,
        out: &mut outbox::Outbox,
    ) {
        let epoch = self.fold.state().epoch;
        let members = self.fold.state().epoch_record.members.clone();
        let was_member = self.cluster.is_member;
        self.epoch_count += 1;
        self.epoch_folded_at = now;
        self.proposals.renew(true);
        self.heartbeats.send_full_now(now);
        self.appender.withdraw_proposals(true);
        self.cluster.epoch = epoch;
        self.cluster.is_member = false;
        self.cluster.member_hosts = Vec::with_capacity(members.len());
        for member in &members {
            self.cluster.member_hosts.push(member.host.clone());
            let me = &self.cluster.identity;
            self.cluster.is_member |=
                member.host == me.host && member.incarnation == me.incarnation;
        }
        self.update_known_since(now);
        let mut removed = Vec::new();
        for member in &last.members {
            let stays = |new: &record::Member| {
                new.host == member.host && new.incarnation == member.incarnation
            };
            if !members.iter().any(stays) {
                removed.push(member.host.clone());
            }
        }
        let members = members.len();
        out.push(Effect::Log(effect::Notice::EpochBegan { epoch, members }));
        self.refresh_peers();
        if was_member && !self.cluster.is_member && !self.cluster.leaving {
            self.expel(out);
            // A new incarnation, so that this process, when it joins again, is not taken for the
            // member that was removed.
            self.cluster.identity.incarnation = self.random.random();
        }
        self.reconcile_owners(now, out);
        self.refresh_workers();
        self.changes.push(cluster::Change::Epoch { removed });
    }

    /// Records when this process learned of the members of earlier epochs.
    fn update_known_since(&mut self, now: time::Duration) {
        let mut known = std::mem::take(&mut self.known_since);
        let mut kept = collections::BTreeMap::new();
        let state = self.fold.state();
        for member in state.lineage.iter().flatten().chain(&state.epoch_record.members) {
            let since = known.remove(&member.host);
            kept.entry(member.host.clone()).or_insert(since.unwrap_or(now));
        }
        known.retain(|host, _| self.peers.contains_key(host));
        kept.append(&mut known);
        self.known_since = kept;
    }

    fn expel(&mut self, out: &mut outbox::Outbox) {
        self.drop_workers();
        out.push(Effect::Log(effect::Notice::Expelled { epoch: self.fold.state().epoch }));
        self.changes.push(cluster::Change::Expelled);
    }
}
