//! The control thread: membership, service documents, events and the admin port.

pub mod actor;
pub mod run;
pub mod services;

pub use run::{Error, run};
