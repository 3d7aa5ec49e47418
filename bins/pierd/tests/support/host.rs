//! A `pierd` process and the operator calls to it.

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
use super::call::CALL_TIMEOUT;

pub const OPERATOR_TOKEN: &str = "token-of-an-operator";

pub struct Host {
    pub id: String,
    pub caller_address: net::SocketAddr,
    pub operator_address: net::SocketAddr,
    pub child: process::Child,
    pub log: path::PathBuf,
}

impl Drop for Host {
    fn drop(&mut self) {
        // The process may have exited already. SIGKILL also ends a stopped process.
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
    /// Sends a signal to the process. The process id is valid, because the test started the process
    /// and has not yet waited for it.
    pub fn signal(&self, signal: signals::Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        let pid = signals::Pid::from_raw(id).expect("a process id above zero");
        signals::kill_process(pid, signal).expect("the process is there");
    }

    /// Waits for the exit code. None if a signal ended the process or the time limit expired.
    pub fn exit_code(&mut self, limit: time::Duration) -> Option<i32> {
        let deadline = time::Instant::now() + limit;
        while time::Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("the process is there") {
                return status.code();
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }

    fn client(&self) -> operator::OperatorClient {
        operator::OperatorClient::new(
            &self.operator_address.to_string(),
            OPERATOR_TOKEN,
            CALL_TIMEOUT,
        )
        .expect("a client")
    }

    pub fn status(&self) -> Option<report::Status> {
        runtime().block_on(self.client().status()).ok()
    }

    pub fn version(&self) -> u64 {
        self.status().map_or(0, |status| status.version)
    }

    pub fn declaration(&self) -> operator::ShowResponse {
        runtime().block_on(self.client().show()).expect("the declaration")
    }

    /// The declaration versions in the audit trail.
    pub fn audited_versions(&self) -> Vec<u64> {
        let trail = runtime().block_on(self.client().audit()).expect("the audit trail");
        trail.iter().map(|record| record.version).collect()
    }

    pub fn apply(&self, base_version: u64, author: &str, text: &str) -> operator::ApplyResponse {
        runtime()
            .block_on(self.client().apply(base_version, author, text))
            .expect("a certain answer to the apply")
    }

    /// The workers that the host owns and whose takeover is complete.
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
