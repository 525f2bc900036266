//! Fetches the events of all processes and merges them into one timeline.
//!
//! Each process serves its latest events from a ring buffer; the timeline shows how many were
//! overwritten before they could be fetched.

pub mod merge;
pub mod source;

pub use merge::{Filter, Line, merge};
pub use source::Source;
