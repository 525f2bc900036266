//! Whether zones can be reached, and which upstreams fail more than others.
//!
//! Pure data: every function that decides takes `now`, and nothing here does I/O.

pub mod outlier;
pub mod reach;

pub use outlier::{Outcome, Outliers, Standing, Tally};
pub use reach::{Ping, Reach};
