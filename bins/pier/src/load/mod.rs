//! Open-loop load generator.
//!
//! Arrivals are planned in advance from a fixed seed and do not wait for responses, and every time
//! is measured from the planned arrival. A slow system therefore cannot hide its delays by slowing
//! down the load (coordinated omission).

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
