//! The traffic thread: runs the engine on packets and datagrams from its sockets.

pub mod sockets;
pub mod thread;

use flow::{Id, Services};
use stdx::time::Timestamp;

/// A command from the control thread to the traffic thread.
#[derive(Debug)]
pub enum Command {
    /// Sets the entries that are homes of flows and the number that may be opening flows.
    Members {
        /// Entries that are homes of flows.
        homes: Vec<Id>,
        /// All known entries except this one; datagrams from other addresses are dropped.
        peers: Vec<Id>,
        /// Number of entries that may be alive and opening flows, including this one.
        possibly_alive: u32,
    },
    /// Replaces the services.
    Services(Services),
    /// Starts of upstreams' warm-up ramps, as reported by a peer.
    ColdStarts(Vec<ColdStart>),
    /// Stops the thread.
    Stop,
}

/// The start of an upstream's last warm-up ramp.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// The upstream's address.
    pub upstream: std::net::Ipv4Addr,
    /// Time at which the ramp started.
    pub since: Timestamp,
}

/// A periodic report from the traffic thread to the control thread.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Start of the last warm-up ramp of each eligible upstream.
    pub cold_starts: Vec<ColdStart>,
    /// Packets from the fabric since the last report.
    pub fabric_packets: u64,
}
