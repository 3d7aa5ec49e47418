//! Leases of tasks on this host's workers: renewals, worker reports, and detection of ended
//! attempts.

use std::collections;
use std::ops;
use std::time;

use pier_core::{body, clock, ids, map, task, wire};

use crate::work::placement::AttemptId;
use crate::work::{ledger, owner, step};
use crate::{Effect, event, message, options};

/// After this time an unanswered renewal counts as lost. A renewal is never sent later than this
/// after it was issued.
const RENEWAL_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// After an attempt is known to be over, its answer or the report of how it ended may still arrive
/// for this long.
const ANSWER_DELAY: time::Duration = time::Duration::from_secs(5);
/// The interval between checks of all leases.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// The minimum time between two renewals of a lease.
const MIN_RENEW_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// The interval between requests for a usage report, which go to the workers in turn. A report has
/// several kilobytes, and declared sizes stay the same for months.
const USAGE_REPORT_INTERVAL: time::Duration = time::Duration::from_secs(15);
/// The interval at which each job owner is sent the list of its attempts after a change of
/// ownership.
const HELD_LIST_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// How long the lists are repeated, because a message may be lost.
const HELD_LIST_DURATION: time::Duration = time::Duration::from_secs(10);

/// Renews the leases of tasks on this host's workers.
#[derive(Debug)]
pub(super) struct Leases {
    options: options::Options,
    checked_at: time::Duration,
    listed_at: time::Duration,
    /// Until this time the owner of each job is regularly sent the list of its attempts.
    list_until: time::Duration,
    listed_when_settled: bool,
    /// When a worker was last asked for a usage report, and which worker it was.
    report_requested_at: time::Duration,
    report_requested_from: ids::WorkerId,
}

impl Leases {
    pub(super) fn new(options: options::Options) -> Self {
        Self {
            options,
            checked_at: time::Duration::ZERO,
            listed_at: time::Duration::ZERO,
            list_until: time::Duration::ZERO,
            listed_when_settled: false,
            report_requested_at: time::Duration::ZERO,
            report_requested_from: ids::WorkerId::default(),
        }
    }

    /// Records which attempts a job owner still wants. Answers with the list of its attempts held
    /// here if the owner asks for it or if the two sets differ.
    pub(super) fn on_keep(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        owner: &owner::Owner,
        from: &ids::HostId,
        tasks: Vec<AttemptId>,
        list: bool,
    ) {
        let kept: map::Set<AttemptId> = tasks.into_iter().collect();
        for id in &kept {
            let Some(entry) = ledger.entry_mut(id) else {
                continue;
            };
            if entry.labels.job.is_some() && entry.origin == *from {
                entry.kept_at = step.now;
            }
        }
        let held = attempts_of_origin(ledger, owner, from);
        let is_same = held.len() == kept.len()
            && held.iter().all(|(task, attempt, _)| kept.contains(&(task.clone(), *attempt)));
        if list || !is_same {
            send_held(step, from, held);
        }
    }

    /// Assigns job tasks to the owners of their jobs in the new epoch.
    pub(super) fn on_epoch(&mut self, step: &mut step::Step<'_>, ledger: &mut ledger::Ledger) {
        self.list_until = step.now + HELD_LIST_DURATION;
        self.listed_at = time::Duration::ZERO;
        self.listed_when_settled = step.cluster.settled;
        ledger.reassign_origins(|job| step.cluster.home_of(job).cloned());
    }

    /// Sends the attempt lists again after a worker was taken over or the takeovers were finished.
    pub(super) fn restart_listing(&mut self, now: time::Duration) {
        self.list_until = now + HELD_LIST_DURATION;
        self.listed_at = time::Duration::ZERO;
    }

    /// Sends attempt lists, renews leases that are due and finishes attempts whose lease has
    /// lapsed.
    pub(super) fn tick(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        owner: &mut owner::Owner,
    ) {
        if step.cluster.settled && !self.listed_when_settled {
            self.listed_when_settled = true;
            self.restart_listing(step.now);
        }
        let is_recently_listed =
            self.listed_at + HELD_LIST_INTERVAL > step.now && !self.listed_at.is_zero();
        if step.now < self.list_until && !is_recently_listed {
            self.listed_at = step.now;
            for member in &step.cluster.member_hosts {
                send_held(step, member, attempts_of_origin(ledger, owner, member));
            }
        }
        if step.now < self.checked_at + CHECK_INTERVAL {
            return;
        }
        self.checked_at = step.now;
        let workers: Vec<ids::WorkerId> = ledger.workers().keys().cloned().collect();
        for worker in workers {
            self.check_worker(step, ledger, owner, &worker);
        }
        self.request_usage_report(step, ledger);
    }

    /// Requests a report from the next worker that runs tasks. The report shows their resource
    /// usage.
    fn request_usage_report(&mut self, step: &mut step::Step<'_>, ledger: &ledger::Ledger) {
        if step.now < self.report_requested_at + USAGE_REPORT_INTERVAL {
            return;
        }
        let after = (ops::Bound::Excluded(&self.report_requested_from), ops::Bound::Unbounded);
        let workers = ledger.workers();
        let next = workers
            .range::<ids::WorkerId, _>(after)
            .chain(workers)
            .find(|(_, own)| !own.entries.is_empty() && !own.unreachable);
        let Some((worker, _)) = next else {
            return;
        };
        self.report_requested_at = step.now;
        self.report_requested_from = worker.clone();
        if let Some(info) = step.cluster.workers.get(worker) {
            let (worker, address) = (worker.clone(), info.entry.address.clone());
            step.out.push(Effect::WorkerReport { worker, address });
        }
    }

    /// Finishes attempts of a worker that have certainly ended and renews the leases that are due.
    fn check_worker(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        owner: &mut owner::Owner,
        worker: &ids::WorkerId,
    ) {
        let lease = owner::job_lease(&self.options);
        let Some(own) = ledger.worker_mut(worker) else {
            return;
        };
        if own.renewal_sent.is_some_and(|sent| sent + RENEWAL_TIMEOUT <= step.now) {
            own.renewal_sent = None;
            own.unreachable = true;
        }
        let may_renew =
            !own.unreachable && own.renewal_sent.is_none() && step.cluster.may_start(step.now);
        let mut ended = Vec::new();
        let mut due = Vec::new();
        let mut due_soon = Vec::new();
        for (id, entry) in &own.entries {
            if entry.phase == ledger::Phase::Reserved {
                continue;
            }
            let is_over = entry.end_seen_at.is_some_and(|at| at + ANSWER_DELAY <= step.now);
            if entry.latest_end <= step.now || is_over {
                ended.push(id.clone());
                continue;
            }
            if entry.labels.job.is_none() || !may_renew {
                continue;
            }
            // A lease never extends past one lease duration after the job owner's last
            // confirmation.
            let left = (entry.kept_at + lease).saturating_sub(step.now);
            if left <= lease / 4 {
                continue;
            }
            let interval = renew_interval(entry, lease);
            let renewal = wire::LeaseRenewal {
                task: id.0.clone(),
                attempt: id.1,
                lease_ms: clock::millis(left),
            };
            if step.now >= entry.renewed_at + interval {
                due.push(renewal);
            } else if step.now >= entry.renewed_at + interval / 2 {
                due_soon.push(renewal);
            }
        }
        // A request costs more than one more lease in it, so leases that are due soon are renewed
        // as well.
        if !due.is_empty() {
            due.extend(due_soon);
        }
        for id in ended {
            owner.finish(step, ledger, id, None);
        }
        self.renew(step, ledger, worker, due);
    }

    fn renew(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        worker: &ids::WorkerId,
        due: Vec<wire::LeaseRenewal>,
    ) {
        let info = step.cluster.workers.get(worker);
        let Some((info, token)) = info.and_then(|info| Some((info, info.token?))) else {
            return;
        };
        if due.is_empty() {
            return;
        }
        for renewal in &due {
            let lease = time::Duration::from_millis(renewal.lease_ms);
            let latest_end = step.now + RENEWAL_TIMEOUT + lease + self.options.lease_margin;
            let id = (renewal.task.clone(), renewal.attempt);
            if let Some(entry) = ledger.entry_mut(&id) {
                entry.latest_end = entry.latest_end.max(latest_end);
                entry.renewed_at = step.now;
            }
        }
        if let Some(own) = ledger.worker_mut(worker) {
            own.renewal_sent = Some(step.now);
        }
        step.out.push(Effect::WorkerRenew {
            worker: worker.clone(),
            address: info.entry.address.clone(),
            renew: wire::RenewLeases { token, tasks: due },
        });
    }

    /// Handles renewals, reports and unreachable workers.
    pub(super) fn on_worker(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        owner: &mut owner::Owner,
        event: &event::WorkerEvent,
    ) {
        match event {
            event::WorkerEvent::Renewed { worker, sent_at, answer } => {
                self.on_renewed(step, ledger, owner, worker, *sent_at, answer);
            }
            event::WorkerEvent::Report { worker, asked_at, report } => {
                self.on_report(step, ledger, owner, worker, *asked_at, report);
            }
            event::WorkerEvent::Unreachable { worker } => {
                if let Some(own) = ledger.worker_mut(worker) {
                    own.unreachable = true;
                    own.renewal_sent = None;
                }
            }
            _ => {}
        }
    }

    fn on_renewed(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        owner: &mut owner::Owner,
        worker: &ids::WorkerId,
        sent_at: time::Duration,
        answer: &wire::LeasesRenewed,
    ) {
        let Some(own) = ledger.worker_mut(worker) else {
            return;
        };
        own.mark_reachable();
        if own.renewal_sent.is_some_and(|handed_out| handed_out <= sent_at) {
            own.renewal_sent = None;
        }
        for id in &answer.renewed {
            if let Some(entry) = own.entries.get_mut(id) {
                entry.record_seen(sent_at);
            }
        }
        let mut ended = Vec::new();
        for listed in &answer.ended {
            let id = (listed.task.clone(), listed.attempt);
            let Some(entry) = own.entries.get(&id) else {
                continue;
            };
            let end = end_of(entry, listed.outcome);
            ended.push((id, end));
        }
        let mut is_end_new = false;
        for id in &answer.missing {
            let Some(entry) = own.entries.get_mut(id) else {
                continue;
            };
            if entry.seen_at.is_some_and(|seen_at| seen_at <= sent_at) {
                is_end_new |= entry.end_seen_at.is_none();
                entry.end_seen_at.get_or_insert(step.now);
            }
        }
        // The report shows how the attempts ended.
        if is_end_new && let Some(info) = step.cluster.workers.get(worker) {
            let (worker, address) = (worker.clone(), info.entry.address.clone());
            step.out.push(Effect::WorkerReport { worker, address });
        }
        for (id, end) in ended {
            owner.finish(step, ledger, id, end);
        }
        owner.request_decision();
    }

    fn on_report(
        &mut self,
        step: &mut step::Step<'_>,
        ledger: &mut ledger::Ledger,
        owner: &mut owner::Owner,
        worker: &ids::WorkerId,
        asked_at: time::Duration,
        report: &wire::WorkerReport,
    ) {
        ledger.set_reported(worker, report.resources);
        let Some(own) = ledger.worker_mut(worker) else {
            return;
        };
        own.mark_reachable();
        // The report describes the worker at this time or later.
        let as_of = asked_at.saturating_sub(time::Duration::from_millis(report.as_of_age_ms));
        let mut running: map::Set<AttemptId> = map::Set::default();
        for listed in &report.tasks.running {
            running.insert((listed.task.clone(), listed.attempt));
            let (declared, used) = (&listed.resources, &listed.resources_used);
            let notice = owner.queue_stats.record_use(step.now, &listed.labels, declared, used);
            if let Some(notice) = notice {
                step.log_notice(notice);
            }
        }
        let mut listed_ends = collections::BTreeMap::new();
        for listed in &report.tasks.ended {
            listed_ends.insert((listed.task.clone(), listed.attempt), listed.outcome);
        }
        let mut ended = Vec::new();
        let mut seen = Vec::new();
        for (id, entry) in &mut own.entries {
            if entry.phase == ledger::Phase::Reserved {
                continue;
            }
            if running.contains(id) {
                entry.record_seen(as_of);
                if entry.phase != ledger::Phase::Running && entry.labels.job.is_some() {
                    entry.phase = ledger::Phase::Running;
                    seen.push((id.clone(), entry.origin.clone()));
                }
                continue;
            }
            let outcome = listed_ends.get(id);
            let after_start = entry.seen_at.is_some_and(|seen_at| seen_at < as_of);
            if outcome.is_none() && !after_start {
                continue;
            }
            // The answer of a request arrives on its own call if that is still open.
            let awaits_answer = entry.own_call && entry.phase == ledger::Phase::Starting;
            let end_seen_at = *entry.end_seen_at.get_or_insert(step.now);
            if !awaits_answer || end_seen_at + ANSWER_DELAY <= step.now {
                ended.push((id.clone(), outcome.and_then(|kind| end_of(entry, *kind))));
            }
        }
        for ((task, attempt), origin) in seen {
            let worker = worker.clone();
            step.send_place(&origin, message::PlaceMessage::Started { task, attempt, worker });
        }
        for (id, end) in ended {
            owner.finish(step, ledger, id, end);
        }
        owner.request_decision();
    }
}

/// The time between two renewals of a lease. A renewal also reveals that a task has ended, so young
/// tasks are renewed often: an end is noticed after at most a quarter of the time the task has run,
/// and a long-running task causes few renewals.
fn renew_interval(entry: &ledger::Entry, lease: time::Duration) -> time::Duration {
    let ran = entry.renewed_at.saturating_sub(entry.started);
    (ran / 4).clamp(MIN_RENEW_INTERVAL.min(lease / 4), lease / 4)
}

/// The end of an attempt that a worker lists; none for a request, because the list does not contain
/// its answer.
pub(super) fn end_of(entry: &ledger::Entry, kind: task::EndKind) -> Option<task::TaskEnd> {
    entry.labels.job.as_ref()?;
    Some(task::TaskEnd { kind, body: body::Body::default() })
}

/// The attempts held here for the jobs of a host, with their workers.
fn attempts_of_origin(
    ledger: &ledger::Ledger,
    owner: &owner::Owner,
    to: &ids::HostId,
) -> Vec<(ids::TaskId, ids::Attempt, ids::WorkerId)> {
    let mut tasks = owner.unacknowledged(to);
    for (worker, own) in ledger.workers() {
        for (id, entry) in &own.entries {
            let is_started = entry.phase != ledger::Phase::Reserved;
            if is_started && entry.labels.job.is_some() && entry.origin == *to {
                tasks.push((id.0.clone(), id.1, worker.clone()));
            }
        }
    }
    tasks
}

/// Sends a job owner the list of its attempts.
fn send_held(
    step: &mut step::Step<'_>,
    to: &ids::HostId,
    tasks: Vec<(ids::TaskId, ids::Attempt, ids::WorkerId)>,
) {
    let (epoch, settled) = (step.cluster.epoch, step.cluster.settled);
    step.send_place(to, message::PlaceMessage::Held { epoch, settled, tasks });
}
