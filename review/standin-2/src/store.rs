//! Stand-in for the platform's store: topics with one partition, of keyed records.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Connections, Request, Response};
use crate::json::{Value, object};
use crate::random::Random;

/// How long a response takes, in milliseconds.
const RESPONSE_MS: Range<u64> = 4..5;
/// The same while the store is slow: up to 60 times as long.
const SLOW_RESPONSE_MS: Range<u64> = 20..240;
const APPEND_PATH: &str = "/persimmonpier/log-append";
/// The most records on a page of the newest ones.
const PAGE_ITEMS: usize = 500;

/// The records of a topic: key and value. An empty value removes the key.
type Records = Vec<(String, Vec<u8>)>;

/// A host's way to the store.
pub struct HostAccess {
    pub address: SocketAddr,
    pub connections: Connections,
    /// Whether an append of the host has been carried out and its response is on its way.
    pub is_append_unanswered: Arc<AtomicBool>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    topics: Arc<(Mutex<BTreeMap<String, Records>>, Condvar)>,
    is_slow: Arc<AtomicBool>,
    random: Random,
}

impl Store {
    pub fn new(random: &Random) -> Self {
        Self { topics: Arc::default(), is_slow: Arc::default(), random: random.clone() }
    }

    /// Serves a host on a free loopback port until the process ends.
    pub fn serve(&self) -> HostAccess {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        let is_append_unanswered = Arc::<AtomicBool>::default();
        let unanswered = Arc::clone(&is_append_unanswered);
        let connections =
            http::serve(listener, move |request| Some(store.respond(&request, &unanswered)));
        HostAccess { address, connections, is_append_unanswered }
    }

    /// Makes the store slow, or fast again.
    pub fn set_slow(&self, is_slow: bool) {
        self.is_slow.store(is_slow, Ordering::Relaxed);
    }

    /// Appends a record, as an operator or a worker does.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().expect("no thread panics");
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        changed.notify_all();
    }

    fn respond(&self, request: &Request, is_append_unanswered: &AtomicBool) -> Response {
        let is_slow = self.is_slow.load(Ordering::Relaxed);
        let delay_ms = self.random.in_range(if is_slow { SLOW_RESPONSE_MS } else { RESPONSE_MS });
        // The call is carried out half-way, so that an end of the connection may come after it.
        let half = Duration::from_millis(delay_ms) / 2;
        thread::sleep(half);
        let response = self.carry_out(request);
        let is_append = request.path == APPEND_PATH;
        if is_append {
            is_append_unanswered.store(true, Ordering::Relaxed);
        }
        thread::sleep(half);
        if is_append {
            is_append_unanswered.store(false, Ordering::Relaxed);
        }
        response
    }

    fn carry_out(&self, request: &Request) -> Response {
        let response = match (request.method.as_str(), request.path.as_str()) {
            ("POST", APPEND_PATH) => self.append(request),
            ("GET", "/persimmonpier/log-read") => self.read(request),
            ("GET", "/persimmonpier/log-newest") => self.newest(request),
            _ => None,
        };
        response.unwrap_or((400, Vec::new()))
    }

    fn append(&self, request: &Request) -> Option<Response> {
        let added = decode_records(&request.body)?;
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().expect("no thread panics");
        let records = topics.entry(request.query.get("topic")?.clone()).or_default();
        let offset = records.len();
        if let Some(at) = request.query.get("at")
            && at.parse::<usize>().ok()? != offset
        {
            let body = object([("end", (offset as u64).into())]);
            return Some((412, body.to_string().into_bytes()));
        }
        records.extend(added);
        let end = records.len() as u64;
        changed.notify_all();
        let body = object([("offset", (offset as u64).into()), ("end", end.into())]);
        Some((200, body.to_string().into_bytes()))
    }

    fn read(&self, request: &Request) -> Option<Response> {
        let topic = request.query.get("topic")?;
        let from: usize = request.query.get("from")?.parse().ok()?;
        let wait_ms = request.query.get("wait_ms").map_or(Some(0), |text| text.parse().ok())?;
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().expect("no thread panics");
        loop {
            let records = topics.entry(topic.clone()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    let length = u32::try_from(1 + key.len() + value.len()).ok()?;
                    body.extend(length.to_be_bytes());
                    body.push(u8::try_from(key.len()).ok()?);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return Some((200, body));
            }
            topics = changed.wait_timeout(topics, left).expect("no thread panics").0;
        }
    }

    fn newest(&self, request: &Request) -> Option<Response> {
        let (topics, _) = &*self.topics;
        let mut topics = topics.lock().expect("no thread panics");
        let records = topics.entry(request.query.get("topic")?.clone()).or_default();
        let after = request.query.get("after");
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|key, (_, value)| {
            !value.is_empty() && after.is_none_or(|after| key.as_str() > after.as_str())
        });
        let has_more = newest.len() > PAGE_ITEMS;
        let mut items = Vec::new();
        for (key, (offset, value)) in newest.into_iter().take(PAGE_ITEMS) {
            let value = Value::Text(base64(value));
            let offset = (offset as u64).into();
            items.push(object([
                ("key", key.as_str().into()),
                ("value", value),
                ("offset", offset),
            ]));
        }
        let page = object([
            ("items", items.into()),
            ("has_more", has_more.into()),
            ("end", (records.len() as u64).into()),
        ]);
        Some((200, page.to_string().into_bytes()))
    }
}

fn decode_records(mut body: &[u8]) -> Option<Records> {
    let mut records = Vec::new();
    while let Some((length, rest)) = body.split_first_chunk::<4>() {
        let (content, rest) =
            rest.split_at_checked(usize::try_from(u32::from_be_bytes(*length)).ok()?)?;
        let (key_length, content) = content.split_first()?;
        let (key, value) = content.split_at_checked(usize::from(*key_length))?;
        records.push((String::from_utf8(key.to_vec()).ok()?, value.to_vec()));
        body = rest;
    }
    body.is_empty().then_some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = 0;
        for index in 0..3 {
            group = group << 8 | u32::from(chunk.get(index).copied().unwrap_or_default());
        }
        for index in 0..4 {
            let digit = usize::try_from(group >> (18 - 6 * index) & 63).expect("six bits");
            text.push(if index <= chunk.len() { char::from(DIGITS[digit]) } else { '=' });
        }
    }
    text
}
