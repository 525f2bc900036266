//! Flow tables and per-packet forwarding decisions of an entry.
//!
//! The engine does no I/O and reads no clock: it takes packets, messages, ticks and membership
//! changes together with `now`, and returns actions.

pub mod action;
pub mod counters;
pub mod engine;
mod home;
pub mod homes;
pub mod key;
mod opening;
mod recovery;
pub mod service;
pub mod table;

pub use action::{Action, Message, Origin, Target};
pub use counters::{Counter, Counters};
pub use engine::{Engine, Settings};
pub use homes::{Homes, Id};
pub use key::Key;
pub use service::{Service, Services};
