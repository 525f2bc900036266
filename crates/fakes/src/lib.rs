//! Real engines and real TCP endpoints between small fakes of everything else, in virtual time.
//!
//! For tests and measurements of failures. One seed gives one sequence of events. Links lose,
//! delay and duplicate packets; entries crash, pause and leave; invariants are checked meanwhile.

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
