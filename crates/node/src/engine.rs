//! The event loop.

use std::sync;
use std::time;

use pier_cell::effect::Effect;
use pier_cell::event::Event;
use pier_cell::host::Host;
use pier_cell::options::Options;
use pier_core::clock::Clock;

use crate::metrics::Metrics;
use crate::peers::Peers;

/// How long a host that stops waits before it ends, so that the load balancer has noticed.
const SHUTDOWN_PAUSE: time::Duration = time::Duration::from_millis(2_500);

/// What carries out the effects that go outside the cell.
pub trait EffectExecutor {
    /// Begins to carry out the effect. Its result comes as an event.
    fn execute(&self, effect: Effect);
}

/// What the process tells its event loop.
#[derive(Debug)]
pub enum Input {
    /// Something happened to the host.
    Event(Event),
    /// The settings have changed.
    Options(Box<Options>),
}

/// Runs a host until it has been told to end and its callers have been answered, or until
/// `shutdown_limit` has passed since then.
pub async fn run(
    mut host: Host,
    clock: &dyn Clock,
    inputs: flume::Receiver<Input>,
    outside: &dyn EffectExecutor,
    peers: &Peers,
    metrics: &sync::Arc<Metrics>,
    shutdown_limit: time::Duration,
) {
    let mut stopping_since = None;
    loop {
        let now = clock.now();
        let input = tokio::time::timeout(host.sleep(now), inputs.recv_async()).await;
        let event = match input {
            Ok(Ok(Input::Event(event))) => event,
            Ok(Ok(Input::Options(options))) => {
                host.set_options(*options);
                Event::Tick
            }
            // Nothing can send any more.
            Ok(Err(flume::RecvError::Disconnected)) => return,
            Err(_) => Event::Tick,
        };
        let now = clock.now();
        if matches!(event, Event::Shutdown) {
            stopping_since.get_or_insert(now);
        }
        let effects = host.apply(now, clock.wall_ms(), event);
        for effect in effects {
            match effect {
                Effect::Connect { decider } => peers.connect(decider),
                Effect::Send { to, message } => peers.send(&to, message),
                effect => outside.execute(effect),
            }
        }
        metrics.record_step(clock.now().saturating_sub(now), host.is_decider());
        let Some(since) = stopping_since else {
            continue;
        };
        let is_noticed = now >= since.saturating_add(SHUTDOWN_PAUSE);
        if (is_noticed && host.is_finished()) || now >= since.saturating_add(shutdown_limit) {
            tracing::info!(is_finished = host.is_finished(), "host ends");
            return;
        }
    }
}
