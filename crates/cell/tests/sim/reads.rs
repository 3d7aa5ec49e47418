//! Reads of the store, and what it holds.

use std::time;

use pier_cell::event::{Event, OperatorRecord, ReadResponse, WorkerRecord};
use pier_cell::follower::{Read, ReadError, Topic};
use pier_cell::job::JobState;
use pier_cell::worker::WorkerInfo;

use crate::sim::Sim;
use crate::sim::store::cell_record;

/// A read that waits for a new record.
pub(super) struct WaitingRead {
    pub(super) host: usize,
    pub(super) process_number: u64,
    pub(super) topic: Topic,
    pub(super) offset: u64,
    pub(super) until_ms: u64,
}

impl Sim {
    pub(super) fn read(&mut self, host: usize, topic: Topic, read: Read, timeout: time::Duration) {
        if topic == Topic::Cell {
            *self.observed.cell_reads_by_host.entry(host).or_default() += 1;
        }
        if self.is_store_down || self.hosts[host].is_store_unreachable {
            let after = u64::try_from(timeout.as_millis()).unwrap_or_default();
            let event = match topic {
                Topic::Cell => Event::CellRead(ReadResponse::Failed(ReadError::NoAnswer)),
                Topic::Deciders => Event::DecidersRead(ReadResponse::Failed(ReadError::NoAnswer)),
                Topic::Operators => Event::OperatorsRead(ReadResponse::Failed(ReadError::NoAnswer)),
                Topic::Workers => Event::WorkersRead(ReadResponse::Failed(ReadError::NoAnswer)),
            };
            self.send_event(host, after, event);
            return;
        }
        match read {
            Read::Newest { after } => {
                let after = after.as_deref();
                let event = match topic {
                    Topic::Cell => {
                        Event::CellRead(ReadResponse::Page(self.cell.page(after, cell_record)))
                    }
                    Topic::Deciders => Event::DecidersRead(ReadResponse::Page(
                        self.deciders.page(after, cell_record),
                    )),
                    Topic::Operators => Event::OperatorsRead(ReadResponse::Page(
                        self.operators.page(after, |_, value| operator_record(value)),
                    )),
                    Topic::Workers => Event::WorkersRead(ReadResponse::Page(
                        self.worker_list.page(after, worker_record),
                    )),
                };
                let delay = self.delay(self.store_ms.clone());
                self.send_event(host, delay, event);
            }
            Read::From { offset, wait } => {
                let until_ms = self.now_ms + u64::try_from(wait.as_millis()).unwrap_or_default();
                let process_number = self.hosts[host].process_number;
                self.waiting_reads.push(WaitingRead {
                    host,
                    process_number,
                    topic,
                    offset,
                    until_ms,
                });
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
            let from = waiting.offset;
            let event = match waiting.topic {
                Topic::Cell => {
                    Event::CellRead(read_response(is_lost, self.cell.slice(from, cell_record)))
                }
                Topic::Deciders => Event::DecidersRead(read_response(
                    is_lost,
                    self.deciders.slice(from, cell_record),
                )),
                Topic::Operators => Event::OperatorsRead(read_response(
                    is_lost,
                    self.operators.slice(from, |_, value| operator_record(value)),
                )),
                Topic::Workers => Event::WorkersRead(read_response(
                    is_lost,
                    self.worker_list.slice(from, worker_record),
                )),
            };
            let delay = if is_lost { 300 } else { self.delay(self.store_ms.clone()) };
            self.send_event(waiting.host, delay, event);
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

    pub(super) fn stored_cell_state(&self) -> pier_cell::cell_state::CellState {
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

pub(super) fn read_response<T>(
    is_lost: bool,
    slice: Result<pier_cell::follower::LogSlice<T>, ReadError>,
) -> ReadResponse<T> {
    match slice {
        _ if is_lost => ReadResponse::Failed(ReadError::NoAnswer),
        Ok(slice) => ReadResponse::LogSlice(slice),
        Err(error) => ReadResponse::Failed(error),
    }
}

pub(super) fn operator_record(value: Option<&OperatorRecord>) -> OperatorRecord {
    value.cloned().unwrap_or(OperatorRecord::Other)
}

pub(super) fn worker_record(key: &str, value: Option<&WorkerInfo>) -> WorkerRecord {
    WorkerRecord { id: key.into(), entry: value.cloned() }
}
