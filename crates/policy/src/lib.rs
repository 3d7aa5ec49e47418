//! Decisions about what starts next, where it starts, and what yields to it.
//!
//! A policy sees the pending work and the workers of one host and returns decisions. It does no
//! input or output and holds no authority: the reducer checks every decision again.

mod backlog;
mod baselines;
mod fair;
pub mod names;
mod room;
pub mod view;

pub use backlog::Backlog;
pub use names::NAMES;
pub use view::{Decision, PendingTask, Policy, RunningTask, Settings, Team, View, Worker};

/// Makes a policy with the default settings.
type Make = fn() -> Box<dyn Policy>;

/// The registered policies.
const REGISTRY: [(&str, Make); 4] = [
    ("fair", || Box::new(fair::Fair::default())),
    ("fcfs", || Box::new(baselines::Fcfs)),
    ("least_loaded", || Box::new(baselines::LeastLoaded)),
    ("random", || Box::new(baselines::Random::default())),
];

/// The policy that is registered under `name`, with default settings; none if there is no such
/// policy.
pub fn by_name(name: &str) -> Option<Box<dyn Policy>> {
    for (registered, make) in REGISTRY {
        if registered == name {
            return Some(make());
        }
    }
    None
}
