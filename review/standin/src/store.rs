//! Stand-in for the platform's store: keyed topics with conditional appends.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};

pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
const WORKERS_TOPIC: &str = "keyed.servers";
pub const CELL_TOPIC: &str = "keyed.cell";
/// How long an answer takes.
const ANSWER_MS: u64 = 4;

#[derive(Default)]
struct Topics {
    records: BTreeMap<String, Vec<(String, Vec<u8>)>>,
    /// When each worker last wrote, to remove its entry after three intervals of silence.
    heartbeats: BTreeMap<String, (Instant, u64)>,
}

pub struct Store {
    pub address: String,
    topics: Mutex<Topics>,
    changed: Condvar,
    answer_ms: AtomicU64,
    /// The next read of the workers' topic gets no answer, and its connection stays silent.
    silence_next_worker_read: AtomicBool,
    /// Appends to the cell's topic that have arrived.
    pub cell_appends: AtomicU64,
}

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Store {
            address: listener.local_addr().expect("an address").to_string(),
            topics: Mutex::default(),
            changed: Condvar::new(),
            answer_ms: AtomicU64::new(ANSWER_MS),
            silence_next_worker_read: AtomicBool::new(false),
            cell_appends: AtomicU64::new(0),
        });
        let serving = Arc::clone(&store);
        http::serve(listener, Arc::new(move |request| serving.handle(&request)));
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                expiring.expire_workers();
            }
        });
        store
    }

    /// Lets answers take `factor` times as long as usual.
    pub fn set_slowness(&self, factor: u64) {
        self.answer_ms.store(ANSWER_MS * factor, Ordering::SeqCst);
    }

    /// Silences the connection of the next read of the workers' topic for good.
    pub fn silence_next_worker_read(&self) {
        self.silence_next_worker_read.store(true, Ordering::SeqCst);
    }

    pub fn has_silenced(&self) -> bool {
        !self.silence_next_worker_read.load(Ordering::SeqCst)
    }

    /// Writes a record as the operator does.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().expect("the store's lock");
        let records = topics.records.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.changed.notify_all();
    }

    /// The number of heartbeats of a worker that have been stored.
    pub fn heartbeats(&self, worker: &str) -> u64 {
        let topics = self.topics.lock().expect("the store's lock");
        topics.heartbeats.get(worker).map_or(0, |(_, count)| *count)
    }

    fn expire_workers(&self) {
        let mut topics = self.topics.lock().expect("the store's lock");
        let silent: Vec<String> = topics
            .heartbeats
            .iter()
            .filter(|(_, (at, _))| at.elapsed() > HEARTBEAT * 3)
            .map(|(id, _)| id.clone())
            .collect();
        for id in silent {
            topics.heartbeats.remove(&id);
            let records = topics.records.entry(WORKERS_TOPIC.to_owned()).or_default();
            records.push((id, Vec::new()));
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        let is_read = request.path == "/persimmonpier/log-read";
        if is_read
            && topic == WORKERS_TOPIC
            && self.silence_next_worker_read.swap(false, Ordering::SeqCst)
        {
            return Reply::Silence;
        }
        let (status, body) = match request.path.as_str() {
            "/persimmonpier/log-append" => self.append(&topic, request),
            "/persimmonpier/log-read" => self.read(&topic, request),
            "/persimmonpier/log-newest" => self.newest(&topic),
            _ => (404, Vec::new()),
        };
        thread::sleep(Duration::from_millis(self.answer_ms.load(Ordering::SeqCst)));
        Reply::Answer(status, body)
    }

    fn append(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        if topic == CELL_TOPIC {
            self.cell_appends.fetch_add(1, Ordering::SeqCst);
        }
        let mut topics = self.topics.lock().expect("the store's lock");
        let end = topics.records.get(topic).map_or(0, Vec::len);
        let at = request.query.get("at").and_then(|text| text.parse().ok()).unwrap_or(end);
        if at != end {
            return (412, format!("{{\"end\":{end}}}").into_bytes());
        }
        let mut body = &request.body[..];
        while body.len() >= 4 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let content = &body[4..4 + length];
            let (key, value) = content[1..].split_at(usize::from(content[0]));
            let key = String::from_utf8_lossy(key).into_owned();
            if topic == WORKERS_TOPIC {
                let count = topics.heartbeats.get(&key).map_or(0, |(_, count)| *count);
                topics.heartbeats.insert(key.clone(), (Instant::now(), count + 1));
            }
            topics.records.entry(topic.to_owned()).or_default().push((key, value.to_vec()));
            body = &body[4 + length..];
        }
        self.changed.notify_all();
        let new_end = topics.records.get(topic).map_or(0, Vec::len);
        (200, format!("{{\"offset\":{end},\"end\":{new_end}}}").into_bytes())
    }

    fn read(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        let number = |name: &str| -> u64 {
            request.query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0)
        };
        let from = number("from") as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut topics = self.topics.lock().expect("the store's lock");
        loop {
            let end = topics.records.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                let mut body = (end as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                let records = topics.records.get(topic).map_or(&[][..], |records| &records[..]);
                for (key, value) in records.iter().skip(from) {
                    let length = (1 + key.len() + value.len()) as u32;
                    body.extend_from_slice(&length.to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                return (200, body);
            }
            topics = self.changed.wait_timeout(topics, left).expect("the store's lock").0;
        }
    }

    fn newest(&self, topic: &str) -> (u16, Vec<u8>) {
        let topics = self.topics.lock().expect("the store's lock");
        let records = topics.records.get(topic).map_or(&[][..], |records| &records[..]);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let mut items = Vec::new();
        for (key, (offset, value)) in newest {
            if !value.is_empty() {
                let value = base64(value);
                items.push(format!(
                    "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
                ));
            }
        }
        let (items, end) = (items.join(","), records.len());
        let page = format!("{{\"items\":[{items}],\"has_more\":false,\"end\":{end}}}");
        (200, page.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            if digit > chunk.len() {
                text.push('=');
            } else {
                let index = bits >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            }
        }
    }
    text
}
