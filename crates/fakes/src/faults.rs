//! What may go wrong on link_faults.

use std::net::Ipv4Addr;

use flow::Id;

/// The state of all link_faults.
#[derive(Debug, Clone, Default)]
pub struct LinkFaults {
    /// Part of packets that are lost.
    pub loss: f64,
    /// Part of packets that arrive twice.
    pub duplication: f64,
    /// Part of packets that are delayed by up to ten times the usual time.
    pub reordering: f64,
    /// Pairs of entries that can't reach each other.
    pub entry_partitions: Vec<(Id, Id)>,
    /// Entries that can't reach upstreams.
    pub upstream_partitions: Vec<(Id, Ipv4Addr)>,
    /// Paths that swallow packets: entry, upstream and source port.
    pub blackholed_paths: Vec<(Id, Ipv4Addr, u8)>,
}

impl LinkFaults {
    /// Whether two entries can't reach each other.
    pub fn is_partitioned(&self, a: Id, b: Id) -> bool {
        self.entry_partitions.iter().any(|pair| *pair == (a, b) || *pair == (b, a))
    }

    /// Whether a packet to an upstream is swallowed.
    pub fn drops_packet(&self, entry: Id, upstream: Ipv4Addr, path: u8) -> bool {
        self.upstream_partitions.contains(&(entry, upstream))
            || self.blackholed_paths.contains(&(entry, upstream, path))
    }
}
