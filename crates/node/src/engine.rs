//! The event loop of a host.

use std::sync;
use std::time;

use pier_cell::effect::Effect;
use pier_cell::event::Event;
use pier_cell::host::Host;
use pier_cell::options::Options;
use pier_core::clock::Clock;

use crate::metrics::Metrics;
use crate::peers::Peers;

/// The minimum time between a shutdown event and the end of the event loop, in which the load
/// balancer notices that the host shuts down.
const SHUTDOWN_DELAY: time::Duration = time::Duration::from_millis(2_500);

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

/// Runs a host until a shutdown was requested and its callers have been answered, or until
/// `shutdown_limit` has passed since the request.
pub async fn run(
    mut host: Host,
    clock: &dyn Clock,
    inputs: flume::Receiver<Input>,
    executor: &dyn EffectExecutor,
    peers: &Peers,
    metrics: &sync::Arc<Metrics>,
    shutdown_limit: time::Duration,
) {
    let mut shutdown_began = None;
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
        if matches!(event, Event::Shutdown) {
            shutdown_began.get_or_insert(now);
        }
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
        let Some(since) = shutdown_began else {
            continue;
        };
        let delay_passed = now >= since.saturating_add(SHUTDOWN_DELAY);
        if (delay_passed && host.is_finished()) || now >= since.saturating_add(shutdown_limit) {
            tracing::info!(
                is_finished = host.is_finished(),
                pending_requests = host.pending_requests(),
                queued_inputs = inputs.len(),
                "host exits"
            );
            return;
        }
    }
}
