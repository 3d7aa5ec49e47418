//! Tracks whether this host has received every key that it must hold after a membership change.

use std::collections;
use std::time;

use pier_core::{clock, ids};

use super::holders;
use crate::message;
use crate::work::step;

/// The interval between requests to members that have not handed over their entries.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// The maximum number of lost groups that are remembered. If there are more, every unknown key
/// counts as lost.
const MAX_LOST_GROUPS: usize = 64;

/// Members that were lost at the same time.
#[derive(Debug, Clone, PartialEq, Eq)]
struct LostGroup {
    members: Vec<(ids::HostId, ids::ZoneId)>,
    lost: Vec<ids::HostId>,
    until: time::Duration,
}

/// The state of the handover of entries to this host.
#[derive(Debug)]
pub(super) struct Handover {
    window: time::Duration,
    epoch: ids::Epoch,
    /// The members of the last epoch in which this host was a member.
    members: Vec<(ids::HostId, ids::ZoneId)>,
    incarnations: collections::BTreeMap<ids::HostId, ids::Incarnation>,
    /// Whether this host joined in the current epoch and therefore holds no earlier entries.
    is_new: bool,
    /// The members that have handed over their entries, and whether each of them is new.
    handed: collections::BTreeMap<ids::HostId, bool>,
    lost_groups: Vec<LostGroup>,
    /// Until this time every unknown key counts as lost.
    all_lost_until: time::Duration,
    asked_at: Option<time::Duration>,
}

impl Handover {
    pub(super) fn new(window: time::Duration) -> Self {
        Self {
            window,
            epoch: 0,
            members: Vec::new(),
            incarnations: collections::BTreeMap::new(),
            is_new: true,
            handed: collections::BTreeMap::new(),
            lost_groups: Vec::new(),
            all_lost_until: time::Duration::ZERO,
            asked_at: None,
        }
    }

    /// Whether a member is the same process as in the last epoch, or was not known then.
    pub(super) fn is_same_process(&self, step: &step::Step<'_>, host: &ids::HostId) -> bool {
        let known = self.incarnations.get(host).copied();
        known.is_none() || step.incarnation_of(host) == known
    }

    /// Records lost members and restarts the handover for the new epoch.
    pub(super) fn on_epoch(&mut self, step: &step::Step<'_>, removed: &[ids::HostId]) {
        let cluster = step.cluster;
        let mut lost = Vec::new();
        for (host, _) in &self.members {
            if removed.contains(host) || !self.is_same_process(step, host) {
                lost.push(host.clone());
            }
        }
        // Entries that a lost member had not yet handed over to this host are lost as well.
        let waited_for_lost = lost.iter().any(|host| !self.handed.contains_key(host));
        if waited_for_lost && !self.members.is_empty() {
            lost.push(step.me().clone());
        }
        if !lost.is_empty() {
            let until = step.now + self.window;
            let members = std::mem::take(&mut self.members);
            self.add_lost(LostGroup { members, lost, until });
        }
        self.is_new = self.epoch == 0;
        self.epoch = cluster.epoch;
        self.members.clear();
        self.incarnations.clear();
        for host in &cluster.member_hosts {
            let zone = holders::zone_of(cluster, host).unwrap_or_default();
            self.members.push((host.clone(), zone));
            if let Some(incarnation) = step.incarnation_of(host) {
                self.incarnations.insert(host.clone(), incarnation);
            }
        }
        self.handed.clear();
        self.handed.insert(step.me().clone(), self.is_new);
        self.asked_at = None;
        self.check_all_new(step);
    }

    fn add_lost(&mut self, lost: LostGroup) {
        let mut is_known = false;
        for other in &mut self.lost_groups {
            if other.members == lost.members && other.lost == lost.lost {
                other.until = other.until.max(lost.until);
                is_known = true;
            }
        }
        if is_known {
            return;
        }
        if self.lost_groups.len() >= MAX_LOST_GROUPS {
            self.all_lost_until = self.all_lost_until.max(lost.until);
            return;
        }
        self.lost_groups.push(lost);
    }

    /// If every member is new, nobody knows the keys of earlier epochs, so all unknown keys count
    /// as lost for the length of the window.
    fn check_all_new(&mut self, step: &step::Step<'_>) {
        let is_first_epoch = self.epoch <= 1;
        let are_all_new = self.handed.values().all(|new| *new);
        if !is_first_epoch && are_all_new && self.is_complete(step) {
            self.all_lost_until = self.all_lost_until.max(step.now + self.window);
        }
    }

    /// Whether every member has handed over the entries that this host must hold.
    pub(super) fn is_complete(&self, step: &step::Step<'_>) -> bool {
        if self.epoch != step.cluster.epoch || self.epoch == 0 {
            return false;
        }
        step.cluster.member_hosts.iter().all(|host| self.handed.contains_key(host))
    }

    /// Whether all holders of a key were lost within the window.
    pub(super) fn is_lost(&self, now: time::Duration, key: &message::DedupeKey) -> bool {
        if now < self.all_lost_until {
            return true;
        }
        for lost in &self.lost_groups {
            if lost.until <= now {
                continue;
            }
            let hosts: Vec<ids::HostId> =
                lost.members.iter().map(|(host, _)| host.clone()).collect();
            let zone = |host: &ids::HostId| {
                let found = lost.members.iter().find(|(member, _)| member == host);
                found.map(|(_, zone)| zone.clone())
            };
            let holders = holders::among(&hosts, key, zone);
            if !holders.is_empty() && holders.iter().all(|holder| lost.lost.contains(holder)) {
                return true;
            }
        }
        false
    }

    /// Builds the message that confirms that this host has handed over its entries.
    pub(super) fn to_handed(&self, step: &step::Step<'_>) -> message::DedupeMessage {
        let mut lost = Vec::new();
        for known in &self.lost_groups {
            lost.push(message::LostHolders {
                members: known.members.clone(),
                lost: known.lost.clone(),
                keep_ms: clock::millis(known.until.saturating_sub(step.now)),
            });
        }
        if step.now < self.all_lost_until {
            // An empty group means that every key may be lost.
            lost.push(message::LostHolders {
                members: Vec::new(),
                lost: Vec::new(),
                keep_ms: clock::millis(self.all_lost_until.saturating_sub(step.now)),
            });
        }
        message::DedupeMessage::Handed { epoch: self.epoch, new: self.is_new, lost }
    }

    /// Records that a member has handed over its entries, and the losses that it knows of.
    pub(super) fn on_handed(
        &mut self,
        step: &step::Step<'_>,
        from: &ids::HostId,
        new: bool,
        lost: Vec<message::LostHolders>,
    ) {
        if self.epoch != step.cluster.epoch || self.handed.contains_key(from) {
            return;
        }
        for lost in lost.into_iter().take(MAX_LOST_GROUPS + 1) {
            let kept = time::Duration::from_millis(lost.keep_ms).min(self.window);
            let until = step.now + kept;
            if lost.members.is_empty() {
                self.all_lost_until = self.all_lost_until.max(until);
                continue;
            }
            self.add_lost(LostGroup { members: lost.members, lost: lost.lost, until });
        }
        self.handed.insert(from.clone(), new);
        self.check_all_new(step);
    }

    /// Requests the handover from members that have not confirmed it.
    pub(super) fn tick(&mut self, step: &mut step::Step<'_>) {
        self.lost_groups.retain(|lost| lost.until > step.now);
        if self.epoch != step.cluster.epoch || self.is_complete(step) {
            return;
        }
        if self.asked_at.is_some_and(|at| step.now < at + RETRY_INTERVAL) {
            return;
        }
        self.asked_at = Some(step.now);
        for host in &step.cluster.member_hosts {
            if !self.handed.contains_key(host) {
                let message = message::DedupeMessage::Ask { epoch: self.epoch };
                step.send(host, message::Message::Dedupe(message));
            }
        }
    }
}
