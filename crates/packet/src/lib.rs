//! Borrowed views of the IPv4 packets that flows consist of, and the replies built from them.
//!
//! Headers are read and written by `etherparse`; this crate only says which packets the balancer
//! takes and names the reason for each that it does not. It knows nothing of flows or services.

pub mod reply;
pub mod view;

pub use view::{ParseError, Protocol, TcpFlags, Transport, View};
