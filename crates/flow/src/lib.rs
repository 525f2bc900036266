//! Who holds a flow and what is done with each of its packets.
//!
//! Pure data: the engine takes packets, messages, ticks and views, and returns actions. It knows
//! neither sockets nor the outer protocol, and every function that decides takes `now`.

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
