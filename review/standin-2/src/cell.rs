//! A small deployment: host processes with the commands and settings of the deploy file.

use std::env;
use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{self, Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Call;
use crate::record::Record;
use crate::store::{HostAccess, Store};

const PROGRAM: &str = "target/release/pier-platform";
const START_LIMIT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A host process. It is killed when dropped.
pub struct Host {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    process: Child,
    store_access: HostAccess,
}

impl Drop for Host {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Host {
    fn status(&self, path: &str) -> Option<(u16, String)> {
        let timeout = CALL_TIMEOUT;
        Call { method: "GET", address: self.ready, path, headers: &[], body: "", timeout }.send()
    }

    /// Whether the host decides, as its metrics show it.
    pub fn is_decider(&self) -> bool {
        self.status("/metrics").is_some_and(|(_, text)| text.contains("pier_is_decider 1"))
    }

    /// Waits until an append of the host has been carried out and its response is on its way.
    pub fn wait_for_unanswered_append(&self, limit: Duration) {
        let until = Instant::now() + limit;
        while !self.store_access.is_append_unanswered.load(Ordering::Relaxed)
            && Instant::now() < until
        {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Ends all of the host's connections to the store.
    pub fn reset_store_connections(&self) {
        self.store_access.connections.reset();
    }

    /// Sends a signal, by the name that the command `kill` knows.
    pub fn signal(&self, name: &str) {
        let pid = self.process.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(status.is_ok_and(|status| status.success()), "the signal is sent");
    }
}

/// The hosts of a deployment.
pub struct Cell {
    pub hosts: Vec<Host>,
}

impl Cell {
    /// Starts a host in each zone and waits until all are ready.
    pub fn start(zones: &[&str], store: &Store, folder: &Path, record: &Record) -> Option<Self> {
        let mut hosts = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            hosts.push(start_host(index, zone, store, folder).ok()?);
        }
        let cell = Self { hosts };
        let until = Instant::now() + START_LIMIT;
        let is_ready = |host: &Host| {
            host.status("/persimmonpier/ready").is_some_and(|(status, _)| status == 200)
        };
        while !cell.hosts.iter().all(is_ready) {
            if Instant::now() >= until {
                return None;
            }
            thread::sleep(POLL_INTERVAL);
        }
        record.write(&format!("{} hosts are ready", cell.hosts.len()));
        Some(cell)
    }

    /// The index of the host that decides.
    pub fn decider(&self) -> Option<usize> {
        self.hosts.iter().position(Host::is_decider)
    }
}

/// A loopback address that stays free until its process binds it: outgoing connections use ports of
/// 127.0.0.1, and each host has another address.
fn free_address(host: usize) -> std::io::Result<SocketAddr> {
    let [high, low] = [process::id() / 250 % 250, process::id() % 250];
    TcpListener::bind(format!("127.{}.{}.{}:0", high + 1, low + 1, host + 1))?.local_addr()
}

/// Adds the process to those that the script ends in any case.
fn note_process(process: &Child) -> std::io::Result<()> {
    let Some(file) = env::var_os("REVIEW_PIDS") else {
        return Ok(());
    };
    let mut file = fs::File::options().append(true).open(file)?;
    writeln!(file, "{}", process.id())
}

fn start_host(index: usize, zone: &str, store: &Store, folder: &Path) -> std::io::Result<Host> {
    let name = format!("front-{zone}-1");
    let (callers, ready) = (free_address(index)?, free_address(index)?);
    let (peers, metrics) = (free_address(index)?, free_address(index)?);
    let store_access = store.serve();
    let store_address = store_access.address;
    let settings = format!(
        r#"{{
  host: "{name}",
  zone: "{zone}",
  callers_listen: "{callers}",
  ready_listen: "{ready}",
  peers_listen: "{peers}",
  metrics_listen: "{metrics}",
  store_address: "{store_address}",
  longest_lease_ms: 10000,
  revocation_bound_ms: 5000,
  remember_ended_s: 120,
  shutdown_grace_ms: 6000,
  processor_share: 0.25,
  most_descriptors: 4100,
  longest_record_bytes: 262144,
  longest_append_bytes: 2097152,
  remote_slowdown: 3,
  log_filter: "info",
}}
"#
    );
    let file: PathBuf = folder.join(format!("{name}.json5"));
    fs::write(&file, settings)?;
    let log = fs::File::create(folder.join(format!("{name}.log")))?;
    let process = Command::new(PROGRAM)
        .arg("--settings")
        .arg(&file)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()?;
    note_process(&process)?;
    Ok(Host { name, zone: zone.to_owned(), callers, ready, process, store_access })
}
