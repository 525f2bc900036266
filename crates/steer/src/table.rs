//! What all entries read: routes, services and upstreams. One immutable value a change.

use std::net::SocketAddrV4;

use indexmap::{IndexMap, IndexSet};
use stdx::hash;
use stdx::time::Timestamp;

stdx::value! {
    /// The number of an upstream that stays its own from start to end.
    pub struct UpstreamId(pub u64);

    /// What travels with a flow's packets in place of a table. Zero names no upstream.
    #[derive(Default)]
    pub struct Token(pub u32);

    /// An availability zone, as a place in [`Table::zones`].
    pub struct ZoneId(pub u16);

    /// A service, as a place in [`Table::services`].
    pub struct ServiceId(pub u16);

    /// A part of a route's new flows.
    pub struct Target {
        /// Where they go.
        pub service: ServiceId,
        /// Relative share.
        pub weight: u32,
    }
}

stdx::record! {
    /// Where new flows of an address go, and where older ones may be.
    pub struct Route {
        /// Services of new flows; one unless the route is split.
        pub targets: Vec<Target>,
        /// Every service that the route has named since this process started.
        pub all_services: Vec<ServiceId>,
    }

    /// One upstream as the entries know it.
    pub struct Upstream {
        /// Its number.
        pub id: UpstreamId,
        /// Where it receives packets.
        pub addr: SocketAddrV4,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Its service.
        pub service: ServiceId,
        /// Whether it may take new flows.
        pub accepts_new: bool,
        /// Until when it is cold; the past if it is warm.
        pub cold_until: Timestamp,
        /// Unix milliseconds of its start, if it says so; another value is another process.
        pub started_ms: Option<u64>,
        /// Whether it ended as planned and for good.
        pub ended: bool,
    }
}

stdx::record! {
/// A service's limits for upstreams that are cold.
pub struct Service {
    /// Its name.
    pub name: String,
    /// New flows in any second that a cold upstream may be given by all entries together.
    pub cold_opens_per_s: u32,
}
}

/// Everything that decides where a packet may go.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Whether the routes and upstreams have been read at least once and may be trusted.
    pub synced: bool,
    /// Version of the configuration.
    pub version: u64,
    /// Routes by the address and port that clients use.
    pub routes: IndexMap<SocketAddrV4, Route>,
    /// Routes that a configuration has dropped since this process started.
    pub removed_routes: IndexSet<SocketAddrV4>,
    /// Services; a [`ServiceId`] is a place here.
    pub services: Vec<Service>,
    /// Zones; a [`ZoneId`] is a place here.
    pub zones: Vec<String>,
    /// Upstreams that take or may hold flows.
    pub upstreams: IndexMap<UpstreamId, Upstream>,
    /// Numbers of the entries that may be opening flows, this one included.
    pub entries: Vec<u64>,
    /// This entry's number.
    pub own_entry: u64,
}

impl Table {
    /// How many of `total` new flows in a second this entry may open at an upstream.
    ///
    /// Entries are put in an order that all agree on and that differs between upstreams. What does
    /// not divide evenly goes to the first ones, so that small limits are used and never exceeded.
    pub fn share_of(&self, total: u32, upstream: UpstreamId) -> u32 {
        let weight = |entry: u64| hash::mix(entry ^ hash::mix(upstream.0));
        let own = weight(self.own_entry);
        let before = self.entries.iter().filter(|entry| weight(**entry) < own).count() as u32;
        let count = self.entries.len().max(1) as u32;
        total / count + u32::from(before < total % count)
    }
}

impl UpstreamId {
    /// The token of an upstream: a pure function, so that all entries agree without talking.
    pub const fn token(self) -> Token {
        Token((self.0 ^ (self.0 >> 32)) as u32)
    }
}

impl Route {
    /// The service of a new flow; `draw` decides between the targets of a split.
    pub fn service_for(&self, draw: u64) -> Option<ServiceId> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(target.service);
            }
            left -= weight;
        }
        None
    }
}
