//! Decides which advice requests are worth making, and how many hosts make them.
//!
//! The adviser serves one call at a time for each host, so the time of the hosts is scarce while
//! many steps wait. Every call has a fixed cost, so few calls that name many workers are better than
//! many that name few.

use std::time;

/// The most workers that a call names.
pub const MAX_WORKERS_PER_CALL: usize = 100;
/// The calls that tell where a gang may run name workers for this many times the gang, because most
/// of their capacity is in use.
const GANG_COVERAGE: usize = 6;
/// The share of eligible workers that is assumed before any are known, and the number of workers
/// that this assumption weighs as much as.
const PRIOR_SHARE: f64 = 0.5;
const PRIOR_WORKERS: f64 = 20.0;
/// The older half of the responses is forgotten after this many workers, as the policy may change.
const MAX_ANSWERED_WORKERS: f64 = 4_000.0;

/// The time that a host spends on a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallCost {
    /// The time of a call that names no workers.
    pub base: time::Duration,
    /// The additional time for each worker.
    pub per_worker: time::Duration,
}

impl CallCost {
    /// The time of a call that names this many workers.
    pub fn of(&self, named: usize) -> time::Duration {
        let named = u32::try_from(named).unwrap_or(u32::MAX);
        self.base.saturating_add(self.per_worker.saturating_mul(named))
    }

    /// The number of workers that make up half of a call's cost.
    pub fn min_named(&self) -> usize {
        let workers = self.base.as_nanos().checked_div(self.per_worker.as_nanos());
        let workers = workers.and_then(|workers| usize::try_from(workers).ok());
        workers.unwrap_or(MAX_WORKERS_PER_CALL).clamp(1, MAX_WORKERS_PER_CALL)
    }
}

/// The learned share of a queue's workers that are eligible for a step.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EligibleShare {
    answered: f64,
    eligible: f64,
}

impl EligibleShare {
    /// Records a response that concerned `answered` workers, of which `eligible` are eligible.
    pub fn record(&mut self, answered: usize, eligible: usize) {
        let count = |workers: usize| u32::try_from(workers).map_or(0.0, f64::from);
        self.answered += count(answered);
        self.eligible += count(eligible.min(answered));
        if self.answered > MAX_ANSWERED_WORKERS {
            self.answered /= 2.0;
            self.eligible /= 2.0;
        }
    }

    /// The workers that responses concerned, and those of them that are eligible.
    pub fn counts(&self) -> (f64, f64) {
        (self.answered, self.eligible)
    }

    /// Restores the share from its counts. None if no responses can yield them.
    pub fn from_counts(answered: f64, eligible: f64) -> Option<Self> {
        let is_valid = (0.0..=MAX_ANSWERED_WORKERS + 1.0).contains(&answered)
            && (0.0..=answered).contains(&eligible);
        is_valid.then_some(Self { answered, eligible })
    }

    /// The share, between 0 and 1.
    pub fn share(&self) -> f64 {
        (self.eligible + PRIOR_SHARE * PRIOR_WORKERS) / (self.answered + PRIOR_WORKERS)
    }
}

/// How many workers are named to learn where a gang may run. `fits` says how many members each
/// worker of unknown eligibility holds when it is empty, in the order in which they are named.
/// `known` is the number of members that the known eligible workers hold.
pub fn workers_to_learn(
    tasks: usize,
    known: usize,
    share: f64,
    fits: impl IntoIterator<Item = usize>,
    cost: CallCost,
) -> usize {
    let wanted = tasks.saturating_mul(GANG_COVERAGE).saturating_sub(known);
    if wanted == 0 {
        return 0;
    }
    let mut expected = 0.0;
    let mut named: usize = 0;
    let mut available: usize = 0;
    let as_float = |count: usize| u32::try_from(count).map_or(f64::MAX, f64::from);
    for fits in fits {
        available = available.saturating_add(1);
        if expected < as_float(wanted) {
            expected += share * as_float(fits.min(tasks));
            named = available;
        }
    }
    let calls = named.div_ceil(MAX_WORKERS_PER_CALL);
    named.max(calls.saturating_mul(cost.min_named())).min(available)
}

/// Divides named workers among as few calls as possible, evenly. Returns the sizes of the calls.
pub fn call_sizes(named: usize, max_calls: usize) -> Vec<usize> {
    let calls = named.div_ceil(MAX_WORKERS_PER_CALL).min(max_calls);
    let mut left = named.min(calls.saturating_mul(MAX_WORKERS_PER_CALL));
    let mut sizes = Vec::with_capacity(calls);
    for call in 0..calls {
        let size = left.div_ceil(calls - call);
        sizes.push(size);
        left -= size;
    }
    sizes
}

/// The hosts that can make calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Hosts {
    /// All hosts.
    pub total: usize,
    /// Hosts with an open call.
    pub busy: usize,
    /// Hosts with an open call for a gang.
    pub busy_for_gangs: usize,
}

impl Hosts {
    /// The hosts without an open call.
    pub fn idle(&self) -> usize {
        self.total.saturating_sub(self.busy)
    }

    /// Whether at least half of the hosts are idle.
    pub fn are_half_idle(&self) -> bool {
        self.idle().saturating_mul(2) >= self.total
    }

    /// The most hosts that make calls for gangs: three quarters while other steps wait for advice,
    /// but at least one, and at least one host is left for the others.
    pub fn max_for_gangs(&self, do_others_wait: bool) -> usize {
        if !do_others_wait {
            return self.total;
        }
        let three_quarters = self.total.saturating_mul(3) / 4;
        three_quarters.min(self.total.saturating_sub(1)).max(1)
    }

    /// The hosts that may now make calls for gangs.
    pub fn for_gangs(&self, do_others_wait: bool) -> usize {
        self.max_for_gangs(do_others_wait).saturating_sub(self.busy_for_gangs).min(self.idle())
    }

    /// The hosts that may now make calls for other steps, while a gang waits for `gang_calls` hosts.
    pub fn for_others(&self, gang_calls: usize) -> usize {
        let own = self.total.saturating_sub(self.max_for_gangs(true)).max(1);
        let busy = self.busy.saturating_sub(self.busy_for_gangs);
        own.saturating_sub(busy).min(self.idle()).max(self.idle().saturating_sub(gang_calls))
    }
}
