//! Decisions, state and recovery of a cell over a log with conditional appends.
//!
//! Every host folds the same keyed log. One of them, the decider, appends to it; a claim in the log
//! names it, and each append names the position at which it must land, so that a replaced decider
//! writes nothing more. The crate performs no input or output and reads no clock:
//! [`host::Host::apply`] takes an event and the time and returns effects as data.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod advice;
pub mod callers;
pub mod decider;
pub mod directory;
pub mod effect;
pub mod event;
pub mod follow;
pub mod host;
pub mod job;
pub mod ledger;
pub mod options;
pub mod peer;
pub mod place;
pub mod progress;
pub mod ranking;
pub mod record;
pub mod run;
pub mod speed;
pub mod worker;
