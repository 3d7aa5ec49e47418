//! The reducer: dispatches events to the control state and the work state.

use std::time;

use crate::{Effect, Event, cluster, control, event, message, options, outbox, report, work};

/// The control state of an entry host, owned by one thread.
#[derive(Debug)]
pub struct State {
    control: control::Control,
    work: work::Work,
    shutting_down: bool,
    exited: bool,
}

impl State {
    /// Creates the state of a process that has just started. `seed` seeds its random numbers.
    pub fn new(identity: options::HostIdentity, options: options::Options, seed: u64) -> Self {
        let work = work::Work::new(&identity, options.clone(), seed);
        let control = control::Control::new(identity, options, seed);
        Self { control, work, shutting_down: false, exited: false }
    }

    /// The cell as this host sees it.
    pub fn cluster(&self) -> &cluster::Cluster {
        self.control.cluster()
    }

    /// Counters since the process started.
    pub fn counters(&self) -> report::Counters {
        let mut counters = report::Counters::default();
        self.control.add_counters(&mut counters);
        self.work.add_counters(&mut counters);
        counters
    }

    /// Takes the queue waits of tasks that started on this host's workers since the last call.
    pub fn take_waits(&mut self) -> Vec<report::Wait> {
        self.work.take_waits()
    }

    /// The state of the host and its view of the cell.
    pub fn status(&self, now: time::Duration) -> report::Status {
        let cluster = self.control.cluster();
        let mut status = report::Status {
            host: cluster.identity.host.clone(),
            epoch: cluster.epoch,
            is_member: cluster.is_member,
            version: cluster.version,
            fold_offset: 0,
            authority: cluster.authority,
            authority_left_ms: pier_core::clock::millis(
                cluster.authority_until.saturating_sub(now),
            ),
            log_unreachable: cluster.log_unreachable,
            leaving: cluster.leaving,
            members: Vec::new(),
            workers: Vec::new(),
            teams: Vec::new(),
            queues: Vec::new(),
            requests: 0,
            waiting: 0,
            jobs: 0,
        };
        self.control.fill_status(now, &mut status);
        self.work.fill_status(now, cluster, &mut status);
        status
    }

    /// Applies an event at `now` and returns the effects in the order in which the runtime must
    /// execute them. `now` must not decrease between calls.
    pub fn apply(&mut self, now: time::Duration, event: Event) -> Vec<Effect> {
        let mut out = outbox::Outbox::default();
        self.dispatch(now, event, &mut out);
        let entries = std::mem::take(&mut out.entries);
        if !entries.is_empty() {
            self.control.append(now, entries, &mut out);
        }
        if self.shutting_down && !self.exited && self.is_drained() {
            self.exited = true;
            out.push(Effect::Exit);
        }
        out.effects
    }

    fn is_drained(&self) -> bool {
        self.work.is_drained() && self.control.is_drained()
    }

    fn dispatch(&mut self, now: time::Duration, event: Event, out: &mut outbox::Outbox) {
        match event {
            Event::Tick => {
                let summary = self.work.summary(now, self.control.cluster());
                self.control.set_summary(summary);
                self.control(now, control::ControlEvent::Tick, out);
                self.work(now, work::WorkEvent::Tick, out);
            }
            Event::Log(event) => self.control(now, control::ControlEvent::Log(event), out),
            Event::HostList(list) => self.control(now, control::ControlEvent::HostList(list), out),
            Event::Peer { from, incarnation, message } => match message {
                message::Message::Control(message) => {
                    let event = control::ControlEvent::Peer { from, incarnation, message };
                    self.control(now, event, out);
                }
                message => {
                    self.work(now, work::WorkEvent::Peer { from, incarnation, message }, out);
                }
            },
            Event::Caller(event) => self.work(now, work::WorkEvent::Caller(event), out),
            Event::Operator(event) => self.operator(now, event, out),
            Event::Worker(event) => self.worker(now, event, out),
            Event::Shutdown => {
                self.shutting_down = true;
                self.work(now, work::WorkEvent::Shutdown, out);
                self.control(now, control::ControlEvent::Shutdown, out);
            }
        }
    }

    fn control(
        &mut self,
        now: time::Duration,
        event: control::ControlEvent,
        out: &mut outbox::Outbox,
    ) {
        for change in self.control.handle(now, event, out) {
            let cluster::Change::WorkerLost { worker, to } = change else {
                self.work.on_change(now, self.control.cluster(), &change, out);
                continue;
            };
            let body = self.work.release(now, self.control.cluster(), &worker, out);
            let Some(to) = to else {
                continue;
            };
            self.control.hand_over(now, worker, to, body, out);
        }
    }

    fn work(&mut self, now: time::Duration, event: work::WorkEvent, out: &mut outbox::Outbox) {
        self.work.handle(now, self.control.cluster(), event, out);
    }

    fn operator(
        &mut self,
        now: time::Duration,
        event: event::OperatorEvent,
        out: &mut outbox::Outbox,
    ) {
        let ticket = event.ticket;
        match event.request {
            event::OperatorRequest::Status => {
                let answer = crate::effect::OperatorAnswer::Status(Box::new(self.status(now)));
                out.push(Effect::AnswerOperator { ticket, answer });
            }
            event::OperatorRequest::Explain { task } => {
                self.work(now, work::WorkEvent::Explain { ticket, task }, out);
            }
            request => {
                let event = event::OperatorEvent { ticket, request };
                self.control(now, control::ControlEvent::Operator(event), out);
            }
        }
    }

    fn worker(&mut self, now: time::Duration, event: event::WorkerEvent, out: &mut outbox::Outbox) {
        match event {
            event::WorkerEvent::Fenced { .. } | event::WorkerEvent::FenceFailed { .. } => {
                self.control(now, control::ControlEvent::Worker(event), out);
            }
            event::WorkerEvent::Report { .. } => {
                self.control(now, control::ControlEvent::Worker(event.clone()), out);
                self.work(now, work::WorkEvent::Worker(event), out);
            }
            event => self.work(now, work::WorkEvent::Worker(event), out),
        }
    }
}
