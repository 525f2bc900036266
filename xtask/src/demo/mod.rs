//! The demo: runs all programs on loopback under load, triggers events, and checks that no session
//! breaks and each request is answered once.

mod caller_stats;
mod documents;
mod event;
mod http;
mod launch;
mod process;
mod run;
mod topology;

pub use run::{Options, run};
pub use topology::Scale;
