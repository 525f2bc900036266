//! Simulation of a small platform around entries that steer by tokens.
//!
//! Entries run the real decision code of `steer`, `directory` and `health`. The store, routers,
//! upstreams and clients are emulated. The guarantees to clients are checked throughout the run.

pub mod entry;
pub mod fault;
pub mod simulation;
pub mod stats;
pub mod store;
pub mod upstream;

pub use fault::Fault;
pub use simulation::{Config, Simulation};
pub use stats::{Failure, Stats};
