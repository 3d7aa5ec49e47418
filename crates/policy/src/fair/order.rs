//! The order in which pending tasks are considered.

use std::cmp;
use std::collections;
use std::time;

use pier_core::{clock, resources};

use crate::{backlog, room, view};

/// What a team that uses exactly its share of a full cell has, in parts per million.
const ENTITLED_PPM: u64 = 1_000_000;
/// The share of a team that is not in the view.
const DEFAULT_SHARE: u64 = 1;
/// A waiting time of this many milliseconds gives the largest credit.
const WAIT_FOR_FULL_CREDIT_MS: u64 = 30_000;
/// The largest credit for waiting, in parts per million of the team's share. It is small, so that
/// a team cannot get ahead of another one by a long queue.
const MAX_WAIT_CREDIT_PPM: u64 = 100_000;
/// Work of a team that uses more than this part of its share does not go ahead for its slack. A
/// team could otherwise get ahead of the others by tight deadlines.
const MAX_SLACK_USAGE_PPM: u64 = 2 * ENTITLED_PPM;
/// How many tasks may find no room in one phase of a decision, over all teams. Tasks behind them
/// wait for the next decision; the bound keeps a decision short while much work waits.
const MAX_TRIED: usize = 500;
const PERCENT: u64 = 100;

/// A part of the pending work. Each phase goes before the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// Requests whose callers wait.
    Urgent,
    /// Tasks of services.
    Service,
    /// Batch and gang tasks that may miss their deadline.
    ShortSlack,
    /// All other batch and gang tasks.
    Rest,
}

/// How far a team is from its share.
#[derive(Debug, Clone)]
struct Standing {
    share: u64,
    /// The usage of the team's dominant resource in parts per million of the cell.
    usage_ppm: u64,
    /// The usage in parts per million of the team's share of the cell.
    of_share_ppm: u64,
}

impl Standing {
    fn new(share: u64, usage_ppm: u64, all_shares: u64) -> Self {
        let mut standing = Self { share, usage_ppm, of_share_ppm: 0 };
        standing.add(0, all_shares);
        standing
    }

    fn add(&mut self, usage_ppm: u64, all_shares: u64) {
        self.usage_ppm = self.usage_ppm.saturating_add(usage_ppm);
        let usage = self.usage_ppm.saturating_mul(all_shares);
        self.of_share_ppm = usage.checked_div(self.share).unwrap_or(u64::MAX);
    }
}

/// The order of the pending tasks.
#[derive(Debug)]
pub(super) struct Order<'v> {
    standings: Vec<Standing>,
    /// The standing of teams that are not in the view.
    other: Standing,
    all_shares: u64,
    waiting_weight: u64,
    waiting: Vec<Waiting<'v>>,
}

/// A team with pending tasks.
#[derive(Debug)]
struct Waiting<'v> {
    team: Option<usize>,
    lines: &'v backlog::Lines,
    /// Whether work of the team with short slack goes ahead.
    slack_counts: bool,
}

/// The pending tasks of one phase, by team. Tasks are read only when their turn comes.
#[derive(Debug)]
pub(super) struct Queues<'v> {
    view: &'v view::View<'v>,
    phase: Phase,
    queues: Vec<Queue<'v>>,
    heads: collections::BinaryHeap<cmp::Reverse<Head>>,
    last: Option<usize>,
    allowance: usize,
}

/// The tasks of one team that are not read yet.
#[derive(Debug)]
struct Queue<'v> {
    team: Option<usize>,
    slack_counts: bool,
    rest: collections::btree_set::Iter<'v, (time::Duration, u64, usize)>,
    /// The number of tasks that were read and did not start.
    tried: usize,
}

/// The first task of a team that still has some.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Head {
    /// The slack in milliseconds, in the phase of short slack.
    slack_ms: u64,
    score: u64,
    arrived: time::Duration,
    queue: usize,
    pending: usize,
}

impl<'v> Order<'v> {
    /// The order of the pending tasks of a view.
    pub(super) fn of(view: &view::View<'v>, settings: &view::Settings) -> Self {
        let mut all_shares: u64 = 0;
        for team in view.teams {
            all_shares = all_shares.saturating_add(u64::from(team.share));
        }
        let all_shares = all_shares.max(DEFAULT_SHARE);
        let mut standings = Vec::with_capacity(view.teams.len());
        for team in view.teams {
            let used_ppm = room::dominant_ppm(&team.used, &view.cell_total);
            let usage_ppm = team.decayed_ppm.saturating_add(used_ppm) / 2;
            standings.push(Standing::new(u64::from(team.share), usage_ppm, all_shares));
        }
        let mut order = Self {
            standings,
            other: Standing::new(DEFAULT_SHARE, 0, all_shares),
            all_shares,
            waiting_weight: u64::from(settings.waiting_weight_percent).min(PERCENT),
            waiting: Vec::new(),
        };
        let mut next = 0;
        for (name, lines) in view.pending.teams() {
            // Both lists are in ascending order of team.
            while view.teams.get(next).is_some_and(|team| team.team < *name) {
                next += 1;
            }
            let listed = view.teams.get(next).is_some_and(|team| team.team == *name);
            let team = listed.then_some(next);
            let slack_counts = order.usage_of_share(team) <= MAX_SLACK_USAGE_PPM;
            order.waiting.push(Waiting { team, lines, slack_counts });
        }
        order
    }

    fn standing(&self, team: Option<usize>) -> &Standing {
        team.map_or(&self.other, |team| &self.standings[team])
    }

    /// The usage of a team in parts per million of its share of the cell.
    fn usage_of_share(&self, team: Option<usize>) -> u64 {
        self.standing(team).of_share_ppm
    }

    /// What orders teams: the usage of their share, and what is missing to the largest credit for
    /// waiting. The smallest is first; the earliest arrival decides between equals.
    fn score(&self, team: Option<usize>, waited: time::Duration) -> u64 {
        let relative = self.usage_of_share(team);
        let waited_ms = clock::millis(waited).min(WAIT_FOR_FULL_CREDIT_MS);
        let credit = MAX_WAIT_CREDIT_PPM * waited_ms / WAIT_FOR_FULL_CREDIT_MS;
        let missing = (MAX_WAIT_CREDIT_PPM - credit) * self.waiting_weight;
        relative.saturating_mul(PERCENT - self.waiting_weight).saturating_add(missing)
    }

    /// Counts a task that starts against its team's share.
    pub(super) fn charge(
        &mut self,
        view: &view::View<'_>,
        team: Option<usize>,
        need: &resources::Resources,
    ) {
        let ppm = room::dominant_ppm(need, &view.cell_total);
        let standing = match team {
            Some(team) => &mut self.standings[team],
            None => &mut self.other,
        };
        standing.add(ppm, self.all_shares);
    }

    /// The pending tasks of a phase.
    pub(super) fn queues(&self, view: &'v view::View<'v>, phase: Phase) -> Queues<'v> {
        let mut queues = Queues {
            view,
            phase,
            queues: Vec::with_capacity(self.waiting.len()),
            heads: collections::BinaryHeap::with_capacity(self.waiting.len()),
            last: None,
            allowance: usize::MAX,
        };
        let mut lengths = Vec::with_capacity(self.waiting.len());
        for Waiting { team, lines, slack_counts } in &self.waiting {
            let line = match phase {
                Phase::Urgent => &lines.urgent,
                Phase::Service => &lines.service,
                Phase::ShortSlack if !slack_counts => continue,
                Phase::ShortSlack => &lines.short,
                Phase::Rest => &lines.batch,
            };
            if line.is_empty() {
                continue;
            }
            lengths.push(line.len());
            let (team, slack_counts) = (*team, *slack_counts);
            queues.queues.push(Queue { team, slack_counts, rest: line.iter(), tried: 0 });
        }
        queues.allowance = allowance(lengths);
        for queue in 0..queues.queues.len() {
            queues.push_head(self, queue);
        }
        queues
    }
}

impl Queues<'_> {
    /// The next task and its team; none if none is left. The score of the last task's team is
    /// taken anew, so a task that was charged in between counts.
    pub(super) fn next(&mut self, order: &Order<'_>) -> Option<(usize, Option<usize>)> {
        if let Some(queue) = self.last.take() {
            self.push_head(order, queue);
        }
        let cmp::Reverse(head) = self.heads.pop()?;
        self.last = Some(head.queue);
        Some((head.pending, self.queues[head.queue].team))
    }

    /// Counts the last task against what its team may try without room.
    pub(super) fn note_not_started(&mut self) {
        if let Some(queue) = self.last {
            self.queues[queue].tried += 1;
        }
    }

    /// Reads the next task of a team.
    fn push_head(&mut self, order: &Order<'_>, index: usize) {
        let now = self.view.now;
        let queue = &mut self.queues[index];
        while queue.tried < self.allowance {
            let Some((key, _, pending)) = queue.rest.next() else {
                return;
            };
            if self.phase == Phase::ShortSlack && *key >= now {
                return;
            }
            let Some(task) = self.view.pending.get(*pending) else {
                continue;
            };
            // The phase of short slack has had its turn with these tasks.
            if self.phase == Phase::Rest && queue.slack_counts && backlog::is_short(now, task) {
                queue.tried += 1;
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

/// How many tasks of each team may find no room, so that all teams together try at most
/// [`MAX_TRIED`]: what short queues do not need goes to the long ones. Each team may try one.
fn allowance(mut lengths: Vec<usize>) -> usize {
    lengths.sort_unstable();
    let mut left = MAX_TRIED;
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

/// The time in milliseconds that is left until a task must start to end before its deadline.
fn slack_ms(now: time::Duration, task: &view::PendingTask) -> u64 {
    let Some(deadline) = task.deadline else {
        return u64::MAX;
    };
    clock::millis(deadline.saturating_sub(task.run_estimate).saturating_sub(now))
}
