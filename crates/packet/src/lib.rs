//! Borrowed views of IPv4 packets, and the RST and ICMP replies built from them.
//!
//! `etherparse` reads and writes the headers; this crate decides which packets the balancer accepts
//! and gives the reason for each rejected one. It does not depend on flows or services.

pub mod reply;
pub mod view;

pub use view::{ParseError, Protocol, TcpFlags, Transport, View};
