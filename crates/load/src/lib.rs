//! Load of upstreams over all entries.
//!
//! One entry of many sees a small part of an upstream's requests, so its own counts say little about
//! the upstream. Entries exchange what they observe; the sum is what placement and admission use.
//!
//! The crate does no I/O and reads no clock.

mod bits;
mod delay;
pub mod news;
mod own;
pub mod sums;
pub mod topology;
pub mod view;

pub use news::{Entry, News, Report, Scope};
pub use view::{Estimate, LoadView, Observation, Status, Traffic};
