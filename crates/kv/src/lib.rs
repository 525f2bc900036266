//! Client of the platform's key-value service.
//!
//! The generated types stay inside this crate's border; callers see [`Client`] and its plain
//! values. What is stored under which key is decided by the callers.

pub mod client;
pub mod generated;
pub mod keys;

pub use client::{Client, Error, Event, KeyValue, Snapshot, Watch};
