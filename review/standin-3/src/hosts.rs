//! The project's hosts as separate processes, started with the command of the deploy file.

use std::fs;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Client;

const PROGRAM: &str = "target/release/pier-platform";

pub struct Host {
    pub name: String,
    pub callers: String,
    pub ready: String,
    settings: PathBuf,
    child: Option<Child>,
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

static NEXT_ADDRESS: AtomicUsize = AtomicUsize::new(1);

/// Returns an address that stays free until its process binds it: outgoing connections take their
/// ports from 127.0.0.1, and each listener gets a loopback address of its own.
fn free_address() -> String {
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let ip = format!("127.{}.{}.{number}", 1 + process / 250 % 250, 1 + process % 250);
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
    listener.local_addr().expect("an address").to_string()
}

impl Host {
    /// Writes the settings as the deploy file's template has them, and starts the process.
    pub fn start(folder: &Path, index: usize, store: &str) -> std::io::Result<Self> {
        let name = format!("front-north-{}", index + 1);
        let (callers, ready) = (free_address(), free_address());
        let text = format!(
            "{{ host: \"{name}\", zone: \"north\", callers_listen: \"{callers}\", \
             ready_listen: \"{ready}\", peers_listen: \"{}\", metrics_listen: \"{}\", \
             store_address: \"{store}\", longest_lease_ms: 10000, revocation_bound_ms: 5000, \
             remember_ended_s: 120, shutdown_grace_ms: 6000, processor_share: 0.25, \
             most_descriptors: 4100, longest_record_bytes: 262144, \
             longest_append_bytes: 2097152, remote_slowdown: 3, log_filter: \"info\" }}",
            free_address(),
            free_address()
        );
        let settings = folder.join(format!("{name}.json5"));
        fs::write(&settings, text)?;
        let mut host = Self { name, callers, ready, settings, child: None };
        host.spawn()?;
        Ok(host)
    }

    pub fn spawn(&mut self) -> std::io::Result<()> {
        let log = self.settings.with_extension("log");
        let log = fs::File::options().create(true).append(true).open(log)?;
        let child = Command::new(PROGRAM)
            .arg("--settings")
            .arg(&self.settings)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, such as `TERM` or `STOP`.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ =
                Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let mut client = Client::new(&self.ready, "platform", "");
        let call = client.call("GET", "/persimmonpier/ready", "", Duration::from_millis(500));
        call.outcome.status() == 200
    }
}

/// Waits until all hosts are ready.
pub fn wait_until_ready(hosts: &[Host], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if hosts.iter().all(Host::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
