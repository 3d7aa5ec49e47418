//! Pure decisions of a cell whose workers are full: when work could start, which work is accepted,
//! how capacity is divided among accounts, where gangs gather room, and which runs are preempted.
//!
//! The crate does no I/O and reads no clock. Times are passed in as durations since the start of
//! the process. It knows nothing of jobs and workers: callers translate them into amounts of
//! resources, ranks and positions.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod admission;
pub mod advice;
pub mod forecast;
pub mod gangs;
pub mod reclaim;
pub mod run_times;
pub mod shares;
