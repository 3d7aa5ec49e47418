//! Reports of holders to the homes of teams, and what has to yield to a lowered limit.

use std::time;

use pier_core::{resources, task};

use super::{Holding, Limits, REPEAT_MIN};
use crate::message;
use crate::work::placement::AttemptId;
use crate::work::{ledger, owner, step};

/// The shortest interval between two reports of a team.
const SYNC_MIN: time::Duration = time::Duration::from_millis(20);
/// The longest interval between repeats of a report that is not answered.
const REPEAT_MAX: time::Duration = time::Duration::from_secs(4);
/// The interval between reports of a team of whose limit the home has less than is wanted.
const SCARCE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// The interval between reports of a team of whose limit the home has enough. It is longer than
/// quota is kept ahead, so that one report gives back what one task has used and what was ahead.
const AMPLE_INTERVAL: time::Duration = time::Duration::from_secs(4);
/// The interval between reports of a team that has too little to compete for the next room on full
/// workers. Room for a job task becomes free every few hundred milliseconds at the most.
const QUEUED_INTERVAL: time::Duration = time::Duration::from_millis(200);

impl Limits {
    /// Gives back, and reports to the homes what has changed.
    pub(in crate::work) fn sync(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &ledger::Ledger,
        owner: &owner::Owner,
        tick: bool,
    ) {
        if !(tick || self.hurry) || !step.cluster.is_member || self.epoch != step.cluster.epoch {
            return;
        }
        self.hurry = false;
        let mut hurry = false;
        let unfinished = step.cluster.unfinished_room();
        if unfinished != self.reported_room {
            self.reported_room = unfinished;
            for holding in self.holdings.values_mut() {
                holding.touch();
            }
        }
        let members = u64::try_from(step.cluster.member_hosts.len()).unwrap_or(u64::MAX);
        let free = ledger.free();
        let doubt = unfinished.unwrap_or_default();
        for (team, holding) in &mut self.holdings {
            if !tick && !holding.may_be_due() {
                continue;
            }
            let used = ledger.team_used(team);
            let waiting = owner.waiting_of(team);
            let any_wait = !waiting.is_zero();
            let want = holding.want(step.now, &used, &waiting.min(&free), any_wait, members);
            holding.shrink(&used, &want);
            holding.note_want(&want);
            if !holding.is_due(step.now, &want, tick) {
                hurry |= holding.short;
                continue;
            }
            let Some(home) = step.cluster.home_of(team) else {
                continue;
            };
            self.next_number += 1;
            holding.note_sent(step.now, self.next_number, want);
            let message = message::LimitMessage::Sync {
                epoch: step.cluster.epoch,
                version: step.cluster.version,
                team: team.clone(),
                held: holding.reported.plus(&doubt),
                want: want.plus(&holding.in_transit).plus(&doubt),
                doubt,
                unit: holding.unit,
                seq_seen: holding.seq_seen,
                settled: unfinished.is_some(),
                number: self.next_number,
            };
            step.send(home, message::Message::Limit(message));
        }
        self.hurry |= hurry;
    }

    /// The tasks that have to yield because a limit was lowered: jobs, the newest first. Requests
    /// end by themselves within their lease.
    pub(in crate::work) fn over_target(
        &self,
        ledger: &ledger::Ledger,
    ) -> Vec<(AttemptId, task::PreemptionMode)> {
        let mut yields = Vec::new();
        for (team, holding) in &self.holdings {
            let Some(target) = &holding.target else {
                continue;
            };
            let mut over = ledger.team_used(team).minus(target);
            if over.is_zero() {
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
                if over.is_zero() {
                    break;
                }
                if over.minus(&entry.resources) == over {
                    continue;
                }
                over = over.minus(&entry.resources);
                let how = match entry.checkpoint_interval.is_zero() {
                    true => task::PreemptionMode::Stop,
                    false => task::PreemptionMode::Checkpoint,
                };
                yields.push((id.clone(), how));
            }
        }
        yields
    }
}

impl Holding {
    /// Gives back what is not wanted.
    fn shrink(&mut self, used: &resources::Resources, want: &resources::Resources) {
        // Less than one task needs is of no use here.
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

    /// Notes what is wanted. More than is held has to be reported once.
    fn note_want(&mut self, want: &resources::Resources) {
        self.changed |= *want != self.wanted && !want.fits_in(&self.held);
    }

    /// Whether a report may be due between two ticks. Most holdings have no news, and an event that
    /// concerns one team must not cost a look at all of them.
    fn may_be_due(&self) -> bool {
        self.sent_at.is_none() || self.changed || self.short || self.queued || self.recalled
    }

    /// Whether a report is due.
    fn is_due(&self, now: time::Duration, want: &resources::Resources, tick: bool) -> bool {
        let Some(sent_at) = self.sent_at else {
            return true;
        };
        if now < sent_at + SYNC_MIN {
            return false;
        }
        if self.short && !want.fits_in(&self.held) && self.answered {
            return true;
        }
        if self.recalled && self.changed && self.answered {
            return true;
        }
        if self.queued && !want.fits_in(&self.held) && self.answered {
            return now >= sent_at + QUEUED_INTERVAL;
        }
        if !tick {
            return !self.answered && self.repeat == REPEAT_MIN && self.changed;
        }
        if !self.answered {
            return now >= sent_at + self.repeat;
        }
        // What is wanted beyond the holding is asked for as early as what is scarce is given back.
        let hurried = self.scarce || !want.fits_in(&self.held);
        let interval = if hurried { SCARCE_INTERVAL } else { AMPLE_INTERVAL };
        self.changed && now >= sent_at + interval
    }

    fn note_sent(&mut self, now: time::Duration, number: u64, want: resources::Resources) {
        self.last_number = number;
        self.wanted = want;
        self.reported = self.held.plus(&self.in_transit);
        if !self.answered && !self.changed {
            self.repeat = (self.repeat * 2).min(REPEAT_MAX);
        }
        self.answered = false;
        self.changed = false;
        self.short = false;
        self.queued = false;
        self.recalled = false;
        self.sent_at = Some(now);
    }
}
