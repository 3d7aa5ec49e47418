//! The control state of an entry host.
//!
//! [`State::apply`] is a reducer over all events and returns effects as data. The crate performs no
//! I/O, reads no clock and takes random numbers only from a seeded generator in the state, so that
//! a test can run the reducers of several hosts with a virtual clock.

mod by_job;
pub mod cluster;
pub mod control;
pub mod effect;
pub mod errors;
pub mod event;
pub mod message;
pub mod options;
pub mod outbox;
pub mod record;
pub mod report;
pub mod state;
pub mod work;

pub use effect::Effect;
pub use errors::{Error, Result};
pub use event::Event;
pub use options::Options;
pub use state::State;
