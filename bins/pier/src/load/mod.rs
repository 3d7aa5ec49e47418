//! Open-loop load with measurements.
//!
//! Arrivals are planned ahead from a fixed seed and do not wait for answers, and every time is
//! counted from the planned arrival. So a slow system cannot hide its delays by slowing the load.

pub mod arrivals;
pub mod cell_stats;
pub mod compare;
pub mod html;
pub mod profile;
pub mod run;
pub mod shares;
pub mod stats;
pub mod summary;

mod jobs;

pub use profile::Profile;
pub use run::{LoadResult, run};
pub use summary::Summary;
