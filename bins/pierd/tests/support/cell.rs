//! A cell of `pierd` processes and the stand-in of their platform.

use std::fs;
use std::net;
use std::process;
use std::time;

use persimmonpier::link::operator;
use standin::audit;

use super::call::{Call, CallOutcome, request};
use super::declaration::{Declaration, KEY, hash};
use super::host::{Host, OPERATOR_TOKEN};
use super::{permit, wait_for};

pub const WORKERS_PER_HOST: usize = 2;
/// Workers are small, so that a load generator uses all of them.
pub const SLOTS_PER_WORKER: usize = 2;

/// The layout of a cell.
#[derive(Debug, Clone, Default)]
pub struct CellOptions {
    /// The third byte of the IP addresses of the hosts and the platform, `127.0.NET.y`.
    pub net: u8,
    /// The number of the zone of each host.
    pub zones: Vec<usize>,
    /// Whether hosts connect to each other through relays of the stand-in, so that the fault
    /// `cut_zones` also separates them.
    pub relayed: bool,
}

/// The addresses of a host.
#[derive(Debug, Clone, Copy)]
struct Addresses {
    callers: net::SocketAddr,
    /// The address for peers that the host list announces.
    peers: net::SocketAddr,
    /// The address for peers that the host binds.
    listen: net::SocketAddr,
}

/// Entry hosts `host-1`, `host-2` and so on in zones `zone-1`, `zone-2` and so on, with workers
/// `w1-1`, `w1-2` and so on in the zone of each host, and version 1 of a declaration.
pub struct Cell {
    // Fields are dropped in this order, so that the hosts end before the platform.
    pub hosts: Vec<Host>,
    standin: standin::Standin,
    _directory: tempfile::TempDir,
    _permit: permit::Permit,
}

impl Cell {
    /// Starts a cell with each host in its own zone, and waits until every host serves requests and
    /// every worker has an owner.
    pub fn start(net: u8, hosts: usize) -> Self {
        Self::start_with(&CellOptions { net, zones: (1..=hosts).collect(), relayed: false })
    }

    /// Starts a cell, and waits until every host serves requests and every worker has an owner.
    pub fn start_with(options: &CellOptions) -> Self {
        let permit = permit::Permit::acquire();
        let directory = tempfile::tempdir().expect("a directory");
        let mut addresses = Vec::new();
        for number in 1..=options.zones.len() {
            let address = format!("127.0.{}.{}", options.net, 10 + number);
            let (callers, peers) = (unused_address(&address), unused_address(&address));
            let listen = if options.relayed { unused_address(&address) } else { peers };
            addresses.push(Addresses { callers, peers, listen });
        }
        let text = platform_settings(options, &addresses);
        let settings = standin::Settings::parse(&text).expect("settings of the stand-in");
        let standin = standin::Standin::start(settings).expect("a stand-in");
        let mut cell = Self { hosts: Vec::new(), standin, _directory: directory, _permit: permit };
        for (index, zone) in options.zones.iter().enumerate() {
            let host = cell.start_host(index + 1, *zone, addresses[index]);
            cell.hosts.push(host);
        }
        cell.wait_until_ready();
        cell
    }

    fn start_host(&self, number: usize, zone: usize, addresses: Addresses) -> Host {
        let id = format!("host-{number}");
        let platform = self.standin.address();
        let Addresses { callers, peers, listen } = addresses;
        let text = format!(
            r#"{{
                host: "{id}", availability_zone: "zone-{zone}",
                caller_address: "{callers}", peer_address: "{peers}",
                peer_listen_address: "{listen}",
                log_url: "http://{platform}", host_list_url: "http://{platform}",
                peer_token: "secret-of-the-test-cell", operator_token_sha256: ["{}"],
                callers: {{ drain_grace_ms: 500 }}, state: {{ drain_limit_ms: 15000 }},
            }}"#,
            hash(OPERATOR_TOKEN)
        );
        let settings = self._directory.path().join(format!("{id}.json5"));
        fs::write(&settings, text).expect("the settings are written");
        let log = self._directory.path().join(format!("{id}.log"));
        let child = process::Command::new(env!("CARGO_BIN_EXE_pierd"))
            .arg("--settings")
            .arg(&settings)
            .stderr(fs::File::create(&log).expect("a log file"))
            .spawn()
            .expect("the host starts");
        Host { id, caller_address: callers, operator_address: listen, child, log }
    }

    fn wait_until_ready(&self) {
        wait_for("every worker is taken over by a member", || {
            let mut owned = 0;
            for host in &self.hosts {
                let Some(status) = host.status() else {
                    return false;
                };
                if !status.is_member || status.members.len() != self.hosts.len() {
                    return false;
                }
                owned += status.workers.iter().filter(|worker| worker.taken_over).count();
            }
            owned == self.hosts.len() * WORKERS_PER_HOST
        });
        let applied = self.hosts[0].apply(0, "an operator", &Declaration::default().to_text());
        assert!(
            matches!(applied, operator::ApplyResponse::Applied { version: 1, .. }),
            "{applied:?}"
        );
        for host in &self.hosts {
            wait_for("the host answers", || {
                let call = Call { key: KEY, run_ms: 10, ..Call::default() };
                matches!(request(host.caller_address, &call), CallOutcome::Answered)
            });
        }
    }

    /// Waits until the version is in force on every host, and returns how long that took.
    pub fn wait_for_version(&self, version: u64) -> time::Duration {
        wait_for("the version is in force on every host", || {
            self.hosts.iter().all(|host| host.version() == version)
        })
    }

    pub fn set_faults(&self, patch: &str) {
        let url = format!("http://{}/control/faults", self.standin.control_address());
        let answer = minreq::post(url).with_body(patch).send().expect("the control port");
        assert_eq!(answer.status_code, 200, "{patch}");
    }

    pub fn mark_zone(&self, zone: &str) {
        let url = format!("http://{}/control/marks", self.standin.control_address());
        let mark = format!(r#"{{"name":"{zone}","availability_zone":"{zone}"}}"#);
        let answer = minreq::post(url).with_body(mark).send().expect("the control port");
        assert_eq!(answer.status_code, 200);
    }

    pub fn audit(&self) -> audit::Report {
        let url = format!("http://{}/control/audit", self.standin.control_address());
        let answer = minreq::get(url).send().expect("the control port");
        serde_json::from_slice(answer.as_bytes()).expect("a report")
    }

    /// Checks the guarantees that every test must keep: P1 (no worker is overcommitted), P2 (no
    /// task runs in two places) and P8 (nothing that is not repeatable runs twice).
    pub fn check_audit(&self) {
        let report = self.audit();
        assert!(report.over_committed_workers.is_empty(), "{:?}", report.over_committed_workers);
        assert_eq!(report.overlapped.count, 0, "in two places: {:?}", report.overlapped);
        let again = &report.not_repeatable_run_again;
        assert_eq!(again.count, 0, "run again: {again:?}");
    }

    /// Resets the largest amounts used by teams in the audit.
    pub fn reset_largest(&self) {
        let url = format!("http://{}/control/largest", self.standin.control_address());
        let answer = minreq::delete(url).send().expect("the control port");
        assert_eq!(answer.status_code, 200);
    }

    /// The audit, with the tasks whose id starts with the prefix selected.
    pub fn audit_of(&self, prefix: &str) -> audit::Report {
        let address = self.standin.control_address();
        let url = format!("http://{address}/control/audit?prefix={prefix}");
        let answer = minreq::get(url).send().expect("the control port");
        serde_json::from_slice(answer.as_bytes()).expect("a report")
    }

    /// The number of task starts that a worker has accepted.
    pub fn starts_on(&self, worker: &str) -> u64 {
        self.audit().workers.get(worker).map_or(0, |amounts| amounts.starts)
    }

    pub fn caller_addresses(&self) -> Vec<net::SocketAddr> {
        self.hosts.iter().map(|host| host.caller_address).collect()
    }
}

fn platform_settings(options: &CellOptions, addresses: &[Addresses]) -> String {
    let (mut workers, mut entry_hosts) = (String::new(), String::new());
    for (index, zone) in options.zones.iter().enumerate() {
        let number = index + 1;
        let Addresses { peers, listen, .. } = addresses[index];
        let mut relay = String::new();
        if options.relayed {
            relay = format!(r#"relay_to: "{listen}","#);
        }
        workers += &format!(
            r#"{{ prefix: "w{number}", count: {WORKERS_PER_HOST},
                availability_zone: "zone-{zone}", resources: {{ cpu_milli: 16000,
                memory_mb: 64000, slots: {SLOTS_PER_WORKER}, connections: 64 }} }},"#
        );
        entry_hosts += &format!(
            r#"{{ id: "host-{number}", availability_zone: "zone-{zone}", {relay}
                peer_address: "{peers}" }},"#
        );
    }
    let net = options.net;
    format!(
        r#"{{
            address: "127.0.{net}.1:0", control_address: "127.0.{net}.1:0", threads: 8,
            workers: [{workers}], entry_hosts: [{entry_hosts}],
        }}"#
    )
}

fn unused_address(address: &str) -> net::SocketAddr {
    let listener = net::TcpListener::bind((address, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}
