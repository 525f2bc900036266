//! The document that configures one service.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use indexmap::IndexMap;
use packet::Protocol;

use crate::raw::{self, Problems};

/// Largest document that is accepted; the platform's service stores values up to this size.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

stdx::value! {
    /// Whether an upstream takes new flows.
    pub enum UpstreamState {
        /// Takes new flows.
        Active,
        /// Keeps its established flows and takes no new ones.
        Draining,
    }
}

stdx::record! {
    /// An upstream of a service.
    pub struct Upstream {
        /// Availability zone that the upstream is in.
        pub zone: String,
        /// Share of flows relative to the other upstreams.
        pub weight: u32,
        /// Whether it takes new flows or is draining.
        pub state: UpstreamState,
    }

    /// A validated document.
    pub struct Document {
        /// Name of the service.
        pub service: String,
        /// Address to which callers connect.
        pub address: SocketAddrV4,
        /// Transport protocol.
        pub protocol: Protocol,
        /// Availability zones that are in service.
        pub zones: Vec<String>,
        /// Priority among services under overload; lower values are served first.
        pub priority: u8,
        /// Whether an opening that carries payload may be retried at another upstream.
        pub repeatable: bool,
        /// Maximum open flows of an upstream once it is warm.
        pub max_flows: u32,
        /// Maximum open flows of an upstream directly after its start.
        pub cold_flows: u32,
        /// Maximum new flows per second of an upstream directly after its start.
        pub cold_opens_per_s: u32,
        /// Slow start: time from an upstream's start until the warm limits apply.
        pub cold_ramp: Duration,
        /// Time without packets after which a flow expires.
        pub idle_timeout: Duration,
        /// Time without an answer after which an opening is retried at another upstream.
        pub opening_timeout: Duration,
        /// Upstreams by address.
        pub upstreams: IndexMap<Ipv4Addr, Upstream>,
    }
}

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Returns all problems found, each with its line and column.
    pub fn parse(text: &str) -> Result<Self, Problems> {
        raw::parse(text)
    }

    /// Whether a zone is in service.
    pub fn serves_zone(&self, zone: &str) -> bool {
        self.zones.iter().any(|name| name == zone)
    }
}
