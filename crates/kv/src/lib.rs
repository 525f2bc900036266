//! Client of the platform's key-value service.
//!
//! [`Client`] takes and returns plain values; only servers of the protocol need the generated
//! types. Callers decide what is stored under which key; values are opaque bytes to this crate.

pub mod client;
pub mod generated;
pub mod keys;

pub use client::{Client, Error, Event, KeyValue, Snapshot, Watch};
