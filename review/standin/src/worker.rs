//! Stand-in for a worker: a process of its own that registers itself in the store.
//!
//! `worker ID ADDRESS STORE ZONE LABELS`. The process that starts it reads what it runs from its
//! standard output, and ends it by closing its standard input.

use std::collections::BTreeMap;
use std::io::Read;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Reply, Request};
use crate::json::Json;
use crate::store::HEARTBEAT;

/// The bounds of the site file.
const MAX_HOLD_MS: u64 = 10_000;
const STOP_MS: u64 = 50;
pub const CPU_MILLI: u64 = 16_000;
const MEM_MB: u64 = 65_536;

struct Running {
    started_ms: u64,
    ends_ms: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_until_ms: u64,
    sequence: u64,
    /// By task and run.
    running: BTreeMap<(String, u64), Running>,
    ended: Vec<(u64, String, u64, &'static str)>,
    /// The highest run of each task that was stopped or has ended.
    over: BTreeMap<String, u64>,
}

struct Worker {
    id: String,
    born: u64,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

pub fn main(arguments: &[String]) {
    let [id, address, store, zone, labels] = arguments else {
        panic!("worker ID ADDRESS STORE ZONE LABELS");
    };
    let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis() as u64;
    let worker = Arc::new(Worker {
        id: id.clone(),
        born,
        started: Instant::now(),
        state: Mutex::default(),
        changed: Condvar::new(),
    });
    let listener = TcpListener::bind(address).expect("the worker's address is free");
    let serving = Arc::clone(&worker);
    http::serve(listener, Arc::new(move |request| serving.handle(&request)));
    let ticking = Arc::clone(&worker);
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(3));
            ticking.tick();
        }
    });
    let labels: Vec<String> = labels.split(',').map(|label| format!("\"{label}\"")).collect();
    // The address in the entry may be that of a proxy.
    let listed = std::env::var("LISTED_ADDRESS").unwrap_or_else(|_| address.clone());
    let (heart, id, store, zone) = (Arc::clone(&worker), id.clone(), store.clone(), zone.clone());
    thread::spawn(move || {
        for sequence in 1.. {
            let entry = format!(
                "{{\"service\":\"pool\",\"address\":\"{listed}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\
                 \"capacity\":{{\"cpu\":{CPU_MILLI},\"mem_mb\":{MEM_MB},\"gpu\":0}},\
                 \"labels\":[{}],\"clock_ms\":{},\"seq\":{sequence},\"born\":{}}}",
                labels.join(","),
                heart.clock_ms(),
                heart.born
            );
            let mut body = ((1 + id.len() + entry.len()) as u32).to_be_bytes().to_vec();
            body.push(id.len() as u8);
            body.extend_from_slice(id.as_bytes());
            body.extend_from_slice(entry.as_bytes());
            let path = "/persimmonpier/log-append?topic=keyed.servers&part=0";
            http::call(&store, "POST", path, &[], &body, Duration::from_secs(1));
            thread::sleep(HEARTBEAT);
        }
    });
    println!("up born={born}");
    // Ends with the process that started it.
    let _ = std::io::stdin().read(&mut [0]);
}

/// A number in the text of a job, as in `work_ms=500`.
fn number_in(spec: &str, name: &str) -> Option<u64> {
    let (_, rest) = spec.split_once(&format!("{name}="))?;
    rest.split(';').next()?.parse().ok()
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn end(&self, state: &mut State, key: &(String, u64), how: &'static str) {
        if state.running.remove(key).is_none() {
            return;
        }
        state.sequence += 1;
        let over = state.over.entry(key.0.clone()).or_default();
        *over = (*over).max(key.1);
        state.ended.push((state.sequence, key.0.clone(), key.1, how));
        println!("end task={} run={} how={how}", key.0, key.1);
        self.changed.notify_all();
    }

    fn tick(&self) {
        let now_ms = self.clock_ms();
        let mut state = self.state.lock().expect("the worker's lock");
        let lapsed = now_ms > state.lease_until_ms;
        let due: Vec<((String, u64), &'static str)> = state
            .running
            .iter()
            .filter(|(_, running)| lapsed || now_ms >= running.ends_ms)
            .map(|(key, running)| {
                (key.clone(), if now_ms >= running.ends_ms { running.how } else { "lapsed" })
            })
            .collect();
        for (key, how) in due {
            self.end(&mut state, &key, how);
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        if request.path == "/health" {
            return Reply::Answer(200, Vec::new());
        }
        let target = request.headers.get("persimmonpier-target-instance");
        if target.is_some_and(|target| *target != self.id) {
            return Reply::Answer(421, Vec::new());
        }
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, Vec::new());
        };
        let mut state = self.state.lock().expect("the worker's lock");
        let token = body.get("fencing_token").whole().unwrap_or(0);
        if token < state.fence {
            return self.refusal("fence");
        }
        state.fence = token;
        if let Some(deadline_ms) = body.get("deadline_ms").whole() {
            let longest = self.clock_ms() + MAX_HOLD_MS;
            state.lease_until_ms = state.lease_until_ms.max(deadline_ms.min(longest));
        }
        match request.path.as_str() {
            "/persimmonpier/run-start" => self.start(&mut state, &body),
            "/persimmonpier/run-stop" => self.stop(&mut state, &body),
            "/persimmonpier/hold" => {
                drop(state);
                self.hold(&body)
            }
            _ => Reply::Answer(404, Vec::new()),
        }
    }

    fn refusal(&self, reason: &str) -> Reply {
        let clock_ms = self.clock_ms();
        let body = format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}");
        Reply::Answer(409, body.into_bytes())
    }

    fn done(&self) -> Reply {
        Reply::Answer(200, format!("{{\"clock_ms\":{}}}", self.clock_ms()).into_bytes())
    }

    fn start(&self, state: &mut State, body: &Json) -> Reply {
        let now_ms = self.clock_ms();
        let (task, run) = (body.get("task").text(), body.get("run").whole().unwrap_or(0));
        let key = (task.to_owned(), run);
        if state.running.contains_key(&key) {
            return self.done();
        }
        if state.over.get(task).is_some_and(|over| run <= *over) {
            return self.refusal("old");
        }
        if body.get("deadline_ms").whole().unwrap_or(0) <= now_ms {
            return self.refusal("late");
        }
        let spec = body.get("spec").text();
        let fails = run <= number_in(spec, "failing_runs").unwrap_or(0);
        let work_ms = number_in(spec, "work_ms").unwrap_or(500);
        let how = if fails { "failed" } else { "done" };
        let running = Running { started_ms: now_ms, ends_ms: now_ms + work_ms, how };
        state.running.insert(key, running);
        println!("start task={task} run={run} fence={}", state.fence);
        self.done()
    }

    fn stop(&self, state: &mut State, body: &Json) -> Reply {
        let (task, run) = (body.get("task").text(), body.get("run").whole().unwrap_or(0));
        let over = state.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run);
        let ends_ms = self.clock_ms() + STOP_MS;
        for ((name, number), running) in &mut state.running {
            if name == task && *number <= run && running.how != "stopped" {
                running.ends_ms = running.ends_ms.min(ends_ms);
                running.how = "stopped";
            }
        }
        self.done()
    }

    fn hold(&self, body: &Json) -> Reply {
        let last_seen = body.get("last_seen").whole().unwrap_or(0);
        let wait_ms = body.get("wait_ms").whole().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().expect("the worker's lock");
        // Ends that come while the call waits are listed, whatever their number.
        state.ended.retain(|end| end.0 > last_seen);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !state.ended.is_empty() || left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).expect("the worker's lock").0;
        }
        let now_ms = self.clock_ms();
        let mut rows = Vec::new();
        for ((task, run), running) in &state.running {
            let length_ms = (running.ends_ms - running.started_ms).max(1);
            let percent = (now_ms - running.started_ms) * 100 / length_ms;
            rows.push(format!("[\"{task}\",{run},\"\",{}]", percent.min(99)));
        }
        let mut ends = Vec::new();
        for (sequence, task, run, how) in state.ended.iter().take(500) {
            ends.push(format!("[{sequence},\"{task}\",{run},\"{how}\",\"\"]"));
        }
        let body = format!(
            "{{\"clock_ms\":{now_ms},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.born,
            rows.join(","),
            ends.join(",")
        );
        Reply::Answer(200, body.into_bytes())
    }
}
