//! Merges the events of all processes into one time line.
//!
//! Each process serves its latest events; this crate fetches them, puts them into one order and
//! shows what was lost before it could be fetched.

pub mod merge;
pub mod source;

pub use merge::{Filter, Line, merge};
pub use source::Source;
