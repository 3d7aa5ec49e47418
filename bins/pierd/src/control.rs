//! The control thread. It owns the control state, which no other thread reads or changes.

use std::sync;
use std::time;

use persimmonpier::core::clock;
use persimmonpier::state::event::LogEvent;
use persimmonpier::state::{Effect, Event, State, effect};
use persimmonpier::{front, link};

use crate::operators;

/// The largest number of events that are applied before the tick is checked again.
const MAX_BATCH: usize = 256;

/// The event loop of the control thread.
pub struct ControlLoop {
    /// The control state of the host.
    pub state: State,
    /// The clock of the process.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Events from all other threads.
    pub events: flume::Receiver<Event>,
    /// Executes effects on external systems and peers.
    pub executor: link::Executor,
    /// The server of the caller interface.
    pub caller_server: front::CallerServer,
    /// The handler of operator requests, which receives their answers.
    pub operators: operators::SharedOperatorHandler,
    /// The metrics of the process.
    pub metrics: front::Metrics,
    /// Counts the bytes sent and received on each kind of link.
    pub traffic: sync::Arc<link::Traffic>,
    /// The interval between ticks.
    pub tick_interval: time::Duration,
    /// Notified when the control state has drained and the process may exit.
    pub exit_sender: flume::Sender<()>,
}

impl ControlLoop {
    /// Applies events and ticks until the control state requests the exit of the process.
    pub fn run(mut self) {
        let mut next_tick = self.clock.now();
        let mut log_read_at = None;
        loop {
            let until_tick = next_tick.saturating_sub(self.clock.now());
            let first = match self.events.recv_timeout(until_tick) {
                Ok(event) => Some(event),
                Err(flume::RecvTimeoutError::Timeout) => None,
                Err(flume::RecvTimeoutError::Disconnected) => return,
            };
            let mut next = first;
            let mut applied = 0;
            while let Some(event) = next {
                if matches!(event, Event::Log(LogEvent::Read { .. })) {
                    log_read_at = Some(self.clock.now());
                }
                if self.step(event) {
                    return;
                }
                applied += 1;
                next = if applied < MAX_BATCH { self.events.try_recv().ok() } else { None };
            }
            let now = self.clock.now();
            if now < next_tick {
                continue;
            }
            if self.step(Event::Tick) {
                return;
            }
            self.update_metrics(log_read_at);
            next_tick = now + self.tick_interval;
        }
    }

    /// Applies one event and executes its effects. Returns whether the process may exit.
    fn step(&mut self, event: Event) -> bool {
        let started_at = time::Instant::now();
        let effects = self.state.apply(self.clock.now(), event);
        self.metrics.observe_step(started_at.elapsed());
        let mut may_exit = false;
        for effect in effects {
            let Some(effect) = self.executor.execute(effect) else {
                continue;
            };
            match effect {
                Effect::AnswerCaller { ticket, answer } => {
                    self.caller_server.answer(ticket, answer)
                }
                Effect::AnswerOperator { ticket, answer } => self.operators.answer(ticket, answer),
                Effect::Log(notice) => log_notice(&notice),
                Effect::Exit => may_exit = true,
                other => tracing::error!(?other, "no component executes this effect"),
            }
        }
        if may_exit {
            // The receiver is dropped only when the process is exiting already.
            let _ = self.exit_sender.send(());
        }
        may_exit
    }

    fn update_link_metrics(&self) {
        for link in link::traffic::LinkKind::ALL {
            let bytes = self.traffic.bytes(link);
            self.metrics.set_link_bytes(&link.to_string(), bytes.sent, bytes.received);
        }
    }

    fn update_metrics(&mut self, log_read_at: Option<time::Duration>) {
        for wait in self.state.take_waits() {
            self.metrics.observe_wait(wait.class, wait.waited);
        }
        let now = self.clock.now();
        let cluster = self.state.cluster();
        if cluster.may_start(now) {
            self.caller_server.set_ready();
        }
        self.metrics.set_control_metrics(&front::metrics::ControlMetrics {
            counters: self.state.counters(),
            authority: cluster.authority,
            epoch: cluster.epoch,
            version: cluster.version,
            log_age: log_read_at.map(|at| now.saturating_sub(at)),
            queued_events: self.events.len(),
        });
        self.update_link_metrics();
    }
}

fn log_notice(notice: &effect::Notice) {
    use effect::Notice;
    match notice {
        Notice::Invariant { .. } | Notice::HistoryLost { .. } => tracing::error!("{notice}"),
        Notice::BadRecord { .. }
        | Notice::Expelled { .. }
        | Notice::HistoryRestarted { .. }
        | Notice::FencingFailed { .. }
        | Notice::WorkerInBackoff { .. }
        | Notice::QueueOverDeclaredSize { .. } => tracing::warn!("{notice}"),
        _ => tracing::info!("{notice}"),
    }
}
