//! A small platform in virtual time around entries that steer by tokens.
//!
//! Store with watch, lapses and faults; routers that probe readiness; upstreams with slots, queues,
//! cold starts and draining; clients with copies and retries. The decisions are the real ones:
//! `steer`, `directory` and `health`. What the promises say is checked while it runs.

pub mod entry;
pub mod fault;
pub mod simulation;
pub mod stats;
pub mod store;
pub mod upstream;

pub use fault::Fault;
pub use simulation::{Config, Simulation};
pub use stats::{Failure, Stats};
