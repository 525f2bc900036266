//! The process of an entry that steers by tokens: threads, sockets, control and logs.
//!
//! One thread carries traffic, another holds control state; they talk by messages. How packets
//! look on the wire and where facts come from is given by the program.

pub mod control;
pub mod exposition;
pub mod gap;
pub mod leaving;
pub mod logs;
pub mod narrate;
pub mod peers;
pub mod traffic;
