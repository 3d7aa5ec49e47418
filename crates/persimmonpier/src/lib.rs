//! Umbrella library of the persimmonpier cluster scheduler.
//!
//! It re-exports the crates that make up the programs and contains no logic of its own.

pub use pier_cell as cell;
pub use pier_core as core;
pub use pier_decl as decl;
pub use pier_front as front;
pub use pier_link as link;
pub use pier_node as node;
pub use pier_policy as policy;
pub use pier_state as state;
