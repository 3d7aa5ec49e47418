//! Preemption: for steps that would miss their objective, and on workers that leave.

mod fixture;

use std::collections::{BTreeMap, BTreeSet};
use std::sync;
use std::time;

use pier_cell::decider::RequestOrigin;
use pier_cell::declaration::{Account, Declaration};
use pier_cell::effect::WorkerOperation;
use pier_cell::event::{ListedEnd, ListedRun, StartResponse, WorkerRecord};
use pier_cell::follower::FollowerUpdate;
use pier_cell::job::{JobSpec, Step, TaskRef};
use pier_cell::load_report::PreemptionCause;
use pier_cell::options::Options;
use pier_cell::run::EndKind;
use pier_core::resources::Resources;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use fixture::{Fixture, cores, queue, worker_call};

/// The workers of the cell, of four cores each.
const WORKERS: usize = 40;
/// A run of this length does not end during a test.
const LONG_MS: u64 = 1_000_000;
const STEP_MS: u64 = 25;

struct RunningTask {
    worker: String,
    number: u32,
    ends_at: time::Duration,
    is_checkpointing: bool,
}

/// A decider with workers that carry out its calls at once.
struct Cell {
    fixture: Fixture,
    workers: BTreeSet<String>,
    running: BTreeMap<TaskRef, RunningTask>,
    ended: BTreeMap<String, Vec<ListedEnd>>,
    specs: BTreeMap<String, (Step, u64)>,
    /// Starts: the job, the worker, and whether a checkpoint was given.
    starts: Vec<(String, String, bool)>,
    /// Stopped runs.
    stops: Vec<TaskRef>,
    /// Runs that were on a worker when it left.
    lost: Vec<TaskRef>,
}

impl Cell {
    fn new(shares: bool) -> Self {
        let mut options = Options::default();
        options.load.shares = shares;
        options.load.reclaim = true;
        let mut fixture = Fixture::new(queue(None));
        fixture.options = options;
        let account = |name: &str| Account {
            name: name.into(),
            keys: vec![format!("{name}-key").into()],
            weight: 100,
            cap: Resources::MAX,
        };
        let mut batch = queue(None);
        batch.name = "batch".into();
        batch.priority = 2;
        let accounts = vec![account("heavy"), account("light")];
        fixture.declaration = Declaration::new(2, vec![queue(None), batch], accounts, 100_000);
        let mut cell = Self {
            fixture,
            workers: (0..WORKERS).map(|index| format!("w{index}")).collect(),
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            specs: BTreeMap::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            lost: Vec::new(),
        };
        cell.list(&BTreeSet::new(), time::Duration::ZERO);
        cell.run(500);
        cell
    }

    /// Writes the worker list, with these workers draining.
    fn list(&mut self, leaving: &BTreeSet<String>, remaining: time::Duration) {
        let mut records = Vec::new();
        for id in &self.workers {
            let WorkerRecord { id, entry } = fixture::record(id);
            let mut entry = entry.expect("an entry");
            entry.is_draining = leaving.contains(&*id);
            entry.remaining = entry.is_draining.then_some(remaining);
            records.push((0, WorkerRecord { id, entry: Some(entry) }));
        }
        let update = FollowerUpdate { is_reset: true, records, is_caught_up: true };
        self.fixture.with_decider(|decider, _| decider.on_worker_records(update));
    }

    /// Lets workers leave, with what runs there.
    fn leave(&mut self, leaving: &BTreeSet<String>) {
        self.workers.retain(|id| !leaving.contains(id));
        for (task, run) in &self.running {
            if leaving.contains(&run.worker) {
                self.lost.push(task.clone());
            }
        }
        self.running.retain(|_, run| !leaving.contains(&run.worker));
        self.list(&BTreeSet::new(), time::Duration::ZERO);
    }

    fn submit(&mut self, id: &str, account: &str, queue: &str, step: Step, run_ms: u64) {
        self.specs.insert(id.to_owned(), (step.clone(), run_ms));
        let spec = JobSpec {
            id: id.into(),
            queue: queue.into(),
            account: Some(account.into()),
            payload: "text".into(),
            steps: vec![step],
        };
        self.fixture.with_decider(|decider, context| {
            decider.on_submit(context, RequestOrigin::Local(1), sync::Arc::new(spec));
        });
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.fixture.wall_ms += STEP_MS;
            let effects = self.fixture.advance(STEP_MS);
            let stored = self.fixture.complete_appends(&effects);
            for effect in effects.iter().chain(&stored) {
                let Some((target, operation)) = worker_call(effect) else {
                    continue;
                };
                let worker = target.worker.to_string();
                if self.workers.contains(&worker) {
                    self.answer(&worker, operation.clone());
                }
            }
        }
    }

    fn answer(&mut self, worker: &str, operation: WorkerOperation) {
        let now = self.fixture.now;
        match operation {
            WorkerOperation::Start(start) => {
                let task = start.task.clone();
                let (step, run_ms) = &self.specs[&*task.job];
                let run = RunningTask {
                    worker: worker.to_owned(),
                    number: start.number,
                    ends_at: now + time::Duration::from_millis(*run_ms),
                    is_checkpointing: step.checkpointing,
                };
                self.running.insert(task.clone(), run);
                let has_checkpoint = start.checkpoint.is_some();
                self.starts.push((task.job.to_string(), worker.to_owned(), has_checkpoint));
                let response = StartResponse::Started { clock_ms: 5_000 };
                self.fixture.with_decider(|decider, context| {
                    decider.on_start_response(context, &task, start.number, response);
                });
            }
            WorkerOperation::Stop { task, number } => {
                self.end(&task, EndKind::Stopped);
                self.stops.push(task.clone());
                self.fixture.with_decider(|decider, context| {
                    decider.on_stop_response(context, &task, number, true);
                });
            }
            WorkerOperation::Poll { sent_at, .. } => {
                let mut done = Vec::new();
                for (task, run) in &self.running {
                    if run.worker == worker && now >= run.ends_at {
                        done.push(task.clone());
                    }
                }
                for task in done {
                    self.end(&task, EndKind::Done);
                }
                let mut running = Vec::new();
                for (task, run) in &self.running {
                    if run.worker == worker {
                        let (task, number) = (task.clone(), run.number);
                        running.push(ListedRun { task, number, checkpoint: None, percent: None });
                    }
                }
                let ended = self.ended.get(worker).cloned().unwrap_or_default();
                self.fixture.report_poll(worker, sent_at, running, ended);
            }
        }
    }

    fn end(&mut self, task: &TaskRef, kind: EndKind) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        let ended = self.ended.entry(run.worker).or_default();
        let sequence = ended.last().map_or(1, |end| end.sequence + 1);
        let is_saved = kind == EndKind::Stopped && run.is_checkpointing;
        let checkpoint = is_saved.then(|| "checkpoint".to_owned());
        let (task, number) = (Some(task.clone()), run.number);
        ended.push(ListedEnd { sequence, task, number, kind: Some(kind), checkpoint });
    }

    fn stopped_jobs(&self) -> Vec<&str> {
        self.stops.iter().map(|task| &*task.job).collect()
    }

    fn has_started(&self, job: &str) -> bool {
        self.starts.iter().any(|(started, ..)| started == job)
    }

    /// The causes of preemptions since the last call.
    fn causes(&mut self) -> BTreeSet<PreemptionCause> {
        let decider = self.fixture.decider.as_mut().expect("a decider");
        decider.take_load_report().preempted.iter().map(|preempted| preempted.cause).collect()
    }
}

/// Tasks that each fill a worker.
fn tasks(count: usize, estimate_ms: u64) -> Step {
    Step { tasks: count, need: cores(4), estimate_ms, ..Step::default() }
}

fn checkpointing(step: Step) -> Step {
    Step { checkpointing: true, ..step }
}

/// A step whose latest start is about 2.8 s after its submission. The work of a task is 12
/// core-seconds, of which a quarter is more than what a stop of a checkpointing task loses.
fn urgent(count: usize) -> Step {
    tasks(count, 3_000)
}

/// Guards against stopping useful runs while runs of an expired job go on, and against capacity
/// that is freed for one step and taken by another.
#[test]
fn runs_of_expired_jobs_are_stopped_first_and_for_the_step_that_needs_it() {
    let mut cell = Cell::new(false);
    cell.submit("expired", "heavy", "batch", checkpointing(tasks(1, 100)), LONG_MS);
    cell.submit("useful", "heavy", "batch", checkpointing(tasks(39, 50_000)), LONG_MS);
    cell.run(4_500);
    assert_eq!(cell.running.len(), WORKERS);
    cell.submit("urgent", "light", "queue", urgent(1), LONG_MS);
    while cell.stops.is_empty() && cell.fixture.now < time::Duration::from_secs(20) {
        cell.run(STEP_MS);
    }
    // It would go first by its rank.
    cell.submit("later", "light", "queue", tasks(1, 100), LONG_MS);
    cell.run(500);
    assert_eq!(cell.stopped_jobs(), ["expired"]);
    assert!(cell.has_started("urgent") && !cell.has_started("later"));
    assert_eq!(cell.causes(), [PreemptionCause::NoLongerUseful].into());
}

/// Guards against an account that keeps more than its share while another one misses its
/// objectives, and against stopping more than the excess.
#[test]
fn runs_beyond_a_share_are_stopped_before_less_urgent_ones() {
    let mut cell = Cell::new(true);
    cell.submit("own", "light", "batch", checkpointing(tasks(2, 50_000)), LONG_MS);
    cell.submit("flood", "heavy", "queue", checkpointing(tasks(38, 50_000)), LONG_MS);
    cell.run(1_000);
    assert_eq!(cell.running.len(), WORKERS);
    cell.submit("urgent", "light", "queue", urgent(2), LONG_MS);
    cell.run(3_500);
    assert_eq!(cell.stopped_jobs(), ["flood", "flood"]);
    assert!(cell.has_started("urgent"));
    assert_eq!(cell.causes(), [PreemptionCause::BeyondShare].into());
}

/// Guards against stops for a step that is late already: it was not stopped for in time because
/// preemption was switched off.
#[test]
fn nothing_is_stopped_for_a_late_step() {
    let mut cell = Cell::new(false);
    cell.submit("batch", "heavy", "batch", checkpointing(tasks(WORKERS, 50_000)), LONG_MS);
    cell.run(1_000);
    cell.fixture.options.load.reclaim = false;
    cell.submit("urgent", "light", "queue", urgent(1), LONG_MS);
    cell.run(3_500);
    cell.fixture.options.load.reclaim = true;
    cell.run(3_000);
    assert!(cell.stops.is_empty() && !cell.has_started("urgent"));
}

/// Guards against losing more than is gained, against stopping more than a twentieth of the
/// capacity, and against stops for a step of which only a part could start then.
#[test]
fn the_loss_is_bounded() {
    // Whole runs would be lost.
    let mut cell = Cell::new(false);
    cell.submit("expired", "heavy", "batch", tasks(WORKERS, 100), LONG_MS);
    cell.run(4_500);
    cell.submit("urgent", "light", "queue", urgent(1), LONG_MS);
    cell.run(4_000);
    assert!(cell.stops.is_empty());
    // The gang needs three of forty workers.
    for (width, expected) in [(2, 2), (3, 0)] {
        let mut cell = Cell::new(false);
        cell.submit("batch", "heavy", "batch", checkpointing(tasks(WORKERS, 50_000)), LONG_MS);
        cell.run(1_000);
        let gang = Step { gang: true, ..urgent(width) };
        cell.submit("gang", "light", "queue", gang, LONG_MS);
        cell.run(4_000);
        assert_eq!((cell.stops.len(), cell.has_started("gang")), (expected, expected > 0));
    }
}

/// Guards against a job that is preempted again and again.
#[test]
fn a_job_is_not_preempted_twice_in_a_row() {
    let mut cell = Cell::new(false);
    cell.submit("batch", "heavy", "batch", checkpointing(tasks(WORKERS, 50_000)), LONG_MS);
    cell.run(1_000);
    let mut stops = Vec::new();
    for id in ["first", "second", "third"] {
        cell.submit(id, "light", "queue", urgent(1), LONG_MS);
        cell.run(5_500);
        stops.push(cell.stops.len());
    }
    assert_eq!(stops, [1, 1, 2], "the third comes ten seconds after the first");
    assert_eq!(cell.causes(), [PreemptionCause::LessUrgent].into());
}

/// Guards against stops while runs that end by themselves are enough.
#[test]
fn nothing_is_stopped_if_enough_runs_end_in_time() {
    let mut cell = Cell::new(false);
    cell.submit("batch", "heavy", "batch", checkpointing(tasks(38, 50_000)), LONG_MS);
    cell.submit("short", "heavy", "batch", tasks(2, 4_000), 4_000);
    cell.run(1_500);
    cell.submit("urgent", "light", "queue", urgent(1), LONG_MS);
    cell.run(4_000);
    assert!(cell.stops.is_empty() && cell.has_started("urgent"));
}

/// Guards against losing the work on workers that leave: 14% of them at two seconds' notice, under
/// full load. A run that ends before is left alone, and a gang is stopped as a whole.
#[test]
fn what_runs_on_leaving_workers_is_saved_and_goes_on_elsewhere() {
    let mut cell = Cell::new(false);
    let gang = Step { gang: true, ..checkpointing(tasks(12, 50_000)) };
    cell.submit("gang", "heavy", "queue", gang, LONG_MS);
    cell.submit("short", "heavy", "queue", tasks(8, 3_000), 3_000);
    cell.submit("batch", "heavy", "batch", checkpointing(tasks(60, 50_000)), LONG_MS);
    cell.run(2_000);
    assert_eq!(cell.running.len(), WORKERS);
    // Of each kind of run two.
    let mut leaving = BTreeSet::new();
    for job in ["gang", "short", "batch"] {
        let of_job = cell.running.iter().filter(|(task, _)| &*task.job == job);
        leaving.extend(of_job.take(2).map(|(_, run)| run.worker.clone()));
    }
    assert_eq!(leaving.len(), WORKERS * 14 / 100 + 1);
    let running_before = cell.starts.len();
    cell.list(&leaving, time::Duration::from_secs(2));
    cell.run(2_000);
    cell.leave(&leaving);
    assert!(cell.lost.is_empty(), "{:?}", cell.lost);
    cell.run(2_000);
    let stopped = cell.stopped_jobs();
    let of_gang = stopped.iter().filter(|job| **job == "gang").count();
    let of_batch = stopped.iter().filter(|job| **job == "batch").count();
    assert_eq!((of_gang, of_batch, stopped.len()), (12, 2, 14));
    let resumed = &cell.starts[running_before..];
    let gang_again = resumed.iter().filter(|(job, _, saved)| job == "gang" && *saved).count();
    assert_eq!(gang_again, 12, "the gang goes on from its checkpoint");
    assert!(resumed.iter().all(|(_, worker, _)| !leaving.contains(worker)));
    assert_eq!(cell.causes(), [PreemptionCause::WorkerLeaves].into());
}

/// Guards against stops for work that then does not start: nothing ends by itself, so that each task
/// that starts takes the place of one that was stopped. Urgent steps of random widths arrive
/// together with others that take what they can get.
#[test]
fn as_much_starts_as_is_stopped() {
    for seed in 0..10 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut cell = Cell::new(false);
        for index in 0..WORKERS {
            let id = format!("batch{index}");
            cell.submit(&id, "heavy", "batch", checkpointing(tasks(1, 50_000)), LONG_MS);
        }
        cell.run(1_000);
        let before = cell.starts.len();
        for index in 0..15 {
            let width = rng.random_range(1..4);
            let gang = rng.random_range(0..2) == 0;
            let estimate_ms = rng.random_range(2_000..5_000);
            let step = Step { gang, ..tasks(width, estimate_ms) };
            cell.submit(&format!("urgent{index}"), "light", "queue", step, LONG_MS);
            cell.run(rng.random_range(1..40) * STEP_MS);
        }
        cell.run(6_000);
        let started = cell.starts.len() - before;
        assert_eq!(started, cell.stops.len(), "seed {seed}");
        assert!(started > 5, "seed {seed}: only {started} starts");
        let is_urgent = |(job, ..): &(String, String, bool)| job.starts_with("urgent");
        assert!(cell.starts[before..].iter().all(is_urgent), "seed {seed}");
    }
}
