//! Divides the capacity of each service among accounts.
//!
//! Without `options.load.shares`, jobs that an account submits beyond its weight rank behind late
//! jobs. With it, the division follows from what runs and waits in each pass, and a step of an
//! account that would use more than its share ranks behind all steps within their shares that have
//! not expired.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time;
use std::vec;

use pier_core::ids;
use pier_core::map::Map;
use pier_core::resources::Resources;
use pier_load::shares::{AccountDemand, Shares};

use crate::decider::room::RoomBounds;
use crate::decider::schedule::Candidate;
use crate::decider::{Context, Decider};
use crate::declaration::{Queue, ServiceId};
use crate::job::{AccountId, JobSpec, TaskRef};
use crate::load_report::{LoadReport, ShareReport};
use crate::ranking::{DeadlineStatus, SubmissionBucket};
use crate::run::Run;
use crate::worker::Worker;

/// The shortest time between two log lines about the share of an account.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// An account in the division. The work of jobs without an account is divided like that of an
/// account of weight one.
type ShareAccount = Option<AccountId>;

/// What the accounts use, and how the capacity is divided among them.
#[derive(Debug, Default)]
pub(super) struct AccountShares {
    /// What the runs of each account use on all workers.
    used: Map<AccountId, Resources>,
    submission_buckets: Map<AccountId, SubmissionBucket>,
    /// Jobs that exceeded their account's submission bucket.
    beyond_bucket: BTreeSet<ids::JobId>,
    /// The division of each service in the last pass.
    divisions: BTreeMap<ServiceId, Division>,
    /// The services of the queues in the last pass.
    service_of_queue: Map<ids::QueueId, ServiceId>,
    limited: BTreeMap<AccountId, LimitedAccount>,
}

/// The division of the capacity of a service.
#[derive(Debug)]
struct Division {
    shares: Shares,
    accounts: Vec<ShareAccount>,
    positions: Map<ShareAccount, usize>,
    capacity: Resources,
    /// Whether a step that fits its account's limit waits for free capacity.
    is_full: bool,
    /// The demand of jobs that were accepted since the pass, in parts per million of the capacity.
    accepted_ppm: Map<ShareAccount, u64>,
}

/// What the log says of an account that is or was limited to its share.
#[derive(Debug)]
struct LimitedAccount {
    is_limited: bool,
    is_logged_as_limited: bool,
    logged_at: Option<time::Duration>,
    entitled_ppm: u64,
    used_ppm: u64,
}

/// The input of a division while it is collected.
#[derive(Default)]
struct DivisionInput {
    capacity: Resources,
    smallest_need: Option<Resources>,
    accounts: Vec<ShareAccount>,
    demands: Vec<AccountDemand>,
    positions: Map<ShareAccount, usize>,
}

impl DivisionInput {
    fn demand_of(&mut self, context: &Context<'_>, account: &ShareAccount) -> &mut AccountDemand {
        let position = match self.positions.get(account) {
            Some(position) => *position,
            None => {
                let position = self.demands.len();
                let declared = account.as_ref().and_then(|name| context.declaration.account(name));
                let cap = match (account, declared) {
                    (None, _) => Resources::MAX,
                    (Some(_), Some(declared)) => declared.cap,
                    (Some(_), None) => Resources::ZERO,
                };
                self.demands.push(AccountDemand {
                    weight: declared.map_or(1, |declared| declared.weight),
                    used: Resources::ZERO,
                    waiting: Resources::ZERO,
                    cap,
                });
                self.accounts.push(account.clone());
                self.positions.insert(account.clone(), position);
                position
            }
        };
        &mut self.demands[position]
    }

    fn divide(self) -> Division {
        Division {
            shares: Shares::divide(&self.capacity, &self.demands),
            accounts: self.accounts,
            positions: self.positions,
            capacity: self.capacity,
            is_full: false,
            accepted_ppm: Map::default(),
        }
    }
}

/// The candidates of a pass in the order in which they are placed: by rank, and those beyond their
/// accounts' shares before those that have expired.
pub(super) struct PassOrder {
    ranked: vec::IntoIter<Candidate>,
    /// The first expired candidate, while candidates beyond shares go before it.
    expired: Option<Candidate>,
    /// In order of rank, because they are deferred in this order.
    beyond: VecDeque<Candidate>,
}

impl PassOrder {
    /// The candidates must be in order of rank.
    pub(super) fn new(candidates: Vec<Candidate>) -> Self {
        Self { ranked: candidates.into_iter(), expired: None, beyond: VecDeque::new() }
    }

    fn defer(&mut self, mut candidate: Candidate) {
        candidate.rank.deadline_status = DeadlineStatus::BeyondShare;
        // Fast workers are left to steps within their shares.
        candidate.speed_tolerance.avoids_fast_workers = true;
        self.beyond.push_back(candidate);
    }

    /// Defers the tasks of a candidate after the first `placed`, which are beyond the share.
    pub(super) fn defer_rest(&mut self, candidate: &Candidate, placed: usize) {
        let mut rest = candidate.clone();
        rest.waiting.drain(..placed);
        self.defer(rest);
    }
}

impl AccountShares {
    /// What the runs of the account use.
    pub(super) fn used(&self, account: &AccountId) -> Resources {
        self.used.get(account).copied().unwrap_or_default()
    }

    /// Counts a run against its account.
    pub(super) fn add_use(&mut self, account: &AccountId, need: &Resources) {
        let used = self.used.entry(AccountId::clone(account)).or_default();
        *used = used.plus(need);
    }

    /// Stops counting a run.
    pub(super) fn remove_use(&mut self, account: &AccountId, need: &Resources) {
        if let Some(used) = self.used.get_mut(account) {
            *used = used.minus(need);
        }
    }

    /// Records that a job was accepted. Returns whether it exceeds its account's share.
    pub(super) fn record_submission(&mut self, context: &Context<'_>, spec: &JobSpec) -> bool {
        if context.options.load.shares {
            let is_within = self.is_within(context, spec);
            if let Some(division) = self.division_mut(context, spec) {
                let demand_ppm = division.demand_ppm(spec);
                let accepted_ppm = division.accepted_ppm.entry(spec.account.clone()).or_default();
                *accepted_ppm = accepted_ppm.saturating_add(demand_ppm);
            }
            return !is_within;
        }
        let Some(account) =
            spec.account.as_ref().and_then(|name| context.declaration.account(name))
        else {
            return false;
        };
        let bucket = self.submission_buckets.entry(AccountId::clone(&account.name)).or_default();
        let is_beyond = bucket.record_submission(context.now, account);
        if is_beyond {
            self.beyond_bucket.insert(ids::JobId::clone(&spec.id));
        }
        is_beyond
    }

    /// Whether the job exceeded its account's submission bucket.
    pub(super) fn exceeded_bucket(&self, job: &ids::JobId) -> bool {
        self.beyond_bucket.contains(job)
    }

    /// Forgets a job that has ended.
    pub(super) fn forget_job(&mut self, job: &ids::JobId) {
        self.beyond_bucket.remove(job);
    }

    /// Divides the capacity of each service among the accounts whose runs use it and those whose
    /// candidates wait for it. Expired work counts as use but not as demand: it runs only when
    /// capacity is left.
    pub(super) fn divide(
        &mut self,
        context: &Context<'_>,
        workers: &BTreeMap<ids::WorkerId, Worker>,
        runs: &BTreeMap<TaskRef, Run>,
        candidates: &[Candidate],
    ) {
        self.divisions.clear();
        self.service_of_queue.clear();
        if !context.options.load.shares {
            return;
        }
        let mut inputs: BTreeMap<ServiceId, DivisionInput> = BTreeMap::new();
        for candidate in candidates {
            let Some(queue) = context.declaration.queue(&candidate.spec.queue) else {
                continue;
            };
            if !self.service_of_queue.contains_key(&queue.name) {
                let service = ServiceId::clone(&queue.service);
                self.service_of_queue.insert(ids::QueueId::clone(&queue.name), service);
            }
            if candidate.rank.deadline_status == DeadlineStatus::Expired {
                continue;
            }
            if !inputs.contains_key(&queue.service) {
                inputs.insert(ServiceId::clone(&queue.service), DivisionInput::default());
            }
            let Some(input) = inputs.get_mut(&queue.service) else {
                continue;
            };
            let need = candidate.step().need;
            let count = u64::try_from(candidate.waiting.len()).unwrap_or(u64::MAX);
            input.smallest_need =
                Some(input.smallest_need.map_or(need, |smallest| smallest.min(&need)));
            let demand = input.demand_of(context, &candidate.spec.account);
            demand.waiting = demand.waiting.plus(&need.scaled(count, 1));
        }
        if inputs.is_empty() {
            return;
        }
        // Positions in the list of inputs, which is read once for each run.
        let mut service_of = Map::default();
        let mut inputs: Vec<(ServiceId, DivisionInput)> = inputs.into_iter().collect();
        for (id, worker) in workers {
            let position = inputs.iter().position(|(service, _)| *service == worker.info.service);
            let Some(position) = position else {
                continue;
            };
            service_of.insert(id, position);
            let input = &mut inputs[position].1;
            // Free capacity that no waiting task fits in cannot be divided.
            let has_room = worker.accepts_work(context.now)
                && !context.zones_out.contains(&worker.info.zone)
                && input.smallest_need.is_some_and(|need| need.fits_in(&worker.free()));
            let amount = if has_room { &worker.info.capacity } else { &worker.used };
            input.capacity = input.capacity.plus(amount);
        }
        for run in runs.values() {
            if let Some(position) = service_of.get(&run.worker) {
                let demand = inputs[*position].1.demand_of(context, &run.account);
                demand.used = demand.used.plus(&run.need);
            }
        }
        for (service, mut input) in inputs {
            for (account, demand) in input.accounts.iter().zip(&mut input.demands) {
                if let Some(account) = account {
                    // The limit covers all services.
                    let elsewhere = self.used(account).minus(&demand.used);
                    demand.cap = demand.cap.minus(&elsewhere);
                }
            }
            self.divisions.insert(service, input.divide());
        }
    }

    /// The next candidate to place, and how many of its tasks are within its account's share. A
    /// candidate without any is deferred. For those that are beyond shares or have expired, the
    /// share does not count.
    pub(super) fn next_candidate(&self, order: &mut PassOrder) -> Option<(Candidate, usize)> {
        while order.expired.is_none() {
            let Some(candidate) = order.ranked.next() else {
                break;
            };
            if candidate.rank.deadline_status == DeadlineStatus::Expired {
                order.expired = Some(candidate);
                break;
            }
            let within = self.count_within(&candidate);
            if within > 0 {
                return Some((candidate, within));
            }
            order.defer(candidate);
        }
        let candidate = match order.beyond.pop_front() {
            Some(candidate) => candidate,
            None => order.expired.take().or_else(|| order.ranked.next())?,
        };
        let waiting = candidate.waiting.len();
        Some((candidate, waiting))
    }

    fn count_within(&self, candidate: &Candidate) -> usize {
        let waiting = candidate.waiting.len();
        let Some((division, position)) = self.position(&candidate.spec) else {
            return waiting;
        };
        let step = candidate.step();
        if !step.gang {
            return division.shares.count_within(position, &step.need, waiting);
        }
        let need = step.need.scaled(u64::try_from(waiting).unwrap_or(u64::MAX), 1);
        waiting * division.shares.count_within(position, &need, 1)
    }

    /// Whether a gang may reserve capacity. Beyond its account's share it would keep that from work
    /// within shares.
    pub(super) fn may_reserve(&self, context: &Context<'_>, candidate: &Candidate) -> bool {
        !context.options.load.shares
            || candidate.rank.deadline_status != DeadlineStatus::BeyondShare
    }

    fn position(&self, spec: &JobSpec) -> Option<(&Division, usize)> {
        let division = self.divisions.get(self.service_of_queue.get(&spec.queue)?)?;
        Some((division, *division.positions.get(&spec.account)?))
    }

    fn division_mut(&mut self, context: &Context<'_>, spec: &JobSpec) -> Option<&mut Division> {
        self.divisions.get_mut(&context.declaration.queue(&spec.queue)?.service)
    }

    /// Charges tasks of the candidate that were placed to its account.
    pub(super) fn charge(&mut self, candidate: &Candidate, placed: usize) {
        let Some((_, position)) = self.position(&candidate.spec) else {
            return;
        };
        let service = self.service_of_queue.get(&candidate.spec.queue);
        let Some(division) = service.and_then(|service| self.divisions.get_mut(service)) else {
            return;
        };
        for _ in 0..placed {
            division.shares.charge(position, &candidate.step().need);
        }
    }

    /// The accounts that use more of the service than their shares, while it is divided, with the
    /// excess in parts per million of the capacity.
    pub(super) fn excess(
        &self,
        service: &ServiceId,
    ) -> Option<(Resources, BTreeMap<AccountId, u64>)> {
        let division = self.divisions.get(service).filter(|division| division.is_divided())?;
        let mut excess = BTreeMap::new();
        for (position, account) in division.accounts.iter().enumerate() {
            let used_ppm = division.shares.used_ppm(position);
            let excess_ppm = used_ppm.saturating_sub(division.shares.entitled_ppm(position));
            if let Some(account) = account
                && excess_ppm > 0
            {
                excess.insert(AccountId::clone(account), excess_ppm);
            }
        }
        Some((division.capacity, excess))
    }

    fn is_within(&self, context: &Context<'_>, spec: &JobSpec) -> bool {
        let Some(queue) = context.declaration.queue(&spec.queue) else {
            return true;
        };
        let Some(division) = self.divisions.get(&queue.service) else {
            return true;
        };
        if !division.is_divided() {
            return true;
        }
        let mut wanted_ppm = division.accepted_ppm.get(&spec.account).copied().unwrap_or(0);
        let mut entitled_ppm = 0;
        if let Some(position) = division.positions.get(&spec.account) {
            wanted_ppm = wanted_ppm.saturating_add(division.shares.demand_ppm(*position));
            entitled_ppm = division.shares.entitled_ppm(*position);
        }
        let account = spec.account.as_ref().and_then(|name| context.declaration.account(name));
        let weight = account.map_or(1, |account| account.weight);
        entitled_ppm = entitled_ppm.max(division.shares.guaranteed_ppm(weight));
        // Rounded to the nearest whole job, as in the placement of runs.
        let middle_ppm = wanted_ppm.saturating_add(division.demand_ppm(spec) / 2);
        wanted_ppm == 0 || middle_ppm <= entitled_ppm
    }

    /// Reports the division after a pass, and logs which accounts it limits.
    pub(super) fn report(&mut self, context: &Context<'_>, load_report: &mut LoadReport) {
        if !context.options.load.shares {
            return;
        }
        for limited in self.limited.values_mut() {
            limited.is_limited = false;
        }
        let mut reports: BTreeMap<AccountId, ShareReport> = BTreeMap::new();
        for division in self.divisions.values() {
            if !division.is_divided() {
                continue;
            }
            for (position, account) in division.accounts.iter().enumerate() {
                let Some(account) = account else {
                    continue;
                };
                let entitled_ppm = division.shares.entitled_ppm(position);
                let used_ppm = division.shares.used_ppm(position);
                if entitled_ppm < division.shares.demand_ppm(position) {
                    let limited =
                        self.limited.entry(AccountId::clone(account)).or_insert(LimitedAccount {
                            is_limited: true,
                            is_logged_as_limited: false,
                            logged_at: None,
                            entitled_ppm,
                            used_ppm,
                        });
                    limited.is_limited = true;
                    limited.entitled_ppm = entitled_ppm;
                    limited.used_ppm = used_ppm;
                }
                let account = AccountId::clone(account);
                let report =
                    ShareReport { account: AccountId::clone(&account), entitled_ppm, used_ppm };
                // Of several services the one counts that the account uses most.
                let is_largest =
                    reports.get(&account).is_none_or(|other| other.used_ppm < used_ppm);
                if is_largest {
                    reports.insert(account, report);
                }
            }
        }
        load_report.levels.get_or_insert_default().shares = reports.into_values().collect();
        self.log_limited(context.now);
    }

    fn log_limited(&mut self, now: time::Duration) {
        for (account, limited) in &mut self.limited {
            let is_due = limited.logged_at.is_none_or(|at| now >= at.saturating_add(LOG_INTERVAL));
            if limited.is_limited == limited.is_logged_as_limited || !is_due {
                continue;
            }
            limited.is_logged_as_limited = limited.is_limited;
            limited.logged_at = Some(now);
            if limited.is_limited {
                tracing::info!(%account, entitled_ppm = limited.entitled_ppm,
                    used_ppm = limited.used_ppm, "account is limited to its share");
            } else {
                tracing::info!(%account, "account is no longer limited to its share");
            }
        }
        self.limited.retain(|_, limited| {
            let is_recent =
                limited.logged_at.is_some_and(|at| now < at.saturating_add(LOG_INTERVAL));
            limited.is_limited || limited.is_logged_as_limited || is_recent
        });
    }
}

impl Division {
    /// Whether shares limit accounts.
    fn is_divided(&self) -> bool {
        self.is_full && self.shares.is_scarce()
    }

    /// The demand of the largest step of a job, in parts per million of the capacity.
    fn demand_ppm(&self, spec: &JobSpec) -> u64 {
        let mut largest_ppm = 0;
        for step in &spec.steps {
            let tasks = u64::try_from(step.tasks).unwrap_or(u64::MAX);
            let need = step.need.scaled(tasks, 1);
            largest_ppm = largest_ppm.max(need.dominant_share_ppm(&self.capacity));
        }
        largest_ppm
    }
}

impl Decider {
    /// Whether a job that is submitted now lies within its account's share. Always true while the
    /// service is not full.
    pub(super) fn is_within_share(&self, context: &Context<'_>, spec: &JobSpec) -> bool {
        self.shares.is_within(context, spec)
    }

    /// Records that a step which fits its account's limit waits, if it waits for free capacity and
    /// not for advice.
    pub(super) fn note_waiting(
        &mut self,
        context: &Context<'_>,
        room: &mut RoomBounds,
        candidate: &Candidate,
        queue: &Queue,
        has_ticket: bool,
    ) {
        let is_divided =
            self.shares.divisions.get(&queue.service).is_some_and(|division| !division.is_full);
        if candidate.rank.deadline_status == DeadlineStatus::Expired || !is_divided {
            return;
        }
        let waits_for_advice =
            !has_ticket && self.room_bound(context, room, queue, &candidate.step().need) > 0;
        if let Some(division) = self.shares.divisions.get_mut(&queue.service)
            && !waits_for_advice
        {
            division.is_full = true;
        }
    }
}
