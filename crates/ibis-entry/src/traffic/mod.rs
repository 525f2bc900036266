//! The traffic thread: sockets around the engine.

pub mod sockets;
pub mod thread;

use flow::{Id, Services};
use stdx::time::Timestamp;

/// What the control thread tells the traffic thread.
#[derive(Debug)]
pub enum Command {
    /// The entries that are homes of flows, and how many may be opening flows.
    Members {
        /// Homes of flows.
        homes: Vec<Id>,
        /// All entries that are known, which may send datagrams.
        peers: Vec<Id>,
        /// Entries that may be opening flows.
        possibly_alive: u32,
    },
    /// The services in force.
    Services(Services),
    /// What a peer says about upstreams that are warming up.
    ColdStarts(Vec<ColdStart>),
    /// Ends the thread.
    Stop,
}

/// Since when an upstream has been warming up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// The upstream.
    pub upstream: std::net::Ipv4Addr,
    /// Start of its ramp.
    pub since: Timestamp,
}

/// What the traffic thread tells the control thread about once a second.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Upstreams that are warming up.
    pub cold_starts: Vec<ColdStart>,
    /// Packets from the fabric since the last report.
    pub fabric_packets: u64,
}
