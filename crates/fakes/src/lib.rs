//! Deterministic simulations in virtual time, for tests and measurements of failures.
//!
//! Entries run the real engine and membership code, and callers and upstreams run a real TCP stack;
//! everything else is emulated. A seed determines the whole run.

pub mod caller;
pub mod entry;
mod events;
pub mod faults;
pub mod simulation;
pub mod stats;
pub mod token_steering;
pub mod upstream;

pub use caller::Plan;
pub use simulation::{Config, Simulation};
pub use stats::Stats;
