//! The division of a full cell among accounts.

mod fixture;
mod sim;

use std::sync;

use pier_cell::decider::RequestOrigin;
use pier_cell::declaration::{Account, Declaration};
use pier_cell::effect::{StartRequest, WorkerOperation};
use pier_cell::event::ListedEnd;
use pier_cell::job::JobSpec;
use pier_cell::options::Options;
use pier_cell::run::EndKind;
use pier_core::ids;
use pier_core::resources::Resources;

use fixture::{Fixture, queue, single_step, worker_call};
use sim::{Sim, step};

const ACCOUNTS: u64 = 20;
const WORKERS: u64 = 40;
/// The capacity of a simulated worker in cores.
const WORKER_CORES: u64 = 16;
/// The mean run time of a task.
const RUN_MS: u64 = 1_600;
/// The tasks of each job, and the cores of each task.
const TASKS: u64 = 2;
const NEED: u64 = 2;
/// A job of [`next_account`] that waits for this long is late and has not expired.
const LATE_MS: u64 = 1_300;

fn options() -> Options {
    let mut options = Options::default();
    options.load.shares = true;
    options
}

fn accounts(weight: impl Fn(u64) -> u32) -> Vec<Account> {
    let mut accounts = Vec::new();
    for index in 0..ACCOUNTS {
        let mut account =
            sim::account(&format!("a{index}"), &format!("key{index}"), Resources::MAX);
        account.weight = weight(index);
        accounts.push(account);
    }
    accounts
}

/// A cell of 20 accounts.
struct Cell {
    sim: Sim,
    jobs: u64,
    /// For each account: the part of a job that is due, in parts per thousand of a job.
    due: Vec<u64>,
}

/// The shares of the accounts over a period, in parts per million of what all used.
struct Measured {
    used: Vec<f64>,
    entitled: Vec<f64>,
}

impl Measured {
    /// The greatest deviation of a share from the entitlement, as a part of the entitlement.
    fn deviation(&self) -> f64 {
        let mut largest: f64 = 0.0;
        for (used, entitled) in self.used.iter().zip(&self.entitled) {
            largest = largest.max((used - entitled).abs() / entitled);
        }
        largest
    }
}

impl Cell {
    fn new(options: Options, weight: impl Fn(u64) -> u32) -> Self {
        let workers = usize::try_from(WORKERS).expect("few workers");
        let mut sim = Sim::with_options(1, 4, workers, options);
        sim.run_ms = RUN_MS;
        sim.failed_runs_percent = 0;
        let queues = vec![sim::queue("urgent", 0, 3), sim::queue("batch", 1, 3)];
        sim.declare(Declaration::new(2, queues, accounts(weight), 100_000));
        sim.run_for(3_000);
        // The accounts submit at different times.
        let due = (0..ACCOUNTS).map(|account| account * 1_000_000 / ACCOUNTS).collect();
        Self { sim, jobs: 0, due }
    }

    /// Submits load for some time: for each account a part of the capacity in percent. Returns what
    /// the accounts have used on the workers meanwhile, and what they were entitled to.
    fn run(&mut self, millis: u64, percent: impl Fn(u64) -> u64) -> Measured {
        let count = self.due.len();
        let mut measured = Measured { used: vec![0.0; count], entitled: vec![0.0; count] };
        for at_ms in 0..millis {
            for (index, due) in (0..).zip(0..count) {
                // Cores of the account in percent, by the cores and the seconds of a job.
                let jobs = percent(index) * WORKERS * WORKER_CORES * 10;
                self.due[due] += jobs * 1_000 / (TASKS * NEED * RUN_MS);
                while self.due[due] >= 1_000_000 {
                    self.due[due] -= 1_000_000;
                    self.submit(index);
                }
            }
            self.sim.run_for(1);
            if at_ms.is_multiple_of(20) {
                self.measure(&mut measured);
            }
        }
        for shares in [&mut measured.used, &mut measured.entitled] {
            let total: f64 = shares.iter().sum();
            for share in shares {
                *share /= total;
            }
        }
        measured
    }

    fn submit(&mut self, account: u64) {
        self.jobs += 1;
        let host = usize::try_from(self.jobs % 3).expect("few hosts");
        let host = if self.sim.hosts[host].process.is_some() { host } else { 3 };
        self.sim.caller_key = Some(format!("key{account}"));
        let queue = if account.is_multiple_of(2) { "urgent" } else { "batch" };
        let tasks = usize::try_from(TASKS).expect("few tasks");
        let mut steps = vec![step(tasks, NEED)];
        steps[0].estimate_ms = RUN_MS;
        self.sim.submit(host, &format!("a{account}-{}", self.jobs), queue, steps);
    }

    fn measure(&mut self, measured: &mut Measured) {
        let Some(decider) = self.sim.decider() else {
            return;
        };
        let host = self.sim.hosts[decider].process.as_mut();
        let report = host.and_then(|host| host.take_load_report());
        let Some(levels) = report.and_then(|report| report.levels) else {
            return;
        };
        for share in levels.shares {
            let index: usize = share.account[1..].parse().expect("an account of this test");
            measured.entitled[index] += ppm(share.entitled_ppm);
        }
        for worker in self.sim.workers.values() {
            for (task, run) in &worker.running {
                let account = task.job[1..].split('-').next().expect("a job of this test");
                let index: usize = account.parse().expect("an account of this test");
                measured.used[index] += ppm(run.need.cpu_milli);
            }
        }
    }
}

fn ppm(amount: u64) -> f64 {
    f64::from(u32::try_from(amount).expect("a small amount"))
}

/// Guards against a flood that takes capacity from others: one account at eight times its usual
/// load beside nineteen small ones. The next decider goes on with the division.
#[test]
fn a_flood_takes_nothing_from_small_accounts() {
    let mut cell = Cell::new(options(), |_| 1);
    let flood = |account| if account == 0 { 36 } else { 4 };
    cell.run(5_000, flood);
    let before = cell.run(8_000, flood).deviation();
    let decider = cell.sim.decider().expect("a decider");
    cell.sim.kill_host(decider);
    cell.run(2_000, flood);
    let after = cell.run(8_000, flood).deviation();
    println!("deviation {before:.3} before and {after:.3} after the change of the decider");
    assert!(before < 0.05 && after < 0.05);
}

/// Guards against a division that ignores the weights: all accounts want more than they get.
#[test]
fn accounts_that_all_want_more_are_served_by_weight() {
    let weight = |account| if account < 10 { 1 } else { 3 };
    let mut cell = Cell::new(options(), weight);
    cell.run(5_000, |_| 12);
    let measured = cell.run(8_000, |_| 12);
    println!("deviation {:.3}", measured.deviation());
    assert!(measured.deviation() < 0.05);
    assert!((measured.entitled[10] / measured.entitled[0] - 3.0).abs() < 0.05);
}

/// A decider with four workers that run the tasks of `heavy`, of which more wait on time, and a late
/// job of `light` in a less urgent queue. Returns the account that starts next.
fn next_account(options: Options) -> &'static str {
    let mut fixture = Fixture::new(queue(None));
    fixture.options = options;
    let mut slow = queue(None);
    slow.name = "slow".into();
    slow.priority = 5;
    let account = |name: &str| Account {
        name: name.into(),
        keys: vec![format!("{name}-key").into()],
        weight: 100,
        cap: Resources::MAX,
    };
    let accounts = vec![account("heavy"), account("light")];
    fixture.declaration = Declaration::new(2, vec![queue(None), slow], accounts, 100_000);
    fixture.list_workers(&["w0", "w1", "w2", "w3"]);
    submit(&mut fixture, "running", "heavy", "queue", 4);
    let running = starts(&mut fixture);
    submit(&mut fixture, "late", "light", "slow", 1);
    fixture.wall_ms += LATE_MS;
    submit(&mut fixture, "waiting", "heavy", "queue", 40);
    assert!(starts(&mut fixture).is_empty(), "all workers are in use");
    let (worker, first) = &running[0];
    let end = ListedEnd {
        sequence: 1,
        task: Some(first.task.clone()),
        number: first.number,
        kind: Some(EndKind::Done),
        checkpoint: None,
    };
    let sent_at = fixture.now;
    fixture.report_poll(worker, sent_at, Vec::new(), vec![end]);
    let next = starts(&mut fixture);
    assert_eq!(next.len(), 1);
    if &*next[0].1.task.job == "late" { "light" } else { "heavy" }
}

/// The starts of the next few passes, with their workers.
fn starts(fixture: &mut Fixture) -> Vec<(ids::WorkerId, StartRequest)> {
    let mut starts = Vec::new();
    for _ in 0..3 {
        let effects = fixture.advance(30);
        for effect in fixture.complete_appends(&effects) {
            if let Some((target, WorkerOperation::Start(start))) = worker_call(&effect) {
                starts.push((ids::WorkerId::clone(&target.worker), start.clone()));
            }
        }
    }
    starts
}

fn submit(fixture: &mut Fixture, id: &str, account: &str, queue: &str, tasks: usize) {
    let spec = JobSpec {
        id: id.into(),
        queue: queue.into(),
        account: Some(account.into()),
        payload: "text".into(),
        steps: single_step(tasks, false),
    };
    fixture.with_decider(|decider, context| {
        decider.on_submit(context, RequestOrigin::Local(1), sync::Arc::new(spec));
    });
}

/// Guards against work within its share that waits behind what is beyond: it is late and its queue
/// is less urgent. With shares switched off, the ranks decide as before.
#[test]
fn nothing_within_its_share_waits_behind_what_is_beyond() {
    assert_eq!(next_account(options()), "light");
    assert_eq!(next_account(Options::default()), "heavy");
}

/// Guards against a division while capacity is free, and against a report of one that is switched
/// off.
#[test]
fn nothing_is_divided_while_capacity_is_free() {
    let single = |workers: &[&str], options| {
        let mut fixture = Fixture::new(queue(None));
        fixture.options = options;
        fixture.list_workers(workers);
        fixture.submit(single_step(2, false));
        fixture.advance(30);
        let report = fixture.decider.as_mut().expect("a decider").take_load_report();
        report.levels.map(|levels| levels.shares.len())
    };
    assert_eq!(single(&["w0", "w1"], options()), Some(0));
    assert_eq!(single(&["w0"], options()), Some(1));
    assert_eq!(single(&["w0"], Options::default()), None);
}
