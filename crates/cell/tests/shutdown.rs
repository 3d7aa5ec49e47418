//! Shutdown of hosts, whose callers go on sending requests over their open connections.

mod sim;

use std::collections::BTreeMap;

use rand::Rng;

use sim::invariants::check_invariants;
use sim::{Sim, step};

const HOSTS: usize = 4;
/// The interval between the requests at each host.
const INTERVAL_MS: u64 = 40;
/// A change of the decider takes less. Without a decider no request is held for longer.
const MAX_WAIT_MS: u64 = 900;
/// From the signal to the end of a process.
const MAX_SHUTDOWN_MS: u64 = 5_500;

/// When each request was sent, and how long it waited for its response.
#[derive(Default)]
struct Requests {
    sent_ms: BTreeMap<String, u64>,
    waited_ms: BTreeMap<String, u64>,
}

impl Requests {
    /// Sends a request to each host that is up, and runs the simulation until the next ones are due.
    fn send(&mut self, sim: &mut Sim) {
        let mut sent = Vec::new();
        for host in 0..HOSTS {
            if sim.hosts[host].process.is_some() {
                let id = format!("{:016x}", self.sent_ms.len() + sent.len());
                sim.submit(host, &id, "urgent", vec![step(1, 1)]);
                sent.push((host, id));
            }
        }
        let sent_at_ms = sim.now_ms;
        sim.run_for(2);
        for (host, id) in sent {
            // A process that has ended did not receive the request.
            if sim.hosts[host].process.is_some() {
                self.sent_ms.insert(id, sent_at_ms);
            }
        }
        self.wait(sim, INTERVAL_MS - 2);
    }

    /// Runs the simulation and notes the responses.
    fn wait(&mut self, sim: &mut Sim, millis: u64) {
        sim.run_for(millis);
        for (id, sent_at_ms) in &self.sent_ms {
            if sim.observed.responses.contains_key(id) && !self.waited_ms.contains_key(id) {
                self.waited_ms.insert(id.clone(), sim.now_ms - sent_at_ms);
            }
        }
    }
}

/// Guards against connections that close without a response because hosts shut down (review/13), in
/// any order, with and without a host that stays, and while the store is away.
#[test]
fn every_request_gets_a_response_while_hosts_shut_down() {
    for seed in 0..24 {
        let mut sim = Sim::new(seed, HOSTS, 4);
        sim.run_for(2_000);
        let gap_ms = [0, 400, 1_300][usize::try_from(seed % 3).expect("a small number")];
        let stopped = HOSTS - usize::from(seed % 4 == 3);
        let store_down_ms = (seed % 5 == 4).then(|| sim.rng.random_range(0..6_000));
        let first = sim.rng.random_range(0..HOSTS);
        let began_ms = sim.now_ms;
        let last_signal_ms = began_ms + gap_ms * (stopped as u64 - 1);
        let mut signalled = 0;
        let mut requests = Requests::default();
        while sim.now_ms < last_signal_ms + MAX_SHUTDOWN_MS + 1_000 {
            while signalled < stopped && sim.now_ms >= began_ms + gap_ms * signalled as u64 {
                sim.shut_down_host((first + signalled) % HOSTS);
                signalled += 1;
            }
            sim.is_store_down |= store_down_ms.is_some_and(|at| sim.now_ms >= began_ms + at);
            requests.send(&mut sim);
        }
        requests.wait(&mut sim, 3_000);
        let running = sim.hosts.iter().filter(|host| host.process.is_some()).count();
        assert_eq!(running, HOSTS - stopped, "seed {seed}: processes that have not ended");
        for (id, sent_at_ms) in &requests.sent_ms {
            let waited_ms = requests.waited_ms.get(id);
            assert!(waited_ms.is_some(), "seed {seed}: no response to {id}, {sent_at_ms} ms");
            let is_without_decider = stopped == HOSTS && *sent_at_ms > last_signal_ms + MAX_WAIT_MS;
            if store_down_ms.is_none() && is_without_decider {
                let waited_ms = waited_ms.copied().unwrap_or_default();
                assert!(waited_ms <= 2 * INTERVAL_MS, "seed {seed}: {id} waited {waited_ms} ms");
            }
        }
        sim.is_store_down = false;
        for host in 0..HOSTS {
            sim.kill_host(host);
            sim.start_host(host);
        }
        sim.run_for(30_000);
        check_invariants(&sim);
    }
}
