//! What the decider learns about the load: run times, and the error of its forecasts.

mod fixture;

use std::collections::BTreeMap;
use std::sync;
use std::time;

use pier_cell::cell_state::CellState;
use pier_cell::decider::{Decider, RequestOrigin};
use pier_cell::declaration::{Account, AdviserTiming, Declaration, Queue};
use pier_cell::effect::{Effect, WorkerOperation};
use pier_cell::event::{ListedEnd, ListedRun, StartResponse};
use pier_cell::follower::FollowerUpdate;
use pier_cell::job::{JobSpec, Label, Step, TaskRef};
use pier_cell::options::LoadOptions;
use pier_cell::peer::Advice;
use pier_cell::record::{LoadRecord, Record};
use pier_cell::run::EndKind;
use pier_core::ids;
use pier_core::resources::Resources;

use fixture::{Fixture, cores, queue, record, single_step, worker_call};

/// A part that does not act in these tests, so that only what all parts share is in use.
const ON: LoadOptions =
    LoadOptions { admission: false, shares: false, gangs: false, reclaim: true };
const LOAD_KEY: &str = "load";
/// The spacing of the simulated events.
const TICK_MS: u64 = 25;

struct RunningTask {
    task: TaskRef,
    number: u32,
    worker: ids::WorkerId,
    ends_at: time::Duration,
}

/// A decider with workers on which every task takes the same time.
struct Cell {
    fixture: Fixture,
    run_time: time::Duration,
    running: Vec<RunningTask>,
    ends: BTreeMap<ids::WorkerId, u64>,
    /// The records of `load` that were appended, with their times.
    records: Vec<(time::Duration, Record)>,
    /// The jobs in the order of their first starts.
    started: Vec<ids::JobId>,
    /// The progress that workers report.
    percent: Option<u8>,
}

impl Cell {
    fn new(load: LoadOptions, queues: Vec<Queue>, cap: Resources, workers: &[&str]) -> Self {
        let mut fixture = Fixture::new(queue(None));
        fixture.options.load = load;
        let account = Account { name: "team".into(), keys: Vec::new(), weight: 100, cap };
        fixture.declaration = Declaration::new(2, queues, vec![account], 100_000);
        fixture.list_workers(workers);
        let run_time = time::Duration::from_millis(400);
        Self {
            fixture,
            run_time,
            running: Vec::new(),
            ends: BTreeMap::new(),
            records: Vec::new(),
            started: Vec::new(),
            percent: None,
        }
    }

    fn submit(&mut self, id: &str, queue: &str, steps: Vec<Step>) {
        let spec = JobSpec {
            id: id.into(),
            queue: queue.into(),
            account: Some("team".into()),
            payload: "text".into(),
            steps,
        };
        let effects = self.fixture.with_decider(|decider, context| {
            decider.on_submit(context, RequestOrigin::Local(1), sync::Arc::new(spec));
        });
        self.fixture.submit_effects.extend(effects);
    }

    /// Replaces the decider by the next one.
    fn succeed(&mut self) {
        let term = fixture::term(2, 50, self.fixture.end, self.fixture.now);
        let mut effects = Vec::new();
        let decider = Decider::new(&mut self.fixture.context(&mut effects), term);
        self.fixture.decider = Some(decider);
    }

    /// Lets the decider and the workers run for some time.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / TICK_MS {
            self.fixture.wall_ms += TICK_MS;
            let effects = self.fixture.advance(TICK_MS);
            self.carry_out(&effects);
            let stored = self.fixture.complete_appends(&effects);
            self.carry_out(&stored);
            self.end_runs();
        }
    }

    fn carry_out(&mut self, effects: &[Effect]) {
        for effect in effects {
            if let Effect::Append { records, .. } = effect {
                for record in records.iter().filter(|record| record.key == LOAD_KEY) {
                    self.records.push((self.fixture.now, record.clone()));
                }
            }
            if let Effect::RequestAdvice(request) = effect {
                let eligible = request.workers.iter().map(|id| (id.clone(), "t".to_owned()));
                let advice = Advice { eligible: eligible.collect(), valid_ms: 1_500 };
                let ticket = request.ticket;
                self.fixture.with_decider(|decider, context| {
                    decider.on_advice_response(context, ticket, Some(&advice));
                });
            }
            match worker_call(effect) {
                Some((target, WorkerOperation::Start(request))) => {
                    let (task, number) = (request.task.clone(), request.number);
                    if !self.started.contains(&task.job) {
                        self.started.push(task.job.clone());
                    }
                    let ends_at = self.fixture.now + self.run_time;
                    let worker = target.worker.clone();
                    self.running.push(RunningTask { task: task.clone(), number, worker, ends_at });
                    let response = StartResponse::Started { clock_ms: 5_000 };
                    self.fixture.with_decider(|decider, context| {
                        decider.on_start_response(context, &task, number, response);
                    });
                }
                Some((target, WorkerOperation::Poll { sent_at, .. })) => {
                    self.report(&target.worker, *sent_at, Vec::new());
                }
                _ => {}
            }
        }
    }

    fn end_runs(&mut self) {
        let now = self.fixture.now;
        let ended: Vec<RunningTask> =
            self.running.extract_if(.., |run| now >= run.ends_at).collect();
        for run in ended {
            let sequence = self.ends.entry(run.worker.clone()).or_default();
            *sequence += 1;
            let end = ListedEnd {
                sequence: *sequence,
                task: Some(run.task),
                number: run.number,
                kind: Some(EndKind::Done),
                checkpoint: None,
            };
            self.report(&run.worker, now, vec![end]);
        }
    }

    fn report(&mut self, worker: &ids::WorkerId, sent_at: time::Duration, ended: Vec<ListedEnd>) {
        let mut running = Vec::new();
        for run in self.running.iter().filter(|run| run.worker == *worker) {
            let (task, number) = (run.task.clone(), run.number);
            running.push(ListedRun { task, number, checkpoint: None, percent: self.percent });
        }
        self.fixture.report_poll(worker, sent_at, running, ended);
    }

    fn learned(&self) -> LoadRecord {
        self.fixture.cell_state.load.clone().unwrap_or_default()
    }

    fn forecast_errors(&mut self) -> Vec<time::Duration> {
        let mut errors = Vec::new();
        self.fixture.with_decider(|decider, _| {
            for (_, error) in decider.take_load_report().forecast_errors {
                errors.push(error);
            }
        });
        errors
    }
}

fn only_queue() -> Vec<Queue> {
    vec![queue(None)]
}

/// An adviser that is expected to take this time.
fn adviser(millis: u64) -> AdviserTiming {
    AdviserTiming {
        base: time::Duration::from_millis(millis),
        per_worker: time::Duration::ZERO,
        validity: time::Duration::from_millis(1_500),
    }
}

/// An urgent queue with little time, and another one with as little.
fn two_queues() -> Vec<Queue> {
    let urgent = Queue { target_latency: time::Duration::from_millis(50), ..queue(None) };
    let other = Queue { name: "other".into(), priority: 1, ..urgent.clone() };
    vec![urgent, other]
}

/// A record by which tasks of the urgent queue take ten times their estimate.
fn tenfold() -> LoadRecord {
    let mut learned = LoadRecord::default();
    learned.run_times.insert("queue".into(), [200.0, 0.1_f32.ln(), 10.0_f32.ln(), 0.0, 0.0, 0.01]);
    learned
}

/// Which of an urgent job and one of another queue a new decider starts first on a single worker,
/// after it has read these records.
fn first_start(load: LoadOptions, records: &[&Record]) -> String {
    let mut cell = Cell::new(load, two_queues(), Resources::MAX, &["w0"]);
    let mut cell_state = CellState::default();
    for (offset, record) in (0..).zip(records) {
        cell_state.apply(offset, record);
    }
    cell.fixture.cell_state = cell_state;
    cell.succeed();
    cell.fixture.list_workers(&["w0"]);
    cell.submit("urgent", "queue", single_step(1, false));
    cell.submit("other", "other", single_step(1, false));
    cell.run(200);
    cell.started.first().map(ToString::to_string).unwrap_or_default()
}

/// Guards against gangs whose run times are not learned, and against one gang that counts as many
/// runs.
#[test]
fn run_times_of_gangs_are_learned() {
    let mut cell = Cell::new(ON, only_queue(), Resources::MAX, &["w0", "w1"]);
    cell.submit("gang", "queue", single_step(2, true));
    cell.run(2_600);
    let values = cell.learned().run_times["queue"];
    assert_eq!(values[0], 1.0, "one run: {values:?}");
    let ratio = values[2].exp();
    assert!((3.8..=4.3).contains(&ratio), "400 ms with an estimate of 100 ms: {ratio}");
}

/// Guards against a decider that ranks by the callers' estimates although it knows better, that
/// forgets what an earlier one knew, or that fails on a record that it cannot decode.
#[test]
fn the_next_decider_knows_run_times() {
    let learned = Record::load(&tenfold());
    assert_eq!(first_start(ON, &[]), "urgent");
    // By the learned run time the urgent job is late in any case.
    assert_eq!(first_start(ON, &[&learned]), "other");
    assert_eq!(first_start(LoadOptions::default(), &[&learned]), "urgent");
    let undecodable =
        Record { key: LOAD_KEY.to_owned(), value: Some(b"{\"run_times\":3}".to_vec()) };
    assert_eq!(first_start(ON, &[&undecodable]), "urgent");
    assert_eq!(first_start(ON, &[&learned, &undecodable]), "other", "the earlier record stays");
    // A later version may add to the record.
    let mut value = serde_json::to_value(tenfold()).expect("a record");
    value["more"] = 1.into();
    let later = Record { key: LOAD_KEY.to_owned(), value: Some(value.to_string().into_bytes()) };
    assert_eq!(first_start(ON, &[&later]), "other");
}

/// Guards against a record with every append, against one without an append that is due anyway, and
/// against one while no part of load control is in use. Older versions must skip unknown keys.
#[test]
fn what_is_learned_is_recorded_seldom() {
    for (load, is_recorded) in [(ON, true), (LoadOptions::default(), false)] {
        let queues = vec![queue(Some(adviser(10)))];
        let mut cell = Cell::new(load, queues, Resources::MAX, &["w0", "w1"]);
        for job in 0..30 {
            cell.submit(&format!("job{job}"), "queue", single_step(1, false));
        }
        cell.run(8_000);
        assert_eq!(cell.started.len(), 30);
        assert_eq!(!cell.records.is_empty(), is_recorded);
        assert_eq!(cell.fixture.cell_state.load.is_some(), is_recorded);
        // Both workers were named and allowed for each job. Renewed tickets do not count.
        let eligible = is_recorded.then_some([60.0, 60.0]);
        assert_eq!(cell.learned().eligible.get("queue").copied(), eligible);
        for pair in cell.records.windows(2) {
            assert!(pair[1].0 >= pair[0].0 + time::Duration::from_secs(2));
        }
    }
    let unknown = Record { key: "unknown".to_owned(), value: Some(b"1".to_vec()) };
    assert_eq!(unknown.to_change().expect("it is skipped"), None);
}

/// Guards against a record that grows with the number of queues. Those with the most runs stay.
#[test]
fn the_record_is_short() {
    let mut queues = Vec::new();
    let mut learned = LoadRecord::default();
    for index in 0..100_u8 {
        let name = format!("queue-with-a-long-name-{index}");
        queues.push(Queue { name: name.as_str().into(), ..queue(None) });
        let values = [f32::from(index + 1), 0.123_456_7, 1.234_567, 0.1, 0.345_678_9, 0.456_789];
        learned.run_times.insert(name.as_str().into(), values);
        learned.corrections_ms.insert(name.as_str().into(), -12_345);
    }
    let mut cell = Cell::new(ON, queues, Resources::MAX, &["w0"]);
    cell.fixture.cell_state.load = Some(learned);
    cell.succeed();
    cell.run(400);
    let (_, record) = cell.records.first().expect("a record");
    let length = record.stored_bytes();
    assert!((3_000..=4_096).contains(&length), "{length} bytes");
    let kept = cell.learned().run_times;
    assert!(kept.contains_key("queue-with-a-long-name-99"));
    assert!(!kept.contains_key("queue-with-a-long-name-0"));
}

/// Guards against forecasts that ignore runs and waiting steps, the account's limit, the label of the
/// step, or the time that the adviser takes.
#[test]
fn first_starts_are_forecast() {
    let workers = ["w0", "w1", "w2"];
    let label: Label = "special".into();
    let mut labelled = record("w0");
    labelled.entry.as_mut().expect("an entry").labels.push(label.clone());
    // With a limit of one worker, with a single worker, or with a single worker that has the label,
    // jobs run one after the other.
    let all = Resources::MAX;
    let cases =
        [(cores(4), &workers[..], None), (all, &workers[..1], None), (all, &workers, Some(label))];
    for (cap, workers, required_label) in cases {
        let mut cell = Cell::new(ON, only_queue(), cap, workers);
        let records = vec![(0, labelled.clone())];
        let update = FollowerUpdate { is_reset: false, records, is_caught_up: true };
        cell.fixture.with_decider(|decider, _| decider.on_worker_records(update));
        cell.run(400);
        let step = Step { estimate_ms: 400, required_label, ..single_step(1, false).remove(0) };
        for job in 0..3 {
            cell.submit(&format!("job{job}"), "queue", vec![step.clone()]);
            // The last job arrives before the decider has placed the one before it.
            cell.run(if job == 1 { 0 } else { 100 });
        }
        cell.run(2_000);
        let errors = cell.forecast_errors();
        assert_eq!(errors.len(), 3, "one for each job");
        for error in &errors {
            assert!(*error <= time::Duration::from_millis(250), "{errors:?}");
        }
    }
    // The advice arrives at once here, so that the error is the time that it was expected to take.
    let mut cell = Cell::new(ON, vec![queue(Some(adviser(300)))], Resources::MAX, &workers);
    cell.submit("job", "queue", single_step(1, false));
    cell.run(500);
    let errors = cell.forecast_errors();
    assert_eq!(errors.len(), 1);
    assert!(errors[0] >= time::Duration::from_millis(250), "{errors:?}");
    // Without the parts nothing is forecast.
    let mut cell = Cell::new(LoadOptions::default(), only_queue(), Resources::MAX, &workers);
    cell.submit("job", "queue", single_step(1, false));
    cell.run(500);
    assert!(cell.forecast_errors().is_empty());
}

/// Guards against a decider that stops because of estimates and sizes that callers choose freely.
#[test]
fn extreme_estimates_are_forecast() {
    let mut cell = Cell::new(ON, only_queue(), cores(8), &["w0", "w1", "w2"]);
    cell.percent = Some(1);
    let mut learned = LoadRecord::default();
    learned.run_times.insert("queue".into(), [200.0, 0.0, 4.6, 1.0, 0.05, 1.0]);
    cell.fixture.cell_state.load = Some(learned);
    cell.succeed();
    cell.fixture.list_workers(&["w0", "w1", "w2"]);
    let step = |estimate_ms, tasks| Step { estimate_ms, ..single_step(tasks, false).remove(0) };
    let steps = [step(u64::MAX, 4_000), step(u64::MAX, 1), step(0, 1), step(0, 0)];
    for (job, step) in steps.into_iter().enumerate() {
        let no_need = Step { need: Resources::ZERO, after: vec![0], ..step.clone() };
        cell.submit(&format!("job{job}"), "queue", vec![step, no_need]);
        cell.run(500);
    }
    cell.run(1_000);
    assert!(!cell.started.is_empty());
}
