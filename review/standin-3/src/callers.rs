//! Callers, and the platform's entry that gives each new connection a host in rotation.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Client, Outcome};
use crate::record::Record;

const CHECK_INTERVAL: Duration = Duration::from_secs(1);
const MISSES: u32 = 2;

struct Entry {
    callers: String,
    ready: String,
    misses: u32,
}

/// The platform's entry: it checks each host once a second, and takes it out after two misses.
pub struct Ingress {
    entries: Mutex<Vec<Entry>>,
}

impl Ingress {
    /// Takes pairs of the callers' address and the readiness address.
    pub fn start(hosts: &[(String, String)]) -> Arc<Self> {
        let mut entries = Vec::new();
        for (callers, ready) in hosts {
            entries.push(Entry { callers: callers.clone(), ready: ready.clone(), misses: 0 });
        }
        let ingress = Arc::new(Self { entries: Mutex::new(entries) });
        for index in 0..hosts.len() {
            let ingress = Arc::clone(&ingress);
            thread::spawn(move || loop {
                let ready = ingress.entries.lock().expect("the entries' lock")[index].ready.clone();
                let mut client = Client::new(&ready, "platform", "");
                let call = client.call("GET", "/persimmonpier/ready", "", CHECK_INTERVAL);
                let is_ready = call.outcome.status() == 200;
                ingress.note(index, is_ready);
                thread::sleep(CHECK_INTERVAL);
            });
        }
        ingress
    }

    fn note(&self, index: usize, is_ready: bool) {
        let entry = &mut self.entries.lock().expect("the entries' lock")[index];
        entry.misses = if is_ready { 0 } else { entry.misses + 1 };
    }

    /// The host for a new connection: one in rotation or, if fewer than half are, any.
    pub fn choose(&self, number: u64) -> String {
        let entries = self.entries.lock().expect("the entries' lock");
        let mut chosen: Vec<&Entry> = entries.iter().filter(|e| e.misses < MISSES).collect();
        if chosen.len() * 2 < entries.len() {
            chosen = entries.iter().collect();
        }
        chosen[(number as usize) % chosen.len()].callers.clone()
    }
}

/// A call as a caller has seen it.
#[derive(Debug, Clone)]
pub struct SeenCall {
    pub address: String,
    pub path: String,
    pub outcome: Outcome,
    pub sent_at: Instant,
    pub ended_at: Instant,
}

/// Callers that submit jobs until they are stopped.
pub struct Load {
    pub calls: Mutex<Vec<SeenCall>>,
    pub is_over: AtomicBool,
    next_job: AtomicU64,
}

/// The pauses of a caller: pseudo-random, from nothing to twice the mean.
struct Pauses {
    state: u64,
    mean: Duration,
}

impl Pauses {
    fn next(&mut self) -> Duration {
        self.state = self
            .state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.mean * 2 * (self.state >> 48) as u32 / 65_536
    }
}

/// What the callers send.
#[derive(Clone)]
pub struct Traffic {
    pub host: String,
    pub key: String,
    pub prefix: String,
    pub body: String,
    pub callers: u64,
    pub pause: Duration,
    pub timeout: Duration,
    /// Attempts for one job, with the same id.
    pub attempts: u64,
}

impl Load {
    /// Starts the callers. `on_job` is told each job's id before it is sent.
    pub fn start(
        ingress: &Arc<Ingress>,
        traffic: &Traffic,
        record: &Arc<Record>,
        on_job: impl Fn(&str) + Send + Sync + 'static,
    ) -> Arc<Self> {
        let load = Arc::new(Self {
            calls: Mutex::default(),
            is_over: AtomicBool::new(false),
            next_job: AtomicU64::new(1),
        });
        let on_job = Arc::new(on_job);
        for caller in 0..traffic.callers {
            let (load, ingress) = (Arc::clone(&load), Arc::clone(ingress));
            let (traffic, record, on_job) =
                (traffic.clone(), Arc::clone(record), Arc::clone(&on_job));
            thread::spawn(move || load.run_caller(caller, &ingress, &traffic, &record, &*on_job));
        }
        load
    }

    fn run_caller(
        &self,
        caller: u64,
        ingress: &Ingress,
        traffic: &Traffic,
        record: &Record,
        on_job: &dyn Fn(&str),
    ) {
        let mut pauses = Pauses { state: caller + 1, mean: traffic.pause };
        thread::sleep(pauses.next());
        let mut client = Client::new(&ingress.choose(caller), &traffic.host, &traffic.key);
        while !self.is_over.load(Ordering::Relaxed) {
            let number = self.next_job.fetch_add(1, Ordering::Relaxed);
            let id = format!("{:016x}", 0x5000_0000_0000_0000 + number);
            on_job(&id);
            let path = format!("{}{id}", traffic.prefix);
            for attempt in 0..traffic.attempts {
                if !client.is_connected() {
                    let address = ingress.choose(caller + attempt);
                    client.move_to(&address);
                }
                let call = client.call("POST", &path, &traffic.body, traffic.timeout);
                let waited = call.ended_at.saturating_duration_since(call.sent_at).as_millis();
                record.line(&format!(
                    "caller {caller}: POST {path} at {}: {} after {waited} ms",
                    client.address,
                    call.outcome.label()
                ));
                let status = call.outcome.status();
                self.calls.lock().expect("the calls' lock").push(SeenCall {
                    address: client.address.clone(),
                    path: path.clone(),
                    outcome: call.outcome,
                    sent_at: call.sent_at,
                    ended_at: call.ended_at,
                });
                if status == 200 || self.is_over.load(Ordering::Relaxed) {
                    break;
                }
                thread::sleep(pauses.next());
            }
            thread::sleep(pauses.next());
        }
    }
}
