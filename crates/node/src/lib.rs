//! The process of an entry that steers by tokens: threads, sockets, control state, logs, metrics.
//!
//! One thread forwards traffic, another owns the control state; they exchange messages. The program
//! supplies the wire format of packets and the records of the store.

pub mod control;
pub mod event_log;
pub mod exposition;
pub mod facts;
pub mod load_news;
pub mod logs;
pub mod pause;
pub mod peers;
pub mod pin_outbox;
pub mod pins;
pub mod route_history;
pub mod shutdown;
pub mod silences;
pub mod traffic;
