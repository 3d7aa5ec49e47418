//! The event loop of a host.

use std::sync;

use pier_cell::effect::Effect;
use pier_cell::event::Event;
use pier_cell::host::Host;
use pier_cell::options::Options;
use pier_core::clock::Clock;

use crate::metrics::Metrics;
use crate::peers::Peers;

/// Executes the effects that concern systems outside the cell.
pub trait EffectExecutor {
    /// Starts to execute an effect. Its result arrives as an event.
    fn execute(&self, effect: Effect);
}

/// An input of the event loop.
#[derive(Debug)]
pub enum Input {
    /// An event for the host.
    Event(Event),
    /// New options, after the settings have changed.
    Options(Box<Options>),
}

/// Runs a host until it has finished its shutdown and no input is left.
pub async fn run(
    mut host: Host,
    clock: &dyn Clock,
    inputs: flume::Receiver<Input>,
    executor: &dyn EffectExecutor,
    peers: &Peers,
    metrics: &sync::Arc<Metrics>,
) {
    loop {
        let now = clock.now();
        let input = tokio::time::timeout(host.time_until_due(now), inputs.recv_async()).await;
        let event = match input {
            Ok(Ok(Input::Event(event))) => event,
            Ok(Ok(Input::Options(options))) => {
                host.set_options(*options);
                Event::Tick
            }
            // All senders are dropped.
            Ok(Err(flume::RecvError::Disconnected)) => return,
            Err(_) => Event::Tick,
        };
        let now = clock.now();
        let effects = host.apply(now, clock.wall_ms(), event);
        for effect in effects {
            match effect {
                Effect::Connect { decider } => peers.connect(decider),
                Effect::Send { to, message } => peers.send(&to, message),
                effect => executor.execute(effect),
            }
        }
        metrics.record_step(clock.now().saturating_sub(now), host.is_decider());
        if let Some(report) = host.take_load_report() {
            metrics.record_load(&report);
        }
        // Requests in the queue still get responses.
        if host.is_finished(now) && inputs.is_empty() {
            tracing::info!(
                is_decider = host.is_decider(),
                pending_requests = host.pending_requests(),
                "host exits"
            );
            return;
        }
    }
}
