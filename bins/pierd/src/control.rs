//! The control thread: it owns the state and is the only one that changes it.

use std::sync;
use std::time;

use persimmonpier::core::clock;
use persimmonpier::state::event::LogEvent;
use persimmonpier::state::{Effect, Event, State, effect};
use persimmonpier::{front, link};

use crate::operators;

/// The largest number of events between two looks at the clock for the tick.
const MAX_BATCH: usize = 256;

/// What the control thread works with.
pub struct Control {
    /// The state.
    pub state: State,
    /// The clock of the process.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// The events of all other threads.
    pub events: flume::Receiver<Event>,
    /// Carries out effects on outside systems and peers.
    pub executor: link::Executor,
    /// The callers' interface.
    pub front: front::CallerServer,
    /// The operators' interface.
    pub operators: operators::SharedOperators,
    /// The metrics of the process.
    pub metrics: front::Metrics,
    /// The bytes that the links of the process carry.
    pub traffic: sync::Arc<link::Traffic>,
    /// The interval between ticks.
    pub tick_interval: time::Duration,
    /// Takes a message when the state says that the process can end.
    pub exits: flume::Sender<()>,
}

impl Control {
    /// Applies events and ticks until the state says that the process can end.
    pub fn run(mut self) {
        let mut next_tick = self.clock.now();
        let mut log_read_at = None;
        loop {
            let left = next_tick.saturating_sub(self.clock.now());
            let first = match self.events.recv_timeout(left) {
                Ok(event) => Some(event),
                Err(flume::RecvTimeoutError::Timeout) => None,
                Err(flume::RecvTimeoutError::Disconnected) => return,
            };
            let mut next = first;
            let mut taken = 0;
            while let Some(event) = next {
                if matches!(event, Event::Log(LogEvent::Read { .. })) {
                    log_read_at = Some(self.clock.now());
                }
                if self.step(event) {
                    return;
                }
                taken += 1;
                next = if taken < MAX_BATCH { self.events.try_recv().ok() } else { None };
            }
            let now = self.clock.now();
            if now < next_tick {
                continue;
            }
            if self.step(Event::Tick) {
                return;
            }
            self.show(log_read_at);
            next_tick = now + self.tick_interval;
        }
    }

    /// Applies one event. True if the process can end.
    fn step(&mut self, event: Event) -> bool {
        let began = time::Instant::now();
        let effects = self.state.apply(self.clock.now(), event);
        self.metrics.observe_step(began.elapsed());
        let mut ends = false;
        for effect in effects {
            let Some(effect) = self.executor.execute(effect) else {
                continue;
            };
            match effect {
                Effect::AnswerCaller { ticket, answer } => self.front.answer(ticket, answer),
                Effect::AnswerOperator { ticket, answer } => self.operators.answer(ticket, answer),
                Effect::Log(notice) => write(&notice),
                Effect::Exit => ends = true,
                other => tracing::error!(?other, "an effect is not carried out by any part"),
            }
        }
        if ends {
            // The receiver is gone only when the process ends already.
            let _ = self.exits.send(());
        }
        ends
    }

    fn show_traffic(&self) {
        for link in link::traffic::LinkKind::ALL {
            let bytes = self.traffic.bytes(link);
            self.metrics.set_link_bytes(&link.to_string(), bytes.sent, bytes.received);
        }
    }

    fn show(&mut self, log_read_at: Option<time::Duration>) {
        for wait in self.state.take_waits() {
            self.metrics.observe_wait(wait.class, wait.waited);
        }
        let now = self.clock.now();
        let cluster = self.state.cluster();
        if cluster.may_start(now) {
            self.front.set_ready();
        }
        self.metrics.set_control_metrics(&front::metrics::ControlMetrics {
            counters: self.state.counters(),
            authority: cluster.authority,
            epoch: cluster.epoch,
            version: cluster.version,
            log_age: log_read_at.map(|at| now.saturating_sub(at)),
            queued_events: self.events.len(),
        });
        self.show_traffic();
    }
}

fn write(notice: &effect::Notice) {
    use effect::Notice;
    match notice {
        Notice::Invariant { .. } | Notice::HistoryLost { .. } => tracing::error!("{notice}"),
        Notice::BadRecord { .. }
        | Notice::Expelled { .. }
        | Notice::HistoryRestarted { .. }
        | Notice::FenceFails { .. }
        | Notice::WorkerBacksOff { .. }
        | Notice::QueueOverSize { .. } => tracing::warn!("{notice}"),
        _ => tracing::info!("{notice}"),
    }
}
