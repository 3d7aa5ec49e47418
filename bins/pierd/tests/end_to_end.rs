//! Runs one `pierd` process against the stand-in of the platform, over TCP.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net;
use std::process;
use std::thread;
use std::time;

use persimmonpier::core::keys;
use persimmonpier::link::operator;

const KEY: &str = "key-of-the-retail-team";
const OPERATOR_TOKEN: &str = "token-of-an-operator";
const WAIT_LIMIT: time::Duration = time::Duration::from_secs(20);

fn unused_address() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// A cell of one host with the stand-in of the platform.
struct TestCell {
    // Fields are dropped in this order, so that the host ends before the platform.
    host: Host,
    standin: standin::Standin,
    _directory: tempfile::TempDir,
}

struct Host {
    child: process::Child,
    caller_address: net::SocketAddr,
    operator_address: net::SocketAddr,
}

impl Drop for Host {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl TestCell {
    fn start() -> Self {
        Self::start_with(10_000)
    }

    /// Starts a cell whose hosts shut down within this time.
    fn start_with(drain_limit_ms: u64) -> Self {
        let (callers, peers) = (unused_address(), unused_address());
        let text = format!(
            r#"{{
                address: "127.0.0.1:0", control_address: "127.0.0.1:0", host_list_lag_ms: 100,
                workers: [{{ prefix: "w", count: 2, availability_zone: "zlin",
                    resources: {{ cpu_milli: 16000, memory_mb: 64000, slots: 8, connections: 64 }} }}],
                entry_hosts: [{{ id: "host-1", availability_zone: "zlin", peer_address: "{peers}" }}],
            }}"#
        );
        let settings = standin::Settings::parse(&text).expect("settings of the stand-in");
        let standin = standin::Standin::start(settings).expect("a stand-in");
        let directory = tempfile::tempdir().expect("a directory");
        let file = directory.path().join("pierd.json5");
        let platform = standin.address();
        let hash = keys::KeyHash::of(OPERATOR_TOKEN).to_hex();
        let text = format!(
            r#"{{
                host: "host-1", availability_zone: "zlin",
                caller_address: "{callers}", peer_address: "{peers}",
                log_url: "http://{platform}", host_list_url: "http://{platform}",
                peer_token: "secret-of-the-test-cell", operator_token_sha256: ["{hash}"],
                callers: {{ drain_grace_ms: 300 }}, state: {{ drain_limit_ms: {drain_limit_ms} }},
            }}"#
        );
        fs::write(&file, text).expect("the settings are written");
        let mut child = process::Command::new(env!("CARGO_BIN_EXE_pierd"))
            .arg("--settings")
            .arg(&file)
            .stderr(process::Stdio::piped())
            .spawn()
            .expect("the host starts");
        // The test runner shows the log of the host with the output of a failed test.
        let stderr = child.stderr.take().expect("a pipe");
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                eprintln!("{line}");
            }
        });
        Self {
            host: Host { child, caller_address: callers, operator_address: peers },
            standin,
            _directory: directory,
        }
    }

    /// Tells the host to shut down.
    fn terminate(&self) {
        let pid = self.host.child.id().to_string();
        let sent = process::Command::new("kill").args(["-TERM", &pid]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Waits for the end of the host's process.
    fn exit_code(&mut self) -> Option<i32> {
        let deadline = time::Instant::now() + WAIT_LIMIT;
        loop {
            if let Some(status) = self.host.child.try_wait().expect("the host can be waited for") {
                return status.code();
            }
            assert!(time::Instant::now() < deadline, "the host does not end");
            thread::sleep(time::Duration::from_millis(20));
        }
    }

    /// Applies a declaration with one urgent queue.
    fn apply(&self) {
        let hash = keys::KeyHash::of(KEY).to_hex();
        let text = format!(
            r#"{{
                cell: "test",
                teams: [{{ name: "retail", share: 1, keys: [{{ id: "retail-1", sha256: "{hash}" }}] }}],
                queues: [{{ name: "quote", class: "urgent", teams: ["retail"],
                    resources: {{ cpu_milli: 1000, memory_mb: 500, slots: 1, connections: 1 }} }}],
            }}"#
        );
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let client = operator::OperatorClient::new(
            &self.host.operator_address.to_string(),
            OPERATOR_TOKEN,
            WAIT_LIMIT,
        )
        .expect("a client");
        let applied = runtime.block_on(client.apply(0, "an operator", &text));
        assert!(
            matches!(applied, Ok(operator::ApplyResponse::Applied { version: 1, .. })),
            "{applied:?}"
        );
    }

    fn exchange(&self, text: &str) -> std::io::Result<String> {
        let mut stream = net::TcpStream::connect(self.host.caller_address)?;
        stream.set_read_timeout(Some(WAIT_LIMIT))?;
        stream.write_all(text.as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    }

    fn request(&self, key: &str, payload: &str) -> std::io::Result<String> {
        self.exchange(&format!(
            "POST /v1/queues/quote/tasks HTTP/1.1\r\nhost: p\r\nconnection: close\r\n\
             authorization: Bearer {key}\r\ncontent-length: {}\r\n\r\n{payload}",
            payload.len()
        ))
    }

    fn get(&self, path: &str) -> std::io::Result<String> {
        self.exchange(&format!("GET {path} HTTP/1.1\r\nhost: p\r\nconnection: close\r\n\r\n"))
    }

    fn wait_until_ready(&self) {
        let deadline = time::Instant::now() + WAIT_LIMIT;
        while time::Instant::now() < deadline {
            if self.get("/readyz").is_ok_and(|answer| answer.starts_with("HTTP/1.1 200")) {
                return;
            }
            thread::sleep(time::Duration::from_millis(20));
        }
        panic!("the host does not become ready");
    }

    /// Repeats a request until the answer has the status, because a new declaration and new workers
    /// are not in use at once.
    fn request_until(&self, status: &str, payload: &str) -> String {
        let deadline = time::Instant::now() + WAIT_LIMIT;
        loop {
            let answer = self.request(KEY, payload).expect("an answer");
            if answer.starts_with(&format!("HTTP/1.1 {status}")) {
                return answer;
            }
            assert!(time::Instant::now() < deadline, "{answer}");
            thread::sleep(time::Duration::from_millis(50));
        }
    }
}

/// Guards against a request that is not placed, or whose answer does not come from its worker.
#[test]
fn a_request_is_answered_by_a_worker() {
    let cell = TestCell::start();
    cell.wait_until_ready();
    cell.apply();
    let payload = r#"{"run_ms":20,"answer_bytes":2000,"nonce":"7"}"#;
    let answer = cell.request_until("200", payload);
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head and a body");
    let task = head.lines().find_map(|line| line.strip_prefix("pier-task: "));
    standin::answer::verify(body.as_bytes(), task, payload.as_bytes()).expect("a whole answer");
    assert!(task.is_some(), "{head}");

    let refused = cell.request("another key", payload).expect("an answer");
    assert!(refused.starts_with("HTTP/1.1 401") && refused.contains("bad_key"), "{refused}");
    // The control thread updates the metrics at its next tick.
    for line in [
        "pier_authority 1",
        "pier_declaration_version 1",
        "pier_task_starts_total 1",
        "pier_task_wait_seconds_count{class=\"urgent\"} 1",
    ] {
        let deadline = time::Instant::now() + WAIT_LIMIT;
        loop {
            let metrics = cell.get("/metrics").expect("metrics");
            if metrics.contains(line) {
                break;
            }
            assert!(time::Instant::now() < deadline, "{line} is missing in\n{metrics}");
            thread::sleep(time::Duration::from_millis(20));
        }
    }
}

/// Guards against a shutdown that interrupts an open request, or that does not end the process.
#[test]
fn a_graceful_shutdown_answers_open_requests() {
    let mut cell = TestCell::start();
    cell.wait_until_ready();
    cell.apply();
    cell.request_until("200", "{}");
    thread::scope(|scope| {
        let open = scope.spawn(|| cell.request(KEY, r#"{"run_ms":1500}"#));
        thread::sleep(time::Duration::from_millis(200));
        cell.terminate();
        thread::sleep(time::Duration::from_millis(100));
        let readiness = cell.get("/readyz").expect("still served");
        assert!(readiness.starts_with("HTTP/1.1 503"), "{readiness}");
        let answer = open.join().expect("the caller does not panic").expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    });
    assert_eq!(cell.exit_code(), Some(0));
    drop(cell.standin);
}

/// Guards against a shutdown that closes the connections of requests which have no answer when its
/// time limit has passed.
#[test]
fn a_shutdown_that_is_cut_short_answers_open_requests() {
    let mut cell = TestCell::start_with(1_500);
    cell.wait_until_ready();
    cell.apply();
    cell.request_until("200", "{}");
    thread::scope(|scope| {
        let open = scope.spawn(|| cell.request(KEY, r#"{"run_ms":20000}"#));
        thread::sleep(time::Duration::from_millis(200));
        cell.terminate();
        let answer = open.join().expect("the caller does not panic").expect("an answer");
        assert!(answer.contains(r#""outcome":"unknown""#), "{answer:?}");
    });
    assert_eq!(cell.exit_code(), Some(3));
    drop(cell.standin);
}
