//! Reads of the store, and what it holds.

use std::time;

use pier_cell::event::{AppendResponse, Event, OperatorRecord, ReadResponse, WorkerRecord};
use pier_cell::follower::{LogSlice, Read, ReadError, Topic};
use pier_cell::job::JobState;
use pier_cell::worker::WorkerInfo;
use pier_core::ids;

use crate::sim::store::cell_record;
use crate::sim::{REFUSAL_MS, Scheduled, Sim};

/// A read that waits for a new record.
pub(super) struct WaitingRead {
    pub(super) host: usize,
    pub(super) process_number: u64,
    pub(super) ticket: ids::Ticket,
    pub(super) topic: Topic,
    pub(super) offset: u64,
    pub(super) until_ms: u64,
}

impl Sim {
    pub(super) fn read(
        &mut self,
        host: usize,
        ticket: ids::Ticket,
        topic: Topic,
        read: Read,
        timeout: time::Duration,
    ) {
        if topic == Topic::Cell {
            *self.observed.cell_reads_by_host.entry(host).or_default() += 1;
        }
        if self.is_store_down || self.hosts[host].is_store_unreachable {
            let after = u64::try_from(timeout.as_millis()).unwrap_or_default();
            self.send_event(host, after, failed_read(topic, ticket));
            return;
        }
        if self.hosts[host].is_turned_away {
            self.send_event(host, REFUSAL_MS, failed_read(topic, ticket));
            return;
        }
        match read {
            Read::Newest { after } => {
                let event = self.page(topic, ticket, after.as_deref());
                let delay = self.delay(self.store_ms.clone());
                self.send_event(host, delay, event);
            }
            Read::From { offset, wait } => {
                let until_ms = self.now_ms + u64::try_from(wait.as_millis()).unwrap_or_default();
                let process_number = self.hosts[host].process_number;
                self.waiting_reads.push(WaitingRead {
                    host,
                    process_number,
                    ticket,
                    topic,
                    offset,
                    until_ms,
                });
            }
        }
    }

    fn page(&self, topic: Topic, ticket: ids::Ticket, after: Option<&str>) -> Event {
        match topic {
            Topic::Cell => {
                let response = ReadResponse::Page(self.cell.page(after, cell_record));
                Event::CellRead { ticket, response }
            }
            Topic::Deciders => {
                let response = ReadResponse::Page(self.deciders.page(after, cell_record));
                Event::DecidersRead { ticket, response }
            }
            Topic::Operators => {
                let page = self.operators.page(after, |_, value| operator_record(value));
                Event::OperatorsRead { ticket, response: ReadResponse::Page(page) }
            }
            Topic::Workers => {
                let response = ReadResponse::Page(self.worker_list.page(after, worker_record));
                Event::WorkersRead { ticket, response }
            }
        }
    }

    fn slice(&self, topic: Topic, ticket: ids::Ticket, from: ids::Offset) -> Event {
        match topic {
            Topic::Cell => {
                let response = slice_response(self.cell.slice(from, cell_record));
                Event::CellRead { ticket, response }
            }
            Topic::Deciders => {
                let response = slice_response(self.deciders.slice(from, cell_record));
                Event::DecidersRead { ticket, response }
            }
            Topic::Operators => {
                let slice = self.operators.slice(from, |_, value| operator_record(value));
                Event::OperatorsRead { ticket, response: slice_response(slice) }
            }
            Topic::Workers => {
                let response = slice_response(self.worker_list.slice(from, worker_record));
                Event::WorkersRead { ticket, response }
            }
        }
    }

    pub(super) fn complete_waiting_reads(&mut self) {
        let mut index = 0;
        while index < self.waiting_reads.len() {
            let waiting = &self.waiting_reads[index];
            let end = match waiting.topic {
                Topic::Cell => self.cell.end(),
                Topic::Deciders => self.deciders.end(),
                Topic::Operators => self.operators.end(),
                Topic::Workers => self.worker_list.end(),
            };
            let is_due = self.now_ms >= waiting.until_ms || end > waiting.offset;
            if !is_due && !self.is_store_down {
                index += 1;
                continue;
            }
            let waiting = self.waiting_reads.swap_remove(index);
            if self.hosts[waiting.host].process_number != waiting.process_number {
                continue;
            }
            let is_lost = self.is_store_down || self.hosts[waiting.host].is_store_unreachable;
            if is_lost {
                let event = failed_read(waiting.topic, waiting.ticket);
                self.send_event(waiting.host, 300, event);
                continue;
            }
            let event = self.slice(waiting.topic, waiting.ticket, waiting.offset);
            let delay = self.delay(self.store_ms.clone());
            self.send_event(waiting.host, delay, event);
        }
    }

    /// The places in the queue of events of a kind that are on their way to the host.
    fn events_to(&self, host: usize, is_wanted: fn(&Event) -> bool) -> Vec<(u64, u64)> {
        let process_number = self.hosts[host].process_number;
        let mut keys = Vec::new();
        for (key, due) in &self.queue {
            let Scheduled::Event { host: to, process_number: number, event, .. } = due else {
                continue;
            };
            if *to == host && *number == process_number && is_wanted(event) {
                keys.push(*key);
            }
        }
        keys
    }

    /// Runs the simulation until an event of a kind is on its way to the host, for at most this
    /// time. Returns whether there is one.
    pub fn run_until_event(
        &mut self,
        host: usize,
        limit_ms: u64,
        is_wanted: fn(&Event) -> bool,
    ) -> bool {
        for _ in 0..limit_ms {
            if !self.events_to(host, is_wanted).is_empty() {
                return true;
            }
            self.run_for(1);
        }
        false
    }

    /// Delays the events of a kind that are on their way to the host.
    pub fn delay_events(&mut self, host: usize, by_ms: u64, is_wanted: fn(&Event) -> bool) {
        for key in self.events_to(host, is_wanted) {
            if let Some(due) = self.queue.remove(&key) {
                self.queue.insert((key.0 + by_ms, key.1), due);
            }
        }
    }

    /// Resets the host's connections to the store. What the store has carried out gets no response.
    pub fn reset_store_connections(&mut self, host: usize) {
        let process_number = self.hosts[host].process_number;
        let mut lost = Vec::new();
        for due in self.queue.values_mut() {
            let Scheduled::Event { host: to, process_number: number, event, .. } = due else {
                continue;
            };
            if *to != host || *number != process_number {
                continue;
            }
            if let Some(failed) = lost_response(event) {
                lost.push(failed);
                // The place in the queue stays, with an event that has no effect.
                **event = Event::Tick;
            }
        }
        let is_of_host = |read: &mut WaitingRead| read.host == host;
        for waiting in self.waiting_reads.extract_if(.., is_of_host).collect::<Vec<_>>() {
            lost.push(failed_read(waiting.topic, waiting.ticket));
        }
        for event in lost {
            self.send_event(host, 1, event);
        }
    }

    /// Returns the host that the newest claim in the log names.
    pub fn logged_decider(&self) -> Option<usize> {
        let claim = self.stored_cell_state().decider?.claim;
        self.hosts.iter().position(|host| *host.name == *claim.host)
    }

    /// Returns a job's state according to the newest records of the log.
    pub fn stored_state(&self, id: &str) -> Option<JobState> {
        self.stored_cell_state().job_state(id)
    }

    pub fn stored_cell_state(&self) -> pier_cell::cell_state::CellState {
        let mut cell_state = pier_cell::cell_state::CellState::default();
        let mut after: Option<String> = None;
        loop {
            let page = self.cell.page(after.as_deref(), cell_record);
            for (offset, record) in &page.items {
                cell_state.apply(*offset, record);
            }
            match page.next_after {
                Some(next) => after = Some(next),
                None => return cell_state,
            }
        }
    }
}

fn slice_response<T>(slice: Result<LogSlice<T>, ReadError>) -> ReadResponse<T> {
    match slice {
        Ok(slice) => ReadResponse::LogSlice(slice),
        Err(error) => ReadResponse::Failed(error),
    }
}

fn failed_read(topic: Topic, ticket: ids::Ticket) -> Event {
    let error = ReadError::NoAnswer;
    match topic {
        Topic::Cell => Event::CellRead { ticket, response: ReadResponse::Failed(error) },
        Topic::Deciders => Event::DecidersRead { ticket, response: ReadResponse::Failed(error) },
        Topic::Operators => Event::OperatorsRead { ticket, response: ReadResponse::Failed(error) },
        Topic::Workers => Event::WorkersRead { ticket, response: ReadResponse::Failed(error) },
    }
}

/// The event in place of a response of the store that is lost; none for other events.
fn lost_response(event: &Event) -> Option<Event> {
    Some(match event {
        Event::CellRead { ticket, .. } => failed_read(Topic::Cell, *ticket),
        Event::DecidersRead { ticket, .. } => failed_read(Topic::Deciders, *ticket),
        Event::OperatorsRead { ticket, .. } => failed_read(Topic::Operators, *ticket),
        Event::WorkersRead { ticket, .. } => failed_read(Topic::Workers, *ticket),
        Event::Appended { ticket, .. } => {
            Event::Appended { ticket: *ticket, response: AppendResponse::NoAnswer }
        }
        Event::Announced { ticket, .. } => Event::Announced { ticket: *ticket, is_stored: false },
        _ => return None,
    })
}

pub(super) fn operator_record(value: Option<&OperatorRecord>) -> OperatorRecord {
    value.cloned().unwrap_or(OperatorRecord::Other)
}

pub(super) fn worker_record(key: &str, value: Option<&WorkerInfo>) -> WorkerRecord {
    WorkerRecord { id: key.into(), entry: value.cloned() }
}
