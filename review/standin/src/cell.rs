//! A small deployment: the store, hosts and workers as processes, and the record of a case.

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::proxy::Proxy;
use crate::store::Store;

/// A case ends by itself after this time, with the exit code for one that could not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);
const READY_LIMIT: Duration = Duration::from_secs(20);
pub const QUEUE_HOST: &str = "orders.example";
pub const PREFIX: &str = "/jobs/";
pub const KEY: &str = "key-1";
const ZONES: [&str; 3] = ["north", "east", "south"];

/// The record of a case and the processes that it has started.
pub struct Log {
    started: Instant,
    file: Mutex<File>,
    children: Mutex<Vec<Child>>,
    folder: PathBuf,
}

impl Log {
    pub fn start(record: &Path) -> Arc<Log> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let log = Arc::new(Log {
            started: Instant::now(),
            file: Mutex::new(File::create(record).expect("the record is written")),
            children: Mutex::default(),
            folder,
        });
        let limiting = Arc::clone(&log);
        thread::spawn(move || {
            thread::sleep(TIME_LIMIT);
            limiting.write("the case took too long");
            limiting.finish(2);
        });
        log
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn write(&self, line: &str) {
        let line = format!("{:>7} ms  {line}\n", self.now_ms());
        self.file.lock().expect("the record's lock").write_all(line.as_bytes()).expect("a record");
    }

    /// Ends the processes that the case has started, and the case itself.
    pub fn finish(&self, code: i32) -> ! {
        for child in self.children.lock().expect("the children's lock").iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
        std::process::exit(code)
    }

    fn adopt(&self, child: Child) -> u32 {
        let id = child.id();
        self.children.lock().expect("the children's lock").push(child);
        id
    }

    /// Kills one of the processes that this case has started.
    fn kill(&self, id: u32) {
        for child in self.children.lock().expect("the children's lock").iter_mut() {
            if child.id() == id {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// What a worker's process has printed: the time, the worker and the line.
pub type Events = Arc<Mutex<Vec<(u64, String, String)>>>;

pub struct WorkerProcess {
    pub id: String,
    pub labels: String,
    address: String,
    zone: &'static str,
    process: u32,
    pub proxy: Option<Proxy>,
}

impl WorkerProcess {
    /// The worker's entry in the store without the start of its life.
    pub fn entry_without_born(&self) -> String {
        let labels: Vec<String> =
            self.labels.split(',').map(|label| format!("\"{label}\"")).collect();
        format!(
            "{{\"service\":\"pool\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\
             \"capacity\":{{\"cpu\":{},\"mem_mb\":65536,\"gpu\":0}},\"labels\":[{}],\
             \"clock_ms\":0,\"seq\":1}}",
            self.address,
            self.zone,
            crate::worker::CPU_MILLI,
            labels.join(",")
        )
    }
}

#[derive(Clone)]
pub struct HostProcess {
    pub name: String,
    pub callers: String,
    pub ready: String,
    settings: PathBuf,
    process: u32,
}

pub struct Cell {
    pub log: Arc<Log>,
    pub store: Arc<Store>,
    pub hosts: Vec<HostProcess>,
    pub workers: Vec<WorkerProcess>,
    pub events: Events,
}

/// An address on a loopback address of this process's own, which no other process takes.
fn free_address(number: usize) -> String {
    let ip = format!("127.{}.0.{}", 1 + std::process::id() % 250, number + 2);
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
    listener.local_addr().expect("an address").to_string()
}

/// The operator's config with one queue, which may be left out.
pub fn config(version: u64, has_queue: bool) -> String {
    let queue = format!(
        "{{\"name\":\"r-orders\",\"host\":\"{QUEUE_HOST}\",\"path_prefix\":\"{PREFIX}\",\
         \"kind\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":1,\
         \"service\":\"pool\",\"max_attempts\":4,\"slack_factor\":4.0,\"public\":false}},"
    );
    let queue = if has_queue { queue } else { String::new() };
    format!(
        "{{\"version\":{version},\"routes\":[{queue}\
         {{\"name\":\"r-other\",\"host\":\"other.example\",\"path_prefix\":\"/other/\",\
         \"kind\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":1,\
         \"service\":\"pool\",\"max_attempts\":4,\"slack_factor\":4.0,\"public\":false}}],\
         \"services\":[{{\"name\":\"pool\",\"admission_check\":false,\"standby\":false}}],\
         \"limits\":{{\"max_body_bytes\":262144}},\
         \"tenants\":[{{\"name\":\"team\",\"api_keys\":[\"{KEY}\"],\"weight\":32,\
         \"cap\":{{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}}}]}}"
    )
}

impl Cell {
    /// Starts the store, the workers and the hosts. `labels` gives each worker's labels; the last
    /// one is its rack. Workers of which `is_proxied` is true are reached through a proxy.
    pub fn start(
        log: &Arc<Log>,
        hosts: usize,
        labels: &[String],
        is_proxied: impl Fn(usize) -> bool,
    ) -> Cell {
        let store = Store::start();
        store.write("keyed.op", "config", &config(3, true));
        let mut cell = Cell {
            log: Arc::clone(log),
            store,
            hosts: Vec::new(),
            workers: Vec::new(),
            events: Events::default(),
        };
        for (index, labels) in labels.iter().enumerate() {
            let address = free_address(index);
            let proxy = is_proxied(index).then(|| Proxy::start(&address));
            let worker = WorkerProcess {
                id: format!("i-{index:08x}"),
                labels: labels.clone(),
                address,
                zone: ZONES[index % ZONES.len()],
                process: 0,
                proxy,
            };
            cell.workers.push(worker);
            cell.start_worker(index);
            // Workers report at different times.
            thread::sleep(Duration::from_millis(120));
        }
        for index in 0..hosts {
            let first = 100 + index * 4;
            let (callers, ready) = (free_address(first), free_address(first + 1));
            let (peers, metrics) = (free_address(first + 2), free_address(first + 3));
            let name = format!("front-{}-{index}", ZONES[index % ZONES.len()]);
            let settings = log.folder.join(format!("{name}.json5"));
            // What the deploy file's template gives for a machine of the site.
            let text = format!(
                "{{host: \"{name}\", zone: \"{}\", callers_listen: \"{callers}\",\n\
                 ready_listen: \"{ready}\", peers_listen: \"{peers}\",\n\
                 metrics_listen: \"{metrics}\", store_address: \"{}\",\n\
                 longest_lease_ms: 10000, revocation_bound_ms: 5000, remember_ended_s: 120,\n\
                 shutdown_grace_ms: 6000, processor_share: 0.25, most_descriptors: 4100,\n\
                 longest_record_bytes: 262144, longest_append_bytes: 2097152,\n\
                 remote_slowdown: 3, log_filter: \"info\"}}\n",
                ZONES[index % ZONES.len()],
                cell.store.address,
            );
            fs::write(&settings, text).expect("the settings are written");
            cell.hosts.push(HostProcess { name, callers, ready, settings, process: 0 });
            cell.start_host(index);
        }
        for index in 0..hosts {
            cell.wait_until_ready(index);
        }
        cell
    }

    pub fn start_host(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let output = File::options()
            .create(true)
            .append(true)
            .open(host.settings.with_extension("log"))
            .expect("the host's log");
        let child = Command::new("target/release/pier-platform")
            .arg("--settings")
            .arg(&host.settings)
            .env("PERSIMMONPIER_NODE_FILE", &host.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .spawn();
        let Ok(child) = child else {
            self.log.write("target/release/pier-platform is missing");
            self.log.finish(2);
        };
        host.process = self.log.adopt(child);
        self.log.write(&format!("{} starts", host.name));
    }

    pub fn kill_host(&self, index: usize) {
        self.log.write(&format!("{} is killed", self.hosts[index].name));
        self.log.kill(self.hosts[index].process);
    }

    /// Waits until the host is ready for callers.
    pub fn wait_until_ready(&self, index: usize) {
        let host = &self.hosts[index];
        let until = Instant::now() + READY_LIMIT;
        let path = "/persimmonpier/ready";
        while Instant::now() < until {
            let answer = http::call(&host.ready, "GET", path, &[], &[], Duration::from_millis(500));
            if answer.is_some_and(|(status, _)| status == 200) {
                self.log.write(&format!("{} is ready", host.name));
                return;
            }
            thread::sleep(Duration::from_millis(2));
        }
        self.log.write(&format!("{} is not ready", host.name));
        self.log.finish(2);
    }

    /// The host whose metrics show it as the decider.
    pub fn decider(&self) -> usize {
        let until = Instant::now() + READY_LIMIT;
        while Instant::now() < until {
            for (index, host) in self.hosts.iter().enumerate() {
                let answer = http::call(
                    &host.ready,
                    "GET",
                    "/metrics",
                    &[],
                    &[],
                    Duration::from_millis(500),
                );
                if answer.is_some_and(|(_, text)| text.contains("pier_is_decider 1")) {
                    return index;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.log.write("no host decides");
        self.log.finish(2);
    }

    /// Starts the process of a worker, also once more under its id and address.
    pub fn start_worker(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        let listed = worker.proxy.as_ref().map_or(&worker.address, |proxy| &proxy.address);
        let mut child = Command::new(std::env::current_exe().expect("the path of the stand-in"))
            .args(["worker", &worker.id, &worker.address, &self.store.address])
            .args([worker.zone, &worker.labels])
            .env("LISTED_ADDRESS", listed)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the worker starts");
        let output = child.stdout.take().expect("the worker's output");
        let (log, events, id) =
            (Arc::clone(&self.log), Arc::clone(&self.events), worker.id.clone());
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                log.write(&format!("worker {id}: {line}"));
                events.lock().expect("the events' lock").push((log.now_ms(), id.clone(), line));
            }
            log.write(&format!("worker {id}: gone"));
            let gone = (log.now_ms(), id, "gone".to_owned());
            events.lock().expect("the events' lock").push(gone);
        });
        worker.process = self.log.adopt(child);
    }

    pub fn kill_worker(&self, index: usize) {
        self.log.write(&format!("worker {} is killed", self.workers[index].id));
        self.log.kill(self.workers[index].process);
    }

    /// A client's call for a job. Returns the status and the body; none without an answer.
    pub fn call(&self, host: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        call(&self.log, &self.hosts[host], method, id, body)
    }

    /// Whether a worker has said that it started a task of the job.
    pub fn has_started(&self, job: &str) -> bool {
        let start = format!("start task={job}.");
        let events = self.events.lock().expect("the events' lock");
        events.iter().any(|(_, _, line)| line.starts_with(&start))
    }

    /// Hands a job in at one host after the other until it is accepted.
    pub fn submit(&self, id: &str, body: &str) {
        for attempt in 0..40 {
            let answer = self.call(attempt % self.hosts.len(), "POST", id, body);
            if answer.is_some_and(|(status, _)| status == 200) {
                return;
            }
            thread::sleep(Duration::from_millis(250));
        }
        self.log.write("no host accepts the job");
        self.log.finish(2);
    }

    /// Copies the hosts' log lines that contain one of the words into the record.
    pub fn write_host_lines(&self, words: &[&str]) {
        for host in &self.hosts {
            let text = fs::read_to_string(host.settings.with_extension("log")).unwrap_or_default();
            for line in text.lines().filter(|line| words.iter().any(|word| line.contains(word))) {
                self.log.write(&format!("log of {}: {line}", host.name));
            }
        }
    }
}

pub fn call(
    log: &Log,
    host: &HostProcess,
    method: &str,
    id: &str,
    body: &str,
) -> Option<(u16, String)> {
    let headers = [
        ("host", QUEUE_HOST),
        ("x-api-key", KEY),
        ("content-type", "application/json"),
        ("persimmonpier-deadline-ms", "3000"),
    ];
    let sent_ms = log.now_ms();
    let path = format!("{PREFIX}{id}");
    let timeout = Duration::from_millis(3_000);
    let answer = http::call(&host.callers, method, &path, &headers, body.as_bytes(), timeout);
    let shown =
        answer.as_ref().map_or("no answer".to_owned(), |(status, body)| format!("{status} {body}"));
    log.write(&format!("{method} {id} at {}, sent at {sent_ms} ms: {shown}", host.name));
    answer
}

/// The body of a job with one step.
pub fn job(spec: &str, count: usize, cpu: u64, label: &str) -> String {
    let label =
        if label.is_empty() { String::new() } else { format!(",\"requirements\":\"{label}\"") };
    format!(
        "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":256,\
         \"est_runtime_ms\":1000{label}}}]}}"
    )
}
