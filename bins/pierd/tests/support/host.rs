//! One `pierd` process and its operators.

use std::fs;
use std::net;
use std::path;
use std::process;
use std::thread;
use std::time;

use persimmonpier::link::operator;
use persimmonpier::state::report;
use rustix::process as signals;

use super::POLL_INTERVAL;
use super::call::CALL_LIMIT;

pub const OPERATOR_TOKEN: &str = "token-of-an-operator";

pub struct Host {
    pub id: String,
    pub callers: net::SocketAddr,
    pub peers: net::SocketAddr,
    pub child: process::Child,
    pub log: path::PathBuf,
}

impl Drop for Host {
    fn drop(&mut self) {
        // The process may have ended already. SIGKILL also ends a stopped process.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            let log = fs::read_to_string(&self.log).unwrap_or_default();
            let lines: Vec<_> = log.lines().collect();
            for line in &lines[lines.len().saturating_sub(20)..] {
                eprintln!("{}: {line}", self.id);
            }
        }
    }
}

impl Host {
    /// Sends a signal to the process, which this test has started and not yet waited for.
    pub fn signal(&self, signal: signals::Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        let pid = signals::Pid::from_raw(id).expect("a process id above zero");
        signals::kill_process(pid, signal).expect("the process is there");
    }

    /// The exit code; none if a signal ended the process or the time is over.
    pub fn exit_code(&mut self, limit: time::Duration) -> Option<i32> {
        let end = time::Instant::now() + limit;
        while time::Instant::now() < end {
            if let Some(status) = self.child.try_wait().expect("the process is there") {
                return status.code();
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }

    fn client(&self) -> operator::OperatorClient {
        operator::OperatorClient::new(&self.peers.to_string(), OPERATOR_TOKEN, CALL_LIMIT)
            .expect("a client")
    }

    pub fn status(&self) -> Option<report::Status> {
        runtime().block_on(self.client().status()).ok()
    }

    pub fn version(&self) -> u64 {
        self.status().map_or(0, |status| status.version)
    }

    pub fn shown(&self) -> operator::ShowResponse {
        runtime().block_on(self.client().show()).expect("the declaration")
    }

    /// The versions in the audit trail.
    pub fn audited_versions(&self) -> Vec<u64> {
        let trail = runtime().block_on(self.client().audit()).expect("the audit trail");
        trail.iter().map(|record| record.version).collect()
    }

    pub fn apply(&self, base_version: u64, author: &str, text: &str) -> operator::ApplyResponse {
        runtime()
            .block_on(self.client().apply(base_version, author, text))
            .expect("a certain answer to the apply")
    }

    /// The workers that the host owns and has taken over.
    pub fn workers(&self) -> Vec<String> {
        let mut workers = Vec::new();
        for worker in self.status().map(|status| status.workers).unwrap_or_default() {
            if worker.taken_over {
                workers.push(worker.worker.to_string());
            }
        }
        workers
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime")
}
