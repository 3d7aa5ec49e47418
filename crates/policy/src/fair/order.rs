//! The order in which a decision considers pending tasks.

use std::cmp;
use std::collections;
use std::time;

use pier_core::{clock, resources};

use crate::{backlog, capacity, view};

/// The usage of a team that uses exactly its share of a full cell, in parts per million.
const FULL_SHARE_PPM: u64 = 1_000_000;
/// The share of a team that is not in the view.
const DEFAULT_SHARE: u64 = 1;
/// The waiting time in milliseconds that earns the largest credit.
const FULL_CREDIT_WAIT_MS: u64 = 30_000;
/// The largest credit for waiting, in parts per million of the team's share. It is small so that a
/// team cannot get ahead of another one with a long queue.
const MAX_WAIT_CREDIT_PPM: u64 = 100_000;
/// Tasks with short slack get no priority if their team uses more than this part of its share.
/// Otherwise a team could get ahead of the others with tight deadlines.
const MAX_SLACK_PRIORITY_USAGE_PPM: u64 = 2 * FULL_SHARE_PPM;
/// The maximum number of tasks of all teams that one phase of a decision tries without success.
/// Tasks behind them wait for the next decision. The bound keeps a decision fast while the backlog
/// is long.
const MAX_NOT_STARTED: usize = 500;
const PERCENT: u64 = 100;

/// A phase of a decision. The phases run in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// Requests whose callers wait for a response.
    Urgent,
    /// Tasks of services.
    Service,
    /// Batch and gang tasks that may miss their deadline.
    ShortSlack,
    /// All other batch and gang tasks.
    Remaining,
}

/// The usage of a team relative to its share.
#[derive(Debug, Clone)]
struct ShareUsage {
    share: u64,
    /// The usage of the team's dominant resource in parts per million of the cell.
    usage_ppm: u64,
    /// The usage in parts per million of the team's share of the cell.
    share_usage_ppm: u64,
}

impl ShareUsage {
    fn new(share: u64, usage_ppm: u64, total_shares: u64) -> Self {
        let mut usage = Self { share, usage_ppm, share_usage_ppm: 0 };
        usage.add(0, total_shares);
        usage
    }

    fn add(&mut self, usage_ppm: u64, total_shares: u64) {
        self.usage_ppm = self.usage_ppm.saturating_add(usage_ppm);
        let usage = self.usage_ppm.saturating_mul(total_shares);
        self.share_usage_ppm = usage.checked_div(self.share).unwrap_or(u64::MAX);
    }
}

/// The order of the pending tasks, by usage of their teams.
#[derive(Debug)]
pub(super) struct Order<'v> {
    team_usage: Vec<ShareUsage>,
    /// The usage of all teams that are not in the view.
    unlisted_usage: ShareUsage,
    total_shares: u64,
    waiting_weight: u64,
    teams: Vec<TeamWork<'v>>,
}

/// A team with pending tasks.
#[derive(Debug)]
struct TeamWork<'v> {
    team: Option<usize>,
    indexes: &'v backlog::TeamIndex,
    /// Whether tasks of the team with short slack get priority.
    slack_priority: bool,
}

/// The pending tasks of one phase, by team. Tasks are read lazily.
#[derive(Debug)]
pub(super) struct PhaseQueue<'v> {
    view: &'v view::View<'v>,
    phase: Phase,
    teams: Vec<TeamQueue<'v>>,
    heads: collections::BinaryHeap<cmp::Reverse<Head>>,
    last_queue: Option<usize>,
    max_not_started: usize,
}

/// The tasks of one team that have not been read yet.
#[derive(Debug)]
struct TeamQueue<'v> {
    team: Option<usize>,
    slack_priority: bool,
    remaining: collections::btree_set::Iter<'v, (time::Duration, u64, usize)>,
    /// The number of tasks that were read and did not start in this phase.
    not_started: usize,
}

/// The next task of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Head {
    /// The slack in the phase [`Phase::ShortSlack`], zero in all others.
    slack_ms: u64,
    score: u64,
    arrived: time::Duration,
    queue: usize,
    pending: usize,
}

impl<'v> Order<'v> {
    pub(super) fn new(view: &view::View<'v>, settings: &view::Settings) -> Self {
        let mut total_shares: u64 = 0;
        for team in view.teams {
            total_shares = total_shares.saturating_add(u64::from(team.share));
        }
        let total_shares = total_shares.max(DEFAULT_SHARE);
        let mut team_usage = Vec::with_capacity(view.teams.len());
        for team in view.teams {
            let used_ppm = capacity::dominant_share_ppm(&team.used, &view.cell_total);
            let usage_ppm = team.decayed_ppm.saturating_add(used_ppm) / 2;
            team_usage.push(ShareUsage::new(u64::from(team.share), usage_ppm, total_shares));
        }
        let mut order = Self {
            team_usage,
            unlisted_usage: ShareUsage::new(DEFAULT_SHARE, 0, total_shares),
            total_shares,
            waiting_weight: u64::from(settings.waiting_weight_percent).min(PERCENT),
            teams: Vec::new(),
        };
        let mut next = 0;
        for (name, indexes) in view.pending.teams() {
            // Both lists are in ascending order of team.
            while view.teams.get(next).is_some_and(|team| team.team < *name) {
                next += 1;
            }
            let listed = view.teams.get(next).is_some_and(|team| team.team == *name);
            let team = listed.then_some(next);
            let slack_priority = order.share_usage_ppm(team) <= MAX_SLACK_PRIORITY_USAGE_PPM;
            order.teams.push(TeamWork { team, indexes, slack_priority });
        }
        order
    }

    fn usage(&self, team: Option<usize>) -> &ShareUsage {
        team.map_or(&self.unlisted_usage, |team| &self.team_usage[team])
    }

    /// Returns the usage of a team in parts per million of its share of the cell.
    fn share_usage_ppm(&self, team: Option<usize>) -> u64 {
        self.usage(team).share_usage_ppm
    }

    /// Returns the sort key of a team's next task: the weighted sum of the usage of the team's
    /// share and of the waiting credit that is missing to the maximum. The smallest score is first;
    /// the earliest arrival breaks ties.
    fn score(&self, team: Option<usize>, waited: time::Duration) -> u64 {
        let share_usage = self.share_usage_ppm(team);
        let waited_ms = clock::millis(waited).min(FULL_CREDIT_WAIT_MS);
        let credit = MAX_WAIT_CREDIT_PPM * waited_ms / FULL_CREDIT_WAIT_MS;
        let missing_credit = (MAX_WAIT_CREDIT_PPM - credit) * self.waiting_weight;
        share_usage.saturating_mul(PERCENT - self.waiting_weight).saturating_add(missing_credit)
    }

    /// Adds the demand of a started task to the usage of its team.
    pub(super) fn charge(
        &mut self,
        view: &view::View<'_>,
        team: Option<usize>,
        demand: &resources::Resources,
    ) {
        let ppm = capacity::dominant_share_ppm(demand, &view.cell_total);
        let usage = match team {
            Some(team) => &mut self.team_usage[team],
            None => &mut self.unlisted_usage,
        };
        usage.add(ppm, self.total_shares);
    }

    /// Creates the queue of the pending tasks of a phase.
    pub(super) fn phase_queue(&self, view: &'v view::View<'v>, phase: Phase) -> PhaseQueue<'v> {
        let mut phase_queue = PhaseQueue {
            view,
            phase,
            teams: Vec::with_capacity(self.teams.len()),
            heads: collections::BinaryHeap::with_capacity(self.teams.len()),
            last_queue: None,
            max_not_started: usize::MAX,
        };
        let mut lengths = Vec::with_capacity(self.teams.len());
        for TeamWork { team, indexes, slack_priority } in &self.teams {
            let index = match phase {
                Phase::Urgent => &indexes.urgent,
                Phase::Service => &indexes.service,
                Phase::ShortSlack if !slack_priority => continue,
                Phase::ShortSlack => &indexes.short_slack,
                Phase::Remaining => &indexes.batch,
            };
            if index.is_empty() {
                continue;
            }
            lengths.push(index.len());
            let (team, slack_priority) = (*team, *slack_priority);
            phase_queue.teams.push(TeamQueue {
                team,
                slack_priority,
                remaining: index.iter(),
                not_started: 0,
            });
        }
        phase_queue.max_not_started = max_not_started(lengths);
        for queue in 0..phase_queue.teams.len() {
            phase_queue.push_head(self, queue);
        }
        phase_queue
    }
}

impl PhaseQueue<'_> {
    /// Returns the next task and its team; `None` if no task is left. The score of the last task's
    /// team is computed again, so that it includes a task charged in the meantime.
    pub(super) fn next(&mut self, order: &Order<'_>) -> Option<(usize, Option<usize>)> {
        if let Some(queue) = self.last_queue.take() {
            self.push_head(order, queue);
        }
        let cmp::Reverse(head) = self.heads.pop()?;
        self.last_queue = Some(head.queue);
        Some((head.pending, self.teams[head.queue].team))
    }

    /// Counts the last task towards the limit of tasks that its team may try without success.
    pub(super) fn record_not_started(&mut self) {
        if let Some(queue) = self.last_queue {
            self.teams[queue].not_started += 1;
        }
    }

    /// Reads the next task of a team and adds it to the heads.
    fn push_head(&mut self, order: &Order<'_>, index: usize) {
        let now = self.view.now;
        let queue = &mut self.teams[index];
        while queue.not_started < self.max_not_started {
            let Some((key, _, pending)) = queue.remaining.next() else {
                return;
            };
            if self.phase == Phase::ShortSlack && *key >= now {
                return;
            }
            let Some(task) = self.view.pending.get(*pending) else {
                continue;
            };
            // The phase of short slack has already tried these tasks.
            if self.phase == Phase::Remaining
                && queue.slack_priority
                && backlog::has_short_slack(now, task)
            {
                queue.not_started += 1;
                continue;
            }
            let slack_ms = if self.phase == Phase::ShortSlack { slack_ms(now, task) } else { 0 };
            let score = order.score(queue.team, now.saturating_sub(task.arrived));
            let (queue, pending) = (index, *pending);
            let head = Head { slack_ms, score, arrived: task.arrived, queue, pending };
            self.heads.push(cmp::Reverse(head));
            return;
        }
    }
}

/// The number of tasks that each team may try without success, so that all teams together try at
/// most [`MAX_NOT_STARTED`] (max-min fairness): the part that short queues do not use goes to the
/// long ones. Each team may try at least one.
fn max_not_started(mut lengths: Vec<usize>) -> usize {
    lengths.sort_unstable();
    let mut left = MAX_NOT_STARTED;
    let mut teams = lengths.len();
    for length in lengths {
        if length > left / teams {
            return (left / teams).max(1);
        }
        left -= length;
        teams -= 1;
    }
    usize::MAX
}

/// The time until the latest start at which a task ends before its deadline, in milliseconds.
fn slack_ms(now: time::Duration, task: &view::PendingTask) -> u64 {
    let Some(deadline) = task.deadline else {
        return u64::MAX;
    };
    clock::millis(deadline.saturating_sub(task.run_estimate).saturating_sub(now))
}
