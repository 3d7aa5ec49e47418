//! What this host holds of the limits of teams.
//!
//! A holder never uses more than it holds. Its holding grows by grants of the team's home and with
//! the tasks of workers that it takes over, and it gives back what it does not need.

mod demand;
mod sync;

use std::collections;
use std::time;

use pier_core::{ids, resources};
use pier_decl::model;

use crate::work::{homes, ledger, step};
use crate::{cluster, message};

/// The first interval after which an unanswered report is repeated. It doubles each time.
const MIN_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// All members together keep at most this fraction of a limit ahead, or what one task needs on each
/// host where tasks wait, if that is more.
const MAX_SPARE_DIVISOR: u64 = 8;
/// A holder keeps this fraction of what it uses ahead, if that is less.
const USED_SPARE_DIVISOR: u64 = 4;

/// What this host holds of the limit of a team.
#[derive(Debug)]
struct Holding {
    limit: resources::Resources,
    held: resources::Resources,
    /// What was handed over within the epoch. It is still reported as held, because the home may
    /// hear of the receiver later.
    in_transit: resources::Resources,
    /// The last grant that was applied in this epoch.
    seq_seen: u64,
    /// The version from which on the home must have checked the holding before a start.
    required_version: ids::Version,
    /// The version for which the home has checked the holding.
    checked_version: ids::Version,
    /// What the holding has to shrink to.
    target: Option<resources::Resources>,
    /// Whether something has changed since the last report.
    changed: bool,
    /// Whether a start was held back by the holding since the last report.
    start_blocked: bool,
    /// Whether the holding was too small for a task that waits for room on a full worker since the
    /// last report.
    queued_task_blocked: bool,
    answered: bool,
    sent_at: Option<time::Duration>,
    /// The number of the last report and what it said is held.
    last_number: u64,
    reported: resources::Resources,
    /// What the last report said is wanted.
    wanted: resources::Resources,
    /// Whether the home has less of the limit than is wanted.
    scarce: bool,
    /// Whether the limit has become scarce since the last report, so that what is kept ahead is
    /// given back at once.
    recalled: bool,
    retry_interval: time::Duration,
    /// Urgent work and all other work. Their tasks need different dimensions, so quota for the one
    /// is of no use to the other.
    urgent: demand::Demand,
    other: demand::Demand,
    /// What the task needs that was noted last.
    unit: resources::Resources,
}

impl Holding {
    fn new(limit: resources::Resources) -> Self {
        Self {
            limit,
            held: resources::Resources::ZERO,
            in_transit: resources::Resources::ZERO,
            seq_seen: 0,
            required_version: 0,
            checked_version: 0,
            target: None,
            changed: true,
            start_blocked: false,
            queued_task_blocked: false,
            answered: false,
            sent_at: None,
            last_number: 0,
            reported: resources::Resources::ZERO,
            wanted: resources::Resources::ZERO,
            scarce: false,
            recalled: false,
            retry_interval: MIN_RETRY_INTERVAL,
            urgent: demand::Demand::default(),
            other: demand::Demand::default(),
            unit: resources::Resources::ZERO,
        }
    }

    fn headroom(&self, used: &resources::Resources) -> resources::Resources {
        if self.checked_version < self.required_version {
            return resources::Resources::ZERO;
        }
        let max = match &self.target {
            Some(target) => self.held.min(target),
            None => self.held,
        };
        max.minus(used)
    }

    /// What this host would like to hold. `waiting` is what waits and would fit on the workers, and
    /// `has_waiting` whether anything waits. A task that waits needs quota before a worker has room:
    /// tasks of teams without a limit take all room as soon as it is free.
    fn want(
        &self,
        now: time::Duration,
        used: &resources::Resources,
        waiting: &resources::Resources,
        has_waiting: bool,
        members: u64,
    ) -> resources::Resources {
        let mut more = homes::whole_units(waiting, &self.unit);
        for demand in [&self.urgent, &self.other] {
            if !demand.is_active(now) || (self.scarce && !has_waiting) {
                continue;
            }
            let mut max = self.limit.scaled(1, MAX_SPARE_DIVISOR.saturating_mul(members.max(1)));
            if has_waiting {
                max = max.max(&demand.unit);
            }
            let spare = used.scaled(1, USED_SPARE_DIVISOR).max(&demand.unit).min(&max);
            more = more.plus(&homes::whole_units(&spare, &demand.unit));
        }
        let cap = match &self.target {
            Some(target) => target.min(&self.limit),
            None => self.limit,
        };
        used.plus(&self.whole_tasks(&more.min(&cap.minus(used))))
    }

    /// What whole tasks could use of an amount: urgent ones first, then others.
    fn whole_tasks(&self, amount: &resources::Resources) -> resources::Resources {
        let urgent = homes::whole_units(amount, &self.urgent.unit);
        urgent.plus(&homes::whole_units(&amount.minus(&urgent), &self.other.unit))
    }

    fn record(&mut self, now: time::Duration, amount: &resources::Resources, is_urgent: bool) {
        let demand = if is_urgent { &mut self.urgent } else { &mut self.other };
        demand.record(now, amount);
        self.unit = *amount;
    }

    fn mark_changed(&mut self) {
        self.changed = true;
        self.answered = false;
        self.retry_interval = MIN_RETRY_INTERVAL;
    }
}

/// What this host holds of all limits, and what it lends of those whose home it is.
#[derive(Debug, Default)]
pub(super) struct Limits {
    holdings: collections::BTreeMap<ids::TeamId, Holding>,
    homes: homes::Homes,
    next_number: u64,
    epoch: ids::Epoch,
    /// What the last reports counted for takeovers that are not finished.
    reported_room: Option<resources::Resources>,
    /// Whether a report may be due before the next tick.
    report_soon: bool,
}

impl Limits {
    /// What this host holds of the limit of a team.
    pub(super) fn held(&self, team: &ids::TeamId) -> resources::Resources {
        self.holdings.get(team).map(|holding| holding.held).unwrap_or_default()
    }

    /// Limits that would have been lent twice.
    pub(super) fn violations(&self) -> u64 {
        self.homes.violations
    }

    /// What this host may still start for a declared team that uses `used` here.
    pub(super) fn headroom_of(
        &self,
        team: &model::TeamDecl,
        used: &resources::Resources,
    ) -> resources::Resources {
        if team.limit.is_none() {
            return resources::Resources::MAX;
        }
        match self.holdings.get(&team.name) {
            Some(holding) => holding.headroom(used),
            None => resources::Resources::ZERO,
        }
    }

    /// What this host may still start for a team that uses `used` here; nothing for a team that is
    /// not declared.
    pub(super) fn headroom(
        &self,
        cluster: &cluster::Cluster,
        team: &ids::TeamId,
        used: &resources::Resources,
    ) -> resources::Resources {
        match declared(cluster, team) {
            Some(team) => self.headroom_of(team, used),
            None => resources::Resources::ZERO,
        }
    }

    /// Notes a task that waits for room on a full worker, and for which too little is held.
    pub(super) fn record_queued(
        &mut self,
        now: time::Duration,
        team: &ids::TeamId,
        amount: &resources::Resources,
    ) {
        if let Some(holding) = self.holdings.get_mut(team) {
            holding.record(now, amount, false);
            holding.queued_task_blocked = true;
        }
    }

    /// Notes a start, or a start that was held back.
    pub(super) fn record_use(
        &mut self,
        now: time::Duration,
        team: &ids::TeamId,
        amount: &resources::Resources,
        is_urgent: bool,
        started: bool,
    ) {
        let Some(holding) = self.holdings.get_mut(team) else {
            return;
        };
        holding.record(now, amount, is_urgent);
        if !started && !holding.start_blocked {
            holding.start_blocked = true;
            self.report_soon = true;
        }
    }

    /// Follows the declaration: limits that are new, changed or gone.
    pub(super) fn on_declaration(&mut self, step: &step::Step<'_>, ledger: &ledger::Ledger) {
        let mut limited = collections::BTreeMap::new();
        for team in &step.cluster.declaration.teams {
            if let Some(limit) = team.limit {
                limited.insert(team.name.clone(), limit);
            }
        }
        self.holdings.retain(|team, _| limited.contains_key(team));
        for (team, limit) in &limited {
            let used = ledger.team_used(team);
            let known = self.holdings.contains_key(team);
            let holding = self.holdings.entry(team.clone()).or_insert_with(|| Holding::new(*limit));
            let lowered = !holding.limit.fits_in(limit);
            if known && holding.limit == *limit {
                continue;
            }
            holding.limit = *limit;
            holding.mark_changed();
            if !known || lowered {
                // What is not used is given back at once, and the home checks the rest.
                holding.held = used;
                holding.target = None;
                holding.required_version = step.cluster.version;
            }
        }
        self.homes.on_declaration(step, &limited);
        self.report_soon = true;
    }

    /// Acts on a new epoch: every home asks every member again.
    pub(super) fn on_epoch(&mut self, step: &step::Step<'_>) {
        self.epoch = step.cluster.epoch;
        self.reported_room = step.cluster.unfinished_room();
        for holding in self.holdings.values_mut() {
            holding.seq_seen = 0;
            holding.in_transit = resources::Resources::ZERO;
            holding.target = None;
            holding.mark_changed();
        }
        self.homes.on_epoch(step);
        self.report_soon = true;
    }

    /// Drops every holding, because this host is no longer a member.
    pub(super) fn on_expelled(&mut self) {
        for holding in self.holdings.values_mut() {
            holding.held = resources::Resources::ZERO;
            holding.in_transit = resources::Resources::ZERO;
        }
    }

    /// Takes the holdings that came with a worker, and holds at least what its tasks use.
    pub(super) fn on_workers_gained(
        &mut self,
        handed: &[(ids::TeamId, resources::Resources)],
        ledger: &ledger::Ledger,
    ) {
        for (team, amount) in handed {
            if let Some(holding) = self.holdings.get_mut(team) {
                holding.held = holding.held.plus(amount);
                holding.mark_changed();
            }
        }
        for (team, holding) in &mut self.holdings {
            let used = ledger.team_used(team);
            if !used.fits_in(&holding.held) {
                holding.held = holding.held.max(&used);
                holding.mark_changed();
            }
        }
        self.report_soon = true;
    }

    /// Gives up what the tasks of a released worker hold. `within_epoch` says that the worker moves
    /// without a new epoch.
    pub(super) fn release(
        &mut self,
        used: &collections::BTreeMap<ids::TeamId, resources::Resources>,
        within_epoch: bool,
    ) -> Vec<(ids::TeamId, resources::Resources)> {
        let mut handed = Vec::new();
        for (team, amount) in used {
            let Some(holding) = self.holdings.get_mut(team) else {
                continue;
            };
            let amount = amount.min(&holding.held);
            holding.held = holding.held.minus(&amount);
            if within_epoch {
                holding.in_transit = holding.in_transit.plus(&amount);
            }
            holding.mark_changed();
            handed.push((team.clone(), amount));
        }
        handed
    }

    /// Takes a message about limits.
    pub(super) fn on_message(
        &mut self,
        step: &mut step::Step<'_>,
        from: &ids::HostId,
        incarnation: ids::Incarnation,
        message: message::LimitMessage,
    ) -> bool {
        match message {
            message::LimitMessage::Sync {
                epoch,
                version,
                team,
                held,
                want,
                doubt,
                unit,
                seq_seen,
                settled,
                number,
            } => {
                let report = homes::Report {
                    version,
                    held,
                    want,
                    doubt,
                    unit,
                    seq_seen,
                    settled,
                    number,
                    incarnation,
                };
                if epoch == step.cluster.epoch {
                    self.homes.on_report(step, from, &team, report);
                }
                false
            }
            message::LimitMessage::Grant {
                epoch,
                version,
                team,
                amount,
                seq,
                give_back,
                number,
                scarce,
            } => {
                let home = step.cluster.home_of(&team) == Some(from);
                if epoch != step.cluster.epoch || epoch != self.epoch || !home {
                    return false;
                }
                if let Some(holding) = self.holdings.get_mut(&team) {
                    holding.recalled |= scarce && !holding.scarce;
                    holding.scarce = scarce;
                }
                self.on_grant(&team, version, (amount, seq), (give_back, number))
            }
        }
    }

    /// Applies a grant once. Returns whether there may be more room.
    fn on_grant(
        &mut self,
        team: &ids::TeamId,
        version: ids::Version,
        (amount, seq): (resources::Resources, u64),
        (give_back, number): (resources::Resources, u64),
    ) -> bool {
        let Some(holding) = self.holdings.get_mut(team) else {
            return false;
        };
        if seq < holding.seq_seen {
            return false;
        }
        if seq > holding.seq_seen {
            holding.seq_seen = seq;
            holding.held = holding.held.plus(&amount);
            // The next report of another change also says that the grant has come.
            holding.changed |= holding.scarce;
        }
        holding.checked_version = holding.checked_version.max(version);
        if number == holding.last_number {
            holding.answered = true;
            holding.retry_interval = MIN_RETRY_INTERVAL;
        }
        if number == holding.last_number && !give_back.is_zero() {
            let target = holding.reported.minus(&holding.in_transit).minus(&give_back);
            holding.target = Some(target);
            holding.changed = true;
        }
        true
    }
}

/// The declaration of a team.
pub(super) fn declared<'a>(
    cluster: &'a cluster::Cluster,
    team: &ids::TeamId,
) -> Option<&'a model::TeamDecl> {
    cluster.declaration.teams.iter().find(|declared| declared.name == *team)
}
