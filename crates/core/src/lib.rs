//! Types and traits that all crates of persimmonpier share.
//!
//! This crate defines ids, resource vectors, the clock trait, the wire types of the external
//! interfaces and aliases of hash maps. It contains no scheduling logic and does no I/O.

pub mod body;
pub mod caller;
pub mod clock;
pub mod errors;
pub mod ids;
pub mod keys;
pub mod map;
pub mod rendezvous;
pub mod resources;
pub mod task;
pub mod wire;

pub use errors::{Error, Result};
pub use resources::Resources;
