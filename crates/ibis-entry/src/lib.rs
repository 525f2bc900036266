//! The entry: takes packets from the fabric, upstreams and other entries, and sends them on.
//!
//! The decisions are made in the pure crates. This one owns the sockets, the clock and the threads:
//! one thread for control state, and one for traffic that shares no lock with it; new members and
//! services reach it as messages.

pub mod admin;
pub mod control;
pub mod logs;
pub mod peers;
pub mod platform_watch;
pub mod settings;
pub mod tls;
pub mod traffic;
pub mod wire;
