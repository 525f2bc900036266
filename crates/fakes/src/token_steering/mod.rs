//! Simulation of a small platform around entries that steer by tokens.
//!
//! Entries run the real decision code of `steer`, `directory` and `health`. The store, routers,
//! upstreams and clients are emulated. The guarantees to clients are checked throughout the run.

pub mod class;
pub mod entry;
pub mod fault;
pub mod simulation;
pub mod stats;
pub mod store;
pub mod upstream;

pub use class::RequestClass;
pub use fault::Fault;
pub use simulation::{Config, Simulation};
pub use stats::{ClassStats, Failure, Stats};
