//! Reachability of zones, and outlier detection and silence of upstreams.
//!
//! Pure state machines: functions that depend on time take `now`, and there is no I/O.

pub mod outlier;
pub mod reachability;
pub mod silence;

pub use outlier::{Outcome, OutlierState, Outliers, Tally};
pub use reachability::{Ping, Reachability};
pub use silence::{News, Sent, Silences};
