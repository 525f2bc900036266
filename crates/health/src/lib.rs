//! Whether zones can be reached, from openings and from other entries.
//!
//! Pure data: every function that decides takes `now`, and nothing here does I/O.

pub mod reach;

pub use reach::{Ping, Reach};
