//! Which entries are alive, as one entry sees it.
//!
//! Pure data: heartbeats, the platform's list and ticks go in, a view comes out. Two questions are
//! kept apart. Who may be the home of flows needs a quick answer and may err; how many entries may
//! be opening flows must never be answered too low, because limits are divided by it.

pub mod members;

pub use members::{Heartbeat, Members, Status, Timing, View};
