//! Names of the registered policies.

/// The policy names that a declaration can select.
pub const NAMES: [&str; 4] = ["fair", "fcfs", "least_loaded", "random"];
