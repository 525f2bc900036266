//! Faults of network links.

use std::net::Ipv4Addr;

use flow::Id;

/// Current faults of all links.
#[derive(Debug, Clone, Default)]
pub struct LinkFaults {
    /// Fraction of packets that are lost, 0 to 1.
    pub loss: f64,
    /// Fraction of packets that arrive twice, 0 to 1.
    pub duplication: f64,
    /// Fraction of packets, 0 to 1, that take up to ten times the normal delay.
    pub reordering: f64,
    /// Pairs of entries that cannot reach each other.
    pub entry_partitions: Vec<(Id, Id)>,
    /// Pairs of an entry and an upstream that it cannot reach.
    pub upstream_partitions: Vec<(Id, Ipv4Addr)>,
    /// Paths that drop all packets, by entry, upstream and source port.
    pub blackholed_paths: Vec<(Id, Ipv4Addr, u8)>,
}

impl LinkFaults {
    /// Whether two entries cannot reach each other.
    pub fn is_partitioned(&self, a: Id, b: Id) -> bool {
        self.entry_partitions.iter().any(|pair| *pair == (a, b) || *pair == (b, a))
    }

    /// Whether a packet from an entry to an upstream is dropped.
    pub fn drops_packet(&self, entry: Id, upstream: Ipv4Addr, path: u8) -> bool {
        self.upstream_partitions.contains(&(entry, upstream))
            || self.blackholed_paths.contains(&(entry, upstream, path))
    }
}
