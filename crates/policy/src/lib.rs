//! Scheduling policies: which pending task starts next, on which worker, and which running tasks it
//! preempts.
//!
//! A policy reads the pending tasks and the workers of one host and returns decisions. It does no
//! I/O and has no authority: the reducer validates every decision.

mod backlog;
mod baselines;
mod capacity;
mod fair;
pub mod names;
pub mod view;

pub use backlog::Backlog;
pub use names::NAMES;
pub use view::{Decision, PendingTask, Policy, RunningTask, Settings, Team, View, Worker};

/// Creates a policy with the default settings.
type Constructor = fn() -> Box<dyn Policy>;

const REGISTRY: [(&str, Constructor); 4] = [
    ("fair", || Box::new(fair::Fair::default())),
    ("fcfs", || Box::new(baselines::Fcfs)),
    ("least_loaded", || Box::new(baselines::LeastLoaded)),
    ("random", || Box::new(baselines::Random::default())),
];

/// Creates the policy that is registered under `name`, with the default settings. Returns `None`
/// for an unknown name.
pub fn by_name(name: &str) -> Option<Box<dyn Policy>> {
    for (registered, constructor) in REGISTRY {
        if registered == name {
            return Some(constructor());
        }
    }
    None
}
