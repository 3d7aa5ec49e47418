//! The processes of the hosts and the connections between them.

use std::sync;

use pier_cell::event::Event;
use pier_cell::host::{Host, HostIdentity};
use pier_cell::peer::{Message, PeerInfo};
use pier_core::ids;

use crate::sim::{RECONNECT_DELAY_MS, Scheduled, Sim};

/// A host's process and the faults that are injected into it.
pub struct SimHost {
    pub name: String,
    pub process: Option<Host>,
    pub process_number: u64,
    /// The process is paused until then.
    pub paused_until_ms: u64,
    pub is_store_unreachable: bool,
    /// The store refuses the host's appends at once.
    pub is_refused_by_store: bool,
    /// The store refuses all calls of the host at once, as it does when it serves only some hosts.
    pub is_turned_away: bool,
    pub connected_to: Option<usize>,
    /// The host to which the transport keeps a connection.
    pub(super) connection_target: Option<usize>,
    pub core_permille: u32,
    /// Issues the tickets of the callers' requests to the process.
    pub(super) tickets: ids::TicketSequence,
    pub(super) wake_at_ms: u64,
}

impl Sim {
    pub fn start_host(&mut self, index: usize) {
        self.next_process += 1;
        let identity = HostIdentity {
            host: self.hosts[index].name.as_str().into(),
            address: index.to_string().into(),
            incarnation: incarnation(self.next_process),
            core_permille: self.hosts[index].core_permille,
        };
        let host = &mut self.hosts[index];
        host.tickets = ids::TicketSequence::new(identity.incarnation);
        host.process = Some(Host::new(identity, self.options.clone()));
        host.process_number = self.next_process;
        host.wake_at_ms = self.now_ms;
        host.connected_to = None;
        host.connection_target = None;
    }

    pub fn kill_host(&mut self, index: usize) {
        self.suspend_waits();
        self.hosts[index].process = None;
        self.hosts[index].connected_to = None;
        for other in 0..self.hosts.len() {
            if self.hosts[other].connected_to == Some(index) {
                self.break_connection(other);
            }
        }
        for other in 0..self.hosts.len() {
            let disconnected =
                Event::PeerDisconnected { host: self.hosts[index].name.as_str().into() };
            self.send_event(other, 1, disconnected);
        }
    }

    /// Tells a host's process to shut down.
    pub fn shut_down_host(&mut self, index: usize) {
        self.send_event(index, 1, Event::Shutdown);
    }

    /// Ends the process of a host that has finished its shutdown.
    pub(super) fn end_process(&mut self, index: usize) {
        let process = self.hosts[index].process.as_ref();
        let pending = process.map_or(0, Host::pending_requests);
        if pending > 0 {
            let broken = format!("{} ms: a process ended with {pending} requests", self.now_ms);
            self.observed.violations.push(broken);
        }
        self.kill_host(index);
    }

    /// Breaks the host's connection to the decider. The host reconnects after a delay.
    pub fn break_connection(&mut self, index: usize) {
        if let Some(to) = self.hosts[index].connected_to {
            self.disconnect(index);
            self.reconnect_later(index, to);
        }
    }

    /// Closes a connection that a paused host has not read for too long, as `pier_node::peers` does.
    pub(super) fn close_unread_connection(&mut self, host: usize, from: &str) {
        let other = self.hosts.iter().position(|other| other.name == from);
        if self.hosts[host].connected_to == other {
            self.break_connection(host);
        } else if let Some(other) = other
            && self.hosts[other].connected_to == Some(host)
        {
            self.break_connection(other);
        }
    }

    pub(super) fn reconnect_later(&mut self, host: usize, to: usize) {
        let process_number = self.hosts[host].process_number;
        self.push(RECONNECT_DELAY_MS, Scheduled::Reconnect { host, process_number, to });
    }

    pub(super) fn disconnect(&mut self, index: usize) {
        if let Some(other) = self.hosts[index].connected_to.take() {
            let disconnected =
                Event::PeerDisconnected { host: self.hosts[other].name.as_str().into() };
            self.send_event(index, 1, disconnected);
            let disconnected =
                Event::PeerDisconnected { host: self.hosts[index].name.as_str().into() };
            self.send_event(other, 1, disconnected);
        }
    }

    pub(super) fn connect(&mut self, host: usize, decider: Option<(ids::HostId, sync::Arc<str>)>) {
        self.disconnect(host);
        let to = decider.and_then(|(_, address)| address.parse::<usize>().ok());
        self.hosts[host].connection_target = to;
        if let Some(to) = to {
            self.open_connection(host, to);
        }
    }

    pub(super) fn open_connection(&mut self, host: usize, to: usize) {
        if self.hosts[host].connected_to.is_some() {
            return;
        }
        if self.hosts[to].process.is_none() {
            self.reconnect_later(host, to);
            return;
        }
        self.hosts[host].connected_to = Some(to);
        for (a, b) in [(host, to), (to, host)] {
            let from: ids::HostId = self.hosts[b].name.as_str().into();
            let zone = if b % 2 == 0 { "north" } else { "south" };
            let core_permille = self.hosts[b].core_permille;
            let incarnation = incarnation(self.hosts[b].process_number);
            let info =
                PeerInfo { host: from.clone(), incarnation, zone: zone.into(), core_permille };
            let message = Message::Hello(info);
            self.send_event(a, 2, Event::PeerMessage { from, message });
        }
    }

    pub(super) fn send(&mut self, host: usize, to: &str, message: Message) {
        let Some(index) = self.hosts.iter().position(|other| other.name == to) else {
            return;
        };
        let is_connected = self.hosts[host].connected_to == Some(index)
            || self.hosts[index].connected_to == Some(host);
        if is_connected {
            self.observed.messages += 1;
            let from = self.hosts[host].name.as_str().into();
            self.send_event(index, 1, Event::PeerMessage { from, message });
        }
    }
}

/// The incarnation of the process with this number. Those of successive processes are far apart, as
/// random ones are.
pub(super) fn incarnation(process_number: u64) -> ids::Incarnation {
    process_number.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// A cell in which the hosts from `first_small` on have a small share of a processor core.
pub fn with_small_hosts(seed: u64, hosts: usize, first_small: usize) -> Sim {
    let mut sim = Sim::new(seed, hosts, 8);
    for index in first_small..hosts {
        sim.hosts[index].core_permille = 120;
        sim.start_host(index);
    }
    sim
}
