//! Failure detection: the set of live entries as seen by one entry.
//!
//! Pure state machine that takes heartbeats, the platform's list and ticks, and returns a view. The
//! homes of flows have to follow failures quickly and may be wrong. The number of entries that may
//! be opening flows must never be too low, because limits are divided by it.

pub mod members;

pub use members::{Heartbeat, Members, Status, Timing, View};
