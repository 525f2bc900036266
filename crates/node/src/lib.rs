//! The process of an entry that steers by tokens: threads, sockets, control and logs.
//!
//! One thread carries traffic, another holds control state; they talk by messages. How packets
//! look on the wire and where facts come from is given by the program.

pub mod control;
pub mod event_log;
pub mod exposition;
pub mod logs;
pub mod pause;
pub mod peers;
pub mod shutdown;
pub mod traffic;
