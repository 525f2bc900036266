//! The demo: all programs on loopback, real sessions, and events while they run.

mod documents;
mod event;
mod http;
mod launch;
mod process;
mod run;
mod tally;
mod topology;

pub use run::{Options, run};
pub use topology::Scale;
