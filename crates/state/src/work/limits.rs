//! The holder side of team limits. A host may use at most what it holds of each team's limit.
//!
//! A holding grows by grants from the team's home and with the tasks of workers that are taken
//! over. The holder returns what it does not need.

mod demand;
mod sync;

use std::collections;
use std::time;

use pier_core::{ids, resources};
use pier_decl::model;

use crate::work::{homes, ledger, step};
use crate::{cluster, message};

/// The interval before an unanswered report is first repeated. It doubles with each repeat.
const MIN_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// All members together hold at most one part in this many of a limit as spare quota, or what one
/// task needs on each host with waiting tasks if that is more.
const MAX_SPARE_DIVISOR: u64 = 8;
/// A holder holds one part in this many of what it uses as spare quota, if that is less.
const USED_SPARE_DIVISOR: u64 = 4;

/// What this host holds of the limit of one team.
#[derive(Debug)]
struct Holding {
    limit: resources::Resources,
    held: resources::Resources,
    /// Quota that was handed to another host in this epoch. It is still reported as held, because
    /// the home may receive the other host's report later.
    in_transit: resources::Resources,
    /// The number of the last grant applied in this epoch.
    seq_seen: u64,
    /// The version of the declaration for which the home must have checked the holding before any
    /// task may start.
    required_version: ids::Version,
    /// The version of the declaration for which the home has last checked the holding.
    checked_version: ids::Version,
    /// The amount to which the holding must shrink.
    target: Option<resources::Resources>,
    /// Whether the holding has changed since the last report.
    changed: bool,
    /// Whether the holding was too small for a task that could have started since the last report.
    start_blocked: bool,
    /// Whether the holding was too small for a task that waits for capacity on a full worker since
    /// the last report.
    queued_task_blocked: bool,
    answered: bool,
    sent_at: Option<time::Duration>,
    /// The number of the last report and the amount it reported as held.
    last_number: u64,
    reported: resources::Resources,
    /// The amount that the last report asked for.
    wanted: resources::Resources,
    /// Whether the home has less of the limit left than the holders want.
    scarce: bool,
    /// Whether the limit became scarce since the last report, so that spare quota must be returned
    /// at once.
    recalled: bool,
    retry_interval: time::Duration,
    /// Demand of urgent and of all other tasks. They need different resource dimensions, so spare
    /// quota for one kind is of no use to the other.
    urgent: demand::Demand,
    other: demand::Demand,
    /// What the most recent task needs that started or was blocked.
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

    /// The amount this host wants to hold. `waiting` is what waiting tasks need and the workers
    /// could hold, and `has_waiting` says whether any task waits. A waiting task needs quota before
    /// a worker has capacity, because tasks of teams without a limit take all capacity as soon as
    /// it is free.
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

    /// The part of an amount that whole tasks could use: first urgent tasks, then the others.
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

/// What this host holds of all limits, and what it lends of the limits whose home it is.
#[derive(Debug, Default)]
pub(super) struct Limits {
    holdings: collections::BTreeMap<ids::TeamId, Holding>,
    homes: homes::Homes,
    next_number: u64,
    epoch: ids::Epoch,
    /// The resources that the last reports included for unfinished takeovers.
    reported_room: Option<resources::Resources>,
    /// Whether a report may be due before the next tick.
    report_soon: bool,
}

impl Limits {
    /// What this host holds of a team's limit.
    pub(super) fn held(&self, team: &ids::TeamId) -> resources::Resources {
        self.holdings.get(team).map(|holding| holding.held).unwrap_or_default()
    }

    /// The number of rejected grants that would have exceeded a limit.
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

    /// What this host may still start for a team that uses `used` here; zero for an undeclared
    /// team.
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

    /// Records a task that waits for capacity on a full worker and for which the holding is too
    /// small.
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

    /// Records a task that started, or that could not start because the holding is too small.
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

    /// Applies new, changed and removed limits of the declaration.
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
            let is_known = self.holdings.contains_key(team);
            let holding = self.holdings.entry(team.clone()).or_insert_with(|| Holding::new(*limit));
            let is_lowered = !holding.limit.fits_in(limit);
            if is_known && holding.limit == *limit {
                continue;
            }
            holding.limit = *limit;
            holding.mark_changed();
            if !is_known || is_lowered {
                // Unused quota is returned at once, and the home checks the rest.
                holding.held = used;
                holding.target = None;
                holding.required_version = step.cluster.version;
            }
        }
        self.homes.on_declaration(step, &limited);
        self.report_soon = true;
    }

    /// Resets the grants, because every home collects reports of all members again in a new epoch.
    pub(super) fn on_epoch(&mut self, step: &step::Step<'_>) {
        self.epoch = step.cluster.epoch;
        self.reported_room = step.cluster.unsettled_usage();
        for holding in self.holdings.values_mut() {
            holding.seq_seen = 0;
            holding.in_transit = resources::Resources::ZERO;
            holding.target = None;
            holding.mark_changed();
        }
        self.homes.on_epoch(step);
        self.report_soon = true;
    }

    /// Drops every holding because this host is no longer a member.
    pub(super) fn on_expelled(&mut self) {
        for holding in self.holdings.values_mut() {
            holding.held = resources::Resources::ZERO;
            holding.in_transit = resources::Resources::ZERO;
        }
    }

    /// Adds the quota that was handed over with a worker and raises each holding to at least what
    /// its tasks use.
    pub(super) fn on_worker_taken_over(
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

    /// Gives up the quota that the tasks of a released worker use. `within_epoch` is set if the
    /// worker moves without a new epoch.
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

    /// Handles a message about limits. Returns whether a team may have more headroom.
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
                uncertain_usage,
                unit,
                seq_seen,
                settled,
                number,
            } => {
                let report = homes::Report {
                    version,
                    held,
                    want,
                    uncertain_usage,
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

    /// Applies a grant once. Returns whether the team may have more headroom.
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
            // Only while the limit is scarce does a grant need a report of its own. Otherwise the
            // next report of another change confirms it.
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

/// The declaration of a team; none if the team is not declared.
pub(super) fn declared<'a>(
    cluster: &'a cluster::Cluster,
    team: &ids::TeamId,
) -> Option<&'a model::TeamDecl> {
    cluster.declaration.teams.iter().find(|declared| declared.name == *team)
}
