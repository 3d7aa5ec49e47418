//! The home side of team limits. The home of a team lends parts of the team's limit to the hosts
//! that need it, the holders.

use std::collections;

use pier_core::{ids, resources};

use crate::work::step;
use crate::{Error, Result, effect, message};

/// A holder's report to the home of a team.
#[derive(Debug, Clone, Copy)]
pub(super) struct Report {
    pub(super) version: ids::Version,
    pub(super) held: resources::Resources,
    pub(super) want: resources::Resources,
    pub(super) uncertain_usage: resources::Resources,
    pub(super) unit: resources::Resources,
    pub(super) seq_seen: u64,
    pub(super) settled: bool,
    pub(super) number: u64,
    pub(super) incarnation: ids::Incarnation,
}

/// The home's view of a holder.
#[derive(Debug)]
struct Holder {
    last: Report,
    /// An upper bound of what the holder holds: the last report plus every grant that it may not
    /// include.
    lent: resources::Resources,
    /// The number of the last grant. Its size follows in `amount`.
    seq: u64,
    amount: resources::Resources,
}

impl Holder {
    /// Whether the holder's last report includes the last grant.
    fn has_applied_last_grant(&self) -> bool {
        self.last.seq_seen == self.seq
    }
}

/// The limit of one team and what is lent of it.
#[derive(Debug)]
struct Pool {
    limit: resources::Resources,
    /// The version of the declaration in which the limit was last lowered, or first set.
    lowered_in: ids::Version,
    holders: collections::BTreeMap<ids::HostId, Holder>,
    /// What each holder may keep of a limit that is exceeded; none while the limit is kept.
    targets: Option<collections::BTreeMap<ids::HostId, resources::Resources>>,
    /// The holder that last received a grant. The next round starts with its successor.
    last_served: Option<ids::HostId>,
    /// Whether the holders were told the current targets, or that there are none.
    confirmed: bool,
    /// Whether demand exceeded the unlent part of the limit at the last report.
    scarce: bool,
}

/// The pools of the teams whose home is this host.
#[derive(Debug, Default)]
pub(super) struct Homes {
    pools: collections::BTreeMap<ids::TeamId, Pool>,
    /// The number of grants that were rejected because they would have exceeded a limit.
    pub(super) violations: u64,
}

impl Homes {
    /// Resets the pools. Nothing is lent until every member has reported in the new epoch.
    pub(super) fn on_epoch(&mut self, step: &step::Step<'_>) {
        self.pools.retain(|team, pool| {
            pool.holders.clear();
            pool.targets = None;
            pool.confirmed = false;
            pool.scarce = false;
            step.cluster.is_home_of(team)
        });
        for team in &step.cluster.declaration.teams {
            if let Some(limit) = team.limit
                && step.cluster.is_home_of(&team.name)
            {
                let lowered_in = step.cluster.version;
                self.pools.entry(team.name.clone()).or_insert_with(|| Pool::new(limit, lowered_in));
            }
        }
    }

    /// Applies changed limits of the declaration.
    pub(super) fn on_declaration(
        &mut self,
        step: &step::Step<'_>,
        limited: &collections::BTreeMap<ids::TeamId, resources::Resources>,
    ) {
        let version = step.cluster.version;
        self.pools.retain(|team, _| limited.contains_key(team));
        for (team, limit) in limited {
            if !step.cluster.is_home_of(team) {
                continue;
            }
            let pool = self.pools.entry(team.clone()).or_insert_with(|| Pool::new(*limit, version));
            if pool.limit == *limit {
                continue;
            }
            if !pool.limit.fits_in(limit) {
                pool.lowered_in = version;
            }
            pool.limit = *limit;
            pool.targets = None;
            pool.confirmed = false;
        }
    }

    /// Handles a report and sends the resulting grants.
    pub(super) fn on_report(
        &mut self,
        step: &mut step::Step<'_>,
        from: &ids::HostId,
        team: &ids::TeamId,
        report: Report,
    ) {
        let is_member = step.cluster.member_hosts.binary_search(from).is_ok();
        let is_current = step.incarnation_of(from) == Some(report.incarnation);
        let Some(pool) = self.pools.get_mut(team) else {
            return;
        };
        if !is_member || !is_current || !step.cluster.is_home_of(team) {
            return;
        }
        if !pool.record_report(from, report) {
            return;
        }
        if !pool.is_complete(&step.cluster.member_hosts) || !pool.is_certain() {
            return;
        }
        pool.set_targets();
        // Holders return their spare quota once they learn that another holder needs it.
        let scarce = pool.is_scarce();
        let answer_all = !pool.confirmed || (scarce && !pool.scarce);
        pool.confirmed = true;
        pool.scarce = scarce;
        let grants = pool.serve(team, from, answer_all);
        for (to, grant) in grants {
            match grant {
                Ok((amount, seq)) => {
                    let (give_back, number) = pool.give_back(&to);
                    let message = message::LimitMessage::Grant {
                        epoch: step.cluster.epoch,
                        version: step.cluster.version,
                        team: team.clone(),
                        amount,
                        seq,
                        give_back,
                        number,
                        scarce,
                    };
                    step.send(&to, message::Message::Limit(message));
                }
                Err(error) => {
                    self.violations += 1;
                    step.log_notice(effect::Notice::Invariant { error });
                }
            }
        }
    }
}

/// The largest multiple of `unit` that fits in `amount`; zero if `unit` is zero.
pub(super) fn whole_units(
    amount: &resources::Resources,
    unit: &resources::Resources,
) -> resources::Resources {
    let mut count: Option<u64> = None;
    for (amount, unit) in amount.to_array().into_iter().zip(unit.to_array()) {
        let Some(fits) = amount.checked_div(unit) else {
            continue;
        };
        count = Some(count.map_or(fits, |count| count.min(fits)));
    }
    unit.scaled(count.unwrap_or(0), 1)
}

type Grant = Result<(resources::Resources, u64)>;

impl Pool {
    fn new(limit: resources::Resources, lowered_in: ids::Version) -> Self {
        Self {
            limit,
            lowered_in,
            holders: collections::BTreeMap::new(),
            targets: None,
            last_served: None,
            confirmed: false,
            scarce: false,
        }
    }

    /// Records a report. Returns false if a newer report of the sender is already known.
    fn record_report(&mut self, from: &ids::HostId, report: Report) -> bool {
        let holder = self.holders.entry(from.clone()).or_insert_with(|| Holder {
            last: Report { number: 0, ..report },
            lent: report.held,
            // Holders number grants from one in each epoch, and this home has sent none yet.
            seq: report.seq_seen,
            amount: resources::Resources::ZERO,
        });
        if report.number <= holder.last.number {
            return false;
        }
        holder.last = report;
        if holder.has_applied_last_grant() {
            holder.lent = report.held;
        } else {
            holder.lent = holder.lent.max(&report.held);
        }
        true
    }

    /// Whether every member has reported, finished its takeovers and knows the current limit.
    fn is_complete(&self, members: &[ids::HostId]) -> bool {
        for member in members {
            let Some(holder) = self.holders.get(member) else {
                return false;
            };
            if !holder.last.settled || holder.last.version < self.lowered_in {
                return false;
            }
        }
        true
    }

    /// Whether the limit is kept for certain, or the lent amount is known exactly. If the limit may
    /// be exceeded only because of amounts in doubt, the home must not confirm holdings and must
    /// not cause preemption.
    fn is_certain(&self) -> bool {
        let exact = self.holders.values().all(|holder| holder.last.uncertain_usage.is_zero());
        exact || self.lent().fits_in(&self.limit)
    }

    fn lent(&self) -> resources::Resources {
        let mut sum = resources::Resources::ZERO;
        for holder in self.holders.values() {
            sum = sum.plus(&holder.lent);
        }
        sum
    }

    /// Whether the holders want more than what is left of the limit.
    fn is_scarce(&self) -> bool {
        let mut missing = resources::Resources::ZERO;
        for holder in self.holders.values() {
            missing = missing.plus(&holder.last.want.minus(&holder.lent));
        }
        self.targets.is_some() || !missing.fits_in(&self.limit.minus(&self.lent()))
    }

    /// Computes once what each holder may keep of an exceeded limit, in proportion to what it was
    /// lent.
    fn set_targets(&mut self) {
        let sum = self.lent();
        if sum.fits_in(&self.limit) {
            self.targets = None;
            return;
        }
        if self.targets.is_some() {
            return;
        }
        let mut targets = collections::BTreeMap::new();
        for (host, holder) in &self.holders {
            let lent = holder.lent.to_array();
            let mut keep = lent;
            for ((keep, sum), limit) in
                keep.iter_mut().zip(sum.to_array()).zip(self.limit.to_array())
            {
                if sum > limit {
                    let part = u128::from(*keep) * u128::from(limit) / u128::from(sum);
                    *keep = u64::try_from(part).unwrap_or(u64::MAX);
                }
            }
            targets.insert(host.clone(), resources::Resources::from_array(keep));
        }
        self.targets = Some(targets);
    }

    /// What a holder must return of the amount in its last report, and the number of that report.
    fn give_back(&self, host: &ids::HostId) -> (resources::Resources, u64) {
        let target = self.targets.as_ref().and_then(|targets| targets.get(host));
        let Some(holder) = self.holders.get(host) else {
            return (resources::Resources::ZERO, 0);
        };
        match target {
            Some(target) if holder.has_applied_last_grant() => {
                (holder.last.held.minus(target), holder.last.number)
            }
            _ => (resources::Resources::ZERO, holder.last.number),
        }
    }

    /// Grants free quota to the holders in round-robin order. Always answers `from`, and all
    /// holders if `answer_all` is set.
    fn serve(
        &mut self,
        team: &ids::TeamId,
        from: &ids::HostId,
        answer_all: bool,
    ) -> Vec<(ids::HostId, Grant)> {
        let mut order: Vec<ids::HostId> = self.holders.keys().cloned().collect();
        let start = match &self.last_served {
            Some(last_served) => order.partition_point(|host| host <= last_served),
            None => 0,
        };
        let last = order.len();
        order.rotate_left(start.min(last));
        let mut grants = Vec::new();
        for host in order {
            let Some(holder) = self.holders.get(&host) else {
                continue;
            };
            if !holder.has_applied_last_grant() {
                // The last grant may have been lost, so it is repeated without adding to it.
                if answer_all || host == *from {
                    grants.push((host, Ok((holder.amount, holder.seq))));
                }
                continue;
            }
            let free = self.limit.minus(&self.lent());
            let missing = holder.last.want.minus(&holder.lent);
            let amount = match missing.fits_in(&free) {
                true => missing,
                false => whole_units(&missing.min(&free), &holder.last.unit),
            };
            if amount.is_zero() {
                if answer_all || host == *from {
                    grants.push((host, Ok((amount, holder.seq))));
                }
                continue;
            }
            let grant = self.lend(team, &host, amount);
            self.last_served = Some(host.clone());
            grants.push((host, grant));
        }
        grants
    }

    /// Lends `amount` to a holder.
    ///
    /// # Errors
    /// The grant would exceed the limit, or the holder has not applied the previous grant.
    fn lend(
        &mut self,
        team: &ids::TeamId,
        host: &ids::HostId,
        amount: resources::Resources,
    ) -> Grant {
        let over_lent = Error::LimitOverLent { team: team.clone() };
        let free = self.limit.minus(&self.lent());
        let Some(holder) = self.holders.get_mut(host) else {
            return Err(over_lent);
        };
        if !amount.fits_in(&free) || !holder.has_applied_last_grant() {
            return Err(over_lent);
        }
        holder.lent = holder.lent.plus(&amount);
        holder.seq += 1;
        holder.amount = amount;
        Ok((amount, holder.seq))
    }
}
