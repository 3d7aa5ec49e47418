//! Stand-ins for workers: they run tasks on order, hold leases and list ends.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Connections, Request, Response};
use crate::json::{Value, object};
use crate::record::Record;
use crate::store::Store;

pub const SERVICE: &str = "desk";
pub const CAPACITY_CPU: u64 = 16_000;
const MAX_HOLD_MS: u64 = 10_000;
const GANG_WAIT: Duration = Duration::from_millis(3_000);
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(10);
const MAX_LISTED_ENDS: usize = 500;

/// What the clients know of a step: how its tasks behave.
#[derive(Debug, Clone, Copy)]
pub struct StepPlan {
    pub tasks: usize,
    pub cpu: u64,
    pub duration: Duration,
    pub gang: bool,
    /// The kind that a worker must have to run the tasks.
    pub required_kind: Option<&'static str>,
}

impl StepPlan {
    /// A step of tasks that work alone, on any worker.
    pub fn new(tasks: usize, cpu: u64, duration: Duration) -> Self {
        Self { tasks, cpu, duration, gang: false, required_kind: None }
    }
}

/// A start of a task that a worker has begun.
#[derive(Debug, Clone)]
pub struct Start {
    pub at: Duration,
    pub worker: String,
    pub task: String,
    pub run: u64,
    /// The kind of the worker.
    pub kind: &'static str,
}

/// The end of a run.
#[derive(Debug, Clone)]
pub struct Ended {
    pub at: Duration,
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub how: &'static str,
    /// Whether a host has taken note of the end, before the worker's lease lapsed.
    pub is_noted: bool,
}

struct Running {
    run: u64,
    plan: StepPlan,
    started: Instant,
    worked: Duration,
    /// Whether all members of the gang have been present.
    has_met: bool,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    /// The position in the list of all ends.
    position: usize,
    /// Whether the worker's lease has lapsed since.
    has_lapsed: bool,
}

struct Worker {
    address: SocketAddr,
    zone: String,
    /// The worker's kind, which is its first label.
    kind: &'static str,
    /// Whether the worker has crashed. It then answers nothing.
    is_down: bool,
    /// Whether the worker is cut off from the store.
    is_cut: bool,
    /// When the worker last wrote its entry in the store.
    written_at: Instant,
    /// Counts the starts of the worker. Connections of an earlier life are closed.
    life: u64,
    born_ms: u64,
    started: Instant,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Running>,
    ended: Vec<End>,
    ends: u64,
    /// The highest run of each task that was stopped or has ended.
    closed: BTreeMap<String, u64>,
}

#[derive(Default)]
struct State {
    workers: BTreeMap<String, Worker>,
    plans: BTreeMap<String, Vec<StepPlan>>,
    starts: Vec<Start>,
    ends: Vec<Ended>,
    violations: Vec<String>,
    last_tick: Option<Instant>,
}

/// The workers of a deployment.
#[derive(Clone)]
pub struct Workers {
    state: Arc<(Mutex<State>, Condvar)>,
    connections: Arc<Mutex<BTreeMap<String, Connections>>>,
    store: Store,
    record: Record,
}

impl Workers {
    /// Starts workers without any task. One that was added later registers itself at once.
    pub fn start(store: &Store, record: &Record) -> Self {
        let workers = Self {
            state: Arc::default(),
            connections: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        };
        let ticking = workers.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                ticking.tick();
            }
        });
        let beating = workers.clone();
        thread::spawn(move || {
            let mut sequence = 0;
            loop {
                thread::sleep(HEARTBEAT);
                sequence += 1;
                beating.write_entries(sequence);
            }
        });
        workers
    }

    /// Adds a worker on a free loopback port.
    pub fn add(&self, id: &str, zone: &str, kind: &'static str) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        self.lock().workers.insert(id.to_owned(), Worker::new(address, zone, kind, 1));
        let (workers, worker) = (self.clone(), id.to_owned());
        let connections = http::serve(listener, move |request| workers.respond(&worker, &request));
        self.connections.lock().expect("no thread panics").insert(id.to_owned(), connections);
        self.write_entries(0);
    }

    /// Cuts a worker off from the store, or ends the cut.
    pub fn set_cut(&self, id: &str, is_cut: bool) {
        self.record.write(&format!("worker {id}: cut off from the store: {is_cut}"));
        self.lock().workers.get_mut(id).expect("a worker").is_cut = is_cut;
        self.write_entries(0);
    }

    /// Crashes a worker. All that runs on it is lost.
    pub fn crash(&self, id: &str) {
        self.record.write(&format!("worker {id}: crashes"));
        let mut state = self.lock();
        let worker = state.workers.get_mut(id).expect("a worker");
        worker.is_down = true;
        worker.running.clear();
        self.state.1.notify_all();
        self.connections.lock().expect("no thread panics")[id].reset();
    }

    /// Starts a crashed worker again under its id and its address, as a worker of this kind.
    pub fn restart(&self, id: &str, kind: &'static str) {
        self.record.write(&format!("worker {id}: starts again, of kind {kind}"));
        {
            let mut state = self.lock();
            let worker = state.workers.get_mut(id).expect("a worker");
            let (is_cut, written_at) = (worker.is_cut, worker.written_at);
            let next = Worker::new(worker.address, &worker.zone, kind, worker.life + 1);
            *worker = Worker { is_cut, written_at, ..next };
        }
        self.write_entries(0);
    }

    /// Tells the workers how the tasks of a job behave, before a client sends the job.
    pub fn plan(&self, job: &str, steps: &[StepPlan]) {
        self.lock().plans.insert(job.to_owned(), steps.to_vec());
    }

    /// The starts of a job's tasks so far.
    pub fn starts_of(&self, job: &str) -> Vec<Start> {
        let prefix = format!("{job}.");
        let state = self.lock();
        state.starts.iter().filter(|start| start.task.starts_with(&prefix)).cloned().collect()
    }

    /// How many tasks of a job have ended as done.
    pub fn done_count(&self, job: &str) -> usize {
        let prefix = format!("{job}.");
        let state = self.lock();
        let done = state.ends.iter().filter(|end| end.how == "done");
        done.filter(|end| end.task.starts_with(&prefix)).count()
    }

    /// How many runs have ended as done.
    pub fn all_done_count(&self) -> usize {
        self.lock().ends.iter().filter(|end| end.how == "done").count()
    }

    /// The starts of tasks that had ended as done, where that end was taken note of then or later.
    pub fn starts_after_done(&self) -> Vec<(Ended, Start)> {
        let state = self.lock();
        let mut done: BTreeMap<&str, &Ended> = BTreeMap::new();
        for end in state.ends.iter().filter(|end| end.how == "done" && end.is_noted) {
            done.entry(&end.task).or_insert(end);
        }
        let mut again = Vec::new();
        for start in &state.starts {
            if let Some(end) = done.get(start.task.as_str()).filter(|end| start.at > end.at) {
                again.push(((*end).clone(), start.clone()));
            }
        }
        again
    }

    /// Whether a task of the job is running.
    pub fn is_running(&self, job: &str) -> bool {
        let prefix = format!("{job}.");
        let state = self.lock();
        let mut tasks = state.workers.values().flat_map(|worker| worker.running.keys());
        tasks.any(|task| task.starts_with(&prefix))
    }

    /// The processor capacity in use, of all workers together.
    pub fn used_cpu(&self) -> u64 {
        let state = self.lock();
        let running = state.workers.values().flat_map(|worker| worker.running.values());
        running.map(|running| running.plan.cpu).sum()
    }

    /// What the workers were told against their rules, for instance to start an unknown task.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no thread panics")
    }

    fn write_entries(&self, sequence: u64) {
        let mut entries = Vec::new();
        for (id, worker) in &mut self.lock().workers {
            if worker.is_down || worker.is_cut {
                // The store removes an entry after three intervals without a report.
                if worker.written_at.elapsed() >= HEARTBEAT * 3 {
                    entries.push((id.clone(), String::new()));
                }
                continue;
            }
            worker.written_at = Instant::now();
            let capacity = object([
                ("cpu", CAPACITY_CPU.into()),
                ("mem_mb", 65_536.into()),
                ("gpu", 0.into()),
            ]);
            let labels = vec![Value::from(worker.kind), Value::from("r1-1")];
            let entry = object([
                ("service", SERVICE.into()),
                ("address", worker.address.to_string().as_str().into()),
                ("zone", worker.zone.as_str().into()),
                ("version", "v1".into()),
                ("slots", 8.into()),
                ("state", "ready".into()),
                ("cold_left_ms", 0.into()),
                ("capacity", capacity),
                ("labels", labels.into()),
                ("clock_ms", worker.clock_ms().into()),
                ("born", worker.born_ms.into()),
                ("seq", sequence.into()),
            ]);
            entries.push((id.clone(), entry.to_string()));
        }
        for (id, entry) in entries {
            self.store.write("keyed.servers", &id, &entry);
        }
    }

    /// Returns none if the worker is down, or if it has started again since the request arrived.
    fn respond(&self, id: &str, request: &Request) -> Option<Response> {
        let life = self.life(id)?;
        let response = self.respond_alive(id, request);
        (self.life(id) == Some(life)).then_some(response)
    }

    fn life(&self, id: &str) -> Option<u64> {
        let state = self.lock();
        let worker = state.workers.get(id)?;
        (!worker.is_down).then_some(worker.life)
    }

    fn respond_alive(&self, id: &str, request: &Request) -> Response {
        let is_intended = request
            .headers
            .get("persimmonpier-target-instance")
            .is_none_or(|intended| intended == id);
        if !is_intended {
            return (421, Vec::new());
        }
        let Some(body) = Value::parse(&request.body) else {
            return (400, Vec::new());
        };
        let response = match request.path.as_str() {
            "/persimmonpier/run-start" => self.start_run(id, &body),
            "/persimmonpier/run-stop" => self.stop_run(id, &body),
            "/persimmonpier/hold" => self.hold(id, &body),
            _ => None,
        };
        response.unwrap_or((400, Vec::new()))
    }

    fn start_run(&self, id: &str, body: &Value) -> Option<Response> {
        let (task, run) = (body.text("task")?.to_owned(), body.number("run")?);
        let mut state = self.lock();
        let plan = plan_of(&state.plans, &task);
        let worker = state.workers.get_mut(id)?;
        if !worker.admit(body) {
            return Some(worker.refusal("fence"));
        }
        let clock_ms = worker.clock_ms();
        let deadline_ms = body.number("deadline_ms")?;
        if worker.closed.get(&task).is_some_and(|closed| run <= *closed) {
            worker.extend_lease(deadline_ms);
            return Some(worker.refusal("old"));
        }
        if deadline_ms <= clock_ms {
            return Some(worker.refusal("late"));
        }
        worker.extend_lease(deadline_ms);
        let acknowledged = Some(worker.acknowledgement());
        if worker.running.get(&task).is_some_and(|running| running.run == run) {
            return acknowledged;
        }
        let Some(plan) = plan else {
            state.violations.push(format!("{task} was sent by no client"));
            return None;
        };
        let running = Running {
            run,
            plan,
            started: Instant::now(),
            worked: Duration::ZERO,
            has_met: !plan.gang,
        };
        worker.running.insert(task.clone(), running);
        let kind = worker.kind;
        let others = state.workers.iter().filter(|(other, _)| *other != id);
        if others.flat_map(|(_, worker)| worker.running.keys()).any(|other| *other == task) {
            state.violations.push(format!("{task} runs twice"));
        }
        let line = format!("worker {id} of kind {kind}: starts {task} run {run}");
        self.record.write_detail(&line);
        let worker = id.to_owned();
        state.starts.push(Start { at: self.record.now(), worker, task, run, kind });
        acknowledged
    }

    fn stop_run(&self, id: &str, body: &Value) -> Option<Response> {
        let (task, run) = (body.text("task")?.to_owned(), body.number("run")?);
        let mut state = self.lock();
        let State { workers, ends, .. } = &mut *state;
        let worker = workers.get_mut(id)?;
        if !worker.admit(body) {
            return Some(worker.refusal("fence"));
        }
        if worker.running.get(&task).is_some_and(|running| running.run <= run) {
            worker.end(&task, "stopped", id, ends, &self.record);
        }
        let closed = worker.closed.entry(task).or_default();
        *closed = run.max(*closed);
        let response = worker.acknowledgement();
        self.state.1.notify_all();
        Some(response)
    }

    fn hold(&self, id: &str, body: &Value) -> Option<Response> {
        let last_seen = body.number("last_seen")?;
        let wait = Duration::from_millis(body.number("wait_ms").unwrap_or_default());
        let until = Instant::now() + wait;
        let mut state = self.lock();
        let State { workers, ends, .. } = &mut *state;
        let worker = workers.get_mut(id)?;
        if !worker.admit(body) {
            return Some(worker.refusal("fence"));
        }
        if let Some(deadline_ms) = body.number("deadline_ms") {
            worker.extend_lease(deadline_ms);
        }
        for end in worker.ended.iter().filter(|end| end.number <= last_seen) {
            ends[end.position].is_noted = !end.has_lapsed;
        }
        worker.ended.retain(|end| end.number > last_seen);
        let life = worker.life;
        loop {
            let worker = state.workers.get_mut(id)?;
            if worker.is_down || worker.life != life {
                return None;
            }
            let left = until.saturating_duration_since(Instant::now());
            if !worker.ended.is_empty() || left.is_zero() {
                return Some((200, worker.report().to_string().into_bytes()));
            }
            state = self.state.1.wait_timeout(state, left).expect("no thread panics").0;
        }
    }

    /// Lets the running tasks work, and ends those that are done, alone or without a lease.
    fn tick(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let State { workers, ends, last_tick, .. } = &mut *state;
        let passed = last_tick.replace(now).map_or(Duration::ZERO, |last| now - last);
        let mut members: BTreeMap<(String, u64), usize> = BTreeMap::new();
        for (id, worker) in &mut *workers {
            if worker.clock_ms() >= worker.lease_until_ms {
                worker.end_all_lapsed(id, ends, &self.record);
            }
            for (task, running) in &worker.running {
                *members.entry((step_of(task).to_owned(), running.run)).or_default() += 1;
            }
        }
        let mut broken = Vec::new();
        for (id, worker) in workers {
            let mut due = Vec::new();
            for (task, running) in &mut worker.running {
                let step = (step_of(task).to_owned(), running.run);
                let is_whole = !running.plan.gang || members[&step] == running.plan.tasks;
                if is_whole {
                    running.has_met = true;
                    running.worked += passed;
                    if running.worked >= running.plan.duration {
                        due.push((task.clone(), "done"));
                    }
                } else if running.has_met {
                    broken.push(step);
                    due.push((task.clone(), "broken"));
                } else if now >= running.started + GANG_WAIT {
                    due.push((task.clone(), "alone"));
                }
            }
            for (task, how) in due {
                worker.end(&task, how, id, ends, &self.record);
                self.state.1.notify_all();
            }
        }
    }
}

impl Worker {
    /// A worker that has just started and knows nothing of earlier lives.
    fn new(address: SocketAddr, zone: &str, kind: &'static str, life: u64) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
        Self {
            address,
            zone: zone.to_owned(),
            kind,
            is_down: false,
            is_cut: false,
            written_at: Instant::now(),
            life,
            born_ms: u64::try_from(born.as_millis()).expect("a small number"),
            started: Instant::now(),
            fence: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            closed: BTreeMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).expect("a short test")
    }

    /// Checks the fencing token and keeps the highest one.
    fn admit(&mut self, body: &Value) -> bool {
        let token = body.number("fencing_token").unwrap_or_default();
        let is_admitted = token >= self.fence;
        self.fence = token.max(self.fence);
        is_admitted
    }

    fn extend_lease(&mut self, deadline_ms: u64) {
        let longest_ms = self.clock_ms() + MAX_HOLD_MS;
        self.lease_until_ms = self.lease_until_ms.max(deadline_ms.min(longest_ms));
    }

    fn acknowledgement(&self) -> Response {
        (200, object([("clock_ms", self.clock_ms().into())]).to_string().into_bytes())
    }

    fn refusal(&self, reason: &str) -> Response {
        let body = object([("clock_ms", self.clock_ms().into()), ("reason", reason.into())]);
        (409, body.to_string().into_bytes())
    }

    fn report(&self) -> Value {
        let mut running = Vec::new();
        for (task, run) in &self.running {
            let percent = 100 * run.worked.as_millis() / run.plan.duration.as_millis().max(1);
            let percent = u64::try_from(percent.min(99)).expect("a percentage");
            let row = vec![task.as_str().into(), run.run.into(), "".into(), percent.into()];
            running.push(Value::List(row));
        }
        let mut ended = Vec::new();
        for end in self.ended.iter().take(MAX_LISTED_ENDS) {
            let (task, how) = (end.task.as_str().into(), end.how.into());
            ended.push(Value::List(vec![end.number.into(), task, end.run.into(), how, "".into()]));
        }
        object([
            ("clock_ms", self.clock_ms().into()),
            ("born", self.born_ms.into()),
            ("running", running.into()),
            ("ended", ended.into()),
        ])
    }

    fn end(
        &mut self,
        task: &str,
        how: &'static str,
        id: &str,
        ends: &mut Vec<Ended>,
        record: &Record,
    ) {
        let Some(running) = self.running.remove(task) else {
            return;
        };
        record.write_detail(&format!("worker {id}: {task} run {} ended {how}", running.run));
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = running.run.max(*closed);
        self.ends += 1;
        let (number, run, position) = (self.ends, running.run, ends.len());
        let task = task.to_owned();
        let (at, worker) = (record.now(), id.to_owned());
        ends.push(Ended { at, worker, task: task.clone(), run, how, is_noted: false });
        self.ended.push(End { number, task, run, how, position, has_lapsed: false });
    }

    fn end_all_lapsed(&mut self, id: &str, ends: &mut Vec<Ended>, record: &Record) {
        for end in &mut self.ended {
            end.has_lapsed = true;
        }
        let tasks: Vec<String> = self.running.keys().cloned().collect();
        for task in tasks {
            self.end(&task, "lapsed", id, ends, record);
        }
    }
}

/// The part of a task's name that names the step: all but the index.
fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

fn plan_of(plans: &BTreeMap<String, Vec<StepPlan>>, task: &str) -> Option<StepPlan> {
    let mut parts = task.split('.');
    let steps = plans.get(parts.next()?)?;
    let step: usize = parts.nth(1)?.parse().ok()?;
    let plan = *steps.get(step)?;
    let index: usize = parts.next()?.parse().ok()?;
    (index < plan.tasks).then_some(plan)
}
