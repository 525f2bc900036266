//! One service's document.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use indexmap::IndexMap;
use packet::Protocol;

use crate::raw::{self, Problems};

/// Largest document that is taken, in bytes; the platform's service holds values up to this size.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

stdx::value! {
    /// Whether an upstream takes new flows.
    pub enum UpstreamState {
        /// It does.
        Active,
        /// It keeps its established flows only.
        Draining,
    }
}

stdx::record! {
    /// One upstream of a service.
    pub struct Upstream {
        /// Availability zone that the upstream is in.
        pub zone: String,
        /// Relative share of flows.
        pub weight: u32,
        /// Whether it takes new flows.
        pub state: UpstreamState,
    }

    /// A checked document.
    pub struct Document {
        /// Name of the service.
        pub service: String,
        /// Address that callers use.
        pub address: SocketAddrV4,
        /// Transport protocol.
        pub protocol: Protocol,
        /// Availability zones in service.
        pub zones: Vec<String>,
        /// Order among services under overload; lower goes first.
        pub priority: u8,
        /// Whether an opening that carries payload may be tried twice.
        pub repeatable: bool,
        /// Open flows an upstream may hold once warm.
        pub max_flows: u32,
        /// Open flows an upstream may hold directly after its start.
        pub cold_flows: u32,
        /// New flows a second an upstream may get directly after its start.
        pub cold_opens_per_s: u32,
        /// Time from an upstream's start until its warm limits hold.
        pub cold_ramp: Duration,
        /// Time after which a silent flow is forgotten.
        pub idle_timeout: Duration,
        /// Time without an answer after which an opening is tried elsewhere.
        pub opening_timeout: Duration,
        /// Upstreams by address.
        pub upstreams: IndexMap<Ipv4Addr, Upstream>,
    }
}

impl Document {
    /// Reads and checks a document.
    ///
    /// # Errors
    ///
    /// Returns every problem found, each with its line.
    pub fn parse(text: &str) -> Result<Self, Problems> {
        raw::parse(text)
    }

    /// Whether a zone is in service.
    pub fn serves_zone(&self, zone: &str) -> bool {
        self.zones.iter().any(|name| name == zone)
    }
}
