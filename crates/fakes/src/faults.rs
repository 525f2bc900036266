//! What may go wrong on links.

use std::net::Ipv4Addr;

use flow::Id;

/// The state of all links.
#[derive(Debug, Clone, Default)]
pub struct Links {
    /// Part of packets that are lost.
    pub loss: f64,
    /// Part of packets that arrive twice.
    pub duplication: f64,
    /// Part of packets that are delayed by up to ten times the usual time.
    pub reordering: f64,
    /// Pairs of entries that can't reach each other.
    pub entry_cuts: Vec<(Id, Id)>,
    /// Entries that can't reach upstreams.
    pub upstream_cuts: Vec<(Id, Ipv4Addr)>,
    /// Paths that swallow packets: entry, upstream and source port.
    pub silent_paths: Vec<(Id, Ipv4Addr, u8)>,
}

impl Links {
    /// Whether two entries can't reach each other.
    pub fn cuts_entries(&self, a: Id, b: Id) -> bool {
        self.entry_cuts.iter().any(|pair| *pair == (a, b) || *pair == (b, a))
    }

    /// Whether a packet to an upstream is swallowed.
    pub fn cuts_upstream(&self, entry: Id, upstream: Ipv4Addr, path: u8) -> bool {
        self.upstream_cuts.contains(&(entry, upstream))
            || self.silent_paths.contains(&(entry, upstream, path))
    }
}
