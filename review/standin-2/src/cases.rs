//! The cases. Each returns none if it could not run.

use std::env;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::cell::{Cell, Host};
use crate::client::{self, Client, HOST_NAME, KEY, TIME_BUDGET};
use crate::json::{Value, object};
use crate::random::Random;
use crate::record::Record;
use crate::store::Store;
use crate::workers::{CAPACITY_CPU, SERVICE, StepPlan, Workers};

const ZONES: [&str; 3] = ["north", "south", "east"];
const LAYOUTS: &str = "/layouts/";
const QUOTES: &str = "/quotes/";
/// `config_apply_ms`, with a second more.
const CONFIG_WAIT: Duration = Duration::from_millis(3_000);
/// `cancel_ms`.
const CANCEL_BOUND: Duration = Duration::from_millis(3_000);
/// `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// How long a job may have nothing running after that, while there is capacity for it.
const IDLE_BOUND: Duration = Duration::from_secs(3);
const RARE_KIND: &str = "a";
const USUAL_KIND: &str = "b";
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

pub fn run(name: &str, has_trouble: bool, folder: &Path, record: &Record) -> Option<Verdict> {
    let deployment = Deployment::start(folder, record)?;
    match name {
        "stale-pages" => deployment.stale_pages(has_trouble),
        "lowered-cap" => deployment.lowered_cap(has_trouble),
        "late-submission" => deployment.late_submission(has_trouble),
        "restarted-kind" => deployment.restarted_kind(has_trouble),
        _ => None,
    }
}

/// A deployment of three hosts.
struct Deployment<'a> {
    random: Random,
    store: Store,
    workers: Workers,
    cell: Cell,
    record: &'a Record,
}

/// A queue of the config.
struct Route {
    prefix: &'static str,
    priority: u64,
    max_attempts: u64,
    slack_factor: u64,
    target_latency_ms: u64,
}

const ROUTES: [Route; 2] = [
    Route {
        prefix: LAYOUTS,
        priority: 1,
        max_attempts: 2,
        slack_factor: 2,
        target_latency_ms: 1_000,
    },
    Route {
        prefix: QUOTES,
        priority: 2,
        max_attempts: 4,
        slack_factor: 4,
        target_latency_ms: 3_000,
    },
];

/// A config with these queues, and with a limit for the tenant's cores in thousandths.
fn config(version: u64, prefixes: &[&str], cap_cpu: u64) -> String {
    let mut routes = Vec::new();
    for route in ROUTES.iter().filter(|route| prefixes.contains(&route.prefix)) {
        routes.push(object([
            ("name", route.prefix.trim_matches('/').into()),
            ("host", HOST_NAME.into()),
            ("path_prefix", route.prefix.into()),
            ("kind", "unsafe".into()),
            ("timeout_ms", 3_000.into()),
            ("service", SERVICE.into()),
            ("priority", route.priority.into()),
            ("max_attempts", route.max_attempts.into()),
            ("slack_factor", route.slack_factor.into()),
            ("target_latency_ms", route.target_latency_ms.into()),
            ("public", false.into()),
        ]));
    }
    let cap = object([("cpu", cap_cpu.into()), ("mem_mb", 0.into()), ("gpu", 0.into())]);
    let tenant = object([
        ("name", "tenant-1".into()),
        ("api_keys", vec![Value::from(KEY)].into()),
        ("weight", 20.into()),
        ("cap", cap),
    ]);
    object([
        ("version", version.into()),
        ("routes", routes.into()),
        ("services", vec![object([("name", SERVICE.into())])].into()),
        ("tenants", vec![tenant].into()),
    ])
    .to_string()
}

impl<'a> Deployment<'a> {
    fn start(folder: &Path, record: &'a Record) -> Option<Self> {
        let seed = env::var("SEED").ok().and_then(|seed| seed.parse().ok());
        let random = Random::new(seed);
        record.write(&format!("seed of the random numbers: {}", random.seed));
        let store = Store::new(&random);
        let workers = Workers::start(&store, record);
        store.write("keyed.op", "config", &config(1, &[LAYOUTS, QUOTES], 0));
        let cell = Cell::start(&ZONES, &store, folder, record)?;
        Some(Self { random, store, workers, cell, record })
    }

    fn client(&self, prefix: &'a str) -> Client<'a> {
        Client { record: self.record, prefix }
    }

    fn set_config(&self, version: u64, prefixes: &[&str], cap_cpu: u64) {
        let config = config(version, prefixes, cap_cpu);
        self.record.write(&format!("operator: op/config {config}"));
        self.store.write("keyed.op", "config", &config);
    }

    /// Adds four workers and waits until the hosts know them. The first one is of another kind than
    /// the others.
    fn add_workers(&self, zones: [&str; 4]) {
        for (index, zone) in zones.iter().enumerate() {
            let kind = if index == 0 { RARE_KIND } else { USUAL_KIND };
            self.workers.add(&format!("i-{}", index + 1), zone, kind);
        }
        thread::sleep(Duration::from_secs(1));
    }

    /// Waits until the condition holds, for as long as `limit`.
    fn wait_until(&self, limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
        let until = Instant::now() + limit;
        while !condition() {
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(CHECK_INTERVAL);
        }
        true
    }

    /// The clause of LOST on jobs that have nothing running: from `finish_s` after the end of the
    /// traffic on, until `until`. The tenant may use `cap_cpu`, and the job's next task needs
    /// `need_cpu`. Returns how long the job had nothing running while it should have had.
    fn longest_idle(&self, job: &str, tasks: usize, cap_cpu: u64, until: Instant) -> Duration {
        let service_cpu = 4 * CAPACITY_CPU;
        let mut longest = Duration::ZERO;
        let mut since = None;
        while Instant::now() < until && self.workers.done_count(job) < tasks {
            let used_cpu = self.workers.used_cpu();
            // With under half of the service's capacity in use, half of a worker and more is free on
            // two workers at least, which is twice what the jobs' tasks need.
            let is_owed = used_cpu * 2 < cap_cpu && used_cpu * 4 < service_cpu;
            if is_owed && !self.workers.is_running(job) {
                let idle = since.get_or_insert_with(Instant::now).elapsed();
                longest = longest.max(idle);
            } else {
                since = None;
            }
            thread::sleep(CHECK_INTERVAL);
        }
        longest
    }

    /// Rule LOST: a lowered cap leaves a gang that no longer fits in it, and a job behind the gang
    /// never runs although it fits.
    fn lowered_cap(&self, has_trouble: bool) -> Option<Verdict> {
        const CAP_CPU: u64 = 20_000;
        const LOWERED_CAP_CPU: u64 = 9_000;
        self.set_config(2, &[LAYOUTS, QUOTES], CAP_CPU);
        self.add_workers(["north", "south", "east", "north"]);
        let seconds = Duration::from_secs;
        let host = &self.cell.hosts[0];
        let layouts = self.client(LAYOUTS);
        let quotes = self.client(QUOTES);

        let first = StepPlan::new(1, 6_000, seconds(8));
        self.submit(&layouts, host, FIRST, &[(first, seconds(8), &[])])?;
        if !self.wait_until(seconds(5), || self.workers.is_running(FIRST)) {
            return None;
        }
        // Waits for the end of the first job: together they would exceed the cap.
        let gang = StepPlan { gang: true, ..StepPlan::new(4, 4_500, seconds(6)) };
        self.submit(&layouts, host, GANG, &[(gang, seconds(16), &[])])?;
        thread::sleep(seconds(1));
        let mut cap_cpu = CAP_CPU;
        if has_trouble {
            cap_cpu = LOWERED_CAP_CPU;
            self.set_config(3, &[LAYOUTS, QUOTES], cap_cpu);
        }
        thread::sleep(CONFIG_WAIT);
        let behind = StepPlan::new(1, 5_000, Duration::from_millis(2_700));
        self.submit(&quotes, host, BEHIND, &[(behind, behind.duration, &[])])?;
        self.record.write("end of the traffic");

        thread::sleep(FINISH);
        let until = Instant::now() + seconds(60);
        let longest = self.longest_idle(BEHIND, 1, cap_cpu, until);
        for (client, job) in [(&layouts, FIRST), (&layouts, GANG), (&quotes, BEHIND)] {
            client.state(host, job);
        }
        self.verdict(longest > IDLE_BOUND, || {
            let starts = self.workers.starts_of(BEHIND).len();
            format!(
                "LOST: {BEHIND} was accepted and had nothing running for {:.1} s, {starts} starts; \
                 its tenant used nothing of its cap and all workers were free",
                longest.as_secs_f64()
            )
        })
    }

    /// Rule UNASKED: a job starts after its cancelling was acknowledged, because a host that was
    /// frozen hands in the submission later.
    fn late_submission(&self, has_trouble: bool) -> Option<Verdict> {
        const FREEZE: Duration = Duration::from_millis(1_800);
        const PATIENCE: Duration = Duration::from_millis(500);
        let decider = self.cell.decider()?;
        let others: Vec<&Host> = (0..ZONES.len())
            .filter(|index| *index != decider)
            .map(|index| &self.cell.hosts[index])
            .collect();
        let (frozen, other) = (others[0], others[1]);
        self.record.write(&format!("{} decides", self.cell.hosts[decider].name));
        // The workers are in the zone of a host that runs all the while and calls them.
        self.add_workers([&other.zone; 4]);
        let plan = StepPlan::new(2, 1_000, Duration::from_secs(3));
        let steps = [(plan, plan.duration, &[][..]), (plan, plan.duration, &[0][..])];
        let stocks = self.client(LAYOUTS);
        // Shows that the deployment serves.
        self.submit(&stocks, frozen, FIRST, &steps[..1])?;
        if !self.wait_until(Duration::from_secs(8), || self.workers.done_count(FIRST) == 2) {
            return None;
        }

        if has_trouble {
            self.record.write(&format!("{} is frozen", frozen.name));
            frozen.signal("STOP");
        }
        let frozen_at = Instant::now();
        let status = self.send(&stocks, frozen, CANCELLED, &steps, PATIENCE);
        if has_trouble != status.is_none() {
            return None;
        }
        let cancelled = stocks.cancel(other, CANCELLED);
        let acknowledged_at = self.record.now();
        if !matches!(cancelled, Some(200 | 410)) {
            return None;
        }
        if has_trouble {
            thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
            frozen.signal("CONT");
            self.record.write(&format!("{} runs again", frozen.name));
        }
        thread::sleep(Duration::from_secs(12));
        stocks.state(other, CANCELLED);
        let bound = acknowledged_at + CANCEL_BOUND;
        let mut late = self.workers.starts_of(CANCELLED);
        late.retain(|start| start.at > bound);
        self.verdict(!late.is_empty(), || {
            let last = late.last().map_or(0.0, |start| (start.at - acknowledged_at).as_secs_f64());
            format!(
                "UNASKED: {} tasks of {CANCELLED} started later than cancel_ms after the job's \
                 cancelling was acknowledged, the last {last:.1} s after it",
                late.len()
            )
        })
    }

    /// Rule ROUTE: a worker that is cut off from the store crashes and starts again as one of another
    /// kind, and gets a task that needs the earlier kind.
    fn restarted_kind(&self, has_trouble: bool) -> Option<Verdict> {
        const WORKER: &str = "i-1";
        self.add_workers(["north", "south", "east", "north"]);
        let host = &self.cell.hosts[0];
        let layouts = self.client(LAYOUTS);
        let plan = StepPlan {
            required_kind: Some(RARE_KIND),
            ..StepPlan::new(1, 4_500, Duration::from_secs(6))
        };
        self.submit(&layouts, host, FIRST, &[(plan, plan.duration, &[])])?;
        if !self.wait_until(Duration::from_secs(5), || self.workers.is_running(FIRST)) {
            return None;
        }
        thread::sleep(Duration::from_secs(1));
        if has_trouble {
            self.workers.set_cut(WORKER, true);
            thread::sleep(Duration::from_millis(500));
            self.workers.crash(WORKER);
            thread::sleep(Duration::from_millis(1_000));
            self.workers.restart(WORKER, USUAL_KIND);
            thread::sleep(Duration::from_millis(3_500));
            self.workers.set_cut(WORKER, false);
        }
        thread::sleep(Duration::from_secs(8));
        layouts.state(host, FIRST);
        let mut wrong = self.workers.starts_of(FIRST);
        wrong.retain(|start| start.kind != RARE_KIND);
        self.verdict(!wrong.is_empty(), || {
            format!(
                "ROUTE: {} starts of {FIRST}, which requires the label {RARE_KIND:?}, on a worker \
                 with the label {USUAL_KIND:?}",
                wrong.len()
            )
        })
    }

    /// Rule TWICE: a host that steps down while it reads the log mixes the responses of two reads,
    /// and when it decides again it starts tasks that are done.
    fn stale_pages(&self, has_trouble: bool) -> Option<Verdict> {
        const SHORT_JOBS: usize = 2_998;
        const LONG_JOBS: usize = 900;
        const CLIENTS: usize = 12;
        // The store is slow for at most 4.5 s at a time.
        const SLOW_LIMIT: Duration = Duration::from_millis(4_400);
        const PAUSE: Duration = Duration::from_millis(500);
        const LAST_ROUND_AT: Duration = Duration::from_secs(100);
        const APPEND_LIMIT: Duration = Duration::from_millis(600);
        const EPISODE_LIMIT: Duration = Duration::from_millis(2_000);
        // In this time a host reads all pages of the newest records from the slow store.
        const READING_TIME: Duration = Duration::from_millis(2_000);
        self.add_workers(["north", "south", "east", "north"]);
        self.record.be_brief();
        // The first step is done soon. The second one works on to the end of the case.
        let short = StepPlan::new(1, 20, Duration::from_millis(300));
        let long = StepPlan::new(1, 40, Duration::from_secs(600));
        let one_step = vec![(short, short.duration, &[][..])];
        let two_steps = vec![(short, short.duration, &[][..]), (long, long.duration, &[0][..])];
        // The clients choose ids that increase with time.
        let accepted = AtomicUsize::new(0);
        for (first, count, steps) in
            [(0, SHORT_JOBS, &one_step), (SHORT_JOBS, LONG_JOBS, &two_steps)]
        {
            let next = AtomicUsize::new(first);
            thread::scope(|scope| {
                for _ in 0..CLIENTS {
                    scope.spawn(|| {
                        loop {
                            let index = next.fetch_add(1, Ordering::Relaxed);
                            if index >= first + count {
                                return;
                            }
                            let job = format!("{index:016x}");
                            let host = &self.cell.hosts[index % ZONES.len()];
                            if self.submit(&self.client(LAYOUTS), host, &job, steps).is_some() {
                                accepted.fetch_add(1, Ordering::Relaxed);
                            }
                        }
                    });
                }
            });
        }
        let accepted = accepted.into_inner();
        self.record.write(&format!("clients: {accepted} jobs were sent and accepted"));
        if !self.wait_until(Duration::from_secs(30), || self.workers.all_done_count() == accepted) {
            return None;
        }
        self.record.write("workers: the first step of each job has ended done");
        thread::sleep(Duration::from_secs(2));
        while self.record.now() < LAST_ROUND_AT && self.workers.starts_after_done().is_empty() {
            self.store.set_slow(has_trouble);
            let slow_until = Instant::now() + SLOW_LIMIT;
            let slow_left = || slow_until.saturating_duration_since(Instant::now());
            while slow_left() >= EPISODE_LIMIT {
                thread::sleep(Duration::from_millis(self.random.in_range(150..300)));
                let decider = self.cell.decider().filter(|_| has_trouble);
                if let Some(host) = decider.map(|index| &self.cell.hosts[index]) {
                    self.record.write(&format!(
                        "the store is slow, {} decides, and its connections to the store are reset",
                        host.name
                    ));
                    host.wait_for_unanswered_append(APPEND_LIMIT);
                    host.reset_store_connections();
                    thread::sleep(Duration::from_millis(self.random.in_range(200..260)));
                    host.reset_store_connections();
                }
                thread::sleep(slow_left().min(READING_TIME));
            }
            self.store.set_slow(false);
            thread::sleep(PAUSE);
        }
        // Ends that are not taken note of yet count if they are later.
        thread::sleep(Duration::from_secs(3));
        let again = self.workers.starts_after_done();
        for (end, start) in again.iter().take(10) {
            self.record.write(&format!(
                "{}: run {} ended done on {} at {:.3} s, which was taken note of; run {} started \
                 on {} at {:.3} s",
                end.task,
                end.run,
                end.worker,
                end.at.as_secs_f64(),
                start.run,
                start.worker,
                start.at.as_secs_f64()
            ));
        }
        if again.is_empty() {
            return self.verdict(false, String::new);
        }
        let again = again.len();
        Some(Verdict::Broken(format!("TWICE: {again} tasks started after a run had ended done")))
    }

    /// Submits a job that has to be accepted.
    fn submit(
        &self,
        client: &Client<'_>,
        host: &Host,
        job: &str,
        steps: &[(StepPlan, Duration, &[u64])],
    ) -> Option<()> {
        (self.send(client, host, job, steps, TIME_BUDGET)? == 200).then_some(())
    }

    /// Submits a job whose steps have these plans, estimates and earlier steps.
    fn send(
        &self,
        client: &Client<'_>,
        host: &Host,
        job: &str,
        steps: &[(StepPlan, Duration, &[u64])],
        patience: Duration,
    ) -> Option<u16> {
        let plans: Vec<StepPlan> = steps.iter().map(|(plan, ..)| *plan).collect();
        self.workers.plan(job, &plans);
        let mut sent = Vec::new();
        for (plan, estimate, after) in steps {
            sent.push(client::step(plan, *estimate, after));
        }
        client.submit(host, job, &sent, patience)
    }

    /// The verdict, unless the workers have seen something that is wrong in another way.
    fn verdict(&self, is_broken: bool, how: impl FnOnce() -> String) -> Option<Verdict> {
        let violations = self.workers.violations();
        if !violations.is_empty() {
            self.record.write(&format!("unexpected: {violations:?}"));
            return None;
        }
        Some(if is_broken { Verdict::Broken(how()) } else { Verdict::Held })
    }
}

const FIRST: &str = "00000000000000a1";
const GANG: &str = "00000000000000b2";
const BEHIND: &str = "00000000000000c3";
const CANCELLED: &str = "00000000000000d4";
