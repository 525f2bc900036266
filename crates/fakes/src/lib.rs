//! Real engines and real TCP endpoints between small fakes of everything else, in virtual time.
//!
//! For tests and measurements of failures. One seed gives one course of events. Links lose, delay,
//! repeat and cut; entries die, freeze and leave; what the promises say is checked while it runs.

pub mod caller;
mod course;
pub mod entry;
pub mod faults;
pub mod seen;
pub mod steered;
pub mod upstream;
pub mod world;

pub use caller::Plan;
pub use seen::Seen;
pub use world::{Config, World};
