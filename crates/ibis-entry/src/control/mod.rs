//! The control thread: members, documents, events; everything but packets.

pub mod actor;
pub mod run;
pub mod services;

pub use run::{Error, run};
