//! The entry process: forwards packets between the fabric, upstreams and other entries.
//!
//! Decisions are made in crates that do no I/O; this crate owns the sockets, the clock and the
//! threads. The control thread and the traffic thread share no lock: changes of members and
//! services are sent to the traffic thread as messages.

pub mod admin;
pub mod control;
pub mod logs;
pub mod peers;
pub mod platform_watch;
pub mod settings;
pub mod tls;
pub mod traffic;
pub mod wire;
