//! Stand-ins for the platform's store and for workers, as the users' pages describe them.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Request};
use crate::json::{quoted, Json};
use crate::record::Record;

/// The longest lease that a worker grants.
const MAX_HOLD: Duration = Duration::from_millis(10_000);
const STOP_GRACE: Duration = Duration::from_millis(100);
const GANG_WAIT: Duration = Duration::from_millis(3_000);
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(10);
const MAX_LISTED_ENDS: usize = 500;
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
}

/// The platform's store: a log with conditional appends and keyed topics.
#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    grown: Condvar,
}

impl Store {
    /// Appends a record, as an operator or a worker does. An empty value deletes the key.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().expect("the store's lock");
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.grown.notify_all();
    }

    pub fn handle(&self, request: &Request) -> Answer {
        match request.path.as_str() {
            "/persimmonpier/log-newest" => self.newest(request),
            "/persimmonpier/log-read" => self.read(request),
            "/persimmonpier/log-append" => self.append(request),
            _ => Some((404, Vec::new())),
        }
    }

    fn newest(&self, request: &Request) -> Answer {
        let mut topics = self.topics.lock().expect("the store's lock");
        let topic = topics.entry(request.param("topic").to_owned()).or_default();
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in topic.records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let after = request.param("after");
        let mut items = Vec::new();
        let mut has_more = false;
        for (key, (offset, value)) in newest {
            if value.is_empty() || (!after.is_empty() && key <= after) {
                continue;
            }
            if items.len() == PAGE_ITEMS {
                has_more = true;
                break;
            }
            let value = base64(value);
            items.push(format!(
                "{{\"key\":{},\"value\":\"{value}\",\"offset\":{offset}}}",
                quoted(key)
            ));
        }
        let end = topic.records.len();
        let items = items.join(",");
        Some((200, format!("{{\"items\":[{items}],\"has_more\":{has_more},\"end\":{end}}}").into()))
    }

    fn read(&self, request: &Request) -> Answer {
        let from: usize = request.param("from").parse().unwrap_or(0);
        let wait_ms: u64 = request.param("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut topics = self.topics.lock().expect("the store's lock");
        loop {
            let topic = topics.entry(request.param("topic").to_owned()).or_default();
            let now = Instant::now();
            if topic.records.len() > from || now >= until {
                let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in topic.records.iter().skip(from) {
                    let length = (1 + key.len() + value.len()) as u32;
                    body.extend_from_slice(&length.to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                return Some((200, body));
            }
            topics = self.grown.wait_timeout(topics, until - now).expect("the store's lock").0;
        }
    }

    fn append(&self, request: &Request) -> Answer {
        thread::sleep(Duration::from_millis(3));
        let mut topics = self.topics.lock().expect("the store's lock");
        let topic = topics.entry(request.param("topic").to_owned()).or_default();
        let offset = topic.records.len();
        if let Ok(at) = request.param("at").parse::<usize>() {
            if at != offset {
                return Some((412, format!("{{\"end\":{offset}}}").into()));
            }
        }
        let mut body = request.body.as_slice();
        while body.len() > 4 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let content = &body[4..4 + length];
            let (key, value) = content[1..].split_at(usize::from(content[0]));
            topic.records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            body = &body[4 + length..];
        }
        let end = topic.records.len();
        self.grown.notify_all();
        Some((200, format!("{{\"offset\":{offset},\"end\":{end}}}").into()))
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let group = part(0) << 16 | part(1) << 8 | part(2);
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(char::from(LETTERS[(group >> (18 - 6 * index) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// What a task of a job does when it runs, by the job's id.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    pub run_time: Duration,
    pub cpu: u64,
    /// Whether the task can never be done: each run fails.
    pub is_hopeless: bool,
    /// The number of members that have to be present, or 0 if the tasks are no gang.
    pub gang: usize,
}

struct Run {
    number: u64,
    started_at: Instant,
    work: Work,
    is_stopping: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// One life of a worker.
struct Life {
    born: u64,
    began: Instant,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<End>,
    next_end: u64,
    /// The highest run of each task that was stopped or has ended here.
    refused_up_to: BTreeMap<String, u64>,
}

impl Life {
    fn new() -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            born: now.as_millis() as u64,
            began: Instant::now(),
            fence: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            refused_up_to: BTreeMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn extend_lease(&mut self, request: &Json) {
        if let Some(deadline_ms) = request.get("deadline_ms").as_u64() {
            let longest = self.clock_ms() + MAX_HOLD.as_millis() as u64;
            self.lease_until_ms = self.lease_until_ms.max(deadline_ms.min(longest));
        }
    }
}

/// What a worker has seen of the tasks: each start and each end, in order.
#[derive(Debug, Clone)]
pub struct TaskEvent {
    pub at: Instant,
    pub task: String,
    /// `start`, or how the run has ended.
    pub what: &'static str,
}

/// A worker that starts whatever it is told to.
pub struct Worker {
    pub id: String,
    pub address: String,
    service: String,
    capacity: u64,
    life: Mutex<Life>,
    ended: Condvar,
}

/// The store, the workers and what they have seen.
pub struct Platform {
    pub store: Arc<Store>,
    pub store_address: String,
    pub workers: Mutex<Vec<Arc<Worker>>>,
    pub work: Mutex<BTreeMap<String, Work>>,
    pub events: Mutex<Vec<TaskEvent>>,
    record: Arc<Record>,
}

impl Platform {
    pub fn start(record: Arc<Record>) -> Arc<Self> {
        let store = Arc::new(Store::default());
        let serving = Arc::clone(&store);
        let store_address = http::serve(move |request| serving.handle(&request));
        Arc::new(Self {
            store,
            store_address,
            workers: Mutex::default(),
            work: Mutex::default(),
            events: Mutex::default(),
            record,
        })
    }

    /// Starts a worker that registers itself in the store.
    pub fn add_worker(self: &Arc<Self>, id: &str, service: &str, cpu: u64) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            capacity: cpu,
            life: Mutex::new(Life::new()),
            ended: Condvar::new(),
        });
        let (platform, serving) = (Arc::clone(self), Arc::clone(&worker));
        http::serve_on(listener, move |request| platform.handle_worker(&serving, &request));
        let (platform, ticking) = (Arc::clone(self), Arc::clone(&worker));
        thread::spawn(move || loop {
            platform.tick(&ticking);
            thread::sleep(TICK);
        });
        let (store, reporting) = (Arc::clone(&self.store), Arc::clone(&worker));
        thread::spawn(move || {
            for sequence in 1_u64.. {
                let born = reporting.life.lock().expect("a worker's lock").born;
                let entry = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"north\",\"version\":\"v1\",\
                     \"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{sequence},\
                     \"capacity\":{{\"cpu\":{},\"mem_mb\":65536,\"gpu\":0}},\
                     \"labels\":[\"a\",\"r1\"],\"born\":{born}}}",
                    reporting.service, reporting.address, reporting.capacity
                );
                store.write("keyed.servers", &reporting.id, &entry);
                thread::sleep(HEARTBEAT);
            }
        });
        self.workers.lock().expect("the workers' lock").push(worker);
    }

    /// The starts and ends of a job's tasks, oldest first.
    pub fn events_of(&self, job: &str) -> Vec<TaskEvent> {
        let events = self.events.lock().expect("the events' lock");
        events.iter().filter(|event| event.task.starts_with(job)).cloned().collect()
    }

    /// The processor need of what runs on all workers.
    pub fn cpu_in_use(&self) -> u64 {
        let mut used = 0;
        for worker in self.workers.lock().expect("the workers' lock").iter() {
            let life = worker.life.lock().expect("a worker's lock");
            used += life.running.values().map(|run| run.work.cpu).sum::<u64>();
        }
        used
    }

    fn note(&self, worker: &Worker, task: &str, run: u64, what: &'static str) {
        self.record.line(&format!("worker {}: {task} run {run} {what}", worker.id));
        self.events.lock().expect("the events' lock").push(TaskEvent {
            at: Instant::now(),
            task: task.to_owned(),
            what,
        });
    }

    fn end(&self, worker: &Worker, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.running.remove(task) else { return };
        let number = life.next_end;
        life.next_end += 1;
        life.ended.push(End { number, task: task.to_owned(), run: run.number, how });
        let refused = life.refused_up_to.entry(task.to_owned()).or_default();
        *refused = run.number.max(*refused);
        self.note(worker, task, run.number, how);
        worker.ended.notify_all();
    }

    /// Ends what is due: leases, stops, and runs that have done their work.
    fn tick(&self, worker: &Worker) {
        // Members of a gang may be on several workers.
        let mut present: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
        for other in self.workers.lock().expect("the workers' lock").iter() {
            let life = other.life.lock().expect("a worker's lock");
            for (task, run) in &life.running {
                if run.work.gang > 0 {
                    present.entry(step_run(task, run.number)).or_default().push(run.started_at);
                }
            }
        }
        let mut life = worker.life.lock().expect("a worker's lock");
        let has_lapsed = life.clock_ms() > life.lease_until_ms;
        let now = Instant::now();
        let mut due = Vec::new();
        for (task, run) in &life.running {
            let mut began = run.started_at;
            let mut is_waiting = false;
            if run.work.gang > 0 {
                let members = present.get(&step_run(task, run.number)).cloned().unwrap_or_default();
                is_waiting = members.len() < run.work.gang;
                began = members.into_iter().max().unwrap_or(began).max(began);
            }
            if has_lapsed {
                due.push((task.clone(), "lapsed"));
            } else if run.is_stopping.is_some_and(|at| now >= at) {
                due.push((task.clone(), "stopped"));
            } else if is_waiting {
                if now >= run.started_at + GANG_WAIT {
                    due.push((task.clone(), "alone"));
                }
            } else if now >= began + run.work.run_time {
                due.push((task.clone(), if run.work.is_hopeless { "failed" } else { "done" }));
            }
        }
        for (task, how) in due {
            self.end(worker, &mut life, &task, how);
        }
    }

    fn handle_worker(&self, worker: &Worker, request: &Request) -> Answer {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let mut life = worker.life.lock().expect("a worker's lock");
        let answer = |life: &Life, status: u16, reason: &str| {
            let (clock, born) = (life.clock_ms(), life.born);
            let reason =
                if reason.is_empty() { String::new() } else { format!(",\"reason\":\"{reason}\"") };
            Some((status, format!("{{\"clock_ms\":{clock},\"born\":{born}{reason}}}").into_bytes()))
        };
        let target = request.header("persimmonpier-target-instance");
        if !target.is_empty() && target != worker.id {
            return answer(&life, 421, "");
        }
        let fence = body.get("fencing_token").as_u64().unwrap_or(0);
        if fence < life.fence {
            return answer(&life, 409, "fence");
        }
        life.fence = fence;
        let task = body.get("task").as_str().unwrap_or_default().to_owned();
        let number = body.get("run").as_u64().unwrap_or(0);
        match request.path.as_str() {
            "/persimmonpier/run-start" => {
                life.extend_lease(&body);
                if life.running.get(&task).is_some_and(|run| run.number == number) {
                    return answer(&life, 200, "");
                }
                if life.refused_up_to.get(&task).is_some_and(|refused| number <= *refused) {
                    return answer(&life, 409, "old");
                }
                if body.get("deadline_ms").as_u64().unwrap_or(0) <= life.clock_ms() {
                    return answer(&life, 409, "late");
                }
                let job = task.split('.').next().unwrap_or_default().to_owned();
                let Some(work) = self.work.lock().expect("the work's lock").get(&job).copied()
                else {
                    self.note(worker, &task, number, "start of a job that nobody submitted");
                    return answer(&life, 400, "");
                };
                self.note(worker, &task, number, "start");
                let started_at = Instant::now();
                life.running.insert(task, Run { number, started_at, work, is_stopping: None });
                answer(&life, 200, "")
            }
            "/persimmonpier/run-stop" => {
                let refused = life.refused_up_to.entry(task.clone()).or_default();
                *refused = number.max(*refused);
                if let Some(run) = life.running.get_mut(&task).filter(|run| run.number <= number) {
                    run.is_stopping.get_or_insert(Instant::now() + STOP_GRACE);
                }
                answer(&life, 200, "")
            }
            "/persimmonpier/hold" => {
                life.extend_lease(&body);
                let last_seen = body.get("last_seen").as_u64().unwrap_or(0);
                life.ended.retain(|end| end.number > last_seen);
                let wait_ms = body.get("wait_ms").as_u64().unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait_ms);
                while life.ended.is_empty() && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    life = worker.ended.wait_timeout(life, left).expect("a worker's lock").0;
                }
                Some((200, report(&life).into_bytes()))
            }
            _ => Some((404, Vec::new())),
        }
    }
}

fn report(life: &Life) -> String {
    let mut running = Vec::new();
    for (task, run) in &life.running {
        let done = run.started_at.elapsed().as_millis() * 100;
        let percent = (done / run.work.run_time.as_millis().max(1)).min(99);
        running.push(format!("[\"{task}\",{},\"\",{percent},{}]", run.number, run.work.cpu));
    }
    let mut ended = Vec::new();
    for end in life.ended.iter().take(MAX_LISTED_ENDS) {
        ended.push(format!("[{},\"{}\",{},\"{}\",\"\"]", end.number, end.task, end.run, end.how));
    }
    format!(
        "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
        life.clock_ms(),
        life.born,
        running.join(","),
        ended.join(",")
    )
}

/// Names the run of a step, which the members of a gang share.
fn step_run(task: &str, run: u64) -> String {
    let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
    format!("{step}/{run}")
}
