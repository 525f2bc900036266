//! Whether zones can be reached, and which upstreams fail more than others.
//!
//! Pure data: every function that decides takes `now`, and nothing here does I/O.

pub mod outlier;
pub mod reachability;

pub use outlier::{Outcome, OutlierState, Outliers, Tally};
pub use reachability::{Ping, Reachability};
