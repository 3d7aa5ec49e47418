//! Reports to the homes of teams, and preemption when a limit is lowered.

use std::time;

use pier_core::{resources, task};

use super::{Holding, Limits, MIN_RETRY_INTERVAL};
use crate::message;
use crate::work::placement::AttemptId;
use crate::work::{ledger, owner, step};

/// The minimum interval between two reports of a team.
const MIN_REPORT_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// The maximum interval between repeats of an unanswered report.
const MAX_RETRY_INTERVAL: time::Duration = time::Duration::from_secs(4);
/// The interval between reports of a team if its home has less left than the holders want.
const SCARCE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// The interval between reports of a team if its home has enough left. It is longer than spare
/// quota is kept, so that a single report returns both what a task used and the spare quota.
const AMPLE_INTERVAL: time::Duration = time::Duration::from_secs(4);
/// The interval between reports of a team whose holding is too small to compete for the next free
/// capacity on full workers. Capacity for a job task becomes free every few hundred milliseconds at
/// most.
const QUEUED_INTERVAL: time::Duration = time::Duration::from_millis(200);

impl Limits {
    /// Returns unneeded quota and sends the reports that are due.
    pub(in crate::work) fn sync(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &ledger::Ledger,
        owner: &owner::Owner,
        tick: bool,
    ) {
        if !(tick || self.report_soon)
            || !step.cluster.is_member
            || self.epoch != step.cluster.epoch
        {
            return;
        }
        self.report_soon = false;
        let mut report_soon = false;
        let unfinished = step.cluster.unsettled_usage();
        if unfinished != self.reported_room {
            self.reported_room = unfinished;
            for holding in self.holdings.values_mut() {
                holding.mark_changed();
            }
        }
        let members = u64::try_from(step.cluster.member_hosts.len()).unwrap_or(u64::MAX);
        let free = ledger.free();
        let uncertain_usage = unfinished.unwrap_or_default();
        for (team, holding) in &mut self.holdings {
            if !tick && !holding.may_be_due() {
                continue;
            }
            let used = ledger.team_used(team);
            let waiting = owner.waiting_of(team);
            let has_waiting = !waiting.is_zero();
            let want = holding.want(step.now, &used, &waiting.min(&free), has_waiting, members);
            holding.shrink(&used, &want);
            holding.record_want(&want);
            if !holding.is_due(step.now, &want, tick) {
                report_soon |= holding.start_blocked;
                continue;
            }
            let Some(home) = step.cluster.home_of(team) else {
                continue;
            };
            self.next_number += 1;
            holding.record_sent(step.now, self.next_number, want);
            let message = message::LimitMessage::Sync {
                epoch: step.cluster.epoch,
                version: step.cluster.version,
                team: team.clone(),
                held: holding.reported.plus(&uncertain_usage),
                want: want.plus(&holding.in_transit).plus(&uncertain_usage),
                uncertain_usage,
                unit: holding.unit,
                seq_seen: holding.seq_seen,
                settled: unfinished.is_some(),
                number: self.next_number,
            };
            step.send(home, message::Message::Limit(message));
        }
        self.report_soon |= report_soon;
    }

    /// Job tasks to preempt because a limit was lowered, most recently started first. Requests are
    /// left alone because they end within their lease.
    pub(in crate::work) fn tasks_over_target(
        &self,
        ledger: &ledger::Ledger,
    ) -> Vec<(AttemptId, task::PreemptionMode)> {
        let mut preemptions = Vec::new();
        for (team, holding) in &self.holdings {
            let Some(target) = &holding.target else {
                continue;
            };
            let mut excess = ledger.team_used(team).minus(target);
            if excess.is_zero() {
                continue;
            }
            let mut tasks = Vec::new();
            for own in ledger.workers().values() {
                for (id, entry) in &own.entries {
                    let reserved = entry.phase == ledger::Phase::Reserved;
                    if entry.labels.team == *team && entry.labels.job.is_some() && !reserved {
                        tasks.push((std::cmp::Reverse(entry.started), id, entry));
                    }
                }
            }
            tasks.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
            for (_, id, entry) in tasks {
                if excess.is_zero() {
                    break;
                }
                if excess.minus(&entry.resources) == excess {
                    continue;
                }
                excess = excess.minus(&entry.resources);
                let how = match entry.checkpoint_interval.is_zero() {
                    true => task::PreemptionMode::Stop,
                    false => task::PreemptionMode::Checkpoint,
                };
                preemptions.push((id.clone(), how));
            }
        }
        preemptions
    }
}

impl Holding {
    /// Returns quota that is not wanted.
    fn shrink(&mut self, used: &resources::Resources, want: &resources::Resources) {
        // Less quota than one task needs cannot be used here.
        let spare = self.held.min(want).minus(used);
        let least = self.held.min(&used.plus(&self.whole_tasks(&spare)));
        if least != self.held {
            self.held = least;
            self.changed = true;
        }
        if let Some(target) = &self.target
            && self.held.fits_in(target)
        {
            self.target = None;
        }
    }

    /// Records the wanted amount. If it exceeds the holding, it must be reported once.
    fn record_want(&mut self, want: &resources::Resources) {
        self.changed |= *want != self.wanted && !want.fits_in(&self.held);
    }

    /// Whether a report may be due between two ticks. Most holdings are unchanged, and an event
    /// that concerns one team must not cost a check of all of them.
    fn may_be_due(&self) -> bool {
        self.sent_at.is_none()
            || self.changed
            || self.start_blocked
            || self.queued_task_blocked
            || self.recalled
    }

    /// Whether a report is due now.
    fn is_due(&self, now: time::Duration, want: &resources::Resources, tick: bool) -> bool {
        let Some(sent_at) = self.sent_at else {
            return true;
        };
        if now < sent_at + MIN_REPORT_INTERVAL {
            return false;
        }
        if self.start_blocked && !want.fits_in(&self.held) && self.answered {
            return true;
        }
        if self.recalled && self.changed && self.answered {
            return true;
        }
        if self.queued_task_blocked && !want.fits_in(&self.held) && self.answered {
            return now >= sent_at + QUEUED_INTERVAL;
        }
        if !tick {
            return !self.answered && self.retry_interval == MIN_RETRY_INTERVAL && self.changed;
        }
        if !self.answered {
            return now >= sent_at + self.retry_interval;
        }
        // A demand beyond the holding is reported as early as scarce quota is returned.
        let is_pressing = self.scarce || !want.fits_in(&self.held);
        let interval = if is_pressing { SCARCE_INTERVAL } else { AMPLE_INTERVAL };
        self.changed && now >= sent_at + interval
    }

    fn record_sent(&mut self, now: time::Duration, number: u64, want: resources::Resources) {
        self.last_number = number;
        self.wanted = want;
        self.reported = self.held.plus(&self.in_transit);
        if !self.answered && !self.changed {
            self.retry_interval = (self.retry_interval * 2).min(MAX_RETRY_INTERVAL);
        }
        self.answered = false;
        self.changed = false;
        self.start_blocked = false;
        self.queued_task_blocked = false;
        self.recalled = false;
        self.sent_at = Some(now);
    }
}
