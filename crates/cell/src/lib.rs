//! Scheduling, state and recovery of a cell, based on a log with conditional appends.
//!
//! Every host applies the records of the same keyed log. One host, the decider, is the leader and
//! appends to the log. A claim record in the log names the decider, and each append states the
//! offset at which it must be stored, so that a replaced decider can append nothing more. The crate
//! performs no I/O and reads no clock: [`host::Host::apply`] takes an event and the time and
//! returns effects as data.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod advice;
pub mod backoff;
pub mod cell_state;
pub mod decider;
pub mod declaration;
pub mod effect;
pub mod event;
pub mod follower;
pub mod host;
pub mod job;
pub mod load_report;
pub mod options;
pub mod peer;
pub mod place;
pub mod progress;
pub mod ranking;
pub mod record;
pub mod requests;
pub mod run;
pub mod speed;
pub mod terms;
pub mod worker;
